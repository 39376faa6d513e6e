//! HTTP handlers of the object API.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use bytes::Bytes;
use ntex::{
    http::StatusCode,
    web::{
        self, HttpRequest, HttpResponse, ServiceConfig,
        types::{
            PayloadConfig,
            Query,
            State, //
        },
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::{
        sleep,
        timeout_at, //
    },
};

use super::store::{
    Mismatch,
    Store, //
};
use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    names::Name,
    process::platform::{
        Changes,
        Condition,
        InstanceRecord,
        MAX_VALUE_BYTES,
        ObjectVersion,
        is_key, //
    },
    standin::fault::{
        Answering,
        FaultInjector,
        PlatformFaults, //
    },
};

const MAX_WAIT_MS: u64 = 60_000;

/// Calls received since the start. Calls that a fault refuses count as well.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounters {
    /// Reads of one object.
    pub get: u64,
    /// Writes of an object.
    pub put: u64,
    /// Removals of an object.
    pub delete: u64,
    /// Listings.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the list of instances.
    pub instances: u64,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Instances,
}

impl Call {
    const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    injector: FaultInjector,
    counters: CallCounters,
}

/// State shared by all connections.
#[derive(Debug)]
pub(super) struct Shared {
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
    clock: Clock,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            revision: watch::Sender::new(0),
            clock: Clock::start(),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns the faults that apply before it.
    fn count(&self, call: Call) -> PlatformFaults {
        let mut inner = self.lock();
        let counters = &mut inner.counters;
        let counter = match call {
            Call::Get => &mut counters.get,
            Call::Put => &mut counters.put,
            Call::Delete => &mut counters.delete,
            Call::List => &mut counters.list,
            Call::Watch => &mut counters.watch,
            Call::Instances => &mut counters.instances,
        };
        *counter += 1;
        inner.injector.faults().clone()
    }

    fn announce(&self) {
        let revision = self.lock().store.revision();
        self.revision.send_replace(revision);
    }
}

type SharedState = State<Arc<Shared>>;

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: Name,
    #[serde(default)]
    after: Name,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: Name,
    after: u64,
    wait_ms: u64,
}

/// Registers all routes.
pub(super) fn configure(config: &mut ServiceConfig, shared: &Arc<Shared>) {
    config
        .state(Arc::clone(shared))
        .state(PayloadConfig::new(MAX_VALUE_BYTES))
        .service(
            web::resource("/objects/{key}*")
                .route(web::get().to(get))
                .route(web::put().to(put))
                .route(web::delete().to(delete)),
        )
        .service(web::resource("/objects").route(web::get().to(list)))
        .service(web::resource("/watch").route(web::get().to(watch_prefix)))
        .service(
            web::resource("/instances")
                .route(web::get().to(instances))
                .route(web::put().to(set_instances)),
        )
        .service(
            web::resource("/faults")
                .route(web::get().to(faults))
                .route(web::put().to(set_faults)),
        )
        .service(web::resource("/counters").route(web::get().to(counters)));
}

/// Runs a call under the faults in force.
async fn run(
    request: &HttpRequest,
    shared: &Shared,
    call: Call,
    act: impl AsyncFnOnce() -> HttpResponse,
) -> HttpResponse {
    let faults = shared.count(call);
    if faults.down {
        return close(request);
    }
    if faults.silent_watch && matches!(call, Call::Watch) {
        std::future::pending::<()>().await;
    }
    if faults.slow_ms > 0 {
        sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let response = act().await;
    let answering = shared.lock().injector.answering(call.is_write());
    match answering {
        Answering::Normal => response,
        Answering::Lost => close(request),
        Answering::Garbage => HttpResponse::Ok()
            .header("etag", "\"garbage")
            .body("\u{fffd}{]garbage"),
    }
}

fn close(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::ServiceUnavailable().finish()
}

fn refuse(status: StatusCode, message: &'static str) -> HttpResponse {
    HttpResponse::build(status).body(message)
}

fn key_of(request: &HttpRequest) -> Option<&str> {
    request.match_info().get("key").filter(|key| is_key(key))
}

fn condition_of(request: &HttpRequest) -> Option<Condition> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    if let Some(etag) = header("if-match") {
        return ObjectVersion::from_etag(etag).map(Condition::Version);
    }
    header("if-none-match")
        .filter(|value| *value == "*")
        .map(|_| Condition::Absent)
}

