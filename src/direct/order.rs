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

/// Longest time for which an engine takes no new work before the order. Entries
/// have sent only what ends in time, so that most runs have ended by then; the
/// order waits for the others.
pub const DRAIN_US: u64 = 300 * US_PER_MS;

/// Runs that go on under the new weights at most. What they make after the load is
/// worth nothing, but an engine that waits for its last runs stands idle.
const MAX_CONTINUED: u32 = 24;

/// Returns what becomes of the runs of an engine that gets an order now.
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
        1..=MAX_CONTINUED => InFlightPolicy::Continue,
        _ => InFlightPolicy::Finish,
    }
}

/// What an agent does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadStep {
    /// The engine has the wanted weights.
    Done,
    /// The turn of the engine comes later.
    WaitUntil(u64),
    /// Entries send no new work; the engine's runs end.
    Drain,
    /// The engine carries out an order.
    Busy,
    /// Give the order now.
    Order,
}

/// Returns the next step for an engine with the given id.
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
/// let rollout = WeightsRollout { weights, seen: vec![(2, 1_000)], turns: Arc::new(turns) };
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
    if report.running + report.waiting > MAX_CONTINUED && now_us < turn_at_us + DRAIN_US {
        return LoadStep::Drain;
    }
    LoadStep::Order
}
