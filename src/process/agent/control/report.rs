//! Reports to the collectors, and the configuration that they have.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::atomic::Ordering,
    time::Duration, //
};

use futures_util::future::join_all;
use jsonrpsee::ws_client::WsClient;
use slog::info;

use super::Control;
use crate::{
    clock::US_PER_S,
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        membership::{
            REPORT_INTERVAL_US, Report, Role, SUSPECT_AFTER_US,
            digest::{
                Batch,
                Digest,
                entries_checksum, //
            },
            rendezvous::{
                COLLECTORS_PER_AGENT,
                choose, //
            },
        },
        peer,
        platform::{
            InstanceRole,
            Platform, //
        },
        rpc::{
            AgentReport,
            EntryApiClient,
            EntryContact,
            Packed,
            ReportAnswer, //
        },
    },
};

/// Bound for reading the platform's list.
const LIST_WITHIN_US: u64 = 2 * US_PER_S;

/// Shortest time between reports, however often the state changes.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Entries that the agent knows.
#[derive(Debug, Default)]
pub(super) struct Entries {
    known: BTreeMap<Name, EntryContact>,
    /// Entries that did not answer, and when they are tried again.
    silent_until_us: BTreeMap<Name, u64>,
}

impl Entries {
    fn checksum(&self) -> u64 {
        let each = self.known.values();
        entries_checksum(
            each.map(|contact| (&contact.name, contact.incarnation, contact.control_address)),
        )
    }

    fn replace(&mut self, contacts: Vec<EntryContact>) {
        let each = contacts.into_iter();
        self.known = each
            .map(|contact| (contact.name.clone(), contact))
            .collect();
    }

    fn add(&mut self, contact: EntryContact) -> bool {
        self.silent_until_us.remove(&contact.name);
        let known = self.known.insert(contact.name.clone(), contact.clone());
        known != Some(contact)
    }

    /// Returns the collectors: the best two that answer, or the best two.
    fn collectors(&self, agent: &str, now_us: u64) -> Vec<EntryContact> {
        let is_silent = |name: &Name| {
            let until_us = self.silent_until_us.get(name);
            until_us.is_some_and(|until_us| now_us < *until_us)
        };
        let answering = self.known.keys().filter(|name| !is_silent(name));
        let mut chosen = choose(agent, answering, COLLECTORS_PER_AGENT);
        if chosen.is_empty() {
            chosen = choose(agent, self.known.keys(), COLLECTORS_PER_AGENT);
        }
        let contacts = chosen.iter().filter_map(|name| self.known.get(name));
        contacts.cloned().collect()
    }
}