fn mismatch(mismatch: Mismatch) -> HttpResponse {
    let mut response = HttpResponse::PreconditionFailed();
    if let Some(version) = mismatch.current {
        response.header("etag", version.to_etag());
    }
    response.finish()
}

async fn get(request: HttpRequest, shared: SharedState) -> HttpResponse {
    run(&request, &shared, Call::Get, async || {
        let Some(key) = key_of(&request) else {
            return refuse(StatusCode::BAD_REQUEST, "invalid key");
        };
        match shared.lock().store.get(key) {
            Some(stored) => HttpResponse::Ok()
                .header("etag", stored.version.to_etag())
                .body(stored.value.to_vec()),
            None => HttpResponse::NotFound().finish(),
        }
    })
    .await
}

async fn put(request: HttpRequest, shared: SharedState, body: ntex::util::Bytes) -> HttpResponse {
    run(&request, &shared, Call::Put, async || {
        let Some(key) = key_of(&request) else {
            return refuse(StatusCode::BAD_REQUEST, "invalid key");
        };
        let Some(condition) = condition_of(&request) else {
            return refuse(
                StatusCode::PRECONDITION_REQUIRED,
                "If-Match or If-None-Match: * is required",
            );
        };
        let value = Bytes::copy_from_slice(&body);
        let result = shared.lock().store.put(key, value, condition);
        shared.announce();
        match result {
            Ok(version) => HttpResponse::Ok()
                .header("etag", version.to_etag())
                .finish(),
            Err(failed) => mismatch(failed),
        }
    })
    .await
}

async fn delete(request: HttpRequest, shared: SharedState) -> HttpResponse {
    run(&request, &shared, Call::Delete, async || {
        let Some(key) = key_of(&request) else {
            return refuse(StatusCode::BAD_REQUEST, "invalid key");
        };
        let Some(condition) = condition_of(&request) else {
            return refuse(StatusCode::PRECONDITION_REQUIRED, "If-Match is required");
        };
        let result = shared.lock().store.delete(key, condition);
        shared.announce();
        match result {
            Ok(()) => HttpResponse::NoContent().finish(),
            Err(failed) => mismatch(failed),
        }
    })
    .await
}

async fn list(request: HttpRequest, shared: SharedState, query: Query<ListQuery>) -> HttpResponse {
    run(&request, &shared, Call::List, async || {
        let listing = shared.lock().store.list(&query.prefix, &query.after);
        HttpResponse::Ok().json(&listing)
    })
    .await
}

async fn watch_prefix(
    request: HttpRequest,
    shared: SharedState,
    query: Query<WatchQuery>,
) -> HttpResponse {
    run(&request, &shared, Call::Watch, async || {
        HttpResponse::Ok().json(&wait_for_changes(&shared, &query).await)
    })
    .await
}

async fn wait_for_changes(shared: &Shared, query: &WatchQuery) -> Changes {
    let wait_us = query.wait_ms.min(MAX_WAIT_MS) * US_PER_MS;
    let deadline = shared.clock.instant(shared.clock.now_us() + wait_us);
    let mut revision = shared.revision.subscribe();
    loop {
        revision.mark_unchanged();
        let changes = shared.lock().store.changes(&query.prefix, query.after);
        if !changes.changes.is_empty() {
            return changes;
        }
        if timeout_at(deadline.into(), revision.changed())
            .await
            .is_err()
        {
            return changes;
        }
    }
}

async fn instances(request: HttpRequest, shared: SharedState) -> HttpResponse {
    run(&request, &shared, Call::Instances, async || {
        let mut inner = shared.lock();
        let lag_us = inner.injector.faults().instances_lag_ms * US_PER_MS;
        let seen_at_us = shared.clock.now_us().saturating_sub(lag_us);
        HttpResponse::Ok().json(&inner.store.instances(seen_at_us))
    })
    .await
}

async fn set_instances(
    shared: SharedState,
    list: web::types::Json<Vec<InstanceRecord>>,
) -> HttpResponse {
    let now_us = shared.clock.now_us();
    shared.lock().store.set_instances(list.into_inner(), now_us);
    HttpResponse::NoContent().finish()
}

async fn faults(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().injector.faults())
}

async fn set_faults(shared: SharedState, faults: web::types::Json<PlatformFaults>) -> HttpResponse {
    shared.lock().injector.set(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn counters(shared: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&shared.lock().counters)
}
