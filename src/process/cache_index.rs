//! What the engine next to this agent has cached.
//!
//! Two sources are combined: the engine's cache events, which arrive late, out
//! of order and with gaps, and the matched blocks that the engine reports in
//! its answers, which are exact for the moment of the prefill. The index is an
//! estimate; only the engine decides what it reuses.

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

/// One entry of an engine's event stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Cache the event belongs to.
    pub engine: Incarnation,
    /// Position in the stream of that engine, from zero.
    pub sequence: u64,
    /// Namespace of the blocks, derived from version and organisation.
    pub namespace: Namespace,
    /// What changed.
    pub change: CacheChange,
}

/// What became of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventOutcome {
    /// It continued the stream.
    InOrder,
    /// Events before it are missing.
    AfterGap {
        /// Number of missing events.
        missing: u64,
    },
    /// It arrived after a later one.
    Late,
    /// It belongs to another cache and was dropped.
    OtherIncarnation,
}

/// Estimate of the cached part of a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PrefixMatch {
    /// Blocks from the start that are probably cached.
    pub likely_blocks: u32,
    /// Blocks from the start about which no doubt is known.
    pub confirmed_blocks: u32,
}

/// What the engine reported in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheReport {
    /// Cache the answer came from.
    pub engine: Incarnation,
    /// Namespace of the request.
    pub namespace: Namespace,
    /// Blocks of the prompt that were cached.
    pub matched_blocks: u32,
    /// When the request was passed to the engine.
    pub sent_at_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct State {
    present: bool,
    /// Event that set `present`; older events must not override it.
    sequence: u64,
    /// Last use known to the agent.
    used_at_us: u64,
    /// Number of gaps seen when the state was confirmed.
    gaps: u64,
}

/// Index over the cache of one engine, keyed by engine incarnation and
/// namespace (version and organisation).
///
/// ```
/// use std::num::NonZeroUsize;
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::process::cache_index::{CacheReport, CacheIndex};
/// use yuccalatch::request::prompt::{BlockHash, Namespace};
///
/// let engine = Incarnation(1);
/// let mut index = CacheIndex::new(engine, NonZeroUsize::new(100).unwrap());
/// let mill_a = Namespace::derive("mill-a", "draft-7");
/// let mill_b = Namespace::derive("mill-b", "draft-7");
/// let blocks = [BlockHash(1), BlockHash(2)];
/// let answer = CacheReport { engine, namespace: mill_a, matched_blocks: 0, sent_at_us: 5 };
/// index.apply_report(answer, &blocks, 10);
/// assert_eq!(index.lookup(mill_a, &blocks).likely_blocks, 2);
/// assert_eq!(index.lookup(mill_b, &blocks).likely_blocks, 0);
/// index.set_engine(Incarnation(2));
/// assert_eq!(index.lookup(mill_a, &blocks).likely_blocks, 0);
/// ```
#[derive(Debug)]
pub struct CacheIndex {
    engine: Incarnation,
    blocks: LruCache<(Namespace, BlockHash), State>,
    /// Blocks of requests that were sent to the engine and are not yet
    /// answered, with the number of these requests.
    expected: HashMap<(Namespace, BlockHash), u32>,
    next_sequence: u64,
    gaps: u64,
    /// A block last used at this time was found evicted. Engines evict in
    /// order of use, so blocks not used since then are probably gone as well.
    evicted_before_us: u64,
}

impl CacheIndex {
    /// Creates an empty index that remembers at most `capacity_blocks`.
    pub fn new(engine: Incarnation, capacity_blocks: NonZeroUsize) -> Self {
        Self {
            engine,
            blocks: LruCache::new(capacity_blocks),
            expected: HashMap::new(),
            next_sequence: 0,
            gaps: 0,
            evicted_before_us: 0,
        }
    }

    /// Returns the engine incarnation that the index describes.
    pub fn engine(&self) -> Incarnation {
        self.engine
    }

    /// Returns the number of remembered blocks, present or evicted.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Drops all knowledge when the engine incarnation differs.
    pub fn set_engine(&mut self, engine: Incarnation) {
        if engine == self.engine {
            return;
        }
        self.engine = engine;
        self.blocks.clear();
        self.expected.clear();
        self.next_sequence = 0;
        self.gaps = 0;
        self.evicted_before_us = 0;
    }

