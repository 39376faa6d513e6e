//! Token bucket whose refill keeps fractions of a token.

use super::message::{
    MICROTOKENS_PER_TOKEN,
    RateAndBurst,
    Share, //
};

/// Token bucket of which shares can be split off, and into which they can be merged.
///
/// The level never exceeds the burst, so the tokens taken in any window are at
/// most `rate * window + burst`. The same bound holds for the sum over several
/// buckets, whichever shares are transferred between them.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    amount: RateAndBurst,
    filled_at_us: u64,
    level_microtokens: u64,
}

impl TokenBucket {
    /// Creates an empty bucket whose rate and burst are zero.
    ///
    /// ```
    /// use yuccalatch::process::limits::bucket::TokenBucket;
    ///
    /// assert!(TokenBucket::new(0).amount().is_zero());
    /// ```
    pub fn new(now_us: u64) -> Self {
        Self {
            filled_at_us: now_us,
            ..Self::default()
        }
    }

    /// Returns the rate and burst of the bucket, whatever its level.
    ///
    /// ```
    /// use yuccalatch::process::limits::bucket::TokenBucket;
    ///
    /// assert_eq!(TokenBucket::new(0).amount().burst_tokens, 0);
    /// ```
    pub const fn amount(&self) -> RateAndBurst {
        self.amount
    }

    /// Adds the tokens earned since the last call and returns the level.
    ///
    /// A time before that of the last call changes nothing.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 100 }, 0);
    /// assert_eq!(bucket.level_microtokens(50_000), 500_000);
    /// ```
    pub fn level_microtokens(&mut self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.filled_at_us);
        let earned_microtokens = self.amount.rate_tokens_per_s.saturating_mul(elapsed_us);
        self.filled_at_us = self.filled_at_us.max(now_us);
        self.level_microtokens = self
            .level_microtokens
            .saturating_add(earned_microtokens)
            .min(microtokens(self.amount.burst_tokens));
        self.level_microtokens
    }

    /// Adds the tokens earned since the last call and returns the whole tokens
    /// in the bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::bucket::TokenBucket;
    ///
    /// assert_eq!(TokenBucket::new(0).level_tokens(1_000), 0);
    /// ```
    pub fn level_tokens(&mut self, now_us: u64) -> u64 {
        self.level_microtokens(now_us) / MICROTOKENS_PER_TOKEN
    }

    /// Takes tokens if the level suffices; otherwise takes none.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 100 }, 0);
    /// assert!(!bucket.try_take(10, 999_999));
    /// assert!(bucket.try_take(10, 1_000_000));
    /// ```
    pub fn try_take(&mut self, cost_tokens: u64, now_us: u64) -> bool {
        let cost_microtokens = microtokens(cost_tokens);
        if self.level_microtokens(now_us) < cost_microtokens {
            return false;
        }
        self.level_microtokens -= cost_microtokens;
        true
    }

    /// Gives back tokens that were taken and not used, up to the burst.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 0, burst_tokens: 5 }, 0);
    /// bucket.put_back(7, 0);
    /// assert_eq!(bucket.level_tokens(0), 5);
    /// ```
    pub fn put_back(&mut self, unused_tokens: u64, now_us: u64) {
        self.put_back_microtokens(microtokens(unused_tokens), now_us);
    }

    /// Gives back microtokens that were taken and not used, up to the burst.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 0, burst_tokens: 5 }, 0);
    /// bucket.put_back_microtokens(1_500_000, 0);
    /// assert_eq!(bucket.level_tokens(0), 1);
    /// ```
    pub fn put_back_microtokens(&mut self, returned_microtokens: u64, now_us: u64) {
        self.level_microtokens(now_us);
        self.level_microtokens = self
            .level_microtokens
            .saturating_add(returned_microtokens)
            .min(microtokens(self.amount.burst_tokens));
    }

    /// Adds a share together with its level.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::*};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// let amount = RateAndBurst { rate_tokens_per_s: 0, burst_tokens: 5 };
    /// bucket.merge(Share { amount, level_microtokens: 2_000_000 }, 0);
    /// assert_eq!(bucket.level_tokens(0), 2);
    /// ```
    pub fn merge(&mut self, share: Share, now_us: u64) {
        self.level_microtokens(now_us);
        self.amount = self.amount.plus(share.amount);
        // A share whose level exceeds its own burst would lift the level of the
        // bucket above its burst.
        self.level_microtokens += share
            .level_microtokens
            .min(microtokens(share.amount.burst_tokens));
    }

    /// Splits off a share together with at least a proportional part of the level.
    ///
    /// The share gets up to `wanted_tokens` if that is more, but never more than
    /// its burst or than the level of the bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 100 }, 0);
    /// let half = RateAndBurst { rate_tokens_per_s: 5, burst_tokens: 50 };
    /// let share = bucket.split(half, 0, 2_000_000);
    /// assert_eq!(share.level_microtokens, 10_000_000);
    /// assert_eq!(bucket.level_tokens(2_000_000), 10);
    /// ```
    pub fn split(&mut self, wanted: RateAndBurst, wanted_tokens: u64, now_us: u64) -> Share {
        let level_microtokens = self.level_microtokens(now_us);
        let amount = wanted.min(self.amount);
        let rest = self.amount.minus(amount);
        let burst_tokens = self.amount.burst_tokens.max(1);
        let proportional = scale(level_microtokens, amount.burst_tokens, burst_tokens);
        let moved_microtokens = proportional
            .max(microtokens(wanted_tokens))
            .min(level_microtokens)
            .min(microtokens(amount.burst_tokens));
        self.amount = rest;
        // Rounding can leave a fraction above the burst that remains.
        self.level_microtokens =
            (level_microtokens - moved_microtokens).min(microtokens(rest.burst_tokens));
        Share {
            amount,
            level_microtokens: moved_microtokens,
        }
    }

    /// Sets rate and burst; the level stays, or is cut to a smaller burst.
    ///
    /// ```
    /// use yuccalatch::process::limits::{bucket::TokenBucket, message::RateAndBurst};
    ///
    /// let mut bucket = TokenBucket::new(0);
    /// bucket.resize(RateAndBurst { rate_tokens_per_s: 0, burst_tokens: 100 }, 0);
    /// assert_eq!(bucket.level_tokens(0), 0);
    /// ```
    pub fn resize(&mut self, amount: RateAndBurst, now_us: u64) {
        self.level_microtokens(now_us);
        self.amount = amount;
        self.level_microtokens = self.level_microtokens.min(microtokens(amount.burst_tokens));
    }
}

/// Converts tokens to microtokens.
///
/// ```
/// assert_eq!(yuccalatch::process::limits::bucket::microtokens(2), 2_000_000);
/// ```
pub const fn microtokens(tokens: u64) -> u64 {
    tokens.saturating_mul(MICROTOKENS_PER_TOKEN)
}

/// Returns `value * part / whole`, rounded down, without overflow.
///
/// ```
/// assert_eq!(yuccalatch::process::limits::bucket::scale(10, 1, 3), 3);
/// assert_eq!(yuccalatch::process::limits::bucket::scale(10, 1, 0), 0);
/// ```
pub fn scale(value: u64, part: u64, whole: u64) -> u64 {
    let product = u128::from(value) * u128::from(part);
    let quotient = product.checked_div(u128::from(whole)).unwrap_or(0);
    u64::try_from(quotient).unwrap_or(u64::MAX)
}
