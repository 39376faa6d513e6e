//! The agent process of the direct path: it orders the weights of its engine.
//!
//! Only the agent beside an engine gives it orders, so an engine has a single
//! holder without a lease. The fencing token is the revision of the operator's
//! request in the object store, which never goes back.

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

/// Interval between looks at the engine while it has older weights. Looks from
/// the own instance are free of charge.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between looks at the engine otherwise. A restarted engine has the
/// weights that it had before, which may be older than those wanted.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Bound for a call to the engine on the same instance.
const ENGINE_LIMIT_MS: u64 = 500;

/// Time for which the engine holds a call for changes of its cache. Calls that
/// wait less than 200 ms are charged.
const CACHE_WAIT_MS: u64 = 1_000;

/// Pause between these calls, so that one brings several changes.
const CACHE_PAUSE: Duration = Duration::from_millis(20);

/// Bound for opening a connection to the engine.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Bound for a listing of the store.
const LIST_LIMIT_MS: u64 = 1_000;

/// Time without an answer of any entry after which the store is read.
const UNHEARD_US: u64 = 1_500 * US_PER_MS;

/// Interval between readings of the store.
const LIST_INTERVAL_US: u64 = US_PER_S;

/// What the admin listener of an agent shows.
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
    /// Settings as of the start.
    settings: Arc<DirectAgentSettings>,
    live: Arc<LiveSettings<DirectAgentSettings>>,
    metrics: Arc<AgentMetrics>,
    log: Logger,
    clock: Clock,
    store: P::Store,
    /// Keeps its connections, for entries and for looks at the engine.
    client: Client,
    order_client: Client,
    /// Control addresses of the entries.
    entries: RefCell<Vec<SocketAddr>>,
    /// When an entry answered last.
    heard_at_us: Cell<u64>,
    platform_state: RefCell<PlatformState>,
    is_engine_silent: Cell<bool>,
    /// What the engine has cached.
    cache: RefCell<CacheLog>,
    /// Changes of the cache that each entry knows.
    told: RefCell<HashMap<SocketAddr, CachePosition>>,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the signal
/// handlers cannot be installed.
pub fn run<P: Platform>(live: LiveSettings<DirectAgentSettings>, log: &Logger) -> Result<()> {
    let settings = live.get();
    let live = Arc::new(live);
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
            heard_at_us: Cell::new(0),
            clock: Clock::start(),
            platform_state: RefCell::default(),
            is_engine_silent: Cell::new(false),
            cache: RefCell::default(),
            told: RefCell::default(),
            log: log.clone(),
            settings,
            live: Arc::clone(&live),
            metrics: Arc::clone(&metrics),
        });
        ntex::rt::spawn(reload::follow(live, log.clone()));
        if let Some(listener) = admin {
            ntex::rt::spawn(admin::keep_serving(listener, metrics, log.clone()));
        }
        tokio::select! {
            () = Rc::clone(&agent).work() => {}
            () = agent.follow_cache() => {}
            result = stop::requested() => result?,
        }
        info!(log, "agent has stopped"; "event" => Event::Stopped);
        Ok(())
    })
}

/// Returns whether entries have to hear of a change at once.
fn is_urgent(told: Option<&EngineState>, state: Option<&EngineState>) -> bool {
    match (told, state) {
        (Some(told), Some(state)) => {
            told.is_paused != state.is_paused
                || told.pause_in_us.is_some() != state.pause_in_us.is_some()
                || told.weights != state.weights
        }
        _ => false,
    }
}

