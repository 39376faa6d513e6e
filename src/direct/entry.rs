//! Entry process of the direct path.
//!
//! The traffic thread forwards requests. The control thread follows the object
//! store and exchanges state with other entries and with agents.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use error_stack::Report;
use futures_util::future::join_all;
use ntex::{
    SharedCfg,
    http::{
        HttpServiceConfig,
        Request,
        Response, //
    },
    service::fn_service,
    time::Seconds, //
};
use slog::{
    Logger,
    info,
    warn, //
};
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    body::{
        self,
        Bodies, //
    },
    context::Context,
    exchange,
    follow::{
        StoreHealth,
        TopicChanges,
        follow, //
    },
    memory_budget::{
        self,
        MemoryBudget, //
    },
    peers::{
        self,
        ExchangeReply,
        ExchangeRequest, //
    },
    platform::{
        EntryRecord,
        Platform,
        Store,
        Topic, //
    },
    platform_state::PlatformState,
    quota,
    rollout_writes::{
        RolloutWrites,
        write_delay_us, //
    },
    serve,
    service_rollout::{
        RolloutOrder,
        RolloutState, //
    },
    snapshot::{
        self,
        SnapshotRequest, //
    },
    watchers,
    worker::Worker, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    names::Name,
    process::{
        admin::Observed,
        client,
        connections::Connections,
        http_server,
        lifecycle,
        reload,
        stop, //
    },
    settings::{
        DirectEntrySettings,
        LiveSettings, //
    },
};

/// Longest time until the header section of a request is complete.
const HEADER_TIMEOUT: Seconds = Seconds(10);

/// Largest header section of a request; a prompt lists its parts there.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Idle time after which a caller's connection is closed. Longer than any caller
/// keeps an idle connection.
const CALLER_KEEP_ALIVE: Seconds = Seconds(120);

/// Most connections of other entries and agents. Above them, the longest idle one is
/// closed; its owner opens another for its next message.
const MAX_CONTROL_CONNECTIONS: usize = 1_024;

/// Interval of the control thread's periodic work.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a stopping entry still accepts requests: the balancer removes it
/// after two failed checks, a second apart.
const STOP_LINGER_US: u64 = 2_600 * US_PER_MS;

/// Time limit for a connection to the KV cache store, which is a few milliseconds
/// away.
const KV_STORE_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between checks of a single KV cache store.
const KV_STORE_CHECK_PAUSE: Duration = Duration::from_millis(750);

/// Interval between checks of this entry's registration.
const REGISTER_INTERVAL_US: u64 = US_PER_S;

/// Shortest interval between log lines about failed exchanges.
const FAILURES_LOG_INTERVAL_US: u64 = US_PER_S;

/// Time limit for a registration.
const REGISTER_TIMEOUT_MS: u64 = 1_000;

impl Observed for Context {
    fn is_ready(&self) -> bool {
        self.platform_state.load().can_serve()
            && !self.is_leaving()
            && !self.is_outdated()
            && !self.is_isolated()
            && !self.is_traffic_stalled()
    }

    fn metrics(&self) -> String {
        let running = i64::try_from(self.running()).unwrap_or(i64::MAX);
        self.metrics.running.set(running);
        let held_bytes = i64::try_from(body::lock(&self.memory).held_bytes()).unwrap_or(i64::MAX);
        self.metrics.caller_memory_bytes.set(held_bytes);
        let quarantined = self.quarantine().quarantined_count();
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(quarantined);
        self.metrics.render()
    }
}

