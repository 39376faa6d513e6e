//! Organisation limits as conserved shares.
//!
//! The sum of the shares of an organisation over all instances never exceeds
//! its rate and burst. A share is transferred only with the consent of its
//! holder or on proof that the holder is gone.

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
