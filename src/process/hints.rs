//! Bounded record of the targets that hold a prompt prefix, kept by an entry.

use std::{
    collections::HashMap,
    num::NonZeroUsize, //
};

use lru::LruCache;

use crate::{
    names::Incarnation,
    request::{
        placement::TargetId,
        prompt::BlockHash, //
    },
};

/// Targets recorded for one block. A prefix that more targets hold is used so
/// often that each of its rendezvous candidates has it.
const MAX_HOLDERS: usize = 8;

/// What the answer of a target says about its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheObservation {
    /// Target that answered.
    pub target: TargetId,
    /// Incarnation of its engine's cache.
    pub engine: Incarnation,
    /// Blocks that the engine found in its cache.
    pub matched_blocks: u32,
    /// When the request was sent.
    pub sent_at_us: u64,
}

/// Prefix of a prompt that a target has held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hint {
    /// Target that held the prefix.
    pub target: TargetId,
    /// Length of the prefix.
    pub matched_blocks: u32,
    /// When an answer or a probe last showed that the target holds the last block
    /// of the prefix.
    pub seen_at_us: u64,
    /// Whether the engine has evicted a block that was last seen at this time or
    /// later.
    pub may_be_evicted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    target: TargetId,
    engine: Incarnation,
    seen_at_us: u64,
}

/// Bounded LRU map from a block to the targets that hold it.
///
/// Block hashes are seeded with the namespace, so a hint never applies to another
/// organisation or version. Each lookup checks the incarnation of the engine.
///
/// ```
/// use std::num::NonZeroUsize;
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::process::hints::{CacheObservation, Hints};
/// use yuccalatch::request::placement::TargetId;
/// use yuccalatch::request::prompt::BlockHash;
///
/// let mut hints = Hints::new(NonZeroUsize::new(100).unwrap());
/// let blocks = [BlockHash(1), BlockHash(2)];
/// let seen = CacheObservation {
///     target: TargetId(3),
///     engine: Incarnation(9),
///     matched_blocks: 0,
///     sent_at_us: 40,
/// };
/// hints.record_answer(&blocks, seen, 50);
/// let found = hints.lookup(&blocks, |_| Some(Incarnation(9)));
/// assert_eq!((found[0].target, found[0].matched_blocks), (TargetId(3), 2));
/// assert!(hints.lookup(&blocks, |_| Some(Incarnation(10))).is_empty());
/// ```
#[derive(Debug)]
pub struct Hints {
    blocks: LruCache<BlockHash, Vec<Holder>>,
    /// Per target, the latest time at which a block was seen that the engine has
    /// evicted since.
    evicted_before_us: HashMap<TargetId, u64>,
}

impl Hints {
    /// Creates an empty map of at most `capacity_blocks` blocks.
    pub fn new(capacity_blocks: NonZeroUsize) -> Self {
        Self {
            blocks: LruCache::new(capacity_blocks),
            evicted_before_us: HashMap::new(),
        }
    }

    /// Returns the number of recorded blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records the answer to a request: the target now holds all blocks of the
    /// prompt. If it had held the first unmatched block, that block is noted as
    /// evicted.
    pub fn record_answer(&mut self, blocks: &[BlockHash], seen: CacheObservation, now_us: u64) {
        let matched = usize::try_from(seen.matched_blocks).unwrap_or(usize::MAX);
        if let Some(missing) = blocks.get(matched) {
            self.note_eviction(*missing, seen);
        }
        self.record_holder(blocks, seen, now_us);
    }

