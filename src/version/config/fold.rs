//! State built by folding accepted tickets in order.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    object::{
        Kind,
        Object,
        ObjectId, //
    },
    snapshot::Config, //
};
use crate::{
    names::{
        Digest,
        Name, //
    },
    version::{
        keys::digest_of,
        ticket::{
            Ticket,
            Violation,
            check, //
        },
    },
};

/// Removed objects whose last ticket is remembered. Beyond it the oldest are
/// dropped and their numbers are refused for every unknown object, so that
/// memory stays bounded and state never reverts.
const MAX_REMOVED: usize = 65_536;
/// Tickets kept for peers that lag behind; others receive an image.
const MAX_RECENT: usize = 256;
/// Bytes of the tickets kept for peers.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// An object and the last ticket that set it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// State of the object.
    pub object: Object,
    /// Number of the ticket.
    pub ticket: u64,
}

/// A removed object and the ticket that removed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Id of the object.
    pub id: ObjectId,
    /// Number of the ticket.
    pub ticket: u64,
}

/// Complete folded state at a revision.
///
/// ```
/// use yuccalatch::version::config::Fold;
///
/// let image = Fold::default().image();
/// assert_eq!(image.revision, 0);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Image {
    /// Number of tickets folded in.
    pub revision: u64,
    /// Numbers up to this one are refused for objects that are not listed.
    pub floor_ticket: u64,
    /// Objects in the order of their ids.
    pub entries: Vec<Entry>,
    /// Removed objects in the order of their ids.
    pub removed: Vec<Removal>,
}

/// What a process sends to a peer that has an older revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// The peer is up to date.
    Current,
    /// Tickets in the order of the log.
    Tickets {
        /// Revision after the first ticket.
        first_revision: u64,
        /// The tickets.
        tickets: Vec<Ticket>,
    },
    /// The complete state.
    Image(Image),
}

/// Effect of an offered change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The revision was advanced.
    Changed,
    /// The revision was advanced, but the ticket breaks rules and changes no
    /// object. No process applies such a ticket.
    Refused(Vec<Violation>),
    /// The offered revision is not newer.
    Stale,
    /// Earlier tickets are missing.
    Gap,
}

/// Mutable configuration of the control thread.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    config: Config,
    entries: BTreeMap<ObjectId, Entry>,
    removed: BTreeMap<ObjectId, u64>,
    removed_by_ticket: BTreeSet<(u64, ObjectId)>,
    floor_ticket: u64,
    referrers: BTreeMap<ObjectId, BTreeSet<ObjectId>>,
    recent: VecDeque<Ticket>,
    recent_bytes: usize,
}

impl Fold {
    /// Returns the number of tickets folded in.
    pub const fn revision(&self) -> u64 {
        self.config.revision()
    }

    /// Returns an object with its last ticket.
    pub fn get(&self, id: &ObjectId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the name of the key with a digest.
    pub fn key_of_digest(&self, digest: &Digest) -> Option<&Name> {
        self.config.key_of_digest(digest)
    }

    /// Iterates over the objects of a kind in the order of their names.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Entry> {
        self.entries
            .range(ObjectId::new(kind, "")..)
            .take_while(move |(id, _)| id.kind == kind)
            .map(|(_, entry)| entry)
    }

    /// Iterates over the ids of the objects that refer to an object.
    pub fn referrers(&self, id: &ObjectId) -> impl Iterator<Item = &ObjectId> {
        self.referrers.get(id).into_iter().flatten()
    }

    /// Returns the number of the last ticket that touched an object.
    pub fn last_ticket(&self, id: &ObjectId) -> u64 {
        let stored = self.entries.get(id).map(|entry| entry.ticket);
        let removed = self.removed.get(id).copied();
        stored.or(removed).unwrap_or(self.floor_ticket)
    }

    /// Returns the immutable configuration for the traffic threads.
    ///
    /// ```
    /// use yuccalatch::version::config::Fold;
    ///
    /// assert_eq!(Fold::default().publish().revision(), 0);
    /// ```
    pub fn publish(&self) -> Arc<Config> {
        Arc::new(self.config.clone())
    }

    /// Folds in the ticket that leads to a revision.
    pub fn apply(&mut self, revision: u64, ticket: &Ticket) -> Applied {
        if revision <= self.revision() {
            return Applied::Stale;
        }
        if revision != self.revision() + 1 {
            return Applied::Gap;
        }
        let violations = check(self, ticket);
        self.config.set_revision(revision);
        self.remember(ticket);
        if !violations.is_empty() {
            return Applied::Refused(violations);
        }
        self.change(ticket);
        Applied::Changed
    }

    /// Returns the complete state.
    pub fn image(&self) -> Image {
        let removed = self.removed.iter().map(|(id, ticket)| Removal {
            id: id.clone(),
            ticket: *ticket,
        });
        Image {
            revision: self.revision(),
            floor_ticket: self.floor_ticket,
            entries: self.entries.values().cloned().collect(),
            removed: removed.collect(),
        }
    }

