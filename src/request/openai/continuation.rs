//! Request body that continues a generation from the text already emitted.

use std::collections::BTreeMap;

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::{
    RawValue,
    to_raw_value, //
};

use super::{
    CompletionRequest,
    Endpoint, //
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// How a stream goes on after the loss of its engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Continuation {
    /// Send this body to another target of the same version.
    Body(Bytes),
    /// The output has reached its bound; end the stream.
    Exhausted,
}

/// Fields that bound the output tokens; a continuation reduces them by the emitted
/// tokens.
const OUTPUT_BOUND_FIELDS: [&str; 3] = ["max_completion_tokens", "max_tokens", "min_tokens"];

type Fields = BTreeMap<String, Box<RawValue>>;

#[derive(Serialize)]
struct AssistantMessage<'a> {
    role: &'static str,
    content: &'a str,
}

impl CompletionRequest {
    /// Builds the body for another target, with the emitted text appended to the
    /// prompt.
    ///
    /// A chat gets the text as the start of the assistant's message, with
    /// `continue_final_message` set. All other fields keep their exact bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::StreamBroken`] when the text does not determine the
    /// state of the generation: several sequences, a prompt of tokens, `echo` or
    /// `suffix`.
    ///
    /// ```
    /// use yuccalatch::request::openai::{
    ///     continuation::Continuation, BodyLimits, CompletionRequest, Endpoint,
    /// };
    ///
    /// let body = br#"{"model":"m","prompt":"a","max_tokens":3}"#;
    /// let limits = BodyLimits::default();
    /// let parsed = CompletionRequest::parse(Endpoint::Completions, body.as_slice().into(), &limits);
    /// let next = parsed.unwrap().build_continuation("bc", 2).unwrap();
    /// let expected = br#"{"max_tokens":1,"model":"m","prompt":"abc"}"#;
    /// assert_eq!(next, Continuation::Body(expected.as_slice().into()));
    /// ```
    pub fn build_continuation(&self, emitted: &str, emitted_tokens: u32) -> Result<Continuation> {
        if !self.is_continuable {
            let report = Report::new(ErrorKind::StreamBroken);
            return Err(report.attach("the request cannot be continued from its text"));
        }
        if self
            .max_output_tokens
            .is_some_and(|bound| emitted_tokens >= bound)
        {
            return Ok(Continuation::Exhausted);
        }
        if emitted.is_empty() {
            return Ok(Continuation::Body(self.body.clone()));
        }
        let mut fields: Fields = parse(&self.body)?;
        match self.endpoint {
            Endpoint::ChatCompletions => extend_chat(&mut fields, emitted)?,
            Endpoint::Completions => extend_prompt(&mut fields, emitted)?,
        }
        for name in OUTPUT_BOUND_FIELDS {
            reduce_bound(&mut fields, name, emitted_tokens)?;
        }
        let body = serde_json::to_vec(&fields).change_context(ErrorKind::Internal)?;
        Ok(Continuation::Body(body.into()))
    }
}

fn extend_chat(fields: &mut Fields, emitted: &str) -> Result<()> {
    let mut messages: Vec<Box<RawValue>> = match fields.get("messages") {
        Some(messages) => parse(messages.get().as_bytes())?,
        None => Vec::new(),
    };
    let continues_last_message = fields
        .get("continue_final_message")
        .is_some_and(|value| value.get() == "true");
    let last = if continues_last_message {
        messages.pop()
    } else {
        None
    };
    let message = match last {
        Some(last) => extend_message(&last, emitted)?,
        None => to_raw(&AssistantMessage {
            role: "assistant",
            content: emitted,
        })?,
    };
    messages.push(message);
    fields.insert("messages".to_owned(), to_raw(&messages)?);
    fields.insert("continue_final_message".to_owned(), to_raw(&true)?);
    fields.insert("add_generation_prompt".to_owned(), to_raw(&false)?);
    Ok(())
}

fn extend_message(message: &RawValue, emitted: &str) -> Result<Box<RawValue>> {
    let mut fields: Fields = parse(message.get().as_bytes())?;
    let content: String = match fields.get("content") {
        Some(content) => parse(content.get().as_bytes())?,
        None => String::new(),
    };
    fields.insert("content".to_owned(), to_raw(&(content + emitted))?);
    to_raw(&fields)
}

fn extend_prompt(fields: &mut Fields, emitted: &str) -> Result<()> {
    let prompt = fields.get("prompt").map_or("\"\"", |prompt| prompt.get());
    let extended = if prompt.starts_with('[') {
        let texts: Vec<String> = parse(prompt.as_bytes())?;
        to_raw(&[texts.concat() + emitted])?
    } else {
        let text: String = parse(prompt.as_bytes())?;
        to_raw(&(text + emitted))?
    };
    fields.insert("prompt".to_owned(), extended);
    Ok(())
}

fn reduce_bound(fields: &mut Fields, name: &str, emitted_tokens: u32) -> Result<()> {
    let Some(value) = fields.get(name) else {
        return Ok(());
    };
    let bound: Option<u32> = parse(value.get().as_bytes())?;
    if let Some(bound) = bound {
        let remaining = bound.saturating_sub(emitted_tokens);
        fields.insert(name.to_owned(), to_raw(&remaining)?);
    }
    Ok(())
}

/// Parses a part of the body. The body was checked before, so a part that does not
/// parse means that the stream cannot be continued.
fn parse<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Result<T> {
    serde_json::from_slice(json).change_context(ErrorKind::StreamBroken)
}

fn to_raw<T: Serialize + ?Sized>(value: &T) -> Result<Box<RawValue>> {
    to_raw_value(value).change_context(ErrorKind::Internal)
}
