//! Chunks of a response that the agent keeps until the entry acknowledges them.

use std::{
    collections::VecDeque,
    fmt, //
};

use bytes::Bytes;
use error_stack::Report;

use crate::{
    connection::frame::{
        Frame,
        ResponseHead, //
    },
    error::{
        ErrorKind,
        Result, //
    },
};

/// Upper bound for the unacknowledged chunks of one stream.
pub const MAX_RETAINED_BYTES: usize = 1 << 20;

/// Upper bound for one chunk; a larger read from the target is split.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Memory charged for each chunk besides its data, by agent and entry alike.
/// Without it, a target that sends single bytes would occupy many times the bound.
pub const CHUNK_OVERHEAD_BYTES: usize = 64;

/// Why a stream cannot be resumed from a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumeRefusal {
    /// The chunk was acknowledged and dropped.
    Released {
        /// Number of the first chunk that is still retained.
        first: u64,
    },
    /// The target has not sent that many chunks yet.
    Ahead {
        /// Number that the target's next chunk will get.
        next: u64,
    },
}

impl fmt::Display for ResumeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Released { first } => write!(
                f,
                "chunks below {first} are acknowledged and no longer retained"
            ),
            Self::Ahead { next } => {
                write!(f, "chunk {next} has not been received from the target yet")
            }
        }
    }
}

impl std::error::Error for ResumeRefusal {}

/// How a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Complete,
    Failed(ErrorKind),
}

/// Position of one connection in the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Number of the next chunk to send.
    next: u64,
    is_head_due: bool,
    /// Whether the last frame was returned.
    is_ended: bool,
}

/// Head and unacknowledged chunks of one response.
#[derive(Debug, Default)]
pub struct RetainedResponse {
    head: Option<ResponseHead>,
    chunks: VecDeque<Bytes>,
    /// Number of the first retained chunk.
    first_sequence: u64,
    retained_bytes: usize,
    ending: Option<Ending>,
}

impl RetainedResponse {
    /// Starts with an empty response.
    ///
    /// ```
    /// use yuccalatch::connection::{frame::Frame, retention::RetainedResponse};
    ///
    /// let mut retained = RetainedResponse::new();
    /// assert_eq!(retained.push(b"a".as_slice().into()).unwrap(), 0);
    /// retained.finish();
    /// let mut cursor = retained.resume(1).unwrap();
    /// let frame = retained.next_frame(&mut cursor).unwrap();
    /// assert_eq!(frame, Some(Frame::End { chunks: 1 }));
    /// assert!(retained.resume(0).is_err());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the status and headers of the target's answer.
    pub fn set_head(&mut self, head: ResponseHead) {
        self.head = Some(head);
    }

    /// Returns whether a chunk of any allowed size fits. If not, the agent stops
    /// reading from the target, which slows the target down.
    pub const fn can_push(&self) -> bool {
        self.ending.is_none()
            && self.retained_bytes + MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES <= MAX_RETAINED_BYTES
    }

    /// Appends a chunk and returns its number.
    ///
    /// The data should not be a small slice of a large buffer, because the whole
    /// buffer stays in memory as long as the slice.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] when the chunk does not fit or the
    /// response has ended; [`RetainedResponse::can_push`] prevents both.
    pub fn push(&mut self, data: Bytes) -> Result<u64> {
        let charge_bytes = data.len() + CHUNK_OVERHEAD_BYTES;
        let fits = self.retained_bytes + charge_bytes <= MAX_RETAINED_BYTES;
        if self.ending.is_some() || data.len() > MAX_CHUNK_BYTES || !fits {
            return Err(Report::new(ErrorKind::Internal).attach("chunk does not fit"));
        }
        let sequence = self.next_sequence();
        self.retained_bytes += charge_bytes;
        self.chunks.push_back(data);
        Ok(sequence)
    }

    /// Marks the response as complete, unless it has ended already.
    pub fn finish(&mut self) {
        self.ending.get_or_insert(Ending::Complete);
    }

    /// Marks the response as failed, unless it has ended already.
    pub fn fail(&mut self, kind: ErrorKind) {
        self.ending.get_or_insert(Ending::Failed(kind));
    }

    /// Returns the number that the next chunk gets.
    pub fn next_sequence(&self) -> u64 {
        self.first_sequence + self.chunks.len() as u64
    }

    /// Returns the bytes charged against [`MAX_RETAINED_BYTES`].
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Drops the chunks below `next`, which the entry has received. A late
    /// acknowledgement with a lower number is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] for chunks that do not exist yet.
    pub fn acknowledge(&mut self, next: u64) -> Result<()> {
        if next > self.next_sequence() {
            return Err(Report::new(ErrorKind::BadRequest).attach("acknowledges unsent chunks"));
        }
        while self.first_sequence < next
            && let Some(data) = self.chunks.pop_front()
        {
            self.retained_bytes -= data.len() + CHUNK_OVERHEAD_BYTES;
            self.first_sequence += 1;
        }
        Ok(())
    }

    /// Returns whether the response has ended and every chunk is acknowledged.
    pub fn is_delivered(&self) -> bool {
        self.ending.is_some() && self.chunks.is_empty()
    }

    /// Returns the position for a new connection that starts at chunk `from`.
    ///
    /// An entry that asks for a chunk has received all chunks below it, so this also
    /// acknowledges them. It replaces an acknowledgement that was lost together with
    /// the old connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ResumeRefusal`] when the stream cannot resume there.
    pub fn resume(&mut self, from: u64) -> std::result::Result<Cursor, ResumeRefusal> {
        if from < self.first_sequence {
            return Err(ResumeRefusal::Released {
                first: self.first_sequence,
            });
        }
        let next = self.next_sequence();
        self.acknowledge(from)
            .map_err(|_| ResumeRefusal::Ahead { next })?;
        Ok(Cursor {
            next: from,
            is_head_due: true,
            is_ended: false,
        })
    }

    /// Returns the next frame for a connection, or `None` when the target has not
    /// sent more yet or the last frame was returned before.
    ///
    /// # Errors
    ///
    /// Returns [`ResumeRefusal::Released`] on a connection that was replaced by a
    /// later one.
    pub fn next_frame(
        &self,
        cursor: &mut Cursor,
    ) -> std::result::Result<Option<Frame>, ResumeRefusal> {
        if cursor.is_ended {
            return Ok(None);
        }
        if cursor.is_head_due
            && let Some(head) = &self.head
        {
            cursor.is_head_due = false;
            return Ok(Some(Frame::Head(head.clone())));
        }
        let Some(offset) = cursor.next.checked_sub(self.first_sequence) else {
            return Err(ResumeRefusal::Released {
                first: self.first_sequence,
            });
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if let Some(data) = self.chunks.get(offset) {
            let sequence = cursor.next;
            cursor.next += 1;
            let data = data.clone();
            return Ok(Some(Frame::Chunk { sequence, data }));
        }
        let frame = self.ending.map(|ending| match ending {
            Ending::Complete => Frame::End {
                chunks: self.next_sequence(),
            },
            Ending::Failed(kind) => Frame::Failed { kind },
        });
        cursor.is_ended = frame.is_some();
        Ok(frame)
    }
}
