//! The commit log of the configuration.
//!
//! The head object is the only commit point. A ticket is filed under its number
//! and accepted by one conditional update of the head. Compaction marks the
//! filed tickets as accepted before it drops them from the log, so that a
//! repeated submission is recognised at any later time.

mod snapshot;

pub use snapshot::{
    MAX_PART_BYTES,
    SnapshotPointer,
    join,
    split, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Digest,
    version::ticket::Ticket, //
};

/// Key of the head object.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of filed tickets.
pub const TICKET_PREFIX: &str = "config/tickets/";
/// Prefix of the keys of snapshot parts.
pub const SNAPSHOT_PREFIX: &str = "config/snapshots/";
/// Entries after which the log is replaced by a snapshot. It bounds the tickets
/// that a starting process reads one by one.
pub const MAX_LOG_ENTRIES: usize = 64;

/// Returns the key of a filed ticket.
///
/// ```
/// use yuccalatch::version::head::ticket_key;
///
/// assert_eq!(ticket_key(7), "config/tickets/00000000000000000007");
/// ```
pub fn ticket_key(ticket: u64) -> String {
    format!("{TICKET_PREFIX}{ticket:020}")
}

/// A ticket as it is stored under its number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FiledTicket {
    /// The ticket.
    pub ticket: Ticket,
    /// Revision that accepted it; set when its log entry is dropped.
    pub accepted_revision: Option<u64>,
}

/// An accepted ticket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Number of the ticket.
    pub ticket: u64,
    /// Digest of its content.
    pub digest: Digest,
}

/// What the log knows of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The ticket led to this revision.
    Accepted(u64),
    /// The number was accepted with other content.
    OtherContent,
    /// The log does not contain the number.
    Absent,
}

/// The head object.
///
/// ```
/// use yuccalatch::version::{head::{Head, Standing}, keys::digest_of};
///
/// let digest = digest_of(b"content");
/// let head = Head::default().with(1, digest);
/// assert_eq!(head.revision(), 1);
/// assert_eq!(head.standing(1, &digest), Standing::Accepted(1));
/// assert_eq!(head.standing(2, &digest), Standing::Absent);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Folded state that the log starts from.
    pub snapshot: Option<SnapshotPointer>,
    /// Tickets accepted since the snapshot.
    pub log: Vec<LogEntry>,
}

impl Head {
    /// Returns the revision of the snapshot, 0 without one.
    pub fn base_revision(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |pointer| pointer.revision)
    }

    /// Returns the number of tickets ever accepted.
    pub fn revision(&self) -> u64 {
        let entries = u64::try_from(self.log.len()).unwrap_or(u64::MAX);
        self.base_revision().saturating_add(entries)
    }

    /// Returns what the log knows of a ticket.
    pub fn standing(&self, ticket: u64, digest: &Digest) -> Standing {
        let found = (1..).zip(&self.log).find(|(_, e)| e.ticket == ticket);
        match found {
            None => Standing::Absent,
            Some((_, entry)) if entry.digest != *digest => Standing::OtherContent,
            Some((position, _)) => Standing::Accepted(self.base_revision() + position),
        }
    }

    /// Returns the head after one more ticket.
    #[must_use]
    pub fn with(&self, ticket: u64, digest: Digest) -> Self {
        let mut next = self.clone();
        next.log.push(LogEntry { ticket, digest });
        next
    }

    /// Returns the log entries after a revision with the revisions that they
    /// led to, or `None` when the snapshot has absorbed some of them.
    ///
    /// ```
    /// use yuccalatch::version::{head::Head, keys::digest_of};
    ///
    /// let head = Head::default().with(5, digest_of(b"a")).with(6, digest_of(b"b"));
    /// let entries: Vec<_> = head.entries_after(1).unwrap().collect();
    /// assert_eq!((entries[0].0, entries[0].1.ticket), (2, 6));
    /// ```
    pub fn entries_after(&self, revision: u64) -> Option<impl Iterator<Item = (u64, &LogEntry)>> {
        let skipped = revision.checked_sub(self.base_revision())?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let first = self.base_revision() + 1;
        Some((first..).zip(&self.log).skip(skipped))
    }

    /// Returns whether the log should be replaced by a snapshot.
    pub fn needs_compaction(&self) -> bool {
        self.log.len() >= MAX_LOG_ENTRIES
    }
}
