//! Ledger side of the limit protocol.
