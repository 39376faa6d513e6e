//! Decides when a stream counts as stalled.
//!
//! Designed for targets that go silent in the middle of a stream, or send bytes now
//! and then that complete no event, while other targets are sound. Callers give up
//! after a gap that follows from their route. A stream counts as stalled a little
//! before that, so that another target can continue it in time; slower streams which
//! callers still wait for are left alone.

use super::routing::Route;
use crate::clock::US_PER_MS;

/// Gap between events after which callers give up at the earliest.
const MIN_CALLER_GAP_MS: u64 = 2_000;

/// Callers wait for this many times the desired time to the first event.
const GOALS_PER_CALLER_GAP: u64 = 4;

/// Callers wait for this many times the desired longest gap between events.
const GAP_GOALS_PER_CALLER_GAP: u64 = 8;

/// Returns when a stream whose last event arrived at `event_at_us` counts as stalled,
/// `None` when no other target may continue it.
///
/// ```
/// use yuccalatch::direct::{routing::Route, stall::stalled_at_us};
///
/// let mut route = Route {
///     name: "r".into(), host: "a.example".into(), prefix: "/".into(),
///     is_idempotent: false, is_stream: true, can_resume: true,
///     timeout_ms: 9_000, goal_ms: 600, gap_goal_ms: 200, priority: 0,
///     shares: vec![], max_targets: 2, is_public: false, allowed_regions: vec![],
/// };
/// assert_eq!(stalled_at_us(&route, 1_000_000), Some(2_800_000));
/// route.can_resume = false;
/// assert_eq!(stalled_at_us(&route, 1_000_000), None);
/// ```
pub fn stalled_at_us(route: &Route, event_at_us: u64) -> Option<u64> {
    let caller_gap_ms = MIN_CALLER_GAP_MS
        .max(route.goal_ms.saturating_mul(GOALS_PER_CALLER_GAP))
        .max(route.gap_goal_ms.saturating_mul(GAP_GOALS_PER_CALLER_GAP));
    // The last quarter is left for the first event of the other target.
    let limit_us = (caller_gap_ms / 4 * 3).saturating_mul(US_PER_MS);
    route
        .can_resume
        .then(|| event_at_us.saturating_add(limit_us))
}
