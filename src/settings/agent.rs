//! Settings of `yuccalatch-agent`.

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
use crate::{
    names::Name,
    version::config::ServiceKind, //
};

/// Limits of the fair queue.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Requests that wait.
    pub max_requests: usize,
    /// Tokens of the requests that wait.
    pub max_tokens: u64,
    /// Requests that run on the target at the same time.
    pub max_running: usize,
    /// Longest time that a request waits.
    pub max_wait_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_requests: 256,
            max_tokens: 4_000_000,
            max_running: 64,
            max_wait_ms: 10_000,
        }
    }
}

/// Settings of `yuccalatch-agent`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the target in the configuration.
    pub name: Name,
    /// Data centre that the target stands in.
    pub data_centre: Name,
    /// Listener for attempts.
    pub data_address: SocketAddr,
    /// Listener for other processes of the system.
    pub control_address: SocketAddr,
    /// Listener for health checks and metrics.
    pub admin_address: SocketAddr,
    /// The target.
    pub target_address: SocketAddr,
    /// What the target is.
    pub target_kind: ServiceKind,
    /// Whether the target itself refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The object API.
    pub platform_address: SocketAddr,
    /// The KV cache store; without it nothing is imported or exported.
    #[serde(default)]
    pub kv_store_address: Option<SocketAddr>,
    /// Control addresses of entries and agents to ask for the configuration.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Limits of the fair queue.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Time for which an idempotency key is remembered, equal on all instances.
    #[serde(default = "default_idempotency_window_ms")]
    pub idempotency_window_ms: u64,
    /// Longest time that a graceful stop waits for requests.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings for AgentSettings {
    const DEFAULT_TEXT: &'static str = r#"{
  // Name of the target in the configuration.
  "name": "target-1",
  // Data centre that the target stands in.
  "data_centre": "dc-1",
  // Listener for attempts.
  "data_address": "127.0.0.1:7001",
  // Listener for other processes of the system.
  "control_address": "127.0.0.1:7002",
  // Listener for /healthz, /readyz and /metrics.
  "admin_address": "127.0.0.1:9101",
  // The target.
  "target_address": "127.0.0.1:8001",
  // "model" for an engine, "plain" for any other server.
  "target_kind": "model",
  // Whether the target itself refuses orders with an old fencing number. The
  // agent refuses them in either case.
  "checks_fencing": false,
  // The object API.
  "platform_address": "127.0.0.1:7400",
  // The KV cache store that the engine imports from and exports to, such as
  // "127.0.0.1:7500"; null for none.
  "kv_store_address": null,
  // Control addresses of entries and agents that can supply the configuration
  // while the object API is down.
  "peers": [],
  // Limits of the fair queue: requests and tokens that wait, requests that run
  // at the same time, and the longest wait in milliseconds.
  "queue": {"max_requests": 256, "max_tokens": 4000000, "max_running": 64, "max_wait_ms": 10000},
  // Longest time that a graceful stop waits for requests, in milliseconds.
  "drain_ms": 30000,
  // Time for which an idempotency key is remembered, in milliseconds; equal on
  // all instances.
  "idempotency_window_ms": 600000,
  // "format" is "terminal" or "json"; "level" is "critical", "error",
  // "warning", "info", "debug" or "trace".
  "log": {"format": "terminal", "level": "info"}
}
"#;

    fn check(&self) -> Vec<Finding> {
        let mut checker = Checker::default();
        let mut addresses = vec![
            ("data_address", self.data_address),
            ("control_address", self.control_address),
            ("admin_address", self.admin_address),
            ("target_address", self.target_address),
            ("platform_address", self.platform_address),
        ];
        let kv_store = self
            .kv_store_address
            .map(|address| ("kv_store_address", address));
        addresses.extend(kv_store);
        checker.instance(&self.name, &self.data_centre, &addresses);
        checker.count(
            &["queue", "max_requests"],
            self.queue.max_requests,
            (1, 1 << 20),
            "state a number of requests",
        );
        checker.range(
            &["queue", "max_tokens"],
            self.queue.max_tokens,
            (1, 1 << 40),
            "state tokens",
        );
        checker.count(
            &["queue", "max_running"],
            self.queue.max_running,
            (1, 1 << 20),
            "state a number of requests",
        );
        checker.duration_ms(&["queue", "max_wait_ms"], self.queue.max_wait_ms, 1);
        checker.duration_ms(&["drain_ms"], self.drain_ms, 0);
        checker.duration_ms(&["idempotency_window_ms"], self.idempotency_window_ms, 0);
        checker.finish()
    }
}
