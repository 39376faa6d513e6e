//! Exchange of rate use and platform objects between entries, and of engine state
//! between agents and entries.
//!
//! An entry that cannot reach the object store gets changes from the others, and
//! one that restarts during an outage of the store gets the configuration there.

use std::{
    collections::BTreeSet,
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use ntex::{
    client::{
        Client,
        ClientResponse, //
    },
    http::Method, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::{
    cache::{
        CachePosition,
        CacheUpdate, //
    },
    capacity::TargetStatement,
    constraint::Evacuations,
    message::EngineMemory,
    platform_state::PlatformState,
    quarantine::PartsReport,
    service_rollout::{
        RolloutOrder,
        RolloutReport, //
    },
    snapshot::Announcement,
    target::WantedWeights,
};
use crate::{
    clock::US_PER_MS,
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        Incarnation,
        Name, //
    },
    process::client::url,
};

/// Path of exchange requests on the control listener.
pub(super) const PATH: &str = "/exchange";

/// Time limit of one exchange. Entries are a few milliseconds apart, so an entry
/// that takes longer counts as unavailable.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Size limit of a message; a configuration of a megabyte fits.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Interval between an agent's reports to one entry, per entry of the fleet, so
/// that the work of an agent does not grow with the fleet.
const REPORT_INTERVAL_PER_ENTRY_US: u64 = 8 * US_PER_MS;

/// Shortest interval between an agent's reports to one entry. The engine's own
/// report is as old as this.
const MIN_REPORT_INTERVAL_US: u64 = 240 * US_PER_MS;

/// Report intervals for which an agent's report stays valid.
const REPORT_VALIDITY_INTERVALS: u64 = 5;

/// Returns the interval between an agent's reports to one entry.
pub(super) fn report_interval_us(entries: usize) -> u64 {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX);
    let interval_us = entries.saturating_mul(REPORT_INTERVAL_PER_ENTRY_US);
    interval_us.max(MIN_REPORT_INTERVAL_US)
}

/// Returns the time for which an agent's report about its engine stays valid.
pub(super) fn report_validity_us(entries: usize) -> u64 {
    report_interval_us(entries).saturating_mul(REPORT_VALIDITY_INTERVALS)
}

/// Request of an entry or agent: its own state, and the versions that it has.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ExchangeRequest {
    /// State of the sending entry, `None` from an agent.
    pub(super) entry: Option<EntryState>,
    /// Configuration of the sending entry, `None` without one.
    pub(super) configuration: Option<Announcement>,
    /// Digest of the sender's list of entries, so that an unchanged list is not sent;
    /// `None` when the list is not needed.
    pub(super) entries_digest: Option<u64>,
    /// State of the engine beside the sending agent.
    pub(super) engine: Option<EngineState>,
    /// Changes of that engine's cache that the receiver lacks.
    pub(super) cache: Option<CacheUpdate>,
}

/// State of an engine as the agent beside it reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct EngineState {
    pub(super) target: Name,
    /// Whether the engine takes no new work, because it loads weights or is about
    /// to.
    pub(super) is_paused: bool,
    /// Time until the engine is paused, `None` when no pause is planned.
    pub(super) pause_in_us: Option<u64>,
    /// Version of the loaded weights of each model.
    pub(super) weights: Vec<(Name, u64)>,
    /// Running requests.
    pub(super) running: u32,
    /// Queued requests.
    pub(super) waiting: u32,
    /// Memory, `None` when the engine does not report it.
    pub(super) memory: Option<EngineMemory>,
}

/// State that entries report to each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct EntryState {
    pub(super) name: Name,
    pub(super) incarnation: Incarnation,
    pub(super) control_address: SocketAddr,
    /// Use of each organisation's rate by the entry since its start.
    pub(super) used: Vec<(Name, u64)>,
    /// Parts of prompts on which engines may have crashed.
    pub(super) parts: PartsReport,
    /// Progress of the rollouts of services.
    pub(super) rollouts: Vec<RolloutReport>,
    /// Loads and paces that targets have stated to the entry.
    pub(super) statements: Vec<TargetStatement>,
    /// Cold targets with the ends of their cold periods as Unix time in milliseconds.
    pub(super) cold_until_ms: Vec<(Name, u64)>,
}

