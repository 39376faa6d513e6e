//! The router's own policy in the comparison: one placer and one memory of
//! hints for each entry, probes to a few agents.

use std::{
    collections::HashMap,
    num::NonZeroUsize, //
};

use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::{
        fair_queue::{
            DemandMeter,
            RateStatus, //
        },
        hints::{
            CacheObservation,
            Hints, //
        },
    },
    replay::{
        baseline::{
            Answer,
            Placed,
            Policy,
            View,
            target_name, //
        },
        model::Request, //
    },
    request::placement::{
        PlacementSettings,
        Placer,
        Target,
        TargetId,
        TargetQueue,
        confine,
        rendezvous_seed, //
    },
};

/// Blocks that an entry remembers, several times what the engines cache.
const ENTRY_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

#[derive(Debug)]
struct Entry {
    placer: Placer,
    hints: Hints,
    targets: Vec<Target>,
    loads: Vec<TargetQueue>,
    senders: HashMap<Name, Sender>,
}

/// What an entry knows of an organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Sender {
    demand: DemandMeter,
    rate_tokens_per_s: u64,
}

/// Standing of an organisation.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    weight: u32,
    /// Share of all rates, when the organisation is above its rate.
    share: Option<f64>,
}

impl Entry {
    /// Counts the request and returns the standing of its organisation.
    fn admit(&mut self, request: &Request, entries: u64, now_us: u64) -> Admitted {
        for (target, load) in self.targets.iter_mut().zip(&self.loads) {
            target.queue_us = load.at(now_us);
        }
        let rate_tokens_per_s = request.rate_tokens_per_s / entries;
        let sender = self.senders.entry(request.organisation.clone());
        let sender = sender.or_default();
        sender.rate_tokens_per_s = rate_tokens_per_s;
        let tokens = request.prompt_tokens();
        let rate_status = sender.demand.count(tokens, rate_tokens_per_s, now_us);
        let weight = weight(rate_tokens_per_s, rate_status);
        if !rate_status.is_over_rate {
            return Admitted {
                weight,
                share: None,
            };
        }
        let rates = self.senders.values().map(|sender| sender.rate_tokens_per_s);
        let share = rate_tokens_per_s as f64 / rates.sum::<u64>().max(1) as f64;
        Admitted {
            weight,
            share: Some(share),
        }
    }
}

/// Tokens per second for one unit of weight.
const TOKENS_PER_WEIGHT: u64 = 100;

/// The traces have no tickets, so that the weight follows the rate.
fn weight(rate_tokens_per_s: u64, rate_status: RateStatus) -> u32 {
    let weight = (rate_tokens_per_s as f64 * rate_status.weight_factor) as u64 / TOKENS_PER_WEIGHT;
    u32::try_from(weight.max(1)).unwrap_or(u32::MAX)
}

/// The policy of this router.
#[derive(Debug)]
pub struct Router {
    settings: PlacementSettings,
    network_us: u64,
    is_confining: bool,
    entries: Vec<Entry>,
}

impl Router {
    /// Creates the policy.
    pub fn new(
        settings: PlacementSettings,
        entries: usize,
        targets: usize,
        block_us: u64,
        network_us: u64,
    ) -> Self {
        let target = |index: usize| Target {
            id: TargetId(u32::try_from(index).unwrap_or(u32::MAX)),
            seed: rendezvous_seed(&target_name(index)),
            engine: Incarnation(0),
            queue_us: 0,
            block_us,
            network_us,
        };
        let targets: Vec<Target> = (0..targets).map(target).collect();
        let entry = || Entry {
            placer: Placer::new(settings, ENTRY_BLOCKS),
            hints: Hints::new(ENTRY_BLOCKS),
            targets: targets.clone(),
            loads: vec![TargetQueue::default(); targets.len()],
            senders: HashMap::new(),
        };
        Self {
            settings,
            network_us,
            is_confining: true,
            entries: (0..entries).map(|_| entry()).collect(),
        }
    }
}

impl Router {
    /// Lets organisations above their rate use all targets.
    pub fn without_confinement(mut self) -> Self {
        self.is_confining = false;
        self
    }
}

impl Policy for Router {
    fn place(&mut self, request: &Request, view: &mut View<'_>) -> Placed {
        let entries = u64::try_from(self.entries.len()).unwrap_or(1);
        let entry = &mut self.entries[request.entry];
        let Admitted { weight, share } = entry.admit(request, entries, view.now_us);
        let targets = match share {
            Some(share) if self.is_confining => {
                confine(&entry.targets, &request.organisation, share)
            }
            _ => entry.targets.clone(),
        };
        let engine_of = |id: TargetId| {
            let target = targets.iter().find(|target| target.id == id);
            target.map(|target| target.engine)
        };
        let hints = entry.hints.lookup(&request.blocks, engine_of);
        let blocks = &request.blocks;
        let plan = entry.placer.plan(blocks, &targets, &hints, view.now_us);
        let mut probe =
            |id: &TargetId| view.agents[id.0 as usize].probe(request, weight, view.now_us);
        let mut probes: Vec<_> = plan.probes.iter().map(&mut probe).collect();
        let more = entry
            .placer
            .choose_more_probes(&plan, blocks, &targets, &probes);
        let rounds = u64::from(!probes.is_empty()) + u64::from(!more.is_empty());
        probes.extend(more.iter().map(probe));
        for probe in &probes {
            entry.targets[probe.target.0 as usize].engine = probe.engine;
            entry.loads[probe.target.0 as usize].observe(probe.queue_us, view.now_us);
            let seen = CacheObservation {
                target: probe.target,
                engine: probe.engine,
                matched_blocks: probe.matched_blocks,
                sent_at_us: view.now_us,
            };
            entry.hints.record_probe(blocks, seen, view.now_us);
        }
        let decision = entry.placer.decide(&plan, blocks, &targets, &probes);
        let target = decision
            .as_ref()
            .map_or(0, |decision| decision.target.0 as usize);
        if let Some(decision) = decision {
            let recompute_us = decision.choices[0].score.recompute_us;
            entry.loads[target].add_sent(recompute_us, view.now_us);
        }
        Placed {
            target,
            probe_us: rounds * self.network_us,
            weight,
        }
    }

    fn answered(&mut self, request: &Request, answer: Answer, now_us: u64) {
        let entry = &mut self.entries[request.entry];
        entry.targets[answer.target].engine = answer.engine;
        let seen = CacheObservation {
            target: TargetId(u32::try_from(answer.target).unwrap_or(u32::MAX)),
            engine: answer.engine,
            matched_blocks: answer.matched_blocks,
            sent_at_us: answer.sent_at_us,
        };
        entry.hints.record_answer(&request.blocks, seen, now_us);
    }

    fn reported(&mut self, target: usize, load_us: u64, engine: Incarnation, sampled_at_us: u64) {
        for entry in &mut self.entries {
            entry.loads[target].observe(load_us, sampled_at_us);
            entry.targets[target].engine = engine;
        }
    }

    fn restarted(&mut self) {
        for entry in &mut self.entries {
            entry.placer = Placer::new(self.settings, ENTRY_BLOCKS);
            entry.hints = Hints::new(ENTRY_BLOCKS);
            entry.senders.clear();
        }
    }
}
