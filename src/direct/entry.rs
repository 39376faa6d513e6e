//! Entry process of the direct path.
//!
//! The traffic thread forwards requests. The control thread follows the object
//! store and exchanges state with other entries and with agents.

use std::{
    net::TcpListener,
    rc::Rc,
    sync::Arc, //
};

use ntex::{
    SharedCfg,
    http::{
        HttpServiceConfig,
        Request,
        Response, //
    },
    service::fn_service,
    time::Seconds, //
};
use slog::{
    Logger,
    info, //
};

use super::{
    body,
    context::Context,
    control,
    platform::Platform,
    serve,
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
        reload,
        stop, //
    },
    settings::{
        DirectEntrySettings,
        LiveSettings, //
    },
};

/// Longest time until the header section of a request is complete.
const HEADER_TIMEOUT: Seconds = Seconds(10);

/// Largest header section of a request; a prompt lists its parts there.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Idle time after which a caller's connection is closed. Longer than any caller
/// keeps an idle connection.
const CALLER_KEEP_ALIVE: Seconds = Seconds(120);

/// Time for which a stopping entry still accepts requests: the balancer removes it
/// after two failed checks, a second apart.
const STOP_LINGER_US: u64 = 2_600 * US_PER_MS;

impl Observed for Context {
    fn is_ready(&self) -> bool {
        self.platform_state.load().can_serve()
            && !self.is_leaving()
            && !self.is_outdated()
            && !self.is_isolated()
            && !self.is_traffic_stalled()
    }

    fn metrics(&self) -> String {
        let running = i64::try_from(self.running()).unwrap_or(i64::MAX);
        self.metrics.running.set(running);
        let held_bytes = i64::try_from(body::lock(&self.memory).held_bytes()).unwrap_or(i64::MAX);
        self.metrics.caller_memory_bytes.set(held_bytes);
        let quarantined = self.quarantine().quarantined_count();
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(quarantined);
        self.metrics.render()
    }
}

/// Runs an entry until a signal requests its stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when a listener cannot be opened.
pub fn run<P: Platform>(settings: LiveSettings<DirectEntrySettings>, log: &Logger) -> Result<()> {
    let addresses = settings.get();
    let caller = stop::bind(addresses.caller_address)?;
    let control_listener = stop::bind(addresses.control_address)?;
    let mut admin = vec![stop::bind(addresses.admin_address)?];
    if let Some(address) = addresses.metrics_address {
        admin.push(stop::bind(address)?);
    }
    let has_overload_control = addresses
        .overload_control
        .unwrap_or_else(|| P::uses_overload_control(&addresses.platform_features));
    let context = Arc::new(Context::new(settings, has_overload_control, log.clone()));
    info!(log, "entry listens";
        "event" => Event::Started,
        "incarnation" => %context.incarnation,
        "overload_control" => has_overload_control,
        "caller_address" => %stop::local(&caller)?,
        "control_address" => %stop::local(&control_listener)?,
        "admin_address" => %stop::local(&admin[0])?,
        "metrics_address" => addresses.metrics_address.map(|address| address.to_string()));
    let shared = Arc::clone(&context);
    lifecycle::run(
        "entry",
        log,
        (admin, Arc::clone(&context)),
        move || control::run::<P>(shared, control_listener),
        serve_callers::<P>(context, caller),
    )
}

/// Serves callers until a stop is requested, then drains.
async fn serve_callers<P: Platform>(context: Arc<Context>, caller: TcpListener) -> Result<()> {
    let http = HttpServiceConfig::new()
        .set_client_timeout(HEADER_TIMEOUT)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(CALLER_KEEP_ALIVE);
    let config = SharedCfg::new("callers").add(http);
    let shared = Arc::clone(&context);
    let max_connections = context.settings.get().max_caller_connections();
    let factory = async move |connections| {
        let worker = Worker::<P>::new(Arc::clone(&shared), connections);
        fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Ok::<Response, std::io::Error>(serve::handle(worker, request).await) }
        })
    };
    let server = http_server::start_bounded(caller, config, max_connections, factory)?;
    let settings = Arc::clone(&context.settings);
    ntex::rt::spawn(reload::follow(settings, context.log.clone()));
    stop::requested().await?;
    drain(&context).await;
    server.stop(false).await;
    Ok(())
}

/// Fails the balancer's readiness checks, and answers requests until the balancer
/// has removed this entry and the running requests have ended, at most for
/// `drain_ms`.
async fn drain(context: &Context) {
    let now_us = context.clock.now_us();
    let linger_until_us = now_us + STOP_LINGER_US;
    let drain_until_us = now_us + context.settings.get().drain_ms * US_PER_MS;
    context.leave(drain_until_us);
    let is_done = |now_us| {
        if now_us >= linger_until_us {
            // The balancer sends to a stopping entry when its data centre has too few
            // others; refusals send its callers to another entry in time.
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