/// Answer of an entry to an exchange request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ExchangeReply {
    /// State of the answering entry, `None` to an agent.
    pub(super) entry: Option<EntryState>,
    /// Configuration of the answering entry, `None` without one.
    pub(super) configuration: Option<Announcement>,
    /// Revision of the list of targets, `None` without one.
    pub(super) targets_revision: Option<u64>,
    /// Wanted weights of all models.
    pub(super) weights: Vec<WantedWeights>,
    /// Orders to move services to other releases.
    pub(super) service_rollouts: Vec<RolloutOrder>,
    /// Control addresses of all registered entries, `None` when the sender has them or
    /// does not need them.
    pub(super) entries: Option<Vec<SocketAddr>>,
    /// For how long the entry's own copy of the object store still counts as current, 0
    /// when it does not watch the store itself.
    pub(super) store_fresh_for_us: u64,
    /// Position up to which the entry has the changes of the engine's cache.
    pub(super) cache_position: Option<CachePosition>,
    /// Evacuated data centres, `None` to an agent or when unknown.
    pub(super) evacuations: Option<Evacuations>,
}

/// Builds the answer to an exchange request.
pub(super) fn build_reply(
    exchange_request: &ExchangeRequest,
    entry: Option<EntryState>,
    configuration: Option<Announcement>,
    platform_state: &PlatformState,
    cache_position: Option<CachePosition>,
    store_fresh_for_us: u64,
) -> ExchangeReply {
    let entries = exchange_request.entries_digest.and_then(|digest| {
        let entries: Vec<SocketAddr> = platform_state.entry_addresses().collect();
        (entries_digest(&entries) != digest).then_some(entries)
    });
    let evacuations = platform_state.evacuations.clone();
    ExchangeReply {
        evacuations: evacuations.filter(|_| exchange_request.entry.is_some()),
        cache_position,
        store_fresh_for_us,
        entry,
        configuration,
        targets_revision: platform_state
            .has_targets
            .then_some(platform_state.targets_revision),
        weights: platform_state
            .rollouts
            .values()
            .map(|rollout| rollout.weights.clone())
            .collect(),
        service_rollouts: platform_state.service_rollouts.values().cloned().collect(),
        entries,
    }
}

/// Returns a digest of a list of entries.
pub(super) fn entries_digest(entries: &[SocketAddr]) -> u64 {
    let mut hasher = Xxh3::new();
    entries.hash(&mut hasher);
    hasher.finish()
}

/// Applies the platform objects of an answer; the configuration and the targets are only
/// announced there. Returns whether any was new.
pub(super) fn apply_reply(
    platform_state: &mut PlatformState,
    reply: ExchangeReply,
    now_us: u64,
) -> bool {
    let mut is_new = false;
    for weights in reply.weights {
        is_new |= platform_state.adopt_weights(weights, now_us);
    }
    if let Some(evacuations) = reply.evacuations {
        is_new |= platform_state.adopt_evacuations(evacuations);
    }
    for order in reply.service_rollouts {
        is_new |= platform_state.adopt_rollout(order);
    }
    is_new
}

/// Returns the control addresses of the registered entries and of the peers in the
/// settings, without the own address.
pub(super) fn addresses(
    platform_state: &PlatformState,
    peers: &[SocketAddr],
    own: Option<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    platform_state
        .entry_addresses()
        .chain(peers.iter().copied())
        .filter(|address| Some(*address) != own)
        .collect()
}

/// Sends an exchange request to one entry and returns its answer with its size in bytes.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when it does not answer in time.
pub(super) async fn exchange(
    client: &Client,
    address: SocketAddr,
    exchange_request: &ExchangeRequest,
) -> Result<(ExchangeReply, usize)> {
    let call = async {
        let response = post(client, address, PATH, exchange_request).await?;
        let body = response.body().limit(MAX_MESSAGE_BYTES).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        let reply = postcard::from_bytes(&body).change_context(ErrorKind::PeerUnavailable)?;
        Ok((reply, body.len()))
    };
    timeout(EXCHANGE_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| Err(unavailable("no answer in time".to_owned())))
}

/// Sends a message to an entry and returns the head of its answer.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the entry does not answer with success.
pub(super) async fn post(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<ClientResponse> {
    let body = postcard::to_stdvec(message).change_context(ErrorKind::Internal)?;
    let call = client
        .request(Method::POST, url(address, path))
        .send_body(body);
    let response = call.await.map_err(|error| unavailable(error.to_string()))?;
    if !response.status().is_success() {
        return Err(unavailable(format!("status {}", response.status())));
    }
    Ok(response)
}

pub(super) fn unavailable(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerUnavailable).attach(reason)
}
