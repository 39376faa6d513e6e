//! Settings of `yuccalatch-standin`.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Finding, Settings,
    shared::{
        Checker,
        LogSettings, //
    },
};
use crate::names::Name;

/// What a stand-in replaces.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StandinKind {
    /// The object API.
    Platform,
    /// A model engine.
    Engine,
    /// A plain server.
    Plain,
    /// A KV cache store.
    KvStore,
}

/// Behaviour of a stand-in engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Version that is loaded at the start.
    pub version: Name,
    /// Blocks that the cache holds.
    pub cache_blocks: u32,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Speed of computing prompts.
    pub prefill_tokens_per_s: u32,
    /// Speed of one stream.
    pub decode_tokens_per_s: u32,
    /// Requests that run at the same time.
    pub batch_size: u32,
    /// Delay of cache events.
    pub event_lag_ms: u64,
    /// Every nth cache event is lost; 0 for none.
    pub event_gap_every: u64,
    /// Delay of the reported load.
    pub load_lag_ms: u64,
    /// Time to load new weights when no more than `parallel_loads` load at
    /// once.
    pub load_weights_ms: u64,
    /// Loads at once that do not slow each other down.
    pub parallel_loads: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        // Block size, load time and parallel loads are those of the es-norte
        // deployment in docs/design.md, section 2.1.
        Self {
            version: "v1".into(),
            cache_blocks: 2_000,
            block_tokens: 1_000,
            prefill_tokens_per_s: 20_000,
            decode_tokens_per_s: 100,
            batch_size: 32,
            event_lag_ms: 200,
            event_gap_every: 0,
            load_lag_ms: 500,
            load_weights_ms: 500,
            parallel_loads: 2,
            checks_fencing: false,
            seed: 1,
        }
    }
}

/// Settings of `yuccalatch-standin`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StandinSettings {
    /// What is replaced.
    pub kind: StandinKind,
    /// Listener.
    pub address: SocketAddr,
    /// Behaviour of an engine; other kinds ignore it.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Time of one execution of a plain server; other kinds ignore it.
    #[serde(default)]
    pub work_ms: u64,
    /// Blocks that a KV store holds; other kinds ignore it.
    #[serde(default = "default_kv_store_blocks")]
    pub kv_store_blocks: u32,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// 20 times the default cache of an engine.
const fn default_kv_store_blocks() -> u32 {
    40_000
}

impl Settings for StandinSettings {
    const DEFAULT_TEXT: &'static str = r#"{
  // "platform" for the object API, "engine" for a model engine, "plain" for a
  // plain server, "kv_store" for a KV cache store.
  "kind": "platform",
  // Listener.
  "address": "127.0.0.1:7400",
  // Behaviour of an engine; other kinds ignore it.
  "engine": {
    // Version that is loaded at the start.
    "version": "v1",
    // Blocks that the cache holds, and tokens in one block.
    "cache_blocks": 2000,
    "block_tokens": 1000,
    // Speed of computing prompts, and speed of one stream.
    "prefill_tokens_per_s": 20000,
    "decode_tokens_per_s": 100,
    // Requests that run at the same time.
    "batch_size": 32,
    // Delay of cache events in milliseconds; every nth event is lost, 0 for none.
    "event_lag_ms": 200,
    "event_gap_every": 0,
    // Delay of the reported load, in milliseconds.
    "load_lag_ms": 500,
    // Time to load new weights in milliseconds, and loads at once that do not
    // slow each other down.
    "load_weights_ms": 500,
    "parallel_loads": 2,
    // Whether orders with an old fencing number are refused.
    "checks_fencing": false,
    // Seed of all random choices.
    "seed": 1
  },
  // Time of one execution of a plain server in milliseconds; other kinds ignore it.
  "work_ms": 5,
  // Blocks that a KV store holds; other kinds ignore it.
  "kv_store_blocks": 40000,
  // "format" is "terminal" or "json"; "level" is "critical", "error",
  // "warning", "info", "debug" or "trace".
  "log": {"format": "terminal", "level": "info"}
}
"#;

    fn check(&self) -> Vec<Finding> {
        let mut checker = Checker::default();
        let positive = [
            ("cache_blocks", self.engine.cache_blocks),
            ("block_tokens", self.engine.block_tokens),
            ("prefill_tokens_per_s", self.engine.prefill_tokens_per_s),
            ("decode_tokens_per_s", self.engine.decode_tokens_per_s),
            ("batch_size", self.engine.batch_size),
            ("parallel_loads", self.engine.parallel_loads),
        ];
        for (field, value) in positive {
            let range = (1, u32::MAX.into());
            checker.range(&["engine", field], value.into(), range, "use 1 or more");
        }
        let range = (1, u32::MAX.into());
        let blocks = self.kv_store_blocks.into();
        checker.range(&["kv_store_blocks"], blocks, range, "use 1 or more");
        let durations = [
            ("event_lag_ms", self.engine.event_lag_ms),
            ("load_lag_ms", self.engine.load_lag_ms),
            ("load_weights_ms", self.engine.load_weights_ms),
        ];
        for (field, value) in durations {
            checker.duration_ms(&["engine", field], value, 0);
        }
        checker.finish()
    }
}
