//! Failures of calls to the object API.

use std::fmt;

use ntex::client::error::{
    ClientError,
    ConnectError, //
};

use super::wire::ObjectVersion;
use crate::{
    error::ErrorKind,
    names::Name, //
};

/// Why a call to the object API failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The condition does not hold; the write had no effect.
    Conflict {
        /// Version of the object, or none when it does not exist.
        current: Option<ObjectVersion>,
    },
    /// The object API cannot be reached; a write had no effect.
    Unavailable(String),
    /// No valid answer arrived; a write may have taken effect, now or later.
    AnswerLost(String),
    /// The object API refused the request as invalid or answered garbage; a
    /// write had no effect.
    Malformed(String),
    /// The value exceeds [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES).
    TooLarge,
    /// The text is not a valid key or prefix.
    InvalidKey(Name),
}

impl PlatformError {
    /// Returns whether a write that failed like this may have taken effect.
    ///
    /// ```
    /// use yuccalatch::process::platform::PlatformError;
    ///
    /// assert!(PlatformError::AnswerLost("timeout".into()).is_outcome_unknown());
    /// assert!(!PlatformError::Conflict { current: None }.is_outcome_unknown());
    /// ```
    pub const fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::AnswerLost(_))
    }

    /// Returns the kind that callers and operators see.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Conflict { .. } => ErrorKind::PlatformConflict,
            Self::Unavailable(_) | Self::AnswerLost(_) | Self::Malformed(_) => {
                ErrorKind::PlatformUnavailable
            }
            Self::TooLarge | Self::InvalidKey(_) => ErrorKind::TicketInvalid,
        }
    }

    pub(super) fn from_client(error: ClientError) -> Self {
        let reason = error.to_string();
        match error {
            // This error also stands for a connection that closes after the
            // request was sent.
            ClientError::Connect(ConnectError::Disconnected(None)) => Self::AnswerLost(reason),
            ClientError::Url(_) | ClientError::Connect(_) => Self::Unavailable(reason),
            _ => Self::AnswerLost(reason),
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current: None } => f.write_str("the object does not exist"),
            Self::Conflict {
                current: Some(version),
            } => write!(f, "the object has version {version}"),
            Self::Unavailable(reason) => write!(f, "the object API is unavailable: {reason}"),
            Self::AnswerLost(reason) => write!(f, "the answer of the object API is lost: {reason}"),
            Self::Malformed(reason) => write!(f, "the object API answered garbage: {reason}"),
            Self::TooLarge => f.write_str("the value is too large"),
            Self::InvalidKey(key) => write!(f, "`{key}` is not a valid key"),
        }
    }
}

impl std::error::Error for PlatformError {}
