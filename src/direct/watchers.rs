//! Which entries follow the object store for the others.
//!
//! The store's rates grow more slowly than the fleet, and each call is charged. A
//! few entries watch it; every other one asks two of these several times a second
//! and watches the store itself only while neither hears it.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Entries that watch the store. With as many, two lost data centres of three
/// leave two.
pub const MAX_WATCHERS: usize = 6;

/// Watchers that each other entry asks.
const SOURCES: usize = 2;

/// Interval between questions to a watcher. Configurations have to be in force
/// two seconds after they were written, of which a watch takes a few milliseconds.
pub const SOURCE_INTERVAL_US: u64 = 300 * US_PER_MS;

/// Time after the last answer of a watcher in which the store is left alone: three
/// questions were lost by then.
pub const FOLLOW_PEERS_US: u64 = 3 * SOURCE_INTERVAL_US;

/// Returns the watchers of a fleet, in the order of their rank.
///
/// ```
/// use yuccalatch::{direct::watchers::watchers, names::Name};
///
/// let few: Vec<Name> = ["a", "b"].map(Name::from).to_vec();
/// assert_eq!(watchers(few.iter()).len(), 2);
/// ```
pub fn watchers<'a>(entries: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut ranked: Vec<&Name> = entries.collect();
    ranked.sort_unstable_by_key(|name| Reverse(xxh3_64(name.as_bytes())));
    ranked.truncate(MAX_WATCHERS);
    ranked
}

/// Returns the watchers that an entry asks; none when it is a watcher itself, or
/// not known to the others yet.
///
/// ```
/// use yuccalatch::{direct::watchers::sources, names::Name};
///
/// let entries: Vec<Name> = (0..25).map(|at| format!("e{at}").into()).collect();
/// let asking = entries.iter().filter(|own| sources(own, entries.iter()).len() == 2);
/// assert_eq!(asking.count(), 19);
/// ```
pub fn sources<'a>(own: &Name, entries: impl Iterator<Item = &'a Name> + Clone) -> Vec<&'a Name> {
    let is_registered = entries.clone().any(|name| name == own);
    let mut watchers = watchers(entries);
    if !is_registered || watchers.contains(&own) {
        return Vec::new();
    }
    let pair = |name: &Name| xxh3_64(format!("{own}/{name}").as_bytes());
    watchers.sort_unstable_by_key(|name| Reverse(pair(name)));
    watchers.truncate(SOURCES);
    watchers
}
