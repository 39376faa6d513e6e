//! Agent process of the direct path: orders its engine to load weights and reports
//! the engine's state to the entries.
//!
//! Only the agent beside an engine gives it orders, so an engine has a single
//! order holder without a lease. The fencing token is the highest revision of the
//! operator's requests in the object store, which never decreases. An agent that has
//! started reads them from the store before its first order, because the entry that it
//! asks may not know the latest one, which the process before it has used.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use ntex::{
    client::Client,
    time::Millis, //
};
use slog::{
    Logger,
    info,
    warn, //
};

use super::{
    cache::{
        CacheLog,
        CachePosition, //
    },
    message::{
        EngineReport,
        OrderAnswer,
        WeightsOrder, //
    },
    order::{
        LoadStep,
        in_flight_policy,
        next_step, //
    },
    peers::{
        self,
        EngineState,
        ExchangeRequest, //
    },
    platform::{
        ObjectChanges,
        Platform,
        Store,
        Topic, //
    },
    platform_state::{
        PlatformState,
        WeightsRollout, //
    },
    snapshot::{
        self,
        SnapshotRequest, //
    },
    turns,
};
use crate::{
    clock::{
        Clock,
        US_PER_MS,
        US_PER_S, //
    },
    error::Result,
    event::Event,
    names::Name,
    process::{
        admin::{
            self,
            Observed, //
        },
        client,
        metrics::Metrics,
        reload,
        stop, //
    },
    settings::{
        DirectAgentSettings,
        LiveSettings, //
    },
};

/// Interval between polls of the engine while it has older weights. Polls from the
/// same instance are free of charge.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between polls of the engine otherwise. A restarted engine has the
/// weights that it had before, which may be older than those wanted.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit for a call to the engine on the same instance.
const ENGINE_TIMEOUT_MS: u64 = 500;

/// Time for which the engine holds back its answer to a call for cache events
/// while there are none. Calls that wait less than 200 ms are charged.
const CACHE_WAIT_MS: u64 = 1_000;

/// Pause between calls for cache events, so that one call returns several.
const CACHE_PAUSE: Duration = Duration::from_millis(20);

/// Time limit for opening a connection to the engine.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Time limit for listing the objects of a topic in the object store.
const LIST_TIMEOUT_MS: u64 = 1_000;

/// Time without an answer from any entry after which the object store is read.
const MAX_ENTRY_SILENCE_US: u64 = 1_500 * US_PER_MS;

/// Pause after an order that the engine refused or failed; each order is charged.
const REFUSED_ORDER_PAUSE_US: u64 = 300 * US_PER_MS;

/// Interval between reads of the object store while no entry answers.
const STORE_READ_INTERVAL_US: u64 = US_PER_S;

/// Readiness and metrics that the admin listener of an agent reports.
#[derive(Default)]
struct AgentMetrics(Metrics);

impl Observed for AgentMetrics {
    fn is_ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> String {
        self.0.render()
    }
}

/// State of an agent.
struct Agent<P: Platform> {
    /// Settings at the start of the process.
    settings: Arc<DirectAgentSettings>,
    /// Settings that follow the reloaded file.
    live_settings: Arc<LiveSettings<DirectAgentSettings>>,
    metrics: Arc<AgentMetrics>,
    log: Logger,
    clock: Clock,
    store: P::Store,
    /// Reuses its connections; for calls to entries and for reading the engine's
    /// state.
    client: Client,
    /// For orders to the engine.
    order_client: Client,
    /// Control addresses of the entries, as the last answer listed them.
    entries: RefCell<Vec<SocketAddr>>,
    /// When an entry last answered.
    entry_answered_at_us: Cell<u64>,
    platform_state: RefCell<PlatformState>,
    is_engine_silent: Cell<bool>,
    /// Whether the list of targets is being fetched.
    is_fetching: Cell<bool>,
    /// Until when the engine gets no further order, after it refused one.
    next_order_at_us: Cell<u64>,
    /// Whether the wanted weights were read from the object store.
    has_read_weights: Cell<bool>,
    /// Prompt parts that the engine has cached, with their recent changes.
    cache: RefCell<CacheLog>,
    /// Position in the cache changes that each entry has confirmed.
    confirmed_positions: RefCell<HashMap<SocketAddr, CachePosition>>,
}

