//! Control thread of an agent: cache index, load of the target, control calls.

use std::{
    cell::RefCell,
    net::TcpListener,
    num::NonZeroUsize,
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use error_stack::ResultExt;
use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    server::{
        ServerBuilder,
        ServerConfig, //
    },
};
use ntex::client::Client;
use serde::Deserialize;
use slog::info;
use tokio::sync::{
    mpsc,
    oneshot, //
};

use super::context::{
    Answered,
    Context, //
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    names::Incarnation,
    process::{
        cache_index::{
            CacheEvent,
            CacheIndex,
            Change, //
        },
        client,
        rpc::{
            AgentApiServer,
            AgentStatus,
            MAX_MESSAGE_BYTES,
            ProbeAnswer,
            ProbeRequest,
            rpc_error, //
        },
    },
    version::config::{
        Fold,
        ServiceKind,
        Update, //
    },
};

/// Blocks that the cache index remembers, about 100 bytes each.
const INDEX_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

/// Interval between reads of cache events and load.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Bound for one call to the target.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

const COMMAND_CAPACITY: usize = 256;

/// Request of an RPC method to the control loop.
enum Command {
    Probe(ProbeRequest, oneshot::Sender<ProbeAnswer>),
    Status(oneshot::Sender<AgentStatus>),
    ConfigSince(u64, oneshot::Sender<Update>),
}

struct Api {
    commands: mpsc::Sender<Command>,
}

impl Api {
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> RpcResult<T> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(command(sender)).await;
        sent.map_err(|_| rpc_error(ErrorKind::Stopping))?;
        receiver.await.map_err(|_| rpc_error(ErrorKind::Stopping))
    }
}

#[async_trait]
impl AgentApiServer for Api {
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeAnswer> {
        self.ask(|sender| Command::Probe(request, sender)).await
    }

    async fn status(&self) -> RpcResult<AgentStatus> {
        self.ask(Command::Status).await
    }

    async fn config_since(&self, revision: u64) -> RpcResult<Update> {
        self.ask(|sender| Command::ConfigSince(revision, sender))
            .await
    }
}

struct Control {
    context: Arc<Context>,
    index: RefCell<CacheIndex>,
    fold: RefCell<Fold>,
}

/// Runs the control thread until the process ends.
pub(super) async fn run(
    context: Arc<Context>,
    listener: TcpListener,
    mut answered: mpsc::Receiver<Answered>,
) -> Result<()> {
    let (commands, mut inbox) = mpsc::channel(COMMAND_CAPACITY);
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build_from_tcp(listener)
        .change_context(ErrorKind::Io)?;
    let handle = server.start(Api { commands }.into_rpc());
    let control = Rc::new(Control {
        index: RefCell::new(CacheIndex::new(Incarnation::default(), INDEX_BLOCKS)),
        fold: RefCell::default(),
        context,
    });
    if control.context.settings.target_kind == ServiceKind::Model {
        ntex::rt::spawn(Rc::clone(&control).poll_engine());
    }
    loop {
        tokio::select! {
            Some(command) = inbox.recv() => control.execute(command),
            Some(answered) = answered.recv() => control.note_answer(&answered),
            () = handle.clone().stopped() => return Ok(()),
        }
    }
}

/// Page of cache events as the engine publishes it.
#[derive(Deserialize)]
struct EventPage {
    incarnation: Incarnation,
    events: Vec<EngineEvent>,
}

#[derive(Deserialize)]
struct EngineEvent {
    sequence: u64,
    kind: EngineEventKind,
    block: crate::request::prompt::BlockHash,
    namespace: crate::request::prompt::Namespace,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EngineEventKind {
    Stored,
    Evicted,
}

#[derive(Deserialize)]
struct EngineLoad {
    incarnation: Incarnation,
    versions: Vec<String>,
}

impl Control {
    fn execute(&self, command: Command) {
        // A caller that has gone away needs no answer.
        match command {
            Command::Probe(request, sender) => drop(sender.send(self.probe(&request))),
            Command::Status(sender) => drop(sender.send(self.status())),
            Command::ConfigSince(revision, sender) => {
                drop(sender.send(self.fold.borrow().since(revision)));
            }
        }
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

    fn status(&self) -> AgentStatus {
        let context = &self.context;
        AgentStatus {
            target: context.settings.name.clone(),
            data_centre: context.settings.data_centre.clone(),
            agent: context.incarnation,
            engine: context.engine(),
            versions: context.versions(),
            queued: context.load.queued.load(Ordering::Relaxed),
            running: context.load.running.load(Ordering::Relaxed),
            leaving: context.is_leaving(),
            revision: self.fold.borrow().revision(),
        }
    }

    fn note_answer(&self, answered: &Answered) {
        let now_us = self.context.clock.now_us();
        self.see_engine(answered.answer.engine);
        let mut index = self.index.borrow_mut();
        index.answered(answered.answer, &answered.blocks, now_us);
    }

    fn see_engine(&self, engine: Incarnation) {
        let mut index = self.index.borrow_mut();
        if index.engine() == engine {
            return;
        }
        info!(self.context.log, "engine has an empty cache";
            "event" => Event::EngineRestarted, "engine" => %engine);
        index.restarted(engine);
        self.context.set_engine(engine);
    }

    async fn poll_engine(self: Rc<Self>) {
        let Ok(client) = client::build("control").await else {
            return;
        };
        let mut next_sequence = 0;
        loop {
            let poll = async {
                self.read_load(&client).await?;
                self.read_events(&client, next_sequence).await
            };
            if let Ok(Ok(next)) = tokio::time::timeout(POLL_TIMEOUT, poll).await {
                next_sequence = next;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_load(&self, client: &Client) -> Result<()> {
        let load: EngineLoad = self.get(client, "/load").await?;
        self.see_engine(load.incarnation);
        self.context.set_versions(load.versions);
        Ok(())
    }

    async fn read_events(&self, client: &Client, since: u64) -> Result<u64> {
        let path = format!("/events?since={since}");
        let page: EventPage = self.get(client, &path).await?;
        if page.incarnation != self.index.borrow().engine() {
            self.see_engine(page.incarnation);
            return Ok(0);
        }
        let now_us = self.context.clock.now_us();
        let mut next = since;
        for event in page.events {
            next = event.sequence + 1;
            let event = CacheEvent {
                engine: page.incarnation,
                sequence: event.sequence,
                namespace: event.namespace,
                change: match event.kind {
                    EngineEventKind::Stored => Change::Stored(vec![event.block]),
                    EngineEventKind::Evicted => Change::Evicted(vec![event.block]),
                },
            };
            self.index.borrow_mut().apply(&event, now_us);
        }
        Ok(next)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, client: &Client, path: &str) -> Result<T> {
        let url = client::url(self.context.settings.target_address, path);
        let response = client.get(url).send().await;
        let response = response.map_err(|error| {
            error_stack::Report::new(ErrorKind::PeerUnavailable).attach(error.to_string())
        })?;
        client::read_json(&response).await
    }
}
