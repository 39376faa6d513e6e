//! The agent next to a modelled engine: queue, cache index, expected wait.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    num::NonZeroUsize, //
};

use crate::{
    names::Incarnation,
    process::{
        cache_index::{
            CacheIndex,
            CacheReport, //
        },
        fair_queue::{
            FairQueue,
            Priority,
            QueueSettings,
            QueuedRequest,
            RejectedRequest, //
        },
        kv_import::{
            self,
            Import,
            ImportOutcome,
            KvTransferPolicy, //
        },
    },
    replay::model::{
        Engine,
        EngineSettings,
        KvStore,
        Output,
        Request, //
    },
    request::placement::{
        ProbeResult,
        TargetId, //
    },
};

/// Order in which the agent passes requests to the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueKind {
    /// First come, first served.
    Arrival,
    /// Deficit round robin with engine priorities.
    Fair,
}

#[derive(Debug)]
enum Queue {
    Arrival(VecDeque<usize>),
    Fair(Box<FairQueue<usize>>),
}

/// Expected remaining cost of a request that has no first token yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    cost_us: u64,
    organisation_index: usize,
    weight: u32,
    /// Set when the engine has the request.
    priority: Option<Priority>,
    sent_at_us: u64,
}

/// One agent with its engine.
#[derive(Debug)]
pub struct Agent {
    id: TargetId,
    engine: Engine,
    index: CacheIndex,
    queue: Queue,
    max_queued: usize,
    running: usize,
    pending: HashMap<usize, Pending>,
    /// When the engine last delivered a first token or left its idle state.
    progress_at_us: u64,
    kv_import: KvTransferPolicy,
}

/// Import that was begun for a request.
#[derive(Clone, Copy, Debug)]
pub struct Importing {
    /// Blocks of the prompt.
    pub import: Import,
    /// When the blocks arrive, or the request goes on without them.
    pub ends_at_us: u64,
    /// Whether the blocks arrive before the request goes on.
    pub is_in_time: bool,
    /// Incarnation of the engine that they are for.
    pub engine: Incarnation,
}

/// Factor between the blocks of the engine and those that the index remembers;
/// evicted blocks are remembered too.
const INDEX_FACTOR: usize = 4;

impl Agent {
    /// Creates an agent with an idle engine.
    pub fn new(
        id: TargetId,
        settings: EngineSettings,
        kind: QueueKind,
        queue: QueueSettings,
        seed: u64,
    ) -> Self {
        let incarnation = Incarnation(seed);
        let capacity = settings
            .cache_blocks
            .saturating_mul(NonZeroUsize::new(INDEX_FACTOR).unwrap_or(NonZeroUsize::MIN));
        Self {
            id,
            engine: Engine::new(settings, incarnation, seed),
            index: CacheIndex::new(incarnation, capacity),
            queue: match kind {
                QueueKind::Arrival => Queue::Arrival(VecDeque::new()),
                QueueKind::Fair => Queue::Fair(Box::new(FairQueue::new(queue))),
            },
            max_queued: queue.max_queued,
            running: 0,
            pending: HashMap::new(),
            progress_at_us: 0,
            kv_import: KvTransferPolicy::new(kv_import::KvTransferSettings {
                recompute_block_us: settings.block_us,
                ..kv_import::KvTransferSettings::default()
            }),
        }
    }

    /// Begins the import of missing blocks before a request is submitted.
    pub fn begin_import(
        &mut self,
        request: &Request,
        store: &mut KvStore,
        now_us: u64,
    ) -> Option<Importing> {
        self.read_events(now_us);
        let found = self.index.lookup(request.namespace, &request.blocks);
        let cached = usize::try_from(found.likely_blocks).unwrap_or(usize::MAX);
        let reserved = self
            .kv_import
            .reserve(cached, request.blocks.len(), now_us)?;
        let stored = store.leading(request.namespace, &request.blocks[cached..], now_us);
        let Some(import) = self.kv_import.narrow(reserved, stored) else {
            self.kv_import.end_import(ImportOutcome::NotStored, now_us);
            return None;
        };
        let whole_at_us = store.import(self.target(), import.blocks(), now_us);
        Some(Importing {
            import,
            ends_at_us: whole_at_us.min(import.expires_at_us),
            is_in_time: whole_at_us <= import.expires_at_us,
            engine: self.engine.incarnation(),
        })
    }

    /// Ends an import and returns the number of imported blocks.
    pub fn end_import(&mut self, request: &Request, importing: Importing, now_us: u64) -> usize {
        let Import { first, end, .. } = importing.import;
        let is_same_engine = importing.engine == self.engine.incarnation();
        let is_imported = importing.is_in_time && is_same_engine;
        let ended = if importing.is_in_time {
            ImportOutcome::Imported
        } else {
            ImportOutcome::Failed
        };
        self.kv_import.end_import(ended, now_us);
        if !is_imported {
            return 0;
        }
        let blocks = &request.blocks[..end];
        self.engine.import(request.namespace, blocks, now_us);
        let answer = CacheReport {
            engine: importing.engine,
            namespace: request.namespace,
            matched_blocks: u32::try_from(end).unwrap_or(u32::MAX),
            sent_at_us: now_us,
        };
        self.index.apply_report(answer, blocks, now_us);
        self.kv_import
            .note_stored(request.namespace, &blocks[first..], now_us);
        end - first
    }