/// Runs an agent until a signal requests its stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the signal
/// handlers cannot be installed.
pub fn run<P: Platform>(
    live_settings: LiveSettings<DirectAgentSettings>,
    log: &Logger,
) -> Result<()> {
    let settings = live_settings.get();
    let live_settings = Arc::new(live_settings);
    let metrics = Arc::new(AgentMetrics::default());
    let admin = settings.metrics_address.map(stop::bind).transpose()?;
    info!(log, "agent starts";
        "event" => Event::Started,
        "target_address" => %settings.target_address,
        "metrics_address" => settings.metrics_address.map(|address| address.to_string()));
    let system = ntex::rt::System::new("agent", ntex::rt::DefaultRuntime);
    let log = log.clone();
    system.block_on(async move {
        let agent = Rc::new(Agent::<P> {
            store: P::build_store_client(settings.platform_address).await?,
            client: client::build("entries").await?,
            order_client: client::build_direct("engine", CONNECT_TIMEOUT).await?,
            entries: RefCell::default(),
            entry_answered_at_us: Cell::new(0),
            clock: Clock::start(),
            platform_state: RefCell::default(),
            is_engine_silent: Cell::new(false),
            is_fetching: Cell::new(false),
            next_order_at_us: Cell::new(0),
            has_read_weights: Cell::new(false),
            cache: RefCell::default(),
            confirmed_positions: RefCell::default(),
            log: log.clone(),
            settings,
            live_settings: Arc::clone(&live_settings),
            metrics: Arc::clone(&metrics),
        });
        ntex::rt::spawn(reload::follow(live_settings, log.clone()));
        if let Some(listener) = admin {
            ntex::rt::spawn(admin::keep_serving(listener, metrics, log.clone()));
        }
        tokio::select! {
            () = Rc::clone(&agent).run_control_loop() => {}
            () = agent.follow_cache() => {}
            result = stop::requested() => result?,
        }
        info!(log, "agent has stopped"; "event" => Event::Stopped);
        Ok(())
    })
}

/// Returns whether the engine's state has changed since the last report in a way
/// that entries need at once.
fn has_urgent_change(reported: Option<&EngineState>, state: Option<&EngineState>) -> bool {
    match (reported, state) {
        (Some(reported), Some(state)) => {
            reported.is_paused != state.is_paused
                || reported.pause_in_us.is_some() != state.pause_in_us.is_some()
                || reported.weights != state.weights
        }
        _ => false,
    }
}

