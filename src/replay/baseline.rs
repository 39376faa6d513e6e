//! Policies that placement is compared with.
//!
//! Every entry counts only its own outstanding requests, as it would in a
//! deployment without a shared counter. The reference is the exception: one
//! router that sees the state of every engine.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    names::Incarnation,
    replay::model::{
        Agent,
        Request, //
    },
    request::placement::rendezvous_seed, //
};

/// What a policy may look at.
#[derive(Debug)]
pub struct View<'a> {
    /// The agents; a probe is the only permitted use but for the reference.
    pub agents: &'a mut [Agent],
    /// The trace, for the reference.
    pub trace: &'a [Request],
    /// Present time.
    pub now_us: u64,
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placed {
    /// Chosen target.
    pub target: usize,
    /// Time that the policy spent on probes.
    pub probe_us: u64,
    /// Weight for the fair queue.
    pub weight: u32,
}

/// What an entry learns from the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Target that answered.
    pub target: usize,
    /// Incarnation of its cache.
    pub engine: Incarnation,
    /// Blocks that it had cached.
    pub matched_blocks: u32,
    /// When the request was sent.
    pub sent_at_us: u64,
}

/// A placement policy with the state of all its entries.
pub trait Policy {
    /// Chooses the target of a request.
    fn place(&mut self, request: &Request, view: &mut View<'_>) -> Placed;

    /// Learns of the head of a response.
    fn answered(&mut self, _request: &Request, _answer: Answer, _now_us: u64) {}

    /// Learns that a request has ended or failed on a target.
    fn ended(&mut self, _request: &Request, _target: usize) {}

    /// Learns of a load report that was made at a time.
    fn reported(&mut self, _target: usize, _load_us: u64, _engine: Incarnation, _at_us: u64) {}

    /// Loses the state of all entries.
    fn restarted(&mut self) {}
}

fn without_probe(target: usize) -> Placed {
    Placed {
        target,
        probe_us: 0,
        weight: 1,
    }
}

/// Chooses uniformly.
#[derive(Debug)]
pub struct Random {
    rng: ChaCha8Rng,
}

impl Random {
    /// Creates the policy.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Policy for Random {
    fn place(&mut self, _request: &Request, view: &mut View<'_>) -> Placed {
        without_probe(self.rng.random_range(0..view.agents.len()))
    }
}

/// Every entry goes through the targets in turn.
#[derive(Debug)]
pub struct RoundRobin {
    next: Vec<usize>,
}

impl RoundRobin {
    /// Creates the policy; the entries start at different targets.
    pub fn new(entries: usize, targets: usize) -> Self {
        let start = |entry: usize| entry * targets / entries;
        Self {
            next: (0..entries).map(start).collect(),
        }
    }
}

impl Policy for RoundRobin {
    fn place(&mut self, request: &Request, view: &mut View<'_>) -> Placed {
        let next = &mut self.next[request.entry];
        let target = *next % view.agents.len();
        *next = target + 1;
        without_probe(target)
    }
}

/// Requests in progress per entry and target.
#[derive(Debug)]
struct Outstanding(Vec<Vec<usize>>);

impl Outstanding {
    fn new(entries: usize, targets: usize) -> Self {
        Self(vec![vec![0; targets]; entries])
    }

    fn begin(&mut self, entry: usize, target: usize) {
        self.0[entry][target] += 1;
    }

    fn end(&mut self, entry: usize, target: usize) {
        // A restarted entry has forgotten the requests that it sent.
        let count = &mut self.0[entry][target];
        *count = count.saturating_sub(1);
    }

