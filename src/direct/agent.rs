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
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
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
    follow::{
        News,
        StoreHealth,
        follow, //
    },
    knowledge::{
        Knowledge,
        Wanted, //
    },
    message::{
        EngineReport,
        OrderAnswer,
        WeightsOrder, //
    },
    order::{
        Step,
        next_step, //
    },
    peers::{
        self,
        EngineState,
        Question, //
    },
    port::{
        Platform,
        Store,
        Topic, //
    },
    turns,
};
use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    error::Result,
    event::Event,
    names::Name,
    process::{
        client,
        stop, //
    },
    settings::DirectAgentSettings,
};

/// Interval between looks at the engine while it has older weights. Looks from
/// the own instance are free of charge.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between looks at the engine otherwise. A restarted engine has the
/// weights that it had before, which may be older than those wanted.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Bound for a call to the engine on the same instance.
const ENGINE_LIMIT_MS: u64 = 500;

/// Bound for opening a connection to the engine.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Bound for a listing of the store.
const LIST_LIMIT_MS: u64 = 1_000;

/// Interval between questions to an entry while the list of targets is wanted or
/// the store does not answer.
const ASK_INTERVAL_US: u64 = 300 * US_PER_MS;

/// Interval in which the entries are told about an engine that is paused.
const TELL_INTERVAL_US: u64 = 400 * US_PER_MS;

/// Questions to entries without an answer after which the store is asked.
const MAX_UNANSWERED: u32 = 2;

/// State of an agent.
struct Agent<P: Platform> {
    settings: DirectAgentSettings,
    log: Logger,
    clock: Clock,
    store: P::Store,
    /// Keeps its connections, for entries and for looks at the engine.
    client: Client,
    order_client: Client,
    /// Control addresses of the entries.
    entries: RefCell<Vec<SocketAddr>>,
    unanswered: Cell<u32>,
    knowledge: RefCell<Knowledge>,
    health: Rc<StoreHealth>,
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the signal
/// handlers cannot be installed.
pub fn run<P: Platform>(settings: DirectAgentSettings, log: &Logger) -> Result<()> {
    info!(log, "agent starts";
        "event" => Event::Started,
        "target_address" => %settings.target_address);
    let system = ntex::rt::System::new("agent", ntex::rt::DefaultRuntime);
    let log = log.clone();
    system.block_on(async move {
        let agent = Rc::new(Agent::<P> {
            store: P::store(settings.platform_address).await?,
            client: client::build("entries").await?,
            order_client: client::build_direct("engine", CONNECT_TIMEOUT).await?,
            entries: RefCell::default(),
            unanswered: Cell::new(0),
            clock: Clock::start(),
            knowledge: RefCell::default(),
            health: Rc::default(),
            log: log.clone(),
            settings,
        });
        let shared = Rc::clone(&agent);
        ntex::rt::spawn(follow(
            agent.store.clone(),
            Topic::Weights,
            Rc::clone(&agent.health),
            agent.clock,
            log.clone(),
            move |news| shared.take(news),
        ));
        tokio::select! {
            () = Rc::clone(&agent).work() => {}
            result = stop::requested() => result?,
        }
        info!(log, "agent has stopped"; "event" => Event::Stopped);
        Ok(())
    })
}

impl<P: Platform> Agent<P> {
    fn take(&self, news: News) {
        let now_us = self.clock.now_us();
        let mut knowledge = self.knowledge.borrow_mut();
        knowledge.apply(news.topic, news.changes, news.is_listing, None, now_us);
        for wanted in knowledge.wanted.values() {
            info!(self.log, "weights are wanted";
                "event" => Event::WeightsWanted,
                "model" => &*wanted.weights.model,
                "version" => wanted.weights.version,
                "fence" => wanted.weights.fence);
        }
    }

    async fn work(self: Rc<Self>) {
        let mut told: Option<(EngineState, u64)> = None;
        let mut ask_at_us = 0;
        loop {
            let now_us = self.clock.now_us();
            let report = self.engine_report().await;
            let wanted = report.as_ref().and_then(|report| self.outdated(report));
            let lacks_targets = self.own_id().is_none() || self.lacks_turns(wanted.as_ref());
            if (lacks_targets || self.health.is_down()) && now_us >= ask_at_us {
                ask_at_us = now_us + ASK_INTERVAL_US;
                self.learn_targets().await;
            }
            let Some((report, id)) = report.zip(self.own_id()) else {
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            };
            let step = wanted.as_ref().map_or(Step::Done, |wanted| {
                next_step(wanted, &report, &id, self.clock.now_us())
            });
            if let (Step::Order, Some(wanted)) = (step, &wanted) {
                self.order(wanted, &report, &id).await;
            }
            let state = EngineState {
                target: id,
                is_paused: report.is_busy || matches!(step, Step::Drain | Step::Busy | Step::Order),
                weights: report.weights,
            };
            let is_due = match &told {
                None => false,
                Some((before, at_us)) => {
                    *before != state || state.is_paused && now_us >= at_us + TELL_INTERVAL_US
                }
            };
            if is_due {
                self.tell_entries(&state);
            }
            if is_due || told.is_none() {
                told = Some((state, now_us));
            }
            let is_idle = matches!(step, Step::Done);
            tokio::time::sleep(if is_idle {
                IDLE_INTERVAL
            } else {
                BUSY_INTERVAL
            })
            .await;
        }
    }

