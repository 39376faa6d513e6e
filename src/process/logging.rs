//! Log output of a process.
