//! Organisation limits as conserved shares.
