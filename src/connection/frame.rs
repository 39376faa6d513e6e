//! Frames of the response stream from agent to entry.
//!
//! A frame is a 4-byte big-endian length followed by a postcard-encoded
//! [`Frame`].

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
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
        Incarnation,
        Name, //
    },
};

/// Upper bound for the body of one frame; a longer one is a protocol error.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Status, headers and engine data, sent as the first frame of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResponseHead {
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Headers of the target's answer that are passed to the caller.
    pub headers: Vec<(String, String)>,
    /// Blocks of the prompt that the engine found in its cache.
    pub matched_blocks: u32,
    /// Blocks of the prompt that the attempt's head names.
    pub prompt_blocks: u32,
    /// Incarnation of the engine's cache.
    pub engine_incarnation: Incarnation,
    /// Time the attempt waited in the agent's queue, in microseconds.
    pub queued_us: u64,
    /// Version that runs the attempt.
    pub version: Name,
    /// Whether the agent is shutting down and takes no further attempts.
    pub leaving: bool,
}

/// One unit of the response stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// The target has answered with a status and headers.
    Head(ResponseHead),
    /// Part of the body.
    Chunk {
        /// Number of the chunk in the stream, from zero.
        sequence: u64,
        /// Body bytes.
        data: Bytes,
    },
    /// Shows that the connection is alive while there is no data.
    Heartbeat,
    /// The body is complete.
    End {
        /// Number of chunks in the stream.
        chunks: u64,
    },
    /// The attempt failed; no further frame follows.
    Failed {
        /// Kind of the failure.
        kind: ErrorKind,
    },
}

/// Appends a frame to a buffer.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when the frame exceeds [`MAX_FRAME_BYTES`].
///
/// ```
/// use bytes::BytesMut;
/// use yuccalatch::connection::frame::{decode, encode, Frame};
///
/// let mut buffer = BytesMut::new();
/// encode(&Frame::Heartbeat, &mut buffer).unwrap();
/// assert_eq!(decode(&mut buffer).unwrap(), Some(Frame::Heartbeat));
/// assert_eq!(decode(&mut buffer).unwrap(), None);
/// ```
pub fn encode(frame: &Frame, buffer: &mut BytesMut) -> Result<()> {
    let body = postcard::to_stdvec(frame).change_context(ErrorKind::Internal)?;
    let length = u32::try_from(body.len()).change_context(ErrorKind::Internal)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(error_stack::Report::new(ErrorKind::Internal).attach("frame too large"));
    }
    buffer.reserve(LENGTH_BYTES + body.len());
    buffer.put_u32(length);
    buffer.put_slice(&body);
    Ok(())
}

/// Takes the next complete frame from a buffer, or returns `None` when more
/// bytes are needed.
///
/// # Errors
///
/// Returns [`ErrorKind::StreamBroken`] when the bytes are not a valid frame.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(error_stack::Report::new(ErrorKind::StreamBroken).attach("frame too large"));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    postcard::from_bytes(&body)
        .map(Some)
        .change_context(ErrorKind::StreamBroken)
}
