//! Rate limits of organisations, enforced by all entries together without a
//! coordinator.
//!
//! Designed for an organisation that sends many times its rate through connections
//! that are spread unevenly over the entries. Every entry keeps a token bucket with
//! the rate of the whole fleet and charges it with its own requests and with the
//! use that the other entries report. Reports that arrive late make the level
//! negative, so that the excess of one interval is paid back in the next ones. An
//! entry that sends no reports is assumed to use an equal share of the rate.

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

/// Fraction of the burst with which a new bucket starts. It is small because an
/// entry that has restarted does not know its use before the restart.
const INITIAL_LEVEL_FRACTION: f64 = 0.125;

/// Upper bound of the wait that a refused caller is given.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    /// Tokens left; negative after use that was reported late.
    level: f64,
    /// Time up to which the level was filled.
    filled_to_us: u64,
    /// Use by this entry since its start.
    used: u64,
    /// Value of `used` at the last call of [`Quotas::take_urgent_report`] that
    /// returned true.
    reported: u64,
}

impl Bucket {
    fn fill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.filled_to_us);
        self.filled_to_us = self.filled_to_us.max(now_us);
        let filled = self.level + self.rate_per_s * elapsed_us as f64 / US_PER_S as f64;
        self.level = filled.min(self.burst);
    }
}

/// Last report of another entry.
#[derive(Debug)]
struct PeerUse {
    incarnation: Incarnation,
    /// Use of each organisation since the start of the entry.
    used: HashMap<Name, u64>,
    reported_at_us: u64,
    /// Time up to which reported or assumed use was charged.
    charged_to_us: u64,
}

/// Token buckets of all organisations that have a rate.
///
/// ```
/// use std::sync::Arc;
/// use yuccalatch::direct::{quota::Quotas, routing::Organisation};
///
/// let organisation = Arc::new(Organisation {
///     name: "a".into(), keys: vec![], priority: None, is_isolated: false,
///     rate_per_s: 100, burst: 800, counts_tokens: true, default_tokens: 1,
///     allowed_regions: vec![],
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
    peers: HashMap<Name, PeerUse>,
}

/// Interval between exchanges of two entries, per entry of the fleet. It keeps the
/// work of an entry nearly independent of the size of the fleet: with 25 entries,
/// each sends 38 requests a second.
const EXCHANGE_INTERVAL_PER_ENTRY_US: u64 = 25 * US_PER_MS;

/// Shortest interval between exchanges of two entries.
const MIN_EXCHANGE_INTERVAL_US: u64 = 240 * US_PER_MS;

/// Consecutive exchanges without a report after which an entry is assumed to use
/// its share of the rates.
const MISSED_EXCHANGES: u64 = 3;

/// Fraction of a burst that an entry may use before it reports its use early.
const URGENT_BURST_FRACTION: f64 = 0.04;

/// Shortest interval between early reports; a few round trips.
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

/// Time without a report after which an entry counts as gone and its use is no
/// longer assumed.
const PEER_EXPIRY_US: u64 = 15 * US_PER_S;

impl Quotas {
    /// Applies the rates and bursts of a configuration. Existing buckets keep their
    /// level, up to the new burst.
    ///
    /// `tolerance_tokens` is added to the burst of organisations whose tokens are
    /// counted: an excess of that size is acceptable, while a refusal within the
    /// rate harms a caller.
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
                    level: burst * INITIAL_LEVEL_FRACTION,
                    filled_to_us: now_us,
                    used: 0,
                    reported: 0,
                });
            bucket.fill(now_us);
            bucket.rate_per_s = organisation.rate_per_s as f64;
            bucket.burst = burst;
            bucket.level = bucket.level.min(burst);
        }
    }

    /// Charges an organisation with the cost of a request. Organisations without a
    /// rate are not limited.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the caller should try again.
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

    /// Returns whether an organisation has used so much since the last call that
    /// returned true that the other entries need a report at once.
    pub fn take_urgent_report(&mut self) -> bool {
        let is_urgent = |bucket: &Bucket| {
            bucket.used.saturating_sub(bucket.reported) as f64
                >= bucket.burst * URGENT_BURST_FRACTION
        };
        let is_any_urgent = self.buckets.values().any(is_urgent);
        if is_any_urgent {
            for bucket in self.buckets.values_mut() {
                bucket.reported = bucket.used;
            }
        }
        is_any_urgent
    }

    /// Refunds the cost of a request that did not run.
    pub fn refund(&mut self, organisation: &str, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level = (bucket.level + cost as f64).min(bucket.burst);
            bucket.used = bucket.used.saturating_sub(cost);
        }
    }

    /// Returns the use of each organisation's rate by this entry since its start.
    pub fn used(&self) -> Vec<(Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name.clone(), bucket.used))
            .collect()
    }

    /// Charges the use of another entry since its last report. `used` holds totals
    /// since the start of that entry.
    pub fn charge_reported_use(
        &mut self,
        peer: &Name,
        incarnation: Incarnation,
        used: &[(Name, u64)],
        now_us: u64,
    ) {
        let last = self.peers.entry(peer.clone()).or_insert_with(|| PeerUse {
            incarnation,
            // Use before the first report is not charged, as its time is unknown.
            used: used.iter().cloned().collect(),
            reported_at_us: now_us,
            charged_to_us: now_us,
        });
        if last.incarnation != incarnation {
            last.incarnation = incarnation;
            last.used.clear();
        }
        last.reported_at_us = now_us;
        last.charged_to_us = now_us;
        for (name, total) in used {
            // Reports may arrive out of order, with a lower total than before.
            let charged = last.used.entry(name.clone()).or_insert(0);
            let increase = total.saturating_sub(*charged);
            *charged += increase;
            if let Some(bucket) = self.buckets.get_mut(name) {
                bucket.fill(now_us);
                bucket.level -= increase as f64;
            }
        }
    }

    /// Charges the assumed use of entries whose reports are overdue, and removes
    /// those that are gone.
    pub fn charge_assumed_use(&mut self, now_us: u64) {
        self.peers
            .retain(|_, peer| now_us < peer.reported_at_us + PEER_EXPIRY_US);
        let entries = self.peers.len() + 1;
        let overdue_us = MISSED_EXCHANGES * exchange_interval_us(entries);
        for peer in self.peers.values_mut() {
            if now_us < peer.reported_at_us + overdue_us {
                continue;
            }
            let elapsed_us = now_us.saturating_sub(peer.charged_to_us);
            peer.charged_to_us = now_us;
            for bucket in self.buckets.values_mut() {
                bucket.fill(now_us);
                let share_per_s = bucket.rate_per_s / entries as f64;
                bucket.level -= share_per_s * elapsed_us as f64 / US_PER_S as f64;
            }
        }
    }
}
