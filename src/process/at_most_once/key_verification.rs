//! Who vouches that an idempotency key has not run before.

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

/// Time without news from the object API after which it counts as silent for
/// every entry, in milliseconds.
///
/// An entry trusts the records only if it had news in each 4 s of the window, and
/// that news may be 4 s old. It reaches all entries within 4 s, or their keys
/// become stale, and agents within two reports. The sum is 14 s, so a run without
/// a record falls into a gap that every entry has noticed.
pub const API_SILENT_AFTER_MS: u64 = 15_000;

/// What an agent knows that bears on a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentClaimContext {
    /// Digest of the members of the service, see [`members_digest`].
    pub members_digest: u64,
    /// Time since any process that the agent hears had news from the object API.
    pub api_silent_ms: u64,
}

/// Digests the names of the targets among which the keys of a service are shared
/// out. Returns 0 for a service without targets.
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
        // No name contains this byte.
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Returns who vouches for a key at an agent.
///
/// A run without a record is only safe while no entry can believe that all runs
/// have one. Where entry and agent disagree about the members, one of them does
/// not know yet who may have run the key before.
///
/// ```
/// use yuccalatch::connection::attempt::{IdempotencyClaim, RecordState};
/// use yuccalatch::names::Digest;
/// use yuccalatch::process::at_most_once::key_verification::{verify_key, API_SILENT_AFTER_MS, AgentClaimContext};
/// use yuccalatch::process::at_most_once::idempotency::KeyVerification;
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
