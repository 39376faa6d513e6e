//! State shared by the control thread and the traffic thread of an entry.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwap;
use slog::{
    Logger,
    info,
    warn, //
};
use tokio::{
    sync::{
        Semaphore,
        watch, //
    },
    time::{
        Instant,
        sleep_until, //
    },
};

use super::{
    admission::AdmissionControl,
    body::SharedBudget,
    cache::{
        CachePosition,
        CacheUpdate,
        CachedParts, //
    },
    capacity::Capacity,
    config_lag::ConfigLag,
    memory_budget::{
        self,
        MemoryBudget, //
    },
    peers::{
        self,
        EngineState,
        EntryState, //
    },
    platform_state::PlatformState,
    quarantine::Quarantine,
    quota::Quotas,
    routing::RoutingTable,
    service_rollout::ServiceRollouts,
    snapshot::{
        self,
        Announcement, //
    },
    steering::Steering,
    warmup::{
        ColdBounds,
        Sharers,
        Warmup, //
    },
};
use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        connections::ClosedConnections,
        metrics::Metrics, //
    },
    settings::{
        DirectEntrySettings,
        LiveSettings, //
    },
};

/// Number of stored engine reports above which outdated ones, such as those of
/// engines that have left, are removed.
const MAX_ENGINES: usize = 8_192;

/// Longest age of a configuration that another entry announces. Entries hear of a later
/// one within this time, so that an older statement is not plausible.
const MAX_ANNOUNCED_AGE_US: u64 = 2_000 * US_PER_MS;

/// Time before the end of the process at which requests without an answer of a target get
/// one of the entry, so that it is sent in time.
const LAST_ANSWERS_US: u64 = 400 * US_PER_MS;

/// Time without a turn of the traffic thread from which the entry is not ready. Callers
/// wait for a second until their connection is accepted.
const MAX_TRAFFIC_STALL_US: u64 = 1_000 * US_PER_MS;

/// Time before the end of `apply_ms` from which an outdated entry refuses requests. The
/// first entry needs a part of it to receive the configuration.
const OUTDATED_MARGIN_US: u64 = 500 * US_PER_MS;

/// State of an engine as its agent last reported it.
pub(super) struct ReportedEngine {
    pub(super) state: EngineState,
    /// When the engine will be paused, if a pause is planned.
    pause_at_us: Option<u64>,
    /// When the report becomes too old to use.
    pub(super) valid_until_us: u64,
    /// When the report arrived.
    pub(super) reported_at_us: u64,
    /// Prompt parts that the engine has cached.
    pub(super) cached: CachedParts,
}

impl ReportedEngine {
    /// Returns whether the engine will be paused before a request that ends at
    /// `end_us` is complete.
    pub(super) fn is_paused_before(&self, end_us: u64) -> bool {
        self.pause_at_us.is_some_and(|at_us| at_us < end_us)
    }
}

/// State shared by the threads of an entry.
pub(super) struct Context {
    pub(super) settings: Arc<LiveSettings<DirectEntrySettings>>,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) platform_state: ArcSwap<PlatformState>,
    pub(super) metrics: Metrics,
    /// Memory budget for the bodies of callers and for buffered answers.
    pub(super) memory: SharedBudget,
    quotas: Mutex<Quotas>,
    quarantine: Mutex<Quarantine>,
    service_rollouts: Mutex<ServiceRollouts>,
    steering: Mutex<Steering>,
    capacity: Mutex<Capacity>,
    admission: Mutex<AdmissionControl>,
    warmup: Mutex<Warmup>,
    config_lag: Mutex<ConfigLag>,
    engines: Mutex<HashMap<Name, ReportedEngine>>,
    /// Whether the entry decides which requests go first when targets are short of
    /// capacity.
    pub(super) has_overload_control: bool,
    /// Permits to send snapshots to other processes.
    pub(super) uploads: Arc<Semaphore>,
    is_closed: AtomicBool,
    /// When requests are answered at the latest, `None` until a stop begins.
    drain_end_us: watch::Sender<Option<u64>>,
    /// Addresses of the KV cache stores that accept no connections.
    down_kv_stores: ArcSwap<Vec<SocketAddr>>,
    /// Until when what this entry itself has of the object store counts as current, 0
    /// while other entries watch the store for it.
    store_fresh_until_us: AtomicU64,
    /// When this entry counts as isolated unless it hears of changes before.
    isolated_at_us: AtomicU64,
    /// When the traffic thread last ran.
    traffic_ticked_at_us: AtomicU64,
    /// When another entry last sent or answered an exchange.
    peer_heard_at_us: AtomicU64,
    /// Requests that have not been answered in full.
    pub(super) running: AtomicUsize,
}

