//! Settings of the entry and agent programs of the direct path.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DefaultOnNull,
    serde_as, //
};

use super::{
    Finding, Settings,
    shared::{
        Checker,
        Floor,
        LogSettings,
        Seconds,
        Thousandths, //
    },
};
use crate::names::Name;

/// Settings of an entry that sends requests to the targets without agents between.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectEntrySettings {
    /// Name of the instance, unique in the fleet.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Listener for other entries and agents.
    pub control_address: SocketAddr,
    /// Listener for the balancer's readiness checks and for metrics.
    pub admin_address: SocketAddr,
    /// Second listener for metrics, for a collector that does not know
    /// `admin_address`.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The object store.
    pub platform_address: SocketAddr,
    /// Control addresses of entries to ask besides the registered ones, for example
    /// after a start while the object store does not answer.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Longest time that a graceful stop waits for running requests.
    pub drain_ms: u64,
    /// Retries allowed for each thousand requests of a service.
    pub retries_per_thousand: u32,
    /// Retries of a service that the whole fleet may make in a retry window in
    /// addition to `retries_per_thousand`. A fraction is dropped.
    #[serde_as(as = "Floor")]
    pub spare_retries: u32,
    /// Length of the window in which `spare_retries` are allowed, written in seconds.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "Seconds")]
    pub retry_window_ms: u64,
    /// Tokens by which an organisation may exceed its burst before it is refused.
    pub quota_tolerance_tokens: u64,
    /// Time after new weights were requested in which requests may still start on
    /// engines with older ones.
    pub old_weights_ms: u64,
    /// Time within which a configuration has to be in force.
    #[serde(default = "default_apply_ms")]
    #[serde_as(as = "Floor")]
    pub apply_ms: u64,
    /// Optional features of the platform that are in force, by the platform's names.
    #[serde(default)]
    pub platform_features: Vec<Name>,
    /// Whether the entry decides which requests go first when targets are short of
    /// capacity; `None` when `platform_features` decide that.
    #[serde(default)]
    pub overload_control: Option<bool>,
    /// Memory of the machine in MB, from which the budget for request bodies and buffered
    /// answers is derived; 0 when the machine states no limit.
    #[serde(default)]
    #[serde_as(as = "Floor")]
    pub memory_mb: u64,
    /// Longest time for which a request body may arrive without a further byte.
    #[serde(default = "default_body_progress_ms")]
    pub body_progress_ms: u64,
    /// Most connections of callers that are open at once; 0 for two thirds of
    /// `max_descriptors`.
    #[serde(default)]
    pub max_connections: u32,
    /// Region of each data centre.
    #[serde(default)]
    #[serde_as(as = "DefaultOnNull")]
    pub regions: BTreeMap<Name, Name>,
    /// Factor by which requests to a cold target may exceed the rate that it tolerates, in
    /// any one second over all entries.
    #[serde(default = "default_cold_over", rename = "cold_over")]
    #[serde_as(as = "Thousandths")]
    pub cold_over_permille: u64,
    /// Requests in addition to `cold_over`. A fraction is dropped.
    #[serde(default = "default_cold_slack")]
    #[serde_as(as = "Floor")]
    pub cold_slack: u32,
    /// Descriptors that the machine allows the process; 0 when it states no limit.
    #[serde(default)]
    #[serde_as(as = "Floor")]
    pub max_descriptors: u32,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_apply_ms() -> u64 {
    2_000
}

const fn default_body_progress_ms() -> u64 {
    10_000
}

/// Default of `cold_over`, as deployments with cold targets state it.
const fn default_cold_over() -> u64 {
    1_500
}

/// Default of `cold_slack`, as deployments with cold targets state it.
const fn default_cold_slack() -> u32 {
    5
}

impl DirectEntrySettings {
    /// Returns the most connections of callers that are open at once, 0 for no limit. A
    /// third of the descriptors is kept for targets, control, checks and the store.
    ///
    /// ```
    /// use yuccalatch::settings::{DirectEntrySettings, default_text, parse};
    ///
    /// let text = default_text::<DirectEntrySettings>();
    /// let mut settings: DirectEntrySettings = parse("entry.json", text).unwrap();
    /// assert_eq!(settings.max_caller_connections(), 0);
    /// settings.max_descriptors = 3_075;
    /// assert_eq!(settings.max_caller_connections(), 2_050);
    /// ```
    pub fn max_caller_connections(&self) -> usize {
        let connections = match self.max_connections {
            0 => self.max_descriptors / 3 * 2,
            stated => stated,
        };
        connections as usize
    }
}

