//! Statistical comparison of a new version with the old one.
//!
//! Counts are kept per route and version in blocks of a few seconds, and both
//! versions are compared block by block. Recent blocks react to a fault that
//! starts late, all blocks together collect evidence under little traffic. An
//! outage that affects both versions appears on both sides of its blocks and is
//! no evidence against the new version. All times are wall-clock microseconds,
//! because entries merge their blocks.

pub mod blocks;
pub mod counts;
pub mod pool;
pub mod sequential;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;
use blocks::{
    Blocks,
    Comparison,
    KEPT_BLOCKS, //
};
use counts::{
    Counts,
    Sample, //
};
use sequential::{
    Strata,
    Symptom,
    Tally, //
};

/// Log odds above which an entry cuts a version by itself: 1e8 to 1. Several
/// periods, routes and entries are tested all the time; 1e6 to 1 would leave
/// too little margin over the thousands of tests in a fleet.
pub const STRONG_LN: f64 = 18.42;
/// Log odds above which a move is held at its share: 100 to 1.
pub const SUSPECT_LN: f64 = 4.6;
/// Log odds that the recent blocks have to show before older ones count: 20 to
/// 1.
const RECENT_LN: f64 = 3.0;
/// Log odds that answers of the same time alone have to show before a version
/// is cut: 1e6 to 1. An outage of both versions while the old one has little
/// traffic exceeds [`STRONG_LN`] but not this. With 1e4 to 1, one good version
/// in 1,000 moves was taken back.
const SIDE_LN: f64 = 13.82;
/// Recent periods that are compared, in blocks. They overlap, so that evidence
/// which arrives a second later is still within a similar period.
const PERIODS: [u64; 5] = [2, 3, 5, 9, KEPT_BLOCKS];
/// Smallest part of slow answers that counts as a slow version. Queueing makes
/// latencies depend on each other, so smaller excesses occur by chance.
const SLOW_RATE: f64 = 0.2;

/// Which version of a move answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The version that the move replaces.
    Old,
    /// The version that the move introduces.
    New,
}

/// What the evidence says about the new version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No worse than the old version, as far as can be seen.
    Clear,
    /// Possibly worse; the share must not grow.
    Suspect(Symptom),
    /// Certainly worse than the old version usually is, but the old version had
    /// too few answers at the same time to rule out an outage of both. Give it
    /// more traffic to find out.
    Unpaired(Symptom),
    /// Worse with near certainty; cut the version.
    Strong(Symptom),
}

/// Log odds of the most likely fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Score {
    /// Log odds that the new version is worse.
    pub log_odds: f64,
    /// In which respect.
    pub symptom: Symptom,
    /// Whether answers of the same time alone confirm it.
    pub is_paired: bool,
}

impl Score {
    const NONE: Self = Self {
        log_odds: 0.0,
        symptom: Symptom::Errors,
        is_paired: false,
    };

    /// Returns the verdict for this score.
    ///
    /// ```
    /// use yuccalatch::version::evidence::{Score, Verdict, sequential::Symptom};
    ///
    /// let symptom = Symptom::Errors;
    /// let score = Score { log_odds: 9.0, symptom, is_paired: true };
    /// assert_eq!(score.verdict(), Verdict::Suspect(Symptom::Errors));
    /// ```
    pub fn verdict(self) -> Verdict {
        if self.log_odds >= STRONG_LN && self.is_paired {
            return Verdict::Strong(self.symptom);
        }
        if self.log_odds >= STRONG_LN {
            return Verdict::Unpaired(self.symptom);
        }
        if self.log_odds >= SUSPECT_LN {
            return Verdict::Suspect(self.symptom);
        }
        Verdict::Clear
    }

    fn max(self, other: Self) -> Self {
        let rank = |score: Self| {
            let is_strong = score.log_odds >= STRONG_LN && score.is_paired;
            (is_strong, score.log_odds)
        };
        if rank(other) > rank(self) {
            return other;
        }
        self
    }
}

/// Counts of both versions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pair {
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

impl Pair {
    /// Returns the counts of one version.
    pub fn side_mut(&mut self, side: Side) -> &mut Counts {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}

/// What is compared, for one route or for all together.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    recent: [Comparison; PERIODS.len()],
    total: Comparison,
    base: [Tally; 3],
}

impl Summary {
    fn of(blocks: &Blocks, now_us: u64) -> Self {
        let usual = blocks.usual();
        let recent = blocks.recent(&usual, PERIODS, now_us);
        let mut total = *blocks.closed();
        total.merge(&recent[PERIODS.len() - 1]);
        Self {
            recent,
            total,
            base: usual.base(),
        }
    }

    fn merge(&mut self, other: &Self) {
        for (sum, recent) in self.recent.iter_mut().zip(&other.recent) {
            sum.merge(recent);
        }
        self.total.merge(&other.total);
        for (sum, base) in self.base.iter_mut().zip(other.base) {
            sum.merge(base);
        }
    }

