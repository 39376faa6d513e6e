//! Fair queueing of organisations in front of a target.
