//! Tests the division of engines between short and long prompts in virtual time, with
//! engines that read prompts in pieces between the steps that produce tokens.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;
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
        steering::{
            PromptLength,
            ServiceSize,
            Steering,
            costs_ms,
            prompt_length, //
        },
        urgency::{
            Timing,
            urgency, //
        },
    },
    names::Name,
};

const SLOTS: u32 = 32;
const MEMORY_TOKENS: u64 = 97_317;
const TOKENS_PER_MS: u64 = 70;
const PIECE_TOKENS: u64 = 2_048;
/// Tokens in an event of a stream.
const EVENT_TOKENS: u64 = 7;
/// Interval of load reports; each is seen one interval later.
const REPORT_US: u64 = 100_000;
/// Entries in three sizes, by the share of the traffic that they get.
const ENTRY_WEIGHTS: [u64; 31] = {
    let mut weights = [1; 31];
    let mut at = 0;
    while at < 31 {
        weights[at] = [1, 2, 5][at % 3];
        at += 1;
    }
    weights
};
const GAP_MS: u64 = 100;
const GOALS_MS: [u64; 2] = [400, 1_200];

/// How long prompts are kept from short ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Not at all.
    Mixed,
    /// By the division of the engines, as the entry does.
    Divided,
    /// Engines whose report shows this many tokens of queued prefill are avoided.
    Bounded(u64),
    /// Missing shared parts are imported, which takes no time of the engine.
    Imported,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    short_per_s: u64,
    long_per_s: u64,
    /// Factor of the rates in every fifth second.
    burst: u64,
    engines: usize,
    /// Engines that are lost after half of the time.
    lost: usize,
    policy: Policy,
    /// Whether engines run the most urgent requests first, not the oldest.
    by_urgency: bool,
    has_reports: bool,
}

/// Deployment B of docs/load-features.md.
const B: Load = Load {
    short_per_s: 173,
    long_per_s: 68,
    burst: 1,
    engines: 56,
    lost: 0,
    policy: Policy::Divided,
    by_urgency: true,
    has_reports: true,
};

/// B without a quarter of its engines, with bursts.
const SCARCE: Load = Load {
    engines: 42,
    burst: 3,
    ..B
};

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    entry: usize,
    urgency: u8,
    arrived_us: u64,
    prefill_left: u64,
    prefill_tokens: u64,
    /// When an import ends, before which it does not start.
    starts_us: u64,
    memory_tokens: u64,
    output_left: u64,
    /// Tokens since the last event, and when that was sent.
    unsent_tokens: u64,
    event_us: Option<u64>,
    has_late_gap: bool,
}

#[derive(Clone, Default)]
struct Engine {
    queue: Vec<Job>,
    running: Vec<Job>,
    free_at_us: u64,
    cached: HashSet<u64>,
    own_running: Vec<u32>,
    own_prefill: Vec<u64>,
    seen: (u32, u32, u64),
    next: (u32, u32, u64),
    is_lost: bool,
}

/// Results of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    done: u32,
    /// Requests with the first token after the goal.
    late: u32,
    /// Requests with a stretched gap between two events.
    gapped: u32,
    /// Longest time to the first token.
    longest_ms: u64,
}

impl Outcome {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.done.max(1))
    }

    fn gap_share(&self) -> f64 {
        f64::from(self.gapped) / f64::from(self.done.max(1))
    }
}

impl Engine {
    /// Runs one step: a piece of one prompt, and a token of each stream.
    fn step(&mut self, now_us: u64, load: &Load, outcomes: &mut [Outcome; 2]) {
        self.admit(now_us, load);
        if self.running.is_empty() {
            return;
        }
        let key = |job: &Job| {
            (
                if load.by_urgency { job.urgency } else { 0 },
                job.arrived_us,
            )
        };
        let reading = (0..self.running.len())
            .filter(|at| self.running[*at].prefill_left > 0)
            .min_by_key(|at| key(&self.running[*at]));
        let piece = reading.map_or(0, |at| self.running[at].prefill_left.min(PIECE_TOKENS));
        let decoding = self.running.len() as u64;
        let end_us = now_us + 4_400 + decoding * 100 + piece * 1_000 / TOKENS_PER_MS;
        self.free_at_us = end_us;
        for (at, job) in self.running.iter_mut().enumerate() {
            if reading == Some(at) {
                job.prefill_left -= piece;
                if job.prefill_left > 0 {
                    continue;
                }
                self.own_prefill[job.entry] -= job.prefill_tokens;
            } else if job.prefill_left > 0 {
                continue;
            }
            job.output_left -= 1;
            job.unsent_tokens += 1;
            let is_first = job.event_us.is_none();
            if is_first || job.unsent_tokens == EVENT_TOKENS || job.output_left == 0 {
                if let Some(event_us) = job.event_us {
                    job.has_late_gap |= end_us - event_us > GAP_MS * 1_000;
                } else {
                    let first_ms = (end_us - job.arrived_us) / 1_000;
                    let outcome = &mut outcomes[job.kind];
                    outcome.late += u32::from(first_ms > GOALS_MS[job.kind]);
                    outcome.longest_ms = outcome.longest_ms.max(first_ms);
                }
                job.event_us = Some(end_us);
                job.unsent_tokens = 0;
            }
        }
        for job in self.running.extract_if(.., |job| job.output_left == 0) {
            outcomes[job.kind].done += 1;
            outcomes[job.kind].gapped += u32::from(job.has_late_gap);
            self.own_running[job.entry] -= 1;
        }
    }

