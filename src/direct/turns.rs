//! Turns in which the engines of a model load new weights.
//!
//! Entries and agents derive the same turns from the list of targets, so that
//! entries avoid a loading engine without a message about it.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::target::{
    TargetState,
    Targets, //
};
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Upper bound of the time from the first turn to the last. Together with the time
/// for running requests to end and for the load, it stays below the eight seconds
/// within which all engines must have new weights.
pub const SPREAD_US: u64 = 5_000 * US_PER_MS;

/// Longest time between two turns, so that the last of a few engines does not wait
/// for all of [`SPREAD_US`].
pub const MAX_TURN_INTERVAL_US: u64 = 1_000 * US_PER_MS;

/// Engines of a model per concurrent load. Loads get slower when more than about a
/// fifth of the engines read from the weight store at once.
const ENGINES_PER_LOAD: usize = 5;

/// Returns the ready engines of a model in the order of their turns.
pub fn turn_order(targets: &Targets, model: &str) -> Arc<[Name]> {
    let mut engines: Vec<(u64, &Name)> = targets
        .values()
        .filter(|record| record.weights.contains_key(model))
        .filter(|record| record.state == TargetState::Ready)
        .map(|record| (xxh3_64(record.id.as_bytes()), &record.id))
        .collect();
    engines.sort_unstable();
    engines.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Returns how many of a model's engines load at the same time.
///
/// ```
/// use yuccalatch::direct::turns::loads_at_once;
///
/// assert_eq!(loads_at_once(12), 2);
/// assert_eq!(loads_at_once(50), 10);
/// ```
pub const fn loads_at_once(engines: usize) -> usize {
    let loads = engines / ENGINES_PER_LOAD;
    if loads == 0 { 1 } else { loads }
}

/// Returns the time from the receipt of a new wanted version to an engine's turn.
/// Engines that are not in the list, because they started later, load at once.
///
/// ```
/// use yuccalatch::direct::turns::{offset_us, MAX_TURN_INTERVAL_US};
///
/// let turns = ["a", "b", "c"].map(|id| id.into());
/// assert_eq!(offset_us(&turns, "c"), 2 * MAX_TURN_INTERVAL_US);
/// assert_eq!(offset_us(&turns, "d"), 0);
/// ```
pub fn offset_us(turns: &[Name], id: &str) -> u64 {
    let at_once = loads_at_once(turns.len());
    let position = turns
        .iter()
        .position(|turn_id| **turn_id == *id)
        .unwrap_or(0);
    let groups = turns.len().div_ceil(at_once).max(1);
    let groups = u64::try_from(groups).unwrap_or(u64::MAX);
    let interval_us = (SPREAD_US / groups).min(MAX_TURN_INTERVAL_US);
    let turn = u64::try_from(position / at_once).unwrap_or(u64::MAX);
    turn.saturating_mul(interval_us)
}
