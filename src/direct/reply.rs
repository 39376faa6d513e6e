//! Answers of an entry to callers.

use std::{
    error::Error,
    rc::Rc, //
};

use bytes::Bytes;
use futures_util::stream;
use ntex::http::{
    HeaderMap, Response, ResponseBuilder, StatusCode,
    body::{
        Body,
        SizedStream, //
    },
};
use serde_json::json;

use super::{
    answer::ForwardedStatus,
    request_attempts::NotRun, //
};
use crate::{
    error::ErrorKind,
    request::headers::{
        Direction,
        HeaderFilter, //
    },
};

/// Failure of a request that may have run. None has a status that means "not run" to
/// callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    DeadlineExceeded,
    OutcomeUnknown,
}

impl Failure {
    pub(super) const fn kind(self) -> ErrorKind {
        match self {
            Self::DeadlineExceeded => ErrorKind::DeadlineExceeded,
            Self::OutcomeUnknown => ErrorKind::OutcomeUnknown,
        }
    }
}

/// Returns the answer to a request that may have run and has no answer of a target.
pub(super) fn failure_answer(failure: Failure, is_leaving: bool) -> Response {
    error_answer(failure.kind(), None, is_leaving)
}

/// Returns the answer to a request that has not run. `retry_after_ms` overrides the
/// value that belongs to the error kind.
pub(super) fn refusal_answer(
    kind: ErrorKind,
    retry_after_ms: Option<u64>,
    is_leaving: bool,
    _: NotRun,
) -> Response {
    error_answer(kind, retry_after_ms, is_leaving)
}

fn error_answer(kind: ErrorKind, retry_after_ms: Option<u64>, is_leaving: bool) -> Response {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    let default_ms = answer
        .retry_after_s
        .map(|after_s| u64::from(after_s) * 1_000);
    if let Some(after_ms) = retry_after_ms.or(default_ms) {
        builder.header("retry-after", format_seconds(after_ms));
    }
    if is_leaving {
        builder.force_close();
    }
    builder.json(&json!({"error": {"kind": kind.name()}}))
}

/// Formats milliseconds as seconds with three decimals.
fn format_seconds(after_ms: u64) -> String {
    format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000)
}

/// Starts an answer with the status of a target's answer and those of its header
/// fields that may be forwarded.
pub(super) fn forwarded_builder(
    status: ForwardedStatus,
    headers: &HeaderMap,
    is_leaving: bool,
) -> ResponseBuilder {
    let connection = headers.get_all("connection");
    let filter = HeaderFilter::new(
        Direction::ToCaller,
        connection.map(|value| value.as_bytes()),
    );
    let mut builder = Response::build(status.code());
    for (name, value) in headers {
        if filter.forwards(name.as_str()) && name.as_str() != "date" {
            builder.header(name.clone(), value.clone());
        }
    }
    if is_leaving {
        builder.force_close();
    }
    builder
}

/// Size of the parts in which a long body is written. The server writes the next one when
/// the caller has taken most of the last.
const PART_BYTES: usize = 32 << 10;

/// Length up to which a body is passed to the server at once.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// Returns the body of an answer. A long one is written in parts, so that a connection
/// whose caller does not read holds it only once; `held` is dropped after the last part.
pub(super) fn answer_body<H: 'static>(data: Bytes, held: H) -> Body {
    if data.len() <= SHORT_BODY_BYTES {
        return Body::Bytes(to_ntex_bytes(data));
    }
    let length_bytes = data.len() as u64;
    let parts = stream::unfold((data, held), |(mut data, held)| async move {
        if data.is_empty() {
            return None;
        }
        let part = data.split_to(data.len().min(PART_BYTES));
        Some((Ok::<_, Rc<dyn Error>>(to_ntex_bytes(part)), (data, held)))
    });
    Body::from_message(SizedStream::new(length_bytes, Box::pin(parts)))
}

/// Copies bytes of a target's answer into the type of the HTTP server.
pub(super) fn to_ntex_bytes(data: Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(&data)
}
