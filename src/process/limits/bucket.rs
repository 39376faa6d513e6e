//! Token bucket of one organisation at one holder.
