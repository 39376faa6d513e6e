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

/// Complete consecutive events of a stream that are in order. [`StreamPosition::pass_on`]
/// returns their bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    data: Bytes,
    /// Id of the last of these events that has one.
    last_id: Option<u64>,
    /// Whether one of these events has content and no id.
    has_unnumbered_content: bool,
    /// Whether the last id follows another one.
    is_confirmed: bool,
}

impl EventBatch {
    /// Returns the size in bytes.
    ///
    /// ```
    /// use yuccalatch::direct::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::new(None);
    /// splitter.push(b"id: 0\n\n");
    /// assert_eq!(splitter.next_batch().unwrap().unwrap().size_bytes(), 7);
    /// ```
    pub fn size_bytes(&self) -> usize {
        self.data.len()
    }
}

/// Last event of a stream that was passed on to the caller, which is where another target
/// continues the stream. It moves only when the bytes of events are taken to pass them on.
///
/// ```
/// use yuccalatch::direct::events::{EventSplitter, StreamPosition};
///
/// let mut splitter = EventSplitter::new(Some(0));
/// let mut position = StreamPosition::new(Some(0));
/// splitter.push(b"id: 1\ndata: a\n\nid: 7\ndata: b\n\n");
/// let sound = splitter.next_batch().unwrap().unwrap();
/// assert_eq!(position.last_id(), Some(0));
/// assert_eq!(&position.pass_on(sound)[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(position.last_id(), Some(1));
/// assert!(splitter.next_batch().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamPosition {
    last_id: Option<u64>,
    /// Whether content without an id was passed on after the last event that has one.
    has_unnumbered_content: bool,
    /// Whether the last id follows another one.
    is_confirmed: bool,
}

/// Place from which another target continues a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// Id of the last event that the caller has received, `None` before the first one.
    pub last_id: Option<u64>,
}

impl StreamPosition {
    /// Creates the position of a caller that has received the events up to the one with
    /// the given id, or none.
    pub const fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            has_unnumbered_content: false,
            is_confirmed: last_id.is_some(),
        }
    }

    /// Moves past the events of a batch and returns their bytes, unchanged.
    pub fn pass_on(&mut self, batch: EventBatch) -> Bytes {
        self.last_id = batch.last_id.or(self.last_id);
        self.is_confirmed |= batch.is_confirmed;
        self.has_unnumbered_content =
            batch.has_unnumbered_content || self.has_unnumbered_content && batch.last_id.is_none();
        batch.data
    }

    /// Returns where another target continues the stream, `None` when the caller has
    /// received content whose place in the stream is not known. `is_contradicted` is
    /// whether an event with another id than the next one has followed: of two ids that
    /// contradict each other, nobody knows which one is right.
    ///
    /// ```
    /// use yuccalatch::direct::events::{EventSplitter, StreamPosition};
    ///
    /// let mut splitter = EventSplitter::new(None);
    /// let mut position = StreamPosition::new(None);
    /// assert_eq!(position.resume_point(false).unwrap().last_id, None);
    /// splitter.push(b"data: a\n\n");
    /// position.pass_on(splitter.next_batch().unwrap().unwrap());
    /// assert_eq!(position.resume_point(false), None);
    /// ```
    pub fn resume_point(&self, is_contradicted: bool) -> Option<ResumePoint> {
        let last_id = self.last_id;
        let is_doubtful = is_contradicted && last_id.is_some() && !self.is_confirmed;
        (!self.has_unnumbered_content && !is_doubtful).then_some(ResumePoint { last_id })
    }

    /// Returns the id of the last event that was passed on and has one.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }
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
    /// An event has an id that cannot be read, several ids, or content without an id in a
    /// stream whose events have ids.
    Malformed,
}

/// Splits the bytes of a stream into complete events. An incomplete event is held
/// back, so that another target can resume a broken stream after the last complete
/// event.
///
/// ```
/// use yuccalatch::direct::events::EventSplitter;
///
/// let mut splitter = EventSplitter::new(None);
/// splitter.push(b"id: 0\ndata: a\n\nid: 1\nda");
/// assert!(splitter.next_batch().unwrap().is_some());
/// assert_eq!(splitter.next_batch(), Ok(None));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    progress: Progress,
}

