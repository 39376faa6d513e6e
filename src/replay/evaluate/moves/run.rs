//! One move in virtual time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    draw::{
        Answer,
        Engines,
        Start,
        poisson, //
    },
    fault::{
        Fault,
        Moment,
        ROUTES,
        Traffic, //
    },
    fleet::Fleet,
    visible::Observers, //
};
use crate::{
    clock::US_PER_MS,
    names::{
        Incarnation,
        Name, //
    },
    version::{
        evidence::{
            Evidence,
            Side,
            Verdict,
            pool::Pool, //
        },
        lease::{
            Held,
            Lease,
            Watch, //
        },
        rollout::{
            Move, Phase, Reason,
            cut::{
                Cut,
                LocalMove, //
            },
            plan::{
                self,
                PlanRequest, //
            },
            step::{
                EntryView,
                Observation,
                RouteView, //
            },
        },
    },
};

const TICK_MS: u64 = 50;
const EXCHANGE_MS: u64 = 1_000;
/// Shortest time between exchanges after answers against the new version.
const URGENT_MS: u64 = 100;
const HOLDER_MS: u64 = 500;
const ENTRIES: usize = 4;
/// Time after which a visible fault must get no further requests.
const REACTION_MS: u64 = 2_000;
/// Rule of the baseline: more than 5% errors in at least 10 answers.
const THRESHOLD_RATE: f64 = 0.05;
const THRESHOLD_ANSWERS: u64 = 10;

/// Who decides on steps and cuts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policy in use.
    Evidence,
    /// Steps at planned times, no cuts.
    Timetable,
    /// Steps at planned times, cut above an error rate.
    Threshold,
}

impl Policy {
    /// Returns the name in tables.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::moves::run::Policy;
    ///
    /// assert_eq!(Policy::Timetable.name(), "timetable");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Timetable => "timetable",
            Self::Threshold => "error_threshold",
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Policy.
    pub policy: Policy,
    /// Traffic.
    pub traffic: Traffic,
    /// Fault of the new version; `None` for a good one.
    pub fault: Option<Fault>,
}

/// What a run shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether the version was taken back.
    pub is_taken_back: bool,
    /// Whether the move was done by the requested time.
    pub is_in_time: bool,
    /// Requests that a bad version got while its fault was active, as part of
    /// the route's requests since the first share; the worst route.
    pub bad_share: f64,
    /// Requests that a bad version got more than 2 s after its fault became
    /// visible.
    pub late_requests: u64,
    /// The same for an observer who knew the rates in advance.
    pub late_known_rates: u64,
    /// Time from the first affected request to "taken back", in seconds.
    pub take_back_s: Option<f64>,
    /// Most weight loads at once in a data centre.
    pub most_parallel_loads: usize,
}

struct Entry {
    incarnation: Incarnation,
    local: LocalMove,
    evidence: Evidence,
    running: [u64; 2],
    is_urgent: bool,
}

struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    now_ms: u64,
    stored: Move,
    lease: Lease<Held>,
    entries: Vec<Entry>,
    fleet: Fleet,
    pool: Pool,
    answers: BinaryHeap<Reverse<Answer>>,
    cuts: Vec<Cut>,
    engines: Engines,
    routes: [Name; ROUTES.len()],
    shifting_at_ms: Option<u64>,
    settling_at_ms: Option<u64>,
    later_ms: u64,
    affected_at_ms: Option<u64>,
    observers: Observers,
    requests: [u64; ROUTES.len()],
    bad: [u64; ROUTES.len()],
    late_requests: u64,
    late_known_rates: u64,
}

