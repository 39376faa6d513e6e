//! Orders the targets that may run a request by their expected cost.
//!
//! Many prompts share long parts: first a preamble, last a subject. An engine's
//! memory holds the parts of only a fraction of the subjects, so a request is sent
//! to an engine that has its parts cached. While no engine is known to have them, it
//! is sent to a home of its subject, which rendezvous hashing selects. The order also
//! takes account of subjects that get many requests, and of engines that load weights
//! or fail.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    capacity::EngineCosts,
    message::{
        Prompt,
        TargetLoad, //
    },
};
use crate::names::Name;

/// Prompt tokens that an engine prefills in a millisecond, a low estimate between
/// the 41 and 70 of the two deployments.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Time by which each running request delays the first token of another one: its
/// share of a batch step and of the context that the step reads.
pub(super) const RUNNING_COST_MS: f64 = 4.0;

/// Time by which each waiting request delays the first token of another one.
pub(super) const WAITING_COST_MS: f64 = 60.0;

/// Cost of a failed attempt, counted as delay of the first token.
const FAILURE_COST_MS: f64 = 800.0;

/// Cached tokens that one engine imports from another in a millisecond. The links
/// of today's engines carry twice as many between data centres.
const IMPORT_TOKENS_PER_MS: f64 = 130.0;

/// Cost of an import besides its duration: the copy takes memory from parts that
/// are cached nowhere else and then have to be computed again.
const IMPORT_COST_MS: f64 = 120.0;

/// Cost of computing shared parts at an engine that is not their first home. It
/// makes entries that choose at the same time choose the same engine, so that the
/// parts are computed only once.
const NOT_HOME_COST_MS: f64 = 60.0;

/// Number of home targets of a subject: those that get its requests while nothing is
/// known of where its parts are cached.
const HOMES_PER_SUBJECT: usize = 2;

/// One target in this many is preferred for a preamble, so that not every target
/// has to compute it. Many subjects share a preamble.
const TARGETS_PER_PREAMBLE_HOME: usize = 2;

/// Cost of the second home, so that the first one is preferred.
const SECOND_HOME_COST_MS: f64 = 15.0;

/// Whether a target can take a request. Targets are tried in the order of these
/// variants, except that the first two differ only in their cost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Availability {
    /// The target takes requests.
    Open,
    /// The target is expected to pause before the request ends.
    ClosingSoon,
    /// The target failed or refused a request a moment ago.
    Avoided,
    /// The target takes no requests until it has loaded new weights.
    Paused,
}

/// A target that may run a request, with all that determines its cost.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Id of the target.
    pub id: &'a Name,
    /// Last reported load; 0 requests when no recent report exists.
    pub load: TargetLoad,
    /// Requests of this entry that run at the target.
    pub own_running: u32,
    /// Uncached prompt tokens of this entry's requests there that have not yet
    /// produced output.
    pub own_prefill_tokens: u64,
    /// Moving average of the share of failed attempts, 0 to 1.
    pub failure_share: f64,
    /// Whether the target can take a request.
    pub availability: Availability,
    /// Whether its weights are older than the operator wants, or unknown.
    pub is_outdated: bool,
    /// Whether the target is cold, and so slow at first.
    pub is_cold: bool,
    /// Tokens of the prompt that the target has cached or can import.
    pub cached: CachedTokens,
    /// Cost of the prompt's length at an engine that prompts of other length prefer, 0
    /// when the engine suits it.
    pub steering_cost_ms: f64,
    /// Expected time of the request at a target that is no engine, `None` when the targets
    /// of its service state no pace; they are then compared by load.
    pub expected_ms: Option<f64>,
    /// Learned costs of work at an engine, `None` when the engines of its service state no
    /// pace; they then count as equally fast.
    pub engine_costs: Option<EngineCosts>,
    /// Whether the request compares this target even if it is neither a home of the
    /// subject nor has its parts cached.
    pub is_sampled: bool,
}

/// Tokens of a prompt's shared parts that an engine has cached or can import.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CachedTokens {
    /// Cached tokens at the start of the prompt, `None` when unknown.
    pub leading_tokens: Option<u64>,
    /// Largest number of tokens that another engine with the same weights has cached.
    pub importable_tokens: u64,
}

/// Cached tokens from which they decide where a request goes. Fewer are computed in
/// the time of a few batch steps.
const MIN_HELD_TOKENS: u64 = 1_024;

/// Most entries that are assumed to send an engine what this one sends. In a larger
/// fleet, one entry's own requests say little about those of the others.
const MAX_ALIKE_ENTRIES: usize = 8;

/// Cost of a request that is expected to still run when its target pauses, and so
/// delays the load of weights. Counted as delay of the first token.
const CLOSING_COST_MS: f64 = 80.0;

/// Cost of a request at a cold target, counted as delay of the first token. A warm engine
/// is preferred until about 25 requests more run there, a warm target of another kind until
/// all its slots are busy.
const COLD_COST_MS: f64 = 100.0;

/// Cost of a request that starts on outdated weights, counted as delay of the first
/// token.
const OUTDATED_COST_MS: f64 = 60.0;

