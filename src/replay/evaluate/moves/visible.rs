//! When a fault becomes visible.
//!
//! A fault is visible when an observer who sees every answer of the fleet at
//! once, but knows no rate in advance, reaches the odds at which the router
//! cuts, from then on; odds that the next answers lower again are a fluctuation.
//! The difference to the router's cut is what the distribution over
//! entries costs. An observer who also knows both rates needs fewer answers;
//! his time is recorded as well.

use super::{
    draw::{
        Answer,
        BASE_ERRORS,
        BETWEEN_TOKENS_US,
        FIRST_TOKEN_US, //
    },
    fault::{
        Fault,
        ROUTES, //
    },
};
use crate::{
    clock::US_PER_MS,
    version::evidence::{
        Evidence,
        STRONG_LN,
        Side,
        Verdict, //
    },
};

/// Usual answers are rarely, in 5 of 100 cases, slower than the median by this
/// factor: 1.645 standard deviations.
const RARELY_EXCEEDED: f64 = 1.638;
const RARE: f64 = 0.05;

/// Ideal observers of one run.
#[derive(Clone, Debug, Default)]
pub struct Observers {
    evidence: Evidence,
    known_rates_ln: f64,
    /// When the observer who does not know the rates is certain.
    pub visible_at_ms: Option<u64>,
    /// When the observer who knows the rates is certain.
    pub known_rates_at_ms: Option<u64>,
}

impl Observers {
    /// Takes an answer into account.
    pub fn observe(&mut self, answer: &Answer, fault: Fault, load: f64, now_ms: u64) {
        let side = if answer.is_new { Side::New } else { Side::Old };
        let now_us = now_ms * US_PER_MS;
        self.evidence
            .route(&ROUTES[answer.route].0.into())
            .record(side, answer.sample(), now_us);
        if !answer.is_affected {
            return;
        }
        self.known_rates_ln += known_rates(answer, fault, load);
        if self.known_rates_ln >= STRONG_LN {
            self.known_rates_at_ms.get_or_insert(now_ms);
        }
        let verdict = self
            .evidence
            .worst(now_us)
            .map(|(_, score)| score.verdict());
        if matches!(verdict, Some(Verdict::Strong(_))) {
            self.visible_at_ms.get_or_insert(now_ms);
        } else {
            self.visible_at_ms = None;
        }
    }
}

fn known_rates(answer: &Answer, fault: Fault, load: f64) -> f64 {
    let is_slow =
        |value_us: u64, usual_us: f64| value_us as f64 > usual_us * load * RARELY_EXCEEDED;
    // The rates of slow answers follow from the factors and the spread.
    let (is_bad, usual, faulty) = match fault {
        Fault::SlowFirstToken => (is_slow(answer.first_token_us, FIRST_TOKEN_US), RARE, 0.998),
        Fault::SlowTokens => {
            let is_bad = is_slow(answer.between_tokens_us, BETWEEN_TOKENS_US);
            (is_bad, RARE, 0.978)
        }
        _ => (answer.failed, BASE_ERRORS, fault.error_rate().min(0.999)),
    };
    if is_bad {
        return f64::ln(faulty / usual);
    }
    f64::ln((1.0 - faulty) / (1.0 - usual))
}
