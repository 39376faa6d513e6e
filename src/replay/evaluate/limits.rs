//! Limits under uneven callers, outages and loss of a ledger.
