//! Keeps the prompts that take an engine long to read away from the streams of others.
//!
//! Designed for short prompts with long answers beside long prompts with short answers on
//! the same engines. An engine reads prompts in pieces between the steps that produce
//! tokens, and one event of a stream carries the tokens of several steps. A few pieces in
//! a row therefore stretch the gap between two events of every stream that the engine
//! runs. Short prompts need few engines; when those few get no long prompts, the streams
//! are smooth, and long prompts only wait for each other.
//!
//! All entries order the engines of a service by the same hash and report their traffic
//! to each other, so they agree on the division. The number of engines follows the
//! traffic of the last seconds, and the division is a cost, not a rule: either kind uses
//! the other engines when its own are too busy or lost.

use std::collections::HashMap;

use serde::{
    Deserialize,
    Serialize, //
};
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
const SLOTS_PER_STREAM: f64 = 3.0;

/// Engines that long prompts need beyond those that read all the time, so that they
/// rarely wait for each other.
const LONG_HEADROOM: f64 = 1.3;

/// Age from which the traffic that another entry has reported is not counted.
const REPORT_LIFETIME_US: u64 = 4 * US_PER_S;

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

/// Returns the cost of a prompt at an engine, counted as delay of the first token.
///
/// ```
/// use yuccalatch::direct::steering::{PromptLength, cost_ms};
///
/// assert_eq!(cost_ms(PromptLength::Long, false), 0.0);
/// assert!(cost_ms(PromptLength::Long, true) > 0.0);
/// ```
pub const fn cost_ms(length: PromptLength, is_short_engine: bool) -> f64 {
    match (length, is_short_engine) {
        (PromptLength::Short, true) | (PromptLength::Long, false) => 0.0,
        (PromptLength::Short, false) => SHORT_AT_LONG_COST_MS,
        (PromptLength::Long, true) => LONG_AT_SHORT_COST_MS,
    }
}

/// Requests of a service that run at an entry's targets at once, on average.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunningPrompts {
    /// Short prompts, from their arrival to the end of their answers.
    pub short: f32,
    /// Long prompts while an engine reads them.
    pub long: f32,
}

impl RunningPrompts {
    fn add(&mut self, other: Self) {
        self.short += other.short;
        self.long += other.long;
    }

    fn scale(&mut self, factor: f64) {
        self.short *= factor as f32;
        self.long *= factor as f32;
    }
}

/// Traffic of a service as this entry sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    running: RunningPrompts,
    updated_at_us: u64,
    /// Engines that short prompts prefer.
    short_engines: usize,
}

impl Traffic {
    fn decay_to(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us) as f64;
        self.running.scale((-elapsed_us / AVERAGE_US).exp());
        self.updated_at_us = self.updated_at_us.max(now_us);
    }
}

/// Traffic that another entry has reported.
#[derive(Debug)]
struct PeerTraffic {
    running: Vec<(Name, RunningPrompts)>,
    expires_at_us: u64,
}

/// Division of the engines of each service between short and long prompts.
///
/// ```
/// use yuccalatch::direct::steering::{PromptLength, Steering};
///
/// let mut steering = Steering::default();
/// let service = "chat".into();
/// for at_us in (0..3_000_000).step_by(10_000) {
///     steering.record(&service, PromptLength::Short, 400_000, at_us);
///     steering.record(&service, PromptLength::Long, 50_000, at_us);
/// }
/// let ids: Vec<_> = (0..20).map(|at| format!("e{at}").into()).collect();
/// let is_short = steering.divide(&service, ids.iter(), (32, 1), 3_000_000);
/// let count = is_short.iter().filter(|is_short| **is_short).count();
/// assert!((2..=5).contains(&count));
/// ```
#[derive(Debug, Default)]
pub struct Steering {
    services: HashMap<Name, Traffic>,
    peers: HashMap<Name, PeerTraffic>,
}

impl Steering {
    /// Counts a request: a short prompt that is expected to run for `run_us`, or a long
    /// one that an engine is expected to read for that time.
    pub fn record(&mut self, service: &Name, length: PromptLength, run_us: u64, now_us: u64) {
        let traffic = self.services.entry(service.clone()).or_default();
        traffic.decay_to(now_us);
        let running = (run_us as f64 / AVERAGE_US) as f32;
        match length {
            PromptLength::Short => traffic.running.short += running,
            PromptLength::Long => traffic.running.long += running,
        }
    }

    /// Returns the traffic of this entry for the others.
    pub fn report(&mut self, now_us: u64) -> Vec<(Name, RunningPrompts)> {
        let services = self.services.iter_mut();
        services
            .map(|(service, traffic)| {
                traffic.decay_to(now_us);
                (service.clone(), traffic.running)
            })
            .collect()
    }

    /// Replaces the traffic of another entry by what it reports.
    pub fn merge(&mut self, entry: &Name, running: &[(Name, RunningPrompts)], now_us: u64) {
        self.peers.retain(|_, peer| now_us < peer.expires_at_us);
        if running.is_empty() {
            return;
        }
        let peer = PeerTraffic {
            running: running.to_vec(),
            expires_at_us: now_us + REPORT_LIFETIME_US,
        };
        self.peers.insert(entry.clone(), peer);
    }

    /// Returns the traffic of a service over the whole fleet. Entries that have not
    /// reported are assumed to get as much as the others on average.
    fn fleet_traffic(&self, service: &Name, entries: usize, now_us: u64) -> RunningPrompts {
        let mut total = self
            .services
            .get(service)
            .map_or_else(RunningPrompts::default, |own| own.running);
        let mut known = 1;
        for peer in self.peers.values() {
            if now_us >= peer.expires_at_us {
                continue;
            }
            known += 1;
            let reported = peer.running.iter().find(|(name, _)| name == service);
            if let Some((_, running)) = reported {
                total.add(*running);
            }
        }
        total.scale(entries.max(known) as f64 / known as f64);
        total
    }

    /// Returns for each engine of a service whether short prompts prefer it and long ones
    /// avoid it. `slots` is how many requests an engine runs at once, and `entries` how
    /// many entries share the traffic.
    ///
    /// No engine is set apart while the traffic is of one kind.
    pub fn divide<'a>(
        &mut self,
        service: &Name,
        ids: impl Iterator<Item = &'a Name>,
        (slots, entries): (u32, usize),
        now_us: u64,
    ) -> Vec<bool> {
        let hashes: Vec<u64> = ids.map(|id| xxh3_64(id.as_bytes())).collect();
        let mut is_short = vec![false; hashes.len()];
        if let Some(traffic) = self.services.get_mut(service) {
            traffic.decay_to(now_us);
        }
        let running = self.fleet_traffic(service, entries, now_us);
        let wanted = wanted_engines(running, slots, hashes.len());
        let traffic = self.services.entry(service.clone()).or_default();
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

/// Running long prompts below which the traffic counts as one of short prompts only.
const MIN_RUNNING_LONG: f32 = 0.1;

/// Returns how many engines short prompts get. When there are too few engines for both
/// kinds, each gets the share of its need.
fn wanted_engines(running: RunningPrompts, slots: u32, engines: usize) -> usize {
    let has_both = running.long >= MIN_RUNNING_LONG && running.short > 0.0;
    if !has_both || engines < 2 {
        return 0;
    }
    let engines = engines as f64;
    let slots = (f64::from(slots) / SLOTS_PER_STREAM).max(1.0);
    let short = f64::from(running.short) / slots;
    let long = f64::from(running.long) * LONG_HEADROOM;
    let scale = (engines / (short + long)).min(1.0);
    (short * scale).ceil().min((engines * MAX_SHARE).floor()) as usize
}
