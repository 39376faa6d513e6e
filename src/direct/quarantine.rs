//! Quarantine of prompt parts that crash the engines which answer them.
//!
//! Load pattern: requests that share one part of their prompts break off one engine
//! after the other, or many at once, from any entry, while requests with the same caller
//! and the same other parts are answered. Retries spread the damage. [`blame`] finds the
//! parts that explain the crashes since their last begun answers. A part that was answered
//! shortly before is refused only if no answer begins within a second, and one that was
//! answered often is tried again at once.
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

use super::{
    blame::{
        BlamedPart,
        BrokenAttempt,
        CRASH_LIMIT,
        blame, //
    },
    message::Prompt, //
};
use crate::clock::{
    US_PER_MS,
    US_PER_S, //
};

/// Time after which a crash is forgotten unless it is the reason of a quarantine.
const CRASH_LIFETIME_US: u64 = 30 * US_PER_S;

/// Time from the crash that causes a quarantine to the first trial.
const FIRST_TRIAL_US: u64 = 10 * US_PER_S;

/// Time after the crash that causes a quarantine in which a part that was answered before
/// is not refused: an answer that begins clears it. Engines take less to the first token.
const ANSWER_TIME_US: u64 = US_PER_S;

/// Time for which an answer counts as one shortly before a crash.
const ANSWERED_BEFORE_US: u64 = 30 * US_PER_S;

/// Answers for each broken attempt from which a part counts as one that was answered
/// often.
const ANSWERS_PER_BROKEN: usize = 4;

/// Time that is stated to callers while a trial is under way.
const TRIAL_RETRY_MS: u64 = 300;

/// Factor by which the time to the next trial grows with each further crash.
const TRIAL_BACKOFF: u64 = 4;

/// Longest time to the next trial.
const MAX_TRIAL_US: u64 = 600 * US_PER_S;

/// Most broken attempts that are kept, the latest ones.
const MAX_CRASHES: usize = 256;

/// Most broken attempts in a report, so that a failure of many engines does not fill
/// links.
const MAX_REPORTED_CRASHES: usize = 16;

/// Most parts whose history is remembered.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// What became of requests with a part.
#[derive(Clone, Copy, Debug, Default)]
struct PartHistory {
    /// When the last attempt was sent whose answer began, 0 when none did.
    begun_at_us: u64,
    /// Window of the counts, in units of [`ANSWERED_BEFORE_US`].
    window: u64,
    /// Answers to this entry in this window and in the one before it.
    answers: [usize; 2],
    /// Attempts of this entry that were broken, in the same windows.
    broken: [usize; 2],
}

impl PartHistory {
    fn note_answer(&mut self, sent_at_us: u64) {
        self.begun_at_us = self.begun_at_us.max(sent_at_us);
        self.advance(sent_at_us);
        self.answers[0] += 1;
    }

    fn note_broken(&mut self, at_us: u64) {
        self.advance(at_us);
        self.broken[0] += 1;
    }

    fn advance(&mut self, at_us: u64) {
        let window = at_us / ANSWERED_BEFORE_US;
        match window.saturating_sub(self.window) {
            0 => return,
            1 => {
                self.answers = [0, self.answers[0]];
                self.broken = [0, self.broken[0]];
            }
            _ => {
                self.answers = [0, 0];
                self.broken = [0, 0];
            }
        }
        self.window = window;
    }

    /// Returns whether so many more attempts were answered than broken that the part is
    /// an unlikely cause of crashes.
    fn is_answered_often(&self) -> bool {
        let answers: usize = self.answers.iter().sum();
        let broken: usize = self.broken.iter().sum();
        answers > 0 && answers >= ANSWERS_PER_BROKEN * broken
    }
}

