//! Numbered configuration changes and their checks.

mod check;
mod deadline;
mod file;
mod objects;
mod outlook;

pub use check::{
    Location,
    Place,
    Violation,
    check, //
};

pub use deadline::{
    check_deadlines,
    plan_request, //
};
pub use file::TicketFile;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::{
        Digest,
        Name, //
    },
    version::{
        config::{
            Object,
            ObjectId, //
        },
        keys::digest_of, //
    },
};

/// Upper bound for a ticket in its canonical form, in bytes. The object API
/// stores values up to 1 MB, and a filed ticket adds the revision that accepted
/// it.
pub const MAX_TICKET_BYTES: usize = 990_000;

/// A configuration change with the complete new state of every object that it
/// touches.
///
/// ```
/// use yuccalatch::version::ticket::Ticket;
///
/// let text = r#"{"ticket": 7, "author": "ines", "comment": "Withdraw a key",
///     "set": [], "remove": [{"kind": "key", "name": "acme-1"}]}"#;
/// let ticket: Ticket = serde_json::from_str(text).unwrap();
/// assert_eq!(ticket.touched().count(), 1);
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Number, unique for ever.
    pub ticket: u64,
    /// Operator who wrote the ticket.
    pub author: Name,
    /// Reason of the change.
    pub comment: String,
    /// Objects to create or replace.
    pub set: Vec<Object>,
    /// Objects to remove.
    pub remove: Vec<ObjectId>,
}

impl Ticket {
    /// Returns the ids of all objects that the ticket sets or removes.
    pub fn touched(&self) -> impl Iterator<Item = ObjectId> {
        let set = self.set.iter().map(Object::id);
        set.chain(self.remove.iter().cloned())
    }

    /// Returns the canonical form, which does not depend on the layout of the
    /// file the ticket came from.
    pub fn to_canonical(&self) -> Vec<u8> {
        // Serialising these types cannot fail: they have no maps with keys
        // that are not text.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the content digest, the SHA-256 of the canonical form.
    pub fn digest(&self) -> Digest {
        digest_of(&self.to_canonical())
    }
}
