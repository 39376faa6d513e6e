//! Quarantine of prompt parts in a simulated fleet: many engines crash within the time to a
//! first token, so that no answer shows in between which parts are sound.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccalatch::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    direct::quarantine::{
        Admission,
        Quarantine, //
    },
};

/// Stable window of the users' deployments.
const STABLE_WINDOW_US: u64 = 3 * US_PER_S;

/// Most requests with a deadly part that may reach engines later than the stable window
/// after the fifth crash.
const MAX_LATE_DEADLY: usize = 3;

const FIRST_TOKEN_US: u64 = 250 * US_PER_MS;
const ENGINE_BACK_US: u64 = 3 * US_PER_S;
const TROUBLE_AT_US: u64 = 10 * US_PER_S;
const END_US: u64 = 32 * US_PER_S;
const LATER_DEADLY_GAP_US: u64 = 1_500 * US_PER_MS;
const SUBJECTS: u64 = 44;
const DEADLY: u64 = 0xdead;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    seed: u64,
    entries: usize,
    engines: usize,
    sound_per_s: u64,
    /// Number of first parts that the prompts have.
    preambles: u64,
    /// Whether deadly requests come under all of them, otherwise under the first.
    is_under_all: bool,
    /// Whether requests with the deadly part were answered before.
    was_answered: bool,
    /// Requests with the deadly part that come first, and the time in which they come.
    deadly: usize,
    deadly_span_us: u64,
    /// Engines that crash at the same moment for another reason.
    other_crashes: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { is_deadly: bool },
    FirstToken { request: usize },
    OtherCrash { engine: usize },
    EngineBack { engine: usize },
    Exchange { entry: usize },
}

struct Request {
    is_deadly: bool,
    entry: usize,
    parts: Vec<u64>,
    arrived_at_us: u64,
    sent_at_us: u64,
    engine: usize,
    incarnation: u64,
    attempts: u32,
    is_over: bool,
}

#[derive(Default)]
struct Engine {
    is_up: bool,
    incarnation: u64,
}

#[derive(Debug, Default)]
struct Result {
    crashes_us: Vec<u64>,
    /// Times at which requests with the deadly part were sent to engines.
    deadly_us: Vec<u64>,
    /// Arrivals of sound requests, and whether they began at the first attempt.
    sound: Vec<(u64, bool)>,
}

