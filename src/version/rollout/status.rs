//! Status of a move for operators.

use serde::Serialize;

use super::{
    Move,
    Phase,
    Reason,
    step::Observation, //
};
use crate::names::Name;

/// State that is reported to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waiting for the time to load.
    Planned,
    /// Loading the new version.
    Loading,
    /// Growing the share.
    Shifting,
    /// Watching for late faults.
    Settling,
    /// Waiting for acknowledgements and old requests.
    Finishing,
    /// Over, in favour of the new version.
    Done,
    /// Waiting for acknowledgements and requests of the new version.
    TakingBack,
    /// Over, in favour of the old version.
    TakenBack,
}

/// Status of a move.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// State of the stored object.
    pub state: State,
    /// Share of the new version.
    pub share_permille: u16,
    /// Why the move is or was taken back.
    pub reason: Option<Reason>,
    /// Entries that have not acknowledged the present step.
    pub waiting_for: Vec<Name>,
    /// Running requests of the old version, as counted by the targets.
    pub running_from: u64,
    /// Running requests of the new version, as counted by the targets.
    pub running_to: u64,
    /// How far an unfinished move is behind the requested time.
    pub late_ms: u64,
}

impl Move {
    /// Describes the move. "Done" and "taken back" come from the stored object,
    /// which reaches these states only on acknowledgement by every entry.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, status::State, step::Observation, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert_eq!(planned.status(&Observation::default()).state, State::Planned);
    /// ```
    pub fn status(&self, seen: &Observation) -> Status {
        let late_ms = seen.now_unix_ms.saturating_sub(self.plan.finish_at_unix_ms);
        Status {
            state: state(&self.phase),
            share_permille: self.share_permille(),
            reason: reason(&self.phase).cloned(),
            waiting_for: seen
                .entries
                .iter()
                .filter(|entry| entry.step != Some(self.step))
                .map(|entry| entry.name.clone())
                .collect(),
            running_from: seen.targets.iter().map(|target| target.running_from).sum(),
            running_to: seen.targets.iter().map(|target| target.running_to).sum(),
            late_ms: if self.phase.is_final() { 0 } else { late_ms },
        }
    }
}

fn state(phase: &Phase) -> State {
    match phase {
        Phase::Planned => State::Planned,
        Phase::Loading => State::Loading,
        Phase::Shifting { .. } => State::Shifting,
        Phase::Settling { .. } => State::Settling,
        Phase::Finishing => State::Finishing,
        Phase::Done => State::Done,
        Phase::TakingBack { .. } => State::TakingBack,
        Phase::TakenBack { .. } => State::TakenBack,
    }
}

fn reason(phase: &Phase) -> Option<&Reason> {
    match phase {
        Phase::TakingBack { reason } | Phase::TakenBack { reason } => Some(reason),
        _ => None,
    }
}
