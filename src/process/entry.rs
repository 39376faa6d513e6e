//! The entry process.
