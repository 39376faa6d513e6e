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

/// Prior of the old version's rate: about 2.4% with the weight of 20 answers.
const PRIOR_BAD: f64 = 0.5;
const PRIOR_GOOD: f64 = 20.0;
/// Greatest weight of all older answers of the old version, in answers. They
/// stand in when the old version gets little traffic, and yield to present
/// ones.
const BASE_WEIGHT: f64 = 20.0;
/// Weight of the usual rate within one block, in answers.
const BLOCK_WEIGHT: f64 = 0.5;
/// Prior of the old version's rate where only answers of the same time count.
const SIDE_PRIOR: f64 = 0.5;

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
    /// Returns the number of answers.
    ///
    /// ```
    /// use yuccalatch::version::evidence::sequential::Tally;
    ///
    /// assert_eq!(Tally { bad: 1, good: 3 }.count(), 4);
    /// ```
    pub fn count(self) -> u64 {
        self.bad + self.good
    }

    /// Returns the part of bad answers, zero without any.
    ///
    /// ```
    /// use yuccalatch::version::evidence::sequential::Tally;
    ///
    /// assert_eq!(Tally { bad: 1, good: 3 }.rate(), 0.25);
    /// ```
    pub fn rate(self) -> f64 {
        if self.count() == 0 {
            return 0.0;
        }
        self.bad as f64 / self.count() as f64
    }

    /// Adds another tally.
    pub fn merge(&mut self, other: Self) {
        self.bad += other.bad;
        self.good += other.good;
    }
}

/// Answers of the new version, and those of the old one weighted to the same
/// times. Shares change during a move, so a plain sum would compare an outage
/// that mainly one version saw with quiet times of the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Strata {
    new: Tally,
    expected_bad: f64,
    /// Sum of `new^2 / old` over the blocks, the variance of `expected_bad`
    /// up to a factor. It yields the number of old answers that count: a block
    /// with many new and few old answers tells little about the old version.
    spread: f64,
}

impl Strata {
    /// Compares the answers of one block. A block without answers of the old
    /// version is no evidence. `usual` holds all answers of the old version.
    ///
    /// ```
    /// use yuccalatch::version::evidence::sequential::{Strata, Tally};
    ///
    /// let old = Tally { bad: 5, good: 995 };
    /// let bad = Strata::of(old, Tally { bad: 7, good: 0 }, old);
    /// let fine = Strata::of(old, Tally { bad: 1, good: 99 }, old);
    /// assert!(bad.log_odds(old) > 18.0 && fine.log_odds(old) < 3.0);
    /// ```
    pub fn of(old: Tally, new: Tally, usual: Tally) -> Self {
        if new.count() == 0 || old.count() == 0 {
            return Self::default();
        }
        let weighted_bad = old.bad as f64 + BLOCK_WEIGHT * usual.rate();
        let rate = weighted_bad / (old.count() as f64 + BLOCK_WEIGHT);
        let new_count = new.count() as f64;
        Self {
            new,
            expected_bad: rate * new_count,
            spread: new_count * new_count / old.count() as f64,
        }
    }

    /// Adds another block or route.
    pub fn merge(&mut self, other: &Self) {
        self.new.merge(other.new);
        self.expected_bad += other.expected_bad;
        self.spread += other.spread;
    }

    /// Returns the answers of the new version.
    pub fn new_answers(&self) -> Tally {
        self.new
    }

    /// Returns the log odds that the new version is worse than the old one.
    /// `base` holds all answers of the old version.
    pub fn log_odds(&self, base: Tally) -> f64 {
        let base_weight = BASE_WEIGHT.min(base.count() as f64);
        self.odds_against(
            PRIOR_BAD + base.rate() * base_weight,
            PRIOR_GOOD + (1.0 - base.rate()) * base_weight,
        )
    }

    /// Returns the log odds from answers of the same time alone. In an outage
    /// the old version's usual rate misleads, however well it is known.
    pub fn side_by_side(&self) -> f64 {
        self.odds_against(SIDE_PRIOR, SIDE_PRIOR)
    }

    fn odds_against(&self, prior_bad: f64, prior_good: f64) -> f64 {
        if self.new.bad == 0 {
            return 0.0;
        }
        let new_count = self.new.count() as f64;
        let old_count = new_count * new_count / self.spread;
        let old_bad = self.expected_bad / new_count * old_count;
        let alpha = prior_bad + old_bad;
        let beta = prior_good + old_count - old_bad;
        if self.new.rate() <= alpha / (alpha + beta) {
            return 0.0;
        }
        let (bad, good) = (self.new.bad as f64, self.new.good as f64);
        let same_rate = ln_beta(alpha + bad, beta + good) - ln_beta(alpha, beta);
        let own_rate = ln_beta(1.0 + bad, 1.0 + good);
        own_rate - same_rate
    }
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
