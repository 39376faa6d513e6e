//! Canonical bytes of a prompt, for hashing prefixes.
//!
//! Two properties matter: equal prompts give equal bytes whatever the layout of
//! the JSON, and a prompt that extends another one gives bytes that extend its
//! bytes. Markers are bytes that never occur in UTF-8.

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

/// Bound for the messages of a prompt and the parts of a message. Short elements
/// would otherwise occupy many times the bytes of the body.
pub const MAX_ITEMS: usize = 16_384;

/// Tokens assumed for an image or another part that is not text. A photograph in
/// base64 is far longer than its tokens, so its length says nothing. Assumed, not
/// measured.
pub const PART_TOKENS: usize = 1_024;

/// Markers of the canonical form.
const MESSAGE: u8 = 0xff;
const CONTENT: u8 = 0xfe;
const PART: u8 = 0xfd;
const JSON: u8 = 0xfc;
const TOKENS: u8 = 0xfb;

/// Canonical form of all prompts of a request.
pub(super) struct Canonical {
    /// Bytes to hash.
    pub(super) bytes: Vec<u8>,
    /// Number of prompts.
    pub(super) prompts: u64,
    /// Whether text can be appended to the prompt.
    pub(super) is_text: bool,
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

/// Array of at most [`MAX_ITEMS`] elements.
struct Items<T>(Vec<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Items<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_seq(ItemsVisitor(PhantomData))
    }
}

struct ItemsVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ItemsVisitor<T> {
    type Value = Items<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an array of at most {MAX_ITEMS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut sequence: A,
    ) -> std::result::Result<Self::Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            if items.len() == MAX_ITEMS {
                return Err(A::Error::invalid_length(MAX_ITEMS + 1, &self));
            }
            items.push(item);
        }
        Ok(Items(items))
    }
}

/// Writes the messages of a chat. Tools come first, because chat templates put
/// them before the messages.
pub(super) fn chat(messages: Option<&RawValue>, tools: Option<&RawValue>) -> Result<Canonical> {
    let messages = messages.ok_or_else(|| bad_request("messages are missing"))?;
    let Items(messages): Items<Message<'_>> = parse(messages)?;
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
    Ok(Canonical {
        bytes,
        prompts: 1,
        is_text: true,
    })
}

/// Writes the prompt of a plain completion: text, tokens, or an array of either.
pub(super) fn prompt(prompt: Option<&RawValue>) -> Result<Canonical> {
    let prompt = prompt.ok_or_else(|| bad_request("prompt is missing"))?;
    let mut bytes = Vec::new();
    let json = prompt.get();
    let inner = json.strip_prefix('[').map(str::trim_start);
    let (prompts, is_text) = match inner.and_then(|inner| inner.bytes().next()) {
        None => {
            bytes = parse::<String>(prompt)?.into_bytes();
            (1, true)
        }
        Some(b'"') => {
            let Items(texts): Items<Cow<'_, str>> = parse(prompt)?;
            for (position, text) in texts.iter().enumerate() {
                push_separator(&mut bytes, position);
                bytes.extend_from_slice(text.as_bytes());
            }
            (texts.len(), true)
        }
        Some(b'[') => {
            let Items(lists): Items<Vec<u32>> = parse(prompt)?;
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
    if prompts == 0 {
        return Err(bad_request("prompt is empty"));
    }
    Ok(Canonical {
        bytes,
        prompts: prompts as u64,
        is_text,
    })
}

fn push_message(bytes: &mut Vec<u8>, message: &Message<'_>) -> Result<()> {
    bytes.push(MESSAGE);
    bytes.extend_from_slice(message.role.as_bytes());
    let labelled = [
        ("name", message.name),
        ("tool_call_id", message.tool_call_id),
        ("tool_calls", message.tool_calls),
        ("function_call", message.function_call),
    ];
    for (label, value) in labelled {
        if let Some(value) = value {
            bytes.push(JSON);
            bytes.extend_from_slice(label.as_bytes());
            push_compact(bytes, value);
        }
    }
    // The content comes last, so that a longer content extends the bytes.
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
    let Items(parts): Items<&RawValue> = parse(content)?;
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

/// Writes as many bytes as the assumed tokens of the part would have.
fn push_digest(bytes: &mut Vec<u8>, raw: &RawValue) {
    let mut compact = Vec::new();
    push_compact(&mut compact, raw);
    let start = bytes.len();
    bytes.resize(start + PART_TOKENS * BYTES_PER_TOKEN, 0);
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

/// Writes JSON without white space. The order of the fields stays, because chat
/// templates render it.
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
