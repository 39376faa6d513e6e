//! Fencing numbers of orders.
