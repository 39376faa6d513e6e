//! Model of an engine in virtual time.
