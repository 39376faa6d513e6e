//! State of an agent that both threads share.

use std::sync::{
    Mutex, PoisonError,
    atomic::{
        AtomicBool,
        AtomicU64,
        AtomicUsize,
        Ordering, //
    },
};

use slog::Logger;
use tokio::sync::{
    Notify,
    mpsc, //
};

use crate::{
    clock::Clock,
    names::Incarnation,
    process::{
        cache_index::Answer,
        fair_queue,
        metrics::Metrics, //
    },
    request::prompt::BlockHash,
    settings::AgentSettings,
};

/// Load of the traffic thread, for reports.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) queued: AtomicUsize,
    pub(super) running: AtomicUsize,
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

/// What the traffic thread tells the control thread.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) answer: Answer,
    pub(super) blocks: Vec<BlockHash>,
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
    /// Told when the state that collectors should know of has changed.
    pub(super) changed: Notify,
    leaving: AtomicBool,
    announced: AtomicBool,
    engine: AtomicU64,
    versions: Mutex<Vec<String>>,
}

impl Context {
    pub(super) fn new(
        settings: AgentSettings,
        log: Logger,
        answered: mpsc::Sender<Answered>,
    ) -> Self {
        Self {
            settings,
            log,
            clock: Clock::start(),
            incarnation: Incarnation::random(),
            metrics: Metrics::new(),
            load: Load::default(),
            answered,
            changed: Notify::new(),
            leaving: AtomicBool::new(false),
            announced: AtomicBool::new(false),
            engine: AtomicU64::new(0),
            versions: Mutex::default(),
        }
    }

    pub(super) fn queue_settings(&self) -> fair_queue::Settings {
        fair_queue::Settings::default()
    }

    /// Expected wait of a new attempt behind those that are queued.
    pub(super) fn expected_wait_us(&self, queued: usize) -> u64 {
        let queued = u64::try_from(queued).unwrap_or(u64::MAX);
        let service_us = self.load.service_us.load(Ordering::Relaxed);
        let slots = u64::try_from(self.queue_settings().slots.max(1)).unwrap_or(1);
        queued.saturating_mul(service_us) / slots
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// Whether the collectors have been told that the agent is leaving.
    pub(super) fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Relaxed)
    }

    pub(super) fn set_announced(&self) {
        self.announced.store(true, Ordering::Relaxed);
    }

    /// Incarnation of the engine's cache, as last seen.
    pub(super) fn engine(&self) -> Incarnation {
        Incarnation(self.engine.load(Ordering::Relaxed))
    }

    pub(super) fn set_engine(&self, engine: Incarnation) {
        self.engine.store(engine.0, Ordering::Relaxed);
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
