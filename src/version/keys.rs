//! Digests of callers' keys and their constant-time check.

use std::collections::HashMap;

use sha2::{
    Digest as _,
    Sha256, //
};
use subtle::ConstantTimeEq;

use crate::{
    names::{
        Digest,
        Name, //
    },
    version::config::OrganisationKey, //
};

/// Computes the SHA-256 digest of a key text.
///
/// ```
/// use yuccalatch::version::keys::digest_of;
///
/// let digest = digest_of(b"abc").to_string();
/// assert!(digest.starts_with("ba7816bf8f01cfea"));
/// ```
pub fn digest_of(key_text: &[u8]) -> Digest {
    Digest(Sha256::digest(key_text).into())
}

/// Compares two digests in constant time.
///
/// ```
/// use yuccalatch::version::keys::{digest_of, is_same};
///
/// assert!(is_same(&digest_of(b"a"), &digest_of(b"a")));
/// assert!(!is_same(&digest_of(b"a"), &digest_of(b"b")));
/// ```
pub fn is_same(left: &Digest, right: &Digest) -> bool {
    left.0.ct_eq(&right.0).into()
}

#[derive(Clone, Debug)]
struct Record {
    name: Name,
    digest: Digest,
    organisation: OrganisationKey,
}

/// Organisations by key digest.
///
/// The table is searched by the first eight bytes; the full digest is then
/// compared in constant time, so that timing reveals at most those bytes.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    records: HashMap<[u8; 8], Vec<Record>>,
}

impl KeyTable {
    /// Returns the organisation that owns the key with this digest.
    pub fn organisation(&self, digest: &Digest) -> Option<OrganisationKey> {
        let candidates = self.records.get(&prefix_of(digest))?;
        candidates
            .iter()
            .find(|record| is_same(&record.digest, digest))
            .map(|record| record.organisation)
    }

    /// Returns the name of the key with this digest.
    pub fn owner(&self, digest: &Digest) -> Option<&Name> {
        let candidates = self.records.get(&prefix_of(digest))?;
        candidates
            .iter()
            .find(|record| is_same(&record.digest, digest))
            .map(|record| &record.name)
    }

    /// Adds a key.
    pub fn insert(&mut self, name: Name, digest: Digest, organisation: OrganisationKey) {
        let record = Record {
            name,
            digest,
            organisation,
        };
        self.records
            .entry(prefix_of(&digest))
            .or_default()
            .push(record);
    }

    /// Removes a key by its name and digest.
    pub fn remove(&mut self, name: &Name, digest: &Digest) {
        let prefix = prefix_of(digest);
        let Some(records) = self.records.get_mut(&prefix) else {
            return;
        };
        records.retain(|record| record.name != *name);
        if records.is_empty() {
            self.records.remove(&prefix);
        }
    }
}

fn prefix_of(digest: &Digest) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.0[..8]);
    prefix
}