impl Settings for DirectEntrySettings {
    const DEFAULT_TEXT: &'static str = r#"{
  // Name of the instance, unique in the fleet.
  "name": "entry-1",
  // Data centre of the instance.
  "data_centre": "dc-1",
  // Listener for callers.
  "caller_address": "127.0.0.1:8080",
  // Listener for other entries and agents.
  "control_address": "127.0.0.1:7100",
  // Listener for /ready and /metrics.
  "admin_address": "127.0.0.1:9100",
  // Second listener for /metrics, or null.
  "metrics_address": null,
  // The object store.
  "platform_address": "127.0.0.1:7400",
  // Control addresses of entries to ask besides the registered ones, for example
  // after a start while the object store does not answer.
  "peers": [],
  // Longest time that a graceful stop waits for running requests, in
  // milliseconds.
  "drain_ms": 7000,
  // Retries allowed for each thousand requests of a service.
  "retries_per_thousand": 100,
  // Retries of a service that the whole fleet may make in a retry window in
  // addition to "retries_per_thousand".
  "spare_retries": 50,
  // Length of the window in which "spare_retries" are allowed, in seconds.
  "retry_window_s": 10,
  // Tokens by which an organisation may exceed its burst before it is refused.
  "quota_tolerance_tokens": 0,
  // Time after new weights were requested in which requests may still start on
  // engines with older ones, in milliseconds.
  "old_weights_ms": 6000,
  // Time within which a configuration has to be in force, in milliseconds. An entry that
  // knows of a later one for almost as long refuses requests.
  "apply_ms": 2000,
  // Optional features of the platform that are in force, by the platform's names.
  "platform_features": [],
  // Whether the entry decides which requests go first when targets are short of
  // capacity, or null for what "platform_features" say.
  "overload_control": null,
  // Memory of the machine in MB, from which the budget for request bodies and buffered
  // answers is derived, or 0 when the machine states no limit.
  "memory_mb": 0,
  // Longest time for which a request body may arrive without a further byte, in
  // milliseconds.
  "body_progress_ms": 10000,
  // Most connections of callers that are open at once, or 0 for two thirds of
  // "max_descriptors".
  "max_connections": 0,
  // Region of each data centre.
  "regions": {},
  // Factor by which requests to a cold target may exceed the rate that it
  // tolerates, in any one second over all entries.
  "cold_over": 1.5,
  // Requests in addition to "cold_over".
  "cold_slack": 5,
  // Descriptors that the machine allows the process, or 0 when it states no limit.
  "max_descriptors": 0,
  // "format" is "terminal" or "json"; "level" is "critical", "error",
  // "warning", "info", "debug" or "trace".
  "log": {"format": "json", "level": "info"}
}
"#;

    fn check(&self) -> Vec<Finding> {
        let mut checker = Checker::default();
        let mut addresses = vec![
            ("caller_address", self.caller_address),
            ("control_address", self.control_address),
            ("admin_address", self.admin_address),
        ];
        addresses.extend(self.metrics_address.map(|each| ("metrics_address", each)));
        checker.instance(&self.name, &self.data_centre, &addresses);
        checker.duration_ms(&["drain_ms"], self.drain_ms, 0);
        checker.duration_ms(&["retry_window_s"], self.retry_window_ms, 100);
        checker.duration_ms(&["old_weights_ms"], self.old_weights_ms, 0);
        checker.duration_ms(&["apply_ms"], self.apply_ms, 1_000);
        checker.duration_ms(&["body_progress_ms"], self.body_progress_ms, 100);
        checker.range(
            &["retries_per_thousand"],
            u64::from(self.retries_per_thousand),
            (0, 1_000),
            "state retries for each thousand requests",
        );
        checker.finish()
    }
}

/// Settings of an agent that orders its engine to load weights and carries no
/// requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectAgentSettings {
    /// Name of the instance, unique in the fleet.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// The engine.
    pub target_address: SocketAddr,
    /// Listener for /healthz, /ready and /metrics.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The object store.
    pub platform_address: SocketAddr,
    /// Control addresses of entries to ask first, also while the store does not
    /// answer; their answers list the other entries.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings for DirectAgentSettings {
    const DEFAULT_TEXT: &'static str = r#"{
  // Name of the instance, unique in the fleet.
  "name": "agent-1",
  // Data centre of the instance.
  "data_centre": "dc-1",
  // The engine.
  "target_address": "127.0.0.1:8000",
  // Listener for /healthz, /ready and /metrics, or null.
  "metrics_address": null,
  // The object store.
  "platform_address": "127.0.0.1:7400",
  // Control addresses of entries to ask first, also while the store does not
  // answer; their answers list the other entries.
  "peers": [],
  // "format" is "terminal" or "json"; "level" is "critical", "error",
  // "warning", "info", "debug" or "trace".
  "log": {"format": "json", "level": "info"}
}
"#;

    fn check(&self) -> Vec<Finding> {
        let mut checker = Checker::default();
        checker.instance(&self.name, &self.data_centre, &[]);
        checker.finish()
    }
}
