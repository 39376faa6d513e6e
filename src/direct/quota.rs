//! Rates of organisations, shared by all entries without a coordinator.
//!
//! Load pattern: an organisation that sends many times its rate through
//! connections that are spread unevenly over the entries. Every entry keeps a
//! bucket with the whole rate of the fleet, charges it with its own requests,
//! and with the use that the other entries report. Use that is learnt late makes
//! the bucket negative, so that the excess of one interval is paid back in the
//! next ones. An entry that is not heard is assumed to use its part of the rate.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::routing::Organisation;
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::{
        Incarnation,
        Name, //
    },
};

/// Part of the burst that a restarted entry starts with, because its use before
/// the restart is unknown.
const INITIAL_PART: f64 = 0.125;

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    counted_to_us: u64,
    used: u64,
    /// Use at the last call of [`Quotas::take_urgent_report`] that returned true.
    reported: u64,
}

impl Bucket {
    fn fill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.counted_to_us);
        self.counted_to_us = self.counted_to_us.max(now_us);
        let filled = self.level + self.rate_per_s * elapsed_us as f64 / US_PER_S as f64;
        self.level = filled.min(self.burst);
    }
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    used: HashMap<Name, u64>,
    heard_at_us: u64,
    assumed_to_us: u64,
}

/// Buckets of all organisations.
///
/// ```
/// use std::sync::Arc;
/// use yuccalatch::direct::{quota::Quotas, routing::Organisation};
///
/// let organisation = Arc::new(Organisation {
///     name: "a".into(), keys: vec![], priority: None, is_isolated: false,
///     rate_per_s: 100, burst: 800, counts_tokens: true, default_tokens: 1,
/// });
/// let mut quotas = Quotas::default();
/// quotas.configure(&[organisation], 0, 0);
/// assert_eq!(quotas.take("a", 100, 0), Ok(()));
/// assert!(quotas.take("a", 100, 0).is_err());
/// assert_eq!(quotas.take("a", 100, 1_000_000), Ok(()));
/// ```
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Name, Bucket>,
    peers: HashMap<Name, Peer>,
}

/// Interval between exchanges of two entries, for each entry of the fleet, so that
/// the work of an entry grows little: at 25 entries it asks 38 others a second.
const EXCHANGE_INTERVAL_PER_ENTRY_US: u64 = 25 * US_PER_MS;

/// Shortest interval between exchanges of two entries.
const MIN_EXCHANGE_INTERVAL_US: u64 = 240 * US_PER_MS;

/// Exchanges that have to fail before an entry is assumed to use its part.
const SILENT_EXCHANGES: u64 = 3;

/// Part of a burst that an entry may use before it tells the others early.
const URGENT_PART: f64 = 0.04;

/// Shortest interval between such early reports, a few round trips.
pub const URGENT_INTERVAL_US: u64 = 100 * US_PER_MS;

/// Returns the interval between exchanges of two entries of a fleet.
///
/// ```
/// use yuccalatch::direct::quota::exchange_interval_us;
///
/// assert_eq!(exchange_interval_us(4), 240_000);
/// assert_eq!(exchange_interval_us(40), 1_000_000);
/// ```
pub fn exchange_interval_us(entries: usize) -> u64 {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX);
    let interval_us = entries.saturating_mul(EXCHANGE_INTERVAL_PER_ENTRY_US);
    interval_us.max(MIN_EXCHANGE_INTERVAL_US)
}

/// Time after which an entry that is not heard is taken as gone.
const GONE_US: u64 = 15 * US_PER_S;

