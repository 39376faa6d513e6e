//! Tests placement in a fleet of many entries, each of which knows loads that are up
//! to a second old, in virtual time.

use yuccalatch::{
    direct::{
        message::{
            Prompt,
            PromptPart,
            TargetLoad, //
        },
        placement::{
            Availability,
            CachedTokens,
            Candidate,
            rank, //
        },
        sampling::{
            draw_sample,
            sample_size, //
        },
    },
    names::Name,
};

const ENTRIES: usize = 68;
const ENGINES: usize = 78;
const REQUESTS_PER_S: u64 = 220;
const REPORT_INTERVAL_MS: u64 = 1_000;
const RUN_MS: u64 = 400;

/// Upper bound of the busiest engine's requests, relative to the mean; stated for
/// seconds without a hot subject.
const MAX_BUSIEST: f64 = 1.4;

fn note(number: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: "m".into(),
        input_tokens: 630,
        max_output_tokens: 60,
        expected_output_tokens: 60,
        parts: vec![part(number % 39, 119), part(100 + number % 879, 79)],
    }
}

/// Engines, with the times at which their requests end, and the loads that entries
/// have received.
struct Fleet {
    ids: Vec<Name>,
    ends_ms: Vec<Vec<u64>>,
    reported: Vec<u32>,
    arrivals: Vec<u32>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            ids: (0..ENGINES).map(|at| format!("e{at}").into()).collect(),
            ends_ms: vec![Vec::new(); ENGINES],
            reported: vec![0; ENGINES],
            arrivals: vec![0; ENGINES],
        }
    }

    /// Each engine reports once in an interval, at its own time in it.
    fn report(&mut self, now_ms: u64) {
        for at in 0..ENGINES {
            self.ends_ms[at].retain(|end_ms| *end_ms > now_ms);
            if (now_ms + at as u64 * 13).is_multiple_of(REPORT_INTERVAL_MS) {
                self.reported[at] = u32::try_from(self.ends_ms[at].len()).unwrap();
            }
        }
    }

    fn candidates(&self, number: u64, outdated: impl Fn(usize) -> bool) -> Vec<Candidate<'_>> {
        let size = sample_size(ENGINES, ENTRIES);
        let seed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let is_sampled = draw_sample(self.ids.iter(), seed, size);
        let candidate = |at: usize| Candidate {
            id: &self.ids[at],
            load: TargetLoad {
                running: self.reported[at],
                waiting: 0,
                slots: 24,
                ..TargetLoad::default()
            },
            own_running: 0,
            own_prefill_tokens: 0,
            failure_share: 0.0,
            availability: Availability::Open,
            is_outdated: outdated(at),
            is_cold: false,
            cached: CachedTokens::default(),
            steering_cost_ms: 0.0,
            expected_ms: None,
            engine_costs: None,
            is_sampled: is_sampled[at],
        };
        (0..ENGINES).map(candidate).collect()
    }

    fn place(&mut self, number: u64, now_ms: u64, outdated: impl Fn(usize) -> bool) {
        let best = rank(
            &self.candidates(number, outdated),
            Some(&note(number)),
            0,
            ENTRIES,
        )[0];
        self.ends_ms[best].push(now_ms + RUN_MS);
        self.arrivals[best] += 1;
    }
}

fn requests(until_ms: u64) -> impl Iterator<Item = (u64, u64)> {
    (0..until_ms * REQUESTS_PER_S / 1_000).map(|number| (number, number * 1_000 / REQUESTS_PER_S))
}

#[test]
fn short_prompts_spread_over_all_engines() {
    let mut fleet = Fleet::new();
    let mut reported_ms = 0;
    for (number, now_ms) in requests(60_000) {
        (reported_ms..=now_ms).for_each(|at_ms| fleet.report(at_ms));
        reported_ms = now_ms + 1;
        fleet.place(number, now_ms, |_| false);
    }
    let total: u32 = fleet.arrivals.iter().sum();
    let mean = f64::from(total) / ENGINES as f64;
    let busiest = f64::from(*fleet.arrivals.iter().max().unwrap()) / mean;
    assert!(busiest <= MAX_BUSIEST, "{busiest}: {:?}", fleet.arrivals);
}

/// The first engines with new weights report no load. In the second before their next
/// report they must not get more requests than they have slots.
#[test]
fn the_first_engines_with_new_weights_are_not_flooded() {
    let mut fleet = Fleet::new();
    for (number, now_ms) in requests(REPORT_INTERVAL_MS) {
        fleet.place(number, now_ms, |at| at >= ENGINES / 10);
    }
    assert!(
        fleet.arrivals.iter().all(|count| *count <= 24),
        "{:?}",
        fleet.arrivals
    );
}
