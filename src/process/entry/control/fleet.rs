//! Members, and what they were told and told us.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
};

use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::{
        membership::{
            Change, Liveness, Membership, Report, Role, VOUCHED_US,
            digest::{
                Batch,
                Digest,
                Inbox,
                Outbox,
                Sums,
                entries_checksum, //
            },
            rendezvous::choose,
        },
        rpc::Contact,
    },
};

/// Entries of the data centre that each entry calls by itself, whatever their
/// names; it needs the answers to know that it is not cut off.
const CONFIRMING_PEERS: usize = 2;

#[derive(Default)]
struct Peer {
    incarnation: Incarnation,
    inbox: Inbox,
    outbox: Outbox,
    entries_checksum: u64,
}

/// What the entry knows of the fleet.
pub(super) struct Fleet {
    name: Name,
    data_centre: Name,
    pub(super) members: Membership,
    pub(super) sums: Sums,
    peers: HashMap<Name, Peer>,
    /// Targets that report here, until when this entry vouches for them.
    collected: BTreeMap<Name, u64>,
}

impl Fleet {
    pub(super) fn new(name: Name, data_centre: Name) -> Self {
        Self {
            name,
            data_centre,
            members: Membership::default(),
            sums: Sums::default(),
            peers: HashMap::new(),
            collected: BTreeMap::new(),
        }
    }

    /// Takes the report of an agent.
    pub(super) fn report(&mut self, report: Report, now_us: u64) -> Vec<Change> {
        let expires_at_us = now_us + VOUCHED_US;
        self.collected.insert(report.name.clone(), expires_at_us);
        self.members.report(report, now_us)
    }

    /// Takes a digest.
    pub(super) fn absorb(&mut self, digest: &Digest, now_us: u64) -> Vec<Change> {
        let sender = &digest.sender;
        if sender.name == self.name {
            return Vec::new();
        }
        let mut changes = self.members.report(sender.clone(), now_us);
        if sender.role != Role::Entry {
            return changes;
        }
        let peer = self.peers.entry(sender.name.clone()).or_default();
        if peer.incarnation != sender.incarnation {
            *peer = Peer {
                incarnation: sender.incarnation,
                ..Peer::default()
            };
        }
        if digest.wants_complete {
            peer.outbox.restart();
        }
        peer.entries_checksum = digest.entries_checksum;
        let inbox = &mut peer.inbox;
        changes.extend(inbox.take(&digest.batch, &mut self.members, now_us));
        self.sums.absorb(digest, now_us);
        changes
    }

    /// Makes the digest for a peer, which may not be known yet.
    pub(super) fn digest(&mut self, own: Report, peer: Option<&Report>, now_us: u64) -> Digest {
        let is_local = peer.is_some_and(|peer| peer.data_centre == self.data_centre);
        let is_entry = peer.is_some_and(|peer| peer.role == Role::Entry);
        let entries_checksum = self.entries_checksum();
        let known = peer.filter(|_| is_entry);
        let batch = known.map_or_else(Batch::default, |peer| self.batch(peer, is_local, now_us));
        let known = known.and_then(|peer| self.peers.get(&peer.name));
        let knows_others = known.is_none_or(|peer| peer.entries_checksum != entries_checksum);
        let introduced = if knows_others && (is_local || !is_entry) {
            self.contacts()
                .map(|contact| contact.control_address)
                .collect()
        } else {
            Vec::new()
        };
        let is_remote_entry = is_entry && !is_local;
        Digest {
            sender: own,
            wants_complete: known.is_none_or(|peer| peer.inbox.misses_some()),
            sums: if is_remote_entry {
                self.members.sums(&self.data_centre)
            } else {
                BTreeMap::new()
            },
            news_age_ms: None,
            entries_checksum,
            introduced,
            batch,
        }
    }

