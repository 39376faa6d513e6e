//! The entry process of the direct path.

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
    sync::Arc,
    time::Duration, //
};

use futures_util::StreamExt;
use ntex::{
    SharedCfg,
    http::{
        HttpServiceConfig,
        Request,
        Response,
        StatusCode, //
    },
    service::fn_service,
    time::Seconds,
    util::BytesMut, //
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
    context::Context,
    follow::{
        StoreHealth,
        TopicChanges,
        follow, //
    },
    peers::{
        self,
        EntryState,
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
    serve,
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
    process::{
        admin::Observed,
        client,
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

/// Longest time until a header section is complete.
const HEADER_TIMEOUT: Seconds = Seconds(10);

/// Largest header section; a prompt lists its parts there.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Idle time after which a caller's connection is closed. Longer than any caller
/// keeps one.
const CALLER_KEEP_ALIVE: Seconds = Seconds(120);

/// Interval of the control thread's own work.
const TICK: Duration = Duration::from_millis(50);

/// Time for which a stopping entry goes on to take connections: the balancer
/// needs two failed checks, a second apart.
const STOP_LINGER_US: u64 = 2_600 * US_PER_MS;

/// Bound for a connection to the KV cache store, which is a few milliseconds away.
const KV_STORE_LIMIT: Duration = Duration::from_millis(250);

/// Interval between looks at the KV cache store.
const KV_STORE_PAUSE: Duration = Duration::from_millis(750);

/// Interval between tries to register.
const REGISTER_INTERVAL_US: u64 = US_PER_S;

/// Bound for a registration.
const REGISTER_LIMIT_MS: u64 = 1_000;

impl Observed for Context {
    fn is_ready(&self) -> bool {
        self.platform_state.load().can_route() && !self.is_leaving()
    }

    fn metrics(&self) -> String {
        let running = i64::try_from(self.running()).unwrap_or(i64::MAX);
        self.metrics.running.set(running);
        self.metrics.render()
    }
}

/// Runs an entry until it is told to stop.
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
    let context = Arc::new(Context::new(settings, log.clone()));
    info!(log, "entry listens";
        "event" => Event::Started,
        "incarnation" => %context.incarnation,
        "caller_address" => %stop::local(&caller)?,
        "control_address" => %stop::local(&control)?,
        "admin_address" => %stop::local(&admin[0])?,
        "metrics_address" => addresses.metrics_address.map(|address| address.to_string()));
    let shared = Arc::clone(&context);
    lifecycle::run(
        "entry",
        log,
        (admin, Arc::clone(&context)),
        move || control_thread::<P>(shared, control),
        traffic::<P>(context, caller),
    )
}

async fn traffic<P: Platform>(context: Arc<Context>, caller: TcpListener) -> Result<()> {
    let http = HttpServiceConfig::new()
        .set_client_timeout(HEADER_TIMEOUT)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(CALLER_KEEP_ALIVE);
    let config = SharedCfg::new("callers").add(http);
    let shared = Arc::clone(&context);
    let factory = async move || {
        let worker = Worker::<P>::new(Arc::clone(&shared));
        fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Ok::<Response, std::io::Error>(serve::handle(worker, request).await) }
        })
    };
    let server = http_server::start(caller, config, 1, factory)?;
    let settings = Arc::clone(&context.settings);
    ntex::rt::spawn(reload::follow(settings, context.log.clone()));
    stop::requested().await?;
    drain(&context).await;
    server.stop(false).await;
    Ok(())
}

