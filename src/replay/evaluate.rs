//! Runs traces against policies in virtual time.

pub mod fairness;
pub mod limits;
pub mod moves;
pub mod placement;
