//! Stand-in of a model engine.
//!
//! It batches requests, keeps prompt prefixes in a bounded block cache,
//! publishes cache events late and with gaps, reports its load with a lag,
//! moves blocks to and from a KV store and takes orders. Generated text depends only on the version and the text so
//! far, so a continued generation yields the same tokens as an uninterrupted
//! one.

mod batch;
mod cache;
mod generation;
mod server;
mod transfer;

use serde::{
    Deserialize,
    Serialize, //
};

pub use cache::{
    BlockCache,
    CacheEvent,
    CacheEventKind, //
};
pub use generation::{
    BYTES_PER_TOKEN,
    next_token, //
};
pub use server::serve;
pub use transfer::TransferOrder;

/// Faults that a stand-in engine injects, set with `PUT /faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Requests in a hundred that fail with status 500.
    pub error_percent: u32,
    /// Versions that the error percentage applies to; empty means all.
    pub error_versions: Vec<String>,
    /// Only requests whose path starts with this fail.
    pub error_path_prefix: String,
    /// Only fail while at least this many requests run.
    pub error_min_running: usize,
    /// Factor on all computing times.
    pub slow_factor: Option<u64>,
    /// Breaks the connection after this many tokens.
    pub break_after_tokens: Option<u64>,
    /// Stops sending after this many tokens, without closing.
    pub hang_after_tokens: Option<u64>,
    /// Do not answer requests at all.
    pub hang: bool,
}

/// Load that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Incarnation of the engine's cache, in hexadecimal.
    pub incarnation: String,
    /// Versions that are loaded.
    pub versions: Vec<String>,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Blocks in the cache.
    pub cached_blocks: usize,
}

/// Order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load the weights of a version and serve it beside the others.
    Load {
        /// Version to load.
        version: String,
        /// Fencing number of the order.
        fence: u64,
    },
    /// Stop serving a version and free its weights.
    Unload {
        /// Version to unload.
        version: String,
        /// Fencing number of the order.
        fence: u64,
    },
}
