//! Plan and state machine of a move between versions.
