//! Replaces the log by a snapshot.

use super::{
    Versioned,
    advance_to,
    encode,
    head,
    read,
    wrong_ticket, //
};
use crate::{
    process::platform::{
        Condition,
        Platform,
        PlatformError,
        PlatformResult, //
    },
    version::{
        config::Fold,
        head::{
            FiledTicket,
            HEAD_KEY,
            Head,
            LogEntry,
            SNAPSHOT_PREFIX,
            SnapshotPointer,
            split,
            ticket_key, //
        },
    },
};

/// Writes a snapshot of the head's revision and empties the log. Returns
/// whether the head was replaced; another writer may have been faster.
///
/// # Errors
///
/// Fails as described at [`PlatformError`]. Any part of the work that was done
/// is harmless and is repeated by the next compaction.
pub async fn compact(
    platform: &Platform,
    fold: &mut Fold,
    deadline_us: u64,
) -> PlatformResult<bool> {
    let head = head(platform, deadline_us).await?;
    let is_current = advance_to(platform, fold, &head.value, deadline_us).await?;
    if !is_current || fold.revision() != head.value.revision() || head.value.log.is_empty() {
        return Ok(false);
    }
    let pointer = write_snapshot(platform, fold, deadline_us).await?;
    mark_accepted(platform, &head.value, deadline_us).await?;
    let next = Head {
        snapshot: Some(pointer.clone()),
        log: Vec::new(),
    };
    let written = platform
        .put(HEAD_KEY, encode(&next)?, head.condition(), deadline_us)
        .await;
    match written {
        Ok(_) => {}
        Err(PlatformError::Conflict { .. }) => return Ok(false),
        Err(error) => return Err(error),
    }
    remove_older(platform, &pointer, deadline_us).await?;
    Ok(true)
}

async fn write_snapshot(
    platform: &Platform,
    fold: &Fold,
    deadline_us: u64,
) -> PlatformResult<SnapshotPointer> {
    let (pointer, parts) =
        split(&fold.image()).map_err(|report| PlatformError::Malformed(format!("{report:?}")))?;
    for (part, value) in (0..).zip(parts) {
        let key = pointer.part_key(part);
        let written = platform
            .put(&key, value, Condition::Absent, deadline_us)
            .await;
        match written {
            // The key contains the digest, so that an existing part has the
            // same content.
            Ok(_) | Err(PlatformError::Conflict { current: Some(_) }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(pointer)
}

async fn mark_accepted(platform: &Platform, head: &Head, deadline_us: u64) -> PlatformResult<()> {
    let entries = head.entries_after(head.base_revision());
    for (revision, entry) in entries.into_iter().flatten() {
        mark(platform, revision, entry, deadline_us).await?;
    }
    Ok(())
}

async fn mark(
    platform: &Platform,
    revision: u64,
    entry: &LogEntry,
    deadline_us: u64,
) -> PlatformResult<()> {
    let key = ticket_key(entry.ticket);
    let filed: Versioned<FiledTicket> = read(platform, &key, deadline_us)
        .await?
        .ok_or_else(|| wrong_ticket(entry.ticket))?;
    if filed.value.accepted_revision.is_some() {
        return Ok(());
    }
    let condition = filed.condition();
    let marked = FiledTicket {
        accepted_revision: Some(revision),
        ..filed.value
    };
    let written = platform
        .put(&key, encode(&marked)?, condition, deadline_us)
        .await;
    match written {
        // Only another compaction changes a filed ticket, to the same value.
        Ok(_) | Err(PlatformError::Conflict { current: Some(_) }) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn remove_older(
    platform: &Platform,
    pointer: &SnapshotPointer,
    deadline_us: u64,
) -> PlatformResult<()> {
    let first_kept = pointer.first_key();
    // A listing holds only some of the parts of a large snapshot.
    loop {
        let listing = platform.list(SNAPSHOT_PREFIX, "", deadline_us).await?;
        let older: Vec<_> = listing
            .objects
            .iter()
            .take_while(|object| *object.key < *first_kept)
            .collect();
        if older.is_empty() {
            return Ok(());
        }
        for object in older {
            let removed = platform
                .delete(&object.key, object.version, deadline_us)
                .await;
            match removed {
                // Another compaction may remove the same parts.
                Ok(()) | Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
    }
}
