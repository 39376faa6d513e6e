//! Settings of the programs.
