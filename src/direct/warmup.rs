//! Decides which requests may go to cold targets.
//!
//! Load pattern: many targets return at once, such as those of a data centre after its
//! evacuation, and are slow until they have warmed up. Each tolerates a small rate over all
//! entries meanwhile, also when half of the entries are gone or cannot reach each other.
//!
//! The rate is a sequence of tokens at equal distances in wall-clock time, and every token
//! belongs to one registered entry, which all entries know without messages. An unused
//! token expires and is given to nobody else.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    routing::RoutingTable,
    target::Targets, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::Name,
};

/// Time for which an entry counts as registered after it was last heard of. A removal of
/// its record does not yet end the entry.
const ENTRY_MEMORY_US: u64 = 30 * US_PER_S;

/// Shortest time for which a token is valid, so that requests can use it at all where
/// the bounds tolerate nothing above the rate.
const MIN_HOLD_US: u64 = 20 * US_PER_MS;

/// Longest time for which a token is valid. The bound applies to any one second.
const MAX_HOLD_US: u64 = US_PER_S;

/// What a cold target gets at most in any one second, over all entries: its rate times
/// `over_permille` / 1,000, and `slack` requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBounds {
    /// Factor of the rate, in thousandths.
    pub over_permille: u64,
    /// Requests in addition.
    pub slack: u32,
}

impl ColdBounds {
    /// Returns for how long a token of a rate is valid. A second in which all of them are
    /// used has `rate` x (1 + hold time) + 1 requests; half of what the bounds allow above
    /// that is left for differences of clocks and delays.
    ///
    /// ```
    /// use yuccalatch::direct::warmup::ColdBounds;
    ///
    /// let bounds = ColdBounds { over_permille: 1_500, slack: 5 };
    /// assert_eq!(bounds.hold_us(40_000), 300_000);
    /// ```
    pub fn hold_us(self, milli_per_s: u64) -> u64 {
        let above = milli_per_s * self.over_permille.saturating_sub(1_000) / 1_000;
        let above = above + u64::from(self.slack.saturating_sub(1)) * 1_000;
        let hold_us = above * US_PER_S / 2 / milli_per_s.max(1);
        hold_us.clamp(MIN_HOLD_US, MAX_HOLD_US)
    }
}

/// What is known of the warm-up of one target.
#[derive(Debug, Default)]
struct TargetWarmup {
    service: Name,
    milli_per_s: u64,
    cold_start_ms: u64,
    /// End of the cold period as Unix time.
    cold_until_ms: u64,
    /// Revision of the record whose remaining cold time was counted.
    record_revision: Option<u64>,
    /// Time of the last token that was taken, as Unix time.
    taken_token_us: u64,
    /// Whether it was cold when changes were last reported.
    is_reported_cold: bool,
}

/// Warm-up of the targets of services that state a rate for cold ones.
#[derive(Debug, Default)]
pub struct Warmup {
    targets: BTreeMap<Name, TargetWarmup>,
    /// Until when entries that were heard of count as registered.
    entries_until_us: BTreeMap<Name, u64>,
}

/// The entry that takes tokens, and all those that they are divided among.
#[derive(Clone, Copy, Debug)]
pub struct Sharers<'a> {
    /// Name of this entry.
    pub own: &'a Name,
    /// Names of the registered entries.
    pub registered: &'a BTreeSet<&'a Name>,
    /// Time of this process.
    pub now_us: u64,
}

impl Warmup {
    /// Adopts the targets and their rates, and counts the remaining cold time in records
    /// that have changed. `wall_us` is the Unix time.
    pub fn sync(&mut self, table: &RoutingTable, targets: &Targets, wall_us: u64) {
        let mut known = std::mem::take(&mut self.targets);
        for record in targets.values() {
            let service = table.service(&record.service);
            let Some(service) = service.filter(|service| service.cold_milli_per_s > 0) else {
                continue;
            };
            let mut target = known.remove(&record.id).unwrap_or_default();
            target.service = record.service.clone();
            target.milli_per_s = service.cold_milli_per_s;
            target.cold_start_ms = service.cold_start_ms;
            let started_until_ms = record.started_at_ms.saturating_add(service.cold_start_ms);
            target.cold_until_ms = target.cold_until_ms.max(started_until_ms);
            // The same record that is listed again is older, and would extend the period.
            if target.record_revision.replace(record.revision) != Some(record.revision) {
                let until_ms = (wall_us / US_PER_MS).saturating_add(record.cold_left_ms);
                target.cold_until_ms = target.cold_until_ms.max(until_ms);
            }
            self.targets.insert(record.id.clone(), target);
        }
    }

    /// Records the remaining cold time that a target states in a response.
    pub fn report(&mut self, id: &Name, left_ms: u64, wall_us: u64) {
        if let Some(target) = self.targets.get_mut(id).filter(|_| left_ms > 0) {
            let until_ms = (wall_us / US_PER_MS).saturating_add(left_ms);
            target.cold_until_ms = target.cold_until_ms.max(until_ms);
        }
    }

