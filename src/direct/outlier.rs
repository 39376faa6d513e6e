//! Detects targets that fail or do not answer, from the outcomes of requests alone.

use crate::clock::{
    US_PER_MS,
    US_PER_S, //
};

/// Time for which a target is avoided after one failure. Short, because a single
/// failure may be chance. It doubles with each further failure in a row.
const INITIAL_AVOID_US: u64 = 200 * US_PER_MS;

/// Longest time for which a target is avoided after a failure.
const MAX_AVOID_US: u64 = 2 * US_PER_S;

/// Weight of the newest outcome in the failure share.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Recent outcomes at one target, and until when it is avoided.
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
    consecutive_failures: u32,
    avoid_until_us: u64,
    failure_share: f64,
}

impl OutlierDetector {
    /// Records an answer; `is_good` is false for a failure of the target itself.
    pub fn record_answer(&mut self, is_good: bool) {
        let outcome = if is_good { 0.0 } else { 1.0 };
        self.failure_share += OUTCOME_WEIGHT * (outcome - self.failure_share);
        if is_good {
            self.consecutive_failures = 0;
            self.avoid_until_us = 0;
        }
    }

    /// Records that the target could not be reached, timed out or broke off an answer.
    pub fn record_unreachable(&mut self, now_us: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
        let doublings = (self.consecutive_failures - 1).min(8);
        let avoid_us = (INITIAL_AVOID_US << doublings).min(MAX_AVOID_US);
        self.avoid_until_us = now_us + avoid_us;
    }

    /// Records a refusal: the target is full or loads weights. It is avoided for
    /// `pause_us`.
    pub fn record_refusal(&mut self, now_us: u64, pause_us: u64) {
        self.avoid_until_us = self.avoid_until_us.max(now_us + pause_us);
    }

    /// Returns whether other targets are to be tried before this one.
    pub const fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.avoid_until_us
    }

    /// Returns the moving average of the share of failed attempts, 0 to 1.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
