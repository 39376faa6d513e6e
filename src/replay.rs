//! Replay of recorded traces and comparison of policies.

pub mod baseline;
pub mod evaluate;
pub mod model;
pub mod outcome;
pub mod player;
pub mod report;
pub mod slopes;
pub mod trace;
pub mod transport;
