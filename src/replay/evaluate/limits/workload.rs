//! Requests and faults of the scenarios.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::US_PER_S,
    process::limits::message::RateAndBurst,
    request::admission::Cost, //
};

pub(super) const ENTRIES: usize = 6;
pub(super) const ORGANISATIONS: usize = 5;
/// Organisation that sends ten times its rate.
pub(super) const EXCESSIVE: usize = 0;
/// Organisation whose limits change.
pub(super) const CHANGED: usize = 1;

const RATES_TOKENS_PER_S: [u64; ORGANISATIONS] = [60_000, 120_000, 80_000, 40_000, 20_000];
const BURST_S: u64 = 2;
const WAIT_US: u64 = 500_000;
/// Part of the rate that an organisation inside its rate asks for, in percent.
const LOAD_PERCENT: u64 = 70;
/// Above the load, so that the organisation stays inside its rate; below it the
/// policies admit different requests and refusals cannot be compared.
const LOWERED_PERCENT: u64 = 80;
const EXCESSIVE_PERCENT: u64 = 1_000;
const PROMPT_TOKENS: std::ops::Range<u64> = 500..4_000;
const OUTPUT_TOKENS: std::ops::Range<u64> = 100..900;
const MEAN_COST_TOKENS: u64 = 2_750;
const SERVICE_US: std::ops::Range<u64> = 200_000..3_000_000;
/// Part of the requests of an organisation that its busiest entry receives, in
/// percent; the other entries share the rest unevenly.
const ENTRY_PERCENT: [u64; ENTRIES] = [35, 25, 16, 12, 8, 4];

/// What happens besides the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scenario {
    UnevenCallers,
    PausedHolder,
    PlatformOutage,
    LedgerLostInOutage,
    LimitChanges,
}

impl Scenario {
    pub(super) const ALL: [Self; 5] = [
        Self::UnevenCallers,
        Self::PausedHolder,
        Self::PlatformOutage,
        Self::LedgerLostInOutage,
        Self::LimitChanges,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::UnevenCallers => "uneven_callers",
            Self::PausedHolder => "paused_holder",
            Self::PlatformOutage => "platform_outage",
            Self::LedgerLostInOutage => "ledger_lost_in_outage",
            Self::LimitChanges => "limit_changes",
        }
    }

    /// Highest accepted part of refusals inside the rate.
    pub(super) const fn refusal_target(self) -> f64 {
        match self {
            Self::LedgerLostInOutage => 0.01,
            _ => 0.001,
        }
    }
}

/// A fault or change at a fixed time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Incident {
    PlatformDown,
    PlatformUp,
    /// The process starts again at once, without any state.
    Restart {
        entry: usize,
    },
    Pause {
        entry: usize,
        until_us: u64,
    },
    SetLimits {
        organisation: usize,
        limits: RateAndBurst,
    },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) arrives_at_us: u64,
    pub(super) expires_at_us: u64,
    pub(super) entry: usize,
    pub(super) organisation: usize,
    pub(super) cost: Cost,
    pub(super) used_tokens: u64,
    pub(super) service_us: u64,
}

#[derive(Debug)]
pub(super) struct Workload {
    pub(super) scenario: Scenario,
    pub(super) duration_us: u64,
    pub(super) limits: [RateAndBurst; ORGANISATIONS],
    pub(super) requests: Vec<Request>,
    pub(super) incidents: Vec<(u64, Incident)>,
}

impl Workload {
    pub(super) fn new(scenario: Scenario, seed: u64, duration_us: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limits = RATES_TOKENS_PER_S.map(|rate_tokens_per_s| RateAndBurst {
            rate_tokens_per_s,
            burst_tokens: rate_tokens_per_s * BURST_S,
        });
        let mut requests = Vec::new();
        for (organisation, limits) in limits.iter().enumerate() {
            let percent = match organisation {
                EXCESSIVE => EXCESSIVE_PERCENT,
                _ => LOAD_PERCENT,
            };
            let offered_tokens_per_s = limits.rate_tokens_per_s * percent / 100;
            let gap_us = MEAN_COST_TOKENS * US_PER_S / offered_tokens_per_s;
            let mut now_us = 0;
            while now_us < duration_us {
                requests.push(request(&mut rng, organisation, now_us, duration_us));
                now_us += exponential_us(&mut rng, gap_us);
            }
        }
        requests.sort_by_key(|request| request.arrives_at_us);
        Self {
            scenario,
            duration_us,
            limits,
            requests,
            incidents: incidents(scenario, duration_us, limits[CHANGED]),
        }
    }
}

fn request(rng: &mut ChaCha8Rng, organisation: usize, now_us: u64, duration_us: u64) -> Request {
    let max_output_tokens = rng.random_range(OUTPUT_TOKENS);
    let cost = Cost {
        prompt_tokens: rng.random_range(PROMPT_TOKENS),
        max_output_tokens,
    };
    Request {
        arrives_at_us: now_us,
        expires_at_us: now_us + WAIT_US,
        entry: entry(rng, organisation, now_us, duration_us),
        organisation,
        cost,
        used_tokens: cost.prompt_tokens + rng.random_range(0..=max_output_tokens),
        service_us: rng.random_range(SERVICE_US),
    }
}

/// Draws the entry; every organisation prefers another one, and the last
/// organisation moves to another entry in the middle of the run.
fn entry(rng: &mut ChaCha8Rng, organisation: usize, now_us: u64, duration_us: u64) -> usize {
    let is_moved = organisation == ORGANISATIONS - 1 && now_us > duration_us / 2;
    let busiest = organisation + usize::from(is_moved) * 2;
    let mut draw = rng.random_range(0..100);
    for (rank, percent) in ENTRY_PERCENT.into_iter().enumerate() {
        if draw < percent {
            return (busiest + rank) % ENTRIES;
        }
        draw -= percent;
    }
    busiest % ENTRIES
}

fn exponential_us(rng: &mut ChaCha8Rng, mean_us: u64) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    // Gaps are far below 2^52 us, so that the conversions are exact enough.
    (-uniform.ln() * mean_us as f64) as u64 + 1
}

fn incidents(scenario: Scenario, duration_us: u64, limits: RateAndBurst) -> Vec<(u64, Incident)> {
    let at = |percent: u64| duration_us / 100 * percent;
    let scaled = |percent: u64| RateAndBurst {
        rate_tokens_per_s: limits.rate_tokens_per_s / 100 * percent,
        burst_tokens: limits.burst_tokens / 100 * percent,
    };
    let change = |percent| Incident::SetLimits {
        organisation: CHANGED,
        limits: scaled(percent),
    };
    match scenario {
        Scenario::UnevenCallers => Vec::new(),
        Scenario::PausedHolder => vec![(
            at(30),
            Incident::Pause {
                entry: 3,
                until_us: at(60),
            },
        )],
        Scenario::PlatformOutage => vec![
            (at(20), Incident::PlatformDown),
            (at(40), Incident::Restart { entry: 4 }),
            (at(80), Incident::PlatformUp),
        ],
        Scenario::LedgerLostInOutage => vec![
            (at(20), Incident::PlatformDown),
            (at(30), Incident::Restart { entry: 0 }),
            (at(80), Incident::PlatformUp),
        ],
        Scenario::LimitChanges => vec![(at(30), change(LOWERED_PERCENT)), (at(60), change(150))],
    }
}
