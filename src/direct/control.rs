//! Control thread of an entry: follows the object store, exchanges state with other
//! entries and publishes the result to the traffic thread.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
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

use futures_util::future::join_all;
use ntex::{
    SharedCfg,
    http::{
        Request,
        Response, //
    },
    service::fn_service, //
};
use slog::{
    info,
    warn, //
};
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    body::Bodies,
    context::Context,
    exchange,
    follow::{
        StoreHealth,
        TopicChanges,
        follow, //
    },
    gossip::FailedExchanges,
    memory_budget::{
        self,
        MemoryBudget, //
    },
    platform::{
        EntryRecord,
        Platform,
        Store,
        Topic, //
    },
    platform_state::PlatformState,
    rollout_writes::{
        RolloutWrites,
        write_delay_us, //
    },
    service_rollout::{
        RolloutOrder,
        RolloutState, //
    },
    watchers, //
};
use crate::{
    clock::US_PER_S,
    error::Result,
    event::Event,
    names::Name,
    process::{
        client,
        connections::Connections,
        http_server, //
    },
};

/// Most connections of other entries and agents. Above them, the longest idle one is
/// closed; its owner opens another for its next message.
const MAX_CONTROL_CONNECTIONS: usize = 1_024;

/// Interval of the control thread's periodic work.
const CONTROL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for a connection to the KV cache store, which is a few milliseconds
/// away.
const KV_STORE_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between checks of a single KV cache store.
const KV_STORE_CHECK_PAUSE: Duration = Duration::from_millis(750);

/// Interval between checks of this entry's registration.
const REGISTER_INTERVAL_US: u64 = US_PER_S;

/// Time limit for a registration.
const REGISTER_TIMEOUT_MS: u64 = 1_000;

/// State of the control thread.
pub(super) struct Control<P: Platform> {
    pub(super) context: Arc<Context>,
    pub(super) platform_state: RefCell<PlatformState>,
    pub(super) health: Rc<StoreHealth>,
    store: P::Store,
    pub(super) client: ntex::client::Client,
    /// Until when this entry gets the changes of the object store from watchers.
    pub(super) follow_peers_until_us: Cell<u64>,
    /// Whether a snapshot is being fetched. Another one would slow it down.
    pub(super) is_fetching: Cell<bool>,
    pub(super) failed_exchanges: Cell<FailedExchanges>,
    /// Whether the last log line about it says that the configuration is outdated.
    is_outdated: Cell<bool>,
    /// Whether the last log line about it says that the entry is isolated.
    pub(super) is_isolated: Cell<bool>,
}

/// Serves other entries and agents, follows the object store and exchanges state
/// with other entries until the process ends.
pub(super) async fn run<P: Platform>(context: Arc<Context>, control: TcpListener) -> Result<()> {
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
    pub(super) fn configuration_version(&self) -> u64 {
        let platform_state = self.platform_state.borrow();
        platform_state
            .configuration
            .as_ref()
            .map_or(0, |known| known.version)
    }

    /// Makes what is known of the platform visible to the traffic thread. `source`
    /// says in the log where a new configuration came from.
    pub(super) fn publish(&self, version_before: u64, source: &str) {
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
}
