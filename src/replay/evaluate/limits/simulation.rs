//! Virtual-time run of one policy.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    score::Score,
    workload::{
        EXCESSIVE,
        Incident,
        ORGANISATIONS,
        Request,
        Workload, //
    },
};
use crate::{
    clock::US_PER_S,
    process::limits::{
        message::RateAndBurst,
        rate_limiter::RateLimiter, //
    },
    replay::report::Measurement,
    request::admission::{
        Admission,
        Reservation,
        WaitingRequest,
        reserve, //
    },
};

const LATENCY_US: std::ops::Range<u64> = 500..1_500;
const LOSS_PERCENT: u64 = 1;
const IN_FORCE_CHECK_US: u64 = 10_000;

/// How one policy decides and what it exchanges.
pub(super) trait Policy {
    /// What the policy schedules for itself.
    type Event;

    fn name(&self) -> &'static str;

    /// Schedules the first events.
    fn start(&mut self, _queue: &mut Queue<Self::Event>) {}

    /// Time until the decision is made; `None` refuses.
    fn decides_at_us(&mut self, _request: &Request, now_us: u64) -> Option<u64> {
        Some(now_us)
    }

    fn rate_limiter(&mut self, entry: usize, organisation: usize, now_us: u64) -> Arc<RateLimiter>;

    /// Called when a request waits.
    fn on_waiting(&mut self, _request: &Request, _queue: &mut Queue<Self::Event>) {}

    fn on_admitted(&mut self, _request: &Request) {}

    /// Returns an entry whose waiting requests may now be admitted.
    fn on_event(&mut self, _event: Self::Event, _queue: &mut Queue<Self::Event>) -> Option<usize> {
        None
    }

    fn on_incident(&mut self, incident: Incident, queue: &mut Queue<Self::Event>);

    /// Returns whether changed limits of an organisation apply everywhere.
    fn is_in_force(&mut self, _organisation: usize) -> bool {
        true
    }
}

/// Future events in the order of time.
pub(super) struct Queue<E> {
    pub(super) now_us: u64,
    events: BTreeMap<(u64, u64), Event<E>>,
    next: u64,
    rng: ChaCha8Rng,
}

enum Event<E> {
    Arrival(usize),
    Decision(usize),
    Retry(usize),
    End(usize),
    ReferenceEnd(usize),
    Incident(Incident),
    CheckInForce {
        organisation: usize,
        limits: RateAndBurst,
        changed_at_us: u64,
    },
    Policy(E),
}

impl<E> Queue<E> {
    pub(super) fn schedule(&mut self, at_us: u64, event: E) {
        self.push(at_us, Event::Policy(event));
    }

    /// Sends a message, which may be lost.
    pub(super) fn send(&mut self, event: E) {
        if self.rng.random_range(0..100) >= LOSS_PERCENT {
            let latency_us = self.rng.random_range(LATENCY_US);
            self.schedule(self.now_us + latency_us, event);
        }
    }

    fn push(&mut self, at_us: u64, event: Event<E>) {
        self.next += 1;
        self.events.insert((at_us, self.next), event);
    }
}

pub(super) struct Simulation<'a, P: Policy> {
    workload: &'a Workload,
    policy: P,
    queue: Queue<P::Event>,
    score: Score,
    waiting: BTreeMap<usize, WaitingRequest>,
    running: BTreeMap<usize, Reservation>,
    entry_of: Vec<usize>,
    pauses: Vec<(usize, u64)>,
    limits: Vec<RateAndBurst>,
}