/// Runs an entry until a signal requests its stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when a listener cannot be opened.
pub fn run<P: Platform>(settings: LiveSettings<DirectEntrySettings>, log: &Logger) -> Result<()> {
    let addresses = settings.get();
    let caller = stop::bind(addresses.caller_address)?;
    let control = stop::bind(addresses.control_address)?;
    let mut admin = vec![stop::bind(addresses.admin_address)?];
    if let Some(address) = addresses.metrics_address {
        admin.push(stop::bind(address)?);
    }
    let has_overload_control = addresses
        .overload_control
        .unwrap_or_else(|| P::uses_overload_control(&addresses.platform_features));
    let context = Arc::new(Context::new(settings, has_overload_control, log.clone()));
    info!(log, "entry listens";
        "event" => Event::Started,
        "incarnation" => %context.incarnation,
        "overload_control" => has_overload_control,
        "caller_address" => %stop::local(&caller)?,
        "control_address" => %stop::local(&control)?,
        "admin_address" => %stop::local(&admin[0])?,
        "metrics_address" => addresses.metrics_address.map(|address| address.to_string()));
    let shared = Arc::clone(&context);
    lifecycle::run(
        "entry",
        log,
        (admin, Arc::clone(&context)),
        move || run_control_thread::<P>(shared, control),
        serve_callers::<P>(context, caller),
    )
}

/// Serves callers until a stop is requested, then drains.
async fn serve_callers<P: Platform>(context: Arc<Context>, caller: TcpListener) -> Result<()> {
    let http = HttpServiceConfig::new()
        .set_client_timeout(HEADER_TIMEOUT)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(CALLER_KEEP_ALIVE);
    let config = SharedCfg::new("callers").add(http);
    let shared = Arc::clone(&context);
    let max_connections = context.settings.get().max_caller_connections();
    let factory = async move |connections| {
        let worker = Worker::<P>::new(Arc::clone(&shared), connections);
        fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Ok::<Response, std::io::Error>(serve::handle(worker, request).await) }
        })
    };
    let server = http_server::start_bounded(caller, config, max_connections, factory)?;
    let settings = Arc::clone(&context.settings);
    ntex::rt::spawn(reload::follow(settings, context.log.clone()));
    stop::requested().await?;
    drain(&context).await;
    server.stop(false).await;
    Ok(())
}

/// Fails the balancer's readiness checks, and answers requests until the balancer
/// has removed this entry and the running requests have ended, at most for
/// `drain_ms`.
async fn drain(context: &Context) {
    let now_us = context.clock.now_us();
    let linger_until_us = now_us + STOP_LINGER_US;
    let drain_until_us = now_us + context.settings.get().drain_ms * US_PER_MS;
    context.leave(drain_until_us);
    let is_done = |now_us| {
        if now_us >= linger_until_us {
            // The balancer sends to a stopping entry when its data centre has too few
            // others; refusals send its callers to another entry in time.
            context.close();
        }
        context.is_closed() && context.running() == 0
    };
    lifecycle::drain(
        "entry",
        &context.log,
        context.clock,
        drain_until_us,
        is_done,
    )
    .await;
}

/// State of the control thread.
struct Control<P: Platform> {
    context: Arc<Context>,
    platform_state: RefCell<PlatformState>,
    health: Rc<StoreHealth>,
    store: P::Store,
    client: ntex::client::Client,
    /// Until when this entry gets the changes of the object store from watchers.
    follow_peers_until_us: Cell<u64>,
    /// Whether a snapshot is being fetched. Another one would slow it down.
    is_fetching: Cell<bool>,
    failed_exchanges: Cell<FailedExchanges>,
    /// Whether the last log line about it says that the configuration is outdated.
    is_outdated: Cell<bool>,
    /// Whether the last log line about it says that the entry is isolated.
    is_isolated: Cell<bool>,
}

/// Failed exchanges that are not logged yet.
#[derive(Clone, Copy, Debug, Default)]
struct FailedExchanges {
    unlogged: u64,
    /// Earliest time of the next line.
    log_at_us: u64,
}