impl Quotas {
    /// Takes the rates of a configuration. Levels are kept.
    ///
    /// `tolerance_tokens` is added to the burst: an excess of that size is
    /// tolerated, while a refusal inside the rate harms a caller.
    pub fn configure(
        &mut self,
        organisations: &[Arc<Organisation>],
        tolerance_tokens: u64,
        now_us: u64,
    ) {
        self.buckets.retain(|name, _| {
            organisations
                .iter()
                .any(|organisation| organisation.name == *name && organisation.rate_per_s > 0)
        });
        for organisation in organisations {
            if organisation.rate_per_s == 0 {
                continue;
            }
            let mut burst = organisation.burst.max(1) as f64;
            if organisation.counts_tokens {
                burst += tolerance_tokens as f64;
            }
            let bucket = self
                .buckets
                .entry(organisation.name.clone())
                .or_insert(Bucket {
                    rate_per_s: 0.0,
                    burst,
                    level: burst * INITIAL_PART,
                    counted_to_us: now_us,
                    used: 0,
                    reported: 0,
                });
            bucket.fill(now_us);
            bucket.rate_per_s = organisation.rate_per_s as f64;
            bucket.burst = burst;
            bucket.level = bucket.level.min(burst);
        }
    }

    /// Takes the cost of a request from its organisation.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the cost is available.
    pub fn take(&mut self, organisation: &str, cost: u64, now_us: u64) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Ok(());
        };
        bucket.fill(now_us);
        let needed = (cost as f64).min(bucket.burst);
        if bucket.level < needed {
            let missing = needed - bucket.level;
            let wait_ms = (missing / bucket.rate_per_s * 1e3).ceil() as u64;
            return Err(wait_ms.clamp(1, MAX_RETRY_AFTER_MS));
        }
        bucket.level -= cost as f64;
        bucket.used += cost;
        Ok(())
    }

    /// Returns whether the use of an organisation since the last true answer is so
    /// large that the other entries should hear of it at once.
    pub fn take_urgent_report(&mut self) -> bool {
        let is_urgent = |bucket: &Bucket| {
            bucket.used.saturating_sub(bucket.reported) as f64 >= bucket.burst * URGENT_PART
        };
        let is_any = self.buckets.values().any(is_urgent);
        if is_any {
            for bucket in self.buckets.values_mut() {
                bucket.reported = bucket.used;
            }
        }
        is_any
    }

    /// Gives back the cost of a request that did not run.
    pub fn refund(&mut self, organisation: &str, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level = (bucket.level + cost as f64).min(bucket.burst);
            bucket.used = bucket.used.saturating_sub(cost);
        }
    }

    /// Returns what this entry has used of each organisation since its start.
    pub fn used(&self) -> Vec<(Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name.clone(), bucket.used))
            .collect()
    }

    /// Charges what another entry has used since its last report.
    pub fn charge_reported_use(
        &mut self,
        peer: &Name,
        incarnation: Incarnation,
        used: &[(Name, u64)],
        now_us: u64,
    ) {
        let known = self.peers.entry(peer.clone()).or_insert_with(|| Peer {
            incarnation,
            // Use before the first report lies in an unknown past.
            used: used.iter().cloned().collect(),
            heard_at_us: now_us,
            assumed_to_us: now_us,
        });
        if known.incarnation != incarnation {
            known.incarnation = incarnation;
            known.used.clear();
        }
        known.heard_at_us = now_us;
        known.assumed_to_us = now_us;
        for (name, total) in used {
            // Reports may overtake each other.
            let before = known.used.entry(name.clone()).or_insert(0);
            let more = total.saturating_sub(*before);
            *before += more;
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.fill(now_us);
                bucket.level -= more as f64;
            }
        }
    }

    /// Charges the assumed use of entries that are not heard.
    pub fn charge_assumed_use(&mut self, now_us: u64) {
        self.peers
            .retain(|_, peer| now_us < peer.heard_at_us + GONE_US);
        let entries = self.peers.len() + 1;
        let silent_us = SILENT_EXCHANGES * exchange_interval_us(entries);
        for peer in self.peers.values_mut() {
            if now_us < peer.heard_at_us + silent_us {
                continue;
            }
            let elapsed_us = now_us.saturating_sub(peer.assumed_to_us);
            peer.assumed_to_us = now_us;
            for bucket in self.buckets.values_mut() {
                bucket.fill(now_us);
                let part = bucket.rate_per_s / entries as f64;
                bucket.level -= part * elapsed_us as f64 / US_PER_S as f64;
            }
        }
    }
}
