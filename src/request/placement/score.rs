//! Comparison of a few targets by expected time to first token.

use serde::Serialize;

use crate::{
    names::Incarnation,
    process::hints::Hint,
    request::placement::{
        PlacementPlan,
        PlacementSettings,
        Target,
        TargetId, //
    },
};

/// Why a target is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateSource {
    /// It has answered a request with the same prefix.
    Hint,
    /// It is one of the `preferred` candidates.
    Preferred,
    /// It is one of the `overflow` candidates.
    Overflow,
}

/// Expected cache match and queue of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// Target that the estimate is for.
    pub target: TargetId,
    /// Why it is compared.
    pub source: CandidateSource,
    /// Blocks of the prompt that it probably has cached.
    pub matched_blocks: u32,
    /// Expected wait in its queue.
    pub queue_us: u64,
    /// When the matched blocks were last observed; `None` without a trusted hint.
    pub seen_at_us: Option<u64>,
    /// Whether blocks and queue come from a probe.
    pub is_probed: bool,
}

impl TargetEstimate {
    /// Estimates a target from its hint, if there is a trusted one, and from the
    /// `expected_blocks` that rendezvous hashing assigns to it; the larger match
    /// counts.
    pub(super) fn before_probe(
        target: &Target,
        source: CandidateSource,
        hint: Option<&Hint>,
        expected_blocks: u32,
    ) -> Self {
        let trusted = hint.filter(|hint| !hint.may_be_evicted);
        let hinted_blocks = trusted.map_or(0, |hint| hint.matched_blocks);
        Self {
            target: target.id,
            source,
            matched_blocks: hinted_blocks.max(expected_blocks),
            queue_us: target.queue_us,
            seen_at_us: trusted.map(|hint| hint.seen_at_us),
            is_probed: false,
        }
    }

    pub(super) fn is_fresh(&self, min_seen_at_us: u64) -> bool {
        self.seen_at_us
            .is_some_and(|seen_at_us| seen_at_us >= min_seen_at_us)
    }

    fn with_probe_result(mut self, probes: &[ProbeResult]) -> Self {
        if let Some(probe) = probes.iter().find(|probe| probe.target == self.target) {
            self.matched_blocks = probe.matched_blocks;
            self.queue_us = probe.queue_us;
            self.is_probed = true;
        }
        self
    }
}

/// Cache match and queue that an agent returned for a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeResult {
    /// Target that was probed.
    pub target: TargetId,
    /// Incarnation of the engine's cache.
    pub engine: Incarnation,
    /// Blocks of the prompt in the agent's index of the cache.
    pub matched_blocks: u32,
    /// Expected wait for a new request of this organisation.
    pub queue_us: u64,
}

/// Parts of the expected time to first token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Score {
    /// Wait in the queue.
    pub queue_us: u64,
    /// Computation of the blocks that are neither cached nor imported.
    pub recompute_us: u64,
    /// Import of blocks from the KV store.
    pub transfer_us: u64,
    /// Round trip on the network.
    pub network_us: u64,
}

impl Score {
    /// Returns the expected time to first token.
    ///
    /// ```
    /// use yuccalatch::request::placement::Score;
    ///
    /// let score = Score { queue_us: 3, recompute_us: 4, ..Score::default() };
    /// assert_eq!(score.total_us(), 7);
    /// ```
    pub fn total_us(&self) -> u64 {
        self.queue_us + self.recompute_us + self.transfer_us + self.network_us
    }

    fn weighted_us(&self, recompute_weight: f64) -> u64 {
        let extra_us = self.recompute_us as f64 * (recompute_weight - 1.0);
        self.total_us().saturating_add_signed(extra_us as i64)
    }
}

/// Why a target was skipped. It is chosen only if all others were skipped, too.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SkipReason {
    /// Its queue exceeds [`Decision::queue_bound_us`].
    Overloaded,
    /// It was not probed, or its result did not arrive in time, while other targets
    /// returned results.
    NotAsked,
}

/// A compared target with its score.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct PlacementChoice {
    /// Values that the score was computed from.
    pub estimate: TargetEstimate,
    /// Parts of the expected time to first token.
    pub score: Score,
    /// Why the target was skipped; `None` if it was not.
    pub skip: Option<SkipReason>,
}

