//! Exchange between entries: use of rates, and what they know of the platform.
//!
//! An entry that the store does not answer keeps up through the others, and one
//! that restarts during an outage finds the configuration there.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use ntex::{
    client::Client,
    http::Method, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::timeout;

use super::{
    cache::{
        CachePosition,
        CacheUpdate, //
    },
    platform_state::PlatformState,
    routing::Configuration,
    target::{
        TargetRecord,
        WantedWeights, //
    },
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

/// Path of the exchange on the control listener.
pub(super) const PATH: &str = "/exchange";

/// Bound for one exchange. Entries are a few milliseconds apart, so an entry that
/// takes longer is not heard.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);

/// Largest message; a configuration of a megabyte fits.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Interval in which an agent tells each entry about its engine, for each entry,
/// so that the work of an agent does not grow with the fleet.
const TELL_INTERVAL_PER_ENTRY_US: u64 = 16 * US_PER_MS;

/// Shortest such interval. An engine's own report is as old as this.
const MIN_TELL_INTERVAL_US: u64 = 240 * US_PER_MS;

/// Intervals for which the word of an agent holds.
const HELD_INTERVALS: u64 = 5;

/// Returns the interval in which an agent tells each entry about its engine.
pub(super) fn report_interval_us(entries: usize) -> u64 {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX);
    let interval_us = entries.saturating_mul(TELL_INTERVAL_PER_ENTRY_US);
    interval_us.max(MIN_TELL_INTERVAL_US)
}

/// Returns the time for which the word of an agent holds.
pub(super) fn report_validity_us(entries: usize) -> u64 {
    report_interval_us(entries).saturating_mul(HELD_INTERVALS)
}

/// What an entry or agent says when it asks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ExchangeRequest {
    /// Entry that asks; agents have no name here.
    pub(super) entry: Option<EntryState>,
    /// Version of the configuration that is known, 0 without one.
    pub(super) configuration_version: u64,
    /// Revision of the list of targets, `None` when it is not wanted.
    pub(super) targets_revision: Option<u64>,
    /// State of the engine beside the agent that asks.
    pub(super) engine: Option<EngineState>,
    /// Changes of that engine's cache.
    pub(super) cache: Option<CacheUpdate>,
}

/// State of an engine, from the agent beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct EngineState {
    pub(super) target: Name,
    /// Whether it takes no new work, because it is about to load weights or loads
    /// them.
    pub(super) is_paused: bool,
    /// Time until the engine is paused, when that is planned.
    pub(super) pause_in_us: Option<u64>,
    /// Version of the weights of each model.
    pub(super) weights: Vec<(Name, u64)>,
    /// Requests that run.
    pub(super) running: u32,
    /// Requests that wait.
    pub(super) waiting: u32,
}

/// State that entries tell each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct EntryState {
    pub(super) name: Name,
    pub(super) incarnation: Incarnation,
    pub(super) control_address: SocketAddr,
    /// Use of each organisation since the start.
    pub(super) used: Vec<(Name, u64)>,
}

/// Answer to a question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ExchangeReply {
    pub(super) entry: EntryState,
    /// A later configuration.
    pub(super) configuration: Option<Configuration>,
    /// A later list of targets with its revision.
    pub(super) targets: Option<(u64, Vec<TargetRecord>)>,
    /// Wanted weights of all models.
    pub(super) weights: Vec<WantedWeights>,
    /// Control addresses of all known entries.
    pub(super) entries: Vec<SocketAddr>,
    /// Whether the entry follows the object store and hears it.
    pub(super) is_watching: bool,
    /// Changes of the asking agent's engine that the entry knows.
    pub(super) cache_position: Option<CachePosition>,
}

/// Makes the answer to a question.
pub(super) fn build_reply(
    exchange_request: &ExchangeRequest,
    entry: EntryState,
    platform_state: &PlatformState,
    cache_position: Option<CachePosition>,
    is_watching: bool,
) -> ExchangeReply {
    let configuration = platform_state
        .configuration
        .as_ref()
        .filter(|known| known.version > exchange_request.configuration_version)
        .map(|known| Configuration::clone(known));
    let targets = exchange_request
        .targets_revision
        .filter(|revision| {
            platform_state.has_targets && platform_state.targets_revision > *revision
        })
        .map(|_| {
            let records = platform_state
                .targets
                .values()
                .map(|record| (**record).clone());
            (platform_state.targets_revision, records.collect())
        });
    ExchangeReply {
        cache_position,
        is_watching,
        entry,
        configuration,
        targets,
        weights: platform_state
            .rollouts
            .values()
            .map(|rollout| rollout.weights.clone())
            .collect(),
        entries: platform_state
            .entries
            .values()
            .map(|entry| entry.control_address)
            .collect(),
    }
}

/// Takes what an answer says of the platform. Returns whether anything is new.
pub(super) fn apply_reply(
    platform_state: &mut PlatformState,
    reply: ExchangeReply,
    now_us: u64,
) -> bool {
    let mut is_new = false;
    if let Some(configuration) = reply.configuration {
        is_new |= platform_state.adopt_configuration(Arc::new(configuration));
    }
    if let Some((revision, records)) = reply.targets
        && revision > platform_state.targets_revision
    {
        platform_state.targets_revision = revision;
        platform_state.has_targets = true;
        platform_state.vanished.clear();
        platform_state.targets = records
            .into_iter()
            .map(|record| (record.id.clone(), Arc::new(record)))
            .collect();
        is_new = true;
    }
    for weights in reply.weights {
        is_new |= platform_state.adopt_weights(weights, now_us);
    }
    is_new
}

/// Returns the addresses to ask: the registered entries and those of the
/// settings, without the own one.
pub(super) fn addresses(
    platform_state: &PlatformState,
    peers: &[SocketAddr],
    own: Option<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    platform_state
        .entries
        .values()
        .map(|entry| entry.control_address)
        .chain(peers.iter().copied())
        .filter(|address| Some(*address) != own)
        .collect()
}

/// Asks one entry.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when it does not answer in time.
pub(super) async fn exchange(
    client: &Client,
    address: SocketAddr,
    exchange_request: &ExchangeRequest,
) -> Result<ExchangeReply> {
    let body = postcard::to_stdvec(exchange_request).change_context(ErrorKind::Internal)?;
    let call = async {
        let response = client
            .request(Method::POST, url(address, PATH))
            .send_body(body)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(unavailable(format!("status {}", response.status())));
        }
        let body = response.body().limit(MAX_MESSAGE_BYTES).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        postcard::from_bytes(&body).change_context(ErrorKind::PeerUnavailable)
    };
    timeout(EXCHANGE_LIMIT, call)
        .await
        .unwrap_or_else(|_| Err(unavailable("no answer in time".to_owned())))
}

fn unavailable(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerUnavailable).attach(reason)
}
