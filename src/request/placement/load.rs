//! An entry's estimate of the queue of a target.

/// Expected queue of one target, from its reports and probes and from what this
/// entry has sent since.
///
/// ```
/// use yuccalatch::request::placement::TargetQueue;
///
/// let mut load = TargetQueue::default();
/// load.observe(500, 1_000);
/// load.add_sent(200, 1_100);
/// assert_eq!(load.at(1_300), 400);
/// // An older observation does not replace a newer one.
/// load.observe(0, 900);
/// assert_eq!(load.at(1_300), 400);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetQueue {
    queue_us: u64,
    updated_at_us: u64,
    observed_at_us: u64,
}

impl TargetQueue {
    /// Records the queue that the target stated at a time.
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

    /// Adds the cost of a request that this entry sends.
    pub fn add_sent(&mut self, cost_us: u64, now_us: u64) {
        self.queue_us = self.at(now_us) + cost_us;
        self.updated_at_us = now_us;
    }

    /// Returns the expected queue; the target works it off as time passes.
    pub fn at(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us);
        self.queue_us.saturating_sub(elapsed_us)
    }
}
