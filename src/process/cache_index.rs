//! Index of the blocks that the engine of this agent has cached.
//!
//! It combines two sources: the engine's cache events, which may arrive late, out
//! of order and with gaps, and the number of matched blocks in the engine's
//! answers, which is exact at the time of the prefill. The index is an estimate;
//! only the engine decides what it reuses.

use std::{
    collections::HashMap,
    num::NonZeroUsize, //
};

use lru::LruCache;
use serde::Serialize;

use crate::{
    names::Incarnation,
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Change of an engine's cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
}

/// Event of an engine's cache event stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Process of the engine whose cache changed.
    pub engine: Incarnation,
    /// Position in the stream of that incarnation, from zero.
    pub sequence: u64,
    /// Namespace of the blocks, derived from version and organisation.
    pub namespace: Namespace,
    /// Blocks that were stored or evicted.
    pub change: CacheChange,
}

/// Outcome of applying an event: its place in the stream, or that it was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventOutcome {
    /// It follows the event before it.
    InOrder,
    /// Events before it are missing.
    AfterGap {
        /// Number of missing events.
        missing: u64,
    },
    /// It arrived after a later one.
    Late,
    /// It belongs to another incarnation of the engine and was dropped.
    OtherIncarnation,
}

/// Estimate of the cached part of a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PrefixMatch {
    /// Blocks from the start that are probably cached.
    pub likely_blocks: u32,
    /// Blocks from the start whose state was confirmed since the last gap in the
    /// event stream.
    pub confirmed_blocks: u32,
}

/// Cached part of a prompt, as the engine reported it in an answer or after an
/// import of blocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheReport {
    /// Process of the engine that answered.
    pub engine: Incarnation,
    /// Namespace of the request.
    pub namespace: Namespace,
    /// Blocks of the prompt that were cached.
    pub matched_blocks: u32,
    /// When the request was sent to the engine.
    pub sent_at_us: u64,
}

/// Last reported state of a block.
#[derive(Clone, Copy, Debug)]
struct BlockState {
    is_present: bool,
    /// Sequence number of the event that set `is_present`; older events must not
    /// override it.
    sequence: u64,
    /// Last use that the agent saw; the engine may have used the block later.
    used_at_us: u64,
    /// Number of gaps in the event stream when the state was last confirmed.
    gap_count: u64,
}

/// Index of the cache of one engine incarnation, keyed by namespace (version and
/// organisation) and block.
///
/// ```
/// use std::num::NonZeroUsize;
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::process::cache_index::{CacheIndex, CacheReport};
/// use yuccalatch::request::prompt::{BlockHash, Namespace};
///
/// let engine = Incarnation(1);
/// let mut index = CacheIndex::new(engine, NonZeroUsize::new(100).unwrap());
/// let mill_a = Namespace::derive("mill-a", "draft-7");
/// let mill_b = Namespace::derive("mill-b", "draft-7");
/// let blocks = [BlockHash(1), BlockHash(2)];
/// let report = CacheReport { engine, namespace: mill_a, matched_blocks: 0, sent_at_us: 5 };
/// index.apply_report(report, &blocks, 10);
/// assert_eq!(index.lookup(mill_a, &blocks).likely_blocks, 2);
/// assert_eq!(index.lookup(mill_b, &blocks).likely_blocks, 0);
/// index.set_engine(Incarnation(2));
/// assert_eq!(index.lookup(mill_a, &blocks).likely_blocks, 0);
/// ```
#[derive(Debug)]
pub struct CacheIndex {
    engine: Incarnation,
    blocks: LruCache<(Namespace, BlockHash), BlockState>,
    /// Number of unanswered requests to the engine that have this block.
    expected: HashMap<(Namespace, BlockHash), u32>,
    next_sequence: u64,
    gap_count: u64,
    /// Latest last use of a block that was found evicted. Engines evict in order
    /// of use, so blocks last used before this time are probably evicted as well.
    evicted_before_us: u64,
}

impl CacheIndex {
    /// Creates an empty index of at most `capacity_blocks` blocks.
    pub fn new(engine: Incarnation, capacity_blocks: NonZeroUsize) -> Self {
        Self {
            engine,
            blocks: LruCache::new(capacity_blocks),
            expected: HashMap::new(),
            next_sequence: 0,
            gap_count: 0,
            evicted_before_us: 0,
        }
    }

    /// Returns the engine incarnation that the index describes.
    pub fn engine(&self) -> Incarnation {
        self.engine
    }

    /// Returns the number of blocks in the index, cached or evicted.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index has no block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Clears the index if the engine incarnation differs, because a restarted
    /// engine has an empty cache.
    pub fn set_engine(&mut self, engine: Incarnation) {
        if engine == self.engine {
            return;
        }
        self.engine = engine;
        self.blocks.clear();
        self.expected.clear();
        self.next_sequence = 0;
        self.gap_count = 0;
        self.evicted_before_us = 0;
    }

