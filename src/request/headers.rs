//! Names of header fields, and rules for which header fields and query parameters
//! are forwarded.
//!
//! Trailer sections are forwarded in neither direction. This module removes the
//! fields that announce or request them; code that uses it must not copy the
//! section itself.

/// Id of a request, sent to callers and targets.
pub const REQUEST_ID: &str = "x-request-id";

/// Cache namespace of a request, sent to engines.
pub const CACHE_NAMESPACE: &str = "x-cache-namespace";

/// Version that a request is for, and in a response the version that ran it.
pub const MODEL_VERSION: &str = "x-model-version";

/// Priority of a request at an engine; lower values run first.
pub const PRIORITY: &str = "x-priority";

/// Blocks of the prompt that an engine found in its cache.
pub const MATCHED_BLOCKS: &str = "x-matched-blocks";

/// Blocks of the prompt.
pub const PROMPT_BLOCKS: &str = "x-prompt-blocks";

/// Incarnation of an engine's cache, in hexadecimal digits.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";

/// Direction in which a message is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// A request from the caller to a target.
    ToTarget,
    /// A response from a target to the caller.
    ToCaller,
}

/// Fields besides `authorization` in which callers may send their key.
pub const KEY_HEADERS: [&str; 2] = ["x-api-key", "api-key"];

/// Fields besides [`KEY_HEADERS`] that carry a caller's credentials.
const CREDENTIALS: &[&str] = &["authorization", "cookie", "proxy-authorization"];

/// Fields that apply to one connection only (RFC 9110, sections 7.6.1 and 6.5), and
/// the fields that frame the body, which the HTTP library sets.
const PER_CONNECTION: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authentication-info",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the fields that the system's own processes send to each other. They
/// are never forwarded, because callers and targets could forge them.
const INTERNAL_PREFIX: &str = "x-yl-";

/// Query parameters that carry a caller's key.
const KEY_PARAMETERS: &[&str] = &["api-key", "key"];

/// Decides which header fields of one message are forwarded.
#[derive(Clone, Debug)]
pub struct HeaderFilter {
    direction: Direction,
    nominated: Vec<String>,
}

impl HeaderFilter {
    /// Creates a filter from the values of all `Connection` fields of a message,
    /// which name further fields that must not be forwarded.
    ///
    /// ```
    /// use yuccalatch::request::headers::{Direction, HeaderFilter};
    ///
    /// let filter = HeaderFilter::new(Direction::ToTarget, [b"close, X-Hop".as_slice()]);
    /// assert!(!filter.forwards("x-hop"));
    /// assert!(!filter.forwards("AUTHORIZATION"));
    /// assert!(filter.forwards("content-type"));
    /// ```
    pub fn new<'a>(
        direction: Direction,
        connection_values: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let nominated = connection_values
            .into_iter()
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|option| normalise(&String::from_utf8_lossy(option.trim_ascii())))
            .filter(|option| !option.is_empty())
            .collect();
        Self {
            direction,
            nominated,
        }
    }

    /// Returns whether the field is forwarded.
    pub fn forwards(&self, name: &str) -> bool {
        let name = normalise(name);
        let removed = match self.direction {
            Direction::ToTarget => {
                CREDENTIALS.contains(&name.as_str()) || KEY_HEADERS.contains(&name.as_str())
            }
            // Cookies are not forwarded to targets, so that setting one is useless.
            Direction::ToCaller => name == "set-cookie",
        };
        !removed
            && !name.starts_with(INTERNAL_PREFIX)
            && !PER_CONNECTION.contains(&name.as_str())
            && !self.nominated.contains(&name)
    }
}

/// Returns the path and query without the parameters that carry a caller's key.
///
/// Names are compared after percent decoding, without regard to letter case. Both
/// `&` and `;` separate parameters, because some servers accept either.
///
/// ```
/// use yuccalatch::request::headers::strip_key_parameters;
///
/// assert_eq!(strip_key_parameters("/v1/models?a=1&K%65y=s&b"), "/v1/models?a=1&b");
/// assert_eq!(strip_key_parameters("/v1/models?api_key=s"), "/v1/models");
/// ```
pub fn strip_key_parameters(path_and_query: &str) -> String {
    let Some((path, query)) = path_and_query.split_once('?') else {
        return path_and_query.to_owned();
    };
    let mut kept = String::with_capacity(query.len());
    let mut separator = "";
    for piece in query.split_inclusive(['&', ';']) {
        let parameter = piece.trim_end_matches(['&', ';']);
        if !has_key_name(parameter) {
            kept.push_str(separator);
            kept.push_str(parameter);
            separator = &piece[parameter.len()..];
        }
    }
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{kept}")
}

fn has_key_name(parameter: &str) -> bool {
    let name = parameter.split('=').next().unwrap_or_default();
    let name = normalise(&String::from_utf8_lossy(&percent_decode(name)));
    KEY_PARAMETERS.contains(&name.trim())
}

/// Returns the name in lower case with `-` for `_`, because servers that follow CGI
/// treat both characters alike.
fn normalise(name: &str) -> String {
    name.to_ascii_lowercase().replace('_', "-")
}

fn percent_decode(text: &str) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        if byte == b'%'
            && let Some(value) = tail.first_chunk::<2>().and_then(hex_value)
        {
            decoded.push(value);
            rest = &tail[2..];
            continue;
        }
        decoded.push(if byte == b'+' { b' ' } else { byte });
        rest = tail;
    }
    decoded
}

fn hex_value(digits: &[u8; 2]) -> Option<u8> {
    let mut value = [0];
    hex::decode_to_slice(digits, &mut value).ok()?;
    Some(value[0])
}

/// Returns whether every server interprets a path alike: it has no empty or dot
/// segments, no backslashes or null characters, and no encoded slashes,
/// backslashes, dots or null characters. A target might resolve these to a path for
/// which another route would have been chosen.
///
/// ```
/// use yuccalatch::request::headers::is_normalised;
///
/// assert!(is_normalised("/v1/models"));
/// assert!(is_normalised("/files/report.v2.pdf/"));
/// for path in ["/a/../b", "/a//b", "/a/./b", "/a%2fb", "/a%2E%2e/b", "/a\\b", "/a%5Cb", "a"] {
///     assert!(!is_normalised(path), "{path}");
/// }
/// ```
pub fn is_normalised(path: &str) -> bool {
    let Some(inner) = path.strip_prefix('/') else {
        return false;
    };
    let encoded = path.as_bytes().windows(3);
    let has_encoded_separator = encoded
        .map(|window| window.to_ascii_lowercase())
        .any(|window| matches!(&window[..], b"%2e" | b"%2f" | b"%5c" | b"%00"));
    let mut segments = inner.strip_suffix('/').unwrap_or(inner).split('/');
    let is_plain = |segment: &str| !matches!(segment, "" | "." | "..");
    !has_encoded_separator
        && !path.contains(['\\', '\0'])
        && (inner.is_empty() || segments.all(is_plain))
}