impl Context {
    pub(super) fn new(
        settings: LiveSettings<DirectEntrySettings>,
        has_overload_control: bool,
        log: Logger,
    ) -> Self {
        let budget_bytes = memory_budget::budget_bytes(settings.get().memory_mb);
        Self {
            has_overload_control,
            memory: Arc::new(Mutex::new(MemoryBudget::new(budget_bytes))),
            settings: Arc::new(settings),
            incarnation: Incarnation::random(),
            clock: Clock::start(),
            log,
            platform_state: ArcSwap::default(),
            metrics: Metrics::new(),
            quotas: Mutex::default(),
            quarantine: Mutex::default(),
            service_rollouts: Mutex::default(),
            steering: Mutex::default(),
            capacity: Mutex::default(),
            admission: Mutex::default(),
            warmup: Mutex::default(),
            config_lag: Mutex::default(),
            engines: Mutex::default(),
            uploads: Arc::new(Semaphore::new(snapshot::MAX_UPLOADS)),
            is_closed: AtomicBool::new(false),
            drain_end_us: watch::Sender::new(None),
            down_kv_stores: ArcSwap::default(),
            store_fresh_until_us: AtomicU64::new(0),
            isolated_at_us: AtomicU64::new(u64::MAX),
            traffic_ticked_at_us: AtomicU64::new(u64::MAX),
            peer_heard_at_us: AtomicU64::new(0),
            running: AtomicUsize::new(0),
        }
    }

    /// Counts and logs connections of a listener that were closed to keep the limits, once
    /// for all of a second.
    pub(super) fn note_closed_connections(&self, listener: &str, closed: ClosedConnections) {
        self.metrics.closed_connections.inc_by(closed.surplus);
        self.metrics.unread_answers.inc_by(closed.unread);
        warn!(self.log, "connections were closed to keep the limits";
            "event" => Event::CallersClosed,
            "listener" => listener,
            "surplus" => closed.surplus,
            "unread" => closed.unread);
    }

