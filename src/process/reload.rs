//! Reloads the settings of a running process.

use std::{
    sync::Arc,
    time::Duration, //
};

use slog::{
    Logger,
    info,
    warn, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::{
    event::Event,
    settings::{
        LiveSettings,
        Settings, //
    },
};

/// Interval at which the settings file is read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings after SIGHUP and at regular intervals, until the process
/// ends. Addresses and names take effect only at the next start.
pub(crate) async fn follow<S>(settings: Arc<LiveSettings<S>>, log: Logger)
where
    S: PartialEq + Settings,
{
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => Some(hangups),
        Err(error) => {
            warn!(log, "cannot handle SIGHUP; settings are still reloaded at regular intervals";
                "event" => Event::SettingsKept, "error" => %error);
            None
        }
    };
    let mut last_error = None;
    loop {
        let is_signalled = tokio::select! {
            Some(()) = async { hangups.as_mut()?.recv().await } => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let result = settings.reload();
        match &result {
            Ok(true) => info!(log, "settings have changed and were reloaded";
                "event" => Event::SettingsReloaded, "after_signal" => is_signalled),
            Ok(false) if is_signalled => info!(log, "settings are unchanged after SIGHUP";
                "event" => Event::SettingsKept),
            Ok(false) => {}
            Err(report) => {
                let error = format!("{report:?}");
                if is_signalled || last_error.as_ref() != Some(&error) {
                    warn!(log, "cannot reload the settings; the current ones stay in force";
                        "event" => Event::SettingsKept, "error" => &error);
                }
                last_error = Some(error);
                continue;
            }
        }
        last_error = None;
    }
}
