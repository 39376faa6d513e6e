//! Digests and reports: what this entry sends to its peers and receives.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use futures_util::future::join_all;
use slog::{
    info,
    warn, //
};

use super::{
    Control,
    fleet::Round, //
};
use crate::{
    event::Event,
    process::{
        membership::{
            Change,
            Liveness,
            REPORT_INTERVAL_US,
            Report,
            Role,
            digest::Digest,
            rendezvous::choose, //
        },
        peer,
        rpc::{
            AgentReport,
            ReportAnswer, //
        },
    },
    version::config::Config, //
};

/// Shortest time between rounds, however often the state changes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Targets of other data centres that are followed for a service without a
/// target in the own one.
const REMOTE_TARGETS: usize = 4;

impl Control {
    /// Exchanges digests every second, and at once when something changes.
    pub(super) async fn exchange(self: Rc<Self>) {
        let mut round = Round::Members;
        let mut number = 0;
        let mut regular_at_us = 0;
        loop {
            self.note_self();
            let is_last = self.context.is_leaving();
            let calls = self.call_all(round);
            if is_last && round == Round::Members {
                calls.await;
                self.context.stop.set_announced();
            } else {
                ntex::rt::spawn(calls);
            }
            if let Round::Regular(_) = round {
                regular_at_us = self.context.clock.now_us() + REPORT_INTERVAL_US;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
            let deadline = self.context.clock.instant(regular_at_us);
            let changed = self.changed();
            round = match tokio::time::timeout_at(deadline.into(), changed).await {
                Ok(round) => round,
                Err(_) => {
                    number += 1;
                    Round::Regular(number)
                }
            };
        }
    }

    async fn changed(&self) -> Round {
        tokio::select! {
            () = self.context.changed.notified() => Round::Members,
            () = self.revised.notified() => Round::Revision,
        }
    }

    fn call_all(self: &Rc<Self>, round: Round) -> impl Future<Output = ()> + 'static {
        let now_us = self.context.clock.now_us();
        let at_once = !matches!(round, Round::Regular(_));
        let members = self.fleet.borrow().to_call(round, now_us);
        let mut calls: Vec<(SocketAddr, Option<Report>)> = members
            .into_iter()
            .map(|report| (report.control_address, Some(report)))
            .collect();
        for address in self.unknown_addresses() {
            if !calls.iter().any(|(known, _)| *known == address) {
                calls.push((address, None));
            }
        }
        self.close_links();
        let control = Rc::clone(self);
        async move {
            let each = calls
                .iter()
                .map(|(address, peer)| control.call(*address, peer.as_ref(), at_once));
            join_all(each).await;
        }
    }

    /// Closes connections to processes that are no members any more.
    fn close_links(&self) {
        let fleet = self.fleet.borrow();
        self.peer_connections
            .retain(|address| fleet.is_member(address));
    }

    /// Returns addresses of processes that are no members yet, and of targets
    /// elsewhere whose state is needed here.
    fn unknown_addresses(&self) -> Vec<SocketAddr> {
        let config = self.context.config.load_full();
        let fleet = self.fleet.borrow();
        let mut contacts = self.contacts.borrow_mut();
        let own = &self.context.settings.data_centre;
        for (_, entry) in config.targets() {
            let target = &entry.target;
            let is_live = fleet.members.liveness(&target.name) == Some(Liveness::Live);
            if target.data_centre == *own && !is_live {
                contacts.introduce(target.control_address);
            }
        }
        let mut addresses = contacts.next(|address| fleet.is_member(address));
        addresses.extend(self.remote_targets(&config, &fleet));
        addresses
    }

    fn remote_targets(&self, config: &Config, fleet: &super::Fleet) -> Vec<SocketAddr> {
        let own = &self.context.settings.data_centre;
        let serving = |name: &str| {
            fleet.members.liveness(name) == Some(Liveness::Live)
                && fleet
                    .members
                    .get(name)
                    .is_some_and(|report| !report.is_leaving)
        };
        let mut addresses = Vec::new();
        for (service, _) in config.services() {
            let keys = config.targets_of(service).iter();
            let targets: Vec<_> = keys
                .filter_map(|key| config.target(*key))
                .map(|entry| &entry.target)
                .collect();
            let mut local = targets.iter().filter(|target| target.data_centre == *own);
            if local.any(|target| serving(&target.name)) {
                continue;
            }
            let names = targets.iter().map(|target| &target.name);
            let chosen = choose(&self.context.settings.name, names, REMOTE_TARGETS);
            let followed = targets
                .iter()
                .filter(|target| chosen.contains(&target.name));
            addresses.extend(followed.map(|target| target.control_address));
        }
        addresses
    }