impl<P: Platform> Agent<P> {
    /// Polls the engine, orders weights and reports to the entries, until the
    /// process ends.
    async fn run_control_loop(self: Rc<Self>) {
        let mut reported: Option<EngineState> = None;
        let mut next_report_at_us = 0;
        let mut next_store_read_at_us = self.clock.now_us() + MAX_ENTRY_SILENCE_US;
        loop {
            let now_us = self.clock.now_us();
            if now_us >= self.entry_answered_at_us.get() + MAX_ENTRY_SILENCE_US
                && now_us >= next_store_read_at_us
            {
                next_store_read_at_us = now_us + STORE_READ_INTERVAL_US;
                self.read_store().await;
            }
            let report = self.engine_report().await;
            let rollout = report
                .as_ref()
                .and_then(|report| self.pending_rollout(report));
            let id = self.engine_id();
            let step = match (&report, &rollout, &id) {
                (Some(report), Some(rollout), Some(id)) => {
                    let now_us = self.clock.now_us();
                    match next_step(rollout, report, id, now_us) {
                        LoadStep::Order if now_us < self.next_order_at_us.get() => {
                            LoadStep::WaitUntil(self.next_order_at_us.get())
                        }
                        step => step,
                    }
                }
                _ => LoadStep::Done,
            };
            if let (LoadStep::Order, Some(rollout), Some(report), Some(id)) =
                (step, &rollout, &report, &id)
            {
                self.order_weights(rollout, report, id).await;
            }
            let pause_in_us = match step {
                LoadStep::WaitUntil(at_us) => Some(at_us.saturating_sub(now_us)),
                _ => None,
            };
            let state = report.zip(id).map(|(report, id)| EngineState {
                pause_in_us,
                target: id,
                is_paused: report.is_busy
                    || matches!(step, LoadStep::Drain | LoadStep::Busy | LoadStep::Order),
                weights: report.weights,
                running: report.running,
                waiting: report.waiting,
                memory: report.memory,
            });
            if now_us >= next_report_at_us || has_urgent_change(reported.as_ref(), state.as_ref()) {
                next_report_at_us = now_us + self.report_to_entries(state.as_ref());
                reported = state;
            }
            let is_idle = matches!(step, LoadStep::Done);
            tokio::time::sleep(if is_idle {
                IDLE_POLL_INTERVAL
            } else {
                BUSY_POLL_INTERVAL
            })
            .await;
        }
    }

    /// Follows the cache events of the engine until the process ends. Each call
    /// waits at the engine, which makes it free of charge.
    async fn follow_cache(&self) {
        let engine = self.settings.target_address;
        let mut since = 0;
        loop {
            let timeout_ms = CACHE_WAIT_MS + ENGINE_TIMEOUT_MS;
            let events =
                P::fetch_cache_events(&self.client, engine, since, CACHE_WAIT_MS, timeout_ms).await;
            match events {
                Ok(events) => {
                    if events.has_lost_events {
                        info!(self.log, "cache events of the engine were lost";
                            "event" => Event::CacheEventsLost,
                            "since" => since,
                            "next" => events.next,
                            "epoch" => events.epoch);
                    }
                    since = events.next;
                    let mut cache = self.cache.borrow_mut();
                    cache.apply(&events);
                    let parts = i64::try_from(cache.len()).unwrap_or(i64::MAX);
                    self.metrics.0.cached_parts.set(parts);
                }
                // The engine is restarting or down, which `engine_report` logs.
                Err(_) => since = 0,
            }
            tokio::time::sleep(CACHE_PAUSE).await;
        }
    }

    /// Asks the engine for its state, and logs when it stops or resumes answering.
    async fn engine_report(&self) -> Option<EngineReport> {
        let engine = self.settings.target_address;
        match P::fetch_report(&self.client, engine, ENGINE_TIMEOUT_MS).await {
            Ok(report) => {
                if self.is_engine_silent.replace(false) {
                    info!(self.log, "the engine answers again";
                        "event" => Event::EngineAnswers,
                        "target_address" => %engine);
                }
                self.metrics.0.running.set(i64::from(report.running));
                Some(report)
            }
            Err(error) => {
                if !self.is_engine_silent.replace(true) {
                    self.metrics.0.engine_losses.inc();
                    warn!(self.log, "the engine does not answer";
                        "event" => Event::EngineSilent,
                        "target_address" => %engine,
                        "error" => ?error);
                }
                None
            }
        }
    }

    /// Returns the rollout of the first model for which the engine has older weights
    /// than wanted.
    fn pending_rollout(&self, report: &EngineReport) -> Option<WeightsRollout> {
        let platform_state = self.platform_state.borrow();
        let mut loaded = report.weights.iter();
        loaded.find_map(|(model, version)| {
            let rollout = platform_state.rollouts.get(model)?;
            (*version < rollout.weights.version).then(|| rollout.clone())
        })
    }

