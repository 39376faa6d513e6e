//! Quarantine of prompt parts that crash the engines which answer them.
//!
//! Load pattern: requests that share one part of their prompts break off one engine
//! after the other, from any entry, while requests with the same caller and the same
//! other parts are answered. Retries spread the damage. A crash also breaks off the
//! other requests of its engine, and every request has several parts. So a part counts
//! as the cause only while no answer to a request with it begins anywhere, and of the
//! parts that were in the same crashes only the most likely one counts.
//!
//! Entries exchange what they have observed. Times are those of the entry's clock;
//! reports state ages, because the clocks of entries differ.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    num::NonZeroUsize, //
};

use lru::LruCache;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::message::Prompt;
use crate::clock::{
    US_PER_MS,
    US_PER_S, //
};

/// Crashes of engines, without a begun answer in between, from which a part is
/// quarantined.
pub const CRASH_LIMIT: usize = 3;

/// Time within which broken attempts at one engine belong to the same crash.
const SAME_CRASH_US: u64 = US_PER_S;

/// Time after which a crash is forgotten unless it is the reason of a quarantine.
const CRASH_LIFETIME_US: u64 = 30 * US_PER_S;

/// Time from the crash that causes a quarantine to the first trial.
const FIRST_TRIAL_US: u64 = 10 * US_PER_S;

/// Factor by which the time to the next trial grows with each further crash.
const TRIAL_BACKOFF: u64 = 4;

/// Longest time to the next trial.
const MAX_TRIAL_US: u64 = 600 * US_PER_S;

/// Most broken attempts that are kept, the latest ones.
const MAX_CRASHES: usize = 128;

/// Most broken attempts in a report, so that a failure of many engines does not fill
/// links.
const MAX_REPORTED_CRASHES: usize = 16;

/// Most parts whose last begun answer is remembered.
const MAX_BEGUN_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// An attempt whose connection the engine ended before it began the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Crash {
    /// Hash of the target's id.
    target: u64,
    at_us: u64,
    /// Shared parts of the request in their order.
    parts: Vec<u64>,
}

impl Crash {
    fn is_same_crash(&self, other: &Self) -> bool {
        self.target == other.target && self.at_us.abs_diff(other.at_us) < SAME_CRASH_US
    }
}

/// A broken attempt as entries report it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Hash of the target's id.
    pub target: u64,
    /// Age in microseconds.
    pub age_us: u64,
    /// Ids of the request's shared parts in their order.
    pub parts: Vec<u64>,
}

/// What an entry has observed of prompt parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsReport {
    /// Broken attempts.
    pub crashes: Vec<CrashReport>,
    /// Parts to which an answer has begun, with the age in microseconds of the last
    /// attempt of that kind.
    pub begun: Vec<(u64, u64)>,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No part of its prompt is quarantined.
    Open,
    /// A part is quarantined; the request may be sent to one target as a trial.
    Trial,
    /// A part is quarantined.
    Refused {
        /// Id of the part.
        part: u64,
        /// When the next trial is due.
        trial_at_us: u64,
    },
}

/// Observations of the parts of prompts.
///
/// ```
/// use yuccalatch::direct::quarantine::{Admission, Quarantine};
///
/// let mut quarantine = Quarantine::default();
/// for (number, target) in ["a", "b", "c"].iter().enumerate() {
///     assert_eq!(quarantine.admit(&[7], 0, 1), Admission::Open);
///     quarantine.record_crash(&[7], target, number as u64);
/// }
/// assert!(matches!(quarantine.admit(&[7], 3, 1), Admission::Refused { part: 7, .. }));
/// quarantine.record_begun(&[7], 4);
/// assert_eq!(quarantine.admit(&[7], 5, 1), Admission::Open);
/// ```
#[derive(Debug)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    /// When the last attempt with a part was sent whose answer began.
    begun_at_us: LruCache<u64, u64>,
    /// Quarantined parts with the time of their next trial.
    trials_at_us: BTreeMap<u64, u64>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            begun_at_us: LruCache::new(MAX_BEGUN_PARTS),
            trials_at_us: BTreeMap::new(),
        }
    }
}

/// Crashes of one part since the last begun answer.
struct Suspect<'a> {
    part: u64,
    crashes: Vec<&'a Crash>,
    /// Crashes of engines, each of which may have broken several attempts.
    crash_count: usize,
    begun_at_us: u64,
    /// Position of the part in the prompts.
    position: usize,
}

