//! Checks of the outcomes that a trace states.