    /// Reads the wanted weights and the targets from the object store, because no
    /// entry answers.
    async fn read_store(&self) {
        for topic in [Topic::Weights, Topic::Targets, Topic::Entries] {
            match self.store.list(topic, LIST_TIMEOUT_MS).await {
                Ok(changes) => self.apply_changes(topic, changes),
                Err(error) => {
                    warn!(self.log, "neither entries nor the object store answer";
                        "event" => Event::PlatformDown,
                        "topic" => ?topic,
                        "error" => %error);
                    return;
                }
            }
        }
        *self.entries.borrow_mut() = self.platform_state.borrow().entry_addresses().collect();
        self.update_turns();
    }

    fn apply_changes(&self, topic: Topic, changes: ObjectChanges) {
        let now_us = self.clock.now_us();
        let mut platform_state = self.platform_state.borrow_mut();
        platform_state.apply(topic, changes, true, None, now_us);
    }

    /// Records up to which cache change an entry is up to date; `None` makes the
    /// next report to it list all cached parts.
    fn set_confirmed_position(&self, address: SocketAddr, position: Option<CachePosition>) {
        let mut positions = self.confirmed_positions.borrow_mut();
        match position {
            Some(position) => positions.insert(address, position),
            None => positions.remove(&address),
        };
    }

    /// Applies the answer of an entry to what is known of the platform.
    fn apply_reply(&self, reply: peers::ExchangeReply) {
        let now_us = self.clock.now_us();
        self.entry_answered_at_us.set(now_us);
        if let Some(entries) = &reply.entries {
            self.entries.borrow_mut().clone_from(entries);
        }
        let fences = |platform_state: &PlatformState| -> Vec<u64> {
            let rollouts = platform_state.rollouts.values();
            rollouts.map(|rollout| rollout.weights.fence).collect()
        };
        let fences_before = fences(&self.platform_state.borrow());
        let is_new = peers::apply_reply(&mut self.platform_state.borrow_mut(), reply, now_us);
        let has_new_rollout = fences_before != fences(&self.platform_state.borrow());
        if !is_new {
            return;
        }
        self.update_turns();
        if !has_new_rollout {
            return;
        }
        for rollout in self.platform_state.borrow().rollouts.values() {
            info!(self.log, "weights are wanted";
                "event" => Event::WeightsWanted,
                "model" => &*rollout.weights.model,
                "version" => rollout.weights.version,
                "fence" => rollout.weights.fence,
                "turn_us" => self.engine_id().map(|id| turns::offset_us(&rollout.turns, &id)));
        }
    }

    /// Fetches the list of targets from an entry, unless that is being done.
    async fn fetch_targets(&self, address: SocketAddr, revision: u64) {
        if self.is_fetching.replace(true) {
            return;
        }
        let snapshot_request = SnapshotRequest {
            configuration_version: None,
            targets_revision: Some(revision),
        };
        let fetched = snapshot::fetch(&self.client, address, snapshot_request).await;
        self.is_fetching.set(false);
        // After a failure, the answer to the next report announces the list again.
        if let Ok((snapshot, _)) = fetched
            && snapshot.apply(&mut self.platform_state.borrow_mut())
        {
            self.update_turns();
        }
    }

    /// Computes the turns in which engines load, from the current targets.
    fn update_turns(&self) {
        let mut platform_state = self.platform_state.borrow_mut();
        let platform_state = &mut *platform_state;
        for (model, rollout) in &mut platform_state.rollouts {
            rollout.turns = turns::turn_order(&platform_state.targets, model);
        }
    }

    /// Returns the addresses of the entries to report to.
    fn entry_addresses(&self) -> BTreeSet<SocketAddr> {
        let entries = self.entries.borrow();
        let settings = self.live_settings.get();
        let configured = settings.peers.iter();
        entries.iter().chain(configured).copied().collect()
    }

