//! Choice of a target for a prompt.
//!
//! The first step sends no messages. Rendezvous hashing narrows the targets block
//! by block: each block of the prompt keeps as many targets as the share of
//! requests with this prefix needs. The second step probes a few of the remaining
//! targets and compares them by the expected time to first token.

use std::num::NonZeroUsize;

use lru::LruCache;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::US_PER_S,
    names::Incarnation,
    process::hints::Hint,
    request::prompt::BlockHash, //
};

mod queue;
mod score;

pub use queue::TargetQueue;
pub use score::{
    CandidateSource,
    Decision,
    PlacementChoice,
    ProbeResult,
    Score,
    SkipReason,
    TargetEstimate, //
};

/// Number of a target within one entry. Other entries may use other numbers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetId(pub u32);

/// Returns the rendezvous seed of a target, computed from its name so that it
/// is equal on every entry.
///
/// ```
/// use yuccalatch::request::placement::rendezvous_seed;
///
/// assert_ne!(rendezvous_seed("engine-1"), rendezvous_seed("engine-2"));
/// ```
pub fn rendezvous_seed(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// A target that may serve the request, with the entry's latest data on it.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Number by which estimates, probes and hints refer to the target.
    pub id: TargetId,
    /// From [`rendezvous_seed`].
    pub seed: u64,
    /// Incarnation of the engine's cache, from the last report or response.
    pub engine: Incarnation,
    /// Expected wait in the target's queue: the last report plus the requests
    /// that this entry has sent since.
    pub queue_us: u64,
    /// Time in which the engine computes one block.
    pub block_us: u64,
    /// Round trip between this entry and the target.
    pub network_us: u64,
}

/// Parameters of the placement policy. `docs/placement.md` compares the defaults
/// with alternatives.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// Factor for the number of targets of a prefix, on top of its share of the
    /// requests times the number of all targets.
    pub replica_factor: f64,
    /// Fewest candidates for any prefix, so that there is an alternative to a busy
    /// or lost target.
    pub min_candidates: usize,
    /// Most targets to compare for a request.
    pub max_choices: usize,
    /// Most targets to probe in one round. A request has at most two rounds.
    pub max_probes: usize,
    /// Expected time to first token above which a second round of probes is
    /// worth its round trip.
    pub probe_again_above_us: u64,
    /// A target is skipped when its queue exceeds this multiple of the mean queue
    /// plus `load_slack_us`.
    pub load_factor: f64,
    /// Queue that never leads to a skip. The mean queue of an idle fleet is zero, so
    /// that the multiple alone would skip every target with a queue.
    pub load_slack_us: u64,
    /// Weight of the time to recompute blocks, relative to the time in the queue.
    /// It is above one because recomputing also delays the requests behind and
    /// evicts other blocks.
    pub recompute_weight: f64,
    /// Age above which a hint is not used without a probe.
    pub max_hint_age_us: u64,
    /// Time after which a request counts half towards the share of its prefixes.
    pub half_life_us: u64,
    /// Time to import one block from the KV store; `None` without a KV store.
    pub import_block_us: Option<u64>,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            replica_factor: 1.5,
            min_candidates: 2,
            max_choices: 6,
            max_probes: 3,
            probe_again_above_us: US_PER_S / 10,
            load_factor: 2.0,
            load_slack_us: US_PER_S / 2,
            recompute_weight: 1.5,
            max_hint_age_us: US_PER_S / 20,
            half_life_us: 10 * US_PER_S,
            import_block_us: None,
        }
    }
}

/// Candidates for a prompt in rendezvous order, best first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidates {
    /// Length of the prefix that determined `preferred`.
    pub level_blocks: u32,
    /// Length of the shorter prefix that determined `overflow`.
    pub parent_blocks: u32,
    /// Targets that should have the prefix of `level_blocks` in their caches.
    pub preferred: Vec<TargetId>,
    /// Targets that should have only the shorter prefix. They are used when all
    /// preferred ones are overloaded.
    pub overflow: Vec<TargetId>,
}

/// Targets to compare for a request, and those to probe first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Targets that rendezvous hashing selected.
    pub candidates: Candidates,
    /// Targets to compare, best first by the estimates without probes.
    pub estimates: Vec<TargetEstimate>,
    /// Targets to probe in the first round, because their estimates are not
    /// recent.
    pub probes: Vec<TargetId>,
}

/// Number of requests weighted by their age: the weight halves every
/// `half_life_us`.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    requests: f64,
    updated_at_us: u64,
}

impl DecayingCount {
    fn at(self, now_us: u64, half_life_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        self.requests * (-(age_us as f64) / half_life_us as f64).exp2()
    }

    fn add(&mut self, now_us: u64, half_life_us: u64) {
        self.requests = self.at(now_us, half_life_us) + 1.0;
        self.updated_at_us = now_us;
    }
}

