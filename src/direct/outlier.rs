//! Detection of targets that fail or are silent, from the answers alone.

use crate::clock::{
    US_PER_MS,
    US_PER_S, //
};

/// First time for which a target that failed is avoided. Short, because a
/// single failure says little.
const FIRST_AVOID_US: u64 = 200 * US_PER_MS;

/// Longest time for which a target is avoided without another try.
const MAX_AVOID_US: u64 = 2 * US_PER_S;

/// Weight of the newest outcome in the failure share.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Record of one target's outcomes.
///
/// ```
/// use yuccalatch::direct::outlier::OutlierDetector;
///
/// let mut outlier = OutlierDetector::default();
/// outlier.record_unreachable(0);
/// assert!(outlier.is_avoided(100_000));
/// assert!(!outlier.is_avoided(1_000_000));
/// outlier.record_answer(true);
/// assert!(!outlier.is_avoided(100_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failures_in_a_row: u32,
    avoid_until_us: u64,
    failure_share: f64,
}

impl OutlierDetector {
    /// Notes an answer; `is_good` is false for a failure of the target itself.
    pub fn record_answer(&mut self, is_good: bool) {
        let outcome = if is_good { 0.0 } else { 1.0 };
        self.failure_share += OUTCOME_WEIGHT * (outcome - self.failure_share);
        if is_good {
            self.failures_in_a_row = 0;
            self.avoid_until_us = 0;
        }
    }

    /// Notes that a target could not be reached or broke off.
    pub fn record_unreachable(&mut self, now_us: u64) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let doublings = (self.failures_in_a_row - 1).min(8);
        let avoid_us = (FIRST_AVOID_US << doublings).min(MAX_AVOID_US);
        self.avoid_until_us = now_us + avoid_us;
    }

    /// Notes a refusal: the target is full or loads weights.
    pub fn record_refusal(&mut self, now_us: u64, pause_us: u64) {
        self.avoid_until_us = self.avoid_until_us.max(now_us + pause_us);
    }

    /// Returns whether other targets come first.
    pub const fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.avoid_until_us
    }

    /// Returns the recent share of failures, 0 to 1.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