    /// Returns the SHA-256 digest of the complete state.
    pub fn digest(&self) -> Digest {
        // Serialising an image cannot fail: it has no maps.
        digest_of(&serde_json::to_vec(&self.image()).unwrap_or_default())
    }

    /// Replaces the state by a newer image and keeps the keys of objects that
    /// exist in both.
    pub fn replace(&mut self, image: Image) -> Applied {
        if image.revision <= self.revision() {
            return Applied::Stale;
        }
        let next: BTreeMap<_, _> = image
            .entries
            .into_iter()
            .map(|entry| (entry.object.id(), entry))
            .collect();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !next.contains_key(id))
            .cloned()
            .collect();
        let changed: Vec<_> = next
            .into_iter()
            .filter(|(id, entry)| self.entries.get(id) != Some(entry))
            .map(|(_, entry)| entry)
            .collect();
        self.update(&gone, changed);
        self.config.set_revision(image.revision);
        self.floor_ticket = image.floor_ticket;
        self.removed.clear();
        self.removed_by_ticket.clear();
        for removal in image.removed {
            self.note_removal(removal.id, removal.ticket);
        }
        self.recent.clear();
        self.recent_bytes = 0;
        Applied::Changed
    }

    /// Returns what a peer at an older revision is missing.
    ///
    /// ```
    /// use yuccalatch::version::config::{Fold, Update};
    ///
    /// assert_eq!(Fold::default().since(0), Update::Current);
    /// ```
    pub fn since(&self, revision: u64) -> Update {
        let Some(missing) = self.revision().checked_sub(revision) else {
            return Update::Current;
        };
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        match missing {
            0 => Update::Current,
            _ if missing > self.recent.len() => Update::Image(self.image()),
            _ => Update::Tickets {
                first_revision: revision + 1,
                tickets: self
                    .recent
                    .range(self.recent.len() - missing..)
                    .cloned()
                    .collect(),
            },
        }
    }

    /// Applies what a peer sent and returns the effect of its last part.
    pub fn receive(&mut self, update: Update) -> Applied {
        match update {
            Update::Current => Applied::Stale,
            Update::Image(image) => self.replace(image),
            Update::Tickets {
                first_revision,
                tickets,
            } => (first_revision..)
                .zip(&tickets)
                .map(|(revision, ticket)| self.apply(revision, ticket))
                .last()
                .unwrap_or(Applied::Stale),
        }
    }

    fn change(&mut self, ticket: &Ticket) {
        let set = ticket.set.iter().map(|object| Entry {
            object: object.clone(),
            ticket: ticket.ticket,
        });
        self.update(&ticket.remove, set.collect());
        for id in &ticket.remove {
            self.note_removal(id.clone(), ticket.ticket);
        }
        self.trim_removed();
    }

    fn update(&mut self, remove: &[ObjectId], mut set: Vec<Entry>) {
        // Objects refer to earlier kinds only, so that this order resolves
        // every reference.
        set.sort_by_key(|entry| entry.object.kind());
        let mut kinds = BTreeSet::new();
        let mut remove: Vec<_> = remove.iter().collect();
        remove.sort_by_key(|id| std::cmp::Reverse(id.kind));
        for id in remove {
            kinds.insert(id.kind);
            self.detach(id, false);
        }
        for entry in &set {
            kinds.insert(entry.object.kind());
            self.detach(&entry.object.id(), true);
        }
        for entry in set {
            self.attach(entry);
        }
        for kind in kinds {
            self.config.reindex(kind);
        }
    }

    fn detach(&mut self, id: &ObjectId, replaced: bool) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.config.unset(&entry.object, replaced);
        for (_, used) in entry.object.references() {
            if let Some(users) = self.referrers.get_mut(&used) {
                users.remove(id);
                if users.is_empty() {
                    self.referrers.remove(&used);
                }
            }
        }
    }

    fn attach(&mut self, entry: Entry) {
        let id = entry.object.id();
        for (_, used) in entry.object.references() {
            self.referrers.entry(used).or_default().insert(id.clone());
        }
        self.config.set(&entry.object);
        if let Some(ticket) = self.removed.remove(&id) {
            self.removed_by_ticket.remove(&(ticket, id.clone()));
        }
        self.entries.insert(id, entry);
    }

    fn note_removal(&mut self, id: ObjectId, ticket: u64) {
        self.removed_by_ticket.insert((ticket, id.clone()));
        self.removed.insert(id, ticket);
    }

    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let Some((ticket, id)) = self.removed_by_ticket.pop_first() else {
                return;
            };
            self.removed.remove(&id);
            self.floor_ticket = self.floor_ticket.max(ticket);
        }
    }

    fn remember(&mut self, ticket: &Ticket) {
        self.recent_bytes += ticket.to_canonical().len();
        self.recent.push_back(ticket.clone());
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.to_canonical().len();
        }
    }
}