    /// Returns whether the turns were derived before the engine was known.
    fn lacks_turns(&self, wanted: Option<&Wanted>) -> bool {
        let id = self.own_id();
        wanted.is_some_and(|wanted| !wanted.turns.iter().any(|turn| Some(turn) == id.as_ref()))
    }

    async fn engine_report(&self) -> Option<EngineReport> {
        let engine = self.settings.target_address;
        // The engine restarts or is down; the next look follows soon.
        P::report(&self.client, engine, ENGINE_LIMIT_MS).await.ok()
    }

    /// Returns the weights that the engine has to load.
    fn outdated(&self, report: &EngineReport) -> Option<Wanted> {
        let knowledge = self.knowledge.borrow();
        let mut loaded = report.weights.iter();
        loaded.find_map(|(model, version)| {
            let wanted = knowledge.wanted.get(model)?;
            (*version < wanted.weights.version).then(|| wanted.clone())
        })
    }

    /// Learns the targets from an entry, or from the store when no entry answers,
    /// and derives the turns from them.
    async fn learn_targets(&self) {
        if self.ask_entry().await {
            self.unanswered.set(0);
        } else {
            self.unanswered.set(self.unanswered.get() + 1);
            if self.unanswered.get() < MAX_UNANSWERED || self.health.is_down() {
                return;
            }
            match self.store.list(Topic::Targets, LIST_LIMIT_MS).await {
                Ok(changes) => {
                    let now_us = self.clock.now_us();
                    let mut knowledge = self.knowledge.borrow_mut();
                    knowledge.apply(Topic::Targets, changes, true, None, now_us);
                }
                Err(error) => warn!(self.log, "the targets cannot be listed";
                    "event" => Event::PlatformDown, "error" => %error),
            }
        }
        let mut knowledge = self.knowledge.borrow_mut();
        let knowledge = &mut *knowledge;
        for (model, wanted) in &mut knowledge.wanted {
            wanted.turns = turns::order(&knowledge.targets, model);
        }
    }

    /// Asks entries in turn for the wanted weights and the targets.
    async fn ask_entry(&self) -> bool {
        let question = Question {
            entry: None,
            configuration_version: u64::MAX,
            targets_revision: Some(self.knowledge.borrow().targets_revision),
            engine: None,
        };
        for address in self.entry_addresses() {
            match peers::ask(&self.client, address, &question).await {
                Ok(reply) => {
                    let now_us = self.clock.now_us();
                    self.entries.borrow_mut().clone_from(&reply.entries);
                    peers::adopt(&mut self.knowledge.borrow_mut(), reply, now_us);
                    return true;
                }
                // The next entry is asked.
                Err(_) => continue,
            }
        }
        false
    }

    fn entry_addresses(&self) -> BTreeSet<SocketAddr> {
        let entries = self.entries.borrow();
        let seeds = self.settings.peers.iter();
        entries.iter().chain(seeds).copied().collect()
    }

    /// Tells all entries about the engine, without waiting for them. An entry
    /// that does not hear it learns the same from the engine's refusals.
    fn tell_entries(self: &Rc<Self>, state: &EngineState) {
        for address in self.entry_addresses() {
            let agent = Rc::clone(self);
            let question = Question {
                entry: None,
                configuration_version: u64::MAX,
                targets_revision: None,
                engine: Some(state.clone()),
            };
            ntex::rt::spawn(async move {
                if let Ok(reply) = peers::ask(&agent.client, address, &question).await {
                    agent.entries.borrow_mut().clone_from(&reply.entries);
                }
            });
        }
    }

    /// Returns the id of the own engine: of all records with its address, the
    /// one that started last.
    fn own_id(&self) -> Option<Name> {
        let knowledge = self.knowledge.borrow();
        knowledge
            .targets
            .values()
            .filter(|record| record.address == self.settings.target_address)
            .max_by_key(|record| record.started_at_ms)
            .map(|record| record.id.clone())
    }

    async fn order(&self, wanted: &Wanted, report: &EngineReport, id: &Name) {
        let order = WeightsOrder {
            model: wanted.weights.model.clone(),
            version: wanted.weights.version,
            holder: self.settings.name.clone(),
            fence: wanted.weights.fence,
            accepted_orders: report.accepted_orders,
            target: id.clone(),
        };
        let engine = self.settings.target_address;
        let answer = P::order(&self.order_client, engine, &order, ENGINE_LIMIT_MS).await;
        self.note_order(&order, &answer);
        if let Ok(OrderAnswer::Refused(_)) = answer {
            // The engine has restarted under another id.
            self.learn_targets().await;
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
            "accepted_orders" => order.accepted_orders,
            "outcome" => outcome);
    }
}
