//! Detection of connections that have gone silent.
