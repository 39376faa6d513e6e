//! What lives as long as a version of the configuration or of a target.

pub mod config;
pub mod evidence;
pub mod fence;
pub mod freshness;
pub mod head;
pub mod keys;
pub mod lease;
pub mod rollout;
pub mod ticket;