    fn admit(&mut self, now_us: u64, load: &Load) {
        loop {
            let used: u64 = self.running.iter().map(|job| job.memory_tokens).sum();
            let key = |at: &usize| {
                let job = &self.queue[*at];
                (
                    if load.by_urgency { job.urgency } else { 0 },
                    job.arrived_us,
                )
            };
            let next = (0..self.queue.len())
                .filter(|at| self.queue[*at].starts_us <= now_us)
                .min_by_key(key);
            let Some(next) = next else { return };
            let has_slot = self.running.len() < SLOTS as usize;
            if !has_slot || used + self.queue[next].memory_tokens > MEMORY_TOKENS {
                return;
            }
            let job = self.queue.swap_remove(next);
            self.running.push(job);
        }
    }

    fn report(&mut self) {
        self.seen = self.next;
        let jobs = self.running.iter().chain(&self.queue);
        let prefill = jobs.map(|job| job.prefill_left).sum();
        self.next = (self.running.len() as u32, self.queue.len() as u32, prefill);
    }
}

fn prompt(kind: usize, number: u64) -> Prompt {
    let subject = xxh3_64(&number.to_le_bytes()) % 300;
    let (input, output, shared) = [(826, 60, 198), (9_190, 7, 6_300)][kind];
    Prompt {
        model: "m".into(),
        input_tokens: input,
        max_output_tokens: output,
        expected_output_tokens: output,
        parts: vec![PromptPart {
            id: subject + 1_000 * kind as u64,
            tokens: shared,
        }],
    }
}

