//! Targets and weight loads in virtual time.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::version::rollout::{
    order::{
        Action,
        LoadState,
        Order,
        Part,
        TargetView, //
    },
    plan::LoadEstimate, //
};

/// One load, in milliseconds, as in the deployment es-norte.
pub const LOAD_MS: u64 = 500;
const REPORT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Target {
    view: TargetView,
    loaded_at_ms: Option<u64>,
}

/// Targets of one service. Reports lag behind by up to a second.
#[derive(Clone, Debug)]
pub struct Fleet {
    targets: Vec<Target>,
    reported: Vec<TargetView>,
    most_parallel: usize,
}

impl Fleet {
    /// Makes the targets that the estimates describe.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::moves::fleet::Fleet;
    ///
    /// assert_eq!(Fleet::new(&Fleet::estimates()).len(), 12);
    /// ```
    pub fn new(loads: &[LoadEstimate]) -> Self {
        let mut targets = Vec::new();
        for load in loads {
            for number in 0..load.targets {
                let view = TargetView {
                    name: format!("{}-{number}", load.data_centre).into(),
                    data_centre: load.data_centre.clone(),
                    is_leaving: false,
                    part: Part::Both,
                    load: LoadState::Absent,
                    fencing: None,
                    running_from: 0,
                    running_to: 0,
                };
                let loaded_at_ms = None;
                targets.push(Target { view, loaded_at_ms });
            }
        }
        let reported = targets.iter().map(|target| target.view.clone()).collect();
        Self {
            targets,
            reported,
            most_parallel: 0,
        }
    }

    /// Returns the load limits of the deployment: three data centres.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::moves::fleet::Fleet;
    ///
    /// assert_eq!(Fleet::estimates().len(), 3);
    /// ```
    pub fn estimates() -> Vec<LoadEstimate> {
        ["a", "b", "c"]
            .map(|data_centre| LoadEstimate {
                data_centre: data_centre.into(),
                targets: 4,
                parallel_loads: 2,
                load_ms: LOAD_MS,
            })
            .to_vec()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Finishes loads and takes reports.
    pub fn tick(&mut self, now_ms: u64) {
        for target in &mut self.targets {
            if target.loaded_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                target.view.load = LoadState::Loaded;
                target.loaded_at_ms = None;
            }
        }
        if now_ms.is_multiple_of(REPORT_MS) {
            self.reported = self.targets.iter().map(|t| t.view.clone()).collect();
        }
    }

    /// Executes orders.
    pub fn execute(&mut self, orders: &[Order], rng: &mut ChaCha8Rng, now_ms: u64) {
        for order in orders {
            let Some(target) = self
                .targets
                .iter_mut()
                .find(|t| t.view.name == order.target)
            else {
                continue;
            };
            target.view.fencing = Some(order.fencing);
            if order.action == Action::LoadNew && target.view.load == LoadState::Absent {
                target.view.load = LoadState::Loading;
                let load_ms = LOAD_MS * rng.random_range(70..=100) / 100;
                target.loaded_at_ms = Some(now_ms + load_ms);
            }
        }
        let loading = |data_centre: &str| {
            self.targets
                .iter()
                .filter(|target| &*target.view.data_centre == data_centre)
                .filter(|target| target.view.load == LoadState::Loading)
                .count()
        };
        let most = ["a", "b", "c"].map(loading).into_iter().max().unwrap_or(0);
        self.most_parallel = self.most_parallel.max(most);
    }

    /// Returns the last reports.
    pub fn reports(&self) -> &[TargetView] {
        &self.reported
    }

    /// Returns the most loads that ran at once in a data centre.
    pub fn most_parallel(&self) -> usize {
        self.most_parallel
    }

    /// Counts a request that starts.
    pub fn start(&mut self, target: usize, is_new: bool) {
        *self.running(target, is_new) += 1;
    }

    /// Counts a request that ends.
    pub fn end(&mut self, target: usize, is_new: bool) {
        *self.running(target, is_new) -= 1;
    }

    fn running(&mut self, target: usize, is_new: bool) -> &mut u64 {
        let view = &mut self.targets[target].view;
        if is_new {
            &mut view.running_to
        } else {
            &mut view.running_from
        }
    }
}
