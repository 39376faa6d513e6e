//! Limits under uneven callers, outages and loss of a ledger.
//!
//! Every policy sees the same requests. A reference bucket without latency
//! decides which requests were inside the rate; a second one, which may go
//! below zero, measures the tokens over `rate * time + burst` in any window.

mod baseline;
mod conserved;
mod score;
mod simulation;
mod workload;

use baseline::{
    CentralCounter,
    EqualSplit,
    GossipEstimate, //
};
use conserved::ConservedShares;
use simulation::{
    Policy,
    Simulation, //
};
use workload::{
    Scenario,
    Workload, //
};

use super::Size;
use crate::{
    clock::US_PER_S,
    replay::report::Measurement, //
};

/// Duration of a full evaluation.
const FULL_US: u64 = 60 * US_PER_S;

/// Duration of a small evaluation.
const SMALL_US: u64 = 20 * US_PER_S;

/// Runs the comparison at a given size.
pub fn run(seed: u64, size: Size) -> Vec<Measurement> {
    evaluate(
        seed,
        match size {
            Size::Small => SMALL_US,
            Size::Full => FULL_US,
        },
    )
}

/// Runs all policies in all scenarios and returns the figures.
///
/// The targets are those of design section 2.3 and hold for the conserved
/// shares; baselines are reported without a target. `duration_us` is virtual
/// time; scenarios place their faults at fixed parts of it.
///
/// ```
/// use yuccalatch::replay::evaluate::limits::evaluate;
///
/// let measurements = evaluate(1, 2_000_000);
/// assert!(measurements.iter().any(|found| found.policy == "conserved_shares"));
/// ```
pub fn evaluate(seed: u64, duration_us: u64) -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for scenario in Scenario::ALL {
        let workload = Workload::new(scenario, seed, duration_us);
        measurements.extend(run_policy(&workload, EqualSplit::new(&workload), seed));
        measurements.extend(run_policy(&workload, CentralCounter::new(&workload), seed));
        measurements.extend(run_policy(&workload, GossipEstimate::new(&workload), seed));
        measurements.extend(run_policy(&workload, ConservedShares::new(&workload), seed));
    }
    measurements
}

fn run_policy<P: Policy>(workload: &Workload, policy: P, seed: u64) -> Vec<Measurement> {
    Simulation::new(workload, policy, seed).run()
}
