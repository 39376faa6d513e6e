//! Orders of the holder to the agents, and what they answer.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use futures_util::future::join_all;
use jsonrpsee::ws_client::WsClient;

use super::Control;
use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::{
        membership::Liveness,
        rpc::{
            AgentApiClient,
            OrderAction,
            OrderAnswer,
            OrderRequest, //
        },
    },
    version::{
        config::ServiceKind,
        rollout::{
            Move, Phase,
            order::{
                Action,
                LoadState,
                Part,
                TargetView, //
            },
        },
    },
};

/// A target that the holder gives orders to.
pub(super) struct Ordered {
    pub(super) name: Name,
    pub(super) data_centre: Name,
    pub(super) address: SocketAddr,
    pub(super) is_leaving: bool,
    pub(super) part: Part,
}

/// What the holder of a move knows of an agent from its answers.
#[derive(Clone)]
pub(super) struct Asked {
    /// Process that reported at the time of the answer.
    agent: Incarnation,
    answer: OrderAnswer,
}

impl Control {
    /// Sends the outstanding orders. Returns the state of the targets, and
    /// whether the version that is not in use any more is unloaded.
    pub(super) async fn order_targets(self: &Rc<Self>, current: &Move) -> (Vec<TargetView>, bool) {
        if current.phase == Phase::Planned {
            return (Vec::new(), false);
        }
        let targets = self.ordered(current);
        let answers = join_all(targets.iter().map(|target| self.ask(current, target))).await;
        let views: Vec<TargetView> = targets
            .iter()
            .zip(&answers)
            .map(|(target, answer)| view(current, target, answer.as_ref()))
            .collect();
        let unused = match current.phase {
            Phase::Done => Some(&current.from),
            Phase::TakenBack { .. } => Some(&current.to),
            _ => None,
        };
        let is_unloaded = |answer: &Option<OrderAnswer>| {
            let answer = answer.as_ref();
            answer.is_some_and(|answer| {
                unused.is_some_and(|unused| !answer.versions.contains(unused))
            })
        };
        let is_settled = current.phase.is_final()
            && targets
                .iter()
                .zip(&answers)
                .all(|(target, answer)| target.part != Part::Both || is_unloaded(answer));
        if !is_settled {
            self.send_orders(current, &targets, &views).await;
        }
        (views, is_settled)
    }

    /// Returns the state of a target: as last answered where the reports show no
    /// change since, or by raising the fencing number, which changes nothing else.
    async fn ask(&self, current: &Move, target: &Ordered) -> Option<OrderAnswer> {
        if let Some(answer) = self.reported(current, target) {
            return Some(answer);
        }
        let agent = {
            let fleet = self.fleet.borrow();
            let report = fleet.members.get(&target.name);
            report.map(|report| report.incarnation)
        };
        let answer = self.order(current, target, OrderAction::Fence).await?;
        if let Some(agent) = agent {
            let answer = answer.clone();
            let mut asked = self.moves.asked.borrow_mut();
            asked.insert(target.name.clone(), Asked { agent, answer });
        }
        Some(answer)
    }

    /// While a share is held, the steps depend on the versions of a target and
    /// on the fencing number of its agent only. Reports tell of the versions and
    /// of a restart of the agent.
    fn reported(&self, current: &Move, target: &Ordered) -> Option<OrderAnswer> {
        if !matches!(
            current.phase,
            Phase::Shifting { .. } | Phase::Settling { .. }
        ) {
            return None;
        }
        let asked = self.moves.asked.borrow();
        let asked = asked.get(&target.name)?;
        let answer = &asked.answer;
        let is_loaded = target.part == Part::Old || answer.versions.contains(&current.to);
        if answer.fencing != Some(current.lease.fencing) || !is_loaded {
            return None;
        }
        let fleet = self.fleet.borrow();
        let is_live = fleet.members.liveness(&target.name) == Some(Liveness::Live);
        let report = fleet.members.get(&target.name).filter(|_| is_live)?;
        let serves = target.part == Part::Old || report.versions.contains(&current.to);
        let is_unchanged = serves && asked.agent == report.incarnation;
        is_unchanged.then(|| answer.clone())
    }

    async fn send_orders(&self, current: &Move, targets: &[Ordered], views: &[TargetView]) {
        let orders = current.orders(views);
        let calls = orders.iter().filter_map(|order| {
            let target = targets.iter().find(|target| target.name == order.target)?;
            let action = match order.action {
                Action::Fence => return None,
                Action::LoadNew => OrderAction::Load {
                    version: current.to.clone(),
                },
                Action::UnloadNew => OrderAction::Unload {
                    version: current.to.clone(),
                },
                Action::UnloadOld => OrderAction::Unload {
                    version: current.from.clone(),
                },
            };
            Some(self.order(current, target, action))
        });
        // An order without an answer is repeated in the next round.
        join_all(calls).await;
    }

    fn ordered(&self, current: &Move) -> Vec<Ordered> {
        let config = self.context.config.load();
        let fleet = self.fleet.borrow();
        let Some(key) = config.service_by_name(&current.service) else {
            return Vec::new();
        };
        let kind = config.service(key).map(|service| service.kind);
        let targets = config.targets_of(key).iter();
        let targets = targets.filter_map(|key| config.target(*key));
        targets
            .filter(|entry| {
                let liveness = fleet.members.liveness(&entry.target.name);
                matches!(liveness, Some(Liveness::Live | Liveness::Suspect))
            })
            .map(|entry| {
                let report = fleet.members.get(&entry.target.name);
                Ordered {
                    name: entry.target.name.clone(),
                    data_centre: entry.target.data_centre.clone(),
                    address: entry.target.control_address,
                    is_leaving: report.is_some_and(|report| report.is_leaving),
                    part: match kind {
                        Some(ServiceKind::Plain) if entry.target.version == current.to => Part::New,
                        Some(ServiceKind::Plain) => Part::Old,
                        _ => Part::Both,
                    },
                }
            })
            .collect()
    }

    pub(super) async fn order(
        &self,
        current: &Move,
        target: &Ordered,
        action: OrderAction,
    ) -> Option<OrderAnswer> {
        let request = OrderRequest {
            service: current.service.clone(),
            fencing: current.lease.fencing,
            action,
        };
        let call = async |client: &WsClient| client.order(request).await;
        self.peer_connections.call(target.address, call).await.ok()
    }
}

fn view(current: &Move, target: &Ordered, answer: Option<&OrderAnswer>) -> TargetView {
    let base = TargetView {
        name: target.name.clone(),
        data_centre: target.data_centre.clone(),
        is_leaving: target.is_leaving,
        part: target.part,
        load: LoadState::Absent,
        fencing: None,
        // A target that does not answer may still run requests of both.
        running_from: 1,
        running_to: 1,
    };
    let Some(answer) = answer else {
        return base;
    };
    let running = |version| answer.running.get(version).copied().unwrap_or(0);
    TargetView {
        load: load_state(&current.to, answer),
        fencing: answer.fencing,
        running_from: running(&current.from),
        running_to: running(&current.to),
        ..base
    }
}

fn load_state(version: &Name, answer: &OrderAnswer) -> LoadState {
    if answer.versions.contains(version) {
        return LoadState::Loaded;
    }
    if answer.loading.as_ref() == Some(version) {
        return LoadState::Loading;
    }
    if answer.failed.as_ref() == Some(version) {
        return LoadState::Failed;
    }
    LoadState::Absent
}
