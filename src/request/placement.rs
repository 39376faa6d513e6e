//! Choice of a target for a prompt.
//!
//! The first step needs no messages: rendezvous hashing narrows the targets
//! level by level, each block keeping as many targets as the share of the
//! traffic below it needs. The second step compares a few of them by the
//! expected time to first token.

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

mod load;
mod score;

pub use load::TargetQueue;
pub use score::{
    Decision,
    Estimate,
    PlacementChoice,
    ProbeResult,
    Score,
    SkipReason,
    Source, //
};

/// Position of a target in the entry's table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetId(pub u32);

/// Returns the rendezvous seed of a target, equal on every entry.
///
/// ```
/// use yuccalatch::request::placement::rendezvous_seed;
///
/// assert_ne!(rendezvous_seed("engine-1"), rendezvous_seed("engine-2"));
/// ```
pub fn rendezvous_seed(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// A target that may serve the request, as the entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Position in the entry's table.
    pub id: TargetId,
    /// From [`rendezvous_seed`].
    pub seed: u64,
    /// Incarnation of the engine's cache in the last report or answer.
    pub engine: Incarnation,
    /// Expected wait in its queue: last report plus what this entry has sent
    /// since.
    pub queue_us: u64,
    /// Time to compute one block.
    pub block_us: u64,
    /// Round trip between this entry and the target.
    pub network_us: u64,
}

/// Parameters of the policy. The defaults are the result of the comparison in
/// `docs/placement.md`.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// Targets for a prefix, relative to its share of the traffic times the
    /// number of targets.
    pub spread: f64,
    /// Fewest candidates for any prefix, so that a busy or lost target has an
    /// alternative.
    pub min_candidates: usize,
    /// Most targets to compare.
    pub max_choices: usize,
    /// Most targets to probe in a round, of two at most.
    pub max_probes: usize,
    /// Expected time to first token above which a second round of probes is
    /// worth its round trip.
    pub probe_again_above_us: u64,
    /// A target is skipped when its queue exceeds this factor of the mean.
    pub load_factor: f64,
    /// Queue that is never too long, because the mean of an idle fleet is zero.
    pub load_slack_us: u64,
    /// Weight of recomputed blocks against waiting. Above one, because
    /// recomputing also delays the requests behind and evicts other blocks.
    pub recompute_weight: f64,
    /// Age at which a hint is too old to be used without a probe.
    pub hint_fresh_us: u64,
    /// Time after which an observed request counts half towards the share.
    pub half_life_us: u64,
    /// Time to import one block from the KV store, where there is one.
    pub import_block_us: Option<u64>,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            spread: 1.5,
            min_candidates: 2,
            max_choices: 6,
            max_probes: 3,
            probe_again_above_us: US_PER_S / 10,
            load_factor: 2.0,
            load_slack_us: US_PER_S / 2,
            recompute_weight: 1.5,
            hint_fresh_us: US_PER_S / 20,
            half_life_us: 10 * US_PER_S,
            import_block_us: None,
        }
    }
}

/// Candidates for a prompt in rendezvous order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidates {
    /// Blocks of the prompt that determined the candidates.
    pub level_blocks: u32,
    /// Blocks that determined the level above.
    pub parent_blocks: u32,
    /// Targets that should hold the prefix.
    pub preferred: Vec<TargetId>,
    /// Targets of the level above, to be used when all preferred ones are
    /// overloaded.
    pub overflow: Vec<TargetId>,
}

/// What to compare, and whom to ask before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Result of the first step.
    pub candidates: Candidates,
    /// Targets to compare, with what is known of each.
    pub estimates: Vec<Estimate>,
    /// Targets whose estimate should be refreshed by a probe.
    pub probes: Vec<TargetId>,
}

/// Traffic that was seen below one block, decaying over time.
#[derive(Clone, Copy, Debug, Default)]
struct Heat {
    requests: f64,
    updated_at_us: u64,
}

impl Heat {
    fn at(self, now_us: u64, half_life_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        self.requests * (-(age_us as f64) / half_life_us as f64).exp2()
    }

    fn add(&mut self, now_us: u64, half_life_us: u64) {
        self.requests = self.at(now_us, half_life_us) + 1.0;
        self.updated_at_us = now_us;
    }
}

/// Placement state of an entry: only the shares of prefixes, so that a
/// restarted entry places well from its first request.
///
/// ```
/// use std::num::NonZeroUsize;
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::request::placement::{rendezvous_seed, Placer, PlacementSettings, Target, TargetId};
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
    heat: LruCache<BlockHash, Heat>,
    total: Heat,
}

impl Placer {
    /// Creates a placer that remembers the share of `capacity_blocks` blocks.
    pub fn new(settings: PlacementSettings, capacity_blocks: NonZeroUsize) -> Self {
        Self {
            settings,
            heat: LruCache::new(capacity_blocks),
            total: Heat::default(),
        }
    }

    /// Returns the parameters.
    pub fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Counts the request and returns what to compare and whom to probe.
    ///
    /// `hints` come from [`crate::process::hints::Hints::lookup`].
    pub fn plan(
        &mut self,
        blocks: &[BlockHash],
        targets: &[Target],
        hints: &[Hint],
        now_us: u64,
    ) -> Plan {
        self.count(blocks, now_us);
        let candidates = self.candidates(blocks, targets, now_us);
        let estimates = self.estimates(&candidates, blocks.len(), targets, hints);
        let probes = self.probes(blocks, &estimates, now_us);
        Plan {
            candidates,
            estimates,
            probes,
        }
    }

