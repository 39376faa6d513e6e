//! All error kinds and the HTTP answer for each of them.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a failed request ran on a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It is certain that no target started the request.
    NotRun,
    /// A target started the request.
    Started,
    /// It is not known whether a target started the request.
    Unknown,
}

/// HTTP answer for one error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorAnswer {
    /// Name of the kind in error bodies, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran on a target.
    pub execution: Execution,
    /// Seconds for the `Retry-After` header, or `None` to send none.
    pub retry_after_s: Option<u32>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $execution:ident, $retry:expr;)*) => {
        /// Every kind of failure that a caller, operator or peer can see.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of `docs/errors.md`.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the HTTP answer for this kind.
            ///
            /// ```
            /// use yuccalatch::error::ErrorKind;
            ///
            /// assert_eq!(ErrorKind::RateLimited.answer().status, 429);
            /// ```
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        name: $name,
                        status: $status,
                        execution: Execution::$execution,
                        retry_after_s: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => "bad_request", 400, NotRun, None;
    /// The body is larger than the configured limit.
    BodyTooLarge => "body_too_large", 413, NotRun, None;
    /// The body did not arrive in time.
    BodyTimeout => "body_timeout", 408, NotRun, None;
    /// The body is malformed, and a part of it may have been forwarded.
    BodyMalformed => "body_malformed", 400, Unknown, None;
    /// The headers exceed the limit on their size or number.
    HeadersTooLarge => "headers_too_large", 431, NotRun, None;
    /// The headers did not arrive in time.
    HeadersTimeout => "headers_timeout", 408, NotRun, None;
    /// The API key is missing, unknown or withdrawn.
    UnknownKey => "unknown_key", 401, NotRun, None;
    /// The organisation of the API key may not use the route.
    Forbidden => "forbidden", 403, NotRun, None;
    /// No route matches.
    RouteNotFound => "route_not_found", 404, NotRun, None;
    /// The route does not accept the method.
    MethodNotAllowed => "method_not_allowed", 405, NotRun, None;
    /// The organisation has used up its rate and burst.
    RateLimited => "rate_limited", 429, NotRun, Some(1);
    /// The request costs more tokens than the burst of the organisation.
    CostAboveBurst => "cost_above_burst", 413, NotRun, None;
    /// The queue of every candidate target is full, or is expected to be too long.
    Overloaded => "overloaded", 503, NotRun, Some(1);
    /// The memory for request bodies is in use.
    MemoryFull => "memory_full", 503, NotRun, Some(1);
    /// No live target serves the route.
    NoTarget => "no_target", 503, NotRun, Some(2);
    /// A part of the prompt has crashed several engines.
    PromptQuarantined => "prompt_quarantined", 503, NotRun, Some(10);
    /// The process is stopping.
    Stopping => "stopping", 503, NotRun, Some(1);
    /// No configuration has been received yet.
    NotReady => "not_ready", 503, NotRun, Some(1);
    /// The entry has lost contact and may have missed withdrawals of API keys.
    KeysStale => "keys_stale", 503, NotRun, Some(2);
    /// The deadline passed before a target started the request.
    DeadlineBeforeStart => "deadline_before_start", 504, NotRun, Some(1);
    /// The attempt was cancelled before it started.
    Barred => "barred", 409, NotRun, None;
    /// The attempt named another incarnation of the agent.
    WrongIncarnation => "wrong_incarnation", 409, NotRun, None;
    /// The target does not serve the version that the attempt named.
    WrongVersion => "wrong_version", 409, NotRun, None;
    /// Nothing can verify that the idempotency key has not run before.
    IdempotencyUnverified => "idempotency_unverified", 503, NotRun, Some(5);
    /// The idempotency key was used with another request.
    IdempotencyConflict => "idempotency_conflict", 422, NotRun, None;
    /// The attempt was received before, or its record may have been dropped.
    DuplicateAttempt => "duplicate_attempt", 409, Unknown, None;
    /// The target failed while it ran the request.
    TargetFailed => "target_failed", 502, Started, None;
    /// The request may have run, but its outcome is not known, for example because
    /// the connection broke.
    OutcomeUnknown => "outcome_unknown", 502, Unknown, None;
    /// The deadline passed while the request ran.
    DeadlineExceeded => "deadline_exceeded", 504, Started, None;
    /// The stream cannot be continued from the last chunk.
    StreamBroken => "stream_broken", 502, Started, None;
    /// The ticket or object is invalid.
    TicketInvalid => "ticket_invalid", 400, NotRun, None;
    /// The ticket number was used with other content.
    TicketConflict => "ticket_conflict", 409, NotRun, None;
    /// A ticket with a higher number has set or removed the same object.
    TicketOutdated => "ticket_outdated", 409, NotRun, None;
    /// A move cannot finish by the requested time.
    MoveInfeasible => "move_infeasible", 422, NotRun, None;
    /// An order carries an old fencing number.
    OrderFenced => "order_fenced", 409, NotRun, None;
    /// The object API does not answer, or its answer is invalid.
    PlatformUnavailable => "platform_unavailable", 503, Unknown, Some(5);
    /// A conditional update found another version.
    PlatformConflict => "platform_conflict", 409, NotRun, None;
    /// A peer does not answer.
    PeerUnavailable => "peer_unavailable", 503, Unknown, Some(1);
    /// The settings are invalid.
    SettingsInvalid => "settings_invalid", 400, NotRun, None;
    /// The command line is invalid.
    UsageInvalid => "usage_invalid", 400, NotRun, None;
    /// A file or socket operation failed.
    Io => "io", 500, Unknown, None;
    /// A defect in the program.
    Internal => "internal", 500, Unknown, None;
}

impl ErrorKind {
    /// Returns the name used in error bodies, logs and metrics.
    ///
    /// ```
    /// use yuccalatch::error::ErrorKind;
    ///
    /// assert_eq!(ErrorKind::NoTarget.name(), "no_target");
    /// ```
    pub const fn name(self) -> &'static str {
        self.answer().name
    }

    /// Returns whether it is certain that no target started the request.
    ///
    /// ```
    /// use yuccalatch::error::ErrorKind;
    ///
    /// assert!(ErrorKind::Overloaded.is_not_run());
    /// assert!(!ErrorKind::OutcomeUnknown.is_not_run());
    /// ```
    pub const fn is_not_run(self) -> bool {
        matches!(self.answer().execution, Execution::NotRun)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for ErrorKind {}

/// Error report whose context is an [`ErrorKind`].
pub type Report = error_stack::Report<ErrorKind>;

/// Result whose error is a [`Report`].
pub type Result<T> = std::result::Result<T, Report>;
