//! Decides when an agent orders its engine to load weights.

use super::{
    message::{
        EngineReport,
        InFlightPolicy, //
    },
    platform_state::WeightsRollout,
    turns, //
};
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Longest time for which an engine takes no new work before the order. Ahead of it,
/// entries send only requests that are expected to end in time, so that most have
/// ended by then; the order waits for the others.
pub const MAX_DRAIN_US: u64 = 300 * US_PER_MS;

/// Largest number of running requests that continue under the new weights. Their
/// output after the load is worthless, but an engine that waits for its last
/// requests is mostly idle.
const MAX_CONTINUED_REQUESTS: u32 = 24;

/// Returns whether the running requests of an engine that gets an order now finish
/// before the load or continue after it.
///
/// ```
/// use yuccalatch::direct::{
///     message::{EngineReport, InFlightPolicy},
///     order::in_flight_policy,
/// };
///
/// let report = EngineReport { running: 30, ..EngineReport::default() };
/// assert_eq!(in_flight_policy(&report), InFlightPolicy::Finish);
/// ```
pub const fn in_flight_policy(report: &EngineReport) -> InFlightPolicy {
    match report.running {
        1..=MAX_CONTINUED_REQUESTS => InFlightPolicy::Continue,
        _ => InFlightPolicy::Finish,
    }
}

/// Next step of an agent towards loading the wanted weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadStep {
    /// The engine has the wanted weights.
    Done,
    /// The turn of the engine comes at this time, in microseconds.
    WaitUntil(u64),
    /// Entries send no new requests, and the running ones end.
    Drain,
    /// The engine is carrying out an earlier order.
    Busy,
    /// The order has to be sent now.
    Order,
}

/// Returns the next step for the engine with the given id.
///
/// ```
/// use std::sync::Arc;
/// use yuccalatch::direct::{
///     platform_state::WeightsRollout,
///     message::EngineReport,
///     order::{next_step, LoadStep},
///     target::WantedWeights,
/// };
///
/// let weights = WantedWeights { model: "m".into(), version: 2, fence: 7 };
/// let turns = ["e1", "e2"].map(|id| id.into());
/// let wanted_versions = vec![(2, 1_000)];
/// let rollout = WeightsRollout { weights, wanted_versions, turns: Arc::new(turns) };
/// let mut report = EngineReport { weights: vec![("m".into(), 1)], ..EngineReport::default() };
/// assert_eq!(next_step(&rollout, &report, &"e1".into(), 1_000), LoadStep::Order);
/// assert!(matches!(next_step(&rollout, &report, &"e2".into(), 1_000), LoadStep::WaitUntil(_)));
/// report.running = 30;
/// assert_eq!(next_step(&rollout, &report, &"e1".into(), 1_000), LoadStep::Drain);
/// ```
pub fn next_step(
    rollout: &WeightsRollout,
    report: &EngineReport,
    id: &Name,
    now_us: u64,
) -> LoadStep {
    let loaded = report
        .weights
        .iter()
        .find(|(model, _)| *model == rollout.weights.model);
    let Some(since_us) = loaded.and_then(|(_, version)| rollout.outdated_since_us(*version)) else {
        return LoadStep::Done;
    };
    if report.is_busy {
        return LoadStep::Busy;
    }
    let turn_at_us = since_us + turns::offset_us(&rollout.turns, id);
    if now_us < turn_at_us {
        return LoadStep::WaitUntil(turn_at_us);
    }
    if report.running + report.waiting > MAX_CONTINUED_REQUESTS
        && now_us < turn_at_us + MAX_DRAIN_US
    {
        return LoadStep::Drain;
    }
    LoadStep::Order
}
