//! HTTP interface of the stand-in engine.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeSet,
        VecDeque, //
    },
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

use futures_util::stream;
use ntex::{
    client::Client,
    http::StatusCode,
    server::Server,
    util::Bytes,
    web::{
        self,
        App,
        HttpRequest,
        HttpResponse, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use super::{
    EngineFaults, EngineLoad, EngineOrder,
    batch::{
        Batch,
        Slot, //
    },
    cache::{
        BlockCache,
        block_hashes, //
    },
    generation::{
        BYTES_PER_TOKEN,
        Completion,
        next_token, //
    },
    transfer::{
        self,
        TransferOrder, //
    },
};
use crate::{
    clock::{
        Clock,
        US_PER_MS,
        US_PER_S, //
    },
    error::Result,
    names::Incarnation,
    process::{
        client,
        http_server, //
    },
    request::{
        headers::{
            CACHE_NAMESPACE,
            ENGINE_INCARNATION,
            MATCHED_BLOCKS,
            MODEL_VERSION,
            PRIORITY,
            PROMPT_BLOCKS, //
        },
        openai::Endpoint,
        prompt::Namespace, //
    },
    settings::EngineSettings,
    standin::http::{
        header_texts,
        injected_break,
        payload_config, //
    },
};

/// Requests remembered for tests.
const RECORD_CAPACITY: usize = 10_000;

/// A request as the engine received it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Received {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    version: String,
    matched_blocks: usize,
    prompt_blocks: usize,
}

struct Engine {
    settings: EngineSettings,
    clock: Clock,
    incarnation: Incarnation,
    batch: Batch,
    cache: RefCell<BlockCache>,
    versions: RefCell<BTreeSet<String>>,
    faults: RefCell<EngineFaults>,
    fence: Cell<u64>,
    requests: Cell<u64>,
    received: RefCell<VecDeque<Received>>,
    load: RefCell<VecDeque<(u64, EngineLoad)>>,
    /// For transfers to and from a KV store.
    client: Client,
}

type State = web::types::State<Rc<Engine>>;

/// Starts the server inside the running ntex `System`.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the listener cannot be used.
pub fn serve(settings: EngineSettings, listener: TcpListener) -> Result<Server> {
    let incarnation = Incarnation::random();
    let config = http_server::config("target");
    http_server::start(listener, config, 1, async move || {
        // Without a client the engine cannot move blocks.
        let client = client::build("transfer")
            .await
            .expect("the client is built");
        let engine = Rc::new(Engine::new(settings.clone(), incarnation, client));
        App::new()
            .state(engine)
            .state(payload_config())
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(text))
            .route("/events", web::get().to(events))
            .route("/load", web::get().to(load))
            .route("/orders", web::post().to(orders))
            .route("/kv/import", web::post().to(import))
            .route("/kv/export", web::post().to(export))
            .route("/faults", web::put().to(faults))
            .route("/received", web::get().to(received))
    })
}

impl Engine {
    fn new(settings: EngineSettings, incarnation: Incarnation, client: Client) -> Self {
        let cache = BlockCache::new(
            to_usize(settings.cache_blocks),
            settings.event_lag_ms * US_PER_MS,
            settings.event_gap_every,
        );
        Self {
            clock: Clock::start(),
            incarnation,
            batch: Batch::new(to_usize(settings.batch_size)),
            cache: RefCell::new(cache),
            versions: RefCell::new(BTreeSet::from([settings.version.to_string()])),
            faults: RefCell::default(),
            fence: Cell::new(0),
            requests: Cell::new(0),
            received: RefCell::default(),
            load: RefCell::default(),
            client,
            settings,
        }
    }

    fn slow_factor(&self) -> u64 {
        self.faults.borrow().slow_factor.unwrap_or(1)
    }

    fn fails(&self, path: &str, version: &String, number: u64) -> bool {
        let faults = self.faults.borrow();
        let version_hit =
            faults.error_versions.is_empty() || faults.error_versions.contains(version);
        version_hit
            && path.starts_with(&faults.error_path_prefix)
            && self.batch.running() >= faults.error_min_running
            && number % 100 < u64::from(faults.error_percent)
    }

    fn record(&self, received: Received) {
        let mut records = self.received.borrow_mut();
        if records.len() == RECORD_CAPACITY {
            records.pop_front();
        }
        records.push_back(received);
    }

    fn current_load(&self) -> EngineLoad {
        EngineLoad {
            incarnation: self.incarnation.to_string(),
            versions: self.versions.borrow().iter().cloned().collect(),
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            cached_blocks: self.cache.borrow().len(),
        }
    }

