//! Bucket and waiting requests of one organisation, shared between threads.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use super::{
    bucket::TokenBucket,
    message::{
        RateAndBurst,
        Share, //
    },
};
use crate::process::fair_queue::{
    Demand,
    Standing, //
};

/// Waiting requests of one organisation in one process; further ones are
/// refused, which bounds the memory of the queue.
pub const MAX_WAITERS: usize = 1_024;
/// Shortest time between two tries of a waiting request. Without it, a request
/// behind one that has not been retried yet would ask again at once.
pub const MIN_RETRY_US: u64 = 1_000;

/// Position of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

/// Result of asking for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeOutcome {
    /// The tokens were taken.
    Taken,
    /// The request waits; `retry_at_us` is the earliest useful time to ask
    /// again unless a share arrives before.
    Waiting {
        /// Names the waiting request.
        waiter_id: WaiterId,
        /// When the local refill may suffice, at most the deadline.
        retry_at_us: u64,
    },
    /// The tokens cannot become available before the deadline.
    Refused,
}

/// What the traffic side has asked for since the last call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandSample {
    /// Tokens asked for, whether admitted or not.
    pub offered_tokens: u64,
    /// Tokens that waiting requests lack.
    pub shortfall_tokens: u64,
    /// Tokens in the bucket.
    pub level_tokens: u64,
}

#[derive(Debug)]
struct Waiter {
    waiter_id: WaiterId,
    cost_tokens: u64,
    expires_at_us: u64,
}

#[derive(Debug, Default)]
struct State {
    bucket: TokenBucket,
    waiters: VecDeque<Waiter>,
    waiting_tokens: u64,
    offered_tokens: u64,
    demand: Demand,
    next_ticket: u64,
    /// No waiting request expires earlier, so that most calls need no search.
    next_expiry_us: u64,
}

/// Bucket of one organisation in one process.
///
/// Traffic threads take tokens; the control thread merges and splits shares.
/// Waiting requests are served in order, so that a large one is not starved by
/// small ones behind it.
#[derive(Debug, Default)]
pub struct RateLimiter {
    state: Mutex<State>,
}