struct Fleet {
    ids: Vec<Name>,
    engines: Vec<Engine>,
    steering: Vec<Steering>,
    load: Load,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let engine = Engine {
            own_running: vec![0; ENTRY_WEIGHTS.len()],
            own_prefill: vec![0; ENTRY_WEIGHTS.len()],
            ..Engine::default()
        };
        Self {
            ids: (0..load.engines)
                .map(|at| format!("i-{at}").into())
                .collect(),
            engines: vec![engine; load.engines],
            steering: ENTRY_WEIGHTS.iter().map(|_| Steering::default()).collect(),
            load,
        }
    }

    fn place(&mut self, kind: usize, number: u64, now_us: u64) {
        let entries = ENTRY_WEIGHTS.len();
        let total: u64 = ENTRY_WEIGHTS.iter().sum();
        let seed = xxh3_64(&(number * 2 + kind as u64).to_be_bytes());
        let mut point = seed % total;
        let entry = ENTRY_WEIGHTS
            .iter()
            .position(|weight| {
                let is_here = point < *weight;
                point = point.wrapping_sub(*weight);
                is_here
            })
            .unwrap();
        let prompt = prompt(kind, number);
        let alive: Vec<usize> = (0..self.ids.len())
            .filter(|at| !self.engines[*at].is_lost)
            .collect();
        let length = prompt_length(&prompt, GAP_MS * 50);
        let costs = self.costs_ms(length, entry, &alive, now_us);
        let draw = |suits: bool, size: Option<usize>| {
            let group: Vec<usize> = (0..alive.len())
                .filter(|at| (costs[*at] == 0.0) == suits)
                .collect();
            let size = size.unwrap_or_else(|| sample_size(group.len(), entries));
            let ids = group.iter().map(|at| &self.ids[alive[*at]]);
            let drawn = draw_sample(ids, seed, size);
            let drawn: Vec<usize> = group
                .into_iter()
                .zip(drawn)
                .filter_map(|(at, is_drawn)| is_drawn.then_some(at))
                .collect();
            drawn
        };
        let sample: HashSet<usize> = draw(true, None)
            .into_iter()
            .chain(draw(false, Some(1)))
            .collect();
        let candidates: Vec<Candidate<'_>> = alive
            .iter()
            .enumerate()
            .map(|(position, at)| Candidate {
                id: &self.ids[*at],
                load: TargetLoad {
                    running: self.engines[*at].seen.0,
                    waiting: self.engines[*at].seen.1,
                    slots: SLOTS,
                    pace_percent: None,
                },
                own_running: self.engines[*at].own_running[entry],
                own_prefill_tokens: self.engines[*at].own_prefill[entry],
                failure_share: 0.0,
                availability: Availability::Open,
                is_cold: false,
                is_outdated: false,
                expected_ms: None,
                engine_costs: None,
                cached: CachedTokens::default(),
                steering_cost_ms: costs[position],
                is_sampled: sample.contains(&position),
            })
            .collect();
        let best = alive[rank(&candidates, Some(&prompt), 0, entries)[0]];
        let run_us = 250_000 + prompt.expected_output_tokens * 8_000;
        self.steering[entry].record(&"s".into(), length, run_us, now_us);
        let part = prompt.parts[0];
        let engine = &mut self.engines[best];
        let is_cached = !engine.cached.insert(part.id);
        let is_imported = self.load.policy == Policy::Imported && !is_cached;
        let prefill = prompt.input_tokens
            - if is_cached || is_imported {
                part.tokens
            } else {
                0
            };
        let import_us = if is_imported {
            part.tokens * 1_000 / 130
        } else {
            0
        };
        let timing = Timing {
            arrived_at_us: now_us,
            goal_at_us: now_us + GOALS_MS[kind] * 1_000,
            work_us: prefill * 1_000 / TOKENS_PER_MS,
        };
        engine.own_running[entry] += 1;
        engine.own_prefill[entry] += prefill;
        engine.queue.push(Job {
            kind,
            entry,
            urgency: urgency([0, 2][kind], timing, now_us),
            arrived_us: now_us,
            prefill_left: prefill,
            prefill_tokens: prefill,
            starts_us: now_us + import_us,
            memory_tokens: prompt.input_tokens + prompt.max_output_tokens,
            output_left: prompt.expected_output_tokens,
            unsent_tokens: 0,
            event_us: None,
            has_late_gap: false,
        });
    }

    fn costs_ms(
        &mut self,
        length: PromptLength,
        entry: usize,
        alive: &[usize],
        now_us: u64,
    ) -> Vec<f64> {
        match self.load.policy {
            Policy::Mixed | Policy::Imported => vec![0.0; alive.len()],
            Policy::Bounded(tokens) => alive
                .iter()
                .map(|at| {
                    if self.engines[*at].seen.2 > tokens {
                        200.0
                    } else {
                        0.0
                    }
                })
                .collect(),
            Policy::Divided => {
                let ids = alive.iter().map(|at| &self.ids[*at]);
                let running = alive.iter().map(|at| self.engines[*at].seen.0).sum();
                let size = ServiceSize {
                    slots: SLOTS,
                    entries: ENTRY_WEIGHTS.len(),
                    running: self.load.has_reports.then_some(running),
                };
                let is_short = self.steering[entry].divide(&"s".into(), ids, size, now_us);
                costs_ms(length, &is_short)
            }
        }
    }

    /// Runs the load for 20 s and returns the outcomes of short and long prompts that
    /// were done after the first three seconds, in which caches fill.
    fn run(load: Load) -> [Outcome; 2] {
        let mut fleet = Self::new(load);
        let mut outcomes = [Outcome::default(); 2];
        let mut numbers = [0_u64; 2];
        let mut due = [0.0; 2];
        for now_ms in 0..20_000_u64 {
            let now_us = now_ms * 1_000;
            if now_us % REPORT_US == 0 {
                fleet.engines.iter_mut().for_each(Engine::report);
            }
            if now_ms == 10_000 {
                fleet.lose(now_us);
            }
            if now_ms == 3_000 {
                outcomes = [Outcome::default(); 2];
            }
            let burst = if now_ms / 1_000 % 5 == 4 {
                load.burst
            } else {
                1
            };
            for (kind, per_s) in [load.short_per_s, load.long_per_s].into_iter().enumerate() {
                due[kind] += (per_s * burst) as f64 / 1_000.0;
                while due[kind] >= 1.0 {
                    due[kind] -= 1.0;
                    fleet.place(kind, numbers[kind], now_us);
                    numbers[kind] += 1;
                }
            }
            for engine in &mut fleet.engines {
                if engine.free_at_us <= now_us {
                    engine.step(now_us, &load, &mut outcomes);
                }
            }
        }
        outcomes
    }

    /// Ends engines; the callers of their requests ask again.
    fn lose(&mut self, now_us: u64) {
        for at in 0..self.load.lost {
            let engine = &mut self.engines[at];
            engine.is_lost = true;
            let jobs: Vec<Job> = engine
                .queue
                .drain(..)
                .chain(engine.running.drain(..))
                .collect();
            for (number, job) in jobs.into_iter().enumerate() {
                self.place(job.kind, 1_000_000 + number as u64, now_us);
            }
        }
    }
}

