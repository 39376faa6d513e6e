//! Version moves at an entry: what is applied here, evidence and cuts.
//!
//! The entries with the duty read the move objects, and one of them holds the
//! lease of each move. All others learn from the holder, which also collects
//! their acknowledgements and evidence.

mod holder;
mod learn;
mod restore;
mod targets;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jsonrpsee::ws_client::WsClient;
use slog::warn;
use tokio::sync::Notify;

use self::{
    holder::Tenure,
    targets::Asked, //
};
use super::Control;
use crate::{
    clock::US_PER_MS,
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    operator::status::MoveStatus,
    process::{
        entry::moves::{
            LiveMove,
            MoveSample, //
        },
        membership::Role,
        rpc::{
            EntryApiClient,
            MoveAnswer,
            MoveReport, //
        },
    },
    version::{
        config,
        evidence::{
            Evidence,
            pool::Pool, //
        },
        rollout::{
            Move,
            cut::{
                Cut,
                LocalMove, //
            },
            step::Observation, //
        },
    },
};

/// Interval between rounds of the holder and reports to it.
const ROUND: Duration = Duration::from_millis(500);

/// Shortest time between reports after answers against the new version.
const URGENT: Duration = Duration::from_millis(100);

/// Moves of the configuration with their tickets.
type WantedMoves = Rc<Vec<(u64, config::Move)>>;

/// Move of one service.
struct State {
    live: Arc<LiveMove>,
    evidence: Evidence,
    pool: Pool,
    /// Last report of every entry.
    reports: BTreeMap<Incarnation, MoveReport>,
    tenure: Tenure,
}

/// Moves of all services, as this entry knows them.
#[derive(Default)]
pub(super) struct Moves {
    states: RefCell<BTreeMap<Name, State>>,
    /// Told when an answer speaks against a new version.
    urgent: Notify,
    /// Whether the moves were read, or learned from a peer.
    is_known: Cell<bool>,
    /// Targets whose last load after a move failed.
    failed_loads: RefCell<BTreeSet<Name>>,
    /// Last answers of the agents to the holder.
    asked: RefCell<BTreeMap<Name, Asked>>,
    read_at_us: Cell<u64>,
    /// Moves of the configuration, with its revision.
    wanted: RefCell<(u64, WantedMoves)>,
}

impl Control {
    /// Runs the rounds of all moves.
    pub(super) async fn follow_moves(self: Rc<Self>) {
        let Some(platform) = self.platform().await else {
            return;
        };
        loop {
            self.hold_moves(&platform).await;
            self.restore_versions().await;
            let deadline = tokio::time::Instant::now() + ROUND;
            self.report_moves().await;
            loop {
                let urgent = self.moves.urgent.notified();
                if tokio::time::timeout_at(deadline, urgent).await.is_err() {
                    break;
                }
                self.report_moves().await;
                tokio::time::sleep(URGENT).await;
            }
        }
    }

    /// Applies a value of a move object.
    fn apply_move(&self, stored: Move) {
        let service = stored.service.clone();
        let mut states = self.moves.states.borrow_mut();
        if let Some(state) = states.get_mut(&service) {
            let mut local = state.live.lock();
            if local.current().ticket >= stored.ticket {
                let before = local.step();
                // An older value is ignored.
                local.apply(stored);
                if local.step() != before {
                    state.pool.evidence().mark();
                }
                return;
            }
        }
        let (rank, entries) = self.rank();
        let state = State {
            live: Arc::new(LiveMove::new(LocalMove::new(stored, rank, entries))),
            evidence: Evidence::default(),
            pool: Pool::default(),
            reports: BTreeMap::new(),
            tenure: Tenure::default(),
        };
        states.insert(service, state);
        let live = states
            .iter()
            .map(|(service, state)| (service.clone(), Arc::clone(&state.live)))
            .collect();
        self.context.moves.store(Arc::new(live));
    }

    /// Returns the position of this entry among the serving ones.
    fn rank(&self) -> (usize, usize) {
        let fleet = self.fleet.borrow();
        let mut names: Vec<&Name> = fleet
            .members
            .serving(Role::Entry)
            .map(|report| &report.name)
            .collect();
        names.sort();
        let own = &self.context.settings.name;
        let rank = names.iter().position(|name| *name == own);
        (rank.unwrap_or(0), names.len())
    }

    /// Counts one answer.
    pub(super) fn take_sample(&self, sample: &MoveSample) {
        let now_us = self.evidence_now_us();
        let mut states = self.moves.states.borrow_mut();
        let Some(state) = states.get_mut(&sample.service) else {
            return;
        };
        if state.live.lock().current().ticket != sample.ticket {
            return;
        }
        let route = state.evidence.route(&sample.route);
        if route.record(sample.side, sample.sample, now_us) {
            self.moves.urgent.notify_one();
        }
    }

    /// Judges the evidence and reports to the holders.
    async fn report_moves(self: &Rc<Self>) {
        let services: Vec<Name> = self.moves.states.borrow().keys().cloned().collect();
        for service in services {
            let Some((holder, report)) = self.own_move_report(&service) else {
                continue;
            };
            self.note_move_report(&report);
            if holder == Some(self.context.incarnation) {
                continue;
            }
            if let Some(holder) = holder {
                self.report_move(holder, report).await;
            }
        }
    }

