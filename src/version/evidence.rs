//! Statistical comparison of a new version with the old one.
//!
//! Counts are kept per route and version in slots of one second. Windows of
//! several lengths are compared side by side: a short one reacts to a fault
//! that starts late under high traffic, the total collects evidence on a route
//! with little traffic. An outage that affects both versions appears on both
//! sides of each window and is no evidence against the new version.

pub mod counts;
pub mod pool;
pub mod sequential;
pub mod timeline;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;
use counts::{
    Counts,
    Sample, //
};
use sequential::{
    Symptom,
    Tally, //
};
use timeline::Timeline;

/// Log odds above which an entry cuts a version by itself: 1e8 to 1. Several
/// windows, routes and entries are tested all the time; 1e6 to 1 would leave
/// too little margin over the thousands of tests in a fleet.
pub const STRONG_LN: f64 = 18.42;
/// Log odds above which a move is held at its share: 100 to 1.
pub const SUSPECT_LN: f64 = 4.6;
/// Log odds that the recent window has to show before the total counts: 20 to
/// 1. An outage of both versions fails this test.
const RECENT_LN: f64 = 3.0;
/// Lengths of the compared windows.
const WINDOWS_S: [u64; 3] = [4, 16, timeline::KEPT_S];

/// Which version of a move answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The version that the move replaces.
    Old,
    /// The version that the move introduces.
    New,
}

/// What the evidence says about the new version on one route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No worse than the old version, as far as can be seen.
    Clear,
    /// Possibly worse; the share must not grow.
    Suspect(Symptom),
    /// Worse with near certainty; cut the version.
    Strong(Symptom),
}

/// Cumulative counts of both versions on one route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pair {
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

/// Evidence on one route.
#[derive(Clone, Debug, Default)]
pub struct RouteEvidence {
    old: Timeline,
    new: Timeline,
    new_answers_at_mark: u64,
}

impl RouteEvidence {
    /// Adds counts of one side.
    pub fn add(&mut self, side: Side, counts: &Counts, now_us: u64) {
        match side {
            Side::Old => self.old.add(counts, now_us),
            Side::New => self.new.add(counts, now_us),
        }
    }

    /// Adds a single answer.
    pub fn record(&mut self, side: Side, sample: Sample, now_us: u64) {
        match side {
            Side::Old => self.old.record(sample, now_us),
            Side::New => self.new.record(sample, now_us),
        }
    }

    /// Returns cumulative counts, to be sent to peers.
    pub fn totals(&self) -> Pair {
        Pair {
            old: self.old.total().clone(),
            new: self.new.total().clone(),
        }
    }

    /// Starts to count the answers of a new step.
    pub fn mark(&mut self) {
        self.new_answers_at_mark = self.new.total().answered;
    }

    /// Returns the answers of the new version since the last mark.
    pub fn new_answers_since_mark(&self) -> u64 {
        self.new.total().answered - self.new_answers_at_mark
    }

    /// Compares both versions.
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
    /// assert!(matches!(evidence.verdict(0), Verdict::Strong(_)));
    /// ```
    pub fn verdict(&self, now_us: u64) -> Verdict {
        let mut worst = (0.0, Symptom::Errors);
        let mut recent = 0.0;
        for window_s in WINDOWS_S {
            let old = self.old.window(window_s, now_us);
            let new = self.new.window(window_s, now_us);
            if new.answered == 0 {
                continue;
            }
            let base = self.old.total().since(&old);
            let score = sequential::worst(&old, &new, &base);
            recent = score.0;
            if score.0 > worst.0 {
                worst = score;
            }
        }
        let total = sequential::worst(self.old.total(), self.new.total(), &Counts::default());
        if recent >= RECENT_LN && total.0 > worst.0 {
            worst = total;
        }
        match worst {
            (score, symptom) if score >= STRONG_LN => Verdict::Strong(symptom),
            (score, symptom) if score >= SUSPECT_LN => Verdict::Suspect(symptom),
            _ => Verdict::Clear,
        }
    }

    /// Returns answers and failures of the new version in the longest window.
    pub fn recent_errors(&self, now_us: u64) -> Tally {
        self.new.window(timeline::KEPT_S, now_us).errors()
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
    /// assert_eq!(evidence.route(&"chat".into()).verdict(0), Verdict::Clear);
    /// ```
    pub fn route(&mut self, route: &Name) -> &mut RouteEvidence {
        self.routes.entry(route.clone()).or_default()
    }

    /// Returns all routes with their evidence.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &RouteEvidence)> {
        self.routes.iter()
    }

    /// Starts to count the answers of a new step on every route.
    pub fn mark(&mut self) {
        self.routes.values_mut().for_each(RouteEvidence::mark);
    }

    /// Returns cumulative counts of every route, to be sent to peers.
    pub fn totals(&self) -> BTreeMap<Name, Pair> {
        self.routes
            .iter()
            .map(|(route, evidence)| (route.clone(), evidence.totals()))
            .collect()
    }
}
