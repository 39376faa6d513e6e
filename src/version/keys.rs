//! Digests of caller keys.
