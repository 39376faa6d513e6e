//! Selection of the entries that watch the object store for the others.
//!
//! The store's rate limits grow more slowly than the fleet, and each call is
//! charged. A few entries, the watchers, watch the store. Every other entry requests
//! the changes from two watchers several times a second, and watches the store
//! itself only while neither of them can reach it.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

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

/// Time after the last answer of a watcher for which an entry does not call the
/// store itself. When it ends, three requests have failed.
pub const FOLLOW_PEERS_US: u64 = 3 * SOURCE_INTERVAL_US;

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
