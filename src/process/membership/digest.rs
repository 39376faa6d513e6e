//! Digests that entries exchange.
//!
//! A digest vouches for members that report to the sender directly: within a data
//! centre, the targets that it collects; between data centres, the entries of its
//! own data centre. It contains only the members that changed since the last
//! digest to the same receiver; a checksum of all of them shows the receiver that
//! it missed a change. An entry never vouches for members that it has only from
//! digests: entries that repeat each other would keep a silent member alive.

mod delta;
mod sums;

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::Report;
use crate::{
    clock::US_PER_MS,
    names::{
        Incarnation,
        Name, //
    },
};

pub use self::{
    delta::{
        DeltaReceiver,
        DeltaSender, //
    },
    sums::{
        RemoteSums,
        SUMS_MAX_AGE_US,
        ServiceSums, //
    },
};

/// New load of a member whose other fields have not changed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// Lower half of the hash of the member's name.
    pub name_hash: u32,
    /// Expected wait in the queue.
    pub queue_ms: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
}

impl LoadUpdate {
    fn of(report: &Report) -> Self {
        Self {
            name_hash: name_hash(&report.name),
            queue_ms: u32::try_from(report.queue_us / US_PER_MS).unwrap_or(u32::MAX),
            running: report.running,
            queued: report.queued,
        }
    }

    /// Returns the steps of the three loads; a change within a step is not sent.
    fn steps(self) -> [u64; 3] {
        [self.queue_ms, self.running, self.queued].map(|load| load_step(u64::from(load)))
    }

    fn steps_changed(self, sent: &[u64; 3]) -> u64 {
        let each = self.steps().into_iter().zip(sent);
        each.map(|(now, sent)| now.abs_diff(*sent)).sum()
    }
}

fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Member with an older configuration revision than the others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OlderRevision {
    /// Lower half of the hash of the member's name.
    pub name_hash: u32,
    /// Configuration revision of the member.
    pub revision: u64,
}

/// Changes of the members that a sender vouches for, for one receiver.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Whether the batch replaces all members that this sender vouched for before.
    pub is_complete: bool,
    /// Members that are new or changed.
    pub changed: Vec<Report>,
    /// Members of which only the load has changed.
    pub loads: Vec<LoadUpdate>,
    /// Members that the sender does not vouch for any more.
    pub dropped: Vec<Name>,
    /// Checksum of all members that the sender vouches for.
    pub checksum: u64,
    /// Configuration revision of all these members except those in `behind`.
    /// Most have the same, so a new revision does not repeat their reports.
    pub revision: u64,
    /// Members with an older revision.
    pub behind: Vec<OlderRevision>,
}

impl Batch {
    fn set_revisions(&mut self, revisions: &[(u32, u64)]) {
        let newest = revisions.iter().map(|(_, revision)| *revision).max();
        self.revision = newest.unwrap_or(0);
        let older = revisions
            .iter()
            .filter(|(_, revision)| *revision < self.revision);
        self.behind = older
            .map(|&(name_hash, revision)| OlderRevision {
                name_hash,
                revision,
            })
            .collect();
    }
}

/// Message from one process to another, about itself and what it collects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Report of the sender about itself.
    pub sender: Report,
    /// Changes of the members that the sender vouches for.
    pub batch: Batch,
    /// Time for which the receiver may rely on the digest.
    pub valid_ms: u32,
    /// Whether the sender missed a batch, so the receiver must send a complete one.
    pub wants_complete: bool,
    /// Sums per service; empty within a data centre.
    pub sums: BTreeMap<Name, ServiceSums>,
    /// Age of the sender's last answer from the object API; `None` before the
    /// first.
    pub api_answer_age_ms: Option<u64>,
    /// Checksum of the entries that the sender knows in its data centre.
    pub entries_checksum: u64,
    /// Control addresses of these entries, sent when the receiver's checksum
    /// differs.
    pub introduced: Vec<SocketAddr>,
}

/// Returns a load in steps of a quarter. Only a change of the step is sent,
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