    /// Exports blocks of a prompt that the engine has computed.
    pub fn export(&mut self, request: &Request, store: &mut KvStore, now_us: u64) {
        let namespace = request.namespace;
        let blocks = self
            .kv_import
            .choose_exports(namespace, &request.blocks, now_us);
        store.export(self.target(), namespace, &blocks, now_us);
    }

    fn target(&self) -> usize {
        self.id.0 as usize
    }

    /// Returns the engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Accepts a request, or returns the requests that were refused for it.
    pub fn submit(&mut self, id: usize, weight: u32, trace: &[Request], now_us: u64) -> Vec<usize> {
        let request = &trace[id];
        let cost_us = self.cost_us(request, now_us);
        if self.pending.is_empty() {
            self.progress_at_us = now_us;
        }
        self.index.add_expected(request.namespace, &request.blocks);
        let pending = Pending {
            cost_us,
            organisation_index: request.organisation_index,
            weight,
            priority: None,
            sent_at_us: now_us,
        };
        self.pending.insert(id, pending);
        let refused = self.enqueue(id, weight, request, cost_us, now_us);
        for &id in &refused {
            self.settle(id, trace);
        }
        self.pump(trace, now_us);
        refused
    }

    /// Lets the engine work and returns its outputs.
    pub fn advance(&mut self, trace: &[Request], now_us: u64) -> Vec<Output> {
        let outputs = self.engine.advance(now_us);
        for output in &outputs {
            match *output {
                Output::FirstToken {
                    request,
                    matched_blocks,
                } => self.first_token(request, matched_blocks, trace, now_us),
                Output::Finished { request } => self.release(&trace[request]),
            }
        }
        self.pump(trace, now_us);
        outputs
    }

    /// Restarts the engine with an empty cache and returns the lost requests.
    pub fn crash(&mut self, incarnation: Incarnation, trace: &[Request]) -> Vec<usize> {
        let lost = self.engine.crash(incarnation);
        for &id in &lost {
            self.settle(id, trace);
            self.release(&trace[id]);
        }
        self.index.set_engine(incarnation);
        // Requests that still wait in the queue will be computed by the new
        // engine.
        let mut waiting: Vec<usize> = self.pending.keys().copied().collect();
        waiting.sort_unstable();
        for id in waiting {
            self.index
                .add_expected(trace[id].namespace, &trace[id].blocks);
        }
        lost
    }

    /// Answers a probe from the cache index and the queue.
    pub fn probe(&mut self, request: &Request, weight: u32, now_us: u64) -> ProbeResult {
        self.read_events(now_us);
        let found = self.index.lookup(request.namespace, &request.blocks);
        ProbeResult {
            target: self.id,
            engine: self.engine.incarnation(),
            matched_blocks: found.likely_blocks,
            queue_us: self.queue_us(Some((request, weight)), now_us),
        }
    }

    /// Expected wait as it stands in load reports.
    pub fn load_us(&self, now_us: u64) -> u64 {
        self.queue_us(None, now_us)
    }

    /// Answers a probe from the state of the engine itself. Only the reference
    /// policy may ask.
    pub fn exact(&self, request: &Request, trace: &[Request], now_us: u64) -> ProbeResult {
        let is_cached = |block| {
            self.engine.has(block)
                || self
                    .pending
                    .keys()
                    .any(|&id| trace[id].blocks.contains(&block))
        };
        let cached = request.blocks.iter().take_while(|&&block| is_cached(block));
        let queued_us: u64 = self.queued().map(|pending| pending.cost_us).sum();
        let slot_us = if self.running >= self.engine.settings().slots {
            self.engine.next_finish_us(now_us)
        } else {
            0
        };
        ProbeResult {
            target: self.id,
            engine: self.engine.incarnation(),
            matched_blocks: u32::try_from(cached.count()).unwrap_or(u32::MAX),
            queue_us: self.engine.remaining_us(now_us) + queued_us + slot_us,
        }
    }

    fn queued(&self) -> impl Iterator<Item = &Pending> {
        self.pending
            .values()
            .filter(|pending| pending.priority.is_none())
    }

    /// With a fair queue, an organisation waits for its own requests and for at
    /// most as much of every other one, by weight.
    fn queue_us(&self, asking: Option<(&Request, u32)>, now_us: u64) -> u64 {
        let mut lanes: HashMap<usize, (u64, u32)> = HashMap::new();
        for pending in self.pending.values() {
            let lane = lanes.entry(pending.organisation_index).or_default();
            lane.0 += pending.cost_us;
            lane.1 = lane.1.max(pending.weight);
        }
        let total_us = match (&self.queue, asking) {
            (Queue::Fair(_), Some((request, weight))) => self.fair_wait_us(&lanes, request, weight),
            _ => lanes.values().map(|(cost_us, _)| cost_us).sum(),
        };
        let elapsed_us = now_us.saturating_sub(self.progress_at_us);
        total_us.saturating_sub(elapsed_us) + self.slot_wait_us()
    }