    async fn call(&self, address: SocketAddr, peer: Option<&Report>, at_once: bool) {
        let Some(_call_guard) = self.peer_connections.try_begin_call(address) else {
            if at_once {
                self.peer_connections.request_another_call(address);
            }
            return;
        };
        self.call_once(address, peer).await;
        // The state has changed while the first call was under way.
        if self.peer_connections.take_call_request(address) {
            self.call_once(address, peer).await;
        }
    }

    async fn call_once(&self, address: SocketAddr, peer: Option<&Report>) {
        let sent_at_us = self.context.clock.now_us();
        let digest = self.digest(peer);
        let Ok(answer) = peer::exchange(&self.peer_connections, address, digest).await else {
            return;
        };
        if self.is_self(&answer.sender) {
            return;
        }
        self.absorb(&answer);
        let mut freshness = self.freshness.borrow_mut();
        freshness.hear_news(answer.api_answer_age_ms, sent_at_us);
        if !self.store.is_behind() {
            freshness.confirm(sent_at_us);
        }
        self.context.note_freshness(&freshness);
    }

    fn is_self(&self, report: &Report) -> bool {
        report.incarnation == self.context.incarnation
    }

    fn digest(&self, peer: Option<&Report>) -> Digest {
        let now_us = self.context.clock.now_us();
        let own = self.own_report();
        let mut digest = self.fleet.borrow_mut().digest(own, peer);
        digest.api_answer_age_ms = self.freshness.borrow().api_answer_age_ms(now_us);
        digest
    }

    fn absorb(&self, digest: &Digest) {
        let now_us = self.context.clock.now_us();
        let changes = self.fleet.borrow_mut().absorb(digest, now_us);
        let sender = &digest.sender;
        self.store
            .note_peer_revision(sender.revision, sender.control_address);
        let mut is_new = false;
        for address in &digest.introduced {
            let is_member = self.fleet.borrow().is_member(address);
            is_new |= !is_member && self.contacts.borrow_mut().introduce(*address);
        }
        if is_new {
            self.context.changed.notify_one();
        }
        self.note_changes(&changes);
    }

    /// Answers a digest with the own one.
    pub(super) fn take_exchange(&self, digest: &Digest) -> Digest {
        if !self.is_self(&digest.sender) {
            self.absorb(digest);
        }
        self.digest(Some(&digest.sender))
    }

    /// Takes the report of an agent.
    pub(super) fn take_report(&self, message: AgentReport) -> ReportAnswer {
        let now_us = self.context.clock.now_us();
        let report = message.report;
        self.store
            .note_peer_revision(report.revision, report.control_address);
        let changes = self
            .fleet
            .borrow_mut()
            .report(report, message.is_first, now_us);
        // Peers hear at once of targets that come and go.
        if !changes.is_empty() {
            self.context.changed.notify_one();
        }
        self.note_changes(&changes);
        let fleet = self.fleet.borrow();
        let knows_others = fleet.entries_checksum() != message.entries_checksum;
        ReportAnswer {
            revision: self.store.revision(),
            api_answer_age_ms: self.freshness.borrow().api_answer_age_ms(now_us),
            entries: knows_others.then(|| fleet.contacts().collect()),
            moves: self.moves_unknown_to(message.moves_checksum),
        }
    }

    /// Logs changes and publishes what the traffic threads need.
    pub(super) fn note_changes(&self, changes: &[Change]) {
        let log = &self.context.log;
        for change in changes {
            match change {
                Change::Joined(name) | Change::Restarted(name) => {
                    info!(log, "member joined";
                        "event" => Event::MemberJoined, "member" => %name);
                }
                Change::Leaving(name) => {
                    info!(log, "member leaves";
                        "event" => Event::MemberLeaving, "member" => %name);
                }
                Change::Suspected(name) | Change::Gone(name) => {
                    warn!(log, "member is silent";
                        "event" => Event::MemberGone, "member" => %name);
                }
            }
        }
        self.publish_views();
    }

    /// Returns whether no other entry is known.
    pub(super) fn is_alone(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet.members.live(Role::Entry).count() <= 1
    }
}
