//! Runs a trace against a policy in virtual time.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap,
        HashSet, //
    },
};

use crate::{
    clock::US_PER_S,
    names::Incarnation,
    process::fair_queue::QueueSettings,
    replay::{
        baseline::{
            Answer,
            Policy,
            View, //
        },
        model::{
            Agent,
            BLOCK_TOKENS,
            EngineSettings,
            Importing,
            KvStore,
            KvStoreSettings,
            Output,
            QueueKind,
            Request, //
        },
    },
    request::placement::TargetId, //
};

/// Time between load reports.
const REPORT_INTERVAL_US: u64 = US_PER_S;
/// Age of a load report when an entry sees it.
const REPORT_LAG_US: u64 = US_PER_S / 2;

/// Conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSettings {
    /// Engines.
    pub targets: usize,
    /// Round trip between entry and target.
    pub network_us: u64,
    /// Model of each engine.
    pub engine: EngineSettings,
    /// Order at the agents.
    pub queue_kind: QueueKind,
    /// Bounds of the queue at the agents.
    pub queue: QueueSettings,
    /// The store that the engines import from and export to.
    pub kv_store: Option<KvStoreSettings>,
    /// When the first engine crashes.
    pub crash_at_us: Option<u64>,
    /// When all entries restart.
    pub restart_at_us: Option<u64>,
    /// Seed of lost events and incarnations.
    pub seed: u64,
}

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Time to first token; `None` for a refused request.
    pub first_token_us: Option<u64>,
    /// Blocks of the prompt.
    pub prompt_blocks: u32,
    /// Blocks found in the cache.
    pub matched_blocks: u32,
    /// Blocks imported from the KV store; they count as found in the cache.
    pub imported_blocks: u32,
    /// Blocks computed although an engine had computed them before.
    pub recomputed_blocks: u32,
}

impl Outcome {
    /// Returns the recomputed tokens.
    pub fn recomputed_tokens(&self) -> u64 {
        u64::from(self.recomputed_blocks) * u64::from(BLOCK_TOKENS)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Work {
        target: usize,
    },
    Submit {
        request: usize,
        target: usize,
        weight: u32,
    },
    Imported {
        request: usize,
        target: usize,
        weight: u32,
    },
    Arrive {
        request: usize,
    },
    Sample,
    Report {
        target: usize,
        load_us: u64,
        engine: Incarnation,
    },
    Crash {
        target: usize,
    },
    RestartEntries,
}

struct Simulation<'a> {
    settings: &'a RunSettings,
    trace: &'a [Request],
    policy: &'a mut dyn Policy,
    agents: Vec<Agent>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    next_order: u64,
    work_at_us: Vec<u64>,
    sent_at_us: Vec<u64>,
    outcomes: Vec<Outcome>,
    computed: HashSet<crate::request::prompt::BlockHash>,
    kv_store: Option<KvStore>,
    importing: HashMap<usize, Importing>,
}

/// Runs a trace and returns the outcome of each request.
pub fn run(settings: &RunSettings, trace: &[Request], policy: &mut dyn Policy) -> Vec<Outcome> {
    let agent = |target: usize| {
        let id = u32::try_from(target).unwrap_or(u32::MAX);
        let seed = settings.seed.wrapping_add(u64::from(id));
        let kind = settings.queue_kind;
        Agent::new(TargetId(id), settings.engine, kind, settings.queue, seed)
    };
    let mut simulation = Simulation {
        settings,
        trace,
        policy,
        agents: (0..settings.targets).map(agent).collect(),
        steps: BinaryHeap::new(),
        next_order: 0,
        work_at_us: vec![u64::MAX; settings.targets],
        sent_at_us: vec![0; trace.len()],
        outcomes: vec![Outcome::default(); trace.len()],
        computed: HashSet::new(),
        kv_store: settings
            .kv_store
            .map(|store| KvStore::new(store, settings.targets)),
        importing: HashMap::new(),
    };
    simulation.begin();
    simulation.finish();
    simulation.outcomes
}

