//! Answers that the entry itself gives to callers.

use ntex::{
    http::StatusCode,
    web::HttpResponse, //
};
use serde::Serialize;

use crate::{
    error::{
        ErrorKind,
        Report, //
    },
    request::headers::REQUEST_ID, //
};

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    kind: &'a str,
    message: &'a str,
    request_id: &'a str,
    not_run: bool,
}

/// Describes a failure for the caller, without details of the fleet.
pub(super) fn message(report: &Report) -> String {
    let kind = *report.current_context();
    let details = report
        .frames()
        .find_map(|frame| frame.downcast_ref::<&'static str>());
    match details {
        Some(details) => format!("{}: {details}", kind.name()),
        None => kind.name().to_owned(),
    }
}

/// Formats the error body.
pub(super) fn error_json(kind: ErrorKind, message: &str, request_id: &str) -> String {
    let body = ErrorBody {
        error: ErrorDetail {
            kind: kind.name(),
            message,
            request_id,
            not_run: kind.is_not_run(),
        },
    };
    // Strings and a flag always serialise.
    serde_json::to_string(&body).unwrap_or_default()
}

/// Makes the whole answer for a failure.
pub(super) fn error_response(report: &Report, request_id: &str) -> HttpResponse {
    let kind = *report.current_context();
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.set_header(REQUEST_ID, request_id);
    if let Some(after_s) = answer.retry_after_s {
        response.set_header("retry-after", after_s.to_string());
    }
    if kind == ErrorKind::UnknownKey {
        response.set_header("www-authenticate", "Bearer");
    }
    response
        .content_type("application/json")
        .body(error_json(kind, &message(report), request_id))
}

/// Formats a failure as the last event of a stream.
pub(super) fn error_event(kind: ErrorKind, request_id: &str) -> String {
    let body = error_json(kind, kind.name(), request_id);
    format!("event: error\ndata: {body}\n\n")
}

pub(super) fn close_connection(response: &mut HttpResponse) {
    response
        .head_mut()
        .set_connection_type(ntex::http::ConnectionType::Close);
}
