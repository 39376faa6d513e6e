//! Plan and state machine of a move between versions.
//!
//! [`Move`] is the object that the object API stores, one per service. Every
//! step is the next value of that object, stored by a conditional update on the
//! version that was read. Traffic shares are read from the object only.

pub mod cut;
pub mod known;
pub mod order;
pub mod plan;
pub mod restore;
pub mod status;
pub mod step;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::{
        Incarnation,
        Name, //
    },
    version::{
        evidence::sequential::Symptom,
        lease::LeaseRecord, //
    },
};
use plan::Plan;

/// Share of all traffic, in thousandths.
pub const FULL_PERMILLE: u16 = 1_000;

/// Returns the key of the move object of a service in the object API.
///
/// ```
/// use yuccalatch::version::rollout::object_key;
///
/// assert_eq!(object_key("chat"), "moves/chat");
/// ```
pub fn object_key(service: &str) -> String {
    format!("moves/{service}")
}

/// Why a version is taken back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// An entry cut the version on strong evidence.
    Evidence {
        /// Route on which it appeared.
        route: Name,
        /// What was wrong.
        symptom: Symptom,
        /// Entry that cut first.
        entry: Incarnation,
    },
    /// Targets failed to load the version in time.
    LoadFailed {
        /// The targets, by name.
        targets: Vec<Name>,
    },
    /// An operator withdrew the move.
    Withdrawn,
}

/// State of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; loading has not begun.
    Planned,
    /// Targets load the new version.
    Loading,
    /// The new version has the share of a step of the plan.
    Shifting {
        /// Position in the plan.
        step: usize,
        /// When the step was made, by the holder's wall clock.
        since_unix_ms: u64,
    },
    /// The last step has been made. The old version keeps a small share, so
    /// that late faults are still compared side by side.
    Settling {
        /// When the step was made, by the holder's wall clock.
        since_unix_ms: u64,
    },
    /// The new version has all traffic; entries acknowledge and the requests
    /// of the old version finish.
    Finishing,
    /// Every entry has acknowledged and no request of the old version runs.
    Done,
    /// The old version has all traffic again; entries acknowledge and the
    /// requests of the new version finish.
    TakingBack {
        /// Why.
        reason: Reason,
    },
    /// Every entry has acknowledged and no request of the new version runs.
    TakenBack {
        /// Why.
        reason: Reason,
    },
}

impl Phase {
    /// Returns whether the move has ended.
    ///
    /// ```
    /// use yuccalatch::version::rollout::Phase;
    ///
    /// assert!(Phase::Done.is_final());
    /// assert!(!Phase::Finishing.is_final());
    /// ```
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. })
    }
}

/// A move as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Move {
    /// Number of the ticket that created the move.
    pub ticket: u64,
    /// Name in the configuration, by which a withdrawal is found.
    pub name: Name,
    /// Service whose traffic moves.
    pub service: Name,
    /// Version that is replaced.
    pub from: Name,
    /// Version that is introduced.
    pub to: Name,
    /// Who runs the move; its fencing number goes with every order.
    pub lease: LeaseRecord,
    /// Grows with every change of phase or share; entries acknowledge it.
    pub step: u64,
    /// State.
    pub phase: Phase,
    /// When each step is due.
    pub plan: Plan,
}

/// Outcome of a conditional update whose answer was lost or a conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The update took effect.
    Applied,
    /// The update has not taken effect. Sending the same conditional update
    /// again is safe: should the first one arrive late, one of them conflicts.
    Pending,
    /// Another value was stored; the writer has to start from what it reads.
    Superseded,
}

impl Move {
    /// Makes the first value of a move from an accepted plan.
    ///
    /// `previous_fencing` is the number of the service's last move, zero
    /// without one, so that numbers grow over all moves of a target.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move};
    ///
    /// let request = plan::PlanRequest::example();
    /// let plan = plan::accept(&request).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert_eq!(planned.share_permille(), 0);
    /// ```
    pub fn planned(
        (ticket, name): (u64, &str),
        service: &str,
        (from, to): (&str, &str),
        plan: Plan,
        previous_fencing: u64,
    ) -> Self {
        Self {
            ticket,
            name: name.into(),
            service: service.into(),
            from: from.into(),
            to: to.into(),
            lease: LeaseRecord {
                fencing: previous_fencing,
                ..LeaseRecord::default()
            },
            step: 0,
            phase: Phase::Planned,
            plan,
        }
    }

    /// Returns the share of the new version.
    pub fn share_permille(&self) -> u16 {
        match &self.phase {
            Phase::Planned | Phase::Loading => 0,
            Phase::Shifting { step, .. } => self.plan.steps[*step].share_permille,
            Phase::Settling { .. } => plan::LAST_STEP_PERMILLE,
            Phase::Finishing | Phase::Done => FULL_PERMILLE,
            Phase::TakingBack { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Returns whether this value was stored after another one of the service.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// let next = Move { step: 1, ..planned.clone() };
    /// assert!(next.is_newer_than(&planned) && !planned.is_newer_than(&next));
    /// ```
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let key = |value: &Self| {
            let lease = value.lease;
            (value.ticket, value.step, lease.fencing, lease.renewal)
        };
        key(self) > key(other)
    }

    /// Resolves a write by comparing what was proposed with what is stored.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move, WriteOutcome};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let stored = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// let mut proposed = stored.clone();
    /// proposed.step += 1;
    /// assert_eq!(proposed.outcome(&stored, &stored), WriteOutcome::Pending);
    /// assert_eq!(proposed.outcome(&stored, &proposed), WriteOutcome::Applied);
    /// ```
    pub fn outcome(&self, base: &Self, read: &Self) -> WriteOutcome {
        if read == self {
            return WriteOutcome::Applied;
        }
        if read == base {
            return WriteOutcome::Pending;
        }
        WriteOutcome::Superseded
    }
}
