//! The router's own policy in the comparison: one placer and one memory of
//! hints for each entry, probes to a few agents.

use std::num::NonZeroUsize;

use crate::{
    names::Incarnation,
    process::hints::{
        Hints,
        Observation, //
    },
    replay::{
        baseline::{
            Answer,
            Placed,
            Policy,
            View,
            target_name, //
        },
        model::Request,
    },
    request::placement::{
        Load,
        Placer,
        Settings,
        Target,
        TargetId,
        seed_of, //
    },
};

/// Blocks that an entry remembers, some 10 MB.
const ENTRY_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

#[derive(Debug)]
struct Entry {
    placer: Placer,
    hints: Hints,
    targets: Vec<Target>,
    loads: Vec<Load>,
}

/// The policy of this router.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    network_us: u64,
    entries: Vec<Entry>,
}

impl Router {
    /// Creates the policy.
    pub fn new(
        settings: Settings,
        entries: usize,
        targets: usize,
        block_us: u64,
        network_us: u64,
    ) -> Self {
        let target = |index: usize| Target {
            id: TargetId(u32::try_from(index).unwrap_or(u32::MAX)),
            seed: seed_of(&target_name(index)),
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
            loads: vec![Load::default(); targets.len()],
        };
        Self {
            settings,
            network_us,
            entries: (0..entries).map(|_| entry()).collect(),
        }
    }
}

impl Policy for Router {
    fn place(&mut self, request: &Request, view: &mut View<'_>) -> Placed {
        let entry = &mut self.entries[request.entry];
        for (target, load) in entry.targets.iter_mut().zip(&entry.loads) {
            target.queue_us = load.at(view.now_us);
        }
        let targets = entry.targets.clone();
        let engine_of = |id: TargetId| targets.get(id.0 as usize).map(|target| target.engine);
        let hints = entry.hints.lookup(&request.blocks, engine_of);
        let blocks = &request.blocks;
        let plan = entry.placer.plan(blocks, &targets, &hints, view.now_us);
        let mut probe = |id: &TargetId| view.agents[id.0 as usize].probe(request, view.now_us);
        let mut probes: Vec<_> = plan.probes.iter().map(&mut probe).collect();
        let more = entry.placer.more_probes(&plan, blocks, &targets, &probes);
        let rounds = u64::from(!probes.is_empty()) + u64::from(!more.is_empty());
        probes.extend(more.iter().map(probe));
        for probe in &probes {
            entry.targets[probe.target.0 as usize].engine = probe.engine;
            entry.loads[probe.target.0 as usize].observe(probe.queue_us, view.now_us);
            let seen = Observation {
                target: probe.target,
                engine: probe.engine,
                matched_blocks: probe.matched_blocks,
                sent_at_us: view.now_us,
            };
            entry.hints.probed(blocks, seen, view.now_us);
        }
        let decision = entry.placer.decide(&plan, blocks, &targets, &probes);
        let target = decision
            .as_ref()
            .map_or(0, |decision| decision.target.0 as usize);
        if let Some(decision) = decision {
            let recompute_us = decision.choices[0].score.recompute_us;
            entry.loads[target].send(recompute_us, view.now_us);
        }
        Placed {
            target,
            probe_us: rounds * self.network_us,
        }
    }

    fn answered(&mut self, request: &Request, answer: Answer, now_us: u64) {
        let entry = &mut self.entries[request.entry];
        entry.targets[answer.target].engine = answer.engine;
        let seen = Observation {
            target: TargetId(u32::try_from(answer.target).unwrap_or(u32::MAX)),
            engine: answer.engine,
            matched_blocks: answer.matched_blocks,
            sent_at_us: answer.sent_at_us,
        };
        entry.hints.answered(&request.blocks, seen, now_us);
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
        }
    }
}