/// Returns the positions of the candidates in the order in which to try them.
///
/// Engines, which get a `prompt`, are ordered by the expected time to the first
/// token; where nothing is known of an engine's cache, the subject counts as cached
/// at its homes. Other targets are ordered by load. `entries` is the number of
/// entries that share the targets; each is assumed to send as much as this one.
///
/// ```
/// use yuccalatch::direct::{
///     message::TargetLoad,
///     placement::{Availability, CachedTokens, Candidate, rank},
/// };
///
/// let ids = ["a".into(), "b".into()];
/// let candidates: Vec<Candidate<'_>> = ids.iter().zip([3, 0]).map(|(id, running)| Candidate {
///     id,
///     load: TargetLoad { running, slots: 6, ..TargetLoad::default() },
///     own_running: 0,
///     own_prefill_tokens: 0,
///     failure_share: 0.0,
///     availability: Availability::Open,
///     is_outdated: false,
///     is_cold: false,
///     cached: CachedTokens::default(),
///     steering_cost_ms: 0.0,
///     expected_ms: None,
///     engine_costs: None,
///     is_sampled: true,
/// }).collect();
/// assert_eq!(rank(&candidates, None, 0, 1), [1, 0]);
/// ```
pub fn rank(
    candidates: &[Candidate<'_>],
    prompt: Option<&Prompt>,
    salt: u64,
    entries: usize,
) -> Vec<usize> {
    let ranked = rank_with_costs(candidates, prompt, salt, entries);
    ranked.into_iter().map(|(at, _)| at).collect()
}

/// Returns the positions of the candidates in the order in which to try them, each with
/// its cost in milliseconds, as [`rank`] does.
///
/// ```
/// use yuccalatch::direct::placement::rank_with_costs;
///
/// assert_eq!(rank_with_costs(&[], None, 0, 1), []);
/// ```
pub fn rank_with_costs(
    candidates: &[Candidate<'_>],
    prompt: Option<&Prompt>,
    salt: u64,
    entries: usize,
) -> Vec<(usize, f64)> {
    let homes = prompt.map(|prompt| find_homes(candidates, prompt, salt));
    let mut costs: Vec<(Availability, bool, f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, candidate)| {
            let (cost, is_preferred) = match (prompt, &homes) {
                (Some(prompt), Some(homes)) => {
                    let home_index = homes.iter().position(|home| *home == at);
                    let cost = engine_cost_ms(candidate, prompt, home_index, entries);
                    (cost, home_index.is_some() || holds_parts(candidate, prompt))
                }
                _ => (plain_target_cost_ms(candidate), false),
            };
            let closing_ms = match candidate.availability {
                Availability::ClosingSoon => CLOSING_COST_MS,
                _ => 0.0,
            };
            let cold_ms = if candidate.is_cold { COLD_COST_MS } else { 0.0 };
            // A closing target only costs more. If it came after all open ones, the
            // few open engines would get all requests when most are about to load.
            let class = candidate.availability.max(Availability::ClosingSoon);
            let is_left_out = !candidate.is_sampled && !is_preferred;
            (class, is_left_out, cost + closing_ms + cold_ms, at)
        })
        .collect();
    costs.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    costs
        .into_iter()
        .map(|(.., cost_ms, at)| (at, cost_ms))
        .collect()
}

/// Returns whether an engine has so much of a prompt cached that every request with
/// these parts considers it. A preamble alone, which many engines have, is not enough.
fn holds_parts(candidate: &Candidate<'_>, prompt: &Prompt) -> bool {
    let leading = candidate.cached.leading_tokens.unwrap_or(0);
    leading >= MIN_HELD_TOKENS && leading * 2 > prompt.shared_tokens()
}

/// Returns the positions of the home targets of a prompt's subject.
fn find_homes(candidates: &[Candidate<'_>], prompt: &Prompt, salt: u64) -> Vec<usize> {
    let suits = |candidate: &Candidate<'_>| candidate.steering_cost_ms == 0.0;
    let has_suitable = candidates.iter().any(suits);
    let positions: Vec<usize> = (0..candidates.len())
        .filter(|at| !has_suitable || suits(&candidates[*at]))
        .collect();
    let ids = positions.iter().map(|at| candidates[*at].id);
    // Engines that are set apart for short prompts leave fewer for each preamble. The
    // long ones use all the others then, so that none gets several preambles and another
    // one none.
    let homes = if positions.len() < candidates.len() {
        subject_order(ids, prompt, salt)
    } else {
        rendezvous_order(ids, prompt, salt)
    };
    let homes = homes.into_iter().take(HOMES_PER_SUBJECT);
    homes.map(|home| positions[home]).collect()
}

/// Returns the positions of all targets, the best home of a prompt's subject first.
///
/// Rendezvous hashing by the preamble selects the share of the targets that comes
/// first; within each of the two groups, the hash of the subject sets the order.
///
/// ```
/// use yuccalatch::direct::{message::{Prompt, PromptPart}, placement::rendezvous_order};
///
/// let prompt = Prompt {
///     model: "m".into(), input_tokens: 9, max_output_tokens: 1, expected_output_tokens: 1,
///     parts: vec![PromptPart { id: 7, tokens: 8 }],
/// };
/// let ids = ["a".into(), "b".into()];
/// assert_eq!(rendezvous_order(ids.iter(), &prompt, 0).len(), 2);
/// ```
pub fn rendezvous_order<'a>(
    ids: impl Iterator<Item = &'a Name>,
    prompt: &Prompt,
    salt: u64,
) -> Vec<usize> {
    let (Some(preamble), Some(subject)) = (prompt.parts.first(), prompt.parts.last()) else {
        return Vec::new();
    };
    let ids: Vec<&Name> = ids.collect();
    let weight = |at: usize, part: u64| xxh3_64_with_seed(ids[at].as_bytes(), part ^ salt);
    let mut order: Vec<usize> = (0..ids.len()).collect();
    order.sort_unstable_by_key(|at| Reverse(weight(*at, preamble.id)));
    let preferred = ids.len().div_ceil(TARGETS_PER_PREAMBLE_HOME);
    order[..preferred].sort_unstable_by_key(|at| Reverse(weight(*at, subject.id)));
    order[preferred..].sort_unstable_by_key(|at| Reverse(weight(*at, subject.id)));
    order
}

/// Returns the positions of all targets, the best home of a prompt's subject first,
/// whatever its preamble.
fn subject_order<'a>(
    ids: impl Iterator<Item = &'a Name>,
    prompt: &Prompt,
    salt: u64,
) -> Vec<usize> {
    let Some(subject) = prompt.parts.last() else {
        return Vec::new();
    };
    let weights: Vec<u64> = ids
        .map(|id| xxh3_64_with_seed(id.as_bytes(), subject.id ^ salt))
        .collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_unstable_by_key(|at| Reverse(weights[*at]));
    order
}

