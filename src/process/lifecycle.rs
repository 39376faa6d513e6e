//! Start and graceful stop of entries and agents.

use std::{
    net::TcpListener,
    sync::Arc,
    time::Duration, //
};

use slog::{
    Logger,
    error,
    info, //
};
use tokio::sync::oneshot;

use super::{
    admin::{
        self,
        Observed, //
    },
    stop,
};
use crate::{
    clock::Clock,
    error::{
        ErrorKind,
        Report,
        Result, //
    },
    event::Event, //
};

/// Interval between checks whether a stopping process has finished its work.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the control thread, the admin listeners and the traffic of a process
/// until the traffic ends.
///
/// Without its control thread a process would keep serving with an outdated
/// configuration, so a failure or panic of that thread ends the process.
///
/// # Errors
///
/// Returns the failure of the traffic or of the control thread, and
/// [`ErrorKind::Internal`] when the control thread panics.
pub fn run<C>(
    name: &str,
    log: &Logger,
    admin: (Vec<TcpListener>, Arc<impl Observed>),
    control: impl FnOnce() -> C + Send + 'static,
    traffic: impl Future<Output = Result<()>> + 'static,
) -> Result<()>
where
    C: Future<Output = Result<()>> + 'static,
{
    let (result_sender, control_result) = oneshot::channel();
    stop::spawn_system("control", move || async move {
        // Sending fails only when the process is ending already.
        let _ = result_sender.send(control().await);
    })?;
    let log = log.clone();
    let system = ntex::rt::System::new(name, ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let (listeners, observed) = admin;
        for listener in listeners {
            ntex::rt::spawn(admin::keep_serving(
                listener,
                Arc::clone(&observed),
                log.clone(),
            ));
        }
        tokio::select! {
            result = traffic => result,
            report = wait_for_control_failure(control_result) => {
                error!(log, "control thread failed";
                    "event" => Event::Fatal, "error" => ?report);
                Err(report)
            }
        }
    })
}

/// Waits until the control thread fails or panics. Never returns when it ends
/// without an error.
async fn wait_for_control_failure(receiver: oneshot::Receiver<Result<()>>) -> Report {
    match receiver.await {
        Ok(Ok(())) => std::future::pending().await,
        Ok(Err(report)) => report,
        Err(_) => Report::new(ErrorKind::Internal).attach("the control thread has panicked"),
    }
}

/// Waits until a stopping process has finished its work, at most until the drain
/// deadline. `is_done` receives the current time in microseconds.
pub(crate) async fn drain(
    name: &str,
    log: &Logger,
    clock: Clock,
    drain_until_us: u64,
    is_done: impl Fn(u64) -> bool,
) {
    info!(log, "{name} is stopping";
        "event" => Event::Stopping, "drain_until_us" => drain_until_us);
    loop {
        let now_us = clock.now_us();
        if now_us >= drain_until_us || is_done(now_us) {
            break;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    info!(log, "{name} has stopped"; "event" => Event::Stopped);
}
