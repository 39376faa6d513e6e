//! Small stand-ins for the served systems, for tests and the quick start.

pub mod engine;
pub mod fault;
mod http;
pub mod kv_store;
pub mod plain;
pub mod platform;
