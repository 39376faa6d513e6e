//! Sequential test of bad answers, new version against old.
//!
//! The score is the logarithm of a Bayes factor: how much better the answers of
//! the new version are predicted by a rate of its own (uniform prior) than by
//! the rate of the old version (beta distribution fitted to its answers). The
//! expected factor is one as long as both rates are equal, so by Ville's
//! inequality it exceeds `k` with probability at most `1 / k`, no matter how
//! often it is looked at.

use serde::{
    Deserialize,
    Serialize, //
};

use super::counts::{
    Counts,
    Latency, //
};

/// Prior of the old version's rate: about 2.4% with the weight of 20 answers.
const PRIOR_BAD: f64 = 0.5;
const PRIOR_GOOD: f64 = 20.0;
/// Greatest weight of older answers of the old version, in answers. They stand
/// in when the old version gets little traffic, and yield to present ones.
const BASE_WEIGHT: f64 = 100.0;
/// Smallest part of slow answers that counts as a slow version. Queueing makes
/// latencies depend on each other, so smaller excesses occur by chance.
const SLOW_RATE: f64 = 0.2;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Symptom {
    /// It fails more often.
    Errors,
    /// Its first tokens come later.
    FirstToken,
    /// Its tokens come more slowly.
    BetweenTokens,
}

/// Answers split in two.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Failed or slow answers.
    pub bad: u64,
    /// All others.
    pub good: u64,
}

impl Tally {
    /// Returns the part of bad answers, zero without any.
    ///
    /// ```
    /// use yuccalatch::version::evidence::sequential::Tally;
    ///
    /// assert_eq!(Tally { bad: 1, good: 3 }.rate(), 0.25);
    /// ```
    pub fn rate(self) -> f64 {
        let total = self.bad + self.good;
        if total == 0 {
            return 0.0;
        }
        self.bad as f64 / total as f64
    }
}

/// Returns the log odds that the new version is worse than the old one, given
/// the answers of both in the same period and older ones of the old version.
///
/// ```
/// use yuccalatch::version::evidence::sequential::{log_odds, Tally};
///
/// let old = Tally { bad: 5, good: 995 };
/// let bad = log_odds(old, Tally { bad: 6, good: 0 }, Tally::default());
/// let fine = log_odds(old, Tally { bad: 1, good: 99 }, Tally::default());
/// assert!(bad > 18.0 && fine < 3.0);
/// ```
pub fn log_odds(old: Tally, new: Tally, base: Tally) -> f64 {
    let base_count = (base.bad + base.good) as f64;
    let weight = if base_count > BASE_WEIGHT {
        BASE_WEIGHT / base_count
    } else {
        1.0
    };
    let alpha = PRIOR_BAD + base.bad as f64 * weight + old.bad as f64;
    let beta = PRIOR_GOOD + base.good as f64 * weight + old.good as f64;
    if new.rate() <= alpha / (alpha + beta) {
        return 0.0;
    }
    let (bad, good) = (new.bad as f64, new.good as f64);
    let same_rate = ln_beta(alpha + bad, beta + good) - ln_beta(alpha, beta);
    let own_rate = ln_beta(1.0 + bad, 1.0 + good);
    own_rate - same_rate
}

/// Returns the highest log odds of all symptoms.
///
/// ```
/// use yuccalatch::version::evidence::counts::Counts;
/// use yuccalatch::version::evidence::sequential::worst;
///
/// let none = Counts::default();
/// assert_eq!(worst(&none, &none, &none).0, 0.0);
/// ```
pub fn worst(old: &Counts, new: &Counts, base: &Counts) -> (f64, Symptom) {
    let errors = log_odds(old.errors(), new.errors(), base.errors());
    let first_token = slowness(&old.first_token, &new.first_token, &base.first_token);
    let between = slowness(
        &old.between_tokens,
        &new.between_tokens,
        &base.between_tokens,
    );
    let mut worst = (errors, Symptom::Errors);
    if first_token > worst.0 {
        worst = (first_token, Symptom::FirstToken);
    }
    if between > worst.0 {
        worst = (between, Symptom::BetweenTokens);
    }
    worst
}

/// Log odds that the new version exceeds the usual latencies of the old one
/// more often. Usual is everything up to one bucket above the 95th percentile,
/// now or before, whichever is higher.
fn slowness(old: &Latency, new: &Latency, base: &Latency) -> f64 {
    let Some(usual) = old.p95_bucket().max(base.p95_bucket()) else {
        return 0.0;
    };
    let limit = usual + 1;
    let tally = new.above(limit);
    if tally.rate() < SLOW_RATE {
        return 0.0;
    }
    log_odds(old.above(limit), tally, base.above(limit))
}

fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

/// Stirling's series after shifting the argument above 8, where its error is
/// below 1e-9.
fn ln_gamma(x: f64) -> f64 {
    const SHIFTED: f64 = 8.0;
    let mut x = x;
    let mut product = 1.0;
    while x < SHIFTED {
        product *= x;
        x += 1.0;
    }
    let inverse = 1.0 / x;
    let square = inverse * inverse;
    let series = inverse * (1.0 / 12.0 - square * (1.0 / 360.0 - square / 1_260.0));
    (x - 0.5) * x.ln() - x + 0.5 * std::f64::consts::TAU.ln() + series - product.ln()
}
