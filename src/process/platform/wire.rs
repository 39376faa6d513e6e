//! Messages of the object API.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    base64::Base64,
    serde_as, //
};

use crate::names::Name;

/// Version of a stored object. It grows with every write to the object API.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// Returns the version as an `ETag` value.
    ///
    /// ```
    /// use yuccalatch::process::platform::ObjectVersion;
    ///
    /// let etag = ObjectVersion(7).to_etag();
    /// assert_eq!(etag, "\"7\"");
    /// assert_eq!(ObjectVersion::from_etag(&etag), Some(ObjectVersion(7)));
    /// ```
    pub fn to_etag(self) -> String {
        format!("\"{self}\"")
    }

    /// Reads a version from an `ETag` value.
    pub fn from_etag(text: &str) -> Option<Self> {
        let inner = text.strip_prefix('"')?.strip_suffix('"')?;
        inner.parse().ok().map(Self)
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A stored value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// Version of the value.
    pub version: ObjectVersion,
    /// The value.
    pub value: Bytes,
}

/// An object in a listing.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// Key of the object.
    pub key: Name,
    /// Version of the value.
    pub version: ObjectVersion,
    /// The value, in base64.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// Answer to a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Revision of the store at the time of the listing.
    pub revision: u64,
    /// Objects in the order of their keys.
    pub objects: Vec<ListedObject>,
    /// Whether more objects follow after the last key.
    pub more: bool,
}

/// A change of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Key of the object.
    pub key: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Whether the object was removed.
    pub removed: bool,
}

/// Answer to a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Revision to continue from.
    pub revision: u64,
    /// Last change of every object that changed, in the order of revisions.
    pub changes: Vec<Change>,
}

/// What an instance runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: Name,
    /// What it runs.
    pub role: InstanceRole,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Control listener of its process.
    pub control_address: std::net::SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}
