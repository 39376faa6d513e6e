//! Decides when an agent orders its engine to load weights.

use super::{
    knowledge::Wanted,
    message::EngineReport,
    turns, //
};
use crate::names::Name;

/// What an agent does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The engine has the wanted weights.
    Done,
    /// The turn of the engine comes later.
    WaitUntil(u64),
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
///     knowledge::Wanted,
///     message::EngineReport,
///     order::{next_step, Step},
///     target::WantedWeights,
/// };
///
/// let weights = WantedWeights { model: "m".into(), version: 2, fence: 7 };
/// let turns = ["e1", "e2"].map(|id| id.into());
/// let wanted = Wanted { weights, seen_at_us: 1_000, turns: Arc::new(turns) };
/// let report = EngineReport { weights: vec![("m".into(), 1)], ..EngineReport::default() };
/// assert_eq!(next_step(&wanted, &report, &"e1".into(), 1_000), Step::Order);
/// assert!(matches!(next_step(&wanted, &report, &"e2".into(), 1_000), Step::WaitUntil(_)));
/// ```
pub fn next_step(wanted: &Wanted, report: &EngineReport, id: &Name, now_us: u64) -> Step {
    let loaded = report
        .weights
        .iter()
        .find(|(model, _)| *model == wanted.weights.model);
    match loaded {
        Some((_, version)) if *version < wanted.weights.version => {}
        _ => return Step::Done,
    }
    let turn_at_us = wanted.seen_at_us + turns::offset_us(&wanted.turns, id);
    if now_us < turn_at_us {
        return Step::WaitUntil(turn_at_us);
    }
    if report.is_busy {
        return Step::Busy;
    }
    Step::Order
}