/// Takes no part in the balancer's rotation any more, and answers what comes
/// until then.
async fn drain(context: &Context) {
    context.leave();
    let now_us = context.clock.now_us();
    let linger_until_us = now_us + STOP_LINGER_US;
    let drain_until_us = now_us + context.settings.get().drain_ms * US_PER_MS;
    let is_done = |now_us| {
        if now_us >= linger_until_us {
            // The balancer uses a stopping entry when its data centre has too few
            // others; its callers are sent away in time.
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
    /// Until when other entries tell what the store says.
    follow_peers_until_us: Cell<u64>,
}

async fn control_thread<P: Platform>(context: Arc<Context>, control: TcpListener) -> Result<()> {
    let listen = Arc::clone(&context);
    let _server = http_server::start(control, SharedCfg::new("entries"), 1, async move || {
        let context = Arc::clone(&listen);
        fn_service(move |request: Request| {
            let context = Arc::clone(&context);
            async move { Ok::<Response, std::io::Error>(answer_entry(&context, request).await) }
        })
    })?;
    let control = Rc::new(Control::<P> {
        store: P::build_store_client(context.settings.get().platform_address).await?,
        client: client::build("entries").await?,
        platform_state: RefCell::default(),
        health: Rc::default(),
        follow_peers_until_us: Cell::new(0),
        context,
    });
    for topic in [
        Topic::Configuration,
        Topic::Targets,
        Topic::Weights,
        Topic::Entries,
    ] {
        let shared = Rc::clone(&control);
        let fed = Rc::clone(&control);
        ntex::rt::spawn(follow(
            control.store.clone(),
            topic,
            Rc::clone(&control.health),
            control.context.clock,
            control.context.log.clone(),
            move || topic != Topic::Entries && fed.is_following_peers(),
            move |news| shared.take(news),
        ));
    }
    ntex::rt::spawn(Rc::clone(&control).watch_kv_store());
    control.work().await
}

impl<P: Platform> Control<P> {
    /// Returns whether other entries tell what the store says.
    fn is_following_peers(&self) -> bool {
        self.context.clock.now_us() < self.follow_peers_until_us.get()
    }

    /// Notes that an entry which hears the store has told what it says.
    fn note_following_peers(&self, until_us: u64, source: SocketAddr) {
        if !self.is_following_peers() {
            info!(self.context.log, "other entries watch the object store for this one";
                "event" => Event::StoreLeftToOthers,
                "source" => %source);
        }
        self.follow_peers_until_us.set(until_us);
    }

    /// Returns the control addresses of the entries that watch the store for this
    /// one.
    fn sources(&self) -> BTreeSet<SocketAddr> {
        let platform_state = self.platform_state.borrow();
        let entries = &platform_state.entries;
        let sources = watchers::sources(&self.context.settings.get().name, entries.keys());
        let address = |name| entries.get(name).map(|entry| entry.control_address);
        sources.into_iter().filter_map(address).collect()
    }

    /// Takes changes of the store and publishes the result.
    fn take(&self, news: TopicChanges) {
        let now_us = self.context.clock.now_us();
        let recovered_at_us = self.health.recovered_at_us();
        let before = self.configuration_version();
        self.platform_state.borrow_mut().apply(
            news.topic,
            news.changes,
            news.is_listing,
            recovered_at_us,
            now_us,
        );
        self.publish(before, "store");
    }

    /// Watches whether the KV cache store answers. A store that is down delays
    /// each request that names it.
    async fn watch_kv_store(self: Rc<Self>) {
        loop {
            let store = {
                let platform_state = self.platform_state.borrow();
                platform_state
                    .table
                    .as_ref()
                    .and_then(|table| table.kv_store_address())
            };
            let Some(store) = store else {
                tokio::time::sleep(KV_STORE_PAUSE).await;
                continue;
            };
            let result = match timeout(KV_STORE_LIMIT, TcpStream::connect(store)).await {
                Ok(connected) => connected.map(drop),
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            if self.context.note_kv_store(result.is_err()) {
                info!(self.context.log, "the KV cache store has changed its state";
                    "event" => Event::KvStoreFailed,
                    "is_down" => result.is_err(),
                    "error" => result.as_ref().err().map(ToString::to_string));
            }
            tokio::time::sleep(KV_STORE_PAUSE).await;
        }
    }

    fn configuration_version(&self) -> u64 {
        let platform_state = self.platform_state.borrow();
        platform_state
            .configuration
            .as_ref()
            .map_or(0, |known| known.version)
    }

    /// Makes what is known visible to the traffic thread.
    fn publish(&self, version_before: u64, source: &str) {
        let platform_state = self.platform_state.borrow().clone();
        let version = self.configuration_version();
        if version != version_before {
            info!(self.context.log, "configuration is in force";
                "event" => Event::RevisionApplied,
                "config_version" => version,
                "version_before" => version_before,
                "source" => source);
            let revision = i64::try_from(version).unwrap_or(i64::MAX);
            self.context.metrics.revision.set(revision);
            if let Some(table) = &platform_state.table {
                let now_us = self.context.clock.now_us();
                self.context.configure_quotas(table, now_us);
            }
        }
        self.context.platform_state.store(Arc::new(platform_state));
    }

    /// Registers this entry, exchanges with others and expires targets.
    async fn work(self: Rc<Self>) -> Result<()> {
        let mut next_exchange_us = BTreeMap::new();
        let mut urgent_at_us = 0;
        let mut register_at_us = 0;
        loop {
            let now_us = self.context.clock.now_us();
            if now_us >= register_at_us && !self.health.is_down() {
                register_at_us = self.register(now_us).await;
            }
            if self.platform_state.borrow_mut().expire(now_us) {
                self.publish(self.configuration_version(), "expiry");
            }
            self.context.quotas().charge_assumed_use(now_us);
            let is_watching = !self.is_following_peers() && !self.health.is_down();
            self.context.note_watching(is_watching);
            self.start_exchanges(&mut next_exchange_us, &mut urgent_at_us, now_us);
            tokio::time::sleep(TICK).await;
        }
    }

    /// Registers this entry unless it is known to be registered. Returns when to
    /// look again.
    async fn register(&self, now_us: u64) -> u64 {
        let settings = self.context.settings.get();
        let own = EntryRecord {
            name: settings.name.clone(),
            control_address: settings.control_address,
        };
        let known = self.platform_state.borrow().entries.get(&own.name).cloned();
        if known.as_ref() == Some(&own) {
            return now_us + REGISTER_INTERVAL_US;
        }
        if let Err(error) = self.store.register(&own, REGISTER_LIMIT_MS).await {
            warn!(self.context.log, "entry is not registered";
                "event" => Event::PlatformDown, "error" => %error);
        }
        self.context.clock.now_us() + REGISTER_INTERVAL_US
    }

    fn state(&self) -> EntryState {
        state(&self.context)
    }

    fn start_exchanges(
        self: &Rc<Self>,
        next_us: &mut BTreeMap<SocketAddr, u64>,
        urgent_at_us: &mut u64,
        now_us: u64,
    ) {
        let settings = self.context.settings.get();
        let own = settings.control_address;
        let addresses = {
            let platform_state = self.platform_state.borrow();
            peers::addresses(&platform_state, &settings.peers, Some(own))
        };
        let interval_us = quota::exchange_interval_us(addresses.len() + 1);
        if now_us >= *urgent_at_us && self.context.quotas().take_urgent_report() {
            *urgent_at_us = now_us + quota::URGENT_INTERVAL_US;
            next_us.clear();
        }
        next_us.retain(|address, _| addresses.contains(address));
        let sources = self.sources();
        for address in addresses {
            let due_us = next_us.entry(address).or_insert(now_us);
            if now_us < *due_us {
                continue;
            }
            let is_source = sources.contains(&address);
            *due_us = now_us
                + if is_source {
                    interval_us.min(watchers::SOURCE_INTERVAL_US)
                } else {
                    interval_us
                };
            let control = Rc::clone(self);
            ntex::rt::spawn(async move { control.exchange(address, is_source).await });
        }
    }

    /// Asks another entry and takes what it knows. A source watches the store for
    /// this entry.
    async fn exchange(&self, address: SocketAddr, is_source: bool) {
        let exchange_request = {
            let platform_state = self.platform_state.borrow();
            let wants_targets = is_source || self.health.is_down() || !platform_state.has_targets;
            ExchangeRequest {
                entry: Some(self.state()),
                configuration_version: platform_state
                    .configuration
                    .as_ref()
                    .map_or(0, |known| known.version),
                targets_revision: wants_targets.then_some(platform_state.targets_revision),
                engine: None,
                cache: None,
            }
        };
        // An entry that does not answer is charged by `Quotas::charge_assumed_use`.
        let Ok(reply) = peers::exchange(&self.client, address, &exchange_request).await else {
            return;
        };
        let now_us = self.context.clock.now_us();
        if is_source && reply.is_watching && knowledge_is_whole(&self.platform_state.borrow()) {
            self.note_following_peers(now_us + watchers::FOLLOW_PEERS_US, address);
        }
        let entry = &reply.entry;
        self.context.quotas().charge_reported_use(
            &entry.name,
            entry.incarnation,
            &entry.used,
            now_us,
        );
        let before = self.configuration_version();
        let is_new = peers::apply_reply(&mut self.platform_state.borrow_mut(), reply, now_us);
        if is_new {
            self.publish(before, "entry");
        }
    }
}

/// Returns whether changes that other entries tell are enough.
fn knowledge_is_whole(platform_state: &PlatformState) -> bool {
    platform_state.can_route() && !platform_state.rollouts.is_empty()
}

fn state(context: &Context) -> EntryState {
    let settings = context.settings.get();
    EntryState {
        name: settings.name.clone(),
        incarnation: context.incarnation,
        control_address: settings.control_address,
        used: context.quotas().used(),
    }
}

/// Answers another entry or an agent.
async fn answer_entry(context: &Context, mut request: Request) -> Response {
    if request.uri().path() != peers::PATH {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let Ok(part) = part else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        if body.len() + part.len() > peers::MAX_MESSAGE_BYTES {
            return Response::new(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&part);
    }
    let Ok(exchange_request) = postcard::from_bytes::<ExchangeRequest>(&body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    if let Some(entry) = &exchange_request.entry {
        let now_us = context.clock.now_us();
        context
            .quotas()
            .charge_reported_use(&entry.name, entry.incarnation, &entry.used, now_us);
    }
    let cache_position = exchange_request
        .engine
        .clone()
        .and_then(|engine| context.note_engine(engine, exchange_request.cache.as_ref()));
    let platform_state = context.platform_state.load();
    let reply = peers::build_reply(
        &exchange_request,
        state(context),
        &platform_state,
        cache_position,
        context.is_watching(),
    );
    match postcard::to_stdvec(&reply) {
        Ok(body) => Response::build(StatusCode::OK).body(body),
        Err(error) => {
            warn!(context.log, "answer to an entry cannot be written";
                "event" => Event::RevisionRejected,
                "kind" => ErrorKind::Internal.name(),
                "error" => %error);
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
