//! Canonical bytes of a prompt, whose prefixes are hashed.
//!
//! Two properties matter: equal prompts give equal bytes whatever the layout of
//! the JSON, and a prompt that extends another one gives bytes that start with
//! that one's bytes. Markers are bytes that never occur in UTF-8.

use std::{
    borrow::Cow,
    fmt,
    marker::PhantomData, //
};

use error_stack::ResultExt;
use serde::{
    Deserialize, Deserializer,
    de::{
        Error,
        SeqAccess,
        Visitor, //
    },
};
use serde_json::value::RawValue;

use super::{
    BYTES_PER_TOKEN,
    bad_request, //
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// Bound for the elements of an array, such as the messages of a prompt and the
/// parts of a message. Many short elements would otherwise occupy many times the
/// bytes of the body.
pub const MAX_ARRAY_ELEMENTS: usize = 16_384;

/// Tokens assumed for an image or another part that is not text. The length of a
/// photograph in base64 far exceeds its number of tokens, so it is no estimate.
pub const ASSUMED_PART_TOKENS: usize = 1_024;

/// Starts a message, and separates the prompts of a plain completion.
const MESSAGE: u8 = 0xff;
/// Starts the content of a message.
const CONTENT: u8 = 0xfe;
/// Separates the parts of a content.
const PART: u8 = 0xfd;
/// Starts a JSON value without white space; in a message, its field name comes first.
const JSON: u8 = 0xfc;
/// Starts a prompt of token numbers.
const TOKENS: u8 = 0xfb;

/// Canonical form of all prompts of a request.
pub(super) struct CanonicalPrompt {
    /// Bytes of all prompts in order.
    pub(super) bytes: Vec<u8>,
    /// Number of prompts in the request, at least one.
    pub(super) prompt_count: u64,
    /// Whether the prompt is text, so that more text can be appended.
    pub(super) is_extendable: bool,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    #[serde(borrow)]
    name: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_calls: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_call_id: Option<&'a RawValue>,
    #[serde(borrow)]
    function_call: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
}

/// Array of at most [`MAX_ARRAY_ELEMENTS`] elements.
struct BoundedArray<T>(Vec<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for BoundedArray<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_seq(BoundedArrayVisitor(PhantomData))
    }
}

struct BoundedArrayVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for BoundedArrayVisitor<T> {
    type Value = BoundedArray<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an array of at most {MAX_ARRAY_ELEMENTS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut sequence: A,
    ) -> std::result::Result<Self::Value, A::Error> {
        let mut elements = Vec::new();
        while let Some(element) = sequence.next_element()? {
            if elements.len() == MAX_ARRAY_ELEMENTS {
                return Err(A::Error::invalid_length(MAX_ARRAY_ELEMENTS + 1, &self));
            }
            elements.push(element);
        }
        Ok(BoundedArray(elements))
    }
}

/// Returns the canonical form of a chat. Tools come first, because chat templates
/// put them before the messages.
pub(super) fn canonicalise_chat(
    messages: Option<&RawValue>,
    tools: Option<&RawValue>,
) -> Result<CanonicalPrompt> {
    let messages = messages.ok_or_else(|| bad_request("messages are missing"))?;
    let BoundedArray(messages): BoundedArray<Message<'_>> = parse(messages)?;
    if messages.is_empty() {
        return Err(bad_request("messages are empty"));
    }
    let mut bytes = Vec::new();
    if let Some(tools) = tools {
        bytes.push(JSON);
        push_compact(&mut bytes, tools);
    }
    for message in &messages {
        push_message(&mut bytes, message)?;
    }
    Ok(CanonicalPrompt {
        bytes,
        prompt_count: 1,
        is_extendable: true,
    })
}

