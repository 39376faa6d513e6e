//! Decides what can verify that an idempotency key has not run before: its record
//! in the object API or the table of the agent.

use xxhash_rust::xxh3::Xxh3;

use super::idempotency::KeyVerification;
use crate::{
    connection::attempt::{
        IdempotencyClaim,
        RecordState, //
    },
    version::config::{
        Config,
        ServiceKey, //
    },
};

/// Time without an update from the object API after which it counts as silent for
/// every entry, in milliseconds.
///
/// An entry trusts the records only if it had an update in each 4 s of the window,
/// and that update may be 4 s old. An update reaches all entries within 4 s, or
/// their keys become stale, and agents within two reports. The sum is 14 s, so
/// every entry has noticed the gap into which a run without a record falls.
pub const API_SILENT_AFTER_MS: u64 = 15_000;

/// Observations of an agent that are compared with those in a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentClaimContext {
    /// Digest of the targets of the service, see [`members_digest`].
    pub members_digest: u64,
    /// Age of the latest update from the object API to the agent or to any process
    /// that reports to it.
    pub api_silent_ms: u64,
}

/// Returns the digest of the names of a service's targets, among which its
/// idempotency keys are distributed, or 0 for a service without targets.
///
/// ```
/// use yuccalatch::process::at_most_once::key_verification::members_digest;
/// use yuccalatch::version::config::{Config, ServiceKey};
///
/// assert_eq!(members_digest(&Config::default(), ServiceKey::default()), 0);
/// ```
pub fn members_digest(config: &Config, service: ServiceKey) -> u64 {
    let targets = config.targets_of(service);
    if targets.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for entry in targets.iter().filter_map(|key| config.target(*key)) {
        hasher.update(entry.target.name.as_bytes());
        // Separates the names; none of them contains this byte.
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Decides how an agent can verify that the key of a claim has not run before.
///
/// A run without a record in the object API is safe only while no entry relies on
/// every run having a record. If the members digests of entry and agent differ, one
/// of them has an outdated list of the agents that may have run the key before.
///
/// ```
/// use yuccalatch::connection::attempt::{IdempotencyClaim, RecordState};
/// use yuccalatch::names::Digest;
/// use yuccalatch::process::at_most_once::idempotency::KeyVerification;
/// use yuccalatch::process::at_most_once::key_verification::{
///     verify_key, AgentClaimContext, API_SILENT_AFTER_MS,
/// };
///
/// let own = AgentClaimContext { members_digest: 7, api_silent_ms: API_SILENT_AFTER_MS };
/// let mut claim = IdempotencyClaim {
///     key: Digest([1; 32]),
///     request: Digest([2; 32]),
///     record: RecordState::Silent,
///     members_digest: 7,
///     api_silent_ms: API_SILENT_AFTER_MS,
/// };
/// assert_eq!(verify_key(&claim, own), KeyVerification::AgentTable);
/// claim.api_silent_ms = 100;
/// assert_eq!(verify_key(&claim, own), KeyVerification::Unverified);
/// claim.record = RecordState::Unconfirmed;
/// assert_eq!(verify_key(&claim, own), KeyVerification::AgentTable);
/// claim.members_digest = 8;
/// assert_eq!(verify_key(&claim, own), KeyVerification::Unverified);
/// ```
pub fn verify_key(claim: &IdempotencyClaim, own: AgentClaimContext) -> KeyVerification {
    let is_agreed = claim.members_digest == own.members_digest;
    let silent_ms = claim.api_silent_ms.min(own.api_silent_ms);
    match claim.record {
        RecordState::Confirmed => KeyVerification::RecordCreated,
        RecordState::Foreign => KeyVerification::ForeignRecord,
        RecordState::Unconfirmed if is_agreed => KeyVerification::AgentTable,
        RecordState::Silent if is_agreed && silent_ms >= API_SILENT_AFTER_MS => {
            KeyVerification::AgentTable
        }
        RecordState::Unconfirmed | RecordState::Silent => KeyVerification::Unverified,
    }
}
