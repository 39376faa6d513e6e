//! State of an agent that both threads share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
};

use slog::Logger;
use tokio::sync::{
    Notify,
    mpsc,
    oneshot, //
};

use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    names::{
        Incarnation,
        Name, //
    },
    process::{
        at_most_once::key_verification::AgentClaimContext,
        cache_index::CacheReport,
        fair_queue::{
            self,
            UNITS_PER_TICKET_WEIGHT, //
        },
        metrics::Metrics,
        stop, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
    settings::AgentSettings,
    version::{
        config::ServiceKind,
        freshness::Freshness, //
    },
};

/// Requests without a first token that an engine holds. Two keep it busy while
/// the order is decided in the queue as long as possible.
const MAX_STARTING: usize = 2;

/// Tokens per unit of weight and round. Weights in tickets are small numbers, so
/// that a round is worth a typical prompt of 4,000 tokens.
const QUANTUM_TOKENS: u64 = 4_000 / UNITS_PER_TICKET_WEIGHT as u64;

/// Load of the traffic thread, for reports.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) queued: AtomicUsize,
    pub(super) running: AtomicUsize,
    /// Streams that an entry has not received completely.
    pub(super) undelivered: AtomicUsize,
    /// Moving average of the time that an attempt occupies a place.
    pub(super) service_us: AtomicU64,
}

impl Load {
    /// Adds one attempt to the moving average.
    pub(super) fn note_service(&self, service_us: u64) {
        let average_us = self.service_us.load(Ordering::Relaxed);
        let next_us = average_us - average_us / 16 + service_us / 16;
        self.service_us.store(next_us, Ordering::Relaxed);
    }
}

/// Message of the traffic thread to the control thread about an answer.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) answer: CacheReport,
    pub(super) blocks: Vec<BlockHash>,
}

/// Question of the traffic thread to the control thread, which keeps the cache
/// index.
#[derive(Debug)]
pub(super) struct CacheQuestion {
    pub(super) namespace: Namespace,
    pub(super) blocks: Vec<BlockHash>,
    /// Receives the number of leading blocks that the engine probably holds.
    pub(super) reply: oneshot::Sender<usize>,
}

/// State of an agent that both threads share.
pub(super) struct Context {
    pub(super) settings: AgentSettings,
    pub(super) log: Logger,
    pub(super) clock: Clock,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: Metrics,
    pub(super) load: Load,
    pub(super) answered: mpsc::Sender<Answered>,
    pub(super) questions: mpsc::Sender<CacheQuestion>,
    /// Notified when the state that collectors should know of has changed.
    pub(super) changed: Notify,
    pub(super) stop: stop::StopProgress,
    engine: AtomicU64,
    versions: Mutex<Vec<String>>,
    running_versions: Mutex<BTreeMap<Name, u64>>,
    /// Digest of the members of the service, 0 while they are not known.
    members: AtomicU64,
    members_changed_at_us: AtomicU64,
    news_at_us: AtomicU64,
}

impl Context {
    pub(super) fn new(
        settings: AgentSettings,
        log: Logger,
        answered: mpsc::Sender<Answered>,
        questions: mpsc::Sender<CacheQuestion>,
    ) -> Self {
        Self {
            settings,
            log,
            clock: Clock::start(),
            incarnation: Incarnation::random(),
            metrics: Metrics::new(),
            load: Load::default(),
            answered,
            questions,
            changed: Notify::new(),
            stop: stop::StopProgress::default(),
            engine: AtomicU64::new(0),
            versions: Mutex::default(),
            running_versions: Mutex::default(),
            members: AtomicU64::new(0),
            members_changed_at_us: AtomicU64::new(0),
            news_at_us: AtomicU64::new(0),
        }
    }

    pub(super) fn queue_settings(&self) -> fair_queue::QueueSettings {
        let queue = &self.settings.queue;
        // Only an engine orders requests of its own; a plain server starts them
        // at once.
        let max_starting = match self.settings.target_kind {
            ServiceKind::Model => MAX_STARTING,
            ServiceKind::Plain => queue.max_running,
        };
        fair_queue::QueueSettings {
            max_queued: queue.max_requests,
            slots: queue.max_running,
            reserved_slots: queue.max_running / 2,
            max_starting,
            quantum_tokens: QUANTUM_TOKENS,
            ..fair_queue::QueueSettings::default()
        }
    }

    /// Expected wait of a new attempt behind those that are queued.
    pub(super) fn expected_wait_us(&self, queued: usize) -> u64 {
        let queued = u64::try_from(queued).unwrap_or(u64::MAX);
        let service_us = self.load.service_us.load(Ordering::Relaxed);
        let slots = u64::try_from(self.queue_settings().slots.max(1)).unwrap_or(1);
        queued.saturating_mul(service_us) / slots
    }

    /// Takes over the members of this target's service. Idempotency keys may have
    /// been run by another agent until a change.
    pub(super) fn note_members(&self, members: u64) {
        if self.members.load(Ordering::Relaxed) != members {
            let now_us = self.clock.now_us();
            self.members_changed_at_us.store(now_us, Ordering::Relaxed);
            // A claim that sees the new members has to see the time as well.
            self.members.store(members, Ordering::Release);
        }
    }

    pub(super) fn members_changed_at_us(&self) -> u64 {
        self.members_changed_at_us.load(Ordering::Relaxed)
    }

    /// Takes over what the control thread has heard of the object API.
    pub(super) fn note_freshness(&self, freshness: &Freshness) {
        let news_at_us = freshness.news_at_us();
        self.news_at_us.store(news_at_us, Ordering::Relaxed);
    }

    /// What this agent knows that bears on a claim of an idempotency key.
    pub(super) fn claim_context(&self) -> AgentClaimContext {
        let news_at_us = self.news_at_us.load(Ordering::Relaxed);
        let silent_us = self.clock.now_us().saturating_sub(news_at_us);
        AgentClaimContext {
            members_digest: self.members.load(Ordering::Acquire),
            api_silent_ms: silent_us / US_PER_MS,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.stop.is_leaving()
    }

    pub(super) fn leave(&self) {
        self.stop.leave();
        self.changed.notify_one();
    }

    /// Incarnation of the engine's cache, as last seen.
    pub(super) fn engine(&self) -> Incarnation {
        Incarnation(self.engine.load(Ordering::Relaxed))
    }

    pub(super) fn set_engine(&self, engine: Incarnation) {
        self.engine.store(engine.0, Ordering::Relaxed);
    }

    /// Counts an attempt on a version until the result is dropped.
    pub(super) fn use_version(self: &Arc<Self>, version: &Name) -> VersionUse {
        let running = self.running_versions.lock();
        let mut running = running.unwrap_or_else(PoisonError::into_inner);
        *running.entry(version.clone()).or_default() += 1;
        VersionUse {
            context: Arc::clone(self),
            version: version.clone(),
        }
    }

    /// Attempts that have not ended, by version.
    pub(super) fn running_versions(&self) -> BTreeMap<Name, u64> {
        let running = self.running_versions.lock();
        running.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Versions that the target serves; empty when the target does not say.
    pub(super) fn versions(&self) -> Vec<String> {
        let versions = self.versions.lock();
        versions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_versions(&self, versions: Vec<String>) {
        let mut current = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        *current = versions;
    }
}

/// Counts an attempt on a version until it is dropped.
pub(super) struct VersionUse {
    context: Arc<Context>,
    version: Name,
}

impl Drop for VersionUse {
    fn drop(&mut self) {
        let running = self.context.running_versions.lock();
        let mut running = running.unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = running.get_mut(&self.version) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.version);
            }
        }
    }
}
