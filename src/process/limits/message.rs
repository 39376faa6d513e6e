//! Messages between holders and ledgers.
