//! Chooses the target of a request.
//!
//! Load pattern: prompts that share long parts, on engines whose memory holds
//! the parts of a fraction of the subjects, with hot subjects, engines that
//! load weights and engines that fail.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::{
    Prompt,
    TargetLoad, //
};
use crate::names::Name;

/// Prompt tokens that an engine computes in a millisecond, as a low estimate of
/// both deployments (41 and 70).
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Time that each running request adds to the first token of another one: its
/// share of a batch step and of the context that the step reads.
const RUNNING_COST_MS: f64 = 4.0;

/// Time that each waiting request adds.
const WAITING_COST_MS: f64 = 60.0;

/// Cost of a failed try, in milliseconds of waiting.
const FAILURE_COST_MS: f64 = 800.0;

/// Tokens of cached parts that one engine copies from another in a millisecond,
/// between data centres: half of what the links of today's engines carry.
const IMPORT_TOKENS_PER_MS: f64 = 130.0;

/// Cost of a copy besides its time: it takes memory from parts that are cached
/// nowhere else, which have to be computed again.
const IMPORT_COST_MS: f64 = 120.0;

/// Cost of computing shared parts at an engine that is not their home, so that
/// entries that choose at the same time compute them only once.
const AWAY_COST_MS: f64 = 60.0;

/// Targets that keep the parts of a subject, where nothing better is known.
const HOMES: usize = 2;

/// A preamble, which many subjects share, is kept at one target of this many, so
/// that not every target has to compute it.
const PREAMBLE_PART: usize = 2;

/// Cost of the second home, so that the first one is preferred.
const SECOND_HOME_MS: f64 = 15.0;

/// Whether a target may get a request, best first. The first two differ only in
/// their cost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Availability {
    /// It takes requests.
    Open,
    /// It is paused before the request has probably ended.
    ClosingSoon,
    /// It has failed or refused a moment ago.
    Avoided,
    /// It takes no request before it has loaded weights.
    Paused,
}

/// What is known of a target that may run a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Id of the target.
    pub id: &'a Name,
    /// Load from its last answer.
    pub load: TargetLoad,
    /// Requests of this entry that run there.
    pub own_running: u32,
    /// Prompt tokens of this entry that wait for their first event there.
    pub own_prefill_tokens: u64,
    /// Recent share of failures, 0 to 1.
    pub failure_share: f64,
    /// Whether it may get a request.
    pub availability: Availability,
    /// Whether it has older weights than are wanted.
    pub is_outdated: bool,
    /// What is known of the prompt's cached parts there.
    pub cached: Cached,
}

/// What is known of a prompt's shared parts at an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cached {
    /// Tokens at the start of the prompt that are cached, `None` when unknown.
    pub leading_tokens: Option<u64>,
    /// The most that another engine with the same weights has cached.
    pub importable_tokens: u64,
}

/// Cost of a request that probably still runs when its target is paused, and so
/// delays the load of weights, in milliseconds of waiting.
const CLOSING_COST_MS: f64 = 80.0;

/// Cost of a request that begins on older weights, in milliseconds of waiting.
const OUTDATED_COST_MS: f64 = 60.0;

/// Returns the candidates in the order in which they are tried, as positions.
///
/// Engines are ordered by the expected time to the first token, which counts
/// the subject's part as cached at its homes. Other targets are ordered by load.
/// `entries` is the number of entries that share the targets; the others are
/// taken to send as much as this one.
///
/// ```
/// use yuccalatch::direct::{message::TargetLoad, placement::{rank, Cached, Candidate, Availability}};
///
/// let ids = ["a".into(), "b".into()];
/// let candidates: Vec<Candidate<'_>> = ids.iter().zip([3, 0]).map(|(id, running)| Candidate {
///     id,
///     load: TargetLoad { running, waiting: 0, slots: 6 },
///     own_running: 0,
///     own_prefill_tokens: 0,
///     failure_share: 0.0,
///     availability: Availability::Open,
///     is_outdated: false,
///     cached: Cached::default(),
/// }).collect();
/// assert_eq!(rank(&candidates, None, 0, 1), [1, 0]);
/// ```
pub fn rank(
    candidates: &[Candidate<'_>],
    prompt: Option<&Prompt>,
    salt: u64,
    entries: usize,
) -> Vec<usize> {
    let homes = prompt.map(|prompt| homes(candidates, prompt, salt));
    let mut costs: Vec<(Availability, f64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, candidate)| {
            let cost = match (prompt, &homes) {
                (Some(prompt), Some(homes)) => {
                    let home = homes.iter().position(|home| *home == at);
                    engine_cost_ms(candidate, prompt, home, entries)
                }
                _ => plain_cost_ms(candidate),
            };
            let closing_ms = match candidate.availability {
                Availability::ClosingSoon => CLOSING_COST_MS,
                _ => 0.0,
            };
            // A closing target is only dearer: when most engines are about to
            // load, the few others would get all requests.
            let class = candidate.availability.max(Availability::ClosingSoon);
            (class, cost + closing_ms, at)
        })
        .collect();
    costs.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    costs.into_iter().map(|(_, _, at)| at).collect()
}

