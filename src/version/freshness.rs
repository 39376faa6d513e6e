//! Whether withdrawals of keys may have been missed.

use crate::clock::{
    US_PER_MS,
    US_PER_S, //
};

/// Without news for this long, withdrawals of keys may have been missed. One
/// second is left of the 5 s in which a withdrawal has to work.
pub const KEYS_STALE_AFTER_US: u64 = 4 * US_PER_S;

/// What a process heard of the configuration, and when.
///
/// Only answers to own calls count, with the time at which the call was sent.
/// A process that was paused finds old messages in its buffers when it resumes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    platform_at_us: Option<u64>,
    confirmed_at_us: Option<u64>,
}

impl Freshness {
    /// Notes an answer of the object API whose revision was applied.
    pub fn hear_platform(&mut self, sent_at_us: u64) {
        self.platform_at_us = self.platform_at_us.max(Some(sent_at_us));
    }

    /// Notes the age of a peer's news from the object API.
    pub fn hear_news(&mut self, api_answer_age_ms: Option<u64>, sent_at_us: u64) {
        let news_at_us = api_answer_age_ms
            .and_then(|age_ms| age_ms.checked_mul(US_PER_MS))
            .and_then(|age_us| sent_at_us.checked_sub(age_us));
        self.platform_at_us = self.platform_at_us.max(news_at_us);
    }

    /// Notes an answer of a peer that knows of no revision beyond the applied
    /// one.
    pub fn confirm(&mut self, sent_at_us: u64) {
        self.confirmed_at_us = self.confirmed_at_us.max(Some(sent_at_us));
    }

    /// Returns the time of the news from the object API, 0 if there was none.
    ///
    /// ```
    /// use yuccalatch::version::freshness::Freshness;
    ///
    /// let mut freshness = Freshness::default();
    /// assert_eq!(freshness.news_at_us(), 0);
    /// freshness.hear_news(Some(2), 5_000);
    /// assert_eq!(freshness.news_at_us(), 3_000);
    /// ```
    pub fn news_at_us(&self) -> u64 {
        self.platform_at_us.unwrap_or(0)
    }

    /// Returns the age of the news, to be told to peers.
    pub fn api_answer_age_ms(&self, now_us: u64) -> Option<u64> {
        let news_at_us = self.platform_at_us?;
        Some(now_us.saturating_sub(news_at_us).div_ceil(US_PER_MS))
    }

    /// Returns the time from which withdrawals of keys may have been missed,
    /// because neither the object API nor a peer was heard.
    ///
    /// A peer without news of its own counts, because during an outage of the
    /// object API nobody can withdraw a key.
    ///
    /// ```
    /// use yuccalatch::version::freshness::Freshness;
    ///
    /// let mut freshness = Freshness::default();
    /// assert_eq!(freshness.stale_at_us(), 0);
    /// freshness.hear_platform(0);
    /// assert_eq!(freshness.stale_at_us(), 4_000_000);
    /// freshness.confirm(3_000_000);
    /// assert_eq!(freshness.stale_at_us(), 7_000_000);
    /// assert_eq!(freshness.api_answer_age_ms(3_000_000), Some(3_000));
    /// ```
    pub fn stale_at_us(&self) -> u64 {
        let last_us = self.platform_at_us.max(self.confirmed_at_us);
        last_us.map_or(0, |at_us| at_us + KEYS_STALE_AFTER_US)
    }
}