/// How far a stream was split.
#[derive(Clone, Copy, Debug)]
struct Progress {
    last_id: Option<u64>,
    /// Bytes of complete events since the last one with an id.
    unnumbered_bytes: usize,
    /// Whether one of these events has content.
    has_unnumbered_content: bool,
    /// Whether the last id follows another one.
    is_confirmed: bool,
}

impl Progress {
    /// Moves past a complete event.
    fn accept(&mut self, event: &[u8]) -> Result<(), SplitError> {
        let lines = read_lines(event)?;
        let Some(id) = lines.id else {
            if lines.has_content && self.last_id.is_some() {
                return Err(SplitError::Malformed);
            }
            self.has_unnumbered_content |= lines.has_content;
            self.unnumbered_bytes += event.len();
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
                return Err(SplitError::NoProgress);
            }
            return Ok(());
        };
        if self
            .last_id
            .is_some_and(|last| last.checked_add(1) != Some(id))
        {
            return Err(SplitError::OutOfOrder);
        }
        self.is_confirmed |= self.last_id.is_some();
        self.last_id = Some(id);
        self.has_unnumbered_content = false;
        self.unnumbered_bytes = 0;
        Ok(())
    }
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event with the given id,
    /// or starts at its first event.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            progress: Progress {
                last_id,
                unnumbered_bytes: 0,
                has_unnumbered_content: false,
                is_confirmed: last_id.is_some(),
            },
        }
    }

    /// Appends bytes that a target sent.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the complete events that are in order, `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the next event is too long, malformed or out of order, or when too many
    /// bytes arrive without an event that has an id. The events before it have been
    /// returned.
    pub fn next_batch(&mut self) -> Result<Option<EventBatch>, SplitError> {
        let mut length = 0;
        let first_progress = self.progress;
        while let Some(event_length) = first_event_length(&self.buffer[length..]) {
            let mut progress = self.progress;
            let end = length + event_length;
            match progress.accept(&self.buffer[length..end]) {
                Ok(()) => self.progress = progress,
                // Of a first id and one that contradicts it, either may be wrong.
                Err(error) if length == 0 || !self.progress.is_confirmed => {
                    self.progress = first_progress;
                    return Err(error);
                }
                Err(_) => break,
            }
            length = end;
        }
        if length == 0 {
            let is_too_long = self.buffer.len() > MAX_EVENT_BYTES;
            return if is_too_long {
                Err(SplitError::TooLong)
            } else {
                Ok(None)
            };
        }
        let is_numbered = self.progress.last_id != first_progress.last_id;
        Ok(Some(EventBatch {
            data: self.buffer.split_to(length).freeze(),
            last_id: self.progress.last_id.filter(|_| is_numbered),
            has_unnumbered_content: self.progress.has_unnumbered_content,
            is_confirmed: self.progress.is_confirmed,
        }))
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first complete event. A blank line that follows the end of an
/// event counts as an event without lines.
fn first_event_length(data: &[u8]) -> Option<usize> {
    let blank_line = [&b"\n"[..], b"\r\n"];
    if let Some(line) = blank_line.iter().find(|line| data.starts_with(line)) {
        return Some(line.len());
    }
    let lf = data.windows(2).position(|pair| pair == b"\n\n");
    let crlf = data.windows(4).position(|part| part == b"\r\n\r\n");
    let ends = [lf.map(|at| at + 2), crlf.map(|at| at + 4)];
    ends.into_iter().flatten().min()
}

/// What the lines of an event say about its place in the stream.
struct EventLines {
    id: Option<u64>,
    /// Whether there are lines other than the id, comments and the pause before a caller
    /// connects again.
    has_content: bool,
}

/// Reads the lines of an event. Fails when it has an id that cannot be read, or several.
fn read_lines(event: &[u8]) -> Result<EventLines, SplitError> {
    let mut lines = EventLines {
        id: None,
        has_content: false,
    };
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.trim_ascii_end();
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        match name {
            b"" | b"retry" => {}
            b"id" => {
                let value = value.strip_prefix(b":").unwrap_or_default();
                let id = std::str::from_utf8(value.trim_ascii()).ok();
                let id = id.and_then(|id| id.parse().ok());
                if id.is_none() || lines.id.is_some() {
                    return Err(SplitError::Malformed);
                }
                lines.id = id;
            }
            _ => lines.has_content = true,
        }
    }
    Ok(lines)
}
