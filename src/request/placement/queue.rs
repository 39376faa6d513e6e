//! Estimate of a target's queue between its reports.

/// Expected wait in the queue of one target, from its reports and probes and from
/// the requests that this entry has sent since.
///
/// ```
/// use yuccalatch::request::placement::TargetQueue;
///
/// let mut queue = TargetQueue::default();
/// queue.observe(500, 1_000);
/// queue.add_sent(200, 1_100);
/// assert_eq!(queue.at(1_300), 400);
/// // An older observation does not replace a newer one.
/// queue.observe(0, 900);
/// assert_eq!(queue.at(1_300), 400);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetQueue {
    queue_us: u64,
    updated_at_us: u64,
    observed_at_us: u64,
}

impl TargetQueue {
    /// Records the queue that the target reported as of `at_us`. A report older than
    /// the last one is ignored.
    pub fn observe(&mut self, queue_us: u64, at_us: u64) {
        if at_us < self.observed_at_us {
            return;
        }
        *self = Self {
            queue_us,
            updated_at_us: at_us,
            observed_at_us: at_us,
        };
    }

    /// Adds the time that a request of this entry takes at the target.
    pub fn add_sent(&mut self, cost_us: u64, now_us: u64) {
        self.queue_us = self.at(now_us) + cost_us;
        self.updated_at_us = now_us;
    }

    /// Returns the expected wait at a time, assuming that the queue shrinks as fast
    /// as time passes.
    pub fn at(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us);
        self.queue_us.saturating_sub(elapsed_us)
    }
}