/// Serves other entries and agents, follows the object store and exchanges state
/// with other entries until the process ends.
async fn run_control_thread<P: Platform>(
    context: Arc<Context>,
    control: TcpListener,
) -> Result<()> {
    let server_context = Arc::clone(&context);
    let budget_bytes = memory_budget::control_budget_bytes(context.settings.get().memory_mb);
    let memory = Arc::new(Mutex::new(MemoryBudget::new(budget_bytes)));
    let config = SharedCfg::new("entries");
    let max_connections = MAX_CONTROL_CONNECTIONS;
    let factory = async move |connections: Rc<Connections>| {
        let context = Arc::clone(&server_context);
        let bodies = Rc::new(Bodies::new(&context, &memory));
        let reporting = Arc::clone(&context);
        let report = move |closed| reporting.note_closed_connections("control", closed);
        ntex::rt::spawn(Rc::clone(&connections).watch(|| false));
        ntex::rt::spawn(Rc::clone(&connections).enforce_limits(report));
        fn_service(move |request: Request| {
            let context = Arc::clone(&context);
            let bodies = Rc::clone(&bodies);
            let busy = connections.enter(request.io());
            async move {
                let answer = exchange::answer(&context, &bodies, request).await;
                drop(busy);
                Ok::<Response, std::io::Error>(answer)
            }
        })
    };
    let _server = http_server::start_bounded(control, config, max_connections, factory)?;
    let control = Rc::new(Control::<P> {
        store: P::build_store_client(context.settings.get().platform_address).await?,
        client: client::build("entries").await?,
        platform_state: RefCell::default(),
        health: Rc::default(),
        follow_peers_until_us: Cell::new(0),
        is_fetching: Cell::new(false),
        failed_exchanges: Cell::default(),
        is_outdated: Cell::new(false),
        is_isolated: Cell::new(false),
        context,
    });
    for topic in [
        Topic::Configuration,
        Topic::Targets,
        Topic::Weights,
        Topic::Entries,
        Topic::Rollouts,
        Topic::Evacuations,
    ] {
        let applying = Rc::clone(&control);
        let following = Rc::clone(&control);
        ntex::rt::spawn(follow(
            control.store.clone(),
            topic,
            Rc::clone(&control.health),
            control.context.clock,
            control.context.log.clone(),
            move || topic != Topic::Entries && following.is_following_peers(),
            move |topic_changes| applying.apply_changes(topic_changes),
        ));
    }
    ntex::rt::spawn(Rc::clone(&control).watch_kv_store());
    control.run_control_loop().await
}

impl<P: Platform> Control<P> {
    /// Returns whether this entry gets the changes of the object store from
    /// watchers, and need not watch it itself.
    fn is_following_peers(&self) -> bool {
        self.context.clock.now_us() < self.follow_peers_until_us.get()
    }

    /// Follows watchers instead of the object store until `until_us`, because one
    /// with access to the store has answered.
    fn note_following_peers(&self, until_us: u64, watcher: SocketAddr) {
        if !self.is_following_peers() {
            info!(self.context.log, "other entries watch the object store for this one";
                "event" => Event::StoreLeftToOthers,
                "source" => %watcher);
        }
        let known_until_us = self.follow_peers_until_us.get();
        self.follow_peers_until_us.set(until_us.max(known_until_us));
    }

    /// Returns the control addresses of the entries that watch the object store for
    /// this one.
    fn assigned_watchers(&self) -> BTreeSet<SocketAddr> {
        let platform_state = self.platform_state.borrow();
        let entries = &platform_state.entries;
        let sources = watchers::sources(&self.context.settings.get().name, entries.keys());
        let address = |name| entries.get(name).map(|entry| entry.control_address);
        sources.into_iter().filter_map(address).collect()
    }

    /// Applies changes of the object store and publishes the result.
    fn apply_changes(&self, topic_changes: TopicChanges) {
        let now_us = self.context.clock.now_us();
        let recovered_at_us = self.health.recovered_at_us();
        let before = self.configuration_version();
        self.platform_state.borrow_mut().apply(
            topic_changes.topic,
            topic_changes.changes,
            topic_changes.is_listing,
            recovered_at_us,
            now_us,
        );
        self.publish(before, "store");
    }

