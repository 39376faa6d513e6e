//! Incremental batches: the sender sends only members that have changed since its
//! last batch, and the receiver applies them.

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
    LoadUpdate,
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
fn report_checksum(report: &Report) -> u64 {
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

/// State of one member as it was last sent to a receiver.
#[derive(Clone, Copy, Debug)]
struct SentMember {
    checksum: u64,
    load_steps: [u64; 3],
}

/// Makes the batches for one receiver from what was sent to it before.
#[derive(Clone, Debug, Default)]
pub struct DeltaSender {
    sent: BTreeMap<Name, SentMember>,
    is_started: bool,
}

impl DeltaSender {
    /// Returns the next batch. The flag of each member says whether its load is
    /// sent, because only one of the two collectors of a target needs to send it. At most
    /// `max_loads` loads are sent, those that changed most; the others follow later.
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
        let mut changed_loads = Vec::new();
        let mut revisions = Vec::new();
        for (report, sends_load) in members {
            let checksum = report_checksum(report);
            batch.checksum ^= checksum;
            present.insert(report.name.clone());
            revisions.push((name_hash(&report.name), report.revision));
            let load = LoadUpdate::of(report);
            match self.sent.get(&report.name) {
                Some(sent) if sent.checksum == checksum => {
                    let change = load.steps_changed(&sent.load_steps);
                    if sends_load && change > 0 {
                        changed_loads.push((change, report.name.clone(), load));
                    }
                }
                _ => {
                    let sent = SentMember {
                        checksum,
                        load_steps: load.steps(),
                    };
                    self.sent.insert(report.name.clone(), sent);
                    batch.changed.push(report.clone());
                }
            }
        }
        changed_loads.sort_by_key(|(change, ..)| Reverse(*change));
        for (_, name, load) in changed_loads.into_iter().take(max_loads) {
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

/// Applies the batches of one sender and stores the members it vouches for.
#[derive(Clone, Debug, Default)]
pub struct DeltaReceiver {
    vouched: BTreeMap<Name, (Incarnation, u64)>,
    has_missed_batch: bool,
}

impl DeltaReceiver {
    /// Applies a batch and updates the members.
    ///
    /// ```
    /// use yuccalatch::process::membership::{
    ///     Membership,
    ///     digest::{DeltaReceiver, DeltaSender},
    /// };
    ///
    /// let batch = DeltaSender::default().next_batch(std::iter::empty(), 0);
    /// let mut receiver = DeltaReceiver::default();
    /// receiver.apply(&batch, &mut Membership::default(), 0, 3_000_000);
    /// assert!(!receiver.has_missed_batch());
    /// ```
    pub fn apply(
        &mut self,
        batch: &Batch,
        members: &mut Membership,
        now_us: u64,
        until_us: u64,
    ) -> Vec<Change> {
        if batch.is_complete {
            self.vouched.clear();
        }
        for name in &batch.dropped {
            self.vouched.remove(name);
        }
        let mut changes = Vec::new();
        for report in &batch.changed {
            let vouched = (report.incarnation, report_checksum(report));
            self.vouched.insert(report.name.clone(), vouched);
            changes.extend(members.apply_report(report.clone(), now_us));
        }
        let checksum = self.vouched.values().fold(0, |sum, (_, own)| sum ^ own);
        self.has_missed_batch = checksum != batch.checksum;
        if self.has_missed_batch {
            return changes;
        }
        for (name, (incarnation, _)) in &self.vouched {
            changes.extend(members.vouch(name, *incarnation, now_us, until_us));
        }
        self.apply_loads(&batch.loads, members);
        self.apply_revisions(batch, members);
        changes
    }

    fn apply_loads(&self, loads: &[LoadUpdate], members: &mut Membership) {
        if loads.is_empty() {
            return;
        }
        let by_hash: HashMap<u32, &Name> = self
            .vouched
            .keys()
            .map(|name| (name_hash(name), name))
            .collect();
        for load in loads {
            let name = by_hash.get(&load.name_hash);
            if let Some((name, (incarnation, _))) =
                name.and_then(|name| self.vouched.get_key_value(*name))
            {
                members.set_load(name, *incarnation, load);
            }
        }
    }

    fn apply_revisions(&self, batch: &Batch, members: &mut Membership) {
        for (name, (incarnation, _)) in &self.vouched {
            let hash = name_hash(name);
            let mut behind = batch.behind.iter();
            let older = behind.find(|member| member.name_hash == hash);
            let revision = older.map_or(batch.revision, |member| member.revision);
            members.raise_revision(name, *incarnation, revision);
        }
    }

    /// Returns whether the sender vouches for a member.
    pub fn contains(&self, name: &str) -> bool {
        self.vouched.contains_key(name)
    }

    /// Returns whether the checksum of the last batch shows that one was lost.
    pub const fn has_missed_batch(&self) -> bool {
        self.has_missed_batch
    }
}