impl Control {
    /// Reports every second, and at once when the agent begins to stop.
    pub(super) async fn report(self: Rc<Self>) {
        loop {
            let is_last = self.context.is_leaving();
            let round = Rc::clone(&self).report_all();
            if is_last {
                round.await;
                self.context.stop.set_announced();
            } else {
                ntex::rt::spawn(round);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
            let pause = Duration::from_micros(REPORT_INTERVAL_US);
            // Either way it is time for a report.
            let _ = tokio::time::timeout(pause, self.context.changed.notified()).await;
        }
    }

    async fn report_all(self: Rc<Self>) {
        let now_us = self.context.clock.now_us();
        let name = &self.context.settings.name;
        let collectors = self.entries.borrow().collectors(name, now_us);
        let reports = collectors
            .iter()
            .enumerate()
            .map(|(position, contact)| self.report_to(contact, position == 0));
        join_all(reports).await;
        if collectors.is_empty() {
            let seeds = self.context.settings.peers.iter();
            join_all(seeds.map(|address| self.introduce(*address))).await;
        }
    }

    async fn report_to(&self, contact: &EntryContact, is_first: bool) {
        let address = contact.control_address;
        let Some(_call_guard) = self.peer_connections.try_begin_call(address) else {
            self.peer_connections.request_another_call(address);
            return;
        };
        self.report_once(contact, is_first).await;
        // The state has changed while the first report was under way.
        if self.peer_connections.take_call_request(address) {
            self.report_once(contact, is_first).await;
        }
    }

    async fn report_once(&self, contact: &EntryContact, is_first: bool) {
        let address = contact.control_address;
        let sent_at_us = self.context.clock.now_us();
        let message = AgentReport {
            report: self.own_report(),
            is_first,
            entries_checksum: self.entries.borrow().checksum(),
            api_answer_age_ms: self.freshness.borrow().api_answer_age_ms(sent_at_us),
            moves_checksum: self.moves.borrow().checksum(),
        };
        let call = async |client: &WsClient| client.report(Packed(message)).await;
        let Ok(Packed(answer)) = self.peer_connections.call(address, call).await else {
            let until_us = self.context.clock.now_us() + SUSPECT_AFTER_US;
            let silent = &mut self.entries.borrow_mut().silent_until_us;
            let is_first = silent.insert(contact.name.clone(), until_us).is_none();
            if is_first {
                // The next collector gets a report at once.
                self.context.changed.notify_one();
            }
            return;
        };
        self.entries
            .borrow_mut()
            .silent_until_us
            .remove(&contact.name);
        self.take_answer(answer, address, sent_at_us);
    }

    fn take_answer(&self, answer: ReportAnswer, address: SocketAddr, sent_at_us: u64) {
        self.store.note_peer_revision(answer.revision, address);
        let mut freshness = self.freshness.borrow_mut();
        freshness.hear_news(answer.api_answer_age_ms, sent_at_us);
        self.context.note_freshness(&freshness);
        if let Some(contacts) = answer.entries
            && !contacts.is_empty()
        {
            self.entries.borrow_mut().replace(contacts);
        }
        let changed = answer
            .moves
            .map(|moves| self.moves.borrow_mut().absorb(moves))
            .unwrap_or_default();
        for known in changed {
            let current = known.current;
            info!(self.context.log, "move learned"; "event" => Event::MoveChanged,
                "service" => %current.service, "ticket" => current.ticket,
                "step" => current.step);
        }
    }

    /// Tells a process of this agent and asks it for entries.
    async fn introduce(&self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        let Some(_call_guard) = self.peer_connections.try_begin_call(address) else {
            return;
        };
        if let Ok(answer) = peer::exchange(&self.peer_connections, address, self.own_digest()).await
        {
            self.absorb(&answer);
        }
    }

    /// Looks for entries on the platform's list while none is known.
    pub(super) async fn find_entries(self: Rc<Self>) {
        let address = self.context.settings.platform_address;
        let Ok(platform) = Platform::new(address, self.context.clock).await else {
            return;
        };
        loop {
            if self.entries.borrow().known.is_empty() {
                let deadline_us = self.context.clock.now_us() + LIST_WITHIN_US;
                // The entries of a restarted fleet also contact the agents.
                let list = platform.instances(deadline_us).await.unwrap_or_default();
                let own = &self.context.settings.data_centre;
                let entries = list.iter().filter(|record| {
                    record.role == InstanceRole::Entry && record.data_centre == *own
                });
                join_all(entries.map(|record| self.introduce(record.control_address))).await;
            }
            tokio::time::sleep(Duration::from_micros(LIST_WITHIN_US)).await;
        }
    }

    /// Answers the digest of a peer.
    pub(super) fn take_exchange(&self, digest: &Digest) -> Digest {
        self.absorb(digest);
        let mut answer = self.own_digest();
        let entries = self.entries.borrow();
        let addresses = entries
            .known
            .values()
            .map(|contact| contact.control_address);
        let others: BTreeSet<SocketAddr> = addresses
            .filter(|address| *address != digest.sender.control_address)
            .collect();
        if digest.entries_checksum != entries.checksum() {
            answer.introduced = others.into_iter().collect();
        }
        answer
    }

    fn absorb(&self, digest: &Digest) {
        let sender = &digest.sender;
        self.store
            .note_peer_revision(sender.revision, sender.control_address);
        let is_local = sender.data_centre == self.context.settings.data_centre;
        if sender.role != Role::Entry || !is_local || sender.is_leaving {
            return;
        }
        let is_new = self.entries.borrow_mut().add(EntryContact {
            name: sender.name.clone(),
            incarnation: sender.incarnation,
            control_address: sender.control_address,
        });
        if is_new {
            self.context.changed.notify_one();
        }
    }

    fn own_digest(&self) -> Digest {
        let now_us = self.context.clock.now_us();
        Digest {
            sender: self.own_report(),
            batch: Batch::default(),
            valid_ms: 0,
            wants_complete: false,
            sums: BTreeMap::new(),
            api_answer_age_ms: self.freshness.borrow().api_answer_age_ms(now_us),
            entries_checksum: self.entries.borrow().checksum(),
            introduced: Vec::new(),
        }
    }

    fn own_report(&self) -> Report {
        let context = &self.context;
        let queued = context.load.queued.load(Ordering::Relaxed);
        let running = context.load.running.load(Ordering::Relaxed);
        let versions = context.versions();
        self.sequence.set(self.sequence.get() + 1);
        Report {
            name: context.settings.name.clone(),
            role: Role::Target,
            data_centre: context.settings.data_centre.clone(),
            service: self.service(),
            control_address: self.address,
            incarnation: context.incarnation,
            sequence: self.sequence.get(),
            is_leaving: context.is_leaving(),
            revision: self.store.revision(),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            queue_us: context.expected_wait_us(queued),
            engine: self.engine(),
            versions: versions.iter().map(|name| name.as_str().into()).collect(),
        }
    }

    fn engine(&self) -> Incarnation {
        self.context.engine()
    }

    /// Returns the service that the configuration states for the target.
    fn service(&self) -> Name {
        let config = self.config.borrow();
        let target = config.target_by_name(&self.context.settings.name);
        let entry = target.and_then(|key| config.target(key));
        entry.map_or_else(|| "".into(), |entry| entry.target.service.clone())
    }
}
