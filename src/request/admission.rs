//! Charging of requests against the token rate of their organisation: reserving,
//! waiting, refusing and refunding.

use std::{
    num::NonZeroU64,
    sync::Arc, //
};

use error_stack::Report;

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    process::limits::{
        message::RateAndBurst,
        rate_limiter::{
            RateLimiter,
            TakeOutcome,
            WaiterId, //
        },
    },
};

/// Upper bound of the tokens that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the response may have.
    pub max_output_tokens: u64,
}

impl Cost {
    /// Returns the tokens to reserve, at least one.
    ///
    /// ```
    /// use yuccalatch::request::admission::Cost;
    ///
    /// let cost = Cost { prompt_tokens: 900, max_output_tokens: 100 };
    /// assert_eq!(cost.total_tokens().get(), 1_000);
    /// ```
    pub fn total_tokens(self) -> NonZeroU64 {
        let total_tokens = self.prompt_tokens.saturating_add(self.max_output_tokens);
        NonZeroU64::new(total_tokens).unwrap_or(NonZeroU64::MIN)
    }
}

/// Tokens reserved for one request.
///
/// If it is dropped without [`Reservation::settle`], all reserved tokens stay
/// charged. A defect then charges an organisation too much rather than too little.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    rate_limiter: Arc<RateLimiter>,
    reserved_tokens: u64,
}

impl Reservation {
    /// Returns the tokens that were charged when the request was admitted.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use yuccalatch::process::limits::{message::*, rate_limiter::RateLimiter};
    /// use yuccalatch::request::admission::{reserve, Admission, Cost};
    ///
    /// let limits = RateAndBurst { rate_tokens_per_s: 1_000, burst_tokens: 100 };
    /// let rate_limiter = Arc::new(RateLimiter::new(0));
    /// let cost = Cost { prompt_tokens: 6, max_output_tokens: 4 };
    /// rate_limiter.merge(Share { amount: limits, level_microtokens: 100_000_000 }, 0);
    /// let admission = reserve(&rate_limiter, cost, limits, 1, 0).unwrap();
    /// let Admission::Admitted(reservation) = admission else {
    ///     panic!("a full bucket admits at once");
    /// };
    /// assert_eq!(reservation.reserved_tokens(), 10);
    /// ```
    pub const fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Ends the reservation, refunds the tokens that were not used and returns
    /// their number.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use yuccalatch::process::limits::{message::*, rate_limiter::RateLimiter};
    /// use yuccalatch::request::admission::{reserve, Admission, Cost};
    ///
    /// let limits = RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 100 };
    /// let rate_limiter = Arc::new(RateLimiter::new(0));
    /// rate_limiter.merge(Share { amount: limits, level_microtokens: 100_000_000 }, 0);
    /// let cost = Cost { prompt_tokens: 60, max_output_tokens: 40 };
    /// let admission = reserve(&rate_limiter, cost, limits, 1, 0).unwrap();
    /// let Admission::Admitted(reservation) = admission else {
    ///     panic!("a full bucket admits at once");
    /// };
    /// assert_eq!(reservation.settle(75, 0), 25);
    /// ```
    pub fn settle(self, used_tokens: u64, now_us: u64) -> u64 {
        let unused_tokens = self.reserved_tokens.saturating_sub(used_tokens);
        self.rate_limiter.put_back(unused_tokens, now_us);
        unused_tokens
    }
}

/// A request that waits for tokens.
///
/// Dropping it removes the request from the queue.
#[derive(Debug)]
#[must_use]
pub struct WaitingRequest {
    rate_limiter: Arc<RateLimiter>,
    cost_tokens: u64,
    waiter_id: WaiterId,
    retry_at_us: u64,
}

impl WaitingRequest {
    /// Returns when to call [`WaitingRequest::retry`]. If a share arrives before, it
    /// may be called at once.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use yuccalatch::process::limits::{message::RateAndBurst, rate_limiter::RateLimiter};
    /// use yuccalatch::request::admission::{reserve, Admission, Cost};
    ///
    /// let limits = RateAndBurst { rate_tokens_per_s: 1_000, burst_tokens: 100 };
    /// let rate_limiter = Arc::new(RateLimiter::new(0));
    /// let cost = Cost { prompt_tokens: 6, max_output_tokens: 4 };
    /// let admission = reserve(&rate_limiter, cost, limits, 20_000, 0).unwrap();
    /// let Admission::Waiting(waiting) = admission else {
    ///     panic!("an empty bucket cannot admit");
    /// };
    /// // The local rate is zero. Only a share can admit the request before the
    /// // deadline, so that the next retry is at the deadline.
    /// assert_eq!(waiting.retry_at_us(), 20_000);
    /// ```
    pub const fn retry_at_us(&self) -> u64 {
        self.retry_at_us
    }

