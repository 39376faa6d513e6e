//! Splits a stream of server-sent events at event boundaries.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Largest size of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most bytes of complete events without an id, such as comments, between two events
/// that have one. A target may send them without end.
const MAX_UNNUMBERED_BYTES: usize = 64 << 10;

/// Complete consecutive events of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// Bytes of the events, unchanged.
    pub data: Bytes,
    /// Id of the last of these events that has one.
    pub last_id: Option<u64>,
}

/// Failure to split a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SplitError {
    /// An incomplete event is larger than what is buffered.
    TooLong,
    /// Too many bytes arrived without an event that has an id.
    NoProgress,
    /// An event's id is not one more than the previous event's.
    OutOfOrder,
}

/// Splits the bytes of a stream into complete events. An incomplete event is held
/// back, so that another target can resume a broken stream after the last complete
/// event.
///
/// ```
/// use yuccalatch::direct::events::EventSplitter;
///
/// let mut splitter = EventSplitter::new(None);
/// let batch = splitter.push(b"id: 0\ndata: a\n\nid: 1\nda").unwrap().unwrap();
/// assert_eq!(&batch.data[..], b"id: 0\ndata: a\n\n");
/// assert_eq!(batch.last_id, Some(0));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
    /// Bytes of complete events since the last one with an id.
    unnumbered_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event with the given id,
    /// or starts at its first event.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
            unnumbered_bytes: 0,
        }
    }

    /// Appends bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long or out of order, or when too many bytes arrive
    /// without an event that has an id.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<EventBatch>, SplitError> {
        self.buffer.extend_from_slice(data);
        let end = end_of_last_event(&self.buffer);
        if self.buffer.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        let Some(end) = end else {
            return Ok(None);
        };
        let data = self.buffer.split_to(end).freeze();
        let mut batch_id = None;
        for id in event_ids(&data) {
            if self.last_id.is_some_and(|last| id != last + 1) {
                return Err(SplitError::OutOfOrder);
            }
            self.last_id = Some(id);
            batch_id = Some(id);
        }
        self.unnumbered_bytes = match batch_id {
            Some(_) => 0,
            None => self.unnumbered_bytes + data.len(),
        };
        if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
            return Err(SplitError::NoProgress);
        }
        Ok(Some(EventBatch {
            data,
            last_id: batch_id,
        }))
    }

    /// Returns the id of the last complete event that has one.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the last empty line, which ends an event.
fn end_of_last_event(data: &[u8]) -> Option<usize> {
    let lf = data.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = data.windows(4).rposition(|part| part == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}

/// Returns the ids of the events that have one.
fn event_ids(data: &[u8]) -> impl Iterator<Item = u64> {
    data.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