    fn clear(&mut self) {
        for counts in &mut self.0 {
            counts.fill(0);
        }
    }
}

/// Chooses the target with the fewest requests in progress from this entry.
#[derive(Debug)]
pub struct LeastOutstanding {
    outstanding: Outstanding,
    rng: ChaCha8Rng,
}

impl LeastOutstanding {
    /// Creates the policy; equal targets are chosen between at random.
    pub fn new(entries: usize, targets: usize, seed: u64) -> Self {
        Self {
            outstanding: Outstanding::new(entries, targets),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Policy for LeastOutstanding {
    fn place(&mut self, request: &Request, _view: &mut View<'_>) -> Placed {
        let counts = &self.outstanding.0[request.entry];
        let fewest = counts.iter().min().copied().unwrap_or(0);
        let equal: Vec<usize> = (0..counts.len())
            .filter(|&target| counts[target] == fewest)
            .collect();
        let target = equal[self.rng.random_range(0..equal.len())];
        self.outstanding.begin(request.entry, target);
        without_probe(target)
    }

    fn ended(&mut self, request: &Request, target: usize) {
        self.outstanding.end(request.entry, target);
    }

    fn restarted(&mut self) {
        self.outstanding.clear();
    }
}

/// Rendezvous hashing of the first blocks, with or without a bound on load.
#[derive(Debug)]
pub struct Rendezvous {
    outstanding: Outstanding,
    seeds: Vec<u64>,
    depth_blocks: usize,
    load_factor: Option<f64>,
}

impl Rendezvous {
    /// Creates the policy. A target whose requests in progress exceed
    /// `load_factor` times the mean is skipped.
    pub fn new(
        entries: usize,
        targets: usize,
        depth_blocks: usize,
        load_factor: Option<f64>,
    ) -> Self {
        let seed = |target| rendezvous_seed(&target_name(target));
        Self {
            outstanding: Outstanding::new(entries, targets),
            seeds: (0..targets).map(seed).collect(),
            depth_blocks,
            load_factor,
        }
    }

    fn is_full(&self, entry: usize, target: usize) -> bool {
        let counts = &self.outstanding.0[entry];
        let total: usize = counts.iter().sum();
        self.load_factor.is_some_and(|factor| {
            let mean = (total + 1) as f64 / counts.len() as f64;
            counts[target] as f64 >= (factor * mean).ceil()
        })
    }
}

impl Policy for Rendezvous {
    fn place(&mut self, request: &Request, _view: &mut View<'_>) -> Placed {
        let key = request.blocks[self.depth_blocks.min(request.blocks.len()) - 1];
        let mut ranked: Vec<usize> = (0..self.seeds.len()).collect();
        ranked.sort_by_cached_key(|&target| {
            std::cmp::Reverse(xxh3_64_with_seed(&key.0.to_be_bytes(), self.seeds[target]))
        });
        let free = ranked
            .iter()
            .find(|&&target| !self.is_full(request.entry, target));
        let target = free.copied().unwrap_or(ranked[0]);
        self.outstanding.begin(request.entry, target);
        without_probe(target)
    }

    fn ended(&mut self, request: &Request, target: usize) {
        self.outstanding.end(request.entry, target);
    }

    fn restarted(&mut self) {
        self.outstanding.clear();
    }
}

/// The reference: one router that knows the cache and queue of every engine and
/// chooses the least expected time to first token.
#[derive(Debug)]
pub struct Perfect {
    /// Weight of recomputed blocks, see [`crate::request::placement::PlacementSettings`].
    pub recompute_weight: f64,
}

impl Policy for Perfect {
    fn place(&mut self, request: &Request, view: &mut View<'_>) -> Placed {
        let score = |target: usize| {
            let agent = &view.agents[target];
            let exact = agent.exact(request, view.trace, view.now_us);
            let matched = usize::try_from(exact.matched_blocks).unwrap_or(usize::MAX);
            let unmatched = (request.blocks.len() - matched) as f64;
            let block_us = agent.engine().settings().block_us as f64;
            exact.queue_us as f64 + unmatched * block_us * self.recompute_weight
        };
        let scores = (0..view.agents.len()).map(|target| (target, score(target)));
        let best = scores.min_by(|a, b| a.1.total_cmp(&b.1));
        without_probe(best.map_or(0, |(target, _)| target))
    }
}

/// Returns the name of a modelled target.
///
/// ```
/// assert_eq!(yuccalatch::replay::baseline::target_name(3), "engine-3");
/// ```
pub fn target_name(target: usize) -> String {
    format!("engine-{target}")
}
