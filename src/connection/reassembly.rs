//! The entry's side of a response stream: accepts every chunk once and in order.

use bytes::Bytes;
use error_stack::Report;

use crate::{
    connection::{
        frame::{
            Frame,
            ResponseHead, //
        },
        retention::CHUNK_OVERHEAD_BYTES, //
    },
    error::{
        ErrorKind,
        Result, //
    },
};

/// Received bytes after which an acknowledgement is due. This is far below the
/// agent's bound, so the target does not wait for acknowledgements in transit.
pub const ACKNOWLEDGE_BYTES: usize = 128 << 10;

/// Part of the response that a frame adds.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// Status and headers; returned once, even if a resumed stream repeats them.
    Head(ResponseHead),
    /// Next bytes of the body.
    Data(Bytes),
    /// Nothing: a heartbeat, or a frame that was already received.
    Nothing,
    /// The body is complete.
    End,
    /// The attempt failed.
    Failed(ErrorKind),
}

/// State of one response, kept across all its connections.
#[derive(Debug, Default)]
pub struct Reassembly {
    head: Option<ResponseHead>,
    next_sequence: u64,
    unacknowledged_bytes: usize,
    is_acknowledgement_due: bool,
    ending: Option<Frame>,
}

impl Reassembly {
    /// Starts with an empty response.
    ///
    /// ```
    /// use yuccalatch::connection::{frame::Frame, reassembly::Reassembly};
    ///
    /// let mut reassembly = Reassembly::new();
    /// assert!(reassembly.accept(Frame::End { chunks: 1 }).is_err());
    /// assert_eq!(reassembly.next_sequence(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the chunk to resume from.
    pub const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns whether the response is complete or has failed. A connection that
    /// closes before has to be resumed.
    pub const fn is_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Processes the next frame of a connection.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::StreamBroken`] for a gap, a wrong chunk count, a
    /// second head that differs, or data before the head or after the end. The
    /// state stays as it was, so a new connection can resume.
    pub fn accept(&mut self, frame: Frame) -> Result<ResponsePart> {
        match frame {
            Frame::Heartbeat => Ok(ResponsePart::Nothing),
            Frame::Head(head) => self.accept_head(head),
            Frame::Chunk { sequence, data } => self.accept_chunk(sequence, data),
            Frame::End { .. } | Frame::Failed { .. } => self.accept_ending(frame),
        }
    }

    /// Returns the number below which all chunks are to be acknowledged, if an
    /// acknowledgement is due.
    pub fn take_acknowledgement(&mut self) -> Option<u64> {
        if !self.is_acknowledgement_due {
            return None;
        }
        self.is_acknowledgement_due = false;
        self.unacknowledged_bytes = 0;
        Some(self.next_sequence)
    }

    /// Records that the last acknowledgement may not have arrived, so that it is
    /// sent again. Otherwise the agent could wait for it forever.
    pub fn record_lost_acknowledgement(&mut self) {
        self.is_acknowledgement_due = true;
    }

    fn accept_head(&mut self, head: ResponseHead) -> Result<ResponsePart> {
        match &self.head {
            None => {
                self.head = Some(head.clone());
                Ok(ResponsePart::Head(head))
            }
            Some(previous) if *previous == head => Ok(ResponsePart::Nothing),
            Some(_) => Err(stream_broken("second head differs")),
        }
    }

    fn accept_chunk(&mut self, sequence: u64, data: Bytes) -> Result<ResponsePart> {
        if sequence < self.next_sequence {
            return Ok(ResponsePart::Nothing);
        }
        if self.head.is_none() {
            return Err(stream_broken("chunk before the head"));
        }
        if self.ending.is_some() {
            return Err(stream_broken("chunk after the end"));
        }
        if sequence > self.next_sequence {
            return Err(stream_broken("gap between chunks"));
        }
        self.next_sequence += 1;
        // Charges a chunk with the same size as the agent does, so that the
        // acknowledgement is due long before the agent's buffer is full.
        self.unacknowledged_bytes += data.len() + CHUNK_OVERHEAD_BYTES;
        self.is_acknowledgement_due |= self.unacknowledged_bytes >= ACKNOWLEDGE_BYTES;
        Ok(ResponsePart::Data(data))
    }

    fn accept_ending(&mut self, frame: Frame) -> Result<ResponsePart> {
        if let Some(previous) = &self.ending {
            return if *previous == frame {
                Ok(ResponsePart::Nothing)
            } else {
                Err(stream_broken("second end differs"))
            };
        }
        let accepted = match frame {
            Frame::Failed { kind } => ResponsePart::Failed(kind),
            Frame::End { chunks } if chunks == self.next_sequence && self.head.is_some() => {
                ResponsePart::End
            }
            _ => {
                return Err(stream_broken("end with a wrong chunk count"));
            }
        };
        self.ending = Some(frame);
        self.is_acknowledgement_due = true;
        Ok(accepted)
    }
}

fn stream_broken(reason: &'static str) -> Report<ErrorKind> {
    Report::new(ErrorKind::StreamBroken).attach(reason)
}