    fn batch(&mut self, peer: &Report, is_local: bool, now_us: u64) -> Batch {
        self.collected
            .retain(|_, expires_at_us| now_us < *expires_at_us);
        let Some(known) = self.peers.get_mut(&peer.name) else {
            return Batch::default();
        };
        if is_local {
            let names = self.collected.keys();
            let reports = names.filter_map(|name| self.members.get(name));
            return known.outbox.next(reports);
        }
        let entries = self.members.live(Role::Entry);
        let own = entries
            .filter(|report| report.data_centre == self.data_centre && report.name != self.name);
        known.outbox.next(own)
    }

    /// Returns the entries of the data centre that agents may report to.
    pub(super) fn contacts(&self) -> impl Iterator<Item = Contact> {
        let entries = self.members.serving(Role::Entry);
        entries
            .filter(|report| report.data_centre == self.data_centre)
            .map(|report| Contact {
                name: report.name.clone(),
                incarnation: report.incarnation,
                control_address: report.control_address,
            })
    }

    pub(super) fn entries_checksum(&self) -> u64 {
        let contacts: Vec<Contact> = self.contacts().collect();
        let each = contacts
            .iter()
            .map(|contact| (&contact.name, contact.incarnation, contact.control_address));
        entries_checksum(each)
    }

    /// Returns whether this entry is among `count` entries of its data centre
    /// that have a duty.
    pub(super) fn has_duty(&self, duty: &str, count: usize) -> bool {
        let names: Vec<Name> = self.contacts().map(|contact| contact.name).collect();
        choose(duty, names.iter(), count).contains(&self.name)
    }

    /// Returns the members to call in a round: of each pair in the data centre
    /// the one with the lower name calls, or both `at_once`; of every other
    /// data centre one entry.
    pub(super) fn to_call(&self, at_once: bool, now_us: u64) -> Vec<Report> {
        let entries: Vec<&Report> = self
            .members
            .unproven(Role::Entry, now_us)
            .filter(|report| report.name != self.name)
            .collect();
        let (local, remote): (Vec<&Report>, Vec<&Report>) = entries
            .into_iter()
            .partition(|report| report.data_centre == self.data_centre);
        let is_live = |report: &Report| self.members.liveness(&report.name) == Some(Liveness::Live);
        let live = local.iter().filter(|report| is_live(report));
        let confirming = choose(
            &self.name,
            live.map(|report| &report.name),
            CONFIRMING_PEERS,
        );
        let mut chosen: Vec<Report> = local
            .iter()
            .filter(|report| {
                at_once
                    || report.name > self.name
                    || !is_live(report)
                    || confirming.contains(&report.name)
            })
            .map(|report| (*report).clone())
            .collect();
        let mut by_data_centre: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for report in remote {
            let names = by_data_centre.entry(&report.data_centre).or_default();
            names.push(&report.name);
        }
        for names in by_data_centre.into_values() {
            let live = names
                .iter()
                .copied()
                .filter(|name| self.members.liveness(name) == Some(Liveness::Live));
            let mut called = choose(&self.name, live, 1);
            if called.is_empty() {
                called = choose(&self.name, names.into_iter(), 1);
            }
            let reports = called.iter().filter_map(|name| self.members.get(name));
            chosen.extend(reports.cloned());
        }
        if confirming.is_empty() {
            chosen.extend(self.confirming_agents());
        }
        chosen
    }

    /// Without another entry, agents confirm that the entry is not cut off.
    fn confirming_agents(&self) -> Vec<Report> {
        let targets = self.members.live(Role::Target).map(|report| &report.name);
        let names = choose(&self.name, targets, CONFIRMING_PEERS);
        let reports = names.iter().filter_map(|name| self.members.get(name));
        reports.cloned().collect()
    }

    /// Returns whether a member reports from this address.
    pub(super) fn is_member(&self, address: &SocketAddr) -> bool {
        let entries = self.members.live(Role::Entry);
        let mut members = entries.chain(self.members.live(Role::Target));
        members.any(|report| report.control_address == *address)
    }
}
