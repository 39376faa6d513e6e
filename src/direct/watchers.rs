//! Selection of the entries that watch the object store for the others.
//!
//! The store's rate limits grow more slowly than the fleet, and each call is
//! charged. A few entries, the watchers, watch the store. Every other entry requests
//! the changes from two watchers several times a second, and watches the store
//! itself only while neither of them can reach it.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use super::platform::Topic;
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Upper bound of the entries that watch the store. With six of them, two remain
/// when two of three data centres are lost.
pub const MAX_WATCHERS: usize = 6;

/// Watchers from which each other entry requests changes.
const SOURCES_PER_ENTRY: usize = 2;

/// Interval between requests to a watcher. Configurations have to be in force two
/// seconds after they were written, of which a watch takes a few milliseconds.
pub const SOURCE_INTERVAL_US: u64 = 300 * US_PER_MS;

/// Longest time after an answer of a watcher for which an entry does not call the
/// store itself. When it ends, three requests have failed.
pub const FOLLOW_PEERS_US: u64 = 3 * SOURCE_INTERVAL_US;

/// Time after the end of a watch's wait within which a working store answers. Slow
/// answers take about a fifth of a second.
const ANSWER_MARGIN_US: u64 = 400 * US_PER_MS;

/// Until when a process's copy of the object store counts as current.
///
/// A watch whose connection is silent looks like one without changes until its call
/// times out. A process that relies on another one's copy therefore needs to know when
/// the store last answered, not whether calls have failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    configuration_until_us: u64,
    targets_until_us: u64,
}

impl Freshness {
    /// Records an answer of the store; the answer to the topic's next watch is due at
    /// `next_answer_us`. Topics whose changes have more time to take effect do not
    /// count.
    pub const fn record_answer(&mut self, topic: Topic, next_answer_us: u64) {
        let until_us = next_answer_us + ANSWER_MARGIN_US;
        match topic {
            Topic::Configuration => self.configuration_until_us = until_us,
            Topic::Targets => self.targets_until_us = until_us,
            Topic::Weights | Topic::Entries | Topic::Rollouts | Topic::Evacuations => {}
        }
    }

    /// Returns until when the copy counts as current, 0 before the store has answered
    /// for each topic.
    ///
    /// ```
    /// use yuccalatch::direct::{platform::Topic, watchers::Freshness};
    ///
    /// let mut freshness = Freshness::default();
    /// freshness.record_answer(Topic::Configuration, 1_500_000);
    /// assert_eq!(freshness.until_us(), 0);
    /// freshness.record_answer(Topic::Targets, 1_000_000);
    /// assert_eq!(freshness.until_us(), 1_400_000);
    /// ```
    pub fn until_us(self) -> u64 {
        self.configuration_until_us.min(self.targets_until_us)
    }
}

/// Returns until when an entry may leave the store to a watcher whose copy is current
/// for another `fresh_for_us`.
///
/// ```
/// use yuccalatch::direct::watchers::{FOLLOW_PEERS_US, follow_until_us};
///
/// assert_eq!(follow_until_us(100, 0), 100);
/// assert_eq!(follow_until_us(100, u64::MAX), 100 + FOLLOW_PEERS_US);
/// ```
pub fn follow_until_us(now_us: u64, fresh_for_us: u64) -> u64 {
    now_us + fresh_for_us.min(FOLLOW_PEERS_US)
}

/// Returns when an entry counts as isolated: it learns of changes from the object store or
/// from other entries, and neither has answered for `bound_us`.
///
/// ```
/// use yuccalatch::direct::watchers::isolated_at_us;
///
/// assert_eq!(isolated_at_us(5_000_000, 4_000_000, 3_000_000), 8_000_000);
/// ```
pub fn isolated_at_us(store_answered_at_us: u64, peer_heard_at_us: u64, bound_us: u64) -> u64 {
    store_answered_at_us.max(peer_heard_at_us) + bound_us
}

/// Returns the watchers among the entries, by descending hash of their names.
///
/// ```
/// use yuccalatch::{direct::watchers::watchers, names::Name};
///
/// let few: Vec<Name> = ["a", "b"].map(Name::from).to_vec();
/// assert_eq!(watchers(few.iter()).len(), 2);
/// ```
pub fn watchers<'a>(entries: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut by_hash: Vec<&Name> = entries.collect();
    by_hash.sort_unstable_by_key(|name| Reverse(xxh3_64(name.as_bytes())));
    by_hash.truncate(MAX_WATCHERS);
    by_hash
}

/// Returns the watchers from which an entry requests changes; none when it is a
/// watcher itself or is not registered yet.
///
/// ```
/// use yuccalatch::{direct::watchers::sources, names::Name};
///
/// let entries: Vec<Name> = (0..25).map(|number| format!("e{number}").into()).collect();
/// let asking = entries.iter().filter(|own| sources(own, entries.iter()).len() == 2);
/// assert_eq!(asking.count(), 19);
/// ```
pub fn sources<'a>(own: &Name, entries: impl Iterator<Item = &'a Name> + Clone) -> Vec<&'a Name> {
    let is_registered = entries.clone().any(|name| name == own);
    let mut watchers = watchers(entries);
    if !is_registered || watchers.contains(&own) {
        return Vec::new();
    }
    let score = |name: &Name| xxh3_64(format!("{own}/{name}").as_bytes());
    watchers.sort_unstable_by_key(|name| Reverse(score(name)));
    watchers.truncate(SOURCES_PER_ENTRY);
    watchers
}
