//! Objects with versions, conditional writes and watches.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    ops::Bound, //
};

use bytes::Bytes;

use crate::{
    names::Name,
    process::platform::{
        Change,
        Changes,
        Condition,
        InstanceRecord,
        ListedObject,
        Listing,
        ObjectVersion,
        Stored, //
    },
};

/// Bytes of values after which a listing is cut.
const MAX_LISTING_BYTES: usize = 4_000_000;

/// A write whose condition does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mismatch {
    /// Version of the object, or none when it does not exist.
    pub current: Option<ObjectVersion>,
}

#[derive(Debug)]
struct InstanceList {
    set_at_us: u64,
    instances: Vec<InstanceRecord>,
}

/// State of the object API.
///
/// ```
/// use yuccalatch::{process::platform::Condition, standin::platform::Store};
///
/// let mut store = Store::default();
/// let version = store.put("a", "1".into(), Condition::Absent).unwrap();
/// assert!(store.put("a", "2".into(), Condition::Absent).is_err());
/// assert!(store.put("a", "2".into(), Condition::Version(version)).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<Name, Stored>,
    // Only the last change of an object is kept.
    changes: BTreeMap<u64, (Name, bool)>,
    changed_at: BTreeMap<Name, u64>,
    instances: VecDeque<InstanceList>,
}

impl Store {
    /// Returns the revision after the last write.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<&Stored> {
        self.objects.get(key)
    }

    /// Writes an object if a condition holds.
    ///
    /// # Errors
    ///
    /// Returns the present version when the condition does not hold.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<ObjectVersion, Mismatch> {
        self.check(key, condition)?;
        let key = Name::from(key);
        let version = ObjectVersion(self.note_change(&key, false));
        self.objects.insert(key, Stored { version, value });
        Ok(version)
    }

    /// Removes an object if a condition holds.
    ///
    /// # Errors
    ///
    /// Returns the present version when the condition does not hold.
    pub fn delete(&mut self, key: &str, condition: Condition) -> Result<(), Mismatch> {
        self.check(key, condition)?;
        self.note_change(&Name::from(key), true);
        self.objects.remove(key);
        Ok(())
    }

    /// Lists objects by prefix after a key.
    pub fn list(&self, prefix: &str, after: &str) -> Listing {
        let start = match after.is_empty() || after < prefix {
            true => Bound::Included(prefix),
            false => Bound::Excluded(after),
        };
        let mut listing = Listing {
            revision: self.revision,
            objects: Vec::new(),
            more: false,
        };
        let mut size_bytes = 0;
        let range = self.objects.range::<str, _>((start, Bound::Unbounded));
        for (key, stored) in range.take_while(|(key, _)| key.starts_with(prefix)) {
            size_bytes += stored.value.len();
            if size_bytes > MAX_LISTING_BYTES {
                listing.more = true;
                break;
            }
            listing.objects.push(ListedObject {
                key: key.clone(),
                version: stored.version,
                value: stored.value.to_vec(),
            });
        }
        listing
    }

    /// Returns the changes with a prefix after a revision.
    pub fn changes(&self, prefix: &str, after_revision: u64) -> Changes {
        let range = (Bound::Excluded(after_revision), Bound::Unbounded);
        let changes = self
            .changes
            .range(range)
            .filter(|(_, (key, _))| key.starts_with(prefix))
            .map(|(revision, (key, removed))| Change {
                key: key.clone(),
                revision: *revision,
                removed: *removed,
            });
        Changes {
            revision: self.revision,
            changes: changes.collect(),
        }
    }

    /// Replaces the list of instances.
    pub fn set_instances(&mut self, instances: Vec<InstanceRecord>, now_us: u64) {
        self.instances.push_back(InstanceList {
            set_at_us: now_us,
            instances,
        });
    }

    /// Returns the list of instances as it was at an earlier time.
    pub fn instances(&mut self, seen_at_us: u64) -> &[InstanceRecord] {
        while self
            .instances
            .get(1)
            .is_some_and(|next| next.set_at_us <= seen_at_us)
        {
            self.instances.pop_front();
        }
        match self.instances.front() {
            Some(list) if list.set_at_us <= seen_at_us => &list.instances,
            _ => &[],
        }
    }

    fn check(&self, key: &str, condition: Condition) -> Result<(), Mismatch> {
        let current = self.objects.get(key).map(|stored| stored.version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if holds {
            Ok(())
        } else {
            Err(Mismatch { current })
        }
    }

    fn note_change(&mut self, key: &Name, removed: bool) -> u64 {
        self.revision += 1;
        if let Some(earlier) = self.changed_at.insert(key.clone(), self.revision) {
            self.changes.remove(&earlier);
        }
        self.changes.insert(self.revision, (key.clone(), removed));
        self.revision
    }
}
