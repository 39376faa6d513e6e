//! Decides how urgent a request is at an engine.
//!
//! Designed for engines whose queue and memory hold requests with different deadlines:
//! those that can still meet their goal go before those that have time or have missed
//! it, and within that, the rank that the operator has configured decides first.

use crate::clock::US_PER_MS;

/// Time left until the goal below which a request cannot wait behind others.
const TIGHT_SLACK_US: u64 = 400 * US_PER_MS;

/// Ranks that are told apart. Lower ones count as the last of these.
const RANKS: u8 = 3;

/// Steps of urgency within one rank.
const STEPS_PER_RANK: u8 = 3;

/// Times of a request from which its urgency follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// When the request arrived.
    pub arrived_at_us: u64,
    /// When it should be answered, or its stream begin.
    pub goal_at_us: u64,
    /// Time in which an idle engine begins to answer it.
    pub work_us: u64,
}

/// Returns the urgency of a request at an engine, from 0 (runs first) to 9. `rank` is its
/// priority in the configuration, where 0 is served first.
///
/// A request that has missed its goal gives way to those of its rank that can still meet
/// theirs, until it has waited for another two times its goal. It does not starve then.
///
/// ```
/// use yuccalatch::direct::urgency::{Timing, urgency};
///
/// let timing = Timing { arrived_at_us: 0, goal_at_us: 300_000, work_us: 0 };
/// assert!(urgency(0, timing, 0) < urgency(1, timing, 0));
/// assert!(urgency(0, timing, 0) < urgency(0, timing, 350_000));
/// assert_eq!(urgency(0, timing, 0), urgency(0, timing, 2_000_000));
/// ```
pub fn urgency(rank: u8, timing: Timing, now_us: u64) -> u8 {
    let base = rank.min(RANKS - 1) * STEPS_PER_RANK;
    let goal_us = timing.goal_at_us.saturating_sub(timing.arrived_at_us);
    let aged_at_us = timing.goal_at_us.saturating_add(goal_us.saturating_mul(2));
    let step = if now_us >= aged_at_us {
        0
    } else if now_us >= timing.goal_at_us {
        2
    } else {
        let left_us = timing.goal_at_us - now_us;
        u8::from(left_us.saturating_sub(timing.work_us) >= TIGHT_SLACK_US)
    };
    base + step
}
