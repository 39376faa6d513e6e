//! Finds the parts of prompts that explain crashes of engines.
//!
//! Load pattern: a crash breaks off all requests of its engine. Only one of them caused
//! it, but all of them have parts that many sound prompts share. Several engines may crash
//! within the time to a first token, before any answer shows which parts are sound.
//!
//! The part that explains a crash is looked for among all requests that it broke. Of the
//! parts that explain several crashes the narrowest one is blamed first: the one to which
//! no answer has begun for the longest time, or else the one that comes later in the
//! prompts. The crashes that it explains count for no other part.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
};

use crate::clock::US_PER_S;

/// Crashes of engines, without a begun answer in between, from which a part is blamed.
pub const CRASH_LIMIT: usize = 3;

/// Time within which broken attempts at one engine belong to the same crash.
const SAME_CRASH_US: u64 = US_PER_S;

/// Time without a crash that separates two series of crashes. A trial comes later after
/// the crashes before it.
const SERIES_GAP_US: u64 = US_PER_S / 2;

/// An attempt whose connection the engine ended before it began the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrokenAttempt {
    /// Hash of the target's id.
    pub target: u64,
    /// When it was broken.
    pub at_us: u64,
    /// Shared parts of the request in their order.
    pub parts: Vec<u64>,
}

impl BrokenAttempt {
    /// Returns whether the same crash has broken both attempts.
    ///
    /// ```
    /// use yuccalatch::direct::blame::BrokenAttempt;
    ///
    /// let first = BrokenAttempt { target: 1, at_us: 0, parts: vec![7] };
    /// let second = BrokenAttempt { at_us: 1_000, parts: vec![8], ..first.clone() };
    /// assert!(first.is_same_crash(&second));
    /// ```
    pub fn is_same_crash(&self, other: &Self) -> bool {
        self.target == other.target && self.at_us.abs_diff(other.at_us) < SAME_CRASH_US
    }
}

/// A part that explains crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlamedPart {
    /// Id of the part.
    pub part: u64,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// Number of series of crashes among them.
    pub series: u32,
    /// Time of the first of them.
    pub first_us: u64,
    /// Time of the crash with which there were enough of them.
    pub blamed_at_us: u64,
    /// Time of the last of them.
    pub last_us: u64,
}

/// Crash of an engine.
struct Crash {
    target: u64,
    at_us: u64,
    /// Parts of the broken attempts that no begun answer has cleared since, with their
    /// place in the prompts.
    parts: BTreeMap<u64, usize>,
}

/// A part with enough crashes.
struct Suspect {
    part: u64,
    begun_at_us: u64,
    position: usize,
    /// Positions of its crashes in their list.
    crashes: Vec<usize>,
}

/// Returns the parts that explain the crashes which have broken these attempts. `begun_at_us`
/// returns when the last attempt with a part was sent whose answer has begun.
///
/// ```
/// use yuccalatch::direct::blame::{BrokenAttempt, blame};
///
/// // Each crash breaks a deadly request (7) and a sound one with the same first part.
/// let attempts: Vec<BrokenAttempt> = (0..3)
///     .flat_map(|target| [vec![1, 7], vec![1, 20 + target]].map(|parts| (target, parts)))
///     .map(|(target, parts)| BrokenAttempt { target, at_us: 10, parts })
///     .collect();
/// let blamed = blame(&attempts, |part| (part == 1).then_some(5));
/// assert_eq!(blamed.iter().map(|blamed| blamed.part).collect::<Vec<_>>(), [7]);
/// ```
pub fn blame(
    attempts: &[BrokenAttempt],
    begun_at_us: impl Fn(u64) -> Option<u64>,
) -> Vec<BlamedPart> {
    let crashes = group(attempts, &begun_at_us);
    let mut suspects = find_suspects(&crashes, &begun_at_us);
    suspects.sort_by_key(|suspect| {
        let crash_count = suspect.crashes.len();
        (
            suspect.begun_at_us,
            Reverse((suspect.position, crash_count)),
        )
    });
    let mut explained = BTreeSet::new();
    let mut blamed = Vec::new();
    for suspect in suspects {
        let is_open = |crash: &&usize| !explained.contains(*crash);
        if suspect.crashes.iter().filter(is_open).count() < CRASH_LIMIT {
            continue;
        }
        let mut times_us: Vec<u64> = suspect
            .crashes
            .iter()
            .map(|at| crashes[*at].at_us)
            .collect();
        times_us.sort_unstable();
        let gaps = times_us.windows(2);
        let is_new_series = |pair: &&[u64]| pair[1] - pair[0] > SERIES_GAP_US;
        let further_series = gaps.filter(is_new_series).count();
        blamed.push(BlamedPart {
            part: suspect.part,
            crashes: times_us.len(),
            series: u32::try_from(further_series + 1).unwrap_or(u32::MAX),
            first_us: times_us[0],
            blamed_at_us: times_us[CRASH_LIMIT - 1],
            last_us: times_us[times_us.len() - 1],
        });
        explained.extend(suspect.crashes);
    }
    blamed
}

/// Groups broken attempts by the crash that broke them.
fn group(attempts: &[BrokenAttempt], begun_at_us: &impl Fn(u64) -> Option<u64>) -> Vec<Crash> {
    let mut sorted: Vec<&BrokenAttempt> = attempts.iter().collect();
    sorted.sort_by_key(|attempt| (attempt.target, attempt.at_us));
    let mut crashes: Vec<Crash> = Vec::new();
    for attempt in sorted {
        let is_same = |crash: &&mut Crash| {
            crash.target == attempt.target && attempt.at_us - crash.at_us < SAME_CRASH_US
        };
        let crash = match crashes.last_mut().filter(is_same) {
            Some(crash) => crash,
            None => {
                crashes.push(Crash {
                    target: attempt.target,
                    at_us: attempt.at_us,
                    parts: BTreeMap::new(),
                });
                let last = crashes.len() - 1;
                &mut crashes[last]
            }
        };
        for (position, part) in attempt.parts.iter().enumerate() {
            if begun_at_us(*part).is_none_or(|begun_at_us| attempt.at_us > begun_at_us) {
                crash.parts.entry(*part).or_insert(position);
            }
        }
    }
    crashes
}

/// Returns the parts with enough crashes since the last begun answer.
fn find_suspects(crashes: &[Crash], begun_at_us: &impl Fn(u64) -> Option<u64>) -> Vec<Suspect> {
    let mut suspects: BTreeMap<u64, Suspect> = BTreeMap::new();
    for (at, crash) in crashes.iter().enumerate() {
        for (part, position) in &crash.parts {
            let suspect = suspects.entry(*part).or_insert_with(|| Suspect {
                part: *part,
                begun_at_us: begun_at_us(*part).unwrap_or(0),
                position: *position,
                crashes: Vec::new(),
            });
            suspect.crashes.push(at);
        }
    }
    suspects.retain(|_, suspect| suspect.crashes.len() >= CRASH_LIMIT);
    suspects.into_values().collect()
}
