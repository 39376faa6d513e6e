//! Names and identifiers shared by all modules.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};
use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

/// Shared immutable name of an organisation, target, route and so on.
pub type Name = Arc<str>;

/// Random id of one run of a process, drawn when it starts. It is written in
/// hexadecimal, and as a number in binary messages.
///
/// ```
/// use yuccalatch::names::Incarnation;
///
/// let incarnation = Incarnation(0x2a);
/// assert_eq!(incarnation.to_string(), "000000000000002a");
/// assert_eq!("000000000000002a".parse(), Ok(incarnation));
/// assert_eq!(postcard::to_stdvec(&incarnation).unwrap(), [0x2a]);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        u64::deserialize(deserializer).map(Self)
    }
}

impl Incarnation {
    /// Draws a random incarnation.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    ///
    /// assert_ne!(Incarnation::random(), Incarnation::random());
    /// ```
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 16 {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Error for a text that is not a valid identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid identifier")
    }
}

impl std::error::Error for ParseIdError {}

/// Identifies one attempt to run a request on one target.
///
/// The sequence number grows within an entry incarnation, so that an agent can
/// refuse late copies of attempts whose record it has dropped.
///
/// ```
/// use yuccalatch::names::{AttemptId, Incarnation};
///
/// let id = AttemptId { entry: Incarnation(1), sequence: 2 };
/// assert_eq!(id.to_string().parse(), Ok(id));
/// ```
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct AttemptId {
    /// Incarnation of the entry that made the attempt.
    pub entry: Incarnation,
    /// Position within the entry incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.entry, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, sequence) = text.split_once('-').ok_or(ParseIdError)?;
        Ok(Self {
            entry: entry.parse()?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| ParseIdError)?,
        })
    }
}

/// SHA-256 or BLAKE3 digest, written in hexadecimal.
#[serde_with::serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
