//! Answers to requests that the HTTP parser refuses.

use error_stack::Report;
use ntex::http::{
    Response,
    error::DecodeError,
    h1::ProtocolError, //
};

use super::{
    answer::{
        close_connection,
        error_response, //
    },
    request::new_request_id, //
};
use crate::error::ErrorKind;

/// Makes the answer; an error in a response that has begun gets none.
pub(super) fn answer(error: &ProtocolError) -> Option<Response> {
    let kind = kind(error)?;
    let mut response = error_response(&Report::new(kind), &new_request_id());
    close_connection(&mut response);
    Some(response)
}

const fn kind(error: &ProtocolError) -> Option<ErrorKind> {
    match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Some(ErrorKind::HeadersTooLarge)
        }
        // The parser reports faults in chunked bodies this way, when the request
        // may already have been forwarded.
        ProtocolError::Decode(DecodeError::InvalidInput(_)) => Some(ErrorKind::BodyMalformed),
        ProtocolError::Decode(_) => Some(ErrorKind::BadRequest),
        ProtocolError::SlowRequestTimeout => Some(ErrorKind::HeadersTimeout),
        ProtocolError::SlowPayloadTimeout
        | ProtocolError::Encode(_)
        | ProtocolError::ResponsePayload(_) => None,
    }
}
