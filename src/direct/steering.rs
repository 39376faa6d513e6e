//! Keeps the prompts that take an engine long to read away from the streams of others.
//!
//! Designed for short prompts with long answers beside long prompts with short answers on
//! the same engines. An engine reads prompts in pieces between the steps that produce
//! tokens, and one event of a stream carries the tokens of several steps. A few pieces in
//! a row therefore stretch the gap between two events of every stream that the engine
//! runs. Short prompts need few engines; when those few get no long prompts, the streams
//! are smooth, and long prompts only wait for each other.
//!
//! All entries order the engines of a service by the same hash, so they agree on the
//! division without messages. The number of engines follows the traffic of the last
//! seconds, and the division is a cost, not a rule: either kind uses the other engines
//! when its own are too busy or lost.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::message::Prompt;
use crate::{
    clock::US_PER_S,
    names::Name, //
};

/// Time constant of the average of a service's traffic: the division follows a burst
/// within seconds, and single requests do not move it.
const AVERAGE_US: f64 = 3.0 * US_PER_S as f64;

/// Part of an engine's slots that short prompts are expected to use, one in this many.
/// Streams stay smooth far below a full batch, and bursts find room.
const SLOTS_PER_STREAM: f64 = 4.0;

/// Engines that are held for short prompts, relative to the need that reports show. In
/// the test with 42 engines, 1 gave more stretched gaps than no division, and 3 made
/// long prompts wait up to 1.6 times as long as 2.
const HEADROOM: f64 = 2.0;

/// Largest share of the engines that short prompts are given.
const MAX_SHARE: f64 = 0.5;

/// Change of the wanted number of engines, relative to the present one, that moves the
/// division. A moved engine has to compute shared parts again.
const HYSTERESIS: f64 = 0.25;

/// Whether a prompt holds up the streams of the engine that reads it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptLength {
    /// It is read within the gap between two events.
    Short,
    /// Reading it may take longer than the gap that the streams beside it allow.
    Long,
}

/// Returns the kind of a prompt by the tokens that an engine reads in the time of the
/// shortest desired gap between events, `gap_tokens`.
///
/// Several prompts that are read one after the other delay the same event, so a quarter
/// of that time counts as long.
///
/// ```
/// use yuccalatch::direct::{
///     message::Prompt,
///     steering::{PromptLength, prompt_length},
/// };
///
/// let prompt = Prompt {
///     model: "m".into(), input_tokens: 9_000, max_output_tokens: 7,
///     expected_output_tokens: 7, parts: vec![],
/// };
/// assert_eq!(prompt_length(&prompt, 12_000), PromptLength::Long);
/// assert_eq!(prompt_length(&prompt, 40_000), PromptLength::Short);
/// ```
pub const fn prompt_length(prompt: &Prompt, gap_tokens: u64) -> PromptLength {
    if prompt.input_tokens >= gap_tokens / 4 {
        PromptLength::Long
    } else {
        PromptLength::Short
    }
}

/// Cost of a short prompt at an engine that long ones prefer, counted as delay of the
/// first token. It is about the delay that a long prompt causes.
const SHORT_AT_LONG_COST_MS: f64 = 100.0;

/// Cost of a long prompt at an engine that short ones prefer. It is higher, because each
/// stream there is delayed.
const LONG_AT_SHORT_COST_MS: f64 = 200.0;

/// Returns the costs of a prompt at the engines of a service, counted as delay of the
/// first token. `is_short` is whether short prompts prefer an engine, as
/// [`Steering::divide`] returns it. All engines suit while none is set apart.
///
/// ```
/// use yuccalatch::direct::steering::{PromptLength, costs_ms};
///
/// assert!(costs_ms(PromptLength::Long, &[true, false])[0] > 0.0);
/// assert_eq!(costs_ms(PromptLength::Short, &[false, false]), [0.0, 0.0]);
/// ```
pub fn costs_ms(length: PromptLength, is_short: &[bool]) -> Vec<f64> {
    let is_divided = is_short.contains(&true);
    let cost_ms = |is_short: &bool| match (length, is_short) {
        (PromptLength::Short, false) if is_divided => SHORT_AT_LONG_COST_MS,
        (PromptLength::Long, true) => LONG_AT_SHORT_COST_MS,
        _ => 0.0,
    };
    is_short.iter().map(cost_ms).collect()
}

/// Engines and entries of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceSize {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Entries that share the traffic.
    pub entries: usize,
    /// Requests that run at all engines together by their last reports, `None` without
    /// reports.
    pub running: Option<u32>,
}

