//! Orders that follow from a move.

use super::{
    Move,
    Phase, //
};
use crate::names::Name;

/// State of the new version on a target, as its agent reports it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadState {
    /// Ready to serve.
    Loaded,
    /// Being loaded.
    Loading,
    /// Not there.
    Absent,
    /// The last load failed.
    Failed,
}

/// Versions that a target can serve during a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// An engine, which loads and unloads versions on order.
    Both,
    /// A plain server of the old version, which takes no orders.
    Old,
    /// A plain server of the new version, started beside the old ones.
    New,
}

/// What the holder knows of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Name of the target.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is leaving; it gets no orders any more.
    pub is_leaving: bool,
    /// Versions that it can serve.
    pub part: Part,
    /// State of the new version.
    pub load: LoadState,
    /// Highest fencing number that its agent knows.
    pub fencing: Option<u64>,
    /// Requests of the old version that run on it.
    pub running_from: u64,
    /// Requests of the new version that run on it.
    pub running_to: u64,
}

/// What an agent has to do. All orders may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Only raise the fencing number.
    Fence,
    /// Load the new version.
    LoadNew,
    /// Unload the new version.
    UnloadNew,
    /// Unload the old version.
    UnloadOld,
}

/// An order to the agent of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Target.
    pub target: Name,
    /// Fencing number of the move's holder.
    pub fencing: u64,
    /// What to do.
    pub action: Action,
}

impl Move {
    /// Returns the orders that are outstanding.
    ///
    /// In each data centre the first targets that are not loaded get the order,
    /// as many as may load at once. The choice depends on reports only, so a
    /// repeated call or a new holder does not start further loads.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// assert!(planned.orders(&[]).is_empty());
    /// ```
    pub fn orders(&self, targets: &[TargetView]) -> Vec<Order> {
        let staying = targets.iter().filter(|target| !target.is_leaving);
        match self.phase {
            Phase::Planned => Vec::new(),
            Phase::TakingBack { .. } => staying
                .filter(|target| self.is_fence_missing(target))
                .map(|target| self.order(target, Action::Fence))
                .collect(),
            Phase::TakenBack { .. } => staying
                .filter(|target| self.is_fence_missing(target) || target.load != LoadState::Absent)
                .filter_map(|target| self.unload_order(target, Action::UnloadNew))
                .collect(),
            // An engine that has restarted may serve the old version only.
            Phase::Done => {
                let (loaded, missing): (Vec<_>, Vec<_>) = staying.partition(|target| {
                    target.part != Part::Both || target.load == LoadState::Loaded
                });
                let unload = |target: &TargetView| self.unload_order(target, Action::UnloadOld);
                let mut orders: Vec<Order> = loaded.into_iter().filter_map(unload).collect();
                orders.extend(self.load_orders(missing));
                orders
            }
            Phase::Loading | Phase::Shifting { .. } | Phase::Settling { .. } | Phase::Finishing => {
                self.load_orders(staying.collect())
            }
        }
    }

    /// A plain server is only told the fencing number.
    fn unload_order(&self, target: &TargetView, action: Action) -> Option<Order> {
        match target.part {
            Part::Both => Some(self.order(target, action)),
            Part::Old | Part::New => self
                .is_fence_missing(target)
                .then(|| self.order(target, Action::Fence)),
        }
    }

    fn load_orders(&self, mut targets: Vec<&TargetView>) -> Vec<Order> {
        targets.sort_by_key(|target| (target.load, target.name.clone()));
        let mut orders: Vec<Order> = targets
            .iter()
            .filter(|target| target.part != Part::Both || target.load == LoadState::Loaded)
            .filter(|target| self.is_fence_missing(target))
            .map(|target| self.order(target, Action::Fence))
            .collect();
        for limit in &self.plan.loads {
            let parallel = usize::try_from(limit.parallel_loads).unwrap_or(usize::MAX);
            let next = targets
                .iter()
                .filter(|target| target.data_centre == limit.data_centre)
                .filter(|target| target.part == Part::Both && target.load != LoadState::Loaded)
                .take(parallel);
            orders.extend(next.map(|target| self.order(target, Action::LoadNew)));
        }
        orders
    }

    fn is_fence_missing(&self, target: &TargetView) -> bool {
        target
            .fencing
            .is_none_or(|known| known < self.lease.fencing)
    }

    fn order(&self, target: &TargetView, action: Action) -> Order {
        Order {
            target: target.name.clone(),
            fencing: self.lease.fencing,
            action,
        }
    }
}