    /// Adds what another entry knows: ends of cold periods as Unix time. An end further
    /// away than a whole cold period comes from a wrong clock and is shortened.
    pub fn merge(
        &mut self,
        entry: &Name,
        cold_until_ms: &[(Name, u64)],
        now_us: u64,
        wall_us: u64,
    ) {
        let until_us = now_us + ENTRY_MEMORY_US;
        self.entries_until_us.insert(entry.clone(), until_us);
        for (id, until_ms) in cold_until_ms {
            if let Some(target) = self.targets.get_mut(id) {
                let latest_ms = (wall_us / US_PER_MS).saturating_add(target.cold_start_ms);
                let until_ms = (*until_ms).min(latest_ms);
                target.cold_until_ms = target.cold_until_ms.max(until_ms);
            }
        }
    }

    /// Returns the targets that are cold and the ends of these periods, for other entries.
    pub fn cold_ends(&self, wall_us: u64) -> Vec<(Name, u64)> {
        let cold = self
            .targets
            .iter()
            .filter(|(_, each)| each.is_cold(wall_us));
        cold.map(|(id, each)| (id.clone(), each.cold_until_ms))
            .collect()
    }

    /// Returns whether a target is cold.
    ///
    /// ```
    /// use yuccalatch::direct::warmup::Warmup;
    ///
    /// assert!(!Warmup::default().is_cold(&"t-1".into(), 0));
    /// ```
    pub fn is_cold(&self, id: &Name, wall_us: u64) -> bool {
        self.targets
            .get(id)
            .is_some_and(|each| each.is_cold(wall_us))
    }

    /// Returns the cold targets of a service, each with whether this entry may send it a
    /// request now.
    pub fn cold_targets(
        &mut self,
        service: &Name,
        bounds: ColdBounds,
        sharers: Sharers<'_>,
        wall_us: u64,
    ) -> BTreeMap<Name, bool> {
        let cold: Vec<Name> = self
            .targets
            .iter()
            .filter(|(_, each)| each.service == *service && each.is_cold(wall_us))
            .map(|(id, _)| id.clone())
            .collect();
        cold.into_iter()
            .map(|id| {
                let token = self.current_token_us(&id, bounds, sharers, wall_us);
                (id, token.is_some())
            })
            .collect()
    }

    /// Takes a token of a target. Returns whether the request may be sent, as it always may
    /// to a warm target.
    pub fn take(
        &mut self,
        id: &Name,
        bounds: ColdBounds,
        sharers: Sharers<'_>,
        wall_us: u64,
    ) -> bool {
        if !self.is_cold(id, wall_us) {
            return true;
        }
        let token = self.current_token_us(id, bounds, sharers, wall_us);
        if let (Some(token_us), Some(target)) = (token, self.targets.get_mut(id)) {
            target.taken_token_us = token_us;
        }
        token.is_some()
    }

    /// Returns the time of this entry's valid token of a target, `None` when there is none.
    fn current_token_us(
        &mut self,
        id: &Name,
        bounds: ColdBounds,
        sharers: Sharers<'_>,
        wall_us: u64,
    ) -> Option<u64> {
        if !sharers.registered.contains(sharers.own) {
            return None;
        }
        self.entries_until_us
            .retain(|_, until_us| sharers.now_us < *until_us);
        let heard = self.entries_until_us.keys();
        let heard = heard.filter(|name| !sharers.registered.contains(name));
        let entries: Vec<&Name> = sharers.registered.iter().copied().chain(heard).collect();
        let seed = xxh3_64(id.as_bytes());
        let hash = |name: &Name| xxh3_64_with_seed(name.as_bytes(), seed);
        let own_hash = hash(sharers.own);
        let position = entries.iter().filter(|name| hash(name) < own_hash).count();
        let (position, count) = (position as u64, entries.len() as u64);
        let target = self.targets.get(id)?;
        let interval_us = (US_PER_S * 1_000 / target.milli_per_s).max(1);
        let latest = wall_us / interval_us;
        let own_latest = latest.checked_sub((latest + count - position) % count)?;
        let token_us = own_latest * interval_us;
        let is_valid = wall_us - token_us < bounds.hold_us(target.milli_per_s);
        (is_valid && token_us > target.taken_token_us).then_some(token_us)
    }

    /// Returns the targets that have turned cold (true) or warm since the last call.
    pub fn take_changes(&mut self, wall_us: u64) -> Vec<(Name, bool)> {
        let mut changes = Vec::new();
        for (id, target) in &mut self.targets {
            let is_cold = target.is_cold(wall_us);
            if std::mem::replace(&mut target.is_reported_cold, is_cold) != is_cold {
                changes.push((id.clone(), is_cold));
            }
        }
        changes
    }

    /// Returns the number of cold targets.
    pub fn cold_count(&self, wall_us: u64) -> usize {
        self.targets
            .values()
            .filter(|each| each.is_cold(wall_us))
            .count()
    }
}

impl TargetWarmup {
    const fn is_cold(&self, wall_us: u64) -> bool {
        wall_us / US_PER_MS < self.cold_until_ms
    }
}