fn run(load: Load, policy: Policy) -> [Outcome; 2] {
    let outcomes = Fleet::run(Load { policy, ..load });
    println!("{load:?} {policy:?}: {outcomes:?}");
    outcomes
}

/// Checks that the division stretches the gaps of at most `share` of the short prompts
/// that have one without it, and makes neither kind late.
fn check_division(load: Load, share: f64) {
    let [mixed, _] = run(load, Policy::Mixed);
    let [short, long] = run(load, Policy::Divided);
    assert!(
        short.gap_share() <= mixed.gap_share() * share,
        "{load:?}: {short:?}, mixed {mixed:?}"
    );
    assert!(short.late_share() <= 0.01 && long.late_share() <= 0.01);
}

/// Guards against long prompts that stretch the streams of short ones, at entries of
/// unequal size that know loads 200 ms late. Each entry that took its own traffic for
/// that of all came to another number of engines.
#[test]
fn unequal_entries_keep_long_prompts_from_streams() {
    check_division(B, 0.4);
    check_division(Load { engines: 42, ..B }, 0.4);
}

/// Guards against a division that holds engines for short prompts while long ones need
/// them, or the reverse.
#[test]
fn bursts_of_both_kinds_find_room() {
    check_division(SCARCE, 0.7);
    let load = Load {
        engines: 42,
        long_per_s: 150,
        ..B
    };
    check_division(load, 0.4);
}

/// Guards against a division that depends on an engine that is gone.
#[test]
fn a_quarter_of_the_engines_may_be_lost() {
    check_division(Load { lost: 14, ..B }, 0.4);
}

/// Guards against a division that needs reports of the load.
#[test]
fn entries_without_reports_divide_by_their_own_traffic() {
    let load = Load {
        has_reports: false,
        ..B
    };
    check_division(load, 0.7);
}

/// Guards against engines that are set apart while nobody needs them, and against a cost
/// of all engines while none is set apart, by which requests compared one engine only.
#[test]
fn traffic_of_one_kind_uses_all_engines() {
    let all_long = Load {
        short_per_s: 0,
        long_per_s: 150,
        ..SCARCE
    };
    let all_short = Load {
        long_per_s: 0,
        ..SCARCE
    };
    for load in [all_long, all_short] {
        let [mixed, divided] = [Policy::Mixed, Policy::Divided].map(|policy| run(load, policy));
        assert_eq!(format!("{mixed:?}"), format!("{divided:?}"));
    }
}

/// Guards against an engine that stays set apart for good after the last short prompt,
/// because an average never reaches zero.
#[test]
fn the_division_ends_with_the_short_prompts() {
    let mut steering = Steering::default();
    let service = "s".into();
    let ids: Vec<Name> = (0..20).map(|at| format!("i-{at}").into()).collect();
    let size = ServiceSize {
        slots: SLOTS,
        entries: 31,
        running: Some(100),
    };
    let mut divided = Vec::new();
    for at_us in (0..60_000_000).step_by(20_000) {
        if at_us < 5_000_000 {
            steering.record(&service, PromptLength::Short, 500_000, at_us);
        }
        steering.record(&service, PromptLength::Long, 300_000, at_us);
        let is_short = steering.divide(&service, ids.iter(), size, at_us);
        divided.push(is_short.contains(&true));
    }
    assert!(divided[200], "both kinds arrive");
    assert!(!divided[divided.len() - 1], "only long prompts arrive");
}

/// Compares the ways that docs/design/long-and-short-prompts.md weighs. A bound on the
/// queued prefill alone must not come out better than the division that was chosen.
#[test]
fn the_division_beats_a_bound_on_queued_prefill() {
    let gap_share = |policy| run(SCARCE, policy)[0].gap_share();
    let divided = gap_share(Policy::Divided);
    assert!(divided < gap_share(Policy::Bounded(4_000)));
    assert!(divided < gap_share(Policy::Bounded(20_000)));
    gap_share(Policy::Imported);
    let by_age = Load {
        by_urgency: false,
        ..SCARCE
    };
    let [short, _] = run(by_age, Policy::Divided);
    let [urgent, _] = run(SCARCE, Policy::Divided);
    assert!(urgent.longest_ms < short.longest_ms);
}
