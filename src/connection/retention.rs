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

/// Upper bound for the unacknowledged part of one stream.
pub const MAX_RETAINED_BYTES: usize = 1 << 20;

/// Upper bound for one chunk; a larger read from the target is split.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Charge for the bookkeeping of one chunk, on both sides. Without it, a target
/// that sends single bytes would occupy many times the bound.
pub const CHUNK_OVERHEAD_BYTES: usize = 64;

/// Why a stream cannot be resumed from a number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumeRefusal {
    /// The chunk was acknowledged and dropped.
    Released {
        /// First number that is still available.
        first: u64,
    },
    /// The number lies beyond the end of what the target has sent.
    Ahead {
        /// Next number that the target's data will get.
        next: u64,
    },
}

impl fmt::Display for ResumeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Released { first } => write!(f, "chunks below {first} are released"),
            Self::Ahead { next } => write!(f, "chunk {next} does not exist yet"),
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

/// Position of one connection in the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cursor {
    next: u64,
    head_due: bool,
    ended: bool,
}

/// Retained part of one response.
#[derive(Debug, Default)]
pub struct RetainedResponse {
    head: Option<ResponseHead>,
    chunks: VecDeque<Bytes>,
    first: u64,
    retained_bytes: usize,
    ending: Option<Ending>,
}

impl RetainedResponse {
    /// Starts an empty response.
    ///
    /// ```
    /// use yuccalatch::connection::{frame::Frame, retention::RetainedResponse};
    ///
    /// let mut retention = RetainedResponse::new();
    /// assert_eq!(retention.push(b"a".as_slice().into()).unwrap(), 0);
    /// retention.finish();
    /// let mut cursor = retention.resume(1).unwrap();
    /// let frame = retention.next_frame(&mut cursor).unwrap();
    /// assert_eq!(frame, Some(Frame::End { chunks: 1 }));
    /// assert!(retention.resume(0).is_err());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the status and headers of the target's answer.
    pub fn set_head(&mut self, head: ResponseHead) {
        self.head = Some(head);
    }

    /// Returns whether the next read from the target fits; when not, stop
    /// reading, so that the target is slowed down.
    pub const fn can_push(&self) -> bool {
        self.ending.is_none()
            && self.retained_bytes + MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES <= MAX_RETAINED_BYTES
    }

    /// Appends a chunk and returns its number.
    ///
    /// The data should not be a small slice of a large buffer, because the
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

    /// Marks the response as complete.
    pub fn finish(&mut self) {
        self.ending.get_or_insert(Ending::Complete);
    }

    /// Marks the response as failed.
    pub fn fail(&mut self, kind: ErrorKind) {
        self.ending.get_or_insert(Ending::Failed(kind));
    }

    /// Returns the number that the next chunk gets.
    pub fn next_sequence(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Returns the bytes charged against [`MAX_RETAINED_BYTES`].
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Drops the chunks below a number that the entry has received. A late
    /// acknowledgement of less is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] for a number that was never sent.
    pub fn acknowledge(&mut self, next: u64) -> Result<()> {
        if next > self.next_sequence() {
            return Err(Report::new(ErrorKind::BadRequest).attach("acknowledges unsent chunks"));
        }
        while self.first < next
            && let Some(data) = self.chunks.pop_front()
        {
            self.retained_bytes -= data.len() + CHUNK_OVERHEAD_BYTES;
            self.first += 1;
        }
        Ok(())
    }

    /// Returns whether the response has ended and every chunk is acknowledged.
    pub fn is_delivered(&self) -> bool {
        self.ending.is_some() && self.chunks.is_empty()
    }

    /// Positions a new connection at a chunk.
    ///
    /// An entry that asks for a number holds everything below it, so this also
    /// acknowledges. It replaces an acknowledgement that was lost together with
    /// the old connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ResumeRefusal`] when the stream cannot continue there.
    pub fn resume(&mut self, from: u64) -> std::result::Result<Cursor, ResumeRefusal> {
        if from < self.first {
            return Err(ResumeRefusal::Released { first: self.first });
        }
        let next = self.next_sequence();
        self.acknowledge(from)
            .map_err(|_| ResumeRefusal::Ahead { next })?;
        Ok(Cursor {
            next: from,
            head_due: true,
            ended: false,
        })
    }

    /// Returns the next frame for a connection, or `None` when the target has
    /// not sent more yet or the stream is over.
    ///
    /// # Errors
    ///
    /// Returns [`ResumeRefusal::Released`] on a connection that was superseded
    /// by a later one.
    pub fn next_frame(
        &self,
        cursor: &mut Cursor,
    ) -> std::result::Result<Option<Frame>, ResumeRefusal> {
        if cursor.ended {
            return Ok(None);
        }
        if cursor.head_due
            && let Some(head) = &self.head
        {
            cursor.head_due = false;
            return Ok(Some(Frame::Head(head.clone())));
        }
        let Some(offset) = cursor.next.checked_sub(self.first) else {
            return Err(ResumeRefusal::Released { first: self.first });
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
        cursor.ended = frame.is_some();
        Ok(frame)
    }
}
