//! Fair queueing against first come, first served.

use crate::replay::{
    evaluate::Size,
    report::Measurement, //
};

/// Compares the queues.
pub fn run(_seed: u64, _size: Size) -> Vec<Measurement> {
    Vec::new()
}
