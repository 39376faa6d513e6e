//! Forecasts when a target answers a request.
//!
//! Designed for targets that differ in speed and whose load is known late: placement,
//! admission and log lines use one forecast, with what is uncertain about it.

use crate::clock::US_PER_MS;

/// What is expected of a request that is sent to a target now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Time to the first token of an engine, or to the answer of another target.
    pub first_token_us: u64,
    /// Typical deviation of the measured time from the forecast.
    pub spread_us: u64,
    /// Whether a fresh report says that the request starts at once: nothing waits at the
    /// target, a place is free and its memory has room.
    pub has_free_place: bool,
}

impl Forecast {
    /// Builds a forecast from the cost by which placement ranks a target.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Forecast;
    ///
    /// assert_eq!(Forecast::from_cost_ms(1.5, false).first_token_us, 1_500);
    /// ```
    pub fn from_cost_ms(cost_ms: f64, has_free_place: bool) -> Self {
        Self {
            first_token_us: (cost_ms.max(0.0) * US_PER_MS as f64) as u64,
            spread_us: 0,
            has_free_place,
        }
    }
}
