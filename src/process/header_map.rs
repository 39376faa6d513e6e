//! Header fields of messages that a process receives.

use std::str::FromStr;

use ntex::http::HeaderMap;

use crate::request::headers::{
    Direction,
    HeaderFilter, //
};

/// Returns the fields that are forwarded. Values that are not text are left out.
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

/// Returns a field that has a value of the given type.
pub(super) fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
