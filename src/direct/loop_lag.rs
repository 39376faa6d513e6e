//! For how long requests may have waited before the traffic thread read them.
//!
//! The time limit that a caller states begins when it sends the request. A thread that gets
//! too little processor time reads requests late, and cannot see for how long each has been
//! in the buffers of the system. It can see how late it is itself.

use crate::clock::US_PER_MS;

/// Interval between ticks of the traffic thread.
pub const TICK_INTERVAL_US: u64 = 50 * US_PER_MS;

/// Lateness of a tick up to which the thread counts as punctual.
const MAX_LATENESS_US: u64 = 30 * US_PER_MS;

/// The latest ticks of the traffic thread.
///
/// ```
/// use yuccalatch::direct::loop_lag::LoopLag;
///
/// let mut lag = LoopLag::default();
/// lag.tick(50_000);
/// lag.tick(100_000);
/// assert_eq!(lag.waited_us(140_000), 0);
/// assert_eq!(lag.waited_us(600_000), 500_000);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoopLag {
    previous_us: u64,
    latest_us: u64,
}

impl LoopLag {
    /// Records a tick. Returns how late it is.
    pub const fn tick(&mut self, now_us: u64) -> u64 {
        self.previous_us = self.latest_us;
        self.latest_us = now_us;
        now_us.saturating_sub(self.previous_us + TICK_INTERVAL_US)
    }

    /// Returns for how long a request that is read now may have waited, 0 while the thread
    /// is punctual.
    pub const fn waited_us(&self, now_us: u64) -> u64 {
        if is_late(self.latest_us, now_us) {
            return now_us - self.latest_us;
        }
        // What has arrived during a late turn is read after its tick, too: connections are
        // accepted by another thread.
        if is_late(self.previous_us, self.latest_us) {
            return now_us.saturating_sub(self.previous_us);
        }
        0
    }
}

const fn is_late(from_us: u64, to_us: u64) -> bool {
    to_us > from_us + TICK_INTERVAL_US + MAX_LATENESS_US
}
