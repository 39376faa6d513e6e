//! Decides what the head of an answer proves about the request that it answers.
//!
//! Targets fail in any way after they have run a request, also with statuses that mean
//! "not run" to callers. Only the statement of the target itself, or its refusal of a
//! request that was meant for another target or for other weights, proves that a request
//! has not run.

use ntex::http::StatusCode;

use super::message::AnswerHead;
use crate::names::Name;

/// What the head of an answer proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target states that it has not run the request.
    NotRun,
    /// The request was meant for another target or for other weights, and has not run.
    Misdirected(Misdirection),
    /// The answer is not one of the target to this request. The request may have run.
    Invalid(InvalidAnswer),
    /// The target failed the request with a status that tells callers that it has not run,
    /// and does not state that. The request may have run.
    UnstatedRefusal,
    /// The target has answered the request, with a success or a failure of its own that
    /// is passed on with this status.
    Answered(ForwardedStatus),
}

/// Status of a target's answer that is passed on to a caller. It never means "not run".
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardedStatus(StatusCode);

impl ForwardedStatus {
    /// Returns `None` for a status that [means "not run"](means_not_run) to callers.
    ///
    /// ```
    /// use ntex::http::StatusCode;
    /// use yuccalatch::direct::answer::ForwardedStatus;
    ///
    /// assert!(ForwardedStatus::new(StatusCode::SERVICE_UNAVAILABLE).is_none());
    /// let status = ForwardedStatus::new(StatusCode::OK).unwrap();
    /// assert_eq!(status.code(), StatusCode::OK);
    /// ```
    pub fn new(status: StatusCode) -> Option<Self> {
        (!means_not_run(status)).then_some(Self(status))
    }

    /// Returns the status code.
    pub const fn code(self) -> StatusCode {
        self.0
    }
}

/// Returns whether callers take a status as a promise that the request has not run and
/// never will.
///
/// ```
/// use ntex::http::StatusCode;
/// use yuccalatch::direct::answer::means_not_run;
///
/// assert!(means_not_run(StatusCode::TOO_MANY_REQUESTS));
/// assert!(!means_not_run(StatusCode::BAD_GATEWAY));
/// ```
pub fn means_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

/// Why a target refused a request that it was not meant for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misdirection {
    /// Another target has the address.
    OtherTarget,
    /// The engine has other weights than the request names.
    OtherWeights,
}

/// Why an answer is not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidAnswer {
    /// It names another request.
    OtherRequest,
    /// It is a success without the target's signature.
    Unsigned,
    /// It is a success and states that the request has not run.
    Contradictory,
    /// It is a success with an encoded body, which is not the target's.
    Encoded,
}

impl Misdirection {
    /// Returns the value for log lines.
    ///
    /// ```
    /// use yuccalatch::direct::answer::Misdirection;
    ///
    /// assert_eq!(Misdirection::OtherTarget.name(), "other_target");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::OtherTarget => "other_target",
            Self::OtherWeights => "other_weights",
        }
    }
}

impl InvalidAnswer {
    /// Returns the value for log lines.
    ///
    /// ```
    /// use yuccalatch::direct::answer::InvalidAnswer;
    ///
    /// assert_eq!(InvalidAnswer::Unsigned.name(), "unsigned");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::Unsigned => "unsigned",
            Self::Contradictory => "contradictory",
            Self::Encoded => "encoded",
        }
    }
}

/// Judges the head of an answer to a request with the given id that was sent to `target`.
///
/// ```
/// use ntex::http::StatusCode;
/// use yuccalatch::direct::{
///     answer::{Verdict, judge},
///     message::AnswerHead,
/// };
///
/// let signed = AnswerHead { has_signature: true, ..AnswerHead::default() };
/// let verdict = judge(StatusCode::REQUEST_TIMEOUT, &signed, None, &"t-1".into());
/// assert_eq!(verdict, Verdict::UnstatedRefusal);
/// let refused = AnswerHead { states_not_run: true, ..AnswerHead::default() };
/// let verdict = judge(StatusCode::SERVICE_UNAVAILABLE, &refused, None, &"t-1".into());
/// assert_eq!(verdict, Verdict::NotRun);
/// ```
pub fn judge(
    status: StatusCode,
    head: &AnswerHead,
    request_id: Option<&Name>,
    target: &Name,
) -> Verdict {
    // Nothing that an answer to another request states holds for this one. An answer that
    // names no request is one to this one, as a connection carries one request.
    if head.request_id.is_some() && head.request_id.as_ref() != request_id {
        return Verdict::Invalid(InvalidAnswer::OtherRequest);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let is_other_target = head.target.as_ref().is_some_and(|id| id != target);
        return Verdict::Misdirected(if is_other_target {
            Misdirection::OtherTarget
        } else {
            Misdirection::OtherWeights
        });
    }
    if status.is_success() {
        return if head.states_not_run {
            Verdict::Invalid(InvalidAnswer::Contradictory)
        } else if !head.has_signature {
            Verdict::Invalid(InvalidAnswer::Unsigned)
        } else if head.is_encoded {
            Verdict::Invalid(InvalidAnswer::Encoded)
        } else {
            Verdict::Answered(ForwardedStatus(status))
        };
    }
    if head.states_not_run {
        return Verdict::NotRun;
    }
    ForwardedStatus::new(status).map_or(Verdict::UnstatedRefusal, Verdict::Answered)
}