impl Suspect<'_> {
    /// Returns whether all crashes of this part can be due to another one that is more
    /// likely: no answer has begun with it for longer, or else it is shared by fewer
    /// requests, because it comes later in their prompts.
    fn is_explained_by(&self, other: &Self) -> bool {
        let rank = |suspect: &Self| (Reverse(suspect.begun_at_us), suspect.position);
        let has_other = |crash: &&Crash| crash.parts.contains(&other.part);
        rank(other) > rank(self) && self.crashes.iter().all(has_other)
    }

    fn trial_at_us(&self) -> u64 {
        let surplus = self.crash_count.saturating_sub(CRASH_LIMIT);
        let exponent = u32::try_from(surplus).unwrap_or(u32::MAX);
        let pause_us = FIRST_TRIAL_US.saturating_mul(TRIAL_BACKOFF.saturating_pow(exponent));
        let last_us = self.crashes.iter().map(|crash| crash.at_us).max();
        last_us.unwrap_or(0) + pause_us.min(MAX_TRIAL_US)
    }
}

/// Returns the ids of the parts that requests share: all but the last, which belongs to
/// the request or its session.
pub fn shared_part_ids(prompt: &Prompt) -> Vec<u64> {
    let shared = prompt
        .parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id).collect()
}

impl Quarantine {
    /// Records that an engine ended the connection of a request with these parts before
    /// it began an answer. Returns the parts that are quarantined from now on.
    pub fn record_crash(&mut self, parts: &[u64], target: &str, now_us: u64) -> Vec<u64> {
        self.forget(now_us);
        self.add_crash(Crash {
            target: xxh3_64(target.as_bytes()),
            at_us: now_us,
            parts: parts.to_vec(),
        });
        self.update()
    }

    /// Records that the answer began to an attempt with these parts that was sent at
    /// `sent_at_us`, so none of them crashes engines.
    pub fn record_begun(&mut self, parts: &[u64], sent_at_us: u64) {
        let mut has_crashes = false;
        for part in parts {
            has_crashes |= self.has_crashes(*part);
            self.note_begun(*part, sent_at_us);
        }
        if has_crashes {
            self.update();
        }
    }

    /// Decides whether a request with these parts may be sent to a target. Each of the
    /// `entries` sends a part of the trials, since they do not coordinate them.
    pub fn admit(&self, parts: &[u64], now_us: u64, entries: usize) -> Admission {
        self.admit_with(parts, now_us, || rand::random_range(0..entries.max(1)) == 0)
    }

    /// Like [`Self::admit`]; `is_drawn` says whether this entry sends a trial that is
    /// due.
    pub fn admit_with(
        &self,
        parts: &[u64],
        now_us: u64,
        is_drawn: impl FnOnce() -> bool,
    ) -> Admission {
        let quarantined = parts
            .iter()
            .filter_map(|part| self.trials_at_us.get_key_value(part));
        let Some((part, trial_at_us)) = quarantined.max_by_key(|(_, at_us)| **at_us) else {
            return Admission::Open;
        };
        if now_us >= *trial_at_us && is_drawn() {
            return Admission::Trial;
        }
        Admission::Refused {
            part: *part,
            trial_at_us: *trial_at_us,
        }
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.trials_at_us.len()
    }

    /// Returns the broken attempts that other entries need to know, those of quarantined
    /// parts first, then the latest.
    pub fn report(&mut self, now_us: u64) -> PartsReport {
        self.forget(now_us);
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_by_key(|crash| (!self.is_reason(crash), Reverse(crash.at_us)));
        let report = |crash: &Crash| CrashReport {
            target: crash.target,
            age_us: now_us.saturating_sub(crash.at_us),
            parts: crash.parts.clone(),
        };
        PartsReport {
            crashes: crashes
                .into_iter()
                .take(MAX_REPORTED_CRASHES)
                .map(report)
                .collect(),
            begun: Vec::new(),
        }
    }

