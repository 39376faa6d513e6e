//! The only module that reads a clock.
//!
//! Decision modules take the time as an argument, so that they run the same in
//! production, under replay and in tests.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// Reads monotonic and wall-clock time.
///
/// Monotonic times count from the start of the clock and have no meaning in other
/// processes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock whose monotonic time begins at zero.
    ///
    /// ```
    /// let clock = yuccalatch::clock::Clock::start();
    /// assert!(clock.now_us() <= clock.now_us());
    /// ```
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns monotonic microseconds since the clock was started.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a deadline on this clock to an [`Instant`] for use with timers.
    ///
    /// ```
    /// let clock = yuccalatch::clock::Clock::start();
    /// assert!(clock.instant(2_000) > clock.instant(1_000));
    /// ```
    pub fn instant(&self, deadline_us: u64) -> Instant {
        self.origin + Duration::from_micros(deadline_us)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    ///
    /// Wall-clock time may jump, so it is only used for times that operators state.
    pub fn unix_ms(&self) -> u64 {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
