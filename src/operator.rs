//! Commands for operators: tickets, status, explanations and key digests.

pub mod command;
pub mod remote;
pub mod status;
pub mod table;