    /// Returns the newest load that is at least as old as the report lag.
    fn lagged_load(&self) -> EngineLoad {
        let now_us = self.clock.now_us();
        let current = self.current_load();
        let mut history = self.load.borrow_mut();
        history.push_back((now_us, current.clone()));
        let lag_us = self.settings.load_lag_ms * US_PER_MS;
        while history.len() > 1 && history[1].0 + lag_us <= now_us {
            history.pop_front();
        }
        let mut load = history.front().map_or(current, |(_, load)| load.clone());
        load.incarnation = self.incarnation.to_string();
        load
    }
}

async fn chat(engine: State, request: HttpRequest, body: Bytes) -> HttpResponse {
    complete(engine, &request, &body, Endpoint::ChatCompletions).await
}

async fn text(engine: State, request: HttpRequest, body: Bytes) -> HttpResponse {
    complete(engine, &request, &body, Endpoint::Completions).await
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn complete(
    engine: State,
    request: &HttpRequest,
    body: &[u8],
    endpoint: Endpoint,
) -> HttpResponse {
    let completion = match Completion::parse(endpoint, body) {
        Ok(completion) => completion,
        Err(message) => {
            return HttpResponse::BadRequest().json(&json!({"error": {"message": message}}));
        }
    };
    let version =
        header(request, MODEL_VERSION).unwrap_or_else(|| engine.settings.version.to_string());
    if !engine.versions.borrow().contains(&version) {
        return HttpResponse::NotFound()
            .json(&json!({"error": {"message": "version is not loaded"}}));
    }
    let number = engine.requests.get();
    engine.requests.set(number + 1);
    if engine.faults.borrow().hang {
        std::future::pending::<()>().await;
    }
    if engine.fails(request.path(), &version, number) {
        return HttpResponse::InternalServerError()
            .json(&json!({"error": {"message": "injected failure"}}));
    }
    let priority = header(request, PRIORITY)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let slot = engine.batch.enter(priority).await;
    let namespace = header(request, CACHE_NAMESPACE)
        .and_then(|value| value.parse().ok())
        .unwrap_or_else(|| Namespace::derive("", &version));
    let blocks = block_hashes(namespace, endpoint, body, engine.settings.block_tokens);
    let matched = engine.cache.borrow_mut().lookup(&blocks);
    engine.record(Received {
        path: request.uri().to_string(),
        headers: header_texts(request).collect(),
        body: String::from_utf8_lossy(body).into_owned(),
        version: version.clone(),
        matched_blocks: matched,
        prompt_blocks: blocks.len(),
    });
    prefill(&engine, &completion, matched).await;
    let now_us = engine.clock.now_us();
    engine.cache.borrow_mut().store(&blocks, namespace, now_us);

    let mut response = HttpResponse::Ok();
    response
        .set_header(MATCHED_BLOCKS, matched.to_string())
        .set_header(PROMPT_BLOCKS, blocks.len().to_string())
        .set_header(ENGINE_INCARNATION, engine.incarnation.to_string())
        .set_header(MODEL_VERSION, version.as_str());
    let generation = Generation {
        text: completion.prompt.clone(),
        engine: Rc::clone(&engine),
        completion,
        version,
        emitted: 0,
        done: false,
        _slot: slot,
    };
    if generation.completion.stream {
        response.content_type("text/event-stream");
        response.streaming(generation.into_stream())
    } else {
        let answer = generation.into_answer().await;
        response.content_type("application/json").body(answer)
    }
}

async fn prefill(engine: &Engine, completion: &Completion, matched: usize) {
    let prompt_tokens = completion.prompt.len() / BYTES_PER_TOKEN;
    let cached_tokens = matched * to_usize(engine.settings.block_tokens);
    let tokens = u64::try_from(prompt_tokens.saturating_sub(cached_tokens)).unwrap_or(u64::MAX);
    let rate = u64::from(engine.settings.prefill_tokens_per_s.max(1));
    let time_us = tokens.saturating_mul(US_PER_S) / rate * engine.slow_factor();
    tokio::time::sleep(Duration::from_micros(time_us)).await;
}

struct Generation {
    engine: Rc<Engine>,
    completion: Completion,
    version: String,
    text: String,
    emitted: u64,
    done: bool,
    _slot: Slot,
}

impl Generation {
    async fn next_token(&mut self) -> String {
        let rate = u64::from(self.engine.settings.decode_tokens_per_s.max(1));
        let time_us = US_PER_S / rate * self.engine.slow_factor();
        tokio::time::sleep(Duration::from_micros(time_us)).await;
        let token = next_token(&self.version, &self.text);
        self.text.push_str(&token);
        self.emitted += 1;
        token
    }

    async fn next_chunk(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.done {
            return None;
        }
        let (break_after, hang_after) = {
            let faults = self.engine.faults.borrow();
            (faults.break_after_tokens, faults.hang_after_tokens)
        };
        if break_after.is_some_and(|limit| self.emitted >= limit) {
            return Some(Err(injected_break()));
        }
        if hang_after.is_some_and(|limit| self.emitted >= limit) {
            std::future::pending::<()>().await;
        }
        if self.emitted >= self.completion.max_tokens {
            self.done = true;
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        let token = self.next_token().await;
        let last = self.emitted >= self.completion.max_tokens;
        Some(Ok(Bytes::from(self.completion.chunk(&token, last))))
    }

    fn into_stream(self) -> impl stream::Stream<Item = std::io::Result<Bytes>> + Unpin {
        Box::pin(stream::unfold(self, |mut generation| async move {
            let chunk = generation.next_chunk().await?;
            Some((chunk, generation))
        }))
    }

    async fn into_answer(mut self) -> String {
        let mut answer = String::new();
        while self.emitted < self.completion.max_tokens {
            answer.push_str(&self.next_token().await);
        }
        let prompt_tokens = self.completion.prompt.len() / BYTES_PER_TOKEN;
        self.completion.whole(&answer, prompt_tokens, self.emitted)
    }
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    since: u64,
}

async fn events(engine: State, query: web::types::Query<EventsQuery>) -> HttpResponse {
    let now_us = engine.clock.now_us();
    let events = engine.cache.borrow().events_since(query.since, now_us);
    HttpResponse::Ok().json(&json!({
        "incarnation": engine.incarnation.to_string(),
        "events": events,
    }))
}

async fn load(engine: State) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lagged_load())
}

