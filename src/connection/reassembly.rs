//! Ordered, duplicate-free assembly of a stream at an entry.