/// Placement policy of an entry.
///
/// Its only state is the share of requests of each prefix, so that a restarted
/// entry places well from its first request.
///
/// ```
/// use std::num::NonZeroUsize;
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::request::placement::{
///     rendezvous_seed, Placer, PlacementSettings, Target, TargetId,
/// };
/// use yuccalatch::request::prompt::BlockHash;
///
/// let targets: Vec<Target> = (0..4)
///     .map(|id| Target {
///         id: TargetId(id),
///         seed: rendezvous_seed(&format!("engine-{id}")),
///         engine: Incarnation(1),
///         queue_us: 0,
///         block_us: 30_000,
///         network_us: 1_000,
///     })
///     .collect();
/// let mut placer = Placer::new(PlacementSettings::default(), NonZeroUsize::new(1_000).unwrap());
/// let blocks = [BlockHash(1), BlockHash(2)];
/// let plan = placer.plan(&blocks, &targets, &[], 0);
/// let decision = placer.decide(&plan, &blocks, &targets, &[]).unwrap();
/// assert!(plan.candidates.preferred.contains(&decision.target));
/// ```
#[derive(Debug)]
pub struct Placer {
    settings: PlacementSettings,
    prefix_counts: LruCache<BlockHash, DecayingCount>,
    total_count: DecayingCount,
}

impl Placer {
    /// Creates a placer that counts requests for the `capacity_blocks` most
    /// recently used blocks.
    pub fn new(settings: PlacementSettings, capacity_blocks: NonZeroUsize) -> Self {
        Self {
            settings,
            prefix_counts: LruCache::new(capacity_blocks),
            total_count: DecayingCount::default(),
        }
    }

    /// Returns the parameters that were passed to [`Placer::new`].
    pub fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Counts the request and returns which targets to compare and to probe.
    ///
    /// `hints` come from [`crate::process::hints::Hints::lookup`].
    pub fn plan(
        &mut self,
        blocks: &[BlockHash],
        targets: &[Target],
        hints: &[Hint],
        now_us: u64,
    ) -> PlacementPlan {
        self.count_request(blocks, now_us);
        let candidates = self.select_candidates(blocks, targets, now_us);
        let estimates = self.build_estimates(&candidates, blocks.len(), targets, hints);
        let probes = self.choose_probes(blocks, &estimates, now_us);
        PlacementPlan {
            candidates,
            estimates,
            probes,
        }
    }

    /// Narrows the targets by rendezvous hashing, block by block.
    ///
    /// The sets are nested, so that all continuations of a frequent prefix stay on
    /// the targets that have it in their caches.
    pub fn select_candidates(
        &mut self,
        blocks: &[BlockHash],
        targets: &[Target],
        now_us: u64,
    ) -> Candidates {
        let mut ranked: Vec<&Target> = targets.iter().collect();
        let mut set_size = targets.len();
        let mut parent_size = targets.len();
        let mut level_blocks = 0;
        let mut parent_blocks = 0;
        for (depth, &block) in (1..).zip(blocks) {
            if set_size <= self.settings.min_candidates {
                break;
            }
            let replicas = self.replica_count(block, targets.len(), now_us);
            if replicas >= set_size {
                continue;
            }
            sort_by_rendezvous(&mut ranked[..set_size], block);
            parent_size = set_size;
            set_size = replicas;
            parent_blocks = level_blocks;
            level_blocks = depth;
        }
        let ids = |range: &[&Target]| range.iter().map(|target| target.id).collect();
        Candidates {
            level_blocks,
            parent_blocks,
            preferred: ids(&ranked[..set_size]),
            overflow: ids(&ranked[set_size..parent_size]),
        }
    }

    /// Compares the targets of the plan; returns `None` if there are none.
    ///
    /// `probes` are the results that arrived in time. Without a result, the
    /// estimate of a target stays as it was.
    pub fn decide(
        &self,
        plan: &PlacementPlan,
        blocks: &[BlockHash],
        targets: &[Target],
        probes: &[ProbeResult],
    ) -> Option<Decision> {
        score::decide(&self.settings, plan, blocks.len(), targets, probes)
    }

    /// Returns the targets to probe in a second round: none if the results so far
    /// promise an early first token, otherwise the next best ones of the plan.
    pub fn choose_more_probes(
        &self,
        plan: &PlacementPlan,
        blocks: &[BlockHash],
        targets: &[Target],
        probes: &[ProbeResult],
    ) -> Vec<TargetId> {
        let Some(decision) = self.decide(plan, blocks, targets, probes) else {
            return Vec::new();
        };
        if decision.choices[0].score.total_us() <= self.settings.probe_again_above_us {
            return Vec::new();
        }
        let was_probed = |id: &TargetId| probes.iter().any(|probe| probe.target == *id);
        let estimates = plan.estimates.iter().map(|estimate| estimate.target);
        let others = estimates.filter(|id| !was_probed(id));
        others.take(self.settings.max_probes).collect()
    }

    fn count_request(&mut self, blocks: &[BlockHash], now_us: u64) {
        let half_life_us = self.settings.half_life_us;
        self.total_count.add(now_us, half_life_us);
        for &block in blocks.iter().rev() {
            let prefix_count = self
                .prefix_counts
                .get_or_insert_mut(block, DecayingCount::default);
            prefix_count.add(now_us, half_life_us);
        }
    }

    /// Returns the number of targets for the prefix that ends with a block. It is a
    /// power of two, so that entries with slightly different counts agree.
    fn replica_count(&self, block: BlockHash, targets: usize, now_us: u64) -> usize {
        let half_life_us = self.settings.half_life_us;
        let prefix_count = self.prefix_counts.peek(&block).copied().unwrap_or_default();
        let total = self.total_count.at(now_us, half_life_us).max(1.0);
        // A single request says nothing about the share. If it counted, an entry
        // that has just started would use many targets for every prefix.
        let counted = (prefix_count.at(now_us, half_life_us) - 1.0).max(0.0);
        let share = counted / total.max(MIN_SAMPLE_REQUESTS);
        let needed = share * targets as f64 * self.settings.replica_factor;
        let replicas = (needed.ceil().max(1.0) as usize).next_power_of_two();
        replicas.max(self.settings.min_candidates).min(targets)
    }

    fn build_estimates(
        &self,
        candidates: &Candidates,
        prompt_blocks: usize,
        targets: &[Target],
        hints: &[Hint],
    ) -> Vec<TargetEstimate> {
        let mut estimates: Vec<TargetEstimate> = Vec::new();
        let mut push = |id: TargetId, source: CandidateSource, expected_blocks: u32| {
            let is_listed = estimates.iter().any(|estimate| estimate.target == id);
            let Some(target) = targets.iter().find(|target| target.id == id) else {
                return;
            };
            if !is_listed {
                let hint = hints.iter().find(|hint| hint.target == id);
                estimates.push(TargetEstimate::before_probe(
                    target,
                    source,
                    hint,
                    expected_blocks,
                ));
            }
        };
        for &id in &candidates.preferred {
            push(id, CandidateSource::Preferred, candidates.level_blocks);
        }
        for hint in hints {
            push(hint.target, CandidateSource::Hint, 0);
        }
        for &id in candidates.overflow.iter().take(self.settings.max_probes) {
            push(id, CandidateSource::Overflow, candidates.parent_blocks);
        }
        score::keep_best_estimates(&self.settings, &mut estimates, prompt_blocks, targets);
        estimates
    }

    fn choose_probes(
        &self,
        blocks: &[BlockHash],
        estimates: &[TargetEstimate],
        now_us: u64,
    ) -> Vec<TargetId> {
        // Caches store complete blocks only.
        if blocks.is_empty() {
            return Vec::new();
        }
        let min_seen_at_us = now_us.saturating_sub(self.settings.max_hint_age_us);
        estimates
            .iter()
            .filter(|estimate| !estimate.is_fresh(min_seen_at_us))
            .map(|estimate| estimate.target)
            .take(self.settings.max_probes)
            .collect()
    }
}

/// Lower bound of the total in the computation of shares, so that the first
/// requests after a start do not look like a large share.
const MIN_SAMPLE_REQUESTS: f64 = 20.0;

/// Returns the targets that an organisation above its rate may use, equal on
/// every entry. Their number is half of what the organisation's `share` of all
/// rates would give. The organisation then evicts the blocks of others only there.
///
/// ```
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::request::placement::{confine, rendezvous_seed, Target, TargetId};
///
/// let targets: Vec<Target> = (0..10)
///     .map(|id| Target {
///         id: TargetId(id),
///         seed: rendezvous_seed(&format!("engine-{id}")),
///         engine: Incarnation(1),
///         queue_us: 0,
///         block_us: 30_000,
///         network_us: 1_000,
///     })
///     .collect();
/// assert_eq!(confine(&targets, "mill-a", 0.5).len(), 3);
/// ```
pub fn confine(targets: &[Target], organisation: &str, share: f64) -> Vec<Target> {
    let mut ranked: Vec<&Target> = targets.iter().collect();
    sort_by_rendezvous(&mut ranked, BlockHash(rendezvous_seed(organisation)));
    let count = (targets.len() as f64 * share * CONFINED_FRACTION).ceil() as usize;
    ranked.truncate(count.max(1));
    ranked.into_iter().copied().collect()
}

/// Part of an organisation's share of the targets that [`confine`] leaves to it.
///
/// With the full share, the p99 time to first token of other organisations was up
/// to 1.37 times the normal one; with half of it, up to 1.17 (`docs/fairness.md`).
const CONFINED_FRACTION: f64 = 0.5;

/// Sorts the targets by their rendezvous weight for a block, highest first.
fn sort_by_rendezvous(targets: &mut [&Target], block: BlockHash) {
    targets.sort_by_cached_key(|target| {
        let weight = xxh3_64_with_seed(&block.0.to_be_bytes(), target.seed);
        (std::cmp::Reverse(weight), target.seed)
    });
}
