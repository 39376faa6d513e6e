//! Engine model for comparisons in virtual time.
//!
//! The engine computes prompts in chunks of one block, one chunk at a time, the
//! highest priority first, and decodes up to `slots` requests together. Its
//! cache is an LRU over blocks. It publishes cache events late and with gaps.
//! Imported blocks take the place of others like computed ones; transfers do
//! not slow the computation.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    num::NonZeroUsize,
    sync::Arc, //
};

use lru::LruCache;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::{
        cache_index::{
            CacheChange,
            CacheEvent, //
        },
        fair_queue::Priority, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

mod agent;
mod kv_store;

pub use agent::{
    Agent,
    Importing,
    QueueKind, //
};
pub use kv_store::{
    KvStore,
    KvStoreSettings, //
};

/// Rates and sizes of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Blocks that the cache holds.
    pub cache_blocks: NonZeroUsize,
    /// Requests that decode at the same time.
    pub slots: usize,
    /// Time to compute one block of a prompt on an idle engine.
    pub block_us: u64,
    /// Time between two tokens of a stream on an idle engine.
    pub token_us: u64,
    /// How much a full batch slows both down.
    pub batch_slowdown: f64,
    /// Delay of cache events.
    pub event_lag_us: u64,
    /// Share of cache events that are lost.
    pub event_loss: f64,
}

/// A request as generated for a comparison.
#[derive(Clone, Debug)]
pub struct Request {
    /// When the entry has received it.
    pub arrival_us: u64,
    /// Entry that the load balancer chose.
    pub entry: usize,
    /// Organisation that pays.
    pub organisation: Name,
    /// Position of the organisation in the trace.
    pub organisation_index: usize,
    /// Cache namespace.
    pub namespace: Namespace,
    /// Complete blocks of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Tokens after the last complete block.
    pub tail_tokens: u32,
    /// Tokens that will be generated.
    pub output_tokens: u32,
    /// Rate of the organisation over all entries.
    pub rate_tokens_per_s: u64,
}

impl Request {
    /// Returns the tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        let blocks = u64::try_from(self.blocks.len()).unwrap_or(u64::MAX);
        blocks * u64::from(BLOCK_TOKENS) + u64::from(self.tail_tokens)
    }
}

/// What an engine reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// The first token of a request.
    FirstToken {
        /// Position of the request in the trace.
        request: usize,
        /// Blocks that were in the cache.
        matched_blocks: u32,
    },
    /// The last token of a request.
    Finished {
        /// Position of the request in the trace.
        request: usize,
    },
}

#[derive(Debug)]
struct Prefill {
    request: usize,
    namespace: Namespace,
    blocks: Arc<[BlockHash]>,
    tail_tokens: u32,
    output_tokens: u32,
    priority: Priority,
    order: u64,
    /// Set when the first chunk starts.
    matched_blocks: Option<u32>,
    computed_blocks: usize,
}