/// Returns the canonical form of the prompt of a plain completion: text, tokens, or
/// an array of either.
pub(super) fn canonicalise_prompt(prompt: Option<&RawValue>) -> Result<CanonicalPrompt> {
    let prompt = prompt.ok_or_else(|| bad_request("prompt is missing"))?;
    let mut bytes = Vec::new();
    let json = prompt.get();
    let inner = json.strip_prefix('[').map(str::trim_start);
    let (prompt_count, is_extendable) = match inner.and_then(|inner| inner.bytes().next()) {
        None => {
            bytes = parse::<String>(prompt)?.into_bytes();
            (1, true)
        }
        Some(b'"') => {
            let BoundedArray(texts): BoundedArray<Cow<'_, str>> = parse(prompt)?;
            for (position, text) in texts.iter().enumerate() {
                push_separator(&mut bytes, position);
                bytes.extend_from_slice(text.as_bytes());
            }
            (texts.len(), true)
        }
        Some(b'[') => {
            let BoundedArray(lists): BoundedArray<Vec<u32>> = parse(prompt)?;
            for (position, tokens) in lists.iter().enumerate() {
                push_separator(&mut bytes, position);
                push_tokens(&mut bytes, tokens);
            }
            (lists.len(), false)
        }
        Some(_) => {
            let tokens: Vec<u32> = parse(prompt)?;
            push_tokens(&mut bytes, &tokens);
            (usize::from(!tokens.is_empty()), false)
        }
    };
    if prompt_count == 0 {
        return Err(bad_request("prompt is empty"));
    }
    Ok(CanonicalPrompt {
        bytes,
        prompt_count: prompt_count as u64,
        is_extendable,
    })
}

fn push_message(bytes: &mut Vec<u8>, message: &Message<'_>) -> Result<()> {
    bytes.push(MESSAGE);
    bytes.extend_from_slice(message.role.as_bytes());
    let labelled_fields = [
        ("name", message.name),
        ("tool_call_id", message.tool_call_id),
        ("tool_calls", message.tool_calls),
        ("function_call", message.function_call),
    ];
    for (label, value) in labelled_fields {
        if let Some(value) = value {
            bytes.push(JSON);
            bytes.extend_from_slice(label.as_bytes());
            push_compact(bytes, value);
        }
    }
    // The content comes last, so that appending to it only appends bytes.
    bytes.push(CONTENT);
    match message.content {
        None => Ok(()),
        Some(content) if content.get().starts_with('[') => push_parts(bytes, content),
        Some(content) => {
            let text: Cow<'_, str> = parse(content)?;
            bytes.extend_from_slice(text.as_bytes());
            Ok(())
        }
    }
}

fn push_parts(bytes: &mut Vec<u8>, content: &RawValue) -> Result<()> {
    let BoundedArray(parts): BoundedArray<&RawValue> = parse(content)?;
    for (position, raw) in parts.into_iter().enumerate() {
        let part: Part<'_> = parse(raw)?;
        if position > 0 {
            bytes.push(PART);
        }
        match part.text {
            Some(text) if part.kind == "text" => bytes.extend_from_slice(text.as_bytes()),
            _ => push_digest(bytes, raw),
        }
    }
    Ok(())
}

/// Appends a digest of a part, as long as the part's assumed tokens.
fn push_digest(bytes: &mut Vec<u8>, raw: &RawValue) {
    let mut compact = Vec::new();
    push_compact(&mut compact, raw);
    let start = bytes.len();
    bytes.resize(start + ASSUMED_PART_TOKENS * BYTES_PER_TOKEN, 0);
    let mut hasher = blake3::Hasher::new();
    hasher.update(&compact);
    hasher.finalize_xof().fill(&mut bytes[start..]);
}

fn push_separator(bytes: &mut Vec<u8>, position: usize) {
    if position > 0 {
        bytes.push(MESSAGE);
    }
}

fn push_tokens(bytes: &mut Vec<u8>, tokens: &[u32]) {
    bytes.push(TOKENS);
    for token in tokens {
        bytes.extend_from_slice(&token.to_be_bytes());
    }
}

/// Appends JSON without white space. The order of the fields stays, because chat
/// templates render the fields in it.
fn push_compact(bytes: &mut Vec<u8>, raw: &RawValue) {
    let mut in_string = false;
    let mut escaped = false;
    for byte in raw.get().bytes() {
        if in_string {
            in_string = escaped || byte != b'"';
            escaped = !escaped && byte == b'\\';
        } else if byte.is_ascii_whitespace() {
            continue;
        } else {
            in_string = byte == b'"';
        }
        bytes.push(byte);
    }
}

fn parse<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Result<T> {
    serde_json::from_str(raw.get()).change_context(ErrorKind::BadRequest)
}