    /// Records the answer to a probe: the target holds exactly the matched
    /// blocks of the prompt.
    ///
    /// ```
    /// use std::num::NonZeroUsize;
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::hints::{CacheObservation, Hints};
    /// use yuccalatch::request::placement::TargetId;
    /// use yuccalatch::request::prompt::BlockHash;
    ///
    /// let mut hints = Hints::new(NonZeroUsize::new(100).unwrap());
    /// let blocks = [BlockHash(1), BlockHash(2)];
    /// let mut seen = CacheObservation {
    ///     target: TargetId(3),
    ///     engine: Incarnation(9),
    ///     matched_blocks: 2,
    ///     sent_at_us: 40,
    /// };
    /// hints.record_probe(&blocks, seen, 50);
    /// seen.matched_blocks = 1;
    /// hints.record_probe(&blocks, seen, 60);
    /// let found = hints.lookup(&blocks, |_| Some(Incarnation(9)));
    /// assert_eq!(found[0].matched_blocks, 1);
    /// ```
    pub fn record_probe(&mut self, blocks: &[BlockHash], seen: CacheObservation, now_us: u64) {
        let matched = usize::try_from(seen.matched_blocks).unwrap_or(usize::MAX);
        let (present, absent) = blocks.split_at(matched.min(blocks.len()));
        for block in absent {
            if let Some(holders) = self.blocks.peek_mut(block) {
                holders.retain(|holder| holder.target != seen.target);
            }
        }
        self.record_holder(present, seen, now_us);
    }

    /// Returns the targets that held a prefix of the prompt under their current
    /// incarnation, longest prefix first.
    pub fn lookup(
        &self,
        blocks: &[BlockHash],
        engine_of: impl Fn(TargetId) -> Option<Incarnation>,
    ) -> Vec<Hint> {
        let mut found: Vec<Hint> = Vec::new();
        // Starts at the last block: a target that held a block also held those
        // before it, while first blocks that are used often have more holders
        // than are recorded.
        for (depth, block) in (1..).zip(blocks).collect::<Vec<_>>().into_iter().rev() {
            for holder in self.blocks.peek(block).into_iter().flatten() {
                let is_listed = found.iter().any(|hint| hint.target == holder.target);
                if is_listed || engine_of(holder.target) != Some(holder.engine) {
                    continue;
                }
                found.push(self.build_hint(holder, depth));
            }
        }
        found.sort_by_key(|hint| (std::cmp::Reverse(hint.matched_blocks), hint.target));
        found
    }

    /// Removes the records of a target that no longer exists.
    pub fn forget(&mut self, target: TargetId) {
        self.evicted_before_us.remove(&target);
        for (_, holders) in self.blocks.iter_mut() {
            holders.retain(|holder| holder.target != target);
        }
    }

    fn build_hint(&self, holder: &Holder, matched_blocks: u32) -> Hint {
        let evicted_before_us = self.evicted_before_us.get(&holder.target);
        Hint {
            target: holder.target,
            matched_blocks,
            seen_at_us: holder.seen_at_us,
            may_be_evicted: evicted_before_us.is_some_and(|&limit| holder.seen_at_us <= limit),
        }
    }

    fn record_holder(&mut self, blocks: &[BlockHash], seen: CacheObservation, now_us: u64) {
        for &block in blocks.iter().rev() {
            let holder = Holder {
                target: seen.target,
                engine: seen.engine,
                seen_at_us: now_us,
            };
            insert_holder(self.blocks.get_or_insert_mut(block, Vec::new), holder);
        }
    }

    fn note_eviction(&mut self, block: BlockHash, seen: CacheObservation) {
        let Some(holders) = self.blocks.peek(&block) else {
            return;
        };
        let is_same =
            |holder: &&Holder| holder.target == seen.target && holder.engine == seen.engine;
        let holder = holders.iter().find(is_same);
        // A block that was seen after the request was sent does not prove an
        // eviction: another request may have stored it in between.
        if let Some(holder) = holder.filter(|holder| holder.seen_at_us < seen.sent_at_us) {
            let limit = self.evicted_before_us.entry(seen.target).or_default();
            *limit = (*limit).max(holder.seen_at_us);
        }
    }
}

fn insert_holder(holders: &mut Vec<Holder>, holder: Holder) {
    holders.retain(|other| other.target != holder.target);
    if holders.len() == MAX_HOLDERS {
        holders.remove(0);
    }
    holders.push(holder);
}
