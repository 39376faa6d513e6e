//! What lives as long as a connection between two processes.

pub mod attempt;
pub mod frame;
pub mod liveness;
pub mod reassembly;
pub mod retention;
