//! Moves of good and bad versions.
//!
//! Three policies run the same moves: evidence (the one in use), a fixed
//! timetable without evidence, and the timetable with a threshold on the error
//! rate of the new version.

pub mod draw;
pub mod fault;
pub mod fleet;
pub mod run;
pub mod visible;

use std::thread;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::Size;
use crate::{
    replay::report::{
        Bound,
        Measurement, //
    },
    version::rollout::plan::{
        self,
        PlanRequest, //
    },
};
use fault::{
    Fault,
    Traffic, //
};
use run::{
    Outcome,
    Policy,
    Setup, //
};

/// Threads that share the runs of one scenario.
const THREADS: usize = 4;
const POLICIES: [Policy; 3] = [Policy::Evidence, Policy::Timetable, Policy::Threshold];
/// Target for requests that a bad version gets, as part of a route's requests.
const BAD_SHARE: f64 = 0.02;

/// Runs all scenarios. The result depends on the seed and size only.
///
/// ```no_run
/// use yuccalatch::replay::{evaluate::{moves, Size}, report::markdown};
///
/// println!("{}", markdown(&moves::run(1, Size::Full)));
/// ```
pub fn run(seed: u64, size: Size) -> Vec<Measurement> {
    let (good_runs, bad_runs, plans) = match size {
        Size::Small => (100, 2, 200),
        Size::Full => (1_000, 50, 5_000),
    };
    let mut measurements = acceptance(seed, plans);
    for policy in POLICIES {
        // The baselines show their faults in fewer runs.
        let runs = match policy {
            Policy::Evidence => good_runs,
            Policy::Timetable | Policy::Threshold => good_runs / 10,
        };
        measurements.extend(good(seed, runs, policy));
        for traffic in Traffic::ALL {
            for fault in Fault::ALL {
                measurements.extend(bad(seed, bad_runs, policy, traffic, fault));
            }
        }
    }
    measurements
}

/// Requests just before and at the shortest feasible time.
fn acceptance(seed: u64, plans: u64) -> Vec<Measurement> {
    let mut refused = 0;
    let mut accepted = 0;
    for number in 0..plans {
        let mut request = random_request(seed, number);
        request.finish_at_unix_ms = request.now_unix_ms + plan::needed_ms(&request);
        accepted += u64::from(plan::accept(&request).is_ok());
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number);
        request.finish_at_unix_ms -= rng.random_range(1..=plan::needed_ms(&request));
        refused += u64::from(plan::accept(&request).is_err());
    }
    let part = |count: u64| count as f64 / plans as f64;
    let measure = |name, value| Measurement {
        scenario: "acceptance".to_owned(),
        policy: "evidence".to_owned(),
        measure: String::from(name),
        value,
        bound: Some(Bound::AtLeast(1.0)),
    };
    vec![
        measure("feasible_accepted", part(accepted)),
        measure("infeasible_refused", part(refused)),
    ]
}

fn random_request(seed: u64, number: u64) -> PlanRequest {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ number);
    let mut request = PlanRequest::example();
    request.now_unix_ms = rng.random_range(0..1 << 40);
    for load in &mut request.loads {
        load.targets = rng.random_range(1..600);
        load.parallel_loads = rng.random_range(1..8);
        load.load_ms = rng.random_range(100..60_000);
    }
    for route in &mut request.routes {
        route.requests_per_s = rng.random_range(0.001..1_000.0);
    }
    request.pace.settle_ms = rng.random_range(0..600_000);
    request
}

fn good(seed: u64, runs: u64, policy: Policy) -> Vec<Measurement> {
    let outcomes = parallel(runs, |number| {
        let traffic = Traffic::ALL[usize::from(number.is_multiple_of(8))];
        run::simulate(Setup {
            seed: seed.wrapping_mul(1_000_003).wrapping_add(number),
            policy,
            traffic,
            fault: None,
        })
    });
    let taken_back = outcomes.iter().filter(|run| run.is_taken_back).count();
    let in_time = outcomes.iter().filter(|run| run.is_in_time).count();
    let parallel_loads = outcomes
        .iter()
        .map(|run| run.most_parallel_loads)
        .max()
        .unwrap_or(0);
    let measure = |name, value, bound| Measurement {
        scenario: "good".to_owned(),
        policy: policy.name().to_owned(),
        measure: String::from(name),
        value,
        bound: (policy == Policy::Evidence).then_some(bound),
    };
    vec![
        measure("runs", runs as f64, Bound::AtLeast(runs as f64)),
        measure("taken_back_runs", taken_back as f64, Bound::AtMost(0.0)),
        measure(
            "deadlines_met",
            in_time as f64 / runs as f64,
            Bound::AtLeast(1.0),
        ),
        measure(
            "parallel_loads_max",
            parallel_loads as f64,
            Bound::AtMost(2.0),
        ),
    ]
}

fn bad(seed: u64, runs: u64, policy: Policy, traffic: Traffic, fault: Fault) -> Vec<Measurement> {
    let outcomes = parallel(runs, |number| {
        run::simulate(Setup {
            seed: seed.wrapping_mul(7_368_787).wrapping_add(number),
            policy,
            traffic,
            fault: Some(fault),
        })
    });
    let maximum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let cut = outcomes.iter().filter(|run| run.is_taken_back).count();
    let measure = |name, value, bound: Option<Bound>| Measurement {
        scenario: format!("{}_{}", fault.name(), traffic.name()),
        policy: policy.name().to_owned(),
        measure: String::from(name),
        value,
        bound: bound.filter(|_| policy == Policy::Evidence),
    };
    let mut measurements = vec![
        measure(
            "taken_back",
            cut as f64 / runs as f64,
            Some(Bound::AtLeast(1.0)),
        ),
        measure(
            "bad_share_max",
            maximum(|run| run.bad_share),
            Some(Bound::AtMost(BAD_SHARE)),
        ),
        measure(
            "late_requests_max",
            maximum(|run| run.late_requests as f64),
            Some(Bound::AtMost(0.0)),
        ),
        measure(
            "late_requests_known_rates_max",
            maximum(|run| run.late_known_rates as f64),
            None,
        ),
    ];
    let mut times_s: Vec<f64> = outcomes.iter().filter_map(|run| run.take_back_s).collect();
    times_s.sort_by(f64::total_cmp);
    if let Some(longest) = times_s.last() {
        let median = times_s[times_s.len() / 2];
        measurements.push(measure("take_back_p50_s", median, None));
        measurements.push(measure("take_back_max_s", *longest, None));
    }
    measurements
}

/// Runs in a fixed order of results, whatever the threads do.
fn parallel(runs: u64, simulate: impl Fn(u64) -> Outcome + Sync) -> Vec<Outcome> {
    let mut numbered: Vec<(u64, Outcome)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS as u64)
            .map(|first| {
                let simulate = &simulate;
                scope.spawn(move || {
                    (first..runs)
                        .step_by(THREADS)
                        .map(|number| (number, simulate(number)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a simulation panicked"))
            .collect()
    });
    numbered.sort_by_key(|(number, _)| *number);
    numbered.into_iter().map(|(_, outcome)| outcome).collect()
}