struct Fleet {
    scenario: Scenario,
    random: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    entries: Vec<Quarantine>,
    next_peers: Vec<usize>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    number: u64,
    result: Result,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let engine = || Engine {
            is_up: true,
            incarnation: 0,
        };
        let mut fleet = Self {
            scenario,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            now_us: 0,
            events: BinaryHeap::new(),
            entries: (0..scenario.entries)
                .map(|_| Quarantine::default())
                .collect(),
            next_peers: (0..scenario.entries).collect(),
            engines: (0..scenario.engines).map(|_| engine()).collect(),
            requests: Vec::new(),
            number: 0,
            result: Result::default(),
        };
        let sound_gap_us = US_PER_S / scenario.sound_per_s;
        for number in 1..END_US / sound_gap_us {
            let jitter_us = fleet.random.random_range(0..sound_gap_us);
            let at_us = number * sound_gap_us + jitter_us;
            fleet.schedule(at_us, Event::Arrival { is_deadly: false });
        }
        for number in 0..scenario.deadly as u64 {
            let offset_us = number * scenario.deadly_span_us / scenario.deadly as u64;
            fleet.schedule(
                TROUBLE_AT_US + offset_us,
                Event::Arrival { is_deadly: true },
            );
        }
        let mut at_us = TROUBLE_AT_US + scenario.deadly_span_us;
        while scenario.deadly > 0 && at_us + LATER_DEADLY_GAP_US < END_US {
            at_us += LATER_DEADLY_GAP_US;
            fleet.schedule(at_us, Event::Arrival { is_deadly: true });
        }
        for engine in 0..scenario.other_crashes {
            let at_us = TROUBLE_AT_US + fleet.random.random_range(0..150 * US_PER_MS);
            fleet.schedule(at_us, Event::OtherCrash { engine });
        }
        for entry in 0..scenario.entries {
            let at_us = fleet.random.random_range(0..US_PER_S);
            fleet.schedule(at_us, Event::Exchange { entry });
        }
        fleet
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, event)));
    }

    fn run(mut self) -> Result {
        while let Some(Reverse((at_us, event))) = self.events.pop() {
            self.now_us = at_us;
            if at_us > END_US {
                break;
            }
            match event {
                Event::Arrival { is_deadly } => self.arrive(is_deadly),
                Event::FirstToken { request } => self.begin(request),
                Event::OtherCrash { engine } => self.crash(engine),
                Event::EngineBack { engine } => self.engines[engine].is_up = true,
                Event::Exchange { entry } => self.exchange(entry),
            }
        }
        self.result
    }

    fn arrive(&mut self, is_deadly: bool) {
        let is_fatal = is_deadly && self.now_us >= TROUBLE_AT_US;
        let preamble = if is_fatal && !self.scenario.is_under_all {
            1
        } else {
            1 + self.random.random_range(0..self.scenario.preambles)
        };
        // Before the trouble, requests with the part are sound ones.
        let is_answered_part = self.scenario.was_answered
            && self.now_us < TROUBLE_AT_US
            && self.number.is_multiple_of(8);
        let subject = if is_fatal || is_answered_part {
            DEADLY
        } else {
            100 + self.random.random_range(0..SUBJECTS)
        };
        self.number += 1;
        let entry = self.random.random_range(0..self.scenario.entries);
        self.requests.push(Request {
            is_deadly: is_fatal,
            entry,
            parts: vec![preamble, subject],
            arrived_at_us: self.now_us,
            sent_at_us: 0,
            engine: 0,
            incarnation: 0,
            attempts: 0,
            is_over: false,
        });
        self.send(self.requests.len() - 1);
    }

    /// Sends a request to an engine unless it is refused.
    fn send(&mut self, number: usize) {
        let (entry, attempts) = (self.requests[number].entry, self.requests[number].attempts);
        let is_drawn = self.random.random_range(0..self.scenario.entries) == 0;
        let quarantine = &self.entries[entry];
        let parts = &self.requests[number].parts;
        let admission = quarantine.admit_with(parts, self.now_us, || is_drawn);
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].is_up)
            .collect();
        let is_sent = match admission {
            Admission::Open => !up.is_empty(),
            Admission::Trial => attempts == 0 && !up.is_empty(),
            Admission::Refused { .. } => false,
        };
        if !is_sent {
            return self.end(number, false);
        }
        let engine = up[self.random.random_range(0..up.len())];
        let request = &mut self.requests[number];
        request.attempts += 1;
        request.sent_at_us = self.now_us;
        request.engine = engine;
        request.incarnation = self.engines[engine].incarnation;
        if request.is_deadly {
            self.result.deadly_us.push(self.now_us);
        }
        let jitter_us = self.random.random_range(0..100 * US_PER_MS);
        let at_us = self.now_us + FIRST_TOKEN_US + jitter_us;
        self.schedule(at_us, Event::FirstToken { request: number });
    }

    fn end(&mut self, number: usize, has_begun: bool) {
        let request = &mut self.requests[number];
        request.is_over = true;
        if !request.is_deadly {
            let is_first = has_begun && request.attempts == 1;
            self.result.sound.push((request.arrived_at_us, is_first));
        }
    }

    fn begin(&mut self, number: usize) {
        let request = &self.requests[number];
        let engine = request.engine;
        if request.is_over || self.engines[engine].incarnation != request.incarnation {
            return;
        }
        if request.is_deadly {
            return self.crash(engine);
        }
        let (entry, sent_at_us) = (request.entry, request.sent_at_us);
        let parts = request.parts.clone();
        self.entries[entry].record_begun(&parts, sent_at_us);
        self.end(number, true);
    }

    fn crash(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        self.result.crashes_us.push(self.now_us);
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine] = Engine {
            is_up: false,
            incarnation: incarnation + 1,
        };
        self.schedule(self.now_us + ENGINE_BACK_US, Event::EngineBack { engine });
        let broken: Vec<usize> = (0..self.requests.len())
            .filter(|number| {
                let request = &self.requests[*number];
                let is_there = request.engine == engine && request.incarnation == incarnation;
                request.attempts > 0 && !request.is_over && is_there
            })
            .collect();
        let target = format!("{engine}-{incarnation}");
        for number in broken {
            let parts = self.requests[number].parts.clone();
            let entry = self.requests[number].entry;
            self.entries[entry].record_crash(&parts, &target, self.now_us);
            if self.requests[number].attempts < 2 {
                self.send(number);
            } else {
                self.end(number, false);
            }
        }
    }

    /// Exchanges reports with the next other entry.
    fn exchange(&mut self, entry: usize) {
        let entries = self.scenario.entries as u64;
        let interval_us = (entries * 25 * US_PER_MS).max(240 * US_PER_MS);
        let at_us = self.now_us + interval_us / entries;
        self.schedule(at_us, Event::Exchange { entry });
        let peer = (self.next_peers[entry] + 1) % self.scenario.entries;
        self.next_peers[entry] = peer;
        if peer == entry {
            return;
        }
        let report = self.entries[entry].report(self.now_us);
        self.entries[peer].merge(&report, self.now_us);
        let mut reply = self.entries[peer].report(self.now_us);
        reply.begun = self.entries[peer].begun_answers(&report, self.now_us);
        self.entries[entry].merge(&reply, self.now_us);
    }
}

