//! Router for language-model traffic with long shared prompts.
//!
//! The library holds the decision modules, which use neither sockets nor clocks,
//! and the processes built on them. Modules are grouped by the lifetime of the
//! state they hold: [`request`], [`connection`], [`version`] and [`process`].

pub mod clock;
pub mod connection;
pub mod daemon;
pub mod direct;
pub mod error;
pub mod event;
pub mod jsonc;
pub mod names;
pub mod operator;
pub mod process;
pub mod replay;
pub mod request;
pub mod settings;
pub mod standin;
pub mod version;
