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
};

use ntex::web::App;
use slog::{
    Logger,
    info, //
};
use tokio::sync::mpsc;

use self::{
    context::Context,
    traffic::Traffic, //
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
    settings::AgentSettings, //
};

pub use server::BarAnswer;

/// Answers that wait for the control thread; more are dropped.
const ANSWERED_CAPACITY: usize = 1_024;

/// Questions about cached blocks that wait for the control thread; more prompts
/// are computed without an import.
const QUESTIONS_CAPACITY: usize = 256;

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
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when a listener cannot be opened.
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
    lifecycle::run(
        "agent",
        log,
        (vec![admin], Arc::clone(&context)),
        move || control::run(shared, control, answered, questions),
        serve(context, data),
    )
}

async fn serve(context: Arc<Context>, data: TcpListener) -> Result<()> {
    let shared = Arc::clone(&context);
    let config = http_server::config("attempts");
    let server = http_server::start(data, config, 1, async move || {
        let traffic = Traffic::new(Arc::clone(&shared)).await;
        // Without a client the agent cannot serve at all.
        let traffic = traffic.expect("the HTTP client is built");
        App::new().state(traffic).configure(server::configure)
    })?;
    stop::requested().await?;
    drain(&context).await;
    server.stop(true).await;
    Ok(())
}

/// Refuses new work and waits for the attempts that are running.
async fn drain(context: &Context) {
    context.leave();
    let now_us = context.clock.now_us();
    let drain_us = context.settings.drain_ms * US_PER_MS;
    let linger_until_us = now_us + stop::LINGER_US.min(drain_us);
    let announce_until_us = linger_until_us + stop::LINGER_US;
    let is_done = |now_us| {
        let is_announced = context.stop.is_announced() || now_us >= announce_until_us;
        let queued = context.load.queued.load(Ordering::Relaxed);
        let running = context.load.running.load(Ordering::Relaxed);
        let undelivered = context.load.undelivered.load(Ordering::Relaxed);
        let is_idle = queued + running + undelivered == 0;
        is_idle && is_announced && now_us >= linger_until_us
    };
    let drain_until_us = now_us + drain_us;
    lifecycle::drain(
        "agent",
        &context.log,
        context.clock,
        drain_until_us,
        is_done,
    )
    .await;
}
