//! Limits of organisations, divided into shares that instances hold.
//!
//! The sum of the shares of an organisation over all instances never exceeds
//! its rate and burst. A share moves only when its holder releases it or is
//! proven to be gone.

pub mod account;
pub mod allocation;
mod book;
pub mod bucket;
pub mod holder;
pub mod ledger;
pub mod message;
mod organisation_shares;
pub mod participant;
pub mod rate_limiter;
mod slot;