/// When requests with a part are refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Hold {
    from_us: u64,
    trial_at_us: u64,
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
    crashes: Vec<BrokenAttempt>,
    histories: LruCache<u64, PartHistory>,
    /// Quarantined parts.
    holds: BTreeMap<u64, Hold>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            histories: LruCache::new(MAX_PARTS),
            holds: BTreeMap::new(),
        }
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
        for part in parts {
            self.history(*part).note_broken(now_us);
        }
        self.add_crash(BrokenAttempt {
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
            self.history(*part).note_answer(sent_at_us);
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
        let holds = parts
            .iter()
            .filter_map(|part| self.holds.get_key_value(part))
            .filter(|(_, hold)| now_us >= hold.from_us);
        let Some((part, hold)) = holds.max_by_key(|(_, hold)| hold.trial_at_us) else {
            return Admission::Open;
        };
        if now_us >= hold.trial_at_us && is_drawn() {
            return Admission::Trial;
        }
        Admission::Refused {
            part: *part,
            trial_at_us: hold.trial_at_us,
        }
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.holds.len()
    }

    /// Returns the broken attempts that other entries need to know: those of quarantined
    /// parts first, then those that most likely caused their crashes, then the latest.
    pub fn report(&mut self, now_us: u64) -> PartsReport {
        self.forget(now_us);
        let mut crashes: Vec<&BrokenAttempt> = self.crashes.iter().collect();
        crashes.sort_by_cached_key(|crash| {
            let parts = crash.parts.iter();
            let begun_at_us = parts.map(|part| self.begun_at_us(*part).unwrap_or(0)).min();
            (!self.is_reason(crash), begun_at_us, Reverse(crash.at_us))
        });
        let report = |crash: &BrokenAttempt| CrashReport {
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
        let mut is_changed = false;
        for (part, age_us) in &report.begun {
            is_changed |= self.note_begun(*part, now_us.saturating_sub(*age_us));
        }
        for crash in &report.crashes {
            is_changed |= self.add_crash(BrokenAttempt {
                target: crash.target,
                at_us: now_us.saturating_sub(crash.age_us),
                parts: crash.parts.clone(),
            });
        }
        if is_changed {
            self.update()
        } else {
            Vec::new()
        }
    }

    /// Returns the begun answers to requests with a part of a report.
    pub fn begun_answers(&self, report: &PartsReport, now_us: u64) -> Vec<(u64, u64)> {
        let parts: BTreeSet<u64> = report
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        let begun = |part| {
            let at_us = self.begun_at_us(part)?;
            Some((part, now_us.saturating_sub(at_us)))
        };
        parts.into_iter().filter_map(begun).collect()
    }

    /// Adds a broken attempt. Returns whether it was new.
    fn add_crash(&mut self, crash: BrokenAttempt) -> bool {
        let is_known =
            |known: &BrokenAttempt| known.is_same_crash(&crash) && known.parts == crash.parts;
        if crash.parts.is_empty() || self.crashes.iter().any(is_known) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Returns whether there are crashes of a part since its last begun answer.
    fn has_crashes(&self, part: u64) -> bool {
        let begun_at_us = self.begun_at_us(part);
        self.crashes.iter().any(|crash| {
            crash.parts.contains(&part) && begun_at_us.is_none_or(|at_us| crash.at_us > at_us)
        })
    }

    fn begun_at_us(&self, part: u64) -> Option<u64> {
        let history = self.histories.peek(&part)?;
        (history.begun_at_us > 0).then_some(history.begun_at_us)
    }

    fn history(&mut self, part: u64) -> &mut PartHistory {
        self.histories.get_or_insert_mut(part, PartHistory::default)
    }

    /// Notes an answer that another entry has seen. Returns whether it is the last one.
    fn note_begun(&mut self, part: u64, sent_at_us: u64) -> bool {
        let history = self.history(part);
        let is_later = sent_at_us > history.begun_at_us;
        history.begun_at_us = history.begun_at_us.max(sent_at_us);
        is_later
    }

    /// Derives the quarantined parts from the observations. Returns those that are new.
    fn update(&mut self) -> Vec<u64> {
        let blamed = blame(&self.crashes, |part| self.begun_at_us(part));
        let holds: BTreeMap<u64, Hold> = blamed
            .iter()
            .map(|blamed| (blamed.part, self.hold(blamed)))
            .collect();
        let is_new = |part: &&u64| !self.holds.contains_key(part);
        let new = holds.keys().filter(is_new).copied().collect();
        self.holds = holds;
        new
    }

    /// Returns when requests with a blamed part are refused.
    fn hold(&self, blamed: &BlamedPart) -> Hold {
        let begun_at_us = self.begun_at_us(blamed.part);
        let is_answered =
            begun_at_us.is_some_and(|at_us| blamed.first_us < at_us + ANSWERED_BEFORE_US);
        let history = self.histories.peek(&blamed.part);
        let is_answered_often = is_answered && history.is_some_and(PartHistory::is_answered_often);
        let backoff = |exponent| {
            let pause_us = FIRST_TRIAL_US.saturating_mul(TRIAL_BACKOFF.saturating_pow(exponent));
            pause_us.min(MAX_TRIAL_US)
        };
        let pause_us = if is_answered_often {
            // A crash of several engines at once is more likely than a part that crashes
            // engines after it was answered often.
            let failed_trials = blamed.series - 1;
            failed_trials.checked_sub(1).map_or(ANSWER_TIME_US, backoff)
        } else {
            let surplus = blamed.crashes.saturating_sub(CRASH_LIMIT);
            backoff(u32::try_from(surplus).unwrap_or(u32::MAX))
        };
        Hold {
            from_us: if is_answered {
                blamed.blamed_at_us + ANSWER_TIME_US
            } else {
                0
            },
            trial_at_us: blamed.last_us.saturating_add(pause_us),
        }
    }

    /// Returns whether an attempt is a reason of a quarantine.
    fn is_reason(&self, crash: &BrokenAttempt) -> bool {
        let mut parts = crash.parts.iter();
        parts.any(|part| self.holds.contains_key(part))
    }

    fn forget(&mut self, now_us: u64) {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| now_us < crash.at_us + CRASH_LIFETIME_US || self.is_reason(crash));
        self.crashes = crashes;
    }
}

/// Returns the time in milliseconds until the result of a trial may be known.
///
/// ```
/// use yuccalatch::direct::quarantine::retry_after_ms;
///
/// assert_eq!(retry_after_ms(5_000_000, 2_000), 5_298);
/// assert_eq!(retry_after_ms(2_000, 5_000_000), 300);
/// ```
pub fn retry_after_ms(trial_at_us: u64, now_us: u64) -> u64 {
    trial_at_us.saturating_sub(now_us) / US_PER_MS + TRIAL_RETRY_MS
}
