//! Rendezvous hashing: choice by highest random weight.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Membership,
    Role, //
};
use crate::names::Name;

/// Entries that each agent reports to.
pub const COLLECTORS_PER_AGENT: usize = 2;

/// Returns the `count` candidates with the highest weight for a key, best
/// first. Processes that know the same candidates choose the same ones, and a
/// lost candidate moves only the keys assigned to it.
///
/// ```
/// use yuccalatch::process::membership::rendezvous::choose;
///
/// let candidates = ["a".into(), "b".into(), "c".into()];
/// let best = choose("key", candidates.iter(), 2);
/// let rest = candidates.iter().filter(|name| **name != best[0]);
/// assert_eq!(choose("key", rest, 1), [best[1].clone()]);
/// ```
pub fn choose<'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<Name> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut weighted: Vec<(u64, &Name)> = candidates
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted
        .into_iter()
        .take(count)
        .map(|(_, name)| name.clone())
        .collect()
}

impl Membership {
    /// Returns the entries that an agent reports to: two of its data centre, or
    /// of any when it has none.
    ///
    /// ```
    /// use yuccalatch::process::membership::Membership;
    ///
    /// assert!(Membership::default().collectors("engine-1", "a").is_empty());
    /// ```
    pub fn collectors(&self, agent: &str, data_centre: &str) -> Vec<Name> {
        let local = self
            .serving(Role::Entry)
            .filter(|report| &*report.data_centre == data_centre)
            .map(|report| &report.name);
        let chosen = choose(agent, local, COLLECTORS_PER_AGENT);
        if !chosen.is_empty() {
            return chosen;
        }
        let all = self.serving(Role::Entry).map(|report| &report.name);
        choose(agent, all, COLLECTORS_PER_AGENT)
    }
}
