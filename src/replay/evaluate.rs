//! Runs traces against policies in virtual time.

pub mod fairness;
pub mod limits;
pub mod moves;
pub mod placement;

/// How much an evaluation runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// Seconds; part of the tests.
    Small,
    /// The size that the stated targets refer to.
    Full,
}