/// Tokens in a block of the model.
pub const BLOCK_TOKENS: u32 = 1_000;

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    incarnation: Incarnation,
    cache: LruCache<BlockHash, Namespace>,
    waiting: Vec<Prefill>,
    chunk: Option<(u64, Prefill)>,
    decoding: BinaryHeap<Reverse<(u64, usize)>>,
    events: VecDeque<(u64, CacheEvent)>,
    next_sequence: u64,
    next_order: u64,
    rng: ChaCha8Rng,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(settings: EngineSettings, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            settings,
            incarnation,
            cache: LruCache::new(settings.cache_blocks),
            waiting: Vec::new(),
            chunk: None,
            decoding: BinaryHeap::new(),
            events: VecDeque::new(),
            next_sequence: 0,
            next_order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Returns the incarnation of the cache.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Accepts a request.
    pub fn submit(&mut self, id: usize, request: &Request, priority: Priority, now_us: u64) {
        self.waiting.push(Prefill {
            request: id,
            namespace: request.namespace,
            blocks: request.blocks.clone(),
            tail_tokens: request.tail_tokens,
            output_tokens: request.output_tokens,
            priority,
            order: self.next_order,
            matched_blocks: None,
            computed_blocks: 0,
        });
        self.next_order += 1;
        self.start_chunk(now_us);
    }

    /// Returns when the engine has something to do.
    pub fn next_at_us(&self) -> Option<u64> {
        let chunk_at_us = self.chunk.as_ref().map(|(ends_at_us, _)| *ends_at_us);
        let finish_at_us = self.decoding.peek().map(|Reverse((at_us, _))| *at_us);
        chunk_at_us.into_iter().chain(finish_at_us).min()
    }

    /// Does everything that is due.
    pub fn advance(&mut self, now_us: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(Reverse((at_us, request))) = self.decoding.peek().copied() {
            if at_us > now_us {
                break;
            }
            self.decoding.pop();
            outputs.push(Output::Finished { request });
        }
        if let Some((_, prefill)) = self.chunk.take_if(|(ends_at_us, _)| *ends_at_us <= now_us) {
            self.finish_chunk(prefill, now_us, &mut outputs);
        }
        self.start_chunk(now_us);
        outputs
    }

    /// Loses the cache and all requests, which are returned.
    pub fn crash(&mut self, incarnation: Incarnation) -> Vec<usize> {
        self.incarnation = incarnation;
        self.cache.clear();
        self.events.clear();
        self.next_sequence = 0;
        let running = self.chunk.take().map(|(_, prefill)| prefill.request);
        let waiting = self.waiting.drain(..).map(|prefill| prefill.request);
        let decoding = self.decoding.drain().map(|Reverse((_, request))| request);
        let mut lost: Vec<usize> = running.into_iter().chain(waiting).chain(decoding).collect();
        lost.sort_unstable();
        lost
    }

    /// Returns the cache events that have become visible.
    pub fn events(&mut self, now_us: u64) -> Vec<CacheEvent> {
        let visible = self.events.partition_point(|(at_us, _)| *at_us <= now_us);
        self.events
            .drain(..visible)
            .map(|(_, event)| event)
            .collect()
    }

    /// Returns whether a block is in the cache. Only the reference policy may
    /// ask.
    pub fn has(&self, block: BlockHash) -> bool {
        self.cache.contains(&block)
    }

    /// Returns the exact remaining time of the accepted prompts. Only the
    /// reference policy may ask.
    pub fn remaining_us(&self, now_us: u64) -> u64 {
        let waiting = self.waiting.iter().map(|prefill| self.prefill_us(prefill));
        let current = self.chunk.as_ref().map(|(ends_at_us, prefill)| {
            let rest_us = self
                .prefill_us(prefill)
                .saturating_sub(self.chunk_us(prefill));
            ends_at_us.saturating_sub(now_us) + rest_us
        });
        waiting.chain(current).sum()
    }

    /// Returns the time until a slot is released. Only the reference policy may
    /// ask.
    pub fn next_finish_us(&self, now_us: u64) -> u64 {
        let first = self.decoding.peek();
        first.map_or(0, |Reverse((at_us, _))| at_us.saturating_sub(now_us))
    }

    fn slowdown(&self) -> f64 {
        let load = self.decoding.len() as f64 / self.settings.slots as f64;
        1.0 + self.settings.batch_slowdown * load
    }

    fn matched(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|&&block| self.has(block)).count()
    }

    fn prefill_us(&self, prefill: &Prefill) -> u64 {
        let done = match prefill.matched_blocks {
            Some(_) => prefill.computed_blocks,
            None => self.matched(&prefill.blocks),
        };
        let blocks = (prefill.blocks.len() - done) as f64;
        let tail = f64::from(prefill.tail_tokens) / f64::from(BLOCK_TOKENS);
        ((blocks + tail) * self.settings.block_us as f64 * self.slowdown()) as u64
    }

    fn chunk_us(&self, prefill: &Prefill) -> u64 {
        let is_tail = prefill.computed_blocks >= prefill.blocks.len();
        let tokens = if is_tail {
            prefill.tail_tokens.max(1)
        } else {
            BLOCK_TOKENS
        };
        let share = f64::from(tokens) / f64::from(BLOCK_TOKENS);
        (share * self.settings.block_us as f64 * self.slowdown()).ceil() as u64
    }

    fn start_chunk(&mut self, now_us: u64) {
        if self.chunk.is_some() || self.waiting.is_empty() {
            return;
        }
        let order = |prefill: &Prefill| (Reverse(prefill.priority), prefill.order);
        let next = (0..self.waiting.len()).min_by_key(|&i| order(&self.waiting[i]));
        let mut prefill = self.waiting.swap_remove(next.unwrap_or(0));
        if prefill.matched_blocks.is_none() {
            prefill.computed_blocks = self.matched(&prefill.blocks);
            prefill.matched_blocks = u32::try_from(prefill.computed_blocks).ok();
        }
        self.chunk = Some((now_us + self.chunk_us(&prefill), prefill));
    }

    fn finish_chunk(&mut self, mut prefill: Prefill, now_us: u64, outputs: &mut Vec<Output>) {
        if prefill.computed_blocks < prefill.blocks.len() {
            prefill.computed_blocks += 1;
            let computed = &prefill.blocks[..prefill.computed_blocks];
            self.store(prefill.namespace, computed, now_us);
            self.waiting.push(prefill);
            return;
        }
        self.store(prefill.namespace, &prefill.blocks, now_us);
        outputs.push(Output::FirstToken {
            request: prefill.request,
            matched_blocks: prefill.matched_blocks.unwrap_or(0),
        });
        let token_us = self.settings.token_us as f64 * self.slowdown();
        let decode_us = (f64::from(prefill.output_tokens) * token_us) as u64;
        self.decoding
            .push(Reverse((now_us + decode_us, prefill.request)));
    }

    /// Adds imported blocks to the cache, given all blocks of the prompt up to
    /// the last imported one.
    pub fn import(&mut self, namespace: Namespace, blocks: &[BlockHash], now_us: u64) {
        self.store(namespace, blocks, now_us);
    }

    /// Touches blocks, leaves first, so that leaves are evicted before the
    /// blocks they depend on.
    fn store(&mut self, namespace: Namespace, blocks: &[BlockHash], now_us: u64) {
        for &block in blocks.iter().rev() {
            if self.cache.get(&block).is_some() {
                continue;
            }
            let evicted = self.cache.push(block, namespace);
            self.publish(namespace, CacheChange::Stored(vec![block]), now_us);
            if let Some((block, namespace)) = evicted {
                self.publish(namespace, CacheChange::Evicted(vec![block]), now_us);
            }
        }
    }

    fn publish(&mut self, namespace: Namespace, change: CacheChange, now_us: u64) {
        let event = CacheEvent {
            engine: self.incarnation,
            sequence: self.next_sequence,
            namespace,
            change,
        };
        self.next_sequence += 1;
        if self.rng.random_bool(self.settings.event_loss) {
            return;
        }
        let visible_at_us = now_us + self.settings.event_lag_us;
        self.events.push_back((visible_at_us, event));
    }
}