    /// Checks periodically whether the KV cache stores accept connections. A store
    /// that is down delays each request that refers to it.
    async fn watch_kv_store(self: Rc<Self>) {
        loop {
            let stores: Arc<[SocketAddr]> = {
                let platform_state = self.platform_state.borrow();
                let table = platform_state.table.as_ref();
                table.map_or_else(Arc::default, |table| Arc::clone(table.kv_stores()))
            };
            let checks = stores.iter().map(async |store| {
                let connected = match timeout(KV_STORE_TIMEOUT, TcpStream::connect(store)).await {
                    Ok(connected) => connected.map(drop),
                    Err(_) => Err(io::ErrorKind::TimedOut.into()),
                };
                connected.err().map(|error| (*store, error))
            });
            let failures: Vec<(SocketAddr, io::Error)> =
                join_all(checks).await.into_iter().flatten().collect();
            let down = failures.iter().map(|(store, _)| *store).collect();
            if self.context.set_down_kv_stores(down) {
                info!(self.context.log, "a KV cache store went down or came back";
                    "event" => Event::KvStoreFailed,
                    "is_down" => !failures.is_empty(),
                    "failures" => ?failures);
            }
            // Connections are charged, so more stores are checked less often.
            let checked = u32::try_from(stores.len().max(1)).unwrap_or(u32::MAX);
            tokio::time::sleep(KV_STORE_CHECK_PAUSE.saturating_mul(checked)).await;
        }
    }

    /// Returns the version of the known configuration, 0 without one.
    fn configuration_version(&self) -> u64 {
        let platform_state = self.platform_state.borrow();
        platform_state
            .configuration
            .as_ref()
            .map_or(0, |known| known.version)
    }

    /// Makes what is known of the platform visible to the traffic thread. `source`
    /// says in the log where a new configuration came from.
    fn publish(&self, version_before: u64, source: &str) {
        let platform_state = self.platform_state.borrow().clone();
        let version = self.configuration_version();
        if version != version_before {
            let now_us = self.context.clock.now_us();
            let (outdated_us, latest) = {
                let mut config_lag = self.context.config_lag();
                (
                    config_lag.apply(version, now_us),
                    config_lag.latest_version(),
                )
            };
            info!(self.context.log, "configuration applied";
                "event" => Event::RevisionApplied,
                "config_version" => version,
                "version_before" => version_before,
                "outdated_us" => outdated_us,
                "source" => source);
            let metrics = &self.context.metrics;
            metrics
                .revision
                .set(i64::try_from(version).unwrap_or(i64::MAX));
            metrics
                .latest_revision
                .set(i64::try_from(latest).unwrap_or(i64::MAX));
            if let Some(table) = &platform_state.table {
                self.context.configure_quotas(table, now_us);
            }
        }
        self.log_evacuations(&platform_state);
        if let Some(table) = &platform_state.table {
            let wall_us = self.context.wall_us();
            let mut warmup = self.context.warmup();
            warmup.sync(table, &platform_state.targets, wall_us);
        }
        let now_us = self.context.clock.now_us();
        let orders = platform_state.service_rollouts.values();
        self.context.service_rollouts().sync(orders, now_us);
        self.context.platform_state.store(Arc::new(platform_state));
    }

    /// Logs which targets have turned cold or warm.
    fn log_warmup(&self) {
        let wall_us = self.context.wall_us();
        let mut warmup = self.context.warmup();
        for (target, is_cold) in warmup.take_changes(wall_us) {
            let (event, message) = if is_cold {
                (Event::TargetCold, "target is cold and gets few requests")
            } else {
                (Event::TargetWarm, "target is warm")
            };
            info!(self.context.log, "{}", message; "event" => event, "target" => &*target);
        }
        let count = i64::try_from(warmup.cold_count(wall_us)).unwrap_or(i64::MAX);
        self.context.metrics.cold_targets.set(count);
    }

    /// Logs when requests are refused because the configuration is outdated, and when they
    /// are served again.
    fn log_outdated(&self) {
        let is_outdated = self.context.is_outdated();
        if self.is_outdated.replace(is_outdated) == is_outdated {
            return;
        }
        let version = self.configuration_version();
        let latest_version = self.context.config_lag().latest_version();
        if is_outdated {
            warn!(self.context.log, "configuration is outdated: requests are refused";
                "event" => Event::RevisionOutdated,
                "config_version" => version,
                "latest_version" => latest_version);
        } else {
            info!(self.context.log, "configuration is current: requests are served";
                "event" => Event::RevisionCurrent,
                "config_version" => version,
                "latest_version" => latest_version);
        }
    }