    /// Reports the engine's state to all entries without waiting for their answers.
    /// An entry that a report does not reach finds out when the engine refuses its
    /// requests. Returns the time until the next report.
    fn report_to_entries(self: &Rc<Self>, state: Option<&EngineState>) -> u64 {
        let addresses = self.entry_addresses();
        let count = addresses.len();
        let revision = self.platform_state.borrow().targets_revision;
        let entries_digest = peers::entries_digest(&self.entries.borrow());
        for (position, address) in addresses.into_iter().enumerate() {
            let agent = Rc::clone(self);
            let exchange_request = ExchangeRequest {
                entry: None,
                configuration: None,
                entries_digest: Some(entries_digest),
                engine: state.cloned(),
                cache: Some(
                    self.cache
                        .borrow()
                        .update_since(self.confirmed_positions.borrow().get(&address).copied()),
                ),
            };
            ntex::rt::spawn(async move {
                let answered = peers::exchange(&agent.client, address, &exchange_request).await;
                let Ok((reply, _)) = answered else {
                    return;
                };
                agent.set_confirmed_position(address, reply.cache_position);
                let later = reply.targets_revision.filter(|later| *later > revision);
                agent.apply_reply(reply);
                // The list of targets is taken from one entry.
                if position == 0 && later.is_some() {
                    agent.fetch_targets(address, revision).await;
                }
            });
        }
        peers::report_interval_us(count)
    }

    /// Returns the id of this agent's engine: of all records with its address,
    /// the one that started last.
    fn engine_id(&self) -> Option<Name> {
        let platform_state = self.platform_state.borrow();
        platform_state
            .targets
            .values()
            .filter(|record| record.address == self.settings.target_address)
            .max_by_key(|record| record.started_at_ms)
            .map(|record| record.id.clone())
    }

    /// Reads the wanted weights from the object store once. Without an answer, the orders
    /// are based on what entries know.
    async fn read_weights(&self) {
        if self.has_read_weights.replace(true) {
            return;
        }
        match self.store.list(Topic::Weights, LIST_TIMEOUT_MS).await {
            Ok(changes) => self.apply_changes(Topic::Weights, changes),
            Err(error) => warn!(self.log, "the object store does not list the wanted weights";
                "event" => Event::PlatformDown,
                "topic" => ?Topic::Weights,
                "error" => %error),
        }
    }

    /// Orders the engine to load weights.
    async fn order_weights(&self, rollout: &WeightsRollout, report: &EngineReport, id: &Name) {
        self.read_weights().await;
        let order = WeightsOrder {
            model: rollout.weights.model.clone(),
            version: rollout.weights.version,
            in_flight: in_flight_policy(report),
            issuer: self.settings.name.clone(),
            fence: self.platform_state.borrow().order_fence(),
            accepted_orders: report.accepted_orders,
            target: id.clone(),
        };
        let engine = self.settings.target_address;
        let answer = P::send_order(&self.order_client, engine, &order, ENGINE_TIMEOUT_MS).await;
        self.metrics.0.orders.inc();
        self.log_order(&order, &answer);
        match answer {
            // The engine has restarted with another id.
            Ok(OrderAnswer::Misdirected) => {
                self.platform_state.borrow_mut().targets.remove(id);
            }
            Ok(OrderAnswer::Refused(_)) => {
                let next_order_at_us = self.clock.now_us() + REFUSED_ORDER_PAUSE_US;
                self.next_order_at_us.set(next_order_at_us);
            }
            _ => {}
        }
    }

    fn log_order(&self, order: &WeightsOrder, answer: &Result<OrderAnswer>) {
        let outcome = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => format!("no answer: {error}"),
        };
        info!(self.log, "sent the engine an order to load weights";
            "event" => Event::WeightsOrdered,
            "target" => &*order.target,
            "model" => &*order.model,
            "version" => order.version,
            "fence" => order.fence,
            "runs" => ?order.in_flight,
            "accepted_orders" => order.accepted_orders,
            "outcome" => outcome);
    }
}
