//! Release of a plain server, which takes no orders and does not report.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::net::TcpStream;

use super::Control;

/// Interval between attempts to connect.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Bound for one attempt.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Control {
    /// Reports the configured version for as long as the server accepts
    /// connections. No request is sent, because every path belongs to callers.
    pub(super) async fn watch_plain(self: Rc<Self>) {
        let address = self.context.settings.target_address;
        loop {
            let connecting = TcpStream::connect(address);
            let connected = tokio::time::timeout(CHECK_TIMEOUT, connecting).await;
            let is_up = matches!(connected, Ok(Ok(_)));
            let version = self.configured_version().filter(|_| is_up);
            let versions: Vec<String> = version.into_iter().collect();
            if versions != self.context.versions() {
                self.context.set_versions(versions);
                self.context.changed.notify_one();
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn configured_version(&self) -> Option<String> {
        let config = self.config.borrow();
        let key = config.target_by_name(&self.context.settings.name)?;
        let entry = config.target(key)?;
        Some(entry.target.version.to_string())
    }
}
