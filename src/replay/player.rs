//! Plays a trace against running processes.
