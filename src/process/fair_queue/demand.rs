//! Demand of an organisation against its rate, from which an entry sets the
//! weight of the organisation's requests.

use crate::clock::US_PER_S;

/// Half-life of the measured demand. With a shorter one, normal bursts of a
/// small organisation count as a flood.
const HALF_LIFE_US: u64 = 5 * US_PER_S;
/// Demand divided by the rate that is still normal variation. With 1.5, bursts
/// of an organisation that sends one request in two seconds counted as floods.
const NORMAL_DEMAND_TO_RATE: f64 = 3.0;
/// Units of the weight sent to an agent per unit of a ticket's weight. A weight
/// in a ticket may be 1, which could not be reduced without a finer unit.
pub const UNITS_PER_TICKET_WEIGHT: u32 = 64;

/// Demand of an organisation compared with its rate, when one of its requests
/// arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatus {
    /// Factor on the weight; one within the rate, smaller above it.
    pub weight_factor: f64,
    /// Whether the demand is above the normal variation, several times the rate.
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
    /// Returns the weight to send to an agent for the weight of a ticket, at
    /// least 1.
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
        // The conversion to `u32` saturates.
        ((units * self.weight_factor) as u32).max(1)
    }
}

/// Measures the tokens that an organisation requests from this entry.
///
/// When the demand is above the normal variation, several times the rate, the
/// weight is divided by the fourth power of the excess, which is the demand
/// divided by the normal variation. With an excess of ten, a large organisation
/// has less weight than a small one. The entry decides this, because an agent sees
/// only its own part of the traffic and cannot distinguish a flood from an
/// organisation whose prefixes happen to be cached there.
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
    /// Decaying sum of the requested tokens, as of `updated_at_us`.
    tokens: f64,
    updated_at_us: u64,
}

impl DemandMeter {
    /// Counts a request and compares the demand with the rate.
    ///
    /// `rate_tokens_per_s` is this entry's part of the organisation's rate.
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
        let kept_share = (-(age_us as f64) / HALF_LIFE_US as f64).exp2();
        self.tokens = self.tokens * kept_share + cost_tokens as f64;
        self.updated_at_us = now_us;
        // The decaying sum of a constant rate converges to rate * half-life / ln 2.
        let window_s = HALF_LIFE_US as f64 / US_PER_S as f64 / std::f64::consts::LN_2;
        let normal_tokens = rate_tokens_per_s as f64 * window_s * NORMAL_DEMAND_TO_RATE;
        RateStatus {
            weight_factor: (normal_tokens / self.tokens.max(1.0)).min(1.0).powi(4),
            is_over_rate: self.tokens > normal_tokens,
        }
    }
}
