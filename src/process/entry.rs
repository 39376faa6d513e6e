//! The entry process: everything between callers and agents.

mod admission;
mod answer;
mod attempt;
mod context;
mod control;
mod forward;
mod moves;
mod probe;
mod request;
mod server;
mod unreadable;
mod worker;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use ntex::{
    SharedCfg,
    http::HttpServiceConfig,
    time::Seconds,
    web::App, //
};
use slog::{
    Logger,
    info, //
};
use tokio::sync::mpsc;

use self::{
    context::Context,
    worker::Worker, //
};
use crate::{
    clock::US_PER_MS,
    error::Result,
    event::Event,
    process::{
        admin::Observed,
        http_server,
        lifecycle,
        stop, //
    },
    settings::EntrySettings, //
};

/// Longest time until a header section is complete.
const HEADER_TIMEOUT: Seconds = Seconds(5);

/// Largest header section. Together with the head of an attempt it fits into the
/// 64 KiB that agents accept.
const MAX_HEADER_BYTES: usize = 32 << 10;

/// Requests with idempotency keys that wait for the control thread.
const RECORD_CAPACITY: usize = 1_024;

/// Answers whose evidence waits for the control thread; more are not counted.
const SAMPLE_CAPACITY: usize = 4_096;

impl Observed for Context {
    fn is_ready(&self) -> bool {
        self.can_serve() && !self.targets.load().is_empty() && !self.is_leaving()
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when a listener cannot be opened.
pub fn run(settings: EntrySettings, log: &Logger) -> Result<()> {
    let caller = stop::bind(settings.caller_address)?;
    let control = stop::bind(settings.control_address)?;
    let admin = stop::bind(settings.admin_address)?;
    let (records, record_requests) = mpsc::channel(RECORD_CAPACITY);
    let (samples, sample_inbox) = mpsc::channel(SAMPLE_CAPACITY);
    let context = Arc::new(Context::new(settings, log.clone(), records, samples));
    info!(log, "entry listens";
        "event" => Event::Started,
        "incarnation" => %context.incarnation,
        "caller_address" => %stop::local(&caller)?,
        "control_address" => %stop::local(&control)?,
        "admin_address" => %stop::local(&admin)?);
    let shared = Arc::clone(&context);
    lifecycle::run(
        "entry",
        log,
        (vec![admin], Arc::clone(&context)),
        move || control::run(shared, control, record_requests, sample_inbox),
        serve(context, caller),
    )
}

async fn serve(context: Arc<Context>, caller: TcpListener) -> Result<()> {
    let shared = Arc::clone(&context);
    let http = HttpServiceConfig::new()
        .set_client_timeout(HEADER_TIMEOUT)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(Seconds(60));
    let config = SharedCfg::new("callers").add(http);
    let threads = context.settings.traffic_threads;
    let application = async move || {
        let worker = Worker::new(Arc::clone(&shared)).await;
        // Without a client the entry cannot serve at all.
        let worker = worker.expect("the HTTP clients are built");
        App::new().state(worker).configure(server::configure)
    };
    let server = http_server::start_with_error_answers(
        caller,
        config,
        threads,
        application,
        unreadable::answer,
    )?;
    stop::requested().await?;
    drain(&context).await;
    server.stop(true).await;
    Ok(())
}

/// Refuses new work and waits for the requests that are running.
async fn drain(context: &Context) {
    context.leave();
    let now_us = context.clock.now_us();
    let linger_until_us = now_us + stop::LINGER_US;
    let is_done = |now_us| {
        let is_handed_over = context.stop.is_announced() && context.are_shares_released();
        let may_exit = is_handed_over || now_us >= linger_until_us;
        context.running.load(Ordering::Relaxed) == 0 && may_exit
    };
    let drain_until_us = now_us + context.settings.drain_ms * US_PER_MS;
    lifecycle::drain(
        "entry",
        &context.log,
        context.clock,
        drain_until_us,
        is_done,
    )
    .await;
}
