//! HTTP parts that the engine and the plain service share.

use std::io;

use ntex::web::{
    HttpRequest,
    types::PayloadConfig, //
};

/// Largest request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Returns the state that allows large request bodies.
pub(super) fn payload_config() -> PayloadConfig {
    PayloadConfig::new(MAX_BODY_BYTES)
}

/// Returns the header fields of a request as text.
pub(super) fn header_texts(request: &HttpRequest) -> impl Iterator<Item = (String, String)> {
    request.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.to_string(), value)
    })
}

/// Returns the error that breaks the connection in the middle of a body.
pub(super) fn injected_break() -> io::Error {
    io::Error::other("injected break")
}
