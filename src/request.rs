//! What lives as long as a request.

pub mod admission;
pub mod headers;
pub mod openai;
pub mod placement;
pub mod prompt;
pub mod retry;
