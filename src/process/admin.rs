//! Health, readiness and metrics, on a listener of their own.

use std::{
    net::TcpListener,
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
    error, //
};

use super::http_server;
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    event::Event, //
};

/// State of a process that the admin listener serves.
pub trait Observed: Send + Sync + 'static {
    /// Returns whether the load balancer may send work to this process.
    fn is_ready(&self) -> bool;

    /// Returns all metrics as OpenMetrics text.
    fn metrics(&self) -> String;
}

/// Serves `/healthz`, `/ready` (also as `/readyz`) and `/metrics` until the process ends.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
pub async fn serve<O: Observed>(listener: TcpListener, observed: Arc<O>) -> Result<()> {
    let server = http_server::start(listener, SharedCfg::default(), 1, async move || {
        App::new()
            .state(Arc::clone(&observed))
            .route("/healthz", web::get().to(healthy))
            .route("/ready", web::get().to(ready::<O>))
            .route("/readyz", web::get().to(ready::<O>))
            .route("/metrics", web::get().to(metrics::<O>))
    })?;
    server.await.change_context(ErrorKind::Io)
}

/// Serves as [`serve`] does and logs a failure, which does not affect the traffic
/// of the process.
pub(crate) async fn keep_serving<O: Observed>(
    listener: TcpListener,
    observed: Arc<O>,
    log: Logger,
) {
    if let Err(report) = serve(listener, observed).await {
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