/// Returns the positions of the targets that keep the last part of a prompt.
fn homes(candidates: &[Candidate<'_>], prompt: &Prompt, salt: u64) -> Vec<usize> {
    let ids = candidates.iter().map(|candidate| candidate.id);
    let mut homes = by_weight(ids, prompt, salt);
    homes.truncate(HOMES);
    homes
}

/// Returns the positions of all targets in the order in which they are homes of
/// a prompt's last part: by its hash, first those that keep the first part.
///
/// ```
/// use yuccalatch::direct::{message::{PromptPart, Prompt}, placement::by_weight};
///
/// let prompt = Prompt {
///     model: "m".into(), input_tokens: 9, max_output_tokens: 1, expected_output_tokens: 1,
///     parts: vec![PromptPart { id: 7, tokens: 8 }],
/// };
/// let ids = ["a".into(), "b".into()];
/// assert_eq!(by_weight(ids.iter(), &prompt, 0).len(), 2);
/// ```
pub fn by_weight<'a>(
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
    let near = ids.len().div_ceil(PREAMBLE_PART);
    order[..near].sort_unstable_by_key(|at| Reverse(weight(*at, subject.id)));
    order[near..].sort_unstable_by_key(|at| Reverse(weight(*at, subject.id)));
    order
}

fn engine_cost_ms(
    candidate: &Candidate<'_>,
    prompt: &Prompt,
    home: Option<usize>,
    entries: usize,
) -> f64 {
    let outdated_ms = if candidate.is_outdated {
        OUTDATED_COST_MS
    } else {
        0.0
    };
    cache_cost_ms(candidate.cached, prompt, home)
        + outdated_ms
        + candidate.own_prefill_tokens as f64 * entries as f64 / PREFILL_TOKENS_PER_MS
        + f64::from(candidate.load.running.max(candidate.own_running)) * RUNNING_COST_MS
        + f64::from(candidate.load.waiting) * WAITING_COST_MS
        + candidate.failure_share * FAILURE_COST_MS
}

/// Returns the time that the shared parts of a prompt take.
fn cache_cost_ms(cached: Cached, prompt: &Prompt, home: Option<usize>) -> f64 {
    let subject_tokens = prompt.parts.last().map_or(0, |part| part.tokens);
    let Some(leading) = cached.leading_tokens else {
        return match home {
            Some(0) => 0.0,
            Some(_) => SECOND_HOME_MS,
            None => SECOND_HOME_MS + subject_tokens as f64 / PREFILL_TOKENS_PER_MS,
        };
    };
    let shared = prompt.shared_tokens();
    let imported = cached.importable_tokens.saturating_sub(leading);
    let missing = shared.saturating_sub(leading + imported);
    let mut cost_ms = missing as f64 / PREFILL_TOKENS_PER_MS;
    if imported > 0 {
        cost_ms += IMPORT_COST_MS + imported as f64 / IMPORT_TOKENS_PER_MS;
    }
    if missing > 0 && home != Some(0) {
        cost_ms += AWAY_COST_MS;
    }
    cost_ms
}

fn plain_cost_ms(candidate: &Candidate<'_>) -> f64 {
    let slots = f64::from(candidate.load.slots.max(1));
    let busy = f64::from(candidate.load.running + candidate.load.waiting);
    let own = f64::from(candidate.own_running);
    busy.max(own) / slots * 100.0 + own + candidate.failure_share * FAILURE_COST_MS
}