impl<P: Platform> Agent<P> {
    async fn work(self: Rc<Self>) {
        let mut told: Option<EngineState> = None;
        let mut tell_at_us = 0;
        let mut list_at_us = self.clock.now_us() + UNHEARD_US;
        loop {
            let now_us = self.clock.now_us();
            if now_us >= self.heard_at_us.get() + UNHEARD_US && now_us >= list_at_us {
                list_at_us = now_us + LIST_INTERVAL_US;
                self.read_store().await;
            }
            let report = self.engine_report().await;
            let rollout = report.as_ref().and_then(|report| self.outdated(report));
            let id = self.own_id();
            let step = match (&report, &rollout, &id) {
                (Some(report), Some(rollout), Some(id)) => {
                    next_step(rollout, report, id, self.clock.now_us())
                }
                _ => LoadStep::Done,
            };
            if let (LoadStep::Order, Some(rollout), Some(report), Some(id)) =
                (step, &rollout, &report, &id)
            {
                self.order(rollout, report, id).await;
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
            });
            if now_us >= tell_at_us || is_urgent(told.as_ref(), state.as_ref()) {
                tell_at_us = now_us + self.tell_entries(state.as_ref());
                told = state;
            }
            let is_idle = matches!(step, LoadStep::Done);
            tokio::time::sleep(if is_idle {
                IDLE_INTERVAL
            } else {
                BUSY_INTERVAL
            })
            .await;
        }
    }

    /// Follows the cache of the engine. The call waits at the engine, which makes
    /// it free of charge.
    async fn follow_cache(&self) {
        let engine = self.settings.target_address;
        let mut since = 0;
        loop {
            let timeout_ms = CACHE_WAIT_MS + ENGINE_LIMIT_MS;
            let events =
                P::fetch_cache_events(&self.client, engine, since, CACHE_WAIT_MS, timeout_ms).await;
            match events {
                Ok(events) => {
                    if events.has_lost_events {
                        info!(self.log, "events of the engine's cache are lost";
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
                // The engine restarts or is down, which the reports show as well.
                Err(_) => since = 0,
            }
            tokio::time::sleep(CACHE_PAUSE).await;
        }
    }

    async fn engine_report(&self) -> Option<EngineReport> {
        let engine = self.settings.target_address;
        match P::fetch_report(&self.client, engine, ENGINE_LIMIT_MS).await {
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

    /// Returns the weights that the engine has to load.
    fn outdated(&self, report: &EngineReport) -> Option<WeightsRollout> {
        let platform_state = self.platform_state.borrow();
        let mut loaded = report.weights.iter();
        loaded.find_map(|(model, version)| {
            let rollout = platform_state.rollouts.get(model)?;
            (*version < rollout.weights.version).then(|| rollout.clone())
        })
    }

    /// Reads the wanted weights and the targets from the store, because no entry
    /// answers.
    async fn read_store(&self) {
        for topic in [Topic::Weights, Topic::Targets, Topic::Entries] {
            match self.store.list(topic, LIST_LIMIT_MS).await {
                Ok(changes) => self.take(topic, changes),
                Err(error) => {
                    warn!(self.log, "neither entries nor the object store answer";
                        "event" => Event::PlatformDown,
                        "topic" => ?topic,
                        "error" => %error);
                    return;
                }
            }
        }
        self.derive_turns();
    }

    fn take(&self, topic: Topic, changes: ObjectChanges) {
        let now_us = self.clock.now_us();
        let mut platform_state = self.platform_state.borrow_mut();
        platform_state.apply(topic, changes, true, None, now_us);
    }

    /// Notes which changes of the cache an entry knows.
    fn note_told(&self, address: SocketAddr, position: Option<CachePosition>) {
        let mut told = self.told.borrow_mut();
        match position {
            Some(position) => told.insert(address, position),
            None => told.remove(&address),
        };
    }

    /// Takes the answer of an entry.
    fn take_reply(&self, reply: peers::ExchangeReply) {
        let now_us = self.clock.now_us();
        self.heard_at_us.set(now_us);
        self.entries.borrow_mut().clone_from(&reply.entries);
        let fences = |platform_state: &PlatformState| -> Vec<u64> {
            let rollout = platform_state.rollouts.values();
            rollout.map(|rollout| rollout.weights.fence).collect()
        };
        let before = fences(&self.platform_state.borrow());
        let is_new = peers::apply_reply(&mut self.platform_state.borrow_mut(), reply, now_us);
        let is_wanted_new = before != fences(&self.platform_state.borrow());
        if !is_new {
            return;
        }
        self.derive_turns();
        if !is_wanted_new {
            return;
        }
        for rollout in self.platform_state.borrow().rollouts.values() {
            info!(self.log, "weights are wanted";
                "event" => Event::WeightsWanted,
                "model" => &*rollout.weights.model,
                "version" => rollout.weights.version,
                "fence" => rollout.weights.fence,
                "turn_us" => self.own_id().map(|id| turns::offset_us(&rollout.turns, &id)));
        }
    }

    fn derive_turns(&self) {
        let mut platform_state = self.platform_state.borrow_mut();
        let platform_state = &mut *platform_state;
        for (model, rollout) in &mut platform_state.rollouts {
            rollout.turns = turns::turn_order(&platform_state.targets, model);
        }
    }

    fn entry_addresses(&self) -> BTreeSet<SocketAddr> {
        let entries = self.entries.borrow();
        let settings = self.live.get();
        let seeds = settings.peers.iter();
        entries.iter().chain(seeds).copied().collect()
    }

    /// Tells all entries about the engine, without waiting for them. An entry
    /// that does not hear it learns the same from the engine's refusals. Returns
    /// the time until they are told again.
    fn tell_entries(self: &Rc<Self>, state: Option<&EngineState>) -> u64 {
        let addresses = self.entry_addresses();
        let count = addresses.len();
        let revision = self.platform_state.borrow().targets_revision;
        for (position, address) in addresses.into_iter().enumerate() {
            let agent = Rc::clone(self);
            let exchange_request = ExchangeRequest {
                entry: None,
                configuration_version: u64::MAX,
                // One answer with the list is enough; it comes when it has changed.
                targets_revision: (position == 0).then_some(revision),
                engine: state.cloned(),
                cache: Some(
                    self.cache
                        .borrow()
                        .update_since(self.told.borrow().get(&address).copied()),
                ),
            };
            ntex::rt::spawn(async move {
                if let Ok(reply) = peers::exchange(&agent.client, address, &exchange_request).await
                {
                    agent.note_told(address, reply.cache_position);
                    agent.take_reply(reply);
                }
            });
        }
        peers::report_interval_us(count)
    }

    /// Returns the id of the own engine: of all records with its address, the
    /// one that started last.
    fn own_id(&self) -> Option<Name> {
        let platform_state = self.platform_state.borrow();
        platform_state
            .targets
            .values()
            .filter(|record| record.address == self.settings.target_address)
            .max_by_key(|record| record.started_at_ms)
            .map(|record| record.id.clone())
    }

    async fn order(&self, rollout: &WeightsRollout, report: &EngineReport, id: &Name) {
        let order = WeightsOrder {
            model: rollout.weights.model.clone(),
            version: rollout.weights.version,
            in_flight: in_flight_policy(report),
            issuer: self.settings.name.clone(),
            fence: rollout.weights.fence,
            accepted_orders: report.accepted_orders,
            target: id.clone(),
        };
        let engine = self.settings.target_address;
        let answer = P::send_order(&self.order_client, engine, &order, ENGINE_LIMIT_MS).await;
        self.metrics.0.orders.inc();
        self.note_order(&order, &answer);
        if let Ok(OrderAnswer::Refused(_)) = answer {
            // The engine has restarted under another id.
            self.platform_state.borrow_mut().targets.remove(id);
        }
    }

    fn note_order(&self, order: &WeightsOrder, answer: &Result<OrderAnswer>) {
        let outcome = match answer {
            Ok(answer) => format!("{answer:?}"),
            Err(report) => format!("no answer: {report}"),
        };
        info!(self.log, "weights ordered";
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
