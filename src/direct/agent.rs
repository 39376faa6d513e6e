//! The agent process of the direct path: it orders the weights of its engine.
//!
//! Only the agent beside an engine gives it orders, so an engine has a single
//! holder without a lease. The fencing token is the revision of the operator's
//! request in the object store, which never goes back.

use std::{
    cell::RefCell,
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
        US_PER_MS,
        US_PER_S, //
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

/// Interval between looks at the engine while it has older weights.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between looks at the engine otherwise. A restarted engine has the
/// weights that it had before, which may be older than those wanted.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Bound for a call to the engine on the same instance.
const ENGINE_LIMIT_MS: u64 = 500;

/// Bound for opening a connection to the engine.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Bound for a listing of the store.
const LIST_LIMIT_MS: u64 = 1_000;

/// Interval between questions to an entry while the store does not answer.
const ASK_INTERVAL_US: u64 = 500 * US_PER_MS;

/// Interval between listings while the own engine is not found.
const LIST_INTERVAL_US: u64 = US_PER_S;

/// State of an agent.
struct Agent<P: Platform> {
    settings: DirectAgentSettings,
    log: Logger,
    clock: Clock,
    store: P::Store,
    client: Client,
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
            client: client::build_direct("engine", CONNECT_TIMEOUT).await?,
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
            () = agent.work() => {}
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

    async fn work(&self) {
        let mut listed_fence = 0;
        let mut list_at_us = 0;
        let mut ask_at_us = 0;
        loop {
            let now_us = self.clock.now_us();
            if self.health.is_down() && now_us >= ask_at_us {
                ask_at_us = now_us + ASK_INTERVAL_US;
                self.ask_entry().await;
            }
            let is_behind = match self.engine_report().await {
                Some(report) => self.outdated(&report).map(|wanted| (wanted, report)),
                None => None,
            };
            let Some((wanted, report)) = is_behind else {
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            };
            let is_listed = listed_fence == wanted.weights.fence && self.own_id().is_some();
            if !is_listed && now_us >= list_at_us {
                list_at_us = now_us + LIST_INTERVAL_US;
                if self.list_targets(&wanted).await {
                    listed_fence = wanted.weights.fence;
                }
            }
            self.advance(&report).await;
            tokio::time::sleep(BUSY_INTERVAL).await;
        }
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

    /// Reads the list of targets and derives the turns from it.
    async fn list_targets(&self, wanted: &Wanted) -> bool {
        let changes = match self.store.list(Topic::Targets, LIST_LIMIT_MS).await {
            Ok(changes) => changes,
            Err(error) => {
                warn!(self.log, "the targets cannot be listed";
                    "event" => Event::PlatformDown, "error" => %error);
                return false;
            }
        };
        let now_us = self.clock.now_us();
        let mut knowledge = self.knowledge.borrow_mut();
        knowledge.apply(Topic::Targets, changes, true, None, now_us);
        let model = &wanted.weights.model;
        let order = turns::order(&knowledge.targets, model);
        if let Some(wanted) = knowledge.wanted.get_mut(model) {
            wanted.turns = order;
        }
        true
    }

    /// Asks an entry for the wanted weights and the targets.
    async fn ask_entry(&self) {
        let question = Question {
            entry: None,
            configuration_version: u64::MAX,
            targets_revision: Some(self.knowledge.borrow().targets_revision),
        };
        for address in &self.settings.peers {
            // The next address is asked when this one does not answer.
            if let Ok(reply) = peers::ask(&self.client, *address, &question).await {
                let now_us = self.clock.now_us();
                peers::adopt(&mut self.knowledge.borrow_mut(), reply, now_us);
                return;
            }
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

    async fn advance(&self, report: &EngineReport) {
        let (Some(wanted), Some(id)) = (self.outdated(report), self.own_id()) else {
            return;
        };
        if next_step(&wanted, report, &id, self.clock.now_us()) != Step::Order {
            return;
        }
        let order = WeightsOrder {
            model: wanted.weights.model.clone(),
            version: wanted.weights.version,
            holder: self.settings.name.clone(),
            fence: wanted.weights.fence,
            accepted_orders: report.accepted_orders,
            target: id,
        };
        let engine = self.settings.target_address;
        let answer = P::order(&self.client, engine, &order, ENGINE_LIMIT_MS).await;
        self.note_order(&order, &answer);
        if !matches!(
            answer,
            Ok(OrderAnswer::Accepted | OrderAnswer::AlreadyLoaded)
        ) {
            // The record of the engine may be outdated.
            self.list_targets(&wanted).await;
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
