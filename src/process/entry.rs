//! The entry process: everything between callers and agents.

mod admission;
mod answer;
mod attempt;
mod connections;
mod context;
mod control;
mod forward;
mod moves;
mod probe;
mod request;
mod server;
mod worker;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use error_stack::ResultExt;
use ntex::{
    http::HttpServiceConfig,
    time::Seconds,
    web::{
        self,
        App, //
    },
};
use slog::{
    Logger,
    error,
    info, //
};

use tokio::sync::mpsc;

use self::{
    context::Context,
    worker::Worker, //
};
use crate::{
    clock::US_PER_MS,
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    process::{
        admin::{
            self,
            Observed, //
        },
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

/// Interval between checks whether the last request has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

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
/// Returns [`ErrorKind::Io`] when a listener cannot be opened.
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
    stop::spawn_system("control", move || async move {
        if let Err(report) =
            control::run(Arc::clone(&shared), control, record_requests, sample_inbox).await
        {
            error!(shared.log, "control thread failed";
                "event" => Event::Fatal, "error" => ?report);
        }
    })?;
    let system = ntex::rt::System::new("entry", ntex::rt::DefaultRuntime);
    system.block_on(serve(context, caller, admin))
}

async fn serve(context: Arc<Context>, caller: TcpListener, admin: TcpListener) -> Result<()> {
    let observed = Arc::clone(&context);
    ntex::rt::spawn(async move {
        // A failure shows as a missing admin listener, not as lost traffic.
        let _ = admin::serve(admin, observed).await;
    });
    let shared = Arc::clone(&context);
    let http = HttpServiceConfig::new()
        .set_client_timeout(HEADER_TIMEOUT)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(Seconds(60));
    let server = web::HttpServer::new(async move || {
        let worker = Worker::new(Arc::clone(&shared)).await;
        // Without a client the entry cannot serve at all.
        let worker = worker.expect("the HTTP clients are built");
        App::new().state(worker).configure(server::configure)
    })
    .workers(context.settings.traffic_threads)
    .disable_signals()
    .shutdown_timeout(Seconds(1))
    .config(ntex::SharedCfg::new("callers").add(http))
    .listen(caller)
    .change_context(ErrorKind::Io)?
    .run();
    stop::requested().await?;
    drain(&context).await;
    server.stop(true).await;
    Ok(())
}

/// Refuses new work and waits for the requests that are running.
async fn drain(context: &Context) {
    context.leave();
    let drain_us = context.settings.drain_ms * US_PER_MS;
    let drain_until_us = context.clock.now_us() + drain_us;
    info!(context.log, "entry stops";
        "event" => Event::Stopping, "drain_until_us" => drain_until_us);
    let linger_until_us = context.clock.now_us() + stop::LINGER_US;
    while context.clock.now_us() < drain_until_us {
        let is_lingering = context.clock.now_us() < linger_until_us;
        let is_told = context.is_announced() && context.are_shares_released();
        let is_told = is_told || !is_lingering;
        if context.running.load(Ordering::Relaxed) == 0 && is_told {
            break;
        }
        tokio::time::sleep(DRAIN_CHECK).await;
    }
    info!(context.log, "entry has stopped"; "event" => Event::Stopped);
}
