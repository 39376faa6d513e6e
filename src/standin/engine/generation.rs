//! Deterministic text generation.

use serde_json::{
    Value,
    json, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::request::openai::Endpoint;

/// Prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

const VOCABULARY: [&str; 16] = [
    "door", "seal", "closer", "frame", "hinge", "oak", "peg", "dowel", "quote", "sheet", "grade",
    "north", "stair", "panel", "load", "mill",
];

/// Returns the token that follows a text.
///
/// ```
/// use yuccalatch::standin::engine::next_token;
///
/// assert_eq!(next_token("v1", "a"), next_token("v1", "a"));
/// ```
pub fn next_token(version: &str, text: &str) -> String {
    let seed = xxh3_64_with_seed(version.as_bytes(), 0);
    let hash = xxh3_64_with_seed(text.as_bytes(), seed);
    let word = VOCABULARY[usize::try_from(hash % 16).unwrap_or(0)];
    format!("{word}{} ", (hash >> 8) % 1_000)
}

/// A completion request as the stand-in reads it.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    pub(super) endpoint: Endpoint,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) stream: bool,
    pub(super) max_tokens: u64,
}

impl Completion {
    /// Reads a body, or explains why it is not a completion request.
    pub(super) fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, &'static str> {
        let value: Value = serde_json::from_slice(body).map_err(|_| "body is not JSON")?;
        let prompt = match endpoint {
            Endpoint::Completions => value["prompt"]
                .as_str()
                .ok_or("prompt is missing")?
                .to_owned(),
            Endpoint::ChatCompletions => {
                chat_text(&value["messages"]).ok_or("messages are missing")?
            }
        };
        Ok(Self {
            endpoint,
            model: value["model"].as_str().unwrap_or_default().to_owned(),
            prompt,
            stream: value["stream"].as_bool().unwrap_or(false),
            max_tokens: value["max_tokens"]
                .as_u64()
                .or_else(|| value["max_completion_tokens"].as_u64())
                .unwrap_or(16),
        })
    }

    /// Formats one token as a server-sent event.
    pub(super) fn chunk(&self, token: &str, last: bool) -> String {
        let finish = if last { json!("length") } else { Value::Null };
        let choice = match self.endpoint {
            Endpoint::ChatCompletions => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish})
            }
            Endpoint::Completions => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        let body = json!({"object": self.object(true), "model": self.model, "choices": [choice]});
        format!("data: {body}\n\n")
    }

    /// Formats a whole answer.
    pub(super) fn whole(&self, text: &str, prompt_tokens: usize, tokens: u64) -> String {
        let choice = match self.endpoint {
            Endpoint::ChatCompletions => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
            Endpoint::Completions => json!({"index": 0, "text": text, "finish_reason": "length"}),
        };
        json!({
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": tokens},
        })
        .to_string()
    }

    fn object(&self, chunk: bool) -> &'static str {
        match (self.endpoint, chunk) {
            (Endpoint::ChatCompletions, true) => "chat.completion.chunk",
            (Endpoint::ChatCompletions, false) => "chat.completion",
            (Endpoint::Completions, _) => "text_completion",
        }
    }
}

/// Joins messages so that text appended to the last one extends the prompt.
fn chat_text(messages: &Value) -> Option<String> {
    let mut text = String::new();
    let mut previous_role = "";
    for message in messages.as_array()? {
        let role = message["role"].as_str()?;
        if role != "assistant" || previous_role != "user" {
            text.push_str(&format!("<{role}>"));
        }
        text.push_str(message["content"].as_str()?);
        previous_role = role;
    }
    Some(text)
}
