//! Digests that entries exchange.
//!
//! A digest vouches for members of which the sender has direct reports: within
//! a data centre for the targets that it collects, between data centres for the
//! entries of its own. It repeats only those that changed since the last digest
//! to the same receiver; a checksum of all tells the receiver when it missed
//! something. Nobody vouches for what it learned from a digest, so that a
//! silent member is not kept alive by entries that repeat each other.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Change,
    Membership,
    Report,
    Role, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::{
        Incarnation,
        Name, //
    },
};

/// Age at which the sum of another data centre is no longer used.
pub const SUM_KEPT_US: u64 = 5 * US_PER_S;

/// State of the targets of one service in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sum {
    /// Live targets that take new work.
    pub serving: u32,
    /// Live targets that are leaving.
    pub leaving: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Load of a member that has not changed otherwise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Lower half of the hash of the member's name.
    pub name_hash: u32,
    /// Expected wait in the queue.
    pub queue_ms: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl Load {
    fn of(report: &Report) -> Self {
        Self {
            name_hash: name_hash(&report.name),
            queue_ms: u32::try_from(report.queue_us / US_PER_MS).unwrap_or(u32::MAX),
            running: report.running,
            queued: report.queued,
        }
    }

    /// A change within a step is not told.
    fn steps(self) -> [u64; 3] {
        [self.queue_ms, self.running, self.queued].map(|load| load_step(u64::from(load)))
    }

    fn distance(self, told: &[u64; 3]) -> u64 {
        let each = self.steps().into_iter().zip(told);
        each.map(|(now, told)| now.abs_diff(*told)).sum()
    }
}

fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Member with an older configuration revision than the others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Behind {
    /// Lower half of the hash of the member's name.
    pub name_hash: u32,
    /// Its revision.
    pub revision: u64,
}

/// Members that a sender vouches for, as far as they changed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Whether the receiver forgets what this sender vouched for before.
    pub is_complete: bool,
    /// Members that are new or changed.
    pub changed: Vec<Report>,
    /// Members of which only the load has changed.
    pub loads: Vec<Load>,
    /// Members that the sender does not vouch for any more.
    pub dropped: Vec<Name>,
    /// Checksum of all members that the sender vouches for.
    pub checksum: u64,
    /// Configuration revision of all these members but the following. Most have
    /// the same, so that a new revision does not repeat their reports.
    pub revision: u64,
    /// Members with an older revision.
    pub behind: Vec<Behind>,
}

impl Batch {
    fn set_revisions(&mut self, revisions: &[(u32, u64)]) {
        let newest = revisions.iter().map(|(_, revision)| *revision).max();
        self.revision = newest.unwrap_or(0);
        let older = revisions
            .iter()
            .filter(|(_, revision)| *revision < self.revision);
        self.behind = older
            .map(|&(name_hash, revision)| Behind {
                name_hash,
                revision,
            })
            .collect();
    }
}

/// Message from one process to another, about itself and what it collects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    pub sender: Report,
    /// Members that the sender vouches for.
    pub batch: Batch,
    /// Time for which the receiver may rely on the digest.
    pub valid_ms: u32,
    /// Whether the sender missed a batch of the receiver.
    pub wants_complete: bool,
    /// Sums per service; empty within a data centre.
    pub sums: BTreeMap<Name, Sum>,
    /// Age of the sender's news from the object API; `None` without any.
    pub news_age_ms: Option<u64>,
    /// Checksum of the entries that the sender knows in its data centre.
    pub entries_checksum: u64,
    /// Control addresses of these entries, when the receiver knows others.
    pub introduced: Vec<SocketAddr>,
}

/// Returns a load in steps of a quarter. Only a change of the step is told,
/// because the load itself changes with every request.
///
/// ```
/// use yuccalatch::process::membership::digest::load_step;
///
/// assert_eq!(load_step(1_000), load_step(1_010));
/// assert_ne!(load_step(1_000), load_step(1_300));
/// assert_ne!(load_step(0), load_step(1));
/// ```
pub const fn load_step(load: u64) -> u64 {
    if load < 4 {
        return load;
    }
    let exponent = load.ilog2() as u64;
    exponent * 4 + ((load >> (exponent - 2)) & 3)
}

/// Returns a checksum of the entries that a process knows.
pub fn entries_checksum<'a>(
    entries: impl Iterator<Item = (&'a Name, Incarnation, SocketAddr)>,
) -> u64 {
    let each = entries.map(|entry| postcard::to_stdvec(&entry).unwrap_or_default());
    each.fold(0, |sum, bytes| sum ^ xxh3_64(&bytes))
}

