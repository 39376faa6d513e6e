//! Faults that stand-ins inject on request.