    fn score(&self) -> Score {
        let mut worst = Score::NONE;
        let mut recent = Score::NONE;
        for comparison in &self.recent {
            recent = self.compare(comparison);
            worst = worst.max(recent);
        }
        if recent.log_odds >= RECENT_LN {
            worst = worst.max(self.compare(&self.total));
        }
        worst
    }

    fn compare(&self, comparison: &Comparison) -> Score {
        let [errors, first_token, between_tokens] = self.base;
        let any_rate = 0.0;
        score(&comparison.errors, errors, any_rate, Symptom::Errors)
            .max(score(
                &comparison.first_token,
                first_token,
                SLOW_RATE,
                Symptom::FirstToken,
            ))
            .max(score(
                &comparison.between_tokens,
                between_tokens,
                SLOW_RATE,
                Symptom::BetweenTokens,
            ))
    }
}

fn score(strata: &Strata, base: Tally, least_rate: f64, symptom: Symptom) -> Score {
    if strata.new_answers().rate() < least_rate {
        return Score::NONE;
    }
    Score {
        log_odds: strata.log_odds(base),
        symptom,
        is_paired: strata.side_by_side() >= SIDE_LN,
    }
}

/// Evidence on one route.
#[derive(Clone, Debug, Default)]
pub struct RouteEvidence {
    blocks: Blocks,
    new_answers_at_mark: u64,
}

impl RouteEvidence {
    /// Adds a single answer. Returns whether it speaks against the new version;
    /// the entry then sends its counts to its peers without waiting for the
    /// next exchange.
    pub fn record(&mut self, side: Side, sample: Sample, now_us: u64) -> bool {
        self.blocks.record(side, sample, now_us);
        side == Side::New && self.blocks.is_bad(sample)
    }

    /// Returns the counts of all time.
    pub fn totals(&self) -> &Pair {
        self.blocks.total()
    }

    /// Starts to count the answers of a new step.
    pub fn mark(&mut self) {
        self.new_answers_at_mark = self.totals().new.answered;
    }

    /// Returns the answers of the new version since the last mark.
    pub fn new_answers_since_mark(&self) -> u64 {
        self.totals().new.answered - self.new_answers_at_mark
    }

    /// Compares both versions on this route.
    ///
    /// ```
    /// use yuccalatch::version::evidence::{RouteEvidence, Side, Verdict};
    /// use yuccalatch::version::evidence::counts::Sample;
    ///
    /// let mut evidence = RouteEvidence::default();
    /// let failed = Sample { failed: true, ..Sample::default() };
    /// for _ in 0..500 {
    ///     evidence.record(Side::Old, Sample::default(), 0);
    /// }
    /// for _ in 0..10 {
    ///     evidence.record(Side::New, failed, 0);
    /// }
    /// assert!(matches!(evidence.score(0).verdict(), Verdict::Strong(_)));
    /// ```
    pub fn score(&self, now_us: u64) -> Score {
        Summary::of(&self.blocks, now_us).score()
    }

    /// Returns failed and good answers of the new version in the last minute.
    pub fn recent_errors(&self, now_us: u64) -> Tally {
        let usual = self.blocks.usual();
        let [recent] = self.blocks.recent(&usual, [KEPT_BLOCKS], now_us);
        recent.errors.new_answers()
    }
}

/// Evidence of one move, per route.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    routes: BTreeMap<Name, RouteEvidence>,
}

impl Evidence {
    /// Returns the evidence of a route, empty at first.
    ///
    /// ```
    /// use yuccalatch::version::evidence::{Evidence, Verdict};
    ///
    /// let mut evidence = Evidence::default();
    /// assert_eq!(evidence.route(&"chat".into()).score(0).verdict(), Verdict::Clear);
    /// ```
    pub fn route(&mut self, route: &Name) -> &mut RouteEvidence {
        self.routes.entry(route.clone()).or_default()
    }

    /// Returns all routes with their evidence.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &RouteEvidence)> {
        self.routes.iter()
    }

    /// Compares both versions on every route and on all routes together, which
    /// recognises a general fault earlier. Returns the worst score and the
    /// route that contributes most, or `None` without routes.
    pub fn worst(&self, now_us: u64) -> Option<(&Name, Score)> {
        let mut together = Summary::default();
        let mut worst: Option<(&Name, Score)> = None;
        for (route, evidence) in &self.routes {
            let summary = Summary::of(&evidence.blocks, now_us);
            together.merge(&summary);
            let score = summary.score();
            if worst.is_none_or(|(_, known)| known.max(score) != known) {
                worst = Some((route, score));
            }
        }
        worst.map(|(route, score)| (route, score.max(together.score())))
    }

    /// Starts to count the answers of a new step on every route.
    pub fn mark(&mut self) {
        self.routes.values_mut().for_each(RouteEvidence::mark);
    }
}
