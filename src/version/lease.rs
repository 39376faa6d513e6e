//! Leases observed on the monotonic clock of the observer.