/// The chosen target and the values that led to the choice.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Chosen target, the first one of `choices`.
    pub target: TargetId,
    /// Length of the prefix that determined the preferred candidates.
    pub level_blocks: u32,
    /// Number of preferred candidates.
    pub replicas: u32,
    /// Longest queue with which a target is not skipped.
    pub queue_bound_us: u64,
    /// All targets that were compared, best first. When a target refuses the
    /// request, the next one is tried.
    pub choices: Vec<PlacementChoice>,
}

/// Sorts the estimates, best first, and keeps the `max_choices` best ones.
pub(super) fn keep_best_estimates(
    settings: &PlacementSettings,
    estimates: &mut Vec<TargetEstimate>,
    prompt_blocks: usize,
    targets: &[Target],
) {
    estimates.sort_by_cached_key(|estimate| {
        let target = targets.iter().find(|target| target.id == estimate.target);
        let score = target.map(|target| compute_score(settings, estimate, prompt_blocks, target));
        score.map(|score| score.weighted_us(settings.recompute_weight))
    });
    estimates.truncate(settings.max_choices);
}

/// Scores the targets of the plan and puts skipped ones last.
pub(super) fn decide(
    settings: &PlacementSettings,
    plan: &PlacementPlan,
    prompt_blocks: usize,
    targets: &[Target],
    probes: &[ProbeResult],
) -> Option<Decision> {
    let queue_bound_us = compute_queue_bound_us(settings, targets);
    let mut choices: Vec<PlacementChoice> = Vec::new();
    for estimate in &plan.estimates {
        let Some(target) = targets.iter().find(|target| target.id == estimate.target) else {
            continue;
        };
        let estimate = estimate.with_probe_result(probes);
        let is_comparable = probes.is_empty() || estimate.is_probed;
        let skip = if !is_comparable {
            Some(SkipReason::NotAsked)
        } else if estimate.queue_us > queue_bound_us {
            Some(SkipReason::Overloaded)
        } else {
            None
        };
        choices.push(PlacementChoice {
            estimate,
            score: compute_score(settings, &estimate, prompt_blocks, target),
            skip,
        });
    }
    // When all targets are overloaded, the one with the best score is chosen.
    choices.sort_by_key(|choice| {
        let weighted_us = choice.score.weighted_us(settings.recompute_weight);
        (choice.skip, weighted_us)
    });
    Some(Decision {
        target: choices.first()?.estimate.target,
        level_blocks: plan.candidates.level_blocks,
        replicas: u32::try_from(plan.candidates.preferred.len()).unwrap_or(u32::MAX),
        queue_bound_us,
        choices,
    })
}

fn compute_score(
    settings: &PlacementSettings,
    estimate: &TargetEstimate,
    prompt_blocks: usize,
    target: &Target,
) -> Score {
    let prompt_blocks = u64::try_from(prompt_blocks).unwrap_or(u64::MAX);
    let unmatched_blocks = prompt_blocks.saturating_sub(u64::from(estimate.matched_blocks));
    let recompute_us = unmatched_blocks * target.block_us;
    let import_us = settings
        .import_block_us
        .map(|block_us| unmatched_blocks * block_us);
    // Only blocks that some target has exported can be imported. The entry has no
    // record of them, so that the cheaper of both is a lower bound.
    let is_import_cheaper = import_us.is_some_and(|import_us| import_us < recompute_us);
    let transfer_us = import_us.filter(|_| is_import_cheaper);
    Score {
        queue_us: estimate.queue_us,
        recompute_us: if is_import_cheaper { 0 } else { recompute_us },
        transfer_us: transfer_us.unwrap_or(0),
        network_us: target.network_us,
    }
}

fn compute_queue_bound_us(settings: &PlacementSettings, targets: &[Target]) -> u64 {
    let count = u64::try_from(targets.len().max(1)).unwrap_or(u64::MAX);
    let total_us: u64 = targets.iter().map(|target| target.queue_us).sum();
    let mean_us = total_us as f64 / count as f64;
    settings.load_slack_us + (mean_us * settings.load_factor) as u64
}
