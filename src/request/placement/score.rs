//! Comparison of a few targets by expected time to first token.

use serde::Serialize;

use crate::{
    names::Incarnation,
    process::hints::Hint,
    request::placement::{
        PlacementSettings,
        Plan,
        Target,
        TargetId, //
    },
};

/// Why a target is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// It answered a request with the same prefix.
    Hint,
    /// Rendezvous hashing prefers it.
    Preferred,
    /// It serves the level above.
    Overflow,
}

/// What is known of one choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// The target.
    pub target: TargetId,
    /// Why it is compared.
    pub source: Source,
    /// Blocks of the prompt that it probably has cached.
    pub matched_blocks: u32,
    /// Expected wait in its queue.
    pub queue_us: u64,
    /// When the matched blocks were seen; `None` without a trusted hint.
    pub seen_at_us: Option<u64>,
    /// Whether a probe confirmed the estimate.
    pub is_probed: bool,
}

impl Estimate {
    /// Without a trusted hint, a candidate is expected to hold the blocks that
    /// rendezvous hashing assigns to it.
    pub(super) fn expected(
        target: &Target,
        source: Source,
        hint: Option<&Hint>,
        expected_blocks: u32,
    ) -> Self {
        let trusted = hint.filter(|hint| !hint.is_doubtful);
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

    pub(super) fn is_fresh(&self, fresh_after_us: u64) -> bool {
        self.seen_at_us
            .is_some_and(|seen_at_us| seen_at_us >= fresh_after_us)
    }

    fn refreshed(mut self, probes: &[ProbeResult]) -> Self {
        if let Some(probe) = probes.iter().find(|probe| probe.target == self.target) {
            self.matched_blocks = probe.matched_blocks;
            self.queue_us = probe.queue_us;
            self.is_probed = true;
        }
        self
    }
}

/// Answer of an agent to a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeResult {
    /// The agent's target.
    pub target: TargetId,
    /// Incarnation of its engine's cache.
    pub engine: Incarnation,
    /// Blocks of the prompt in its cache index.
    pub matched_blocks: u32,
    /// Expected wait for a new request of this organisation.
    pub queue_us: u64,
}

/// Parts of the expected time to first token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Score {
    /// Wait in the queue.
    pub queue_us: u64,
    /// Computation of unmatched blocks.
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

/// Why a choice was not considered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SkipReason {
    /// Its queue exceeds the bounded load.
    Overloaded,
    /// It was not asked, because others already gave a good answer.
    NotAsked,
}

/// One compared target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct PlacementChoice {
    /// What was known.
    pub estimate: Estimate,
    /// Expected time to first token.
    pub score: Score,
    /// Set when the choice was left out.
    pub skip: Option<SkipReason>,
}

/// The chosen target with the explanation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Chosen target.
    pub target: TargetId,
    /// Blocks of the prompt that determined the candidates.
    pub level_blocks: u32,
    /// Number of targets that should hold the prefix.
    pub replicas: u32,
    /// Longest queue that was accepted.
    pub queue_bound_us: u64,
    /// Everything that was compared, best first. The next ones serve a retry
    /// after a refusal.
    pub choices: Vec<PlacementChoice>,
}

/// Keeps the estimates worth a probe, best first.
pub(super) fn keep_best(
    settings: &PlacementSettings,
    estimates: &mut Vec<Estimate>,
    prompt_blocks: usize,
    targets: &[Target],
) {
    estimates.sort_by_cached_key(|estimate| {
        let target = targets.iter().find(|target| target.id == estimate.target);
        let score = target.map(|target| score(settings, estimate, prompt_blocks, target));
        score.map(|score| score.weighted_us(settings.recompute_weight))
    });
    estimates.truncate(settings.max_choices);
}

pub(super) fn decide(
    settings: &PlacementSettings,
    plan: &Plan,
    prompt_blocks: usize,
    targets: &[Target],
    probes: &[ProbeResult],
) -> Option<Decision> {
    let queue_bound_us = queue_bound_us(settings, targets);
    let mut choices: Vec<PlacementChoice> = Vec::new();
    for estimate in &plan.estimates {
        let Some(target) = targets.iter().find(|target| target.id == estimate.target) else {
            continue;
        };
        let estimate = estimate.refreshed(probes);
        let is_asked = probes.is_empty() || estimate.is_probed;
        let skip = if !is_asked {
            Some(SkipReason::NotAsked)
        } else if estimate.queue_us > queue_bound_us {
            Some(SkipReason::Overloaded)
        } else {
            None
        };
        choices.push(PlacementChoice {
            estimate,
            score: score(settings, &estimate, prompt_blocks, target),
            skip,
        });
    }
    // When all are overloaded, the best of them is still the best answer.
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

fn score(
    settings: &PlacementSettings,
    estimate: &Estimate,
    prompt_blocks: usize,
    target: &Target,
) -> Score {
    let prompt_blocks = u64::try_from(prompt_blocks).unwrap_or(u64::MAX);
    let unmatched = prompt_blocks.saturating_sub(u64::from(estimate.matched_blocks));
    let recompute_us = unmatched * target.block_us;
    let import_us = settings
        .import_block_us
        .map(|block_us| unmatched * block_us);
    // Only blocks that another target exported can be imported; without that
    // knowledge the cheaper of both is a lower bound.
    let is_import_cheaper = import_us.is_some_and(|import_us| import_us < recompute_us);
    let transfer_us = import_us.filter(|_| is_import_cheaper);
    Score {
        queue_us: estimate.queue_us,
        recompute_us: if is_import_cheaper { 0 } else { recompute_us },
        transfer_us: transfer_us.unwrap_or(0),
        network_us: target.network_us,
    }
}

fn queue_bound_us(settings: &PlacementSettings, targets: &[Target]) -> u64 {
    let count = u64::try_from(targets.len().max(1)).unwrap_or(u64::MAX);
    let total_us: u64 = targets.iter().map(|target| target.queue_us).sum();
    let mean_us = total_us as f64 / count as f64;
    settings.load_slack_us + (mean_us * settings.load_factor) as u64
}
