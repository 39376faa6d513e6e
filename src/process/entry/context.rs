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
use tokio::sync::{
    Notify,
    mpsc,
    oneshot, //
};

use super::{
    control::RateLimiters,
    moves::{
        LiveMoves,
        MoveSample,
        RunningVersions, //
    },
};
use crate::{
    clock::{
        Clock,
        US_PER_MS,
        US_PER_S, //
    },
    connection::attempt::RecordState,
    names::{
        AttemptId,
        Digest,
        Incarnation,
        Name, //
    },
    process::{
        metrics::Metrics,
        stop, //
    },
    settings::EntrySettings,
    version::{
        config::Config,
        freshness::Freshness, //
    },
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
    pub(super) rate_limiters: ArcSwap<RateLimiters>,
    pub(super) moves: ArcSwap<LiveMoves>,
    pub(super) running_versions: RunningVersions,
    /// Takes evidence to the control thread.
    pub(super) samples: mpsc::Sender<MoveSample>,
    /// Notified when a share of any organisation has grown.
    pub(super) shares_changed: Notify,
    /// Requests that have not been answered completely.
    pub(super) running: AtomicUsize,
    next_sequence: AtomicU64,
    pub(super) stop: stop::StopProgress,
    knows_moves: AtomicBool,
    shares_released: AtomicBool,
    keys_stale_at_us: AtomicU64,
    news_at_us: AtomicU64,
    /// Notified when the state that peers should know of has changed.
    pub(super) changed: Notify,
    /// Asks the control thread for records of idempotency keys.
    pub(super) records: mpsc::Sender<RecordRequest>,
    platform_heard_at_us: AtomicU64,
    platform_failed_at_us: AtomicU64,
}

/// Request for the record of an idempotency key.
pub(super) struct RecordRequest {
    pub(super) key: Digest,
    /// Agent that would run the request.
    pub(super) agent: Incarnation,
    pub(super) answer: oneshot::Sender<RecordState>,
}

/// Longest time between two answers of the object API that still counts as
/// continuous service: a read of 2 s and a watch call of 1.5 s at most, rounded
/// up. Part of the sum behind `API_SILENT_AFTER_MS`.
const PLATFORM_GAP_US: u64 = 4 * US_PER_S;

impl Context {
    pub(super) fn new(
        settings: EntrySettings,
        log: Logger,
        records: mpsc::Sender<RecordRequest>,
        samples: mpsc::Sender<MoveSample>,
    ) -> Self {
        Self {
            settings,
            log,
            clock: Clock::start(),
            incarnation: Incarnation::random(),
            metrics: Metrics::new(),
            config: ArcSwap::default(),
            targets: ArcSwap::default(),
            rate_limiters: ArcSwap::default(),
            moves: ArcSwap::default(),
            running_versions: RunningVersions::default(),
            samples,
            shares_changed: Notify::new(),
            shares_released: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            next_sequence: AtomicU64::new(0),
            stop: stop::StopProgress::default(),
            knows_moves: AtomicBool::new(false),
            keys_stale_at_us: AtomicU64::new(0),
            news_at_us: AtomicU64::new(0),
            changed: Notify::new(),
            records,
            platform_heard_at_us: AtomicU64::new(0),
            platform_failed_at_us: AtomicU64::new(0),
        }
    }

    /// Returns a fresh attempt id.
    pub(super) fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Whether all shares were handed back before a stop.
    pub(super) fn are_shares_released(&self) -> bool {
        self.shares_released.load(Ordering::Relaxed)
    }

    pub(super) fn set_shares_released(&self, released: bool) {
        self.shares_released.store(released, Ordering::Relaxed);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.stop.is_leaving()
    }

    pub(super) fn leave(&self) {
        self.stop.leave();
        self.changed.notify_one();
    }

    /// Whether withdrawals of keys may have been missed.
    ///
    /// The time is compared for every request, because a process that resumes
    /// after a pause serves before its control thread has run.
    pub(super) fn are_keys_stale(&self) -> bool {
        self.clock.now_us() >= self.keys_stale_at_us.load(Ordering::Relaxed)
    }

    /// Takes over what the control thread has heard of the object API.
    pub(super) fn note_freshness(&self, freshness: &Freshness) {
        let stale_at_us = freshness.stale_at_us();
        self.keys_stale_at_us.store(stale_at_us, Ordering::Relaxed);
        self.news_at_us
            .store(freshness.news_at_us(), Ordering::Relaxed);
    }

    /// Time since this entry or a peer that it hears had news from the object API.
    pub(super) fn api_silent_ms(&self) -> u64 {
        let news_at_us = self.news_at_us.load(Ordering::Relaxed);
        self.clock.now_us().saturating_sub(news_at_us) / US_PER_MS
    }

    /// Notes whether the object API answered just now.
    pub(super) fn note_platform(&self, is_up: bool) {
        let now_us = self.clock.now_us();
        let heard_at_us = self.platform_heard_at_us.load(Ordering::Relaxed);
        if !is_up || now_us.saturating_sub(heard_at_us) > PLATFORM_GAP_US {
            self.platform_failed_at_us.store(now_us, Ordering::Relaxed);
        }
        if is_up {
            self.platform_heard_at_us.store(now_us, Ordering::Relaxed);
        }
    }

    /// Whether the object API is known to have answered throughout the window of
    /// idempotency keys.
    pub(super) fn has_platform_covered_window(&self) -> bool {
        let now_us = self.clock.now_us();
        let heard_at_us = self.platform_heard_at_us.load(Ordering::Relaxed);
        let failed_at_us = self.platform_failed_at_us.load(Ordering::Relaxed);
        let window_us = self.settings.idempotency_window_ms * US_PER_MS;
        heard_at_us > 0
            && now_us.saturating_sub(heard_at_us) <= PLATFORM_GAP_US
            && now_us.saturating_sub(failed_at_us) >= window_us
    }

    /// Whether a configuration has been received.
    pub(super) fn has_config(&self) -> bool {
        self.config.load().revision() > 0
    }

    /// Whether the versions of requests can be chosen. An entry that starts
    /// during a move would otherwise use the version that the move replaces.
    pub(super) fn knows_moves(&self) -> bool {
        self.knows_moves.load(Ordering::Relaxed)
    }

    pub(super) fn set_knows_moves(&self) {
        self.knows_moves.store(true, Ordering::Relaxed);
    }

    /// Whether requests can be served.
    pub(super) fn can_serve(&self) -> bool {
        self.has_config() && self.knows_moves()
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
