//! State of an entry that all its threads share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwap;
use slog::Logger;
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    names::{
        AttemptId,
        Incarnation,
        Name, //
    },
    process::metrics::Metrics,
    settings::EntrySettings,
    version::config::Config,
};

/// Last known state of a target, published by the control thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct TargetView {
    /// Incarnation of the agent.
    pub(super) agent: Incarnation,
    /// Incarnation of the engine's cache.
    pub(super) engine: Incarnation,
    /// Versions that the target serves; empty for plain services.
    pub(super) versions: Vec<Name>,
    /// Expected wait in the queue.
    pub(super) queue_us: u64,
    /// Whether the target takes no further work.
    pub(super) leaving: bool,
}

/// Live targets by name.
pub(super) type TargetViews = HashMap<Name, TargetView>;

/// State of an entry that all its threads share.
pub(super) struct Context {
    pub(super) settings: EntrySettings,
    pub(super) log: Logger,
    pub(super) clock: Clock,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: Metrics,
    pub(super) config: ArcSwap<Config>,
    pub(super) targets: ArcSwap<TargetViews>,
    /// Requests that have not been answered completely.
    pub(super) running: AtomicUsize,
    next_sequence: AtomicU64,
    leaving: AtomicBool,
    keys_stale_at_us: AtomicU64,
    /// Told when the state that peers should know of has changed.
    pub(super) changed: Notify,
    announced: AtomicBool,
}

impl Context {
    pub(super) fn new(settings: EntrySettings, log: Logger) -> Self {
        Self {
            settings,
            log,
            clock: Clock::start(),
            incarnation: Incarnation::random(),
            metrics: Metrics::new(),
            config: ArcSwap::default(),
            targets: ArcSwap::default(),
            running: AtomicUsize::new(0),
            next_sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            keys_stale_at_us: AtomicU64::new(0),
            changed: Notify::new(),
            announced: AtomicBool::new(false),
        }
    }

    /// Returns a fresh attempt id.
    pub(super) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// Whether the peers have been told that the entry is leaving.
    pub(super) fn is_announced(&self) -> bool {
        self.announced.load(Ordering::Relaxed)
    }

    pub(super) fn set_announced(&self) {
        self.announced.store(true, Ordering::Relaxed);
    }

    /// Whether withdrawals of keys may have been missed.
    ///
    /// The time is compared for every request, because a process that resumes
    /// after a pause serves before its control thread has run.
    pub(super) fn are_keys_stale(&self) -> bool {
        self.clock.now_us() >= self.keys_stale_at_us.load(Ordering::Relaxed)
    }

    pub(super) fn set_keys_stale_at(&self, stale_at_us: u64) {
        self.keys_stale_at_us.store(stale_at_us, Ordering::Relaxed);
    }

    /// Whether a configuration has been received.
    pub(super) fn has_config(&self) -> bool {
        self.config.load().revision() > 0
    }

    /// Publishes a new configuration to the traffic threads.
    pub(super) fn publish(&self, config: Arc<Config>) {
        let revision = i64::try_from(config.revision()).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        self.config.store(config);
    }
}

/// Counts a request as running until it is dropped.
pub(super) struct RunningGuard {
    context: Arc<Context>,
}

impl RunningGuard {
    pub(super) fn new(context: &Arc<Context>) -> Self {
        context.running.fetch_add(1, Ordering::Relaxed);
        context.metrics.running.inc();
        Self {
            context: Arc::clone(context),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.context.running.fetch_sub(1, Ordering::Relaxed);
        self.context.metrics.running.dec();
    }
}
