//! Incremental parser of server-sent events.

use bytes::{
    Bytes,
    BytesMut, //
};
use error_stack::Report;

use crate::error::{
    ErrorKind,
    Result, //
};

/// Upper bound for one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Byte order mark that may precede the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
    /// Bytes as received, with the blank line. A stream that forwards only these
    /// contains no incomplete event when its source is lost.
    pub raw: Bytes,
    /// The `data` fields, joined by line feeds; `None` if the event has none.
    pub data: Option<Bytes>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct SseParser {
    /// All bytes of the incomplete event.
    raw: BytesMut,
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    after_carriage_return: bool,
    has_first_line: bool,
}

impl SseParser {
    /// Starts at the beginning of a stream.
    ///
    /// ```
    /// use yuccalatch::request::openai::sse::SseParser;
    ///
    /// let mut parser = SseParser::new();
    /// assert!(parser.push(b"data: a\r\n").unwrap().is_empty());
    /// let events = parser.push(b"\r\nda").unwrap();
    /// assert_eq!(events[0].data.as_deref(), Some(b"a".as_slice()));
    /// assert!(parser.has_partial_event());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the next bytes and returns the events that they complete.
    ///
    /// The raw bytes of all events in order are the bytes of the stream, except for
    /// an incomplete event at the end.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::StreamBroken`] when an event exceeds
    /// [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>> {
        let mut events = Vec::new();
        for byte in bytes {
            if self.raw.len() == MAX_EVENT_BYTES {
                return Err(Report::new(ErrorKind::StreamBroken).attach("event too large"));
            }
            self.raw.extend_from_slice(&[*byte]);
            let completes_crlf = self.after_carriage_return && *byte == b'\n';
            self.after_carriage_return = *byte == b'\r';
            if completes_crlf {
                continue;
            }
            if !matches!(byte, b'\n' | b'\r') {
                self.line.push(*byte);
            } else if let Some(event) = self.end_line() {
                events.push(event);
            }
        }
        Ok(events)
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn has_partial_event(&self) -> bool {
        // The line feed of a final CR LF arrives after its event.
        !self.raw.is_empty() && self.raw.as_ref() != b"\n"
    }

    fn end_line(&mut self) -> Option<SseEvent> {
        let line = std::mem::take(&mut self.line);
        let line = if self.has_first_line {
            line.as_slice()
        } else {
            line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&line)
        };
        self.has_first_line = true;
        if line.is_empty() {
            return Some(self.end_event());
        }
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, [].as_slice()),
        };
        if name == b"data" {
            if self.has_data {
                self.data.push(b'\n');
            }
            self.has_data = true;
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.data.extend_from_slice(value);
        }
        None
    }

    fn end_event(&mut self) -> SseEvent {
        let data = std::mem::take(&mut self.data);
        SseEvent {
            raw: self.raw.split().freeze(),
            data: std::mem::take(&mut self.has_data).then(|| data.into()),
        }
    }
}
