//! Health, readiness and metrics, on a listener of their own.

use std::{
    net::TcpListener,
    rc::Rc,
    sync::Arc, //
};

use error_stack::ResultExt;
use ntex::{
    SharedCfg,
    web::{
        self,
        App,
        HttpResponse, //
    },
};

use slog::{
    Logger,
    error,
    warn, //
};

use super::{
    connections::Connections,
    http_server, //
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    event::Event, //
};

/// Most connections of a listener. The load balancer and collectors open a few; above
/// them, the oldest is closed.
const MAX_CONNECTIONS: usize = 128;

/// State of a process that the admin listener serves.
pub trait Observed: Send + Sync + 'static {
    /// Returns whether the load balancer may send work to this process.
    fn is_ready(&self) -> bool;

    /// Returns all metrics as OpenMetrics text.
    fn metrics(&self) -> String;
}

/// Serves `/healthz`, `/ready` (also as `/readyz`) and `/metrics` until the process ends.
/// No body is read: the HTTP server closes the connection of a request that has one.
async fn serve<O: Observed>(listener: TcpListener, observed: Arc<O>, log: Logger) -> Result<()> {
    let config = SharedCfg::default();
    let factory = async move |connections: Rc<Connections>| {
        let log = log.clone();
        ntex::rt::spawn(Rc::clone(&connections).watch(|| false));
        ntex::rt::spawn(connections.enforce_limits(move |closed| {
            warn!(log, "connections were closed to keep the limits";
                "event" => Event::CallersClosed,
                "listener" => "admin",
                "surplus" => closed.surplus,
                "unread" => closed.unread);
        }));
        App::new()
            .state(Arc::clone(&observed))
            .route("/healthz", web::get().to(healthy))
            .route("/ready", web::get().to(ready::<O>))
            .route("/readyz", web::get().to(ready::<O>))
            .route("/metrics", web::get().to(metrics::<O>))
    };
    let server = http_server::start_bounded(listener, config, MAX_CONNECTIONS, factory)?;
    server.await.change_context(ErrorKind::Io)
}

/// Serves `/healthz`, `/ready` (also as `/readyz`) and `/metrics` and logs a failure, which does not affect the traffic
/// of the process.
pub(crate) async fn keep_serving<O: Observed>(
    listener: TcpListener,
    observed: Arc<O>,
    log: Logger,
) {
    if let Err(report) = serve(listener, observed, log.clone()).await {
        error!(log, "admin listener failed; health and metrics are no longer served";
            "event" => Event::Fatal, "error" => ?report);
    }
}

async fn healthy() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready<O: Observed>(observed: web::types::State<Arc<O>>) -> HttpResponse {
    if observed.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics<O: Observed>(observed: web::types::State<Arc<O>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(observed.metrics())
}