impl Simulation<'_> {
    fn begin(&mut self) {
        for (request, entry) in self.trace.iter().enumerate() {
            self.push(entry.arrival_us, Step::Arrive { request });
        }
        self.push(0, Step::Sample);
        if let Some(at_us) = self.settings.crash_at_us {
            self.push(at_us, Step::Crash { target: 0 });
        }
        if let Some(at_us) = self.settings.restart_at_us {
            self.push(at_us, Step::RestartEntries);
        }
    }

    fn finish(&mut self) {
        while let Some(Reverse((now_us, _, step))) = self.steps.pop() {
            match step {
                Step::Work { target } => self.work(target, now_us),
                Step::Submit {
                    request,
                    target,
                    weight,
                } => self.import(request, target, weight, now_us),
                Step::Imported {
                    request,
                    target,
                    weight,
                } => self.imported(request, target, weight, now_us),
                Step::Arrive { request } => self.arrive(request, now_us),
                Step::Sample => self.sample(now_us),
                Step::Report {
                    target,
                    load_us,
                    engine,
                } => {
                    let sampled_at_us = now_us - REPORT_LAG_US;
                    self.policy.reported(target, load_us, engine, sampled_at_us);
                }
                Step::Crash { target } => self.crash(target, now_us),
                Step::RestartEntries => self.policy.restarted(),
            }
        }
    }

    fn push(&mut self, at_us: u64, step: Step) {
        self.steps.push(Reverse((at_us, self.next_order, step)));
        self.next_order += 1;
    }

    fn arrive(&mut self, request: usize, now_us: u64) {
        let mut view = View {
            agents: &mut self.agents,
            trace: self.trace,
            now_us,
        };
        let placed = self.policy.place(&self.trace[request], &mut view);
        let target = placed.target;
        self.sent_at_us[request] = now_us;
        let arrives_at_us = now_us + placed.probe_us + self.settings.network_us / 2;
        self.push(
            arrives_at_us,
            Step::Submit {
                request,
                target,
                weight: placed.weight,
            },
        );
    }

    fn import(&mut self, id: usize, target: usize, weight: u32, now_us: u64) {
        let request = &self.trace[id];
        let importing = self.kv_store.as_mut().and_then(|store| {
            let agent = &mut self.agents[target];
            agent.begin_import(request, store, now_us)
        });
        let Some(importing) = importing else {
            self.submit(id, target, weight, now_us);
            return;
        };
        self.importing.insert(id, importing);
        let step = Step::Imported {
            request: id,
            target,
            weight,
        };
        self.push(importing.ends_at_us, step);
    }

    fn imported(&mut self, id: usize, target: usize, weight: u32, now_us: u64) {
        if let Some(importing) = self.importing.remove(&id) {
            let request = &self.trace[id];
            let blocks = self.agents[target].end_import(request, importing, now_us);
            let imported_blocks = &mut self.outcomes[id].imported_blocks;
            *imported_blocks += u32::try_from(blocks).unwrap_or(u32::MAX);
        }
        self.submit(id, target, weight, now_us);
    }

    fn submit(&mut self, request: usize, target: usize, weight: u32, now_us: u64) {
        let refused = self.agents[target].submit(request, weight, self.trace, now_us);
        for id in refused {
            self.policy.ended(&self.trace[id], target);
        }
        self.schedule(target);
    }

    fn work(&mut self, target: usize, now_us: u64) {
        if self.work_at_us[target] == now_us {
            self.work_at_us[target] = u64::MAX;
        }
        for output in self.agents[target].advance(self.trace, now_us) {
            match output {
                Output::FirstToken {
                    request,
                    matched_blocks,
                } => self.first_token(request, matched_blocks, target, now_us),
                Output::Finished { request } => {
                    self.policy.ended(&self.trace[request], target);
                }
            }
        }
        self.schedule(target);
    }

    fn schedule(&mut self, target: usize) {
        let Some(at_us) = self.agents[target].engine().next_at_us() else {
            return;
        };
        if at_us < self.work_at_us[target] {
            self.work_at_us[target] = at_us;
            self.push(at_us, Step::Work { target });
        }
    }

    fn first_token(&mut self, id: usize, matched_blocks: u32, target: usize, now_us: u64) {
        let request = &self.trace[id];
        let answer = Answer {
            target,
            engine: self.agents[target].engine().incarnation(),
            matched_blocks,
            sent_at_us: self.sent_at_us[id],
        };
        self.policy.answered(request, answer, now_us);
        if let Some(store) = &mut self.kv_store {
            self.agents[target].export(request, store, now_us);
        }
        let matched = usize::try_from(matched_blocks).unwrap_or(usize::MAX);
        let computed = &request.blocks[matched..];
        let recomputed = computed
            .iter()
            .filter(|block| !self.computed.insert(**block));
        let recomputed_blocks = u32::try_from(recomputed.count()).unwrap_or(u32::MAX);
        let outcome = &mut self.outcomes[id];
        outcome.recomputed_blocks += recomputed_blocks;
        if outcome.first_token_us.is_some() {
            return;
        }
        let seen_at_us = now_us + self.settings.network_us / 2;
        outcome.first_token_us = Some(seen_at_us - request.arrival_us);
        outcome.prompt_blocks = u32::try_from(request.blocks.len()).unwrap_or(u32::MAX);
        outcome.matched_blocks = matched_blocks;
    }

    fn sample(&mut self, now_us: u64) {
        for target in 0..self.agents.len() {
            let load_us = self.agents[target].load_us(now_us);
            let engine = self.agents[target].engine().incarnation();
            let report = Step::Report {
                target,
                load_us,
                engine,
            };
            self.push(now_us + REPORT_LAG_US, report);
        }
        let last_us = self.trace.last().map_or(0, |request| request.arrival_us);
        if now_us < last_us {
            self.push(now_us + REPORT_INTERVAL_US, Step::Sample);
        }
    }

    fn crash(&mut self, target: usize, now_us: u64) {
        let incarnation = Incarnation(self.settings.seed ^ now_us);
        let lost = self.agents[target].crash(incarnation, self.trace);
        if let Some(store) = &mut self.kv_store {
            store.crash(target, now_us);
        }
        self.work_at_us[target] = u64::MAX;
        for id in lost {
            self.policy.ended(&self.trace[id], target);
            self.push(
                now_us + self.settings.network_us,
                Step::Arrive { request: id },
            );
        }
        // The queue of the agent continues with the restarted engine.
        self.push(now_us, Step::Work { target });
    }
}