    /// Applies an event of the engine's stream.
    ///
    /// ```
    /// use std::num::NonZeroUsize;
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::cache_index::{CacheChange, CacheEvent, CacheIndex, EventOutcome};
    /// use yuccalatch::request::prompt::{BlockHash, Namespace};
    ///
    /// let mut index = CacheIndex::new(Incarnation(1), NonZeroUsize::new(9).unwrap());
    /// let event = CacheEvent {
    ///     engine: Incarnation(1),
    ///     sequence: 4,
    ///     namespace: Namespace(7),
    ///     change: CacheChange::Stored(vec![BlockHash(1)]),
    /// };
    /// assert_eq!(index.apply(&event, 10), EventOutcome::AfterGap { missing: 4 });
    /// ```
    pub fn apply(&mut self, event: &CacheEvent, now_us: u64) -> EventOutcome {
        if event.engine != self.engine {
            return EventOutcome::OtherIncarnation;
        }
        let outcome = self.advance_sequence(event.sequence);
        let (blocks, is_present) = match &event.change {
            CacheChange::Stored(blocks) => (blocks, true),
            CacheChange::Evicted(blocks) => (blocks, false),
        };
        for &block in blocks {
            self.set_from_event(event, block, is_present, now_us);
        }
        outcome
    }

    /// Adds the blocks of a request that was accepted for the engine: they will
    /// be cached by the time that a later request starts.
    ///
    /// Every call must be followed by one of [`Self::remove_expected`].
    pub fn add_expected(&mut self, namespace: Namespace, blocks: &[BlockHash]) {
        for &block in blocks {
            *self.expected.entry((namespace, block)).or_default() += 1;
        }
    }

    /// Removes the expected blocks of a request that was answered or failed.
    pub fn remove_expected(&mut self, namespace: Namespace, blocks: &[BlockHash]) {
        for &block in blocks {
            let key = (namespace, block);
            let Some(count) = self.expected.get_mut(&key) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.expected.remove(&key);
            }
        }
    }

    /// Applies the report of an answer: the first `matched_blocks` were cached,
    /// the others have just been computed. A report of another incarnation is
    /// ignored, because it may be a late one of an earlier process.
    pub fn apply_report(&mut self, report: CacheReport, blocks: &[BlockHash], now_us: u64) {
        if report.engine != self.engine {
            return;
        }
        let namespace = report.namespace;
        let matched_count = usize::try_from(report.matched_blocks).unwrap_or(usize::MAX);
        if let Some(&missing) = blocks.get(matched_count) {
            self.note_missing(&report, missing);
        }
        // The last block goes first, so that the start of the prompt is the most
        // recently used, as in the engine.
        for &block in blocks.iter().rev() {
            let sequence = self
                .blocks
                .peek(&(namespace, block))
                .map_or(0, |s| s.sequence);
            let state = BlockState {
                is_present: true,
                sequence,
                used_at_us: now_us,
                gap_count: self.gap_count,
            };
            self.blocks.put((namespace, block), state);
        }
    }

    /// Estimates how much of a prompt is cached.
    pub fn lookup(&self, namespace: Namespace, blocks: &[BlockHash]) -> PrefixMatch {
        let mut prefix = PrefixMatch::default();
        let mut is_certain = true;
        for &block in blocks {
            let key = (namespace, block);
            let cached = self
                .blocks
                .peek(&key)
                .filter(|state| state.is_present && state.used_at_us >= self.evicted_before_us);
            if cached.is_none() && !self.expected.contains_key(&key) {
                break;
            }
            is_certain &= cached.is_some_and(|state| state.gap_count == self.gap_count);
            prefix.likely_blocks += 1;
            prefix.confirmed_blocks += u32::from(is_certain);
        }
        prefix
    }

    /// Records the sequence number of an event and returns its place in the
    /// stream.
    fn advance_sequence(&mut self, sequence: u64) -> EventOutcome {
        if sequence < self.next_sequence {
            return EventOutcome::Late;
        }
        let missing = sequence - self.next_sequence;
        self.next_sequence = sequence + 1;
        if missing == 0 {
            return EventOutcome::InOrder;
        }
        self.gap_count += 1;
        EventOutcome::AfterGap { missing }
    }

    /// Sets the state of a block unless a later event has set it.
    fn set_from_event(
        &mut self,
        event: &CacheEvent,
        block: BlockHash,
        is_present: bool,
        now_us: u64,
    ) {
        let key = (event.namespace, block);
        let cached = self.blocks.peek(&key).copied();
        if cached.is_some_and(|state| state.sequence > event.sequence) {
            return;
        }
        let previous_use_us = cached.map_or(0, |state| state.used_at_us);
        let used_at_us = if is_present { now_us } else { previous_use_us };
        let state = BlockState {
            is_present,
            sequence: event.sequence,
            used_at_us,
            gap_count: self.gap_count,
        };
        self.blocks.put(key, state);
    }

    /// Raises `evicted_before_us` if the block should have been cached.
    fn note_missing(&mut self, report: &CacheReport, block: BlockHash) {
        let Some(state) = self.blocks.peek(&(report.namespace, block)) else {
            return;
        };
        // A block used after the request was sent may have been stored by the
        // request itself.
        if state.is_present && state.used_at_us < report.sent_at_us {
            self.evicted_before_us = self.evicted_before_us.max(state.used_at_us);
        }
    }
}
