//! State that the threads of an entry share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwap;
use slog::Logger;

use super::{
    cache::{
        CachePosition,
        CacheUpdate,
        CachedParts, //
    },
    peers::{
        self,
        EngineState, //
    },
    platform_state::PlatformState,
    quota::Quotas,
    routing::RoutingTable, //
};
use crate::{
    clock::Clock,
    names::{
        Incarnation,
        Name, //
    },
    process::metrics::Metrics,
    settings::{
        DirectEntrySettings,
        LiveSettings, //
    },
};

/// Engines whose state is kept; states of engines that have left are removed
/// above it.
const MAX_ENGINES: usize = 8_192;

/// State of an engine as its agent has told it.
pub(super) struct ReportedEngine {
    pub(super) state: EngineState,
    /// When the engine is paused, if that is planned.
    pause_at_us: Option<u64>,
    pub(super) valid_until_us: u64,
    pub(super) reported_at_us: u64,
    /// Parts that the engine has cached.
    pub(super) cached: CachedParts,
}

impl ReportedEngine {
    /// Returns whether a request would still run when the engine is paused.
    pub(super) fn is_paused_before(&self, end_us: u64) -> bool {
        self.pause_at_us.is_some_and(|at_us| at_us < end_us)
    }
}

/// What the threads of an entry share.
pub(super) struct Context {
    pub(super) settings: Arc<LiveSettings<DirectEntrySettings>>,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) platform_state: ArcSwap<PlatformState>,
    pub(super) metrics: Metrics,
    quotas: Mutex<Quotas>,
    engines: Mutex<HashMap<Name, ReportedEngine>>,
    is_leaving: AtomicBool,
    is_closed: AtomicBool,
    is_kv_store_down: AtomicBool,
    is_watching: AtomicBool,
    pub(super) running: AtomicUsize,
}

impl Context {
    pub(super) fn new(settings: LiveSettings<DirectEntrySettings>, log: Logger) -> Self {
        Self {
            settings: Arc::new(settings),
            incarnation: Incarnation::random(),
            clock: Clock::start(),
            log,
            platform_state: ArcSwap::default(),
            metrics: Metrics::new(),
            quotas: Mutex::default(),
            engines: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            is_kv_store_down: AtomicBool::new(false),
            is_watching: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    /// Locks the quotas. A panic of another thread ends the process, so a
    /// poisoned lock is still consistent.
    pub(super) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the rates of a configuration.
    pub(super) fn configure_quotas(&self, table: &RoutingTable, now_us: u64) {
        let tolerance_tokens = self.settings.get().quota_tolerance_tokens;
        let organisations = table.organisations();
        self.quotas()
            .configure(organisations, tolerance_tokens, now_us);
    }

    pub(super) fn engines(&self) -> MutexGuard<'_, HashMap<Name, ReportedEngine>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what an agent tells about its engine. Returns the changes of the
    /// engine's cache that are known now.
    pub(super) fn note_engine(
        &self,
        state: EngineState,
        update: Option<&CacheUpdate>,
    ) -> Option<CachePosition> {
        let now_us = self.clock.now_us();
        let report_validity_us =
            peers::report_validity_us(self.platform_state.load().entries.len());
        let mut engines = self.engines();
        let known = engines.remove(&state.target);
        let mut cached = known.map(|known| known.cached).unwrap_or_default();
        if let Some(update) = update {
            cached.apply(update);
        }
        let position = cached.position();
        let heard = ReportedEngine {
            cached,
            reported_at_us: now_us,
            pause_at_us: state.pause_in_us.map(|in_us| now_us + in_us),
            valid_until_us: now_us + report_validity_us,
            state,
        };
        engines.insert(heard.state.target.clone(), heard);
        if engines.len() > MAX_ENGINES {
            engines.retain(|_, heard| now_us < heard.valid_until_us);
        }
        position
    }

    pub(super) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Takes no further requests.
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Notes whether the KV cache store answers. Returns whether that is new.
    pub(super) fn note_kv_store(&self, is_down: bool) -> bool {
        self.is_kv_store_down.swap(is_down, Ordering::Relaxed) != is_down
    }

    /// Notes whether this entry follows the object store and hears it.
    pub(super) fn note_watching(&self, is_watching: bool) {
        self.is_watching.store(is_watching, Ordering::Relaxed);
    }

    pub(super) fn is_watching(&self) -> bool {
        self.is_watching.load(Ordering::Relaxed)
    }

    pub(super) fn is_kv_store_down(&self) -> bool {
        self.is_kv_store_down.load(Ordering::Relaxed)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}
