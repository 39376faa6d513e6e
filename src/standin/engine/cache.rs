//! Bounded cache of prompt blocks with an event log.

use std::{
    collections::VecDeque,
    num::NonZeroUsize, //
};

use lru::LruCache;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::request::{
    openai::{
        BodyLimits,
        CompletionRequest,
        Endpoint, //
    },
    prompt::{
        BlockHash,
        BlockSize,
        Namespace,
        hash_prompt, //
    },
};

/// Events kept for late readers; older ones are lost to them.
const EVENT_LOG_CAPACITY: usize = 4_096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is cached now.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One published change of the cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Position in the event stream; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Chained hash of the block.
    pub block: BlockHash,
    /// Cache namespace of the block.
    pub namespace: Namespace,
    /// When the engine may publish the event.
    #[serde(skip)]
    pub publish_at_us: u64,
}

/// Least-recently-used cache of prompt blocks.
#[derive(Debug)]
pub struct BlockCache {
    blocks: LruCache<BlockHash, Namespace>,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
    lose_every: u64,
    lag_us: u64,
}

impl BlockCache {
    /// Makes an empty cache.
    ///
    /// ```
    /// use yuccalatch::request::prompt::{BlockHash, Namespace};
    /// use yuccalatch::standin::engine::BlockCache;
    ///
    /// let mut cache = BlockCache::new(2, 0, 0);
    /// let blocks = [BlockHash(1), BlockHash(2)];
    /// assert_eq!(cache.lookup(&blocks), 0);
    /// cache.store(&blocks, Namespace::derive("mill-a", "v1"), 0);
    /// assert_eq!(cache.lookup(&blocks), 2);
    /// ```
    pub fn new(capacity_blocks: usize, lag_us: u64, lose_every: u64) -> Self {
        let capacity = NonZeroUsize::new(capacity_blocks).unwrap_or(NonZeroUsize::MIN);
        Self {
            blocks: LruCache::new(capacity),
            events: VecDeque::new(),
            next_sequence: 0,
            lose_every,
            lag_us,
        }
    }

    /// Returns how many leading blocks are cached and marks them as used.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let mut matched = 0;
        for block in blocks {
            if self.blocks.get(block).is_none() {
                break;
            }
            matched += 1;
        }
        matched
    }

    /// Caches blocks, evicting the least recently used ones.
    pub fn store(&mut self, blocks: &[BlockHash], namespace: Namespace, now_us: u64) {
        for &block in blocks {
            let evicted = self.blocks.push(block, namespace);
            match evicted {
                Some((old, _)) if old == block => continue,
                Some((old, owner)) => self.log(CacheEventKind::Evicted, old, owner, now_us),
                None => {}
            }
            self.log(CacheEventKind::Stored, block, namespace, now_us);
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns published events from a sequence number on.
    pub fn events_since(&self, since: u64, now_us: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence >= since && event.publish_at_us <= now_us)
            .cloned()
            .collect()
    }

    fn log(&mut self, kind: CacheEventKind, block: BlockHash, namespace: Namespace, now_us: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.lose_every > 0 && sequence % self.lose_every == self.lose_every - 1 {
            return;
        }
        if self.events.len() == EVENT_LOG_CAPACITY {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence,
            kind,
            block,
            namespace,
            publish_at_us: now_us + self.lag_us,
        });
    }
}

/// Cuts a prompt into whole blocks and returns their chained hashes.
///
/// The router's own hashing stands for that of the engine, so that published
/// events name the blocks as the agent knows them.
pub(super) fn block_hashes(
    namespace: Namespace,
    endpoint: Endpoint,
    body: &[u8],
    block_tokens: u32,
) -> Vec<BlockHash> {
    let body = bytes::Bytes::copy_from_slice(body);
    let Ok(completion) = CompletionRequest::parse(endpoint, body, &BodyLimits::default()) else {
        return Vec::new();
    };
    let size = BlockSize {
        tokens: block_tokens,
        ..BlockSize::default()
    };
    hash_prompt(namespace, size, &[&completion.canonical_prompt]).blocks
}
