//! Live entries and targets.
