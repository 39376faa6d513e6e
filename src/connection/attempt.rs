//! Description of an attempt, which the entry sends to the agent in one header.

use base64::{
    Engine as _,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use error_stack::ResultExt;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        AttemptId,
        Digest,
        Incarnation,
        Name, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Header with the encoded [`AttemptHead`].
pub const ATTEMPT_HEADER: &str = "x-yl-attempt";

/// Header that marks a request body as streamed: no process keeps a copy of it, so
/// it cannot be sent again.
pub const UPLOAD_HEADER: &str = "x-yl-upload";

/// Upper bound for the block hashes in a head. More would not fit into the 32 KiB
/// that HTTP servers commonly allow for a header section.
pub const MAX_HEAD_BLOCKS: usize = 1_024;

/// Answer of the object API about the record of an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// The record belongs to the agent of the attempt. The object API has answered
    /// throughout the idempotency window, so every earlier run has a record.
    Confirmed,
    /// The record belongs to the agent of the attempt. Earlier runs may have no
    /// record, because the object API has not answered throughout the window.
    Unconfirmed,
    /// The record was created by another agent or incarnation.
    Foreign,
    /// The object API did not answer, so this attempt may have no record.
    Silent,
}

/// Caller's idempotency key, the request it was sent with and the state of its
/// record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IdempotencyClaim {
    /// Digest of organisation, route and key.
    pub key: Digest,
    /// Digest of the request.
    pub request: Digest,
    /// State of the key's record in the object API.
    pub record: RecordState,
    /// Digest of the names of the targets from which the entry chose the agent.
    pub members_digest: u64,
    /// Time since the object API last answered any process whose reports reach the
    /// entry.
    pub api_silent_ms: u64,
}

/// Everything that the agent needs for an attempt besides the body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptHead {
    /// Unique to the attempt; a response is resumed under the same id.
    pub id: AttemptId,
    /// Agent incarnation that the attempt is sent to; any other refuses it.
    pub agent: Incarnation,
    /// Request id for logs and for the target.
    pub request_id: Name,
    /// Organisation that is charged, or the public organisation.
    pub organisation: Name,
    /// Weight of the organisation in the fair queue.
    pub weight: u32,
    /// Tokens that the request may use: the estimated prompt and the bound for the
    /// output.
    pub cost_tokens: u64,
    /// Version that the target has to run.
    pub version: Name,
    /// Cache namespace, derived from organisation and version.
    pub namespace: Namespace,
    /// Hashes of the first blocks of the prompt; empty if the request is no
    /// completion.
    pub blocks: Vec<BlockHash>,
    /// Remaining time for the attempt. A duration, because the clocks of two
    /// instances are not comparable.
    pub budget_ms: u64,
    /// Whether the route allows the request to run more than once.
    pub idempotent: bool,
    /// Present when the caller sent an idempotency key.
    pub idempotency: Option<IdempotencyClaim>,
    /// HTTP method of the request to the target.
    pub method: String,
    /// Path and query of the request to the target.
    pub path: String,
}

impl AttemptHead {
    /// Encodes the head as a header value.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] when the head cannot be serialised.
    ///
    /// ```
    /// use yuccalatch::connection::attempt::AttemptHead;
    /// use yuccalatch::names::{AttemptId, Incarnation};
    /// use yuccalatch::request::prompt::Namespace;
    ///
    /// let head = AttemptHead {
    ///     id: AttemptId { entry: Incarnation(1), sequence: 2 },
    ///     agent: Incarnation(3),
    ///     request_id: "r-1".into(),
    ///     organisation: "mill-a".into(),
    ///     weight: 1,
    ///     cost_tokens: 40,
    ///     version: "v1".into(),
    ///     namespace: Namespace::derive("mill-a", "v1"),
    ///     blocks: Vec::new(),
    ///     budget_ms: 1_000,
    ///     idempotent: true,
    ///     idempotency: None,
    ///     method: "POST".to_owned(),
    ///     path: "/v1/completions".to_owned(),
    /// };
    /// let value = head.encode().unwrap();
    /// assert_eq!(AttemptHead::decode(value.as_bytes()).unwrap(), head);
    /// ```
    pub fn encode(&self) -> Result<String> {
        let bytes = postcard::to_stdvec(self).change_context(ErrorKind::Internal)?;
        Ok(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Decodes a header value.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] when the value is not an encoded head.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let bytes = URL_SAFE_NO_PAD
            .decode(value)
            .change_context(ErrorKind::BadRequest)?;
        postcard::from_bytes(&bytes).change_context(ErrorKind::BadRequest)
    }
}