/// Runs one move to its end.
pub fn simulate(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    let limit_ms = world.stored.plan.finish_at_unix_ms * 2;
    while !world.stored.phase.is_final() && world.now_ms < limit_ms {
        world.tick();
    }
    world.outcome()
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let stored = planned(setup.traffic, &mut rng);
        let holder = Incarnation(1);
        let Watch::Lapsed(lapsed) = Lease::watch(stored.lease, 0) else {
            unreachable!("a new move has no holder");
        };
        let lease = lapsed.claim(holder, 0).stored();
        let stored = stored.with_lease(lease.record());
        let entries = (0..ENTRIES)
            .map(|number| Entry {
                incarnation: Incarnation(number as u64 + 1),
                local: LocalMove::new(stored.clone(), number, ENTRIES),
                evidence: Evidence::default(),
                running: [0; 2],
                is_urgent: false,
            })
            .collect();
        let engines = Engines::new(setup.seed, stored.plan.finish_at_unix_ms, &mut rng);
        Self {
            setup,
            now_ms: 0,
            fleet: Fleet::new(&Fleet::estimates()),
            stored,
            lease,
            entries,
            pool: Pool::default(),
            answers: BinaryHeap::new(),
            cuts: Vec::new(),
            engines,
            routes: ROUTES.map(|(route, _)| route.into()),
            shifting_at_ms: None,
            settling_at_ms: None,
            later_ms: rng.random_range(20_000..100_000),
            affected_at_ms: None,
            observers: Observers::default(),
            requests: [0; ROUTES.len()],
            bad: [0; ROUTES.len()],
            late_requests: 0,
            late_known_rates: 0,
            rng,
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.deliver_cuts();
        self.arrive();
        self.answer();
        for entry in 0..ENTRIES {
            let offset_ms = entry as u64 * EXCHANGE_MS / ENTRIES as u64;
            let is_due = self.now_ms % EXCHANGE_MS == offset_ms;
            let is_urgent = self.entries[entry].is_urgent && self.now_ms.is_multiple_of(URGENT_MS);
            if is_due || is_urgent {
                self.exchange(entry);
            }
        }
        if self.now_ms.is_multiple_of(HOLDER_MS) {
            self.hold();
            let orders = self.stored.orders(self.fleet.reports());
            self.fleet.execute(&orders, &mut self.rng, self.now_ms);
        }
        self.fleet.tick(self.now_ms);
    }

    fn deliver_cuts(&mut self) {
        for cut in std::mem::take(&mut self.cuts) {
            for entry in &mut self.entries {
                entry.local.receive(&cut);
            }
        }
    }

    fn arrive(&mut self) {
        for route in 0..ROUTES.len() {
            let expected = self.setup.traffic.rate_per_s(route) * TICK_MS as f64 / 1_000.0;
            for _ in 0..poisson(&mut self.rng, expected) {
                self.request(route);
            }
        }
    }

    fn request(&mut self, route: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        let is_new = self.entries[entry].local.choose(&self.routes[route]) == Side::New;
        let fault = self
            .setup
            .fault
            .filter(|_| is_new && self.is_affected(entry, route));
        if self.shifting_at_ms.is_some() {
            self.requests[route] += 1;
        }
        if fault.is_some() {
            self.count_bad(route);
        }
        let target = self.rng.random_range(0..self.fleet.len());
        let start = Start {
            entry,
            route,
            target,
            is_new,
            fault,
        };
        let answer = self.engines.draw(start, &mut self.rng, self.now_ms);
        self.entries[entry].running[usize::from(is_new)] += 1;
        self.fleet.start(target, is_new);
        self.answers.push(Reverse(answer));
    }

    fn count_bad(&mut self, route: usize) {
        self.bad[route] += 1;
        self.affected_at_ms.get_or_insert(self.now_ms);
        let is_late = |at_ms: u64| self.now_ms > at_ms + REACTION_MS;
        let observers = &self.observers;
        self.late_requests += u64::from(observers.visible_at_ms.is_some_and(is_late));
        self.late_known_rates += u64::from(observers.known_rates_at_ms.is_some_and(is_late));
    }

    fn is_affected(&self, entry: usize, route: usize) -> bool {
        let since = |at_ms: u64| self.now_ms.saturating_sub(at_ms);
        let moment = Moment {
            shifting_ms: self.shifting_at_ms.map_or(0, since),
            settling_ms: self.settling_at_ms.map(since),
            share_permille: self.entries[entry].local.share_permille(),
            later_ms: self.later_ms,
            route,
        };
        self.setup
            .fault
            .is_some_and(|fault| fault.is_active(moment))
    }

    fn answer(&mut self) {
        while let Some(Reverse(answer)) = self.answers.peek().copied() {
            if answer.at_ms > self.now_ms {
                break;
            }
            self.answers.pop();
            let entry = &mut self.entries[answer.entry];
            entry.running[usize::from(answer.is_new)] -= 1;
            self.fleet.end(answer.target, answer.is_new);
            let side = if answer.is_new { Side::New } else { Side::Old };
            let is_urgent = entry.evidence.route(&self.routes[answer.route]).record(
                side,
                answer.sample(),
                self.now_ms * US_PER_MS,
            );
            entry.is_urgent |= is_urgent;
            let load = self.engines.load_factor(self.now_ms);
            if let Some(fault) = self.setup.fault {
                self.observers.observe(&answer, fault, load, self.now_ms);
            }
        }
    }

    fn exchange(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        entry.is_urgent = false;
        entry.local.apply(self.stored.clone());
        let now_us = self.now_ms * US_PER_MS;
        let message = entry.evidence.message(now_us);
        self.pool.absorb(entry.incarnation, &message);
        if self.setup.policy != Policy::Evidence || self.shifting_at_ms.is_none() {
            return;
        }
        if entry.local.cut().is_some() {
            return;
        }
        let own = entry.incarnation;
        let cut = entry.local.judge(self.pool.evidence(), own, now_us);
        self.cuts.extend(cut);
    }

    fn hold(&mut self) {
        let seen = self.observe();
        let Some(next) = self.stored.advance(&self.lease, &seen) else {
            return;
        };
        match next.phase {
            Phase::Shifting { step: 0, .. } => self.shifting_at_ms = Some(self.now_ms),
            Phase::Settling { .. } => self.settling_at_ms = Some(self.now_ms),
            _ => {}
        }
        self.stored = next;
        self.pool.evidence().mark();
    }

    fn observe(&mut self) -> Observation {
        let routes = self.route_views();
        Observation {
            now_unix_ms: self.now_ms,
            entries: self
                .entries
                .iter()
                .map(|entry| EntryView {
                    name: Name::from(format!("entry-{}", entry.incarnation)),
                    incarnation: entry.incarnation,
                    is_live: true,
                    step: Some(entry.local.step()),
                    running_from: entry.running[0],
                    running_to: entry.running[1],
                })
                .collect(),
            targets: self.fleet.reports().to_vec(),
            routes,
            take_back: self.take_back(),
        }
    }

    fn route_views(&mut self) -> Vec<RouteView> {
        if self.setup.policy != Policy::Evidence {
            // Without answers the state machine follows the planned times.
            return vec![RouteView {
                verdict: Verdict::Clear,
                new_answers: 0,
            }];
        }
        let now_us = self.now_ms * US_PER_MS;
        let evidence = self.pool.evidence();
        evidence
            .routes()
            .map(|(_, route)| RouteView::of(route, now_us))
            .collect()
    }

    fn take_back(&mut self) -> Option<Reason> {
        match self.setup.policy {
            Policy::Timetable => None,
            Policy::Evidence => {
                let cut = self.entries.iter().find_map(|entry| entry.local.cut());
                cut.map(|cut| cut.reason.clone())
            }
            Policy::Threshold => {
                let now_us = self.now_ms * US_PER_MS;
                let is_over = self.pool.evidence().routes().any(|(_, route)| {
                    let errors = route.recent_errors(now_us);
                    errors.bad + errors.good >= THRESHOLD_ANSWERS && errors.rate() > THRESHOLD_RATE
                });
                is_over.then_some(Reason::Withdrawn)
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let is_taken_back = matches!(self.stored.phase, Phase::TakenBack { .. });
        let share = |route: usize| self.bad[route] as f64 / self.requests[route].max(1) as f64;
        let take_back_ms = self
            .affected_at_ms
            .filter(|_| is_taken_back)
            .map(|at_ms| self.now_ms - at_ms);
        Outcome {
            is_taken_back,
            is_in_time: self.stored.phase == Phase::Done
                && self.now_ms <= self.stored.plan.finish_at_unix_ms,
            bad_share: (0..ROUTES.len()).map(share).fold(0.0, f64::max),
            late_requests: self.late_requests,
            late_known_rates: self.late_known_rates,
            take_back_s: take_back_ms.map(|ms| ms as f64 / 1_000.0),
            most_parallel_loads: self.fleet.most_parallel(),
        }
    }
}

fn planned(traffic: Traffic, rng: &mut ChaCha8Rng) -> Move {
    let mut request = PlanRequest {
        now_unix_ms: 0,
        finish_at_unix_ms: 0,
        loads: Fleet::estimates(),
        routes: ROUTES
            .iter()
            .enumerate()
            .map(|(number, (route, _))| plan::RouteRate {
                route: (*route).into(),
                requests_per_s: traffic.rate_per_s(number),
            })
            .collect(),
        pace: plan::Pace::default(),
        longest_request_ms: 10_000,
    };
    // From the tightest feasible time to half as long again.
    let needed_ms = plan::needed_ms(&request);
    request.finish_at_unix_ms = needed_ms + rng.random_range(0..=needed_ms / 2);
    let plan = plan::accept(&request).expect("the time is feasible");
    Move::planned((1, "m"), "drafting", ("v1", "v2"), plan, 0)
}