    /// Tries again to reserve the tokens; returns `None` if the request still has to
    /// wait.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::RateLimited`] when the deadline has passed.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use yuccalatch::process::limits::{message::RateAndBurst, rate_limiter::RateLimiter};
    /// use yuccalatch::request::admission::{reserve, Admission, Cost};
    ///
    /// let limits = RateAndBurst { rate_tokens_per_s: 1_000, burst_tokens: 100 };
    /// let cost = Cost { prompt_tokens: 5, max_output_tokens: 5 };
    /// let rate_limiter = Arc::new(RateLimiter::new(0));
    /// let admission = reserve(&rate_limiter, cost, limits, 20_000, 0).unwrap();
    /// let Admission::Waiting(mut waiting) = admission else {
    ///     panic!("an empty bucket cannot admit");
    /// };
    /// assert!(waiting.retry(10_000).unwrap().is_none());
    /// assert!(waiting.retry(20_000).is_err());
    /// ```
    pub fn retry(&mut self, now_us: u64) -> Result<Option<Reservation>> {
        match self.rate_limiter.retry(self.waiter_id, now_us) {
            TakeOutcome::Taken => Ok(Some(Reservation {
                rate_limiter: Arc::clone(&self.rate_limiter),
                reserved_tokens: self.cost_tokens,
            })),
            TakeOutcome::Waiting { retry_at_us, .. } => {
                self.retry_at_us = retry_at_us;
                Ok(None)
            }
            TakeOutcome::Refused => Err(Report::new(ErrorKind::RateLimited)),
        }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        // After a successful retry, the request is no longer in the queue and this
        // has no effect.
        self.rate_limiter.cancel(self.waiter_id);
    }
}

/// Result of a reservation that was not refused.
#[derive(Debug)]
pub enum Admission {
    /// The tokens are reserved.
    Admitted(Reservation),
    /// The tokens may become available before the deadline.
    Waiting(WaitingRequest),
}

/// Reserves the tokens of a request.
///
/// `limits` are those of the whole organisation, of which `rate_limiter` manages
/// the share of this entry. A request waits if the missing tokens could become
/// available before `expires_at_us`.
///
/// # Errors
///
/// Returns [`ErrorKind::CostAboveBurst`] when the cost exceeds the burst of
/// the organisation, so that no wait is long enough, and
/// [`ErrorKind::RateLimited`] when the missing tokens cannot become available in
/// time.
///
/// ```
/// use std::sync::Arc;
/// use yuccalatch::process::limits::{message::RateAndBurst, rate_limiter::RateLimiter};
/// use yuccalatch::request::admission::{reserve, Cost};
///
/// let limits = RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 100 };
/// let cost = Cost { prompt_tokens: 100, max_output_tokens: 1 };
/// assert!(reserve(&Arc::new(RateLimiter::new(0)), cost, limits, 1, 0).is_err());
/// ```
pub fn reserve(
    rate_limiter: &Arc<RateLimiter>,
    cost: Cost,
    limits: RateAndBurst,
    expires_at_us: u64,
    now_us: u64,
) -> Result<Admission> {
    let cost_tokens = cost.total_tokens().get();
    if cost_tokens > limits.burst_tokens {
        return Err(Report::new(ErrorKind::CostAboveBurst));
    }
    let outcome = rate_limiter.take(cost_tokens, limits.rate_tokens_per_s, expires_at_us, now_us);
    build_admission(rate_limiter, cost_tokens, outcome)
}

fn build_admission(
    rate_limiter: &Arc<RateLimiter>,
    cost_tokens: u64,
    outcome: TakeOutcome,
) -> Result<Admission> {
    match outcome {
        TakeOutcome::Taken => Ok(Admission::Admitted(Reservation {
            rate_limiter: Arc::clone(rate_limiter),
            reserved_tokens: cost_tokens,
        })),
        TakeOutcome::Waiting {
            waiter_id,
            retry_at_us,
        } => Ok(Admission::Waiting(WaitingRequest {
            rate_limiter: Arc::clone(rate_limiter),
            cost_tokens,
            waiter_id,
            retry_at_us,
        })),
        TakeOutcome::Refused => Err(Report::new(ErrorKind::RateLimited)),
    }
}
