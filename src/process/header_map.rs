//! Reads header fields of received requests and responses.

use std::str::FromStr;

use ntex::http::HeaderMap;

use crate::request::headers::{
    Direction,
    HeaderFilter, //
};

/// Returns the fields that are to be forwarded. Fields whose value is not text are
/// left out.
pub(super) fn forwarded(headers: &HeaderMap, direction: Direction) -> Vec<(String, String)> {
    let connection = headers.get_all("connection");
    let filter = HeaderFilter::new(direction, connection.map(|value| value.as_bytes()));
    headers
        .iter()
        .filter(|(name, _)| filter.forwards(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

/// Returns the value of a field, or `None` when the field is missing or its value
/// does not parse as `T`.
pub(super) fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
