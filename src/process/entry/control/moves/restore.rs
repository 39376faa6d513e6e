//! Orders after the end of a move, for engines that have restarted.

use std::rc::Rc;

use futures_util::future::join_all;
use slog::info;

use super::{
    Control,
    targets::Ordered, //
};
use crate::{
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        membership::Liveness,
        rpc::OrderAction, //
    },
    version::{
        config::ServiceKind,
        rollout::{
            Move,
            order::Part,
            restore::{
                Correction,
                SettledView, //
            },
        },
    },
};

impl Control {
    /// Restores the state after finished moves on the targets that report
    /// another one. The first entry of each data centre does so, without a lease:
    /// the orders have the number of the finished move and may be repeated.
    pub(super) async fn restore_versions(self: &Rc<Self>) {
        if self.context.is_leaving() || !self.fleet.borrow().has_duty(1) {
            return;
        }
        for current in self.settled_moves() {
            let targets = self.settled_targets(&current);
            let views: Vec<SettledView> = targets.iter().map(|(_, view)| view.clone()).collect();
            let corrections = current.corrections(&views);
            let calls = corrections.iter().filter_map(|(name, correction)| {
                let target = targets.iter().find(|(target, _)| target.name == *name)?;
                Some(self.correct(&current, &target.0, correction))
            });
            join_all(calls).await;
        }
    }

    fn settled_moves(&self) -> Vec<Move> {
        let states = self.moves.states.borrow();
        let moves = states.values().map(|state| state.live.lock());
        moves
            .filter(|local| local.current().settled_version().is_some())
            .map(|local| local.current().clone())
            .collect()
    }

    async fn correct(&self, current: &Move, target: &Ordered, correction: &Correction) {
        info!(self.context.log, "versions of a target restored";
            "event" => Event::VersionsRestored, "service" => %current.service,
            "target" => %target.name, "order" => ?correction);
        let action = match correction.clone() {
            Correction::Load(version) => OrderAction::Load { version },
            Correction::Unload(version) => OrderAction::Unload { version },
        };
        let Some(answer) = self.order(current, target, action).await else {
            return;
        };
        let is_failed = answer.failed.as_ref() == current.settled_version();
        let mut failed = self.moves.failed_loads.borrow_mut();
        if is_failed {
            failed.insert(target.name.clone());
        } else {
            failed.remove(&target.name);
        }
    }

    /// Returns the engines of the service that report, with what they serve.
    fn settled_targets(&self, current: &Move) -> Vec<(Ordered, SettledView)> {
        let config = self.context.config.load();
        let fleet = self.fleet.borrow();
        let failed = self.moves.failed_loads.borrow();
        let service = config.service_by_name(&current.service);
        let Some(key) = service.filter(|key| {
            config
                .service(*key)
                .is_some_and(|service| service.kind == ServiceKind::Model)
        }) else {
            return Vec::new();
        };
        let is_of_service = |name: &&Name| {
            let version = config.version_by_name(name);
            let version = version.and_then(|version| config.version(version));
            version.is_some_and(|version| version.service == current.service)
        };
        let targets = config.targets_of(key).iter();
        let targets = targets.filter_map(|key| config.target(*key));
        targets
            .filter_map(|entry| {
                let target = &entry.target;
                let report = fleet.members.get(&target.name)?;
                let is_live = fleet.members.liveness(&target.name) == Some(Liveness::Live);
                // An agent that has not seen its engine yet knows no versions.
                let is_seen = report.engine != Incarnation::default();
                if !is_live || !is_seen || report.is_leaving {
                    return None;
                }
                let ordered = Ordered {
                    name: target.name.clone(),
                    data_centre: target.data_centre.clone(),
                    address: target.control_address,
                    is_leaving: false,
                    part: Part::Both,
                };
                let view = SettledView {
                    name: target.name.clone(),
                    data_centre: target.data_centre.clone(),
                    versions: report
                        .versions
                        .iter()
                        .filter(is_of_service)
                        .cloned()
                        .collect(),
                    is_failed: failed.contains(&target.name),
                };
                Some((ordered, view))
            })
            .collect()
    }
}