impl<'a, P: Policy> Simulation<'a, P> {
    pub(super) fn new(workload: &'a Workload, policy: P, seed: u64) -> Self {
        let mut queue = Queue {
            now_us: 0,
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for (index, request) in workload.requests.iter().enumerate() {
            queue.push(request.arrives_at_us, Event::Arrival(index));
        }
        for &(at_us, incident) in &workload.incidents {
            queue.push(at_us, Event::Incident(incident));
        }
        Self {
            score: Score::new(workload),
            workload,
            policy,
            queue,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            entry_of: workload
                .requests
                .iter()
                .map(|request| request.entry)
                .collect(),
            pauses: Vec::new(),
            limits: workload.limits.to_vec(),
        }
    }

    pub(super) fn run(mut self) -> Vec<Measurement> {
        let workload = self.workload;
        let excessive = workload.limits[EXCESSIVE];
        let earned = excessive.rate_tokens_per_s * workload.duration_us / US_PER_S;
        self.score.allow(EXCESSIVE, earned);
        self.policy.start(&mut self.queue);
        while let Some(((at_us, _), event)) = self.queue.events.pop_first() {
            if at_us > workload.duration_us {
                break;
            }
            self.queue.now_us = at_us;
            self.handle(event);
        }
        self.score.measurements(workload, self.policy.name())
    }

    fn handle(&mut self, event: Event<P::Event>) {
        let now_us = self.queue.now_us;
        match event {
            Event::Arrival(index) => self.arrive(index),
            Event::Decision(index) => self.decide(index),
            Event::Retry(index) => {
                if let Some(at_us) = self.retry(index) {
                    self.queue.push(at_us.max(now_us + 1), Event::Retry(index));
                }
            }
            Event::End(index) => self.end(index),
            Event::ReferenceEnd(index) => {
                let request = &self.workload.requests[index];
                self.score.reference_end(index, request, now_us);
            }
            Event::Incident(incident) => self.incident(incident),
            Event::CheckInForce {
                organisation,
                limits,
                changed_at_us,
            } => self.check_in_force(organisation, limits, changed_at_us),
            Event::Policy(event) => {
                if let Some(entry) = self.policy.on_event(event, &mut self.queue) {
                    self.retry_entry(entry);
                }
            }
        }
    }

    fn request(&self, index: usize) -> Request {
        Request {
            entry: self.entry_of[index],
            ..self.workload.requests[index]
        }
    }

    fn arrive(&mut self, index: usize) {
        let now_us = self.queue.now_us;
        // The load balancer avoids a paused entry.
        let is_paused = |&&(entry, until_us): &&(usize, u64)| {
            entry == self.entry_of[index] && now_us < until_us
        };
        if self.pauses.iter().find(is_paused).is_some() {
            self.entry_of[index] = (self.entry_of[index] + 1) % super::workload::ENTRIES;
        }
        let request = self.request(index);
        self.score.arrive(index, &request, now_us);
        let ends_at_us = now_us + request.service_us;
        self.queue.push(ends_at_us, Event::ReferenceEnd(index));
        match self.policy.decides_at_us(&request, now_us) {
            Some(at_us) if at_us == now_us => self.decide(index),
            Some(at_us) if at_us < request.expires_at_us => {
                self.queue.push(at_us, Event::Decision(index));
            }
            _ => self.score.refuse(index, &request),
        }
    }

    fn decide(&mut self, index: usize) {
        let request = self.request(index);
        let now_us = self.queue.now_us;
        let rate_limiter = self
            .policy
            .rate_limiter(request.entry, request.organisation, now_us);
        let limits = self.limits[request.organisation];
        match reserve(
            &rate_limiter,
            request.cost,
            limits,
            request.expires_at_us,
            now_us,
        ) {
            Ok(Admission::Admitted(reservation)) => self.admit(index, reservation),
            Ok(Admission::Waiting(waiting)) => {
                self.queue.push(waiting.retry_at_us(), Event::Retry(index));
                self.waiting.insert(index, waiting);
                self.policy.on_waiting(&request, &mut self.queue);
            }
            Err(_) => self.score.refuse(index, &request),
        }
    }

    fn admit(&mut self, index: usize, reservation: Reservation) {
        let request = self.request(index);
        let now_us = self.queue.now_us;
        self.score.admit(&request, now_us);
        self.policy.on_admitted(&request);
        self.running.insert(index, reservation);
        self.queue
            .push(now_us + request.service_us, Event::End(index));
    }

    /// Returns when to ask again for a request that still waits.
    fn retry(&mut self, index: usize) -> Option<u64> {
        let waiting = self.waiting.get_mut(&index)?;
        match waiting.retry(self.queue.now_us) {
            Ok(None) => return Some(waiting.retry_at_us()),
            Ok(Some(reservation)) => {
                self.waiting.remove(&index);
                self.admit(index, reservation);
            }
            Err(_) => {
                self.waiting.remove(&index);
                let request = self.request(index);
                self.score.refuse(index, &request);
            }
        }
        None
    }

    /// Retries in order; the first request of an organisation that still waits
    /// holds back the later ones, whose own events remain.
    fn retry_entry(&mut self, entry: usize) {
        let waiting = self.waiting.keys().copied();
        let of_entry: Vec<usize> = waiting
            .filter(|&index| self.entry_of[index] == entry)
            .collect();
        let mut is_blocked = [false; ORGANISATIONS];
        for index in of_entry {
            let organisation = self.workload.requests[index].organisation;
            if !is_blocked[organisation] {
                is_blocked[organisation] = self.retry(index).is_some();
            }
        }
    }

    fn end(&mut self, index: usize) {
        let request = self.request(index);
        if let Some(reservation) = self.running.remove(&index) {
            let now_us = self.queue.now_us;
            let unused_tokens = reservation.settle(request.used_tokens, now_us);
            self.score.refund(&request, unused_tokens, now_us);
        }
    }

    fn incident(&mut self, incident: Incident) {
        let now_us = self.queue.now_us;
        match incident {
            Incident::Restart { entry } => self.drop_entry(entry),
            Incident::Pause { entry, until_us } => self.pauses.push((entry, until_us)),
            Incident::SetLimits {
                organisation,
                limits,
            } => {
                self.limits[organisation] = limits;
                self.score.change(organisation, limits, now_us);
                let check = Event::CheckInForce {
                    organisation,
                    limits,
                    changed_at_us: now_us,
                };
                self.queue.push(now_us, check);
            }
            Incident::PlatformDown | Incident::PlatformUp => {}
        }
        self.policy.on_incident(incident, &mut self.queue);
    }

    /// The requests of a process that ended are lost with their refunds.
    fn drop_entry(&mut self, entry: usize) {
        let entry_of = &self.entry_of;
        self.waiting.retain(|&index, _| entry_of[index] != entry);
        self.running.retain(|&index, _| entry_of[index] != entry);
    }

    fn check_in_force(&mut self, organisation: usize, limits: RateAndBurst, changed_at_us: u64) {
        let now_us = self.queue.now_us;
        if self.limits[organisation] != limits {
            return;
        }
        if self.policy.is_in_force(organisation) {
            self.score
                .in_force(organisation, limits, changed_at_us, now_us);
            return;
        }
        let check = Event::CheckInForce {
            organisation,
            limits,
            changed_at_us,
        };
        self.queue.push(now_us + IN_FORCE_CHECK_US, check);
    }
}
