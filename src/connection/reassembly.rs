//! The entry's side of a response stream: every chunk once and in order.

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

/// Received bytes after which an acknowledgement is due. Far below the agent's
/// bound, so that the target does not wait for acknowledgements in transit.
pub const ACKNOWLEDGE_BYTES: usize = 128 << 10;

/// What a frame adds to the response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// Status and headers, for the first time.
    Head(ResponseHead),
    /// The next part of the body.
    Data(Bytes),
    /// Nothing: a heartbeat, or a frame that was already received.
    Nothing,
    /// The body is complete.
    End,
    /// The attempt failed.
    Failed(ErrorKind),
}

/// State of one response across all its connections.
#[derive(Debug, Default)]
pub struct Reassembly {
    head: Option<ResponseHead>,
    next: u64,
    unacknowledged_bytes: usize,
    acknowledge_due: bool,
    ending: Option<Frame>,
}

impl Reassembly {
    /// Starts a response.
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

    /// Returns the number to resume from.
    pub const fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns whether the response has ended or failed. A connection that
    /// closes earlier has to be resumed.
    pub const fn is_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Takes the next frame of a connection.
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

    /// Returns the number up to which to acknowledge, when that is due.
    pub fn take_acknowledgement(&mut self) -> Option<u64> {
        if !self.acknowledge_due {
            return None;
        }
        self.acknowledge_due = false;
        self.unacknowledged_bytes = 0;
        Some(self.next)
    }

    /// Notes that the last acknowledgement may not have arrived, so that it is
    /// sent again. Otherwise the agent could wait for it forever.
    pub fn record_lost_acknowledgement(&mut self) {
        self.acknowledge_due = true;
    }

    fn accept_head(&mut self, head: ResponseHead) -> Result<ResponsePart> {
        match &self.head {
            None => {
                self.head = Some(head.clone());
                Ok(ResponsePart::Head(head))
            }
            Some(known) if *known == head => Ok(ResponsePart::Nothing),
            Some(_) => Err(broken("second head differs")),
        }
    }

    fn accept_chunk(&mut self, sequence: u64, data: Bytes) -> Result<ResponsePart> {
        if sequence < self.next {
            return Ok(ResponsePart::Nothing);
        }
        if self.head.is_none() {
            return Err(broken("chunk before the head"));
        }
        if self.ending.is_some() {
            return Err(broken("chunk after the end"));
        }
        if sequence > self.next {
            return Err(broken("gap between chunks"));
        }
        self.next += 1;
        // Counts the same charge as the agent, so that the acknowledgement is
        // due long before the agent's buffer is full.
        self.unacknowledged_bytes += data.len() + CHUNK_OVERHEAD_BYTES;
        self.acknowledge_due |= self.unacknowledged_bytes >= ACKNOWLEDGE_BYTES;
        Ok(ResponsePart::Data(data))
    }

    fn accept_ending(&mut self, frame: Frame) -> Result<ResponsePart> {
        if let Some(known) = &self.ending {
            return if *known == frame {
                Ok(ResponsePart::Nothing)
            } else {
                Err(broken("second end differs"))
            };
        }
        let accepted = match frame {
            Frame::Failed { kind } => ResponsePart::Failed(kind),
            Frame::End { chunks } if chunks == self.next && self.head.is_some() => {
                ResponsePart::End
            }
            _ => return Err(broken("end with a wrong chunk count")),
        };
        self.ending = Some(frame);
        self.acknowledge_due = true;
        Ok(accepted)
    }
}

fn broken(reason: &'static str) -> Report<ErrorKind> {
    Report::new(ErrorKind::StreamBroken).attach(reason)
}
