//! Selects the targets that a request compares by load.
//!
//! Designed for many entries with load reports that are several requests old. If each
//! of them chose the least loaded of all targets, all would choose the same one
//! until its next report arrived. Each request therefore compares only a few targets,
//! drawn by a hash of its id, so that no target attracts more than a few times its
//! share ("power of two choices").

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::Name;

/// Targets that a request compares at least.
const MIN_SAMPLE: usize = 2;

/// Entries up to which a request compares all targets: the requests of this entry
/// alone say enough about those of the others.
const MAX_COMPARING_ENTRIES: usize = 8;

/// Returns how many targets a request compares, out of `targets`, in a fleet of
/// `entries`.
///
/// ```
/// use yuccalatch::direct::sampling::sample_size;
///
/// assert_eq!(sample_size(12, 4), 12);
/// assert_eq!(sample_size(78, 68), 2);
/// ```
pub const fn sample_size(targets: usize, entries: usize) -> usize {
    if entries <= MAX_COMPARING_ENTRIES {
        return targets;
    }
    let size = targets * MAX_COMPARING_ENTRIES / (entries * entries);
    if size < MIN_SAMPLE { MIN_SAMPLE } else { size }
}

/// Returns for each target whether it is one of the `size` that a request draws from
/// those of the given ids. The same seed draws the same targets.
///
/// ```
/// use yuccalatch::direct::sampling::draw_sample;
///
/// let ids = ["a".into(), "b".into(), "c".into()];
/// let drawn = draw_sample(ids.iter(), 7, 2);
/// assert_eq!(drawn.iter().filter(|is_drawn| **is_drawn).count(), 2);
/// ```
pub fn draw_sample<'a>(ids: impl Iterator<Item = &'a Name>, seed: u64, size: usize) -> Vec<bool> {
    let hashes: Vec<u64> = ids
        .map(|id| xxh3_64_with_seed(id.as_bytes(), seed))
        .collect();
    if size >= hashes.len() {
        return vec![true; hashes.len()];
    }
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_unstable_by_key(|at| Reverse(hashes[*at]));
    let mut is_drawn = vec![false; hashes.len()];
    for at in order.into_iter().take(size) {
        is_drawn[at] = true;
    }
    is_drawn
}
