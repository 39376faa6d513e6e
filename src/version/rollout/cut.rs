//! Shares and cuts at an entry.

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
    carry_permille: u16,
}

impl LocalMove {
    /// Starts to apply a move. `phase` offsets the distribution, so that
    /// entries do not send their first requests to the new version together.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{cut::LocalMove, plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned(1, "chat", ("v1", "v2"), plan, 0);
    /// assert_eq!(LocalMove::new(planned, 3).share_permille(), 0);
    /// ```
    pub fn new(current: Move, phase: u64) -> Self {
        let carry = phase % u64::from(FULL_PERMILLE);
        Self {
            current,
            cut: None,
            carry_permille: u16::try_from(carry).unwrap_or(0),
        }
    }

    /// Applies a newer value of the object; an older one is ignored.
    pub fn apply(&mut self, newer: Move) {
        let key = |value: &Move| (value.ticket, value.step, value.lease.renewal);
        if key(&newer) < key(&self.current) {
            return;
        }
        if newer.ticket != self.current.ticket {
            self.cut = None;
        }
        self.current = newer;
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
        self.current.share_permille()
    }

    /// Chooses the version of the next request.
    ///
    /// The remainder is carried over, so every run of requests matches the
    /// share to within one request.
    pub fn choose(&mut self) -> Side {
        let share = self.share_permille();
        if share == 0 {
            return Side::Old;
        }
        self.carry_permille += share;
        if self.carry_permille < FULL_PERMILLE {
            return Side::Old;
        }
        self.carry_permille -= FULL_PERMILLE;
        Side::New
    }

    /// Cuts the version on strong evidence. Returns the notice for the peers
    /// when the cut is new.
    pub fn judge(&mut self, evidence: &Evidence, own: Incarnation, now_us: u64) -> Option<Cut> {
        let (route, symptom) =
            evidence
                .routes()
                .find_map(|(route, evidence)| match evidence.verdict(now_us) {
                    Verdict::Strong(symptom) => Some((route.clone(), symptom)),
                    Verdict::Clear | Verdict::Suspect(_) => None,
                })?;
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
