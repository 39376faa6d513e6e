//! Weight of an organisation, as an entry sets it.

use crate::clock::US_PER_S;

/// Half-life of the measured demand. Shorter ones mistake the normal bursts of
/// a small organisation for a flood.
const HALF_LIFE_US: u64 = 5 * US_PER_S;
/// Demand above the rate that is still normal variation. With 1.5, bursts of an
/// organisation with one request in two seconds counted as floods.
const TOLERANCE: f64 = 3.0;
/// Units on the wire for one unit of a ticket's weight. Weights in tickets start
/// at 1; without the finer unit they could not be reduced.
pub const UNITS_PER_TICKET_WEIGHT: u32 = 64;

/// Standing of an organisation when one of its requests arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatus {
    /// Factor on the weight, at most one.
    pub weight_factor: f64,
    /// Whether the organisation asks for several times its rate.
    pub is_over_rate: bool,
}

impl Default for RateStatus {
    fn default() -> Self {
        Self {
            weight_factor: 1.0,
            is_over_rate: false,
        }
    }
}

impl RateStatus {
    /// Returns the weight to send to an agent for a weight of a ticket.
    ///
    /// ```
    /// use yuccalatch::process::fair_queue::{RateStatus, UNITS_PER_TICKET_WEIGHT};
    ///
    /// assert_eq!(RateStatus::default().weight(2), 2 * UNITS_PER_TICKET_WEIGHT);
    /// let flood = RateStatus { weight_factor: 0.0, is_over_rate: true };
    /// assert_eq!(flood.weight(2), 1);
    /// ```
    pub fn weight(self, ticket_weight: u32) -> u32 {
        let units = f64::from(ticket_weight) * f64::from(UNITS_PER_TICKET_WEIGHT);
        // The conversion saturates.
        ((units * self.weight_factor) as u32).max(1)
    }
}

/// Measures what an organisation asks of this entry.
///
/// The weight is the rate, reduced by the fourth power of the excess when the
/// organisation asks for several times as much; an excess of ten then puts a
/// large organisation below a small one. An agent sees only its own part of the
/// traffic and cannot tell a flood from an organisation whose prefixes happen
/// to be cached there.
///
/// ```
/// use yuccalatch::process::fair_queue::DemandMeter;
///
/// let mut calm = DemandMeter::default();
/// let mut flood = DemandMeter::default();
/// let mut factors = (0.0, 0.0);
/// for second in 0..60 {
///     factors.0 = calm.count(1_000, 1_000, second * 1_000_000).weight_factor;
///     factors.1 = flood.count(10_000, 1_000, second * 1_000_000).weight_factor;
/// }
/// assert_eq!(factors.0, 1.0);
/// assert!(factors.1 <= 0.2);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    tokens: f64,
    updated_at_us: u64,
}

impl DemandMeter {
    /// Counts a request and returns the standing of the organisation.
    ///
    /// `rate_tokens_per_s` is this entry's part of the rate.
    ///
    /// ```
    /// use yuccalatch::process::fair_queue::DemandMeter;
    ///
    /// let mut demand = DemandMeter::default();
    /// assert!(!demand.count(1_000, 1_000, 0).is_over_rate);
    /// assert!(demand.count(100_000, 1_000, 0).is_over_rate);
    /// ```
    pub fn count(&mut self, cost_tokens: u64, rate_tokens_per_s: u64, now_us: u64) -> RateStatus {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        let kept = (-(age_us as f64) / HALF_LIFE_US as f64).exp2();
        self.tokens = self.tokens * kept + cost_tokens as f64;
        self.updated_at_us = now_us;
        // A decaying sum of a constant rate settles at rate * half-life / ln 2.
        let window_s = HALF_LIFE_US as f64 / US_PER_S as f64 / std::f64::consts::LN_2;
        let normal = rate_tokens_per_s as f64 * window_s * TOLERANCE;
        RateStatus {
            weight_factor: (normal / self.tokens.max(1.0)).min(1.0).powi(4),
            is_over_rate: self.tokens > normal,
        }
    }
}
