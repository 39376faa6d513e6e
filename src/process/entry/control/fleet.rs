//! Members, and the digests exchanged with each of them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::US_PER_MS,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        membership::{
            Change,
            Liveness,
            Membership,
            REPORT_INTERVAL_US,
            Report,
            Role,
            VOUCHED_US,
            digest::{
                Batch,
                DeltaReceiver,
                DeltaSender,
                Digest,
                RemoteSums,
                entries_checksum, //
            },
            rendezvous::choose, //
        },
        rpc::EntryContact, //
    },
};

/// Agents that confirm to an entry without peers that it is not cut off.
const CONFIRMING_AGENTS: usize = 2;

/// Entries of a data centre for each second between two digests of a pair. In a
/// large data centre every pair exchanges digests less often, so that the bytes
/// sent do not grow with the number of entries; changes are sent at once.
const ENTRIES_PER_ROUND: usize = 6;

/// Digests that an entry of a large data centre sends in a second: to its parents
/// and children in the tree and to the pairs that are due.
const DIGESTS_PER_S: usize = 16;

/// Loads of targets that an entry sends in a second, in all digests together.
/// With 12 bytes each they take a fifth of the budget of a node.
const LOADS_PER_S: usize = 96;

/// Rounds after the next digest of a pair is due until it counts as missed.
const SPARE_ROUNDS: u64 = 2;

/// Why a round takes place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Round {
    /// A second has passed.
    Regular(u64),
    /// The configuration has changed.
    Revision,
    /// A member has changed, or the entry has just started.
    Members,
}

#[derive(Default)]
struct Peer {
    incarnation: Incarnation,
    inbox: DeltaReceiver,
    outbox: DeltaSender,
    entries_checksum: u64,
}

/// Key of the order in which entries take duties.
const DUTY_ORDER: &str = "duty";

/// Pairs of entries below one pair of the tree.
const PAIR_CHILDREN: usize = 4;

/// Returns the parents of an entry in a tree of pairs, with the entries that
/// watch the object API at its root. With 45 entries it has three levels below
/// the root.
fn parents(ranking: &[Name], name: &Name) -> Vec<Name> {
    let Some(rank) = ranking.iter().position(|own| own == name) else {
        return ranking.iter().take(2).cloned().collect();
    };
    let pair = rank / 2;
    let parent = pair.saturating_sub(1) / PAIR_CHILDREN;
    let both = ranking.iter().skip(parent * 2).take(2);
    both.filter(|own| *own != name).cloned().collect()
}

fn children(ranking: &[Name], name: &Name) -> Vec<Name> {
    let is_child = |other: &&Name| *other != name && parents(ranking, other).contains(name);
    ranking.iter().filter(is_child).cloned().collect()
}

/// A target that reports here.
struct Collected {
    expires_at_us: u64,
    is_first: bool,
}

/// What the entry knows of the fleet.
pub(super) struct Fleet {
    name: Name,
    data_centre: Name,
    pub(super) members: Membership,
    pub(super) sums: RemoteSums,
    peers: HashMap<Name, Peer>,
    /// Targets that report here.
    collected: BTreeMap<Name, Collected>,
}

impl Fleet {
    pub(super) fn new(name: Name, data_centre: Name) -> Self {
        Self {
            name,
            data_centre,
            members: Membership::default(),
            sums: RemoteSums::default(),
            peers: HashMap::new(),
            collected: BTreeMap::new(),
        }
    }

    /// Takes the report of an agent.
    pub(super) fn report(&mut self, report: Report, is_first: bool, now_us: u64) -> Vec<Change> {
        let collected = Collected {
            expires_at_us: now_us + VOUCHED_US,
            is_first,
        };
        self.collected.insert(report.name.clone(), collected);
        self.members.apply_report(report, now_us)
    }

    /// Takes a digest.
    pub(super) fn absorb(&mut self, digest: &Digest, now_us: u64) -> Vec<Change> {
        let sender = &digest.sender;
        if sender.name == self.name {
            return Vec::new();
        }
        let mut changes = self.members.apply_report(sender.clone(), now_us);
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
        let until_us = now_us + u64::from(digest.valid_ms) * US_PER_MS;
        let vouched = self
            .members
            .vouch(&sender.name, sender.incarnation, now_us, until_us);
        changes.extend(vouched);
        let inbox = &mut peer.inbox;
        changes.extend(inbox.apply(&digest.batch, &mut self.members, now_us, until_us));
        for name in &digest.batch.dropped {
            if !self.is_vouched(name) {
                changes.extend(self.members.suspect(name));
            }
        }
        self.sums.update(digest, now_us);
        changes
    }

    fn is_vouched(&self, name: &Name) -> bool {
        let mut peers = self.peers.values();
        self.collected.contains_key(name) || peers.any(|peer| peer.inbox.contains(name))
    }

    /// Drops the targets that have stopped reporting here; returns whether
    /// there are any.
    pub(super) fn drop_silent(&mut self, now_us: u64) -> bool {
        let before = self.collected.len();
        self.collected
            .retain(|_, collected| now_us < collected.expires_at_us);
        self.collected.len() < before
    }

    /// Returns the rounds between two digests of a pair.
    fn interval_rounds(&self) -> u64 {
        let rounds = self.contacts().count().div_ceil(ENTRIES_PER_ROUND);
        u64::try_from(rounds.max(1)).unwrap_or(u64::MAX)
    }

    fn valid_ms(&self) -> u32 {
        let valid_us = (self.interval_rounds() + SPARE_ROUNDS) * REPORT_INTERVAL_US;
        u32::try_from(valid_us / US_PER_MS).unwrap_or(u32::MAX)
    }

