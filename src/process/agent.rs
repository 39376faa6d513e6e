//! The agent process.
