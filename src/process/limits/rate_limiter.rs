//! Rate limiter of one organisation, shared between threads.

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
    DemandMeter,
    RateStatus, //
};

/// Most waiting requests of one organisation in one process; more are refused,
/// which bounds the memory of the queue.
pub const MAX_WAITERS: usize = 1_024;
/// Shortest time between two retries of a waiting request. Without it, a request
/// behind one that has not been retried yet would be retried again at once.
pub const MIN_RETRY_INTERVAL_US: u64 = 1_000;

/// Identifies a waiting request; a later request has a higher number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(u64);

/// Result of a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeOutcome {
    /// The tokens were taken.
    Taken,
    /// The request waits; `retry_at_us` is the earliest useful time to retry
    /// unless a share arrives before.
    Waiting {
        /// Identifies the request in a retry.
        waiter_id: WaiterId,
        /// When the refill at the rate of this process may suffice, at most the
        /// deadline.
        retry_at_us: u64,
    },
    /// The tokens cannot become available before the deadline.
    Refused,
}

/// Tokens that the requests of an organisation asked for and lack.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DemandSample {
    /// Tokens asked for since the last sample, whether admitted or not.
    pub offered_tokens: u64,
    /// Tokens that the waiting requests need beyond those in the bucket.
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
    demand: DemandMeter,
    next_waiter_id: u64,
    /// Lower bound of the deadlines of the waiting requests; saves most calls the
    /// search for expired ones.
    next_expiry_us: u64,
}

/// Token bucket and waiting requests of one organisation in one process.
///
/// Traffic threads take tokens; the control thread merges and splits shares.
/// Waiting requests are served in order, so that a large one is not starved by
/// small ones behind it.
#[derive(Debug, Default)]
pub struct RateLimiter {
    state: Mutex<State>,
}

impl RateLimiter {
    /// Creates a rate limiter without a share.
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

    /// Returns the rate and burst that this process may use.
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
    /// admitted or not, and returns how the organisation stands to that rate.
    ///
    /// Returns the default without a share, as there is no rate to compare with.
    /// The ledger lends a share to an organisation with steady traffic within one
    /// round of reports.
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
    pub fn count_request(&self, cost_tokens: u64, now_us: u64) -> RateStatus {
        let mut state = self.lock();
        let rate_tokens_per_s = state.bucket.amount().rate_tokens_per_s;
        if rate_tokens_per_s == 0 {
            return RateStatus::default();
        }
        state.demand.count(cost_tokens, rate_tokens_per_s, now_us)
    }

    /// Takes tokens, or queues the request if the rate of the whole organisation
    /// could serve the queue before the deadline.
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
        let served_at_us = ready_at_us(lacking_tokens, organisation_tokens_per_s, now_us);
        if served_at_us >= expires_at_us || state.waiters.len() >= MAX_WAITERS {
            return TakeOutcome::Refused;
        }
        let waiter_id = WaiterId(state.next_waiter_id);
        state.next_waiter_id += 1;
        state.waiting_tokens = needed_tokens;
        state.next_expiry_us = state.next_expiry_us.min(expires_at_us);
        state.waiters.push_back(Waiter {
            waiter_id,
            cost_tokens,
            expires_at_us,
        });
        state.waiting_outcome(waiter_id, lacking_tokens, expires_at_us, now_us)
    }

    /// Retries a waiting request.
    ///
    /// A request that is unknown or past its deadline is refused.
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
        state.waiting_outcome(waiter_id, lacking_tokens, expires_at_us, now_us)
    }

    /// Removes a waiting request, because its caller has disconnected.
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

    /// Puts back tokens that were taken and not used.
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

    /// Returns the tokens asked for since the last call, and those that are
    /// lacking and available now.
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

    /// Splits off a share, which this process cannot use any more.
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
        // A poisoned lock is still usable: every change of the state is complete
        // before a call that can panic.
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

    fn waiting_outcome(
        &self,
        waiter_id: WaiterId,
        lacking_tokens: u64,
        expires_at_us: u64,
        now_us: u64,
    ) -> TakeOutcome {
        let rate_tokens_per_s = self.bucket.amount().rate_tokens_per_s;
        let retry_at_us = ready_at_us(lacking_tokens, rate_tokens_per_s, now_us)
            .max(now_us.saturating_add(MIN_RETRY_INTERVAL_US));
        TakeOutcome::Waiting {
            waiter_id,
            retry_at_us: retry_at_us.min(expires_at_us),
        }
    }
}

fn ready_at_us(lacking_tokens: u64, rate_tokens_per_s: u64, now_us: u64) -> u64 {
    let lacking_microtokens = super::bucket::microtokens(lacking_tokens);
    match lacking_microtokens.checked_div(rate_tokens_per_s) {
        // The division rounds down; one more microsecond covers the remainder.
        Some(wait_us) => now_us.saturating_add(wait_us).saturating_add(1),
        None => u64::MAX,
    }
}
