//! Recorded traces as JSON lines.
