//! Text and end of a generated stream, read from its server-sent events.

use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Deserialize,
    de::IgnoredAny, //
};

use super::sse::{
    SseEvent,
    SseParser, //
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// Upper bound for the text kept for a continuation.
pub const MAX_EMITTED_BYTES: usize = 8 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// State of a stream at the moment when its source ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// `[DONE]` was received.
    Complete,
    /// The generation has finished, but `[DONE]` was not received.
    DoneMissing,
    /// The generation has not finished and can be continued from its text.
    Continuable,
    /// The generation has not finished, and its text is not enough to continue it.
    NotContinuable,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    index: u32,
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
    tool_calls: Option<IgnoredAny>,
    function_call: Option<IgnoredAny>,
    reasoning: Option<IgnoredAny>,
    reasoning_content: Option<IgnoredAny>,
    refusal: Option<IgnoredAny>,
    audio: Option<IgnoredAny>,
}

/// Text, token count and end of one generated stream, updated event by event.
#[derive(Debug, Default)]
pub struct CompletionStream {
    parser: SseParser,
    emitted: String,
    emitted_tokens: u32,
    has_done_marker: bool,
    has_finish_reason: bool,
    /// Whether the generation depends on more than [`Self::emitted`].
    has_untracked_state: bool,
}

impl CompletionStream {
    /// Starts at the beginning of a stream.
    ///
    /// ```
    /// use yuccalatch::request::openai::stream::{CompletionStream, StreamEnd};
    ///
    /// let mut stream = CompletionStream::new();
    /// let chunk = b"data: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n";
    /// stream.push(chunk).unwrap();
    /// assert_eq!(stream.emitted_text(), "Hi");
    /// assert_eq!(stream.end_state(), StreamEnd::Continuable);
    /// stream.push(b"data: [DONE]\n\n").unwrap();
    /// assert_eq!(stream.end_state(), StreamEnd::Complete);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the next bytes and returns the events to forward.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::StreamBroken`] for an event that is not JSON, that is
    /// too large or that follows `[DONE]`, and [`ErrorKind::TargetFailed`] for an
    /// event that reports an error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>> {
        let events = self.parser.push(bytes)?;
        for event in &events {
            if let Some(data) = &event.data {
                self.process_data(data)?;
            }
        }
        Ok(events)
    }

    /// Drops an event that arrived in part, because a continuation starts with a
    /// new event.
    ///
    /// ```
    /// use yuccalatch::request::openai::stream::CompletionStream;
    ///
    /// let mut stream = CompletionStream::new();
    /// assert!(stream.push(b"data: {\"cho").unwrap().is_empty());
    /// stream.discard_partial_event();
    /// assert_eq!(stream.push(b"data: [DONE]\n\n").unwrap().len(), 1);
    /// ```
    pub fn discard_partial_event(&mut self) {
        self.parser = SseParser::default();
    }

    /// Returns the text emitted so far, without incomplete events.
    pub fn emitted_text(&self) -> &str {
        &self.emitted
    }

    /// Returns the number of emitted tokens: the number that the engine last
    /// reported, plus one for each choice with text since.
    pub const fn emitted_tokens(&self) -> u32 {
        self.emitted_tokens
    }

    /// Returns the state of the stream if its source ends now.
    pub const fn end_state(&self) -> StreamEnd {
        if self.has_done_marker {
            StreamEnd::Complete
        } else if self.has_finish_reason {
            StreamEnd::DoneMissing
        } else if self.has_untracked_state {
            StreamEnd::NotContinuable
        } else {
            StreamEnd::Continuable
        }
    }

    fn process_data(&mut self, data: &[u8]) -> Result<()> {
        if self.has_done_marker {
            return Err(Report::new(ErrorKind::StreamBroken).attach("data after the end"));
        }
        if data.trim_ascii() == DONE {
            self.has_done_marker = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_slice(data).change_context(ErrorKind::StreamBroken)?;
        if chunk.error.is_some() {
            return Err(Report::new(ErrorKind::TargetFailed).attach("error event"));
        }
        for choice in chunk.choices {
            self.process_choice(choice);
        }
        let reported = chunk.usage.and_then(|usage| usage.completion_tokens);
        self.emitted_tokens = reported.unwrap_or(self.emitted_tokens);
        Ok(())
    }

    fn process_choice(&mut self, choice: Choice) {
        self.has_untracked_state |= choice.index != 0;
        self.has_finish_reason |= choice.finish_reason.is_some();
        let mut text = choice.text;
        if let Some(delta) = choice.delta {
            self.has_untracked_state |= delta.has_state_besides_text();
            text = text.or(delta.content);
        }
        let text = text.unwrap_or_default();
        if text.is_empty() {
            return;
        }
        self.emitted_tokens = self.emitted_tokens.saturating_add(1);
        if self.emitted.len() + text.len() > MAX_EMITTED_BYTES {
            self.has_untracked_state = true;
            return;
        }
        self.emitted.push_str(&text);
    }
}

impl Delta {
    const fn has_state_besides_text(&self) -> bool {
        self.tool_calls.is_some()
            || self.function_call.is_some()
            || self.reasoning.is_some()
            || self.reasoning_content.is_some()
            || self.refusal.is_some()
            || self.audio.is_some()
    }
}
