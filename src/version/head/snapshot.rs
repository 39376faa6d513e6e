//! Snapshots of the folded state, split into parts.

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::SNAPSHOT_PREFIX;
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::Digest,
    version::{
        config::Image,
        keys::digest_of, //
    },
};

/// Largest part of a snapshot, in bytes. The object API stores values up to
/// 1 MB.
pub const MAX_PART_BYTES: usize = 900_000;

/// Names a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPointer {
    /// Revision of the state.
    pub revision: u64,
    /// Number of parts.
    pub parts: u32,
    /// Digest of all parts together.
    pub digest: Digest,
}

impl SnapshotPointer {
    /// Returns the key of a part. Keys begin with the revision in a fixed
    /// width, so that older snapshots sort before newer ones.
    pub fn part_key(&self, part: u32) -> String {
        let digest = hex::encode(&self.digest.0[..8]);
        format!("{SNAPSHOT_PREFIX}{:020}-{digest}/{part:06}", self.revision)
    }

    /// Returns the prefix that the keys of all snapshots before this one are
    /// below.
    pub fn first_key(&self) -> String {
        format!("{SNAPSHOT_PREFIX}{:020}", self.revision)
    }
}

/// Splits a state into parts below [`MAX_PART_BYTES`].
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when the state cannot be serialised.
///
/// ```
/// use yuccalatch::version::{config::Fold, head::{join, split}};
///
/// let image = Fold::default().image();
/// let (pointer, parts) = split(&image).unwrap();
/// assert_eq!(join(&pointer, &parts).unwrap(), image);
/// ```
pub fn split(image: &Image) -> Result<(SnapshotPointer, Vec<Bytes>)> {
    let whole = serde_json::to_vec(image).change_context(ErrorKind::Internal)?;
    let whole = Bytes::from(whole);
    let parts: Vec<_> = (0..whole.len())
        .step_by(MAX_PART_BYTES)
        .map(|start| whole.slice(start..whole.len().min(start + MAX_PART_BYTES)))
        .collect();
    let pointer = SnapshotPointer {
        revision: image.revision,
        parts: u32::try_from(parts.len()).change_context(ErrorKind::Internal)?,
        digest: digest_of(&whole),
    };
    Ok((pointer, parts))
}

/// Joins the parts of a snapshot and checks its digest.
///
/// # Errors
///
/// Returns [`ErrorKind::PlatformUnavailable`] when the parts do not form the
/// state that the pointer names.
pub fn join(pointer: &SnapshotPointer, parts: &[Bytes]) -> Result<Image> {
    let whole = parts.concat();
    if digest_of(&whole) != pointer.digest {
        return Err(Report::new(ErrorKind::PlatformUnavailable)
            .attach("the snapshot does not have its digest"));
    }
    let image: Image =
        serde_json::from_slice(&whole).change_context(ErrorKind::PlatformUnavailable)?;
    if image.revision != pointer.revision {
        return Err(Report::new(ErrorKind::PlatformUnavailable)
            .attach("the snapshot does not have its revision"));
    }
    Ok(image)
}
