//! Protocol between entry and agent: attempt heads, response frames, heartbeats
//! and the resumption of a response on a new connection.

pub mod attempt;
pub mod frame;
pub mod liveness;
pub mod reassembly;
pub mod retention;
