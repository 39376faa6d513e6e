//! The agent process: the only path to its target.

mod context;
mod control;
mod keyed;
mod kv_store;
mod output;
mod runner;
mod server;
mod traffic;

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
    traffic::Traffic, //
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
        client,
        stop, //
    },
    settings::AgentSettings, //
};

pub use server::BarAnswer;

/// Answers that wait for the control thread; more are dropped.
const ANSWERED_CAPACITY: usize = 1_024;

/// Questions about cached blocks that wait for the control thread; more prompts
/// are computed without an import.
const QUESTIONS_CAPACITY: usize = 256;

/// Interval between checks whether the last attempt has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

impl Observed for Context {
    fn is_ready(&self) -> bool {
        !self.is_leaving()
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when a listener cannot be opened.
pub fn run(settings: AgentSettings, log: &Logger) -> Result<()> {
    let data = stop::bind(settings.data_address)?;
    let control = stop::bind(settings.control_address)?;
    let admin = stop::bind(settings.admin_address)?;
    let (sender, answered) = mpsc::channel(ANSWERED_CAPACITY);
    let (asker, questions) = mpsc::channel(QUESTIONS_CAPACITY);
    let context = Arc::new(Context::new(settings, log.clone(), sender, asker));
    info!(log, "agent listens";
        "event" => Event::Started,
        "incarnation" => %context.incarnation,
        "data_address" => %stop::local(&data)?,
        "control_address" => %stop::local(&control)?,
        "admin_address" => %stop::local(&admin)?);
    let shared = Arc::clone(&context);
    stop::spawn_system("control", move || async move {
        let served = control::run(Arc::clone(&shared), control, answered, questions).await;
        if let Err(report) = served {
            error!(shared.log, "control thread failed";
                "event" => Event::Fatal, "error" => ?report);
        }
    })?;
    let system = ntex::rt::System::new("agent", ntex::rt::DefaultRuntime);
    system.block_on(serve(context, data, admin))
}

async fn serve(context: Arc<Context>, data: TcpListener, admin: TcpListener) -> Result<()> {
    let observed = Arc::clone(&context);
    ntex::rt::spawn(async move {
        // A failure shows as a missing admin listener, not as lost traffic.
        let _ = admin::serve(admin, observed).await;
    });
    let shared = Arc::clone(&context);
    let server = web::HttpServer::new(async move || {
        let traffic = Traffic::new(Arc::clone(&shared)).await;
        // Without a client the agent cannot serve at all.
        let traffic = traffic.expect("the HTTP client is built");
        App::new().state(traffic).configure(server::configure)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(Seconds(1))
    .config(client::server_config("attempts"))
    .listen(data)
    .change_context(ErrorKind::Io)?
    .run();
    stop::requested().await?;
    drain(&context).await;
    server.stop(true).await;
    Ok(())
}

/// Refuses new work and waits for the attempts that are running.
async fn drain(context: &Context) {
    context.leave();
    let drain_us = context.settings.drain_ms * US_PER_MS;
    let drain_until_us = context.clock.now_us() + drain_us;
    info!(context.log, "agent stops";
        "event" => Event::Stopping, "drain_until_us" => drain_until_us);
    let linger_until_us = context.clock.now_us() + stop::LINGER_US.min(drain_us);
    let announce_until_us = linger_until_us + stop::LINGER_US;
    while context.clock.now_us() < drain_until_us {
        let now_us = context.clock.now_us();
        let is_told = context.is_announced() || now_us >= announce_until_us;
        let queued = context.load.queued.load(Ordering::Relaxed);
        let running = context.load.running.load(Ordering::Relaxed);
        let undelivered = context.load.undelivered.load(Ordering::Relaxed);
        let is_idle = queued + running + undelivered == 0;
        if is_idle && is_told && now_us >= linger_until_us {
            break;
        }
        tokio::time::sleep(DRAIN_CHECK).await;
    }
    info!(context.log, "agent has stopped"; "event" => Event::Stopped);
}
