//! Folded state of all accepted tickets.
