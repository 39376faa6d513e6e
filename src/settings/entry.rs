//! Settings of `yuccalatch-entry`.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Finding, Settings,
    shared::{
        Checker,
        LogSettings,
        default_drain_ms,
        default_idempotency_window_ms, //
    },
};
use crate::names::Name;

/// Settings of `yuccalatch-entry`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the instance, unique in the fleet.
    pub name: Name,
    /// Data centre that the instance stands in.
    pub data_centre: Name,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Listener for other processes of the system.
    pub control_address: SocketAddr,
    /// Listener for health checks and metrics.
    pub admin_address: SocketAddr,
    /// The object API.
    pub platform_address: SocketAddr,
    /// Control addresses of entries and agents to ask for the configuration.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Threads that carry requests.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Longest time that a graceful stop waits for requests.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Largest request body.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Longest time until a request body is complete.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Time for which an idempotency key is remembered, equal on all instances.
    #[serde(default = "default_idempotency_window_ms")]
    pub idempotency_window_ms: u64,
    /// Names of all entries of the fleet, equal on all of them; needed for
    /// ledgers without the object API.
    #[serde(default)]
    pub entry_slots: Vec<Name>,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_traffic_threads() -> usize {
    2
}

const fn default_body_limit_bytes() -> usize {
    8 << 20
}

const fn default_body_timeout_ms() -> u64 {
    10_000
}

impl Settings for EntrySettings {
    const DEFAULT_TEXT: &'static str = r#"{
  // Name of the instance, unique in the fleet.
  "name": "entry-1",
  // Data centre that the instance stands in.
  "data_centre": "dc-1",
  // Listener for callers.
  "caller_address": "127.0.0.1:8080",
  // Listener for other processes of the system.
  "control_address": "127.0.0.1:7100",
  // Listener for /healthz, /readyz and /metrics.
  "admin_address": "127.0.0.1:9100",
  // The object API.
  "platform_address": "127.0.0.1:7400",
  // Control addresses of entries and agents that can supply the configuration
  // while the object API is down.
  "peers": [],
  // Threads that carry requests.
  "traffic_threads": 2,
  // Longest time that a graceful stop waits for requests, in milliseconds.
  "drain_ms": 30000,
  // Largest request body, in bytes.
  "body_limit_bytes": 8388608,
  // Longest time until a request body is complete, in milliseconds.
  "body_timeout_ms": 10000,
  // Time for which an idempotency key is remembered, in milliseconds; equal on
  // all instances.
  "idempotency_window_ms": 600000,
  // Names of all entries of the fleet, equal on all entries. With it, limits
  // are shared again when all entries restart while the object API is down.
  // Add a name on all entries before that entry starts; remove a name only
  // after that entry has stopped. Empty: no ledger without the object API.
  "entry_slots": [],
  // "format" is "terminal" or "json"; "level" is "critical", "error",
  // "warning", "info", "debug" or "trace".
  "log": {"format": "terminal", "level": "info"}
}
"#;

    fn check(&self) -> Vec<Finding> {
        let mut checker = Checker::default();
        let addresses = [
            ("caller_address", self.caller_address),
            ("control_address", self.control_address),
            ("admin_address", self.admin_address),
            ("platform_address", self.platform_address),
        ];
        checker.instance(&self.name, &self.data_centre, &addresses);
        checker.slots("entry_slots", &self.entry_slots, &self.name);
        checker.count(
            &["traffic_threads"],
            self.traffic_threads,
            (1, 256),
            "use one thread for each core",
        );
        checker.duration_ms(&["drain_ms"], self.drain_ms, 0);
        checker.count(
            &["body_limit_bytes"],
            self.body_limit_bytes,
            (1 << 10, 1 << 30),
            "state bytes",
        );
        checker.duration_ms(&["body_timeout_ms"], self.body_timeout_ms, 10);
        checker.duration_ms(&["idempotency_window_ms"], self.idempotency_window_ms, 0);
        checker.finish()
    }
}