    /// Determines until when this entry hears of changes, and logs when that has ended and
    /// when it begins again. An entry without others goes on alone.
    fn update_isolation(&self, others: &BTreeSet<SocketAddr>) {
        let store_answered_at_us = self.health.answered_at_us();
        let peer_heard_at_us = self.context.peer_heard_at_us();
        let bound_us = self.context.settings.get().apply_ms * US_PER_MS;
        self.context.set_isolated_at(if others.is_empty() {
            u64::MAX
        } else {
            watchers::isolated_at_us(store_answered_at_us, peer_heard_at_us, bound_us)
        });
        let is_isolated = self.context.is_isolated();
        if self.is_isolated.replace(is_isolated) == is_isolated {
            return;
        }
        if is_isolated {
            warn!(self.context.log, "neither the object store nor another entry answers";
                "event" => Event::EntryIsolated,
                "store_answered_at_us" => store_answered_at_us,
                "entry_heard_at_us" => peer_heard_at_us,
                "entries" => others.len());
        } else {
            info!(self.context.log, "the object store or another entry answers";
                "event" => Event::EntryConnected,
                "config_version" => self.configuration_version());
        }
    }

    /// Returns the control addresses of the other entries.
    fn other_entries(&self) -> BTreeSet<SocketAddr> {
        let settings = self.context.settings.get();
        let platform_state = self.platform_state.borrow();
        let own_address = settings.control_address;
        peers::addresses(&platform_state, &settings.peers, Some(own_address))
    }

    /// Logs which data centres are evacuated or restored by the state to be published.
    fn log_evacuations(&self, platform_state: &PlatformState) {
        let published = self.context.platform_state.load();
        let set = |state: &PlatformState| {
            let evacuations = state.evacuations.as_ref();
            evacuations.map(|evacuations| evacuations.data_centres.clone())
        };
        let before = set(&published).unwrap_or_default();
        let after = set(platform_state).unwrap_or_default();
        let revision = platform_state
            .evacuations
            .as_ref()
            .map(|evacuations| evacuations.revision);
        let targets = |name: &Name| {
            let records = platform_state.targets.values();
            records.filter(|record| record.data_centre == *name).count()
        };
        for name in after.difference(&before) {
            warn!(self.context.log, "data centre is evacuated: its targets get no new requests";
                "event" => Event::DataCentreEvacuated,
                "data_centre" => &**name,
                "targets" => targets(name),
                "revision" => revision);
        }
        for name in before.difference(&after) {
            info!(self.context.log, "data centre is restored";
                "event" => Event::DataCentreRestored,
                "data_centre" => &**name,
                "targets" => targets(name),
                "revision" => revision);
        }
        let count = i64::try_from(after.len()).unwrap_or(i64::MAX);
        self.context.metrics.evacuated_data_centres.set(count);
    }

    /// Registers this entry, exchanges state with other entries and removes targets
    /// whose records have not come back.
    async fn run_control_loop(self: Rc<Self>) -> Result<()> {
        let mut next_exchange_us = BTreeMap::new();
        let mut urgent_at_us = 0;
        let mut register_at_us = 0;
        let mut rollout_writes = RolloutWrites::default();
        loop {
            let now_us = self.context.clock.now_us();
            if now_us >= register_at_us && !self.health.is_down() {
                register_at_us = self.register(now_us).await;
            }
            if self.platform_state.borrow_mut().expire(now_us) {
                self.publish(self.configuration_version(), "expiry");
            }
            self.context.quotas().charge_assumed_use(now_us);
            self.log_warmup();
            self.log_outdated();
            self.advance_rollouts(&mut rollout_writes, now_us);
            let fresh_until_us = if self.is_following_peers() {
                0
            } else {
                self.health.fresh_until_us()
            };
            self.context.set_store_fresh_until(fresh_until_us);
            let others = self.other_entries();
            self.update_isolation(&others);
            self.start_exchanges(others, &mut next_exchange_us, &mut urgent_at_us, now_us);
            tokio::time::sleep(CONTROL_INTERVAL).await;
        }
    }

