//! Recorded traces as JSON lines.
//!
//! Each line is a request or a check of the whole run. Lines that start with
//! `//` are comments.

use std::path::Path;

use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::Name,
    request::openai::BYTES_PER_TOKEN, //
};

/// Part of a prompt; parts with the same seed have the same text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PromptPart {
    /// What the text is generated from.
    pub seed: Name,
    /// Length of the text.
    pub tokens: usize,
}

impl PromptPart {
    /// Generates the text.
    ///
    /// ```
    /// use yuccalatch::replay::trace::PromptPart;
    ///
    /// let part = PromptPart { seed: "manual".into(), tokens: 2 };
    /// assert_eq!(part.text(), "manual m");
    /// ```
    pub fn text(&self) -> String {
        let wanted_bytes = self.tokens * BYTES_PER_TOKEN;
        let unit = format!("{} ", self.seed);
        unit.chars().cycle().take(wanted_bytes).collect()
    }
}

/// Body of a recorded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum TraceBody {
    /// A text completion.
    Completion {
        /// Model that is asked for.
        model: Name,
        /// Prompt, from its beginning.
        prompt: Vec<PromptPart>,
        /// Bound for the output.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Any other body.
    Text(String),
}

/// What has to be true of one answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// Status of the answer.
    pub status: Option<u16>,
    /// Error kind of the answer.
    pub kind: Option<Name>,
    /// Whether the answer has to be complete.
    pub complete: Option<bool>,
    /// Fewest prompt blocks that were found in a cache.
    pub min_matched_blocks: Option<u32>,
    /// Version of the stand-in engine whose output has to be returned.
    pub reference_version: Option<Name>,
}

/// A recorded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Time since the start of the trace.
    pub at_ms: u64,
    /// Organisation that the histograms are kept for.
    pub organisation: Name,
    /// Key that is presented.
    #[serde(default)]
    pub key: Option<Name>,
    /// Method of the request.
    #[serde(default = "default_method")]
    pub method: Name,
    /// Path and query of the request.
    pub path: Name,
    /// Body of the request.
    #[serde(default)]
    pub body: Option<TraceBody>,
    /// Stated outcome.
    #[serde(default)]
    pub expect: Expectation,
}

fn default_method() -> Name {
    "POST".into()
}

/// What has to be true of all answers to an organisation, or to everybody.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceCheck {
    /// Organisation; all of them when left out.
    pub organisation: Option<Name>,
    /// Most answers that may be errors.
    pub max_errors: Option<u64>,
    /// Fewest answers that have to be errors.
    pub min_errors: Option<u64>,
    /// Smallest part of the prompt blocks found in a cache, in per mille.
    pub min_hit_permille: Option<u64>,
    /// Bound for the 99th percentile of the time to the first token.
    pub max_first_token_p99_ms: Option<u64>,
}

/// One line of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// A request.
    Request(TraceRequest),
    /// A check after the last answer.
    Check(TraceCheck),
}

/// A whole trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Requests in the order of the file.
    pub requests: Vec<TraceRequest>,
    /// Checks of the run.
    pub checks: Vec<TraceCheck>,
}

impl Trace {
    /// Parses the text of a trace.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::BadRequest`] with the line number.
    ///
    /// ```
    /// use yuccalatch::replay::trace::Trace;
    ///
    /// let text = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/files/1"}}"#;
    /// assert_eq!(Trace::parse(text).unwrap().requests.len(), 1);
    /// assert!(Trace::parse("{").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with("//") {
                continue;
            }
            let parsed = serde_json::from_str(line)
                .change_context(ErrorKind::BadRequest)
                .attach_with(|| format!("line {number} of the trace"))?;
            match parsed {
                TraceLine::Request(request) => trace.requests.push(request),
                TraceLine::Check(check) => trace.checks.push(check),
            }
        }
        Ok(trace)
    }

    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Io`] when the file cannot be read and otherwise
    /// fails like [`Self::parse`].
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot read {}", path.display()))?;
        Self::parse(&text)
    }
}

impl TraceRequest {
    /// Returns the prompt of a completion.
    ///
    /// ```
    /// use yuccalatch::replay::trace::Trace;
    ///
    /// let text = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/files/1"}}"#;
    /// assert_eq!(Trace::parse(text).unwrap().requests[0].prompt(), None);
    /// ```
    pub fn prompt(&self) -> Option<String> {
        match &self.body {
            Some(TraceBody::Completion { prompt, .. }) => {
                Some(prompt.iter().map(PromptPart::text).collect())
            }
            _ => None,
        }
    }

    /// Returns the body as it is sent.
    ///
    /// ```
    /// use yuccalatch::replay::trace::Trace;
    ///
    /// let text = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/orders",
    ///     "body": {"text": "two"}}}"#.replace('\n', " ");
    /// assert_eq!(Trace::parse(&text).unwrap().requests[0].body_text(), "two");
    /// ```
    pub fn body_text(&self) -> String {
        match &self.body {
            None => String::new(),
            Some(TraceBody::Text(text)) => text.clone(),
            Some(TraceBody::Completion {
                model,
                max_tokens,
                stream,
                ..
            }) => json!({
                "model": &**model,
                "prompt": self.prompt().unwrap_or_default(),
                "max_tokens": max_tokens,
                "stream": stream,
            })
            .to_string(),
        }
    }

    /// Returns the bound for the output of a completion.
    pub(super) fn max_tokens(&self) -> u64 {
        match &self.body {
            Some(TraceBody::Completion { max_tokens, .. }) => *max_tokens,
            _ => 0,
        }
    }
}

/// Fails for a trace that cannot be played.
pub(super) fn require_requests(trace: &Trace) -> Result<()> {
    if trace.requests.is_empty() {
        return Err(Report::new(ErrorKind::BadRequest).attach("the trace has no request"));
    }
    Ok(())
}
