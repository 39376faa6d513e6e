//! Outcome of attempts at an agent.
