//! State of the targets after a move, restored when an engine restarts.

use super::{
    Move,
    Phase, //
};
use crate::names::Name;

/// What is known of one target after the end of a move.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledView {
    /// Name of the target.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Versions of the service that it serves.
    pub versions: Vec<Name>,
    /// Whether its last load failed; it is tried after the others.
    pub is_failed: bool,
}

/// What an agent has to do after the end of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Correction {
    /// Load the version that the move led to.
    Load(Name),
    /// Unload another version.
    Unload(Name),
}

impl Move {
    /// Returns the version that all targets serve after the move; `None` while
    /// the move or its holder is not finished.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move, Phase};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert_eq!(planned.settled_version(), None);
    /// let done = Move { phase: Phase::Done, ..planned };
    /// assert_eq!(done.settled_version(), Some(&"v2".into()));
    /// ```
    pub fn settled_version(&self) -> Option<&Name> {
        if self.lease.holder.is_some() {
            return None;
        }
        match self.phase {
            Phase::Done => Some(&self.to),
            Phase::TakenBack { .. } => Some(&self.from),
            _ => None,
        }
    }

    /// Returns the corrections that are outstanding, with the targets.
    ///
    /// They go with the fencing number of the finished move, so that agents
    /// refuse them once the next move has a holder. As during the move, only
    /// some targets of a data centre load at once, and a target unloads a version
    /// only when it serves the settled one.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert!(planned.corrections(&[]).is_empty());
    /// ```
    pub fn corrections(&self, targets: &[SettledView]) -> Vec<(Name, Correction)> {
        let Some(settled) = self.settled_version() else {
            return Vec::new();
        };
        let (serving, mut missing): (Vec<&SettledView>, Vec<&SettledView>) = targets
            .iter()
            .partition(|target| target.versions.contains(settled));
        let unload = |target: &SettledView| {
            let mut others = target.versions.iter().filter(|other| *other != settled);
            let other = others.next()?.clone();
            Some((target.name.clone(), Correction::Unload(other)))
        };
        let mut corrections: Vec<_> = serving.into_iter().filter_map(unload).collect();
        missing.sort_by_key(|target| (&target.data_centre, target.is_failed, &target.name));
        for group in missing.chunk_by(|one, other| one.data_centre == other.data_centre) {
            let loading = group
                .iter()
                .take(self.parallel_loads(&group[0].data_centre));
            let load = |target: &&SettledView| {
                let load = Correction::Load(settled.clone());
                (target.name.clone(), load)
            };
            corrections.extend(loading.map(load));
        }
        corrections
    }

    /// A data centre that is not in the plan was added after it.
    fn parallel_loads(&self, data_centre: &Name) -> usize {
        let mut limits = self.plan.loads.iter();
        let limit = limits.find(|limit| limit.data_centre == *data_centre);
        limit.map_or(1, |limit| {
            usize::try_from(limit.parallel_loads).unwrap_or(usize::MAX)
        })
    }
}