    /// Applies an event from the engine's stream.
    ///
    /// ```
    /// use std::num::NonZeroUsize;
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::cache_index::{EventOutcome, CacheEvent, CacheIndex, CacheChange};
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
        let applied = self.advance(event.sequence);
        let (blocks, present) = match &event.change {
            CacheChange::Stored(blocks) => (blocks, true),
            CacheChange::Evicted(blocks) => (blocks, false),
        };
        for &block in blocks {
            self.set_from_event(event, block, present, now_us);
        }
        applied
    }

    /// Records that a request was accepted for the engine: its blocks will be
    /// cached by the time a request behind it starts.
    ///
    /// Every call is followed by one of [`Self::remove_expected`].
    pub fn add_expected(&mut self, namespace: Namespace, blocks: &[BlockHash]) {
        for &block in blocks {
            *self.expected.entry((namespace, block)).or_default() += 1;
        }
    }

    /// Ends an expectation, because the request was answered or failed.
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

    /// Applies what the engine reported in an answer: the first
    /// `matched_blocks` were cached, the others have just been computed. An
    /// answer of another incarnation is ignored, because it may be a late one.
    pub fn apply_report(&mut self, answer: CacheReport, blocks: &[BlockHash], now_us: u64) {
        if answer.engine != self.engine {
            return;
        }
        let namespace = answer.namespace;
        let matched = usize::try_from(answer.matched_blocks).unwrap_or(usize::MAX);
        if let Some(&missing) = blocks.get(matched) {
            self.note_missing(&answer, missing);
        }
        // Leaves first, so that the start of the prompt is the most recent, as
        // in the engine.
        for &block in blocks.iter().rev() {
            let sequence = self
                .blocks
                .peek(&(namespace, block))
                .map_or(0, |s| s.sequence);
            let state = State {
                present: true,
                sequence,
                used_at_us: now_us,
                gaps: self.gaps,
            };
            self.blocks.put((namespace, block), state);
        }
    }

    /// Estimates how much of a prompt is cached.
    pub fn lookup(&self, namespace: Namespace, blocks: &[BlockHash]) -> PrefixMatch {
        let mut found = PrefixMatch::default();
        let mut is_certain = true;
        for &block in blocks {
            let key = (namespace, block);
            let known = self
                .blocks
                .peek(&key)
                .filter(|state| state.present && state.used_at_us >= self.evicted_before_us);
            if known.is_none() && !self.expected.contains_key(&key) {
                break;
            }
            is_certain &= known.is_some_and(|state| state.gaps == self.gaps);
            found.likely_blocks += 1;
            found.confirmed_blocks += u32::from(is_certain);
        }
        found
    }

    fn advance(&mut self, sequence: u64) -> EventOutcome {
        if sequence < self.next_sequence {
            return EventOutcome::Late;
        }
        let missing = sequence - self.next_sequence;
        self.next_sequence = sequence + 1;
        if missing == 0 {
            return EventOutcome::InOrder;
        }
        self.gaps += 1;
        EventOutcome::AfterGap { missing }
    }

    fn set_from_event(&mut self, event: &CacheEvent, block: BlockHash, present: bool, now_us: u64) {
        let key = (event.namespace, block);
        let known = self.blocks.peek(&key).copied();
        if known.is_some_and(|state| state.sequence > event.sequence) {
            return;
        }
        let known_use_us = known.map_or(0, |state| state.used_at_us);
        let used_at_us = if present { now_us } else { known_use_us };
        let state = State {
            present,
            sequence: event.sequence,
            used_at_us,
            gaps: self.gaps,
        };
        self.blocks.put(key, state);
    }

    fn note_missing(&mut self, answer: &CacheReport, block: BlockHash) {
        let Some(state) = self.blocks.peek(&(answer.namespace, block)) else {
            return;
        };
        // A block seen after the request was sent may have been stored by that
        // very request.
        if state.present && state.used_at_us < answer.sent_at_us {
            self.evicted_before_us = self.evicted_before_us.max(state.used_at_us);
        }
    }
}