    async fn report_move(self: &Rc<Self>, holder: Incarnation, report: MoveReport) {
        let address = {
            let fleet = self.fleet.borrow();
            let mut entries = fleet.members.live(Role::Entry);
            let holder = entries.find(|entry| entry.incarnation == holder);
            holder.map(|entry| entry.control_address)
        };
        let Some(address) = address else {
            return;
        };
        let call = async |client: &WsClient| client.move_report(report).await;
        let Ok(answer) = self.peer_connections.call(address, call).await else {
            return;
        };
        if let Some(current) = answer.current {
            self.apply_move(current);
        }
        if let Some(cut) = answer.cut {
            self.take_cut(&cut);
        }
    }

    /// Evidence is counted in wall-clock time, because the blocks of all entries
    /// are compared with each other.
    fn evidence_now_us(&self) -> u64 {
        self.context.clock.unix_ms() * US_PER_MS
    }

    fn own_move_report(&self, service: &Name) -> Option<(Option<Incarnation>, MoveReport)> {
        let states = self.moves.states.borrow();
        let state = states.get(service)?;
        // The step is read with the counts, so that no request by a former
        // step starts after its acknowledgement.
        let local = state.live.lock();
        let current = local.current();
        if current.phase.is_final() {
            return None;
        }
        let running = &self.context.running_versions;
        let report = MoveReport {
            service: service.clone(),
            ticket: current.ticket,
            entry: self.context.incarnation,
            step: local.step(),
            running_from: running.of(service, &current.from),
            running_to: running.of(service, &current.to),
            evidence: state.evidence.message(self.evidence_now_us()),
            cut: local.cut().cloned(),
        };
        Some((current.lease.holder, report))
    }

    /// Answers the report of an entry.
    pub(super) fn take_move_report(self: &Rc<Self>, report: &MoveReport) -> MoveAnswer {
        self.note_move_report(report);
        let states = self.moves.states.borrow();
        states
            .get(&report.service)
            .map_or_else(MoveAnswer::default, |state| {
                let local = state.live.lock();
                MoveAnswer {
                    current: Some(local.current().clone()),
                    cut: local.cut().cloned(),
                }
            })
    }

    /// Adds a report to what is known, and cuts the version on strong evidence.
    fn note_move_report(self: &Rc<Self>, report: &MoveReport) {
        let now_us = self.evidence_now_us();
        let own = self.context.incarnation;
        let cut = {
            let mut states = self.moves.states.borrow_mut();
            let Some(state) = states.get_mut(&report.service) else {
                return;
            };
            let mut local = state.live.lock();
            if local.current().ticket != report.ticket {
                return;
            }
            state.pool.absorb(report.entry, &report.evidence);
            state.reports.insert(report.entry, report.clone());
            let is_serving = local.current().share_permille() > 0;
            is_serving
                .then(|| local.judge(state.pool.evidence(), own, now_us))
                .flatten()
        };
        if let Some(cut) = cut {
            self.tell_cut(&cut);
        }
        if let Some(cut) = &report.cut {
            self.take_cut(cut);
        }
    }

    /// Applies the cut of a peer and passes it on when it is new.
    pub(super) fn take_cut(self: &Rc<Self>, cut: &Cut) {
        let is_new = {
            let states = self.moves.states.borrow();
            let state = states.get(&cut.service);
            state.is_some_and(|state| state.live.lock().receive(cut))
        };
        if is_new {
            self.tell_cut(cut);
        }
    }

    fn tell_cut(self: &Rc<Self>, cut: &Cut) {
        warn!(self.context.log, "version cut from traffic";
            "event" => Event::VersionCut, "service" => %cut.service,
            "ticket" => cut.ticket, "evidence" => ?cut.reason);
        let fleet = self.fleet.borrow();
        for entry in fleet.members.live(Role::Entry) {
            if entry.incarnation == self.context.incarnation {
                continue;
            }
            let control = Rc::clone(self);
            let (address, cut) = (entry.control_address, cut.clone());
            ntex::rt::spawn(async move {
                // An entry that misses the notice hears it from the holder.
                let call = async |client: &WsClient| client.cut(cut).await;
                let _ = control.peer_connections.call(address, call).await;
            });
        }
    }

    /// Returns the moves for operators.
    pub(super) fn move_statuses(&self) -> Vec<MoveStatus> {
        let states = self.moves.states.borrow();
        let wanted = self.wanted_moves();
        let mut statuses = Vec::new();
        for (ticket, row) in wanted.iter() {
            let state = states.get(&row.service);
            let state = state.filter(|state| state.live.lock().current().ticket == *ticket);
            let status = MoveStatus {
                name: row.name.clone(),
                service: row.service.clone(),
                from: row.from.clone(),
                to: row.to.clone(),
                state: "accepted".to_owned(),
                share_permille: 0,
                finish_by_unix_ms: row.finish_by_unix_ms,
                reason: String::new(),
            };
            statuses.push(match state {
                Some(state) => stored_status(status, &state.live.lock()),
                None => status,
            });
        }
        statuses
    }
}

/// "Done" and "taken back" come from the stored object only.
fn stored_status(base: MoveStatus, local: &LocalMove) -> MoveStatus {
    let status = local.current().status(&Observation::default());
    let state = serde_json::to_value(status.state).unwrap_or_default();
    let state = state.as_str().unwrap_or_default().to_owned();
    let cut = local.cut().map(|cut| cut.reason.clone());
    let reason = status.reason.or(cut);
    MoveStatus {
        state,
        share_permille: local.share_permille().into(),
        reason: reason.map_or_else(String::new, |reason| format!("{reason:?}")),
        ..base
    }
}
