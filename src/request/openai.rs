//! Bodies of completion requests: checks, token counts and limits.

pub mod canonical;
pub mod continuation;
pub mod sse;
pub mod stream;

use std::borrow::Cow;

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::Name, //
};

/// Default bound for a body; large enough for several photographs in base64.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Default bound for the nesting of a body. Schemas of tools nest deeper than
/// messages; `serde_json` itself refuses more than 128 levels.
pub const MAX_DEPTH: usize = 64;

/// Bound for the fields of the outermost object.
pub const MAX_FIELDS: usize = 256;

/// Bound for the length of a model name.
pub const MAX_MODEL_BYTES: usize = 256;

/// Bound for the sequences that one request generates.
pub const MAX_SEQUENCES: u64 = 1_024;

/// Estimated bytes of prompt in a token. The engine reports the true number of
/// tokens at the end of the response.
pub const BYTES_PER_TOKEN: usize = 4;

/// The two endpoints that generate text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    ChatCompletions,
    /// `/v1/completions`.
    Completions,
}

impl Endpoint {
    /// Returns the endpoint with the given path.
    ///
    /// ```
    /// use yuccalatch::request::openai::Endpoint;
    ///
    /// assert_eq!(Endpoint::from_path("/v1/completions"), Some(Endpoint::Completions));
    /// assert_eq!(Endpoint::from_path("/v1/models"), None);
    /// ```
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::ChatCompletions),
            "/v1/completions" => Some(Self::Completions),
            _ => None,
        }
    }
}

/// Bounds that a body must not exceed.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body.
    pub max_body_bytes: usize,
    /// Deepest nesting of objects and arrays.
    pub max_depth: usize,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: MAX_BODY_BYTES,
            max_depth: MAX_DEPTH,
        }
    }
}

/// A checked request body.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Endpoint the body was sent to.
    pub endpoint: Endpoint,
    /// As named by the caller, not empty.
    pub model: Name,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Bound for the output of one sequence; absent if the caller states none.
    pub max_output_tokens: Option<u32>,
    /// Number of sequences that the request generates.
    pub sequences: u64,
    /// Canonical form of all prompts, whose prefixes are hashed.
    pub canonical_prompt: Vec<u8>,
    /// Body as received.
    pub body: Bytes,
    /// Whether another target can continue the output from its text.
    is_continuable: bool,
}

#[derive(Deserialize)]
struct BodyFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    #[serde(borrow)]
    suffix: Option<&'a RawValue>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow)]
    tools: Option<&'a RawValue>,
    #[serde(borrow)]
    functions: Option<&'a RawValue>,
}

impl CompletionRequest {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BodyTooLarge`] or [`ErrorKind::BadRequest`] with the
    /// reason attached. A field that occurs twice is refused, because the router
    /// and the engine might read different ones.
    ///
    /// ```
    /// use yuccalatch::request::openai::{BodyLimits, CompletionRequest, Endpoint};
    ///
    /// let body = br#"{"model": "m", "prompt": "Once", "max_tokens": 9}"#;
    /// let limits = BodyLimits::default();
    /// let parsed = CompletionRequest::parse(Endpoint::Completions, body.as_slice().into(), &limits);
    /// let parsed = parsed.unwrap();
    /// assert_eq!(parsed.canonical_prompt, b"Once");
    /// assert_eq!(parsed.prompt_tokens(), 1);
    /// assert_eq!(parsed.max_total_output_tokens(100), 9);
    /// ```
    pub fn parse(endpoint: Endpoint, body: Bytes, limits: &BodyLimits) -> Result<Self> {
        if body.len() > limits.max_body_bytes {
            return Err(Report::new(ErrorKind::BodyTooLarge));
        }
        check_shape(&body, limits.max_depth)?;
        let text = std::str::from_utf8(&body)
            .change_context(ErrorKind::BadRequest)
            .attach("body is not UTF-8")?;
        let fields: BodyFields<'_> =
            serde_json::from_str(text).change_context(ErrorKind::BadRequest)?;
        let canonical = match endpoint {
            Endpoint::ChatCompletions => {
                canonical::canonicalise_chat(fields.messages, fields.tools.or(fields.functions))?
            }
            Endpoint::Completions => canonical::canonicalise_prompt(fields.prompt)?,
        };
        let (n, best_of) = (fields.n.unwrap_or(1), fields.best_of.unwrap_or(1));
        let sequences = u64::from(n.max(best_of)) * canonical.prompt_count;
        if n == 0 || best_of == 0 || sequences > MAX_SEQUENCES {
            return Err(bad_request("number of sequences out of range"));
        }
        let repeats_prompt = fields.echo == Some(true) || fields.suffix.is_some();
        Ok(Self {
            endpoint,
            model: check_model(&fields.model)?,
            stream: fields.stream.unwrap_or(false),
            max_output_tokens: check_output_bound(fields.max_tokens, fields.max_completion_tokens)?,
            sequences,
            canonical_prompt: canonical.bytes,
            is_continuable: sequences == 1 && canonical.is_extendable && !repeats_prompt,
            body,
        })
    }

    /// Returns the estimated number of tokens in the prompt, at least one.
    pub fn prompt_tokens(&self) -> u64 {
        let tokens = self.canonical_prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
        tokens as u64
    }

    /// Returns the bound for the output of all sequences together.
    ///
    /// `default_max_tokens` is the bound for one sequence if the caller states none.
    pub fn max_total_output_tokens(&self, default_max_tokens: u32) -> u64 {
        let bound = self.max_output_tokens.unwrap_or(default_max_tokens);
        self.sequences.saturating_mul(u64::from(bound))
    }
}

/// Checks the nesting and the number of fields before the parser allocates memory.
fn check_shape(body: &[u8], max_depth: usize) -> Result<()> {
    let mut depth = 0_usize;
    let mut fields = 1_usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in body {
        if in_string {
            in_string = escaped || *byte != b'"';
            escaped = !escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b',' if depth == 1 => fields += 1,
            _ => {}
        }
        if depth > max_depth {
            return Err(bad_request("body is nested too deeply"));
        }
        if fields > MAX_FIELDS {
            return Err(bad_request("body has too many fields"));
        }
    }
    Ok(())
}

fn check_model(model: &str) -> Result<Name> {
    if model.is_empty() || model.len() > MAX_MODEL_BYTES {
        return Err(bad_request("model name is empty or too long"));
    }
    Ok(Name::from(model))
}

/// Returns the caller's bound for the output.
///
/// Engines differ in which of the two fields takes precedence, so both must agree.
fn check_output_bound(old: Option<u32>, new: Option<u32>) -> Result<Option<u32>> {
    match (old, new) {
        (Some(old), Some(new)) if old != new => {
            Err(bad_request("max_tokens and max_completion_tokens differ"))
        }
        _ => Ok(new.or(old)),
    }
}

fn bad_request(reason: &'static str) -> Report<ErrorKind> {
    Report::new(ErrorKind::BadRequest).attach(reason)
}
