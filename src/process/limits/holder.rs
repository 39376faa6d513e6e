//! Holder side of the limit protocol.
