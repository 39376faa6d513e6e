//! Answers of the engines in virtual time.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::fault::Fault;
use crate::{
    clock::US_PER_MS,
    version::evidence::counts::Sample, //
};

/// Failures of both versions outside of outages.
pub const BASE_ERRORS: f64 = 0.003;
/// Usual time to the first token.
pub const FIRST_TOKEN_US: f64 = 200_000.0;
/// Usual time between tokens.
pub const BETWEEN_TOKENS_US: f64 = 20_000.0;
/// Spread of times as a standard deviation of the logarithm.
const SPREAD: f64 = 0.3;
/// Failures of both versions in the outages that every run contains.
const OUTAGE_ERRORS: f64 = 0.3;
const OUTAGE_MS: u64 = 5_000;
const OUTAGES: usize = 2;
/// The engines' load changes after this time.
const LOAD_PERIOD_MS: u64 = 10_000;

/// One answer on its way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Answer {
    /// When the answer is complete.
    pub at_ms: u64,
    /// Entry that waits for it.
    pub entry: usize,
    /// Route of the request.
    pub route: usize,
    /// Target that runs it.
    pub target: usize,
    /// Whether the new version runs it.
    pub is_new: bool,
    /// Whether the fault affects it.
    pub is_affected: bool,
    /// Whether it fails.
    pub failed: bool,
    /// Time to the first token.
    pub first_token_us: u64,
    /// Time between tokens.
    pub between_tokens_us: u64,
}

impl Answer {
    /// Returns what the entry records.
    pub fn sample(&self) -> Sample {
        let timed = |value_us| (!self.failed).then_some(value_us);
        Sample {
            failed: self.failed,
            first_token_us: timed(self.first_token_us),
            between_tokens_us: timed(self.between_tokens_us),
        }
    }
}

/// A request that starts.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Entry.
    pub entry: usize,
    /// Route.
    pub route: usize,
    /// Target.
    pub target: usize,
    /// Whether the new version runs it.
    pub is_new: bool,
    /// Fault that affects it.
    pub fault: Option<Fault>,
}

/// Behaviour that all engines of a run share.
#[derive(Clone, Debug)]
pub struct Engines {
    seed: u64,
    outages_ms: Vec<u64>,
}

impl Engines {
    /// Draws the outages of a run.
    pub fn new(seed: u64, end_ms: u64, rng: &mut ChaCha8Rng) -> Self {
        let outages_ms = (0..OUTAGES).map(|_| rng.random_range(0..end_ms)).collect();
        Self { seed, outages_ms }
    }

    /// Draws the answer to a request.
    pub fn draw(&self, start: Start, rng: &mut ChaCha8Rng, now_ms: u64) -> Answer {
        let base = if self.is_outage(now_ms) {
            OUTAGE_ERRORS
        } else {
            BASE_ERRORS
        };
        let fault = start.fault;
        let error_rate = fault.map_or(0.0, Fault::error_rate).max(base);
        let (first_factor, between_factor) = fault.map_or((1.0, 1.0), Fault::slowdown);
        let failed = rng.random_bool(error_rate);
        let load = self.load_factor(now_ms);
        let first_token_us = FIRST_TOKEN_US * first_factor * load * spread(rng);
        let between_tokens_us = BETWEEN_TOKENS_US * between_factor * load * spread(rng);
        let tokens = rng.random_range(10..40);
        let mut length_us = first_token_us;
        if !failed {
            length_us += between_tokens_us * f64::from(tokens);
        }
        Answer {
            at_ms: now_ms + length_us as u64 / US_PER_MS,
            entry: start.entry,
            route: start.route,
            target: start.target,
            is_new: start.is_new,
            is_affected: fault.is_some(),
            failed,
            first_token_us: first_token_us as u64,
            between_tokens_us: between_tokens_us as u64,
        }
    }

    /// Returns the slowdown by load, between one and one and a half.
    pub fn load_factor(&self, now_ms: u64) -> f64 {
        let period = now_ms / LOAD_PERIOD_MS;
        let hash = (period ^ self.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        1.0 + (hash >> 56) as f64 / 512.0
    }

    fn is_outage(&self, now_ms: u64) -> bool {
        self.outages_ms
            .iter()
            .any(|at_ms| (*at_ms..at_ms + OUTAGE_MS).contains(&now_ms))
    }
}

/// Draws the number of arrivals in a short time.
pub fn poisson(rng: &mut ChaCha8Rng, expected: f64) -> u64 {
    // Knuth's method; the expectation per tick is small.
    let limit = (-expected).exp();
    let mut count = 0;
    let mut product = rng.random::<f64>();
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

fn spread(rng: &mut ChaCha8Rng) -> f64 {
    // Box-Muller transform.
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    (SPREAD * radius * angle.cos()).exp()
}
