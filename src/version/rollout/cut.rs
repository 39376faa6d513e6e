//! Shares and cuts at an entry.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    FULL_PERMILLE,
    Move,
    Phase,
    Reason, //
};
use crate::{
    names::{
        Incarnation,
        Name, //
    },
    version::evidence::{
        Evidence,
        Side,
        Verdict, //
    },
};

/// Greatest share while the old version has too few answers to compare with.
const CAUTIOUS_PERMILLE: u16 = 250;

/// Notice that an entry has cut a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cut {
    /// Service of the move.
    pub service: Name,
    /// Ticket of the move.
    pub ticket: u64,
    /// Why.
    pub reason: Reason,
}

/// One move as an entry applies it. Cuts take effect without the object API.
#[derive(Clone, Debug)]
pub struct LocalMove {
    current: Move,
    cut: Option<Cut>,
    is_cautious: bool,
    first_carry_permille: u16,
    carry_permille: BTreeMap<Name, u16>,
}

impl LocalMove {
    /// Starts to apply a move at the entry with this rank among the live ones.
    ///
    /// The ranks spread the first requests to the new version evenly, so the
    /// whole fleet stays at the share from the first request on, with few
    /// entries as well as with many.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{cut::LocalMove, plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert_eq!(LocalMove::new(planned, 0, 4).share_permille(), 0);
    /// ```
    pub fn new(current: Move, rank: usize, live_entries: usize) -> Self {
        let rank = rank % live_entries.max(1);
        let first = rank * usize::from(FULL_PERMILLE) / live_entries.max(1);
        Self {
            current,
            cut: None,
            is_cautious: false,
            first_carry_permille: u16::try_from(first).unwrap_or(0),
            carry_permille: BTreeMap::new(),
        }
    }

    /// Applies a newer value of the object; an older one is ignored.
    pub fn apply(&mut self, newer: Move) {
        if self.current.is_newer_than(&newer) {
            return;
        }
        if newer.ticket != self.current.ticket {
            self.cut = None;
            self.is_cautious = false;
            self.carry_permille.clear();
        }
        self.current = newer;
    }

    /// Returns the value of the object that is applied.
    pub fn current(&self) -> &Move {
        &self.current
    }

    /// Returns the step to acknowledge.
    pub fn step(&self) -> u64 {
        self.current.step
    }

    /// Returns the cut that is in force here, for the holder and for peers.
    pub fn cut(&self) -> Option<&Cut> {
        self.cut.as_ref()
    }

    /// Returns the share of the new version at this entry.
    pub fn share_permille(&self) -> u16 {
        if self.cut.is_some() {
            return 0;
        }
        let share = self.current.share_permille();
        if self.is_cautious && !self.current.phase.is_final() {
            return share.min(CAUTIOUS_PERMILLE);
        }
        share
    }

    /// Chooses the version of the next request of a route.
    ///
    /// The remainder is carried over, so every run of requests matches the
    /// share to within one request.
    pub fn choose(&mut self, route: &Name) -> Side {
        let share = self.share_permille();
        if share == 0 {
            return Side::Old;
        }
        if !self.carry_permille.contains_key(route) {
            let first = self.first_carry_permille;
            self.carry_permille.insert(route.clone(), first);
        }
        let Some(carry) = self.carry_permille.get_mut(route) else {
            return Side::Old;
        };
        *carry += share;
        if *carry < FULL_PERMILLE {
            return Side::Old;
        }
        *carry -= FULL_PERMILLE;
        Side::New
    }

    /// Cuts the version on strong evidence, and gives the old version most
    /// traffic while there is too little of it to tell a fault from an
    /// outage of both. Returns the notice for the peers when the cut is new.
    ///
    /// `evidence` is that of the fleet as far as this entry knows.
    pub fn judge(&mut self, evidence: &Evidence, own: Incarnation, now_us: u64) -> Option<Cut> {
        let (route, score) = evidence.worst(now_us)?;
        let verdict = score.verdict();
        self.is_cautious = matches!(verdict, Verdict::Unpaired(_));
        let Verdict::Strong(symptom) = verdict else {
            return None;
        };
        let route = route.clone();
        let notice = Cut {
            service: self.current.service.clone(),
            ticket: self.current.ticket,
            reason: Reason::Evidence {
                route,
                symptom,
                entry: own,
            },
        };
        self.receive(&notice).then_some(notice)
    }

    /// Applies a cut. Returns whether it is new and has to be passed on.
    ///
    /// A cut of a finished move is ignored: the old version may be unloaded.
    pub fn receive(&mut self, cut: &Cut) -> bool {
        let is_current = cut.ticket == self.current.ticket && cut.service == self.current.service;
        if !is_current || self.cut.is_some() || self.current.phase == Phase::Done {
            return false;
        }
        self.cut = Some(cut.clone());
        true
    }
}
