//! Differences between the members that one process vouches for and those that it
//! has sent to another, and what a receiver makes of them.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Batch,
    Load,
    name_hash, //
};
use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::membership::{
        Change,
        Membership,
        Report, //
    },
};

/// Returns a checksum of the fields for which a report is sent again.
fn checksum_of(report: &Report) -> u64 {
    let identity = Report {
        sequence: 0,
        revision: 0,
        running: 0,
        queued: 0,
        queue_us: 0,
        ..report.clone()
    };
    // A report has no types that fail to serialise.
    xxh3_64(&postcard::to_stdvec(&identity).unwrap_or_default())
}

/// What a receiver has of one member.
#[derive(Clone, Copy, Debug)]
struct Sent {
    checksum: u64,
    load_steps: [u64; 3],
}

/// What was sent to one receiver.
#[derive(Clone, Debug, Default)]
pub struct DeltaSender {
    sent: BTreeMap<Name, Sent>,
    is_started: bool,
}

impl DeltaSender {
    /// Makes the next batch from the members and whether their load is sent; one
    /// of the two collectors of a target is enough for that. At most `max_loads`
    /// loads are sent, those that changed most; the others follow later.
    pub fn next_batch<'a>(
        &mut self,
        members: impl Iterator<Item = (&'a Report, bool)>,
        max_loads: usize,
    ) -> Batch {
        let mut batch = Batch {
            is_complete: !self.is_started,
            ..Batch::default()
        };
        let mut present = BTreeSet::new();
        let mut moved = Vec::new();
        let mut revisions = Vec::new();
        for (report, sends_load) in members {
            let checksum = checksum_of(report);
            batch.checksum ^= checksum;
            present.insert(report.name.clone());
            revisions.push((name_hash(&report.name), report.revision));
            let load = Load::of(report);
            match self.sent.get(&report.name) {
                Some(sent) if sent.checksum == checksum => {
                    let change = load.distance(&sent.load_steps);
                    if sends_load && change > 0 {
                        moved.push((change, report.name.clone(), load));
                    }
                }
                _ => {
                    let sent = Sent {
                        checksum,
                        load_steps: load.steps(),
                    };
                    self.sent.insert(report.name.clone(), sent);
                    batch.changed.push(report.clone());
                }
            }
        }
        moved.sort_by_key(|(change, ..)| Reverse(*change));
        for (_, name, load) in moved.into_iter().take(max_loads) {
            if let Some(sent) = self.sent.get_mut(&name) {
                sent.load_steps = load.steps();
            }
            batch.loads.push(load);
        }
        batch.set_revisions(&revisions);
        self.sent.retain(|name, _| {
            let is_present = present.contains(name);
            if !is_present {
                batch.dropped.push(name.clone());
            }
            is_present
        });
        self.is_started = true;
        batch
    }

    /// Makes the next batch complete, because the receiver missed one.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

/// What one sender vouches for.
#[derive(Clone, Debug, Default)]
pub struct DeltaReceiver {
    held: BTreeMap<Name, (Incarnation, u64)>,
    has_missed_batch: bool,
}

impl DeltaReceiver {
    /// Takes a batch and updates the members.
    ///
    /// ```
    /// use yuccalatch::process::membership::{
    ///     Membership,
    ///     digest::{DeltaReceiver, DeltaSender},
    /// };
    ///
    /// let batch = DeltaSender::default().next_batch(std::iter::empty(), 0);
    /// let mut inbox = DeltaReceiver::default();
    /// inbox.apply(&batch, &mut Membership::default(), 0, 3_000_000);
    /// assert!(!inbox.has_missed_batch());
    /// ```
    pub fn apply(
        &mut self,
        batch: &Batch,
        members: &mut Membership,
        now_us: u64,
        until_us: u64,
    ) -> Vec<Change> {
        if batch.is_complete {
            self.held.clear();
        }
        for name in &batch.dropped {
            self.held.remove(name);
        }
        let mut changes = Vec::new();
        for report in &batch.changed {
            let held = (report.incarnation, checksum_of(report));
            self.held.insert(report.name.clone(), held);
            changes.extend(members.apply_report(report.clone(), now_us));
        }
        let checksum = self.held.values().fold(0, |sum, (_, own)| sum ^ own);
        self.has_missed_batch = checksum != batch.checksum;
        if self.has_missed_batch {
            return changes;
        }
        for (name, (incarnation, _)) in &self.held {
            changes.extend(members.vouch(name, *incarnation, now_us, until_us));
        }
        self.take_loads(&batch.loads, members);
        self.take_revisions(batch, members);
        changes
    }

    fn take_loads(&self, loads: &[Load], members: &mut Membership) {
        if loads.is_empty() {
            return;
        }
        let by_hash: HashMap<u32, &Name> = self
            .held
            .keys()
            .map(|name| (name_hash(name), name))
            .collect();
        for load in loads {
            let name = by_hash.get(&load.name_hash);
            if let Some((name, (incarnation, _))) =
                name.and_then(|name| self.held.get_key_value(*name))
            {
                members.set_load(name, *incarnation, load);
            }
        }
    }

    fn take_revisions(&self, batch: &Batch, members: &mut Membership) {
        for (name, (incarnation, _)) in &self.held {
            let hash = name_hash(name);
            let mut behind = batch.behind.iter();
            let older = behind.find(|member| member.name_hash == hash);
            let revision = older.map_or(batch.revision, |member| member.revision);
            members.raise_revision(name, *incarnation, revision);
        }
    }

    /// Returns whether the sender vouches for a member.
    pub fn contains(&self, name: &str) -> bool {
        self.held.contains_key(name)
    }

    /// Returns whether a batch was lost.
    pub const fn has_missed_batch(&self) -> bool {
        self.has_missed_batch
    }
}
