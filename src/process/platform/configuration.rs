//! Reads and extends the configuration log of the object API.

mod compact;
mod submit;

pub use compact::compact;
pub use submit::{
    Accepted,
    SubmitError,
    submit, //
};

use bytes::Bytes;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    Condition,
    ObjectVersion,
    Platform,
    PlatformError,
    PlatformResult, //
};
use crate::version::{
    config::{
        Applied,
        Fold, //
    },
    head::{
        FiledTicket,
        HEAD_KEY,
        Head,
        SnapshotPointer,
        TICKET_PREFIX,
        join,
        ticket_key, //
    },
    ticket::Ticket, //
};

/// Attempts to read a state while snapshots are being replaced.
const MAX_READS: u32 = 4;

/// A decoded object with the condition for its replacement.
#[derive(Clone, Debug)]
pub(super) struct Versioned<T> {
    value: T,
    version: Option<ObjectVersion>,
}

impl<T> Versioned<T> {
    fn condition(&self) -> Condition {
        self.version.map_or(Condition::Absent, Condition::Version)
    }
}

/// Reads the head object; without one the configuration is empty.
///
/// # Errors
///
/// Fails as described at [`PlatformError`].
pub async fn read_head(platform: &Platform, deadline_us: u64) -> PlatformResult<Head> {
    Ok(head(platform, deadline_us).await?.value)
}

/// Reads a filed ticket, whether accepted or not.
///
/// # Errors
///
/// Fails as described at [`PlatformError`].
pub async fn read_ticket(
    platform: &Platform,
    ticket: u64,
    deadline_us: u64,
) -> PlatformResult<Option<FiledTicket>> {
    let found = read(platform, &ticket_key(ticket), deadline_us).await?;
    Ok(found.map(|filed| filed.value))
}

/// Reads all filed tickets after a number, in the order of their numbers.
///
/// # Errors
///
/// Fails as described at [`PlatformError`].
pub async fn list_tickets(
    platform: &Platform,
    after_ticket: u64,
    deadline_us: u64,
) -> PlatformResult<Vec<FiledTicket>> {
    let after = ticket_key(after_ticket);
    let objects = platform
        .list_all(TICKET_PREFIX, &after, || deadline_us)
        .await?;
    objects.iter().map(|object| decode(&object.value)).collect()
}

/// Brings a folded state up to the head and returns its revision.
///
/// A head that is older than the state, as an outdated read may return, changes
/// nothing.
///
/// # Errors
///
/// Fails as described at [`PlatformError`]; the state then stays at a revision
/// between its old one and that of the head.
pub async fn advance(
    platform: &Platform,
    fold: &mut Fold,
    deadline_us: u64,
) -> PlatformResult<u64> {
    for _ in 0..MAX_READS {
        let head = read_head(platform, deadline_us).await?;
        if advance_to(platform, fold, &head, deadline_us).await? {
            return Ok(fold.revision());
        }
    }
    Err(PlatformError::Unavailable(
        "the snapshot changes faster than it can be read".into(),
    ))
}

/// Brings a folded state up to a head. Returns false when the head's snapshot
/// has been replaced meanwhile.
async fn advance_to(
    platform: &Platform,
    fold: &mut Fold,
    head: &Head,
    deadline_us: u64,
) -> PlatformResult<bool> {
    if head.revision() <= fold.revision() {
        return Ok(true);
    }
    if let Some(pointer) = &head.snapshot
        && pointer.revision > fold.revision()
        && !load_snapshot(platform, fold, pointer, deadline_us).await?
    {
        return Ok(false);
    }
    let entries = head.entries_after(fold.revision()).into_iter().flatten();
    for (revision, entry) in entries {
        let filed = read_ticket(platform, entry.ticket, deadline_us).await?;
        let ticket = filed
            .map(|filed| filed.ticket)
            .filter(|ticket| ticket.digest() == entry.digest)
            .ok_or_else(|| wrong_ticket(entry.ticket))?;
        if fold.apply(revision, &ticket) == Applied::Gap {
            return Ok(false);
        }
    }
    Ok(true)
}

async fn load_snapshot(
    platform: &Platform,
    fold: &mut Fold,
    pointer: &SnapshotPointer,
    deadline_us: u64,
) -> PlatformResult<bool> {
    let mut parts = Vec::new();
    for part in 0..pointer.parts {
        match platform.get(&pointer.part_key(part), deadline_us).await? {
            Some(stored) => parts.push(stored.value),
            None => return Ok(false),
        }
    }
    let image =
        join(pointer, &parts).map_err(|report| PlatformError::Malformed(format!("{report:?}")))?;
    fold.replace(image);
    Ok(true)
}

async fn head(platform: &Platform, deadline_us: u64) -> PlatformResult<Versioned<Head>> {
    let found = read(platform, HEAD_KEY, deadline_us).await?;
    Ok(found.unwrap_or(Versioned {
        value: Head::default(),
        version: None,
    }))
}

async fn filed(
    platform: &Platform,
    ticket: &Ticket,
    deadline_us: u64,
) -> PlatformResult<Option<Versioned<FiledTicket>>> {
    read(platform, &ticket_key(ticket.ticket), deadline_us).await
}

async fn read<T: DeserializeOwned>(
    platform: &Platform,
    key: &str,
    deadline_us: u64,
) -> PlatformResult<Option<Versioned<T>>> {
    let Some(stored) = platform.get(key, deadline_us).await? else {
        return Ok(None);
    };
    Ok(Some(Versioned {
        value: decode(&stored.value)?,
        version: Some(stored.version),
    }))
}

fn decode<T: DeserializeOwned>(value: &[u8]) -> PlatformResult<T> {
    serde_json::from_slice(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn encode<T: Serialize>(value: &T) -> PlatformResult<Bytes> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn wrong_ticket(ticket: u64) -> PlatformError {
    PlatformError::Malformed(format!("ticket {ticket} does not have its digest"))
}