/// Returns a checksum of what is told by repeating a report.
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

/// What one receiver was told.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    told: BTreeMap<Name, (u64, [u64; 3])>,
    is_started: bool,
}

impl Outbox {
    /// Makes the next batch from the members and whether their load is told; one
    /// of the two collectors of a target is enough for that. At most `max_loads`
    /// loads are told, those that changed most; the others follow later.
    pub fn next<'a>(
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
        for (report, tells_load) in members {
            let checksum = checksum_of(report);
            batch.checksum ^= checksum;
            present.insert(report.name.clone());
            revisions.push((name_hash(&report.name), report.revision));
            let load = Load::of(report);
            match self.told.get(&report.name) {
                Some((told, steps)) if *told == checksum => {
                    let change = load.distance(steps);
                    if tells_load && change > 0 {
                        moved.push((change, report.name.clone(), load));
                    }
                }
                _ => {
                    let now = (checksum, load.steps());
                    self.told.insert(report.name.clone(), now);
                    batch.changed.push(report.clone());
                }
            }
        }
        moved.sort_by_key(|(change, ..)| std::cmp::Reverse(*change));
        for (_, name, load) in moved.into_iter().take(max_loads) {
            if let Some((_, steps)) = self.told.get_mut(&name) {
                *steps = load.steps();
            }
            batch.loads.push(load);
        }
        batch.set_revisions(&revisions);
        self.told.retain(|name, _| {
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
pub struct Inbox {
    held: BTreeMap<Name, (Incarnation, u64)>,
    misses_some: bool,
}

impl Inbox {
    /// Takes a batch and updates the members.
    ///
    /// ```
    /// use yuccalatch::process::membership::{
    ///     Membership,
    ///     digest::{Inbox, Outbox},
    /// };
    ///
    /// let batch = Outbox::default().next(std::iter::empty(), 0);
    /// let mut inbox = Inbox::default();
    /// inbox.take(&batch, &mut Membership::default(), 0, 3_000_000);
    /// assert!(!inbox.misses_some());
    /// ```
    pub fn take(
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
            changes.extend(members.report(report.clone(), now_us));
        }
        let checksum = self.held.values().fold(0, |sum, (_, own)| sum ^ own);
        self.misses_some = checksum != batch.checksum;
        if self.misses_some {
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
    pub fn holds(&self, name: &str) -> bool {
        self.held.contains_key(name)
    }

    /// Returns whether a batch was lost.
    pub const fn misses_some(&self) -> bool {
        self.misses_some
    }
}

impl Membership {
    /// Returns the sums per service over the targets of a data centre.
    ///
    /// ```
    /// use yuccalatch::process::membership::Membership;
    ///
    /// assert!(Membership::default().sums("a").is_empty());
    /// ```
    pub fn sums(&self, data_centre: &str) -> BTreeMap<Name, Sum> {
        let mut sums: BTreeMap<Name, Sum> = BTreeMap::new();
        for report in self.live(Role::Target) {
            if &*report.data_centre != data_centre {
                continue;
            }
            let sum = sums.entry(report.service.clone()).or_default();
            sum.serving += u32::from(!report.is_leaving);
            sum.leaving += u32::from(report.is_leaving);
            sum.running += report.running;
            sum.queued += report.queued;
        }
        sums
    }
}

/// Sums of other data centres, the latest of any of their entries.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    data_centres: BTreeMap<Name, (BTreeMap<Name, Sum>, u64)>,
}

impl Sums {
    /// Takes the sums of a digest. Every entry of a data centre knows all its
    /// targets, so the sums of two entries are alternatives, not parts.
    pub fn absorb(&mut self, digest: &Digest, now_us: u64) {
        if digest.sums.is_empty() {
            return;
        }
        let expires_at_us = now_us + SUM_KEPT_US;
        self.data_centres.insert(
            digest.sender.data_centre.clone(),
            (digest.sums.clone(), expires_at_us),
        );
    }

    /// Returns the sum of a service in another data centre, unless it is too
    /// old.
    ///
    /// ```
    /// use yuccalatch::process::membership::digest::Sums;
    ///
    /// assert_eq!(Sums::default().get("b", "chat", 0), None);
    /// ```
    pub fn get(&self, data_centre: &str, service: &str, now_us: u64) -> Option<Sum> {
        let (sums, expires_at_us) = self.data_centres.get(data_centre)?;
        if now_us >= *expires_at_us {
            return None;
        }
        sums.get(service).copied()
    }
}