    /// Derives the shares of new releases and writes the states of rollouts that are due.
    fn advance_rollouts(self: &Rc<Self>, writes: &mut RolloutWrites, now_us: u64) {
        let due = {
            let mut rollouts = self.context.service_rollouts();
            let own = self.context.incarnation;
            for (service, verdict) in rollouts.advance(own, now_us, self.context.wall_us()) {
                warn!(self.context.log, "release is taken back";
                    "event" => Event::VersionCut,
                    "service" => &*service,
                    "verdict" => ?verdict);
            }
            rollouts.due_writes(now_us)
        };
        writes.retain_due(&due);
        for (order, state) in due {
            if writes.is_turn(&order, state, self.write_delay_us(), now_us) {
                let control = Rc::clone(self);
                ntex::rt::spawn(async move { control.write_rollout_state(order, state).await });
            }
        }
    }

    /// Returns how long this entry leaves a write to others: entries write in the order
    /// of their hashes, so that usually one of them calls the store.
    fn write_delay_us(&self) -> u64 {
        let platform_state = self.platform_state.borrow();
        let own_name = &self.context.settings.get().name;
        let watchers = watchers::watchers(platform_state.entries.keys());
        let position = watchers.iter().position(|name| *name == own_name);
        write_delay_us(position.unwrap_or(watchers::MAX_WATCHERS))
    }

    async fn write_rollout_state(&self, order: RolloutOrder, state: RolloutState) {
        let written = self
            .store
            .write_rollout_state(&order, state, REGISTER_TIMEOUT_MS)
            .await;
        match written {
            Ok(()) => info!(self.context.log, "state of a rollout is stored";
                "event" => Event::MoveChanged,
                "service" => &*order.service,
                "release" => &*order.release,
                "state" => ?state),
            Err(error) => warn!(self.context.log, "state of a rollout could not be stored";
                "event" => Event::PlatformDown,
                "service" => &*order.service,
                "state" => ?state,
                "error" => %error),
        }
    }

    /// Registers this entry unless it is already listed as registered. Returns when
    /// to check again.
    async fn register(&self, now_us: u64) -> u64 {
        let settings = self.context.settings.get();
        let own_record = EntryRecord {
            name: settings.name.clone(),
            control_address: settings.control_address,
        };
        let listed = self
            .platform_state
            .borrow()
            .entries
            .get(&own_record.name)
            .cloned();
        if listed.as_ref() == Some(&own_record) {
            return now_us + REGISTER_INTERVAL_US;
        }
        if let Err(error) = self.store.register(&own_record, REGISTER_TIMEOUT_MS).await {
            warn!(self.context.log, "entry could not be registered in the object store";
                "event" => Event::PlatformDown, "error" => %error);
        }
        self.context.clock.now_us() + REGISTER_INTERVAL_US
    }

    /// Starts the exchanges with other entries that are due, or all of them when an
    /// organisation has used much since the last urgent report.
    fn start_exchanges(
        self: &Rc<Self>,
        addresses: BTreeSet<SocketAddr>,
        next_us: &mut BTreeMap<SocketAddr, u64>,
        urgent_at_us: &mut u64,
        now_us: u64,
    ) {
        let interval_us = quota::exchange_interval_us(addresses.len() + 1);
        if now_us >= *urgent_at_us && self.context.quotas().take_urgent_report() {
            *urgent_at_us = now_us + quota::URGENT_INTERVAL_US;
            next_us.clear();
        }
        next_us.retain(|address, _| addresses.contains(address));
        let assigned_watchers = self.assigned_watchers();
        for address in addresses {
            let due_us = next_us.entry(address).or_insert(now_us);
            if now_us < *due_us {
                continue;
            }
            let is_assigned_watcher = assigned_watchers.contains(&address);
            *due_us = now_us
                + if is_assigned_watcher {
                    interval_us.min(watchers::SOURCE_INTERVAL_US)
                } else {
                    interval_us
                };
            let control = Rc::clone(self);
            ntex::rt::spawn(async move { control.exchange(address, is_assigned_watcher).await });
        }
    }