    /// Narrows the targets by rendezvous hashing, level by level.
    ///
    /// The sets are nested, so the children of a hot prefix stay on the targets
    /// that hold the prefix.
    pub fn candidates(
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
            let wanted = self.wanted(block, targets.len(), now_us);
            if wanted >= set_size {
                continue;
            }
            rank(&mut ranked[..set_size], block);
            parent_size = set_size;
            set_size = wanted;
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

    /// Compares the choices and explains the result; `None` without targets.
    ///
    /// `probes` are the answers that arrived in time; a missing one leaves the
    /// estimate as it was.
    pub fn decide(
        &self,
        plan: &Plan,
        blocks: &[BlockHash],
        targets: &[Target],
        probes: &[ProbeResult],
    ) -> Option<Decision> {
        score::decide(&self.settings, plan, blocks.len(), targets, probes)
    }

    /// Returns whom to probe in a second round: nobody when the answers promise
    /// an early first token, otherwise the next best targets of the plan.
    pub fn choose_more_probes(
        &self,
        plan: &Plan,
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
        let is_asked = |id: &TargetId| probes.iter().any(|probe| probe.target == *id);
        let estimates = plan.estimates.iter().map(|estimate| estimate.target);
        let others = estimates.filter(|id| !is_asked(id));
        others.take(self.settings.max_probes).collect()
    }

    fn count(&mut self, blocks: &[BlockHash], now_us: u64) {
        let half_life_us = self.settings.half_life_us;
        self.total.add(now_us, half_life_us);
        for &block in blocks.iter().rev() {
            let heat = self.heat.get_or_insert_mut(block, Heat::default);
            heat.add(now_us, half_life_us);
        }
    }

    /// Number of targets for a block, a power of two so that entries with
    /// slightly different counts agree.
    fn wanted(&self, block: BlockHash, targets: usize, now_us: u64) -> usize {
        let half_life_us = self.settings.half_life_us;
        let heat = self.heat.peek(&block).copied().unwrap_or_default();
        let total = self.total.at(now_us, half_life_us).max(1.0);
        // One request is no evidence for a share; an entry that has just
        // started would otherwise spread every prefix.
        let seen = (heat.at(now_us, half_life_us) - 1.0).max(0.0);
        let share = seen / total.max(MIN_EVIDENCE);
        let needed = share * targets as f64 * self.settings.spread;
        let wanted = (needed.ceil().max(1.0) as usize).next_power_of_two();
        wanted.max(self.settings.min_candidates).min(targets)
    }

    fn estimates(
        &self,
        candidates: &Candidates,
        prompt_blocks: usize,
        targets: &[Target],
        hints: &[Hint],
    ) -> Vec<Estimate> {
        let mut estimates: Vec<Estimate> = Vec::new();
        let mut push = |id: TargetId, source: Source, expected_blocks: u32| {
            let is_known = estimates.iter().any(|estimate| estimate.target == id);
            let Some(target) = targets.iter().find(|target| target.id == id) else {
                return;
            };
            if !is_known {
                let hint = hints.iter().find(|hint| hint.target == id);
                estimates.push(Estimate::expected(target, source, hint, expected_blocks));
            }
        };
        for &id in &candidates.preferred {
            push(id, Source::Preferred, candidates.level_blocks);
        }
        for hint in hints {
            push(hint.target, Source::Hint, 0);
        }
        for &id in candidates.overflow.iter().take(self.settings.max_probes) {
            push(id, Source::Overflow, candidates.parent_blocks);
        }
        score::keep_best(&self.settings, &mut estimates, prompt_blocks, targets);
        estimates
    }

    fn probes(&self, blocks: &[BlockHash], estimates: &[Estimate], now_us: u64) -> Vec<TargetId> {
        // Without a complete block there is nothing to find in a cache.
        if blocks.is_empty() {
            return Vec::new();
        }
        let fresh_after_us = now_us.saturating_sub(self.settings.hint_fresh_us);
        estimates
            .iter()
            .filter(|estimate| !estimate.is_fresh(fresh_after_us))
            .map(|estimate| estimate.target)
            .take(self.settings.max_probes)
            .collect()
    }
}

/// Requests below which shares are not trusted.
const MIN_EVIDENCE: f64 = 20.0;

/// Returns the targets that an organisation above its rate may use, equal on
/// every entry: half of what its share of all rates would be. It then evicts
/// the blocks of the others only there.
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
    rank(&mut ranked, BlockHash(rendezvous_seed(organisation)));
    let count = (targets.len() as f64 * share * CONFINED_PART).ceil() as usize;
    ranked.truncate(count.max(1));
    ranked.into_iter().copied().collect()
}

/// With the full share, the p99 time to first token of the others was up to 1.37
/// times the normal one; with half of it, up to 1.17 (`docs/fairness.md`).
const CONFINED_PART: f64 = 0.5;

fn rank(targets: &mut [&Target], block: BlockHash) {
    targets.sort_by_cached_key(|target| {
        let weight = xxh3_64_with_seed(&block.0.to_be_bytes(), target.seed);
        (std::cmp::Reverse(weight), target.seed)
    });
}