async fn orders(engine: State, order: web::types::Json<EngineOrder>) -> HttpResponse {
    let (EngineOrder::Load { fence, .. } | EngineOrder::Unload { fence, .. }) = *order;
    if engine.settings.checks_fencing && fence < engine.fence.get() {
        return HttpResponse::Conflict().json(&json!({"fence": engine.fence.get()}));
    }
    engine.fence.set(fence.max(engine.fence.get()));
    match order.into_inner() {
        EngineOrder::Load { version, .. } => {
            tokio::time::sleep(Duration::from_millis(engine.settings.load_weights_ms)).await;
            engine.versions.borrow_mut().insert(version);
        }
        EngineOrder::Unload { version, .. } => {
            engine.versions.borrow_mut().remove(&version);
        }
    }
    HttpResponse::Ok().json(&json!({"versions": *engine.versions.borrow()}))
}

/// Adds blocks of a store to the cache, all or none.
async fn import(engine: State, order: web::types::Json<TransferOrder>) -> HttpResponse {
    if let Err(report) = transfer::fetch(&engine.client, &order).await {
        return HttpResponse::BadGateway().json(&json!({"error": format!("{report:?}")}));
    }
    let now_us = engine.clock.now_us();
    let mut cache = engine.cache.borrow_mut();
    cache.store(&order.blocks, order.namespace, now_us);
    HttpResponse::Ok().json(&json!({
        "blocks": order.blocks.len(),
        "incarnation": engine.incarnation,
    }))
}

/// Sends the leading blocks of an order that are cached.
async fn export(engine: State, order: web::types::Json<TransferOrder>) -> HttpResponse {
    let mut order = order.into_inner();
    let cached = engine.cache.borrow_mut().lookup(&order.blocks);
    order.blocks.truncate(cached);
    match transfer::send(&engine.client, &order).await {
        Ok(sent) => HttpResponse::Ok().json(&json!({
            "blocks": sent,
            "incarnation": engine.incarnation,
        })),
        Err(report) => HttpResponse::BadGateway().json(&json!({"error": format!("{report:?}")})),
    }
}

async fn faults(engine: State, faults: web::types::Json<EngineFaults>) -> HttpResponse {
    *engine.faults.borrow_mut() = faults.into_inner();
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

async fn received(engine: State) -> HttpResponse {
    let records: Vec<Received> = engine.received.borrow().iter().cloned().collect();
    HttpResponse::Ok().json(&records)
}

fn to_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