    /// Adds what another entry has observed. Returns the parts that are quarantined from
    /// now on.
    pub fn merge(&mut self, report: &PartsReport, now_us: u64) -> Vec<u64> {
        if report.crashes.is_empty() && report.begun.is_empty() {
            return Vec::new();
        }
        for (part, age_us) in &report.begun {
            self.note_begun(*part, now_us.saturating_sub(*age_us));
        }
        for crash in &report.crashes {
            self.add_crash(Crash {
                target: crash.target,
                at_us: now_us.saturating_sub(crash.age_us),
                parts: crash.parts.clone(),
            });
        }
        self.update()
    }

    /// Returns the begun answers to requests with a part of a report.
    pub fn begun_answers(&self, report: &PartsReport, now_us: u64) -> Vec<(u64, u64)> {
        let parts: BTreeSet<u64> = report
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        let begun = |part| {
            let at_us = self.begun_at_us.peek(&part)?;
            Some((part, now_us.saturating_sub(*at_us)))
        };
        parts.into_iter().filter_map(begun).collect()
    }

    fn add_crash(&mut self, crash: Crash) {
        let is_known = |known: &Crash| known.is_same_crash(&crash) && known.parts == crash.parts;
        if crash.parts.is_empty() || self.crashes.iter().any(is_known) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
    }

    /// Returns whether there are crashes of a part since its last begun answer.
    fn has_crashes(&self, part: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.parts.contains(&part) && self.is_uncleared(crash, part))
    }

    fn is_uncleared(&self, crash: &Crash, part: u64) -> bool {
        let begun_at_us = self.begun_at_us.peek(&part);
        begun_at_us.is_none_or(|at_us| crash.at_us > *at_us)
    }

    fn note_begun(&mut self, part: u64, sent_at_us: u64) {
        let known_at_us = self.begun_at_us.get(&part).copied().unwrap_or(0);
        self.begun_at_us.put(part, sent_at_us.max(known_at_us));
    }

    /// Derives the quarantined parts from the observations. Returns those that are new.
    fn update(&mut self) -> Vec<u64> {
        let suspects = self.suspects();
        let is_cause = |suspect: &&Suspect<'_>| {
            let mut others = suspects.iter();
            !others.any(|other| suspect.is_explained_by(other))
        };
        let trials_at_us: BTreeMap<u64, u64> = suspects
            .iter()
            .filter(is_cause)
            .map(|suspect| (suspect.part, suspect.trial_at_us()))
            .collect();
        let is_new = |part: &&u64| !self.trials_at_us.contains_key(part);
        let new = trials_at_us.keys().filter(is_new).copied().collect();
        self.trials_at_us = trials_at_us;
        new
    }

    /// Returns the parts with enough crashes since the last begun answer.
    fn suspects(&self) -> Vec<Suspect<'_>> {
        let mut suspects: BTreeMap<u64, Suspect<'_>> = BTreeMap::new();
        for crash in &self.crashes {
            for (position, part) in crash.parts.iter().enumerate() {
                if !self.is_uncleared(crash, *part) {
                    continue;
                }
                let begun_at_us = self.begun_at_us.peek(part).copied().unwrap_or(0);
                let suspect = suspects.entry(*part).or_insert_with(|| Suspect {
                    part: *part,
                    crashes: Vec::new(),
                    crash_count: 0,
                    begun_at_us,
                    position,
                });
                let is_counted = suspect
                    .crashes
                    .iter()
                    .any(|known| known.is_same_crash(crash));
                suspect.crash_count += usize::from(!is_counted);
                suspect.crashes.push(crash);
            }
        }
        suspects.retain(|_, suspect| suspect.crash_count >= CRASH_LIMIT);
        suspects.into_values().collect()
    }

    /// Returns whether an attempt is a reason of a quarantine.
    fn is_reason(&self, crash: &Crash) -> bool {
        let mut parts = crash.parts.iter();
        parts.any(|part| self.trials_at_us.contains_key(part))
    }

    fn forget(&mut self, now_us: u64) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| now_us < crash.at_us + CRASH_LIFETIME_US || self.is_reason(crash));
        self.crashes = crashes;
    }
}

/// Returns the time in milliseconds until a trial, at least one.
///
/// ```
/// assert_eq!(yuccalatch::direct::quarantine::retry_after_ms(5_000, 2_000), 3);
/// ```
pub fn retry_after_ms(trial_at_us: u64, now_us: u64) -> u64 {
    (trial_at_us.saturating_sub(now_us) / US_PER_MS).max(1)
}