    /// Counts a failed exchange, and logs one line for all that failed within a second.
    fn note_failed_exchange(&self, address: SocketAddr, error: &Report<ErrorKind>) {
        self.context.metrics.failed_exchanges.inc();
        let now_us = self.context.clock.now_us();
        let mut failures = self.failed_exchanges.get();
        failures.unlogged += 1;
        if now_us >= failures.log_at_us {
            info!(self.context.log, "exchanges with other entries fail";
                "event" => Event::ExchangesFail,
                "failed" => failures.unlogged,
                "entry" => %address,
                "error" => ?error);
            failures = FailedExchanges {
                unlogged: 0,
                log_at_us: now_us + FAILURES_LOG_INTERVAL_US,
            };
        }
        self.failed_exchanges.set(failures);
    }

    /// Counts an exchange with another entry. Returns its answer, `None` when it failed.
    fn count_exchange<T>(&self, address: SocketAddr, answered: Result<(T, usize)>) -> Option<T> {
        match answered {
            Ok((answer, bytes)) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.context.metrics.exchange_bytes.inc_by(bytes);
                Some(answer)
            }
            Err(error) => {
                self.note_failed_exchange(address, &error);
                None
            }
        }
    }

    /// Exchanges state with another entry and applies its answer.
    /// `is_assigned_watcher` is whether that entry watches the object store for this
    /// one.
    async fn exchange(self: Rc<Self>, address: SocketAddr, is_assigned_watcher: bool) {
        let exchange_request = ExchangeRequest {
            entry: Some(exchange::own_state(&self.context)),
            configuration: self.context.announcement(),
            // Entries take the list of entries from the object store.
            entries_digest: None,
            engine: None,
            cache: None,
        };
        // The use of an entry that does not answer is charged by
        // `Quotas::charge_assumed_use`.
        let answered = peers::exchange(&self.client, address, &exchange_request).await;
        let Some(reply) = self.count_exchange(address, answered) else {
            return;
        };
        let now_us = self.context.clock.now_us();
        if is_assigned_watcher
            && reply.store_fresh_for_us > 0
            && self.platform_state.borrow().has_initial_state()
        {
            let until_us = watchers::follow_until_us(now_us, reply.store_fresh_for_us);
            self.note_following_peers(until_us, address);
        }
        if let Some(entry) = &reply.entry {
            self.context.merge_entry_state(entry);
        }
        if let Some(announcement) = reply.configuration {
            self.context.note_configuration(address, announcement);
        }
        let snapshot_request = self.missing(&reply, is_assigned_watcher);
        let before = self.configuration_version();
        let is_new = peers::apply_reply(&mut self.platform_state.borrow_mut(), reply, now_us);
        if is_new {
            self.publish(before, "entry");
        }
        if !snapshot_request.is_empty() && !self.is_fetching.replace(true) {
            self.fetch_snapshot(address, snapshot_request).await;
            self.is_fetching.set(false);
        }
    }

    /// Returns the request for what another entry announces and this one lacks.
    fn missing(&self, reply: &ExchangeReply, is_assigned_watcher: bool) -> SnapshotRequest {
        let platform_state = self.platform_state.borrow();
        let own_version = self.configuration_version();
        let own_revision = platform_state.targets_revision;
        // Otherwise the list of targets comes from the store.
        let wants_targets =
            is_assigned_watcher || self.health.is_down() || !platform_state.has_targets;
        let has_later_version = reply
            .configuration
            .is_some_and(|announcement| announcement.version > own_version);
        let has_later_targets = reply
            .targets_revision
            .is_some_and(|revision| revision > own_revision);
        SnapshotRequest {
            configuration_version: has_later_version.then_some(own_version),
            targets_revision: (wants_targets && has_later_targets).then_some(own_revision),
        }
    }

    /// Fetches what this entry lacks from another one and applies it.
    async fn fetch_snapshot(&self, address: SocketAddr, snapshot_request: SnapshotRequest) {
        let fetched = snapshot::fetch(&self.client, address, snapshot_request).await;
        let Some(snapshot) = self.count_exchange(address, fetched) else {
            return;
        };
        if let Some(own_version) = snapshot_request.configuration_version {
            let version = snapshot.configuration_version().unwrap_or(own_version);
            self.context.config_lag().retract_after(version);
        }
        let before = self.configuration_version();
        let is_new = snapshot.apply(&mut self.platform_state.borrow_mut());
        if is_new {
            self.publish(before, "entry");
        }
    }
}
