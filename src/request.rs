//! Handling of a single request: header fields, prompt hashes, admission,
//! placement and retries.

pub mod admission;
pub mod headers;
pub mod openai;
pub mod placement;
pub mod prompt;
pub mod retry;