    fn fair_wait_us(
        &self,
        lanes: &HashMap<usize, (u64, u32)>,
        request: &Request,
        weight: u32,
    ) -> u64 {
        let own = request.organisation_index;
        let own_us = lanes.get(&own).map_or(0, |(cost_us, _)| *cost_us);
        let until_us = own_us + self.cost_estimate_us(request);
        let others = lanes.iter().filter(|(index, _)| **index != own);
        let other_us = others.map(|(_, (cost_us, other_weight))| {
            let served_us = until_us * u64::from(*other_weight) / u64::from(weight.max(1));
            (*cost_us).min(served_us)
        });
        own_us + other_us.sum::<u64>()
    }

    /// Expected wait for a slot when all are taken.
    fn slot_wait_us(&self) -> u64 {
        let settings = self.engine.settings();
        if self.running < settings.slots {
            return 0;
        }
        let stream_us = settings.token_us * TYPICAL_OUTPUT_TOKENS;
        let waiting = u64::try_from(self.queued().count() + 1).unwrap_or(u64::MAX);
        let slots = u64::try_from(settings.slots).unwrap_or(u64::MAX);
        stream_us * waiting / slots
    }

    fn cost_us(&mut self, request: &Request, now_us: u64) -> u64 {
        self.read_events(now_us);
        self.cost_estimate_us(request)
    }

    fn cost_estimate_us(&self, request: &Request) -> u64 {
        let found = self.index.lookup(request.namespace, &request.blocks);
        let blocks = u64::try_from(request.blocks.len()).unwrap_or(u64::MAX);
        let unmatched = blocks - u64::from(found.likely_blocks);
        let block_us = self.engine.settings().block_us;
        let tail_us = block_us * u64::from(request.tail_tokens) / u64::from(super::BLOCK_TOKENS);
        unmatched * block_us + tail_us
    }

    fn read_events(&mut self, now_us: u64) {
        for event in self.engine.events(now_us) {
            self.index.apply(&event, now_us);
        }
    }

    fn enqueue(
        &mut self,
        id: usize,
        weight: u32,
        request: &Request,
        cost_us: u64,
        now_us: u64,
    ) -> Vec<usize> {
        let block_us = self.engine.settings().block_us;
        match &mut self.queue {
            Queue::Arrival(queue) if queue.len() >= self.max_queued => vec![id],
            Queue::Arrival(queue) => {
                queue.push_back(id);
                Vec::new()
            }
            Queue::Fair(queue) => {
                let item = QueuedRequest {
                    organisation: request.organisation.clone(),
                    weight,
                    cost_tokens: cost_us * u64::from(super::BLOCK_TOKENS) / block_us,
                    expires_at_us: u64::MAX,
                    payload: id,
                };
                let payload = |rejected: RejectedRequest<usize>| rejected.request.payload;
                match queue.push(item, now_us) {
                    Ok(displaced) => displaced.map(payload).into_iter().collect(),
                    Err(rejected) => vec![payload(rejected)],
                }
            }
        }
    }

    fn pump(&mut self, trace: &[Request], now_us: u64) {
        while let Some((id, priority)) = self.next(now_us) {
            self.running += 1;
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.priority = Some(priority);
                pending.sent_at_us = now_us;
            }
            self.engine.submit(id, &trace[id], priority, now_us);
        }
    }

    fn next(&mut self, now_us: u64) -> Option<(usize, Priority)> {
        match &mut self.queue {
            Queue::Arrival(_) if self.running >= self.engine.settings().slots => None,
            Queue::Arrival(queue) => Some((queue.pop_front()?, Priority::HIGHEST)),
            Queue::Fair(queue) => {
                let started = queue.pop(now_us)?;
                Some((started.request.payload, started.priority))
            }
        }
    }

    fn first_token(&mut self, id: usize, matched_blocks: u32, trace: &[Request], now_us: u64) {
        let request = &trace[id];
        self.read_events(now_us);
        let pending = self.pending.get(&id);
        let answer = CacheReport {
            engine: self.engine.incarnation(),
            namespace: request.namespace,
            matched_blocks,
            sent_at_us: pending.map_or(0, |pending| pending.sent_at_us),
        };
        self.settle(id, trace);
        self.index.apply_report(answer, &request.blocks, now_us);
        self.progress_at_us = now_us;
    }

    fn settle(&mut self, id: usize, trace: &[Request]) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.index
            .remove_expected(trace[id].namespace, &trace[id].blocks);
        if let (Queue::Fair(queue), Some(priority)) = (&mut self.queue, pending.priority) {
            queue.record_first_token(priority);
        }
    }

    fn release(&mut self, request: &Request) {
        self.running -= 1;
        if let Queue::Fair(queue) = &mut self.queue {
            queue.finish(&request.organisation);
        }
    }
}

/// Output of a typical request, for the expected wait for a slot.
const TYPICAL_OUTPUT_TOKENS: u64 = 120;
