//! Reservation of tokens before a request runs.