/// Traffic of a service as this entry sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    /// Short prompts that run at once, on average.
    running_short: f64,
    /// Long prompts that run at once, on average.
    running_long: f64,
    /// Long prompts that arrive in a second, on average.
    long_per_s: f64,
    updated_at_us: u64,
    /// Engines that short prompts prefer.
    short_engines: usize,
}

impl Traffic {
    fn decay_to(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us) as f64;
        let factor = (-elapsed_us / AVERAGE_US).exp();
        self.running_short *= factor;
        self.running_long *= factor;
        self.long_per_s *= factor;
        self.updated_at_us = self.updated_at_us.max(now_us);
    }
}

/// Division of the engines of each service between short and long prompts.
///
/// ```
/// use yuccalatch::direct::steering::{PromptLength, ServiceSize, Steering};
///
/// let mut steering = Steering::default();
/// let service = "chat".into();
/// for at_us in (0..3_000_000).step_by(10_000) {
///     steering.record(&service, PromptLength::Short, 400_000, at_us);
///     steering.record(&service, PromptLength::Long, 400_000, at_us);
/// }
/// let ids: Vec<_> = (0..20).map(|at| format!("e{at}").into()).collect();
/// let size = ServiceSize { slots: 32, entries: 1, running: None };
/// let is_short = steering.divide(&service, ids.iter(), size, 3_000_000);
/// let count = is_short.iter().filter(|is_short| **is_short).count();
/// assert!((4..=10).contains(&count));
/// ```
#[derive(Debug, Default)]
pub struct Steering {
    services: HashMap<Name, Traffic>,
}

impl Steering {
    /// Counts a request that is expected to run for `run_us`.
    pub fn record(&mut self, service: &Name, length: PromptLength, run_us: u64, now_us: u64) {
        let traffic = self.services.entry(service.clone()).or_default();
        traffic.decay_to(now_us);
        match length {
            PromptLength::Short => traffic.running_short += run_us as f64 / AVERAGE_US,
            PromptLength::Long => {
                traffic.running_long += run_us as f64 / AVERAGE_US;
                traffic.long_per_s += US_PER_S as f64 / AVERAGE_US;
            }
        }
    }

    /// Returns for each engine of a service whether short prompts prefer it and long ones
    /// avoid it.
    ///
    /// What the engines report as running is divided as this entry's own traffic is, so
    /// that entries with more traffic than others come to the same number of engines.
    /// Without reports, all entries are assumed to get as much as this one.
    ///
    /// No engine is set apart while the traffic is of one kind.
    pub fn divide<'a>(
        &mut self,
        service: &Name,
        ids: impl Iterator<Item = &'a Name>,
        size: ServiceSize,
        now_us: u64,
    ) -> Vec<bool> {
        let hashes: Vec<u64> = ids.map(|id| xxh3_64(id.as_bytes())).collect();
        let mut is_short = vec![false; hashes.len()];
        let Some(traffic) = self.services.get_mut(service) else {
            return is_short;
        };
        traffic.decay_to(now_us);
        let wanted = wanted_engines(traffic, size, hashes.len());
        let present = traffic.short_engines;
        let is_near = wanted.abs_diff(present) as f64 <= present as f64 * HYSTERESIS;
        if !is_near || wanted == 0 || present > hashes.len() / 2 {
            traffic.short_engines = wanted;
        }
        let mut order: Vec<usize> = (0..hashes.len()).collect();
        order.sort_unstable_by_key(|at| hashes[*at]);
        for at in order.into_iter().take(traffic.short_engines) {
            is_short[at] = true;
        }
        is_short
    }
}

/// Returns how many engines short prompts need.
fn wanted_engines(traffic: &Traffic, size: ServiceSize, engines: usize) -> usize {
    let entries = size.entries.max(1) as f64;
    let running_short = match size.running {
        Some(running) => {
            let own = traffic.running_short + traffic.running_long;
            let share = traffic.running_short / own.max(f64::MIN_POSITIVE);
            f64::from(running) * share * HEADROOM
        }
        // The expected running times are about twice those of engines without queues.
        None => traffic.running_short * entries,
    };
    // Less than one request of a kind in the averaged time is no mix.
    let is_mixed = traffic.long_per_s * entries >= 1.0 && traffic.running_short * entries >= 1.0;
    if !is_mixed || engines < 2 {
        return 0;
    }
    let slots = (f64::from(size.slots) / SLOTS_PER_STREAM).max(1.0);
    let needed = (running_short / slots).ceil();
    needed.min((engines as f64 * MAX_SHARE).floor()) as usize
}