    /// Makes the digest for a peer, which may not be known yet.
    pub(super) fn digest(&mut self, own: Report, peer: Option<&Report>) -> Digest {
        let is_local = peer.is_some_and(|peer| peer.data_centre == self.data_centre);
        let is_entry = peer.is_some_and(|peer| peer.role == Role::Entry);
        let entries_checksum = self.entries_checksum();
        let known = peer.filter(|_| is_entry);
        let batch = known.map_or_else(Batch::default, |peer| self.batch(peer, is_local));
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
            valid_ms: self.valid_ms(),
            wants_complete: known.is_none_or(|peer| peer.inbox.has_missed_batch()),
            sums: if is_remote_entry {
                self.members.sums(&self.data_centre)
            } else {
                BTreeMap::new()
            },
            api_answer_age_ms: None,
            entries_checksum,
            introduced,
            batch,
        }
    }

    fn batch(&mut self, peer: &Report, is_local: bool) -> Batch {
        let max_loads = LOADS_PER_S / self.contacts().count().clamp(1, DIGESTS_PER_S);
        let Some(known) = self.peers.get_mut(&peer.name) else {
            return Batch::default();
        };
        if is_local {
            let each = self.collected.iter();
            let reports = each.filter_map(|(name, collected)| {
                Some((self.members.get(name)?, collected.is_first))
            });
            return known.outbox.next_batch(reports, max_loads);
        }
        let entries = self.members.live(Role::Entry);
        let own = entries
            .filter(|report| report.data_centre == self.data_centre && report.name != self.name);
        known
            .outbox
            .next_batch(own.map(|report| (report, false)), 0)
    }

    /// Returns the entries of the data centre that agents may report to.
    pub(super) fn contacts(&self) -> impl Iterator<Item = EntryContact> {
        let entries = self.members.serving(Role::Entry);
        entries
            .filter(|report| report.data_centre == self.data_centre)
            .map(|report| EntryContact {
                name: report.name.clone(),
                incarnation: report.incarnation,
                control_address: report.control_address,
            })
    }

    pub(super) fn entries_checksum(&self) -> u64 {
        let contacts: Vec<EntryContact> = self.contacts().collect();
        let each = contacts
            .iter()
            .map(|contact| (&contact.name, contact.incarnation, contact.control_address));
        entries_checksum(each)
    }

    /// Returns the entries of the data centre in the order in which they take
    /// duties. It differs only briefly between entries.
    fn ranking(&self) -> Vec<Name> {
        let names: Vec<Name> = self.contacts().map(|contact| contact.name).collect();
        choose(DUTY_ORDER, names.iter(), names.len())
    }

    /// Returns whether this entry is among the first of its data centre.
    pub(super) fn has_duty(&self, count: usize) -> bool {
        let ranking = self.ranking();
        let first = ranking.iter().take(count);
        first.into_iter().any(|name| *name == self.name)
    }

    /// Returns the members to call in a round.
    ///
    /// In the data centre, every entry calls its parents each second, and of
    /// each pair the one with the lower name calls in the rounds of the pair; of
    /// every other data centre one entry is called.
    pub(super) fn to_call(&self, round: Round, now_us: u64) -> Vec<Report> {
        let (local, remote): (Vec<&Report>, Vec<&Report>) = self
            .members
            .possibly_running(Role::Entry, now_us)
            .filter(|report| report.name != self.name)
            .partition(|report| report.data_centre == self.data_centre);
        let ranking = self.ranking();
        let tree = match round {
            Round::Revision => children(&ranking, &self.name),
            _ => parents(&ranking, &self.name),
        };
        let is_called = |report: &Report| match round {
            Round::Members => true,
            Round::Revision => tree.contains(&report.name),
            Round::Regular(number) => tree.contains(&report.name) || self.is_due(report, number),
        };
        let mut called: Vec<Report> = local
            .into_iter()
            .filter(|report| is_called(report))
            .cloned()
            .collect();
        let is_alone = ranking.iter().all(|name| *name == self.name);
        called.extend(self.remote_entries(&remote, round));
        if is_alone {
            called.extend(self.confirming_agents());
        }
        called
    }

    /// Returns whether this entry calls another one in a regular round. A member
    /// that may have resumed after a pause is called from both sides.
    fn is_due(&self, report: &Report, round: u64) -> bool {
        let is_live = self.members.liveness(&report.name) == Some(Liveness::Live);
        let phase = xxh3_64(report.name.as_bytes());
        let is_in_phase = phase
            .wrapping_add(round)
            .is_multiple_of(self.interval_rounds());
        is_in_phase && (report.name > self.name || !is_live)
    }

    fn remote_entries(&self, remote: &[&Report], round: Round) -> Vec<Report> {
        let is_round = match round {
            Round::Regular(number) => number.is_multiple_of(self.interval_rounds()),
            Round::Revision => false,
            Round::Members => true,
        };
        // Watching entries tell other data centres of a new revision at once.
        if !is_round && !self.has_duty(1) {
            return Vec::new();
        }
        let mut by_data_centre: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for report in remote {
            let names = by_data_centre.entry(&report.data_centre).or_default();
            names.push(&report.name);
        }
        let is_live = |name: &&Name| self.members.liveness(name) == Some(Liveness::Live);
        let chosen = by_data_centre.into_values().flat_map(|names| {
            let called = choose(&self.name, names.iter().copied().filter(is_live), 1);
            if called.is_empty() {
                return choose(&self.name, names.into_iter(), 1);
            }
            called
        });
        chosen
            .filter_map(|name| self.members.get(&name).cloned())
            .collect()
    }

    /// Without another entry, agents confirm that the entry is not cut off.
    fn confirming_agents(&self) -> Vec<Report> {
        let targets = self.members.live(Role::Target).map(|report| &report.name);
        let names = choose(&self.name, targets, CONFIRMING_AGENTS);
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
