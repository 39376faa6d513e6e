//! Control thread of an agent.

mod api;
mod engine;
mod order;
mod plain;
mod report;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    num::NonZeroUsize,
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use slog::info;
use tokio::sync::mpsc;

use self::{
    api::Command,
    report::Entries, //
};
use super::context::{
    Answered,
    CacheQuestion,
    Context, //
};
use crate::{
    error::Result,
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        at_most_once::key_verification::members_digest,
        cache_index::CacheIndex,
        config_store::ConfigStore,
        peer::{
            self,
            PeerConnections, //
        },
        rpc::{
            ProbeAnswer,
            ProbeRequest, //
        },
        stop, //
    },
    version::{
        config::{
            Config,
            ServiceKind, //
        },
        fence::FenceTable,
        freshness::Freshness,
        rollout::known::KnownMoves, //
    },
};

/// Blocks that the cache index remembers, about 100 bytes each.
const INDEX_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

/// Requests of RPC methods that wait for the control loop.
const COMMAND_CAPACITY: usize = 256;

/// State of the control thread, shared by its tasks.
struct Control {
    context: Arc<Context>,
    address: SocketAddr,
    index: RefCell<CacheIndex>,
    store: ConfigStore,
    config: Rc<RefCell<Arc<Config>>>,
    peer_connections: PeerConnections,
    entries: RefCell<Entries>,
    freshness: RefCell<Freshness>,
    sequence: Cell<u64>,
    fences: RefCell<FenceTable>,
    /// Moves, held for entries that start while the object API is down.
    moves: RefCell<KnownMoves>,
    /// Version that the target loads now.
    ordered: RefCell<Option<Name>>,
    /// Version whose last load failed.
    failed: RefCell<Option<Name>>,
}

/// Runs the control thread until the process ends.
pub(super) async fn run(
    context: Arc<Context>,
    listener: TcpListener,
    mut answered: mpsc::Receiver<Answered>,
    mut questions: mpsc::Receiver<CacheQuestion>,
) -> Result<()> {
    let (commands, mut inbox) = mpsc::channel(COMMAND_CAPACITY);
    let address = stop::local(&listener)?;
    let handle = peer::serve(listener, api::methods(commands)?)?;
    let control = Rc::new(Control::new(context, address));
    match control.context.settings.target_kind {
        ServiceKind::Model => drop(ntex::rt::spawn(Rc::clone(&control).poll_engine())),
        ServiceKind::Plain => drop(ntex::rt::spawn(Rc::clone(&control).watch_plain())),
    }
    ntex::rt::spawn(Rc::clone(&control).report());
    ntex::rt::spawn(Rc::clone(&control).find_entries());
    ntex::rt::spawn(Rc::clone(&control).follow_peers());
    loop {
        tokio::select! {
            Some(command) = inbox.recv() => control.execute(command),
            Some(answered) = answered.recv() => control.note_answer(&answered),
            Some(question) = questions.recv() => control.answer_question(question),
            () = handle.clone().stopped() => return Ok(()),
        }
    }
}

/// Digest of the members of a target's service, 0 for an unknown target.
fn members_of(config: &Config, name: &str) -> u64 {
    let target = config.target_by_name(name);
    let entry = target.and_then(|key| config.target(key));
    let service = entry.and_then(|entry| config.service_by_name(&entry.target.service));
    service.map_or(0, |service| members_digest(config, service))
}

impl Control {
    fn new(context: Arc<Context>, address: SocketAddr) -> Self {
        let config = Rc::new(RefCell::new(Arc::new(Config::default())));
        let published = Rc::clone(&config);
        let shared = Arc::clone(&context);
        let publish = move |next: Arc<Config>| {
            shared.note_members(members_of(&next, &shared.settings.name));
            *published.borrow_mut() = next;
        };
        Self {
            index: RefCell::new(CacheIndex::new(Incarnation::default(), INDEX_BLOCKS)),
            store: ConfigStore::new(context.log.clone(), publish),
            config,
            peer_connections: PeerConnections::default(),
            entries: RefCell::default(),
            freshness: RefCell::default(),
            sequence: Cell::new(0),
            fences: RefCell::default(),
            moves: RefCell::default(),
            ordered: RefCell::default(),
            failed: RefCell::default(),
            address,
            context,
        }
    }

    fn execute(self: &Rc<Self>, command: Command) {
        // A caller that has gone away needs no answer.
        match command {
            Command::Peer(command) => {
                let exchange = |digest: &_| self.take_exchange(digest);
                command.execute(&self.store, exchange, || self.moves.borrow().moves());
            }
            Command::Probe(request, sender) => drop(sender.send(self.probe(&request))),
            Command::Order(request, sender) => {
                self.context.metrics.orders.inc();
                let control = Rc::clone(self);
                ntex::rt::spawn(async move {
                    let answer = control.order(request).await;
                    drop(sender.send(answer.map_err(|report| *report.current_context())));
                });
            }
        }
    }

    async fn follow_peers(self: Rc<Self>) {
        let control = Rc::clone(&self);
        let on_change = move || control.context.changed.notify_one();
        self.store
            .fetch_updates(&self.peer_connections, on_change)
            .await;
    }

    fn probe(&self, request: &ProbeRequest) -> ProbeAnswer {
        let index = self.index.borrow();
        let found = index.lookup(request.namespace, &request.blocks);
        let queued = self.context.load.queued.load(Ordering::Relaxed);
        ProbeAnswer {
            agent: self.context.incarnation,
            engine: index.engine(),
            matched_blocks: found.likely_blocks,
            queue_us: self.context.expected_wait_us(queued),
            leaving: self.context.is_leaving(),
        }
    }

    fn answer_question(&self, question: CacheQuestion) {
        let index = self.index.borrow();
        let found = index.lookup(question.namespace, &question.blocks);
        let blocks = usize::try_from(found.likely_blocks).unwrap_or(usize::MAX);
        // An attempt that has not waited is computed without an import.
        let _ = question.reply.send(blocks);
    }

    fn note_answer(&self, answered: &Answered) {
        let now_us = self.context.clock.now_us();
        self.see_engine(answered.answer.engine);
        let mut index = self.index.borrow_mut();
        index.apply_report(answered.answer, &answered.blocks, now_us);
    }

    fn see_engine(&self, engine: Incarnation) {
        let mut index = self.index.borrow_mut();
        if index.engine() == engine {
            return;
        }
        info!(self.context.log, "engine has an empty cache";
            "event" => Event::EngineRestarted, "engine" => %engine);
        let is_restart = index.engine() != Incarnation::default();
        index.set_engine(engine);
        self.context.set_engine(engine);
        if is_restart {
            // An order to the former process cannot take effect any more.
            self.finish_order();
        }
    }
}