/// Returns the expected time to the first token at an engine, plus penalties.
fn engine_cost_ms(
    candidate: &Candidate<'_>,
    prompt: &Prompt,
    home_index: Option<usize>,
    entries: usize,
) -> f64 {
    let outdated_ms = if candidate.is_outdated {
        OUTDATED_COST_MS
    } else {
        0.0
    };
    let costs = candidate.engine_costs.unwrap_or_default();
    // What every engine has to read matters only where they differ in speed.
    let own_part_ms = candidate.engine_costs.map_or(0.0, |costs| {
        let unshared_tokens = prompt.input_tokens.saturating_sub(prompt.shared_tokens());
        unshared_tokens as f64 / costs.tokens_per_ms + costs.base_ms + costs.memory_wait_ms
    });
    own_part_ms
        + shared_parts_cost_ms(candidate.cached, prompt, home_index, costs.tokens_per_ms)
        + outdated_ms
        + candidate.steering_cost_ms
        + candidate.own_prefill_tokens as f64 * entries.min(MAX_ALIKE_ENTRIES) as f64
            / costs.tokens_per_ms
        + f64::from(candidate.load.running.max(candidate.own_running)) * costs.running_ms
        + f64::from(candidate.load.waiting) * costs.waiting_ms
        + candidate.failure_share * FAILURE_COST_MS
}

/// Returns the time in which an engine computes or imports the shared parts of a
/// prompt.
fn shared_parts_cost_ms(
    cached: CachedTokens,
    prompt: &Prompt,
    home_index: Option<usize>,
    tokens_per_ms: f64,
) -> f64 {
    let subject_tokens = prompt.parts.last().map_or(0, |part| part.tokens);
    let Some(leading) = cached.leading_tokens else {
        return match home_index {
            Some(0) => 0.0,
            Some(_) => SECOND_HOME_COST_MS,
            None => SECOND_HOME_COST_MS + subject_tokens as f64 / tokens_per_ms,
        };
    };
    let shared = prompt.shared_tokens();
    let imported = cached.importable_tokens.saturating_sub(leading);
    let missing = shared.saturating_sub(leading + imported);
    let mut cost_ms = missing as f64 / tokens_per_ms;
    if imported > 0 {
        let import_ms = IMPORT_COST_MS + imported as f64 / IMPORT_TOKENS_PER_MS;
        // Few tokens are computed before they would be imported.
        cost_ms += import_ms.min(imported as f64 / tokens_per_ms);
    }
    if missing > 0 && home_index != Some(0) {
        cost_ms += NOT_HOME_COST_MS;
    }
    cost_ms
}

/// Returns the cost of a target that is no engine, by the expected time or else by load.
fn plain_target_cost_ms(candidate: &Candidate<'_>) -> f64 {
    let failure_ms = candidate.failure_share * FAILURE_COST_MS;
    if let Some(expected_ms) = candidate.expected_ms {
        return expected_ms + failure_ms;
    }
    let slots = f64::from(candidate.load.slots.max(1));
    let busy = f64::from(candidate.load.running + candidate.load.waiting);
    let own = f64::from(candidate.own_running);
    busy.max(own) / slots * 100.0 + own + failure_ms
}
