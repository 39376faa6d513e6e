//! The commit log of accepted tickets.