    /// Locks the quotas. A poisoned lock is used all the same, because a panic of
    /// another thread ends the process.
    pub(super) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the observations of prompt parts.
    pub(super) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the progress of the rollouts of services.
    pub(super) fn service_rollouts(&self) -> MutexGuard<'_, ServiceRollouts> {
        self.service_rollouts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the division of engines between short and long prompts.
    pub(super) fn steering(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the speeds of targets.
    pub(super) fn capacity(&self) -> MutexGuard<'_, Capacity> {
        self.capacity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of admission.
    pub(super) fn admission(&self) -> MutexGuard<'_, AdmissionControl> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of later configurations.
    pub(super) fn config_lag(&self) -> MutexGuard<'_, ConfigLag> {
        self.config_lag
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a later configuration has existed for so long that requests may no
    /// longer be handled by the one in use.
    pub(super) fn is_outdated(&self) -> bool {
        let Some(since_us) = self.config_lag().outdated_since_us() else {
            return false;
        };
        let bound_us = self.settings.get().apply_ms * US_PER_MS;
        self.clock.now_us() >= since_us + bound_us.saturating_sub(OUTDATED_MARGIN_US)
    }

    /// Returns whether neither the object store nor another entry has answered for so long
    /// that changes may have been missed. It also holds when the control thread gets no
    /// processor time.
    pub(super) fn is_isolated(&self) -> bool {
        self.clock.now_us() >= self.isolated_at_us.load(Ordering::Relaxed)
    }

    pub(super) fn set_isolated_at(&self, at_us: u64) {
        self.isolated_at_us.store(at_us, Ordering::Relaxed);
    }

    /// Records that the traffic thread runs.
    pub(super) fn note_traffic_tick(&self, now_us: u64) {
        self.traffic_ticked_at_us.store(now_us, Ordering::Relaxed);
    }

    /// Returns whether the traffic thread has not run for so long that callers give up.
    pub(super) fn is_traffic_stalled(&self) -> bool {
        let ticked_at_us = self.traffic_ticked_at_us.load(Ordering::Relaxed);
        self.clock.now_us().saturating_sub(ticked_at_us) >= MAX_TRAFFIC_STALL_US
    }

    /// Returns when another entry was last heard of, 0 before that.
    pub(super) fn peer_heard_at_us(&self) -> u64 {
        self.peer_heard_at_us.load(Ordering::Relaxed)
    }

    /// Returns which configuration this entry has, `None` without one.
    pub(super) fn announcement(&self) -> Option<Announcement> {
        let config_lag = self.config_lag();
        let (version, since_us) = config_lag.version_in_use()?;
        Some(Announcement {
            version,
            age_us: self.clock.now_us().saturating_sub(since_us),
        })
    }

    /// Records which configuration another entry has.
    pub(super) fn note_configuration(&self, entry: SocketAddr, announcement: Announcement) {
        let Announcement { version, age_us } = announcement;
        let age_us = age_us.min(MAX_ANNOUNCED_AGE_US);
        let since_us = self.clock.now_us().saturating_sub(age_us);
        let is_latest = self.config_lag().announce(version, since_us);
        if !is_latest {
            return;
        }
        let latest = i64::try_from(version).unwrap_or(i64::MAX);
        self.metrics.latest_revision.set(latest);
        info!(self.log, "another entry has a later configuration";
            "event" => Event::RevisionKnown,
            "latest_version" => version,
            "entry" => %entry);
    }

    /// Locks the warm-up of targets.
    pub(super) fn warmup(&self) -> MutexGuard<'_, Warmup> {
        self.warmup.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with what decides about requests to cold targets.
    fn with_warmup<T>(
        &self,
        platform_state: &PlatformState,
        decide: impl FnOnce(&mut Warmup, ColdBounds, Sharers<'_>, u64) -> T,
    ) -> T {
        let settings = self.settings.get();
        let bounds = ColdBounds {
            over_permille: settings.cold_over_permille,
            slack: settings.cold_slack,
        };
        let registered: BTreeSet<&Name> = platform_state.entries.keys().collect();
        let sharers = Sharers {
            own: &settings.name,
            registered: &registered,
            now_us: self.clock.now_us(),
        };
        decide(&mut self.warmup(), bounds, sharers, self.wall_us())
    }

    /// Returns the cold targets of a service, each with whether this entry may send it a
    /// request now.
    pub(super) fn cold_targets(
        &self,
        platform_state: &PlatformState,
        service: &Name,
    ) -> BTreeMap<Name, bool> {
        if self.warmup().cold_count(self.wall_us()) == 0 {
            return BTreeMap::new();
        }
        self.with_warmup(platform_state, |warmup, bounds, sharers, wall_us| {
            warmup.cold_targets(service, bounds, sharers, wall_us)
        })
    }

    /// Counts a request to a target if that is cold. Returns whether it may be sent.
    pub(super) fn take_cold_share(&self, platform_state: &PlatformState, target: &Name) -> bool {
        if !self.is_cold(target) {
            return true;
        }
        self.with_warmup(platform_state, |warmup, bounds, sharers, wall_us| {
            warmup.take(target, bounds, sharers, wall_us)
        })
    }

    /// Returns whether a target is cold.
    pub(super) fn is_cold(&self, target: &Name) -> bool {
        self.warmup().is_cold(target, self.wall_us())
    }

    /// Returns the wall-clock time in microseconds, by which entries number the blocks of
    /// answers that they count.
    pub(super) fn wall_us(&self) -> u64 {
        self.clock.unix_ms() * US_PER_MS
    }

    /// Adds what another entry reports: its use of the rates, and its observations of
    /// prompt parts, of the releases of services and of the loads of targets.
    pub(super) fn merge_entry_state(&self, entry: &EntryState) {
        let now_us = self.clock.now_us();
        self.peer_heard_at_us.store(now_us, Ordering::Relaxed);
        self.quotas()
            .charge_reported_use(&entry.name, entry.incarnation, &entry.used, now_us);
        let quarantined = self.quarantine().merge(&entry.parts, now_us);
        self.log_quarantined(&quarantined, &entry.name);
        self.warmup()
            .merge(&entry.name, &entry.cold_until_ms, now_us, self.wall_us());
        self.service_rollouts()
            .merge(entry.incarnation, &entry.rollouts, now_us);
        self.capacity().merge(&entry.statements, now_us);
    }

    /// Logs parts that are quarantined from now on. `source` is the entry that observed
    /// the last crash.
    pub(super) fn log_quarantined(&self, parts: &[u64], source: &str) {
        for part in parts {
            warn!(self.log, "prompt part is quarantined: engines crashed on it";
                "event" => Event::PartQuarantined,
                "part" => format!("{part:x}"),
                "source" => source);
        }
    }

    /// Sets the rates of organisations from a configuration.
    pub(super) fn configure_quotas(&self, table: &RoutingTable, now_us: u64) {
        let tolerance_tokens = self.settings.get().quota_tolerance_tokens;
        let organisations = table.organisations();
        self.quotas()
            .configure(organisations, tolerance_tokens, now_us);
    }

    /// Locks the states of the engines.
    pub(super) fn engines(&self) -> MutexGuard<'_, HashMap<Name, ReportedEngine>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores an agent's report about its engine. Returns the position up to which
    /// the changes of the engine's cache have been applied.
    pub(super) fn record_engine_report(
        &self,
        state: EngineState,
        update: Option<&CacheUpdate>,
    ) -> Option<CachePosition> {
        let now_us = self.clock.now_us();
        let valid_us = peers::report_validity_us(self.platform_state.load().entries.len());
        let mut engines = self.engines();
        let previous = engines.remove(&state.target);
        let mut cached = previous.map(|previous| previous.cached).unwrap_or_default();
        if let Some(update) = update {
            cached.apply(update);
        }
        let position = cached.position();
        let engine = ReportedEngine {
            cached,
            reported_at_us: now_us,
            pause_at_us: state.pause_in_us.map(|in_us| now_us + in_us),
            valid_until_us: now_us + valid_us,
            state,
        };
        engines.insert(engine.state.target.clone(), engine);
        if engines.len() > MAX_ENGINES {
            engines.retain(|_, engine| now_us < engine.valid_until_us);
        }
        position
    }

    /// Marks the entry as not ready, so that the balancer stops sending to it. The process
    /// ends at `drain_until_us` at the latest.
    pub(super) fn leave(&self, drain_until_us: u64) {
        let end_us = drain_until_us.saturating_sub(LAST_ANSWERS_US);
        self.drain_end_us.send_replace(Some(end_us));
    }

    /// Returns until when requests have to be answered, `None` unless the process stops.
    pub(super) fn drain_end_us(&self) -> Option<u64> {
        *self.drain_end_us.borrow()
    }

    /// Waits for a future. Returns `None` when the process stops before it is ready.
    pub(super) async fn until_drained<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut drain_end_us = self.drain_end_us.subscribe();
        let drained = async {
            let end_us = drain_end_us.wait_for(Option::is_some).await;
            match end_us.as_deref() {
                Ok(Some(end_us)) => {
                    let end = Instant::from_std(self.clock.instant(*end_us));
                    sleep_until(end).await;
                }
                // The sender lives as long as the context.
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = drained => None,
            result = future => Some(result),
        }
    }

    /// Refuses all further requests.
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Records which KV cache stores accept no connections. Returns whether that has
    /// changed.
    pub(super) fn set_down_kv_stores(&self, down: Vec<SocketAddr>) -> bool {
        let down = Arc::new(down);
        self.down_kv_stores.swap(Arc::clone(&down)) != down
    }

    /// Records until when what this entry itself has of the object store counts as
    /// current.
    pub(super) fn set_store_fresh_until(&self, until_us: u64) {
        self.store_fresh_until_us.store(until_us, Ordering::Relaxed);
    }

    /// Returns for how long what this entry itself has of the object store still counts
    /// as current.
    pub(super) fn store_fresh_for_us(&self) -> u64 {
        let until_us = self.store_fresh_until_us.load(Ordering::Relaxed);
        until_us.saturating_sub(self.clock.now_us())
    }

    pub(super) fn down_kv_stores(&self) -> Arc<Vec<SocketAddr>> {
        self.down_kv_stores.load_full()
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.drain_end_us().is_some()
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}