impl RateLimiter {
    /// Creates a meter without a share.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::RateLimiter;
    ///
    /// assert!(RateLimiter::new(0).amount().is_zero());
    /// ```
    pub fn new(now_us: u64) -> Self {
        let state = State {
            bucket: TokenBucket::new(now_us),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Returns rate and burst that this process may use.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::RateLimiter;
    ///
    /// assert_eq!(RateLimiter::new(0).amount().rate_tokens_per_s, 0);
    /// ```
    pub fn amount(&self) -> RateAndBurst {
        self.lock().bucket.amount()
    }

    /// Counts a request against this process's share of the rate, whether it is
    /// admitted or not, and returns the standing of the organisation.
    ///
    /// Without a share there is nothing to compare with; the ledger lends one
    /// within a round to an organisation with steady traffic.
    ///
    /// ```
    /// use yuccalatch::process::limits::{message::*, rate_limiter::RateLimiter};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// assert!(!rate_limiter.count_request(100_000, 0).is_over_rate);
    /// let amount = RateAndBurst { rate_tokens_per_s: 1_000, burst_tokens: 1_000 };
    /// rate_limiter.merge(Share { amount, level_microtokens: 0 }, 0);
    /// assert!(rate_limiter.count_request(100_000, 0).is_over_rate);
    /// ```
    pub fn count_request(&self, cost_tokens: u64, now_us: u64) -> Standing {
        let mut state = self.lock();
        let rate_tokens_per_s = state.bucket.amount().rate_tokens_per_s;
        if rate_tokens_per_s == 0 {
            return Standing::default();
        }
        state.demand.count(cost_tokens, rate_tokens_per_s, now_us)
    }

    /// Takes tokens, or queues the request when the whole rate of the
    /// organisation could clear the queue before the deadline.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::{RateLimiter, TakeOutcome};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// assert_eq!(rate_limiter.take(10, 1_000, 5_000, 0), TakeOutcome::Refused);
    /// assert!(matches!(rate_limiter.take(10, 1_000, 20_000, 0), TakeOutcome::Waiting { .. }));
    /// ```
    pub fn take(
        &self,
        cost_tokens: u64,
        organisation_tokens_per_s: u64,
        expires_at_us: u64,
        now_us: u64,
    ) -> TakeOutcome {
        let mut state = self.lock();
        state.offered_tokens = state.offered_tokens.saturating_add(cost_tokens);
        state.drop_expired(now_us);
        if state.waiters.is_empty() && state.bucket.try_take(cost_tokens, now_us) {
            return TakeOutcome::Taken;
        }
        let needed_tokens = state.waiting_tokens.saturating_add(cost_tokens);
        let lacking_tokens = needed_tokens.saturating_sub(state.bucket.level_tokens(now_us));
        let clears_at_us = ready_at_us(lacking_tokens, organisation_tokens_per_s, now_us);
        if clears_at_us >= expires_at_us || state.waiters.len() >= MAX_WAITERS {
            return TakeOutcome::Refused;
        }
        let waiter_id = WaiterId(state.next_ticket);
        state.next_ticket += 1;
        state.waiting_tokens = needed_tokens;
        state.next_expiry_us = state.next_expiry_us.min(expires_at_us);
        state.waiters.push_back(Waiter {
            waiter_id,
            cost_tokens,
            expires_at_us,
        });
        state.waiting(waiter_id, lacking_tokens, expires_at_us, now_us)
    }

    /// Asks again for a waiting request.
    ///
    /// An unknown ticket and one whose deadline has passed are refused.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::{RateLimiter, TakeOutcome};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// let TakeOutcome::Waiting { waiter_id, .. } = rate_limiter.take(10, 1_000, 20_000, 0) else {
    ///     panic!("an empty bucket cannot admit");
    /// };
    /// assert_eq!(rate_limiter.retry(waiter_id, 20_000), TakeOutcome::Refused);
    /// ```
    pub fn retry(&self, waiter_id: WaiterId, now_us: u64) -> TakeOutcome {
        let mut state = self.lock();
        state.drop_expired(now_us);
        let Ok(index) = state
            .waiters
            .binary_search_by_key(&waiter_id, |waiter| waiter.waiter_id)
        else {
            return TakeOutcome::Refused;
        };
        let cost_tokens = state.waiters[index].cost_tokens;
        if index == 0 && state.bucket.try_take(cost_tokens, now_us) {
            state.remove(index);
            return TakeOutcome::Taken;
        }
        let expires_at_us = state.waiters[index].expires_at_us;
        let ahead = state.waiters.iter().take(index + 1);
        let needed_tokens: u64 = ahead.map(|waiter| waiter.cost_tokens).sum();
        let lacking_tokens = needed_tokens.saturating_sub(state.bucket.level_tokens(now_us));
        state.waiting(waiter_id, lacking_tokens, expires_at_us, now_us)
    }

    /// Removes a waiting request whose caller has gone.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::{RateLimiter, TakeOutcome};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// if let TakeOutcome::Waiting { waiter_id, .. } = rate_limiter.take(10, 1_000, 20_000, 0) {
    ///     rate_limiter.cancel(waiter_id);
    /// }
    /// assert_eq!(rate_limiter.sample_demand(0).shortfall_tokens, 0);
    /// ```
    pub fn cancel(&self, waiter_id: WaiterId) {
        let mut state = self.lock();
        if let Ok(index) = state
            .waiters
            .binary_search_by_key(&waiter_id, |waiter| waiter.waiter_id)
        {
            state.remove(index);
        }
    }

    /// Gives back tokens that were taken and not used.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::RateLimiter;
    ///
    /// // Without a burst there is no room for the tokens.
    /// let rate_limiter = RateLimiter::new(0);
    /// rate_limiter.put_back(10, 0);
    /// assert_eq!(rate_limiter.sample_demand(0).level_tokens, 0);
    /// ```
    pub fn put_back(&self, unused_tokens: u64, now_us: u64) {
        self.lock().bucket.put_back(unused_tokens, now_us);
    }

    /// Returns what was asked for since the last call and what is lacking.
    ///
    /// ```
    /// use yuccalatch::process::limits::rate_limiter::RateLimiter;
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// rate_limiter.take(10, 1_000, 20_000, 0);
    /// assert_eq!(rate_limiter.sample_demand(0).offered_tokens, 10);
    /// assert_eq!(rate_limiter.sample_demand(0).offered_tokens, 0);
    /// ```
    pub fn sample_demand(&self, now_us: u64) -> DemandSample {
        let mut state = self.lock();
        state.drop_expired(now_us);
        let level_tokens = state.bucket.level_tokens(now_us);
        DemandSample {
            offered_tokens: std::mem::take(&mut state.offered_tokens),
            shortfall_tokens: state.waiting_tokens.saturating_sub(level_tokens),
            level_tokens,
        }
    }

    /// Adds a share. The caller then retries the waiting requests.
    ///
    /// ```
    /// use yuccalatch::process::limits::{message::Share, rate_limiter::RateLimiter};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// rate_limiter.merge(Share::default(), 0);
    /// assert!(rate_limiter.amount().is_zero());
    /// ```
    pub fn merge(&self, share: Share, now_us: u64) {
        self.lock().bucket.merge(share, now_us);
    }

    /// Splits off a share; from here on this process cannot use it.
    ///
    /// ```
    /// use yuccalatch::process::limits::{message::RateAndBurst, rate_limiter::RateLimiter};
    ///
    /// let rate_limiter = RateLimiter::new(0);
    /// assert!(rate_limiter.split(RateAndBurst::default(), 0, 0).amount.is_zero());
    /// ```
    pub fn split(&self, wanted: RateAndBurst, wanted_tokens: u64, now_us: u64) -> Share {
        self.lock().bucket.split(wanted, wanted_tokens, now_us)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every change of the state is complete before a call that can panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn remove(&mut self, index: usize) {
        if let Some(waiter) = self.waiters.remove(index) {
            self.waiting_tokens -= waiter.cost_tokens;
        }
    }

    fn drop_expired(&mut self, now_us: u64) {
        if now_us < self.next_expiry_us {
            return;
        }
        self.waiters.retain(|waiter| waiter.expires_at_us > now_us);
        self.waiting_tokens = self.waiters.iter().map(|waiter| waiter.cost_tokens).sum();
        let expiries = self.waiters.iter().map(|waiter| waiter.expires_at_us);
        self.next_expiry_us = expiries.min().unwrap_or(u64::MAX);
    }

    fn waiting(
        &self,
        waiter_id: WaiterId,
        lacking_tokens: u64,
        expires_at_us: u64,
        now_us: u64,
    ) -> TakeOutcome {
        let rate_tokens_per_s = self.bucket.amount().rate_tokens_per_s;
        let retry_at_us = ready_at_us(lacking_tokens, rate_tokens_per_s, now_us)
            .max(now_us.saturating_add(MIN_RETRY_US));
        TakeOutcome::Waiting {
            waiter_id,
            retry_at_us: retry_at_us.min(expires_at_us),
        }
    }
}

fn ready_at_us(lacking_tokens: u64, rate_tokens_per_s: u64, now_us: u64) -> u64 {
    let lacking_microtokens = super::bucket::microtokens(lacking_tokens);
    match lacking_microtokens.checked_div(rate_tokens_per_s) {
        // The division rounds down; one more microsecond covers the rest.
        Some(wait_us) => now_us.saturating_add(wait_us).saturating_add(1),
        None => u64::MAX,
    }
}
