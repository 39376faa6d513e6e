//! Placement policies on prefix-heavy traces.
