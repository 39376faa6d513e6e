//! Policies to compare with.

use std::sync::Arc;

use super::{
    simulation::{
        Policy,
        Queue, //
    },
    workload::{
        ENTRIES,
        Incident,
        ORGANISATIONS,
        Request,
        Workload, //
    },
};
use crate::process::limits::{
    message::{
        RateAndBurst,
        Share, //
    },
    rate_limiter::RateLimiter, //
};

/// Calls that the object API sustains are several hundred a second.
const CENTRAL_CALL_US: u64 = 2_000;
const CENTRAL_ROUND_TRIP_US: u64 = 3_000;
const GOSSIP_PERIOD_US: u64 = 100_000;

fn rate_limiters(limits: &[RateAndBurst]) -> Vec<Arc<RateLimiter>> {
    let filled = |&amount: &RateAndBurst| {
        let rate_limiter = RateLimiter::new(0);
        set(&rate_limiter, amount, 0);
        Arc::new(rate_limiter)
    };
    limits.iter().map(filled).collect()
}

/// Replaces rate and burst, keeping the level as far as it fits.
fn set(rate_limiter: &RateLimiter, amount: RateAndBurst, now_us: u64) {
    let held = rate_limiter.amount();
    rate_limiter.split(held.minus(amount), 0, now_us);
    let share = Share {
        amount: amount.minus(held),
        level_microtokens: 0,
    };
    rate_limiter.merge(share, now_us);
}

fn split(limits: RateAndBurst) -> RateAndBurst {
    let entries = ENTRIES as u64;
    RateAndBurst {
        rate_tokens_per_s: limits.rate_tokens_per_s / entries,
        burst_tokens: limits.burst_tokens / entries,
    }
}

/// Every entry has the same fixed part.
pub(super) struct EqualSplit {
    rate_limiters: Vec<Vec<Arc<RateLimiter>>>,
}

impl EqualSplit {
    pub(super) fn new(workload: &Workload) -> Self {
        let parts = workload.limits.map(split);
        Self {
            rate_limiters: (0..ENTRIES).map(|_| rate_limiters(&parts)).collect(),
        }
    }
}

impl Policy for EqualSplit {
    type Event = ();

    fn name(&self) -> &'static str {
        "equal_split"
    }

    fn rate_limiter(
        &mut self,
        entry: usize,
        organisation: usize,
        _now_us: u64,
    ) -> Arc<RateLimiter> {
        Arc::clone(&self.rate_limiters[entry][organisation])
    }

    fn on_incident(&mut self, incident: Incident, queue: &mut Queue<()>) {
        if let Incident::SetLimits {
            organisation,
            limits,
        } = incident
        {
            for rate_limiters in &self.rate_limiters {
                set(&rate_limiters[organisation], split(limits), queue.now_us);
            }
        }
    }
}

/// One counter in the object API, one call for each request.
pub(super) struct CentralCounter {
    rate_limiters: Vec<Arc<RateLimiter>>,
    free_at_us: u64,
    is_down: bool,
}

impl CentralCounter {
    pub(super) fn new(workload: &Workload) -> Self {
        Self {
            rate_limiters: rate_limiters(&workload.limits),
            free_at_us: 0,
            is_down: false,
        }
    }
}

impl Policy for CentralCounter {
    type Event = ();

    fn name(&self) -> &'static str {
        "central_counter"
    }

    fn decides_at_us(&mut self, request: &Request, now_us: u64) -> Option<u64> {
        let starts_at_us = self.free_at_us.max(now_us);
        // A call that could not be answered in time is not made.
        if self.is_down || starts_at_us >= request.expires_at_us {
            return None;
        }
        self.free_at_us = starts_at_us + CENTRAL_CALL_US;
        Some(self.free_at_us + CENTRAL_ROUND_TRIP_US)
    }

    fn rate_limiter(
        &mut self,
        _entry: usize,
        organisation: usize,
        _now_us: u64,
    ) -> Arc<RateLimiter> {
        Arc::clone(&self.rate_limiters[organisation])
    }

    fn on_incident(&mut self, incident: Incident, queue: &mut Queue<()>) {
        match incident {
            Incident::PlatformDown => self.is_down = true,
            Incident::PlatformUp => self.is_down = false,
            Incident::SetLimits {
                organisation,
                limits,
            } => set(&self.rate_limiters[organisation], limits, queue.now_us),
            Incident::Restart { .. } | Incident::Pause { .. } => {}
        }
    }
}

/// What one entry admitted since its last message.
pub(super) struct Gossip {
    to: usize,
    spent_tokens: [u64; ORGANISATIONS],
}

pub(super) enum GossipEvent {
    Period(usize),
    Deliver(Gossip),
}

/// Every entry has the whole rate and subtracts what others say they admitted.
pub(super) struct GossipEstimate {
    rate_limiters: Vec<Vec<Arc<RateLimiter>>>,
    spent_tokens: [[u64; ORGANISATIONS]; ENTRIES],
}

impl GossipEstimate {
    pub(super) fn new(workload: &Workload) -> Self {
        Self {
            rate_limiters: (0..ENTRIES)
                .map(|_| rate_limiters(&workload.limits))
                .collect(),
            spent_tokens: [[0; ORGANISATIONS]; ENTRIES],
        }
    }
}

impl Policy for GossipEstimate {
    type Event = GossipEvent;

    fn name(&self) -> &'static str {
        "gossip_estimate"
    }

    fn start(&mut self, queue: &mut Queue<GossipEvent>) {
        for entry in 0..ENTRIES {
            queue.schedule(GOSSIP_PERIOD_US, GossipEvent::Period(entry));
        }
    }

    fn rate_limiter(
        &mut self,
        entry: usize,
        organisation: usize,
        _now_us: u64,
    ) -> Arc<RateLimiter> {
        Arc::clone(&self.rate_limiters[entry][organisation])
    }

    fn on_admitted(&mut self, request: &Request) {
        let cost_tokens = request.cost.total_tokens().get();
        self.spent_tokens[request.entry][request.organisation] += cost_tokens;
    }

    fn on_event(&mut self, event: GossipEvent, queue: &mut Queue<GossipEvent>) -> Option<usize> {
        match event {
            GossipEvent::Period(entry) => {
                let spent_tokens = std::mem::take(&mut self.spent_tokens[entry]);
                for to in (0..ENTRIES).filter(|&to| to != entry) {
                    queue.send(GossipEvent::Deliver(Gossip { to, spent_tokens }));
                }
                let next_at_us = queue.now_us + GOSSIP_PERIOD_US;
                queue.schedule(next_at_us, GossipEvent::Period(entry));
            }
            GossipEvent::Deliver(Gossip { to, spent_tokens }) => {
                for (rate_limiter, spent_tokens) in self.rate_limiters[to].iter().zip(spent_tokens)
                {
                    let held = rate_limiter.amount();
                    // The part that is still there is taken out of the level.
                    rate_limiter.split(
                        RateAndBurst {
                            rate_tokens_per_s: 0,
                            burst_tokens: spent_tokens,
                        },
                        spent_tokens,
                        queue.now_us,
                    );
                    set(rate_limiter, held, queue.now_us);
                }
            }
        }
        None
    }

    fn on_incident(&mut self, incident: Incident, queue: &mut Queue<GossipEvent>) {
        if let Incident::SetLimits {
            organisation,
            limits,
        } = incident
        {
            for rate_limiters in &self.rate_limiters {
                set(&rate_limiters[organisation], limits, queue.now_us);
            }
        }
    }
}