/// Share of the sound requests that arrive in a time and begin at the first attempt, `None`
/// when there are too few for the rule.
fn begun_share(result: &Result, from_us: u64, to_us: u64) -> Option<f64> {
    let arrived = result.sound.iter();
    let arrived = arrived.filter(|(at_us, _)| (from_us..to_us).contains(at_us));
    let (mut begun, mut all) = (0, 0_u32);
    for (_, has_begun) in arrived {
        all += 1;
        begun += u32::from(*has_begun);
    }
    (all >= 20).then(|| f64::from(begun) / f64::from(all))
}

/// Runs a scenario and checks the users' rules BUDGET and LOST.
fn check(scenario: Scenario) {
    let result = Fleet::new(scenario).run();
    let fifth_us = result.crashes_us.iter().copied().take(5).next_back();
    let fifth_us = fifth_us.unwrap_or(TROUBLE_AT_US);
    let calm = begun_share(&result, US_PER_S, TROUBLE_AT_US - US_PER_S).unwrap();
    let late = begun_share(&result, fifth_us + 2 * STABLE_WINDOW_US, END_US - US_PER_S);
    let is_kept = late.is_none_or(|late| late >= calm / 2.0);
    assert!(is_kept, "{scenario:?}: {late:?} of {calm} begin");
    let late_deadly = result.deadly_us.iter();
    let late_deadly = late_deadly.filter(|at_us| **at_us > fifth_us + STABLE_WINDOW_US);
    let count = late_deadly.count();
    assert!(
        count <= MAX_LATE_DEADLY,
        "{scenario:?}: {count} after {} crashes",
        result.crashes_us.len()
    );
}

const SMALL: Scenario = Scenario {
    seed: 0,
    entries: 4,
    engines: 12,
    sound_per_s: 28,
    preambles: 1,
    is_under_all: false,
    was_answered: false,
    deadly: 12,
    deadly_span_us: 250 * US_PER_MS,
    other_crashes: 0,
};

/// Guards against the refusal of all prompts with the first part of deadly ones that crash
/// many engines at once.
#[test]
fn a_burst_of_deadly_requests_holds_back_no_sound_ones() {
    for seed in 0..4 {
        for (deadly, span_ms) in [(6, 100), (6, 2_000), (12, 250), (24, 100), (24, 2_000)] {
            for entries in [2, 12] {
                check(Scenario {
                    seed,
                    entries,
                    deadly,
                    deadly_span_us: span_ms * US_PER_MS,
                    ..SMALL
                });
            }
        }
    }
}

/// Guards against the same under several first parts, and in a large fleet, whose entries
/// have seen few of the crashes and of the answers themselves.
#[test]
fn a_burst_under_several_first_parts_holds_back_no_sound_ones() {
    for seed in 0..4 {
        for (preambles, is_under_all) in [(2, false), (2, true), (8, true)] {
            check(Scenario {
                seed,
                preambles,
                is_under_all,
                ..SMALL
            });
        }
    }
    check(Scenario {
        seed: 1,
        entries: 70,
        engines: 80,
        sound_per_s: 200,
        deadly: 24,
        preambles: 2,
        is_under_all: true,
        ..SMALL
    });
}

/// Guards against a search that only finds new parts: the deadly one was answered before.
#[test]
fn a_burst_of_a_part_that_was_answered_before_is_found() {
    for seed in 0..4 {
        check(Scenario {
            seed,
            was_answered: true,
            ..SMALL
        });
    }
}

/// Guards against blaming a part of the prompts for engines that crash at once for another
/// reason, some of them or all.
#[test]
fn engines_that_crash_for_another_reason_hold_back_nothing() {
    for seed in 0..4 {
        for other_crashes in [3, 4, 6, 12] {
            for entries in [2, 12] {
                check(Scenario {
                    seed,
                    entries,
                    deadly: 0,
                    other_crashes,
                    ..SMALL
                });
            }
        }
        check(Scenario {
            seed,
            other_crashes: 4,
            ..SMALL
        });
    }
}
