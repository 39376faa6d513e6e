//! Moves of good and bad versions.
