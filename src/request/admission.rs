//! Charging of requests: reserve, wait or refuse, and refund.

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

/// Tokens that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
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
/// Dropped without [`Reservation::settle`], the whole reservation stays
/// charged, which is the safe side after a defect.
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    rate_limiter: Arc<RateLimiter>,
    reserved_tokens: u64,
}

impl Reservation {
    /// Returns the reserved tokens.
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
    /// let Admission::Admitted(reservation) = reserve(&rate_limiter, cost, limits, 1, 0).unwrap() else {
    ///     panic!("a full bucket admits at once");
    /// };
    /// assert_eq!(reservation.reserved_tokens(), 10);
    /// ```
    pub const fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Ends the reservation and gives back what was not used.
    ///
    /// Returns the refunded tokens.
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
    /// let Admission::Admitted(reservation) = reserve(&rate_limiter, cost, limits, 1, 0).unwrap() else {
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
/// Dropping it gives up the place in the queue.
#[derive(Debug)]
#[must_use]
pub struct WaitingRequest {
    rate_limiter: Arc<RateLimiter>,
    cost_tokens: u64,
    waiter_id: WaiterId,
    retry_at_us: u64,
}

impl WaitingRequest {
    /// Returns when to call [`WaitingRequest::retry`] unless a share arrives before.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use yuccalatch::process::limits::{message::RateAndBurst, rate_limiter::RateLimiter};
    /// use yuccalatch::request::admission::{reserve, Admission, Cost};
    ///
    /// let limits = RateAndBurst { rate_tokens_per_s: 1_000, burst_tokens: 100 };
    /// let rate_limiter = Arc::new(RateLimiter::new(0));
    /// let cost = Cost { prompt_tokens: 6, max_output_tokens: 4 };
    /// let Admission::Waiting(waiting) = reserve(&rate_limiter, cost, limits, 20_000, 0).unwrap() else {
    ///     panic!("an empty bucket cannot admit");
    /// };
    /// // Without a local rate only a share can help, so that the deadline is next.
    /// assert_eq!(waiting.retry_at_us(), 20_000);
    /// ```
    pub const fn retry_at_us(&self) -> u64 {
        self.retry_at_us
    }

    /// Asks again for the tokens; `None` means that the request still waits.
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
    /// let Admission::Waiting(mut waiting) = reserve(&rate_limiter, cost, limits, 20_000, 0).unwrap() else {
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
        // After a successful retry the ticket is unknown and nothing happens.
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
/// `limits` are those of the whole organisation. A request waits when its
/// shortfall could clear before the deadline.
///
/// # Errors
///
/// Returns [`ErrorKind::CostAboveBurst`] when the cost exceeds the burst of
/// the organisation, so that waiting cannot help, and
/// [`ErrorKind::RateLimited`] when the shortfall cannot clear in time.
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
    let take = rate_limiter.take(cost_tokens, limits.rate_tokens_per_s, expires_at_us, now_us);
    admission(rate_limiter, cost_tokens, take)
}

fn admission(
    rate_limiter: &Arc<RateLimiter>,
    cost_tokens: u64,
    take: TakeOutcome,
) -> Result<Admission> {
    match take {
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
