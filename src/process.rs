//! State and tasks that last from the start of a process to its end.

pub mod admin;
pub mod agent;
pub mod at_most_once;
pub mod cache_index;
pub mod client;
pub mod config_store;
pub(crate) mod connections;
pub mod entry;
pub mod fair_queue;
mod header_map;
pub mod hints;
pub mod http_server;
pub mod kv_import;
pub mod lifecycle;
pub mod limits;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod peer;
pub mod platform;
pub(crate) mod reload;
pub mod rpc;
pub mod stop;
pub(crate) mod upload;
