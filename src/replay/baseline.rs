//! Placement policies to compare with.
