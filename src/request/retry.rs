//! Recovery from failed attempts, retry budget, backoff and deadlines.

use rand::Rng;

use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Execution, //
    },
    process::at_most_once::AttemptState, //
};

/// How far an attempt had come when it failed, according to what the entry has
/// sent and received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// No byte of the attempt was sent.
    Unsent,
    /// The attempt was sent, and no frame has come back.
    Sent,
    /// The agent was asked to cancel the attempt unless it had started. The failure
    /// is the result of this request.
    CancelRequested,
    /// The head of the response has arrived, and nothing was passed to the caller.
    HeadReceived,
    /// Part of the response was passed to the caller.
    Streaming,
}

/// Properties of a request that determine which recoveries are allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryProperties {
    /// Whether the route allows the request to run more than once.
    pub idempotent: bool,
    /// Whether the response can be continued from the text emitted so far.
    pub continuable: bool,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Recovery {
    /// Report the failure to the caller.
    Answer,
    /// Report to the caller that the outcome is unknown.
    AnswerUnknown,
    /// Start a new attempt on another target. Uses the retry budget.
    OtherTarget,
    /// Ask the same incarnation of the agent to cancel the attempt unless it has
    /// started.
    CancelUnlessStarted,
    /// Resume the same attempt on a new connection.
    Resume,
    /// Continue the response on another target with the same version, from the text
    /// emitted so far. Uses the retry budget.
    Continue,
}

/// Decides what to do after a failure of an attempt.
///
/// `kind` is [`ErrorKind::PeerUnavailable`] for a lost connection, and
/// [`ErrorKind::OutcomeUnknown`] for an agent that has restarted after the attempt
/// was sent. The HTTP client must not resend an attempt by itself: if the agent
/// refused the second copy, the first one might still have run.
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::request::retry::{choose_recovery, AttemptPhase, Recovery, RetryProperties};
///
/// let order = RetryProperties { idempotent: false, continuable: false };
/// let lost = ErrorKind::PeerUnavailable;
/// assert_eq!(choose_recovery(lost, AttemptPhase::Unsent, order), Recovery::OtherTarget);
/// assert_eq!(choose_recovery(lost, AttemptPhase::Sent, order), Recovery::CancelUnlessStarted);
/// let unknown = ErrorKind::OutcomeUnknown;
/// assert_eq!(
///     choose_recovery(unknown, AttemptPhase::CancelRequested, order),
///     Recovery::AnswerUnknown
/// );
/// ```
pub const fn choose_recovery(
    kind: ErrorKind,
    phase: AttemptPhase,
    request: RetryProperties,
) -> Recovery {
    match phase {
        AttemptPhase::Unsent => match kind {
            ErrorKind::PeerUnavailable => Recovery::OtherTarget,
            _ => choose_recovery_if_not_run(kind),
        },
        AttemptPhase::Sent => match kind {
            ErrorKind::PeerUnavailable | ErrorKind::DuplicateAttempt => {
                Recovery::CancelUnlessStarted
            }
            _ if kind.is_not_run() => choose_recovery_if_not_run(kind),
            _ => choose_recovery_if_started(kind, request),
        },
        AttemptPhase::CancelRequested => match kind {
            ErrorKind::Barred => Recovery::OtherTarget,
            _ => choose_recovery_if_started(kind, request),
        },
        AttemptPhase::HeadReceived => match kind {
            ErrorKind::PeerUnavailable => Recovery::Resume,
            _ => choose_recovery_if_started(kind, request),
        },
        AttemptPhase::Streaming => match kind {
            ErrorKind::PeerUnavailable => Recovery::Resume,
            _ if !has_outcome(kind) && request.idempotent && request.continuable => {
                Recovery::Continue
            }
            _ => answer_after_start(kind),
        },
    }
}

/// Decides about an attempt that did not run, so that another target may accept the
/// request.
const fn choose_recovery_if_not_run(kind: ErrorKind) -> Recovery {
    match kind {
        ErrorKind::Overloaded
        | ErrorKind::Stopping
        | ErrorKind::NotReady
        | ErrorKind::Barred
        | ErrorKind::WrongIncarnation
        | ErrorKind::WrongVersion => Recovery::OtherTarget,
        _ => Recovery::Answer,
    }
}

/// Decides about an attempt that has started or may have started.
const fn choose_recovery_if_started(kind: ErrorKind, request: RetryProperties) -> Recovery {
    if request.idempotent && !has_outcome(kind) {
        return Recovery::OtherTarget;
    }
    answer_after_start(kind)
}

/// Returns whether a failure is the final outcome, which no other attempt would
/// change.
const fn has_outcome(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::DeadlineExceeded | ErrorKind::Internal)
}

/// Decides how to answer after the attempt may have run. A kind that says "not run"
/// is then reported as an unknown outcome.
const fn answer_after_start(kind: ErrorKind) -> Recovery {
    match kind.answer().execution {
        Execution::Started => Recovery::Answer,
        Execution::NotRun | Execution::Unknown => Recovery::AnswerUnknown,
    }
}

/// Decides what to do when the agent has answered the request to cancel an attempt.
///
/// ```
/// use yuccalatch::process::at_most_once::AttemptState;
/// use yuccalatch::request::retry::{recovery_for_state, Recovery, RetryProperties};
///
/// let order = RetryProperties { idempotent: false, continuable: false };
/// assert_eq!(recovery_for_state(AttemptState::Cancelled, order), Recovery::OtherTarget);
/// assert_eq!(recovery_for_state(AttemptState::Running, order), Recovery::Resume);
/// assert_eq!(recovery_for_state(AttemptState::Unknown, order), Recovery::AnswerUnknown);
/// ```
pub const fn recovery_for_state(state: AttemptState, request: RetryProperties) -> Recovery {
    match state {
        AttemptState::Cancelled => Recovery::OtherTarget,
        AttemptState::Running | AttemptState::Done(_) => Recovery::Resume,
        AttemptState::NotReceived | AttemptState::Queued | AttemptState::Unknown => {
            choose_recovery_if_started(ErrorKind::OutcomeUnknown, request)
        }
    }
}

/// Rate and burst of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryRate {
    /// Retries allowed per thousand first attempts.
    pub per_thousand: u32,
    /// Thousandths of a retry that are allowed per second in addition, so that an entry
    /// with little traffic can still retry.
    pub floor_milli_per_s: u32,
    /// Most retries that can accumulate for use at once.
    pub burst: u32,
}

impl Default for RetryRate {
    /// Allows one retry for ten requests, which limits the load during an overload to
    /// 1.1 times that of the first attempts.
    fn default() -> Self {
        Self {
            per_thousand: 100,
            floor_milli_per_s: 1_000,
            burst: 10,
        }
    }
}

/// The budget is counted in millionths of a retry.
const UNITS_PER_RETRY: u64 = 1_000_000;

/// Token bucket to which first attempts add and from which retries take, so that
/// retries cannot multiply the load during an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rate: RetryRate,
    level_units: u64,
    refilled_at_us: u64,
}

impl RetryBudget {
    /// Creates a budget that allows a full burst of retries at once.
    ///
    /// ```
    /// use yuccalatch::request::retry::{RetryBudget, RetryRate};
    ///
    /// let rate = RetryRate { per_thousand: 500, floor_milli_per_s: 0, burst: 1 };
    /// let mut budget = RetryBudget::new(rate, 0);
    /// assert!(budget.try_retry(0));
    /// assert!(!budget.try_retry(0));
    /// budget.note_first_attempt();
    /// budget.note_first_attempt();
    /// assert!(budget.try_retry(0));
    /// ```
    pub fn new(rate: RetryRate, now_us: u64) -> Self {
        Self {
            rate,
            level_units: u64::from(rate.burst) * UNITS_PER_RETRY,
            refilled_at_us: now_us,
        }
    }

    /// Applies another rate, for example after the number of entries has changed. What
    /// has accumulated is kept up to the new burst.
    ///
    /// ```
    /// use yuccalatch::request::retry::{RetryBudget, RetryRate};
    ///
    /// let rate = RetryRate { per_thousand: 0, floor_milli_per_s: 0, burst: 10 };
    /// let mut budget = RetryBudget::new(rate, 0);
    /// budget.set_rate(RetryRate { burst: 1, ..rate });
    /// assert!(budget.try_retry(0));
    /// assert!(!budget.try_retry(0));
    /// ```
    pub fn set_rate(&mut self, rate: RetryRate) {
        self.rate = rate;
        self.add_units(0);
    }

    /// Adds the part of a retry that the first attempt of a request allows.
    pub fn note_first_attempt(&mut self) {
        self.add_units(u64::from(self.rate.per_thousand) * (UNITS_PER_RETRY / 1_000));
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        self.refilled_at_us = self.refilled_at_us.max(now_us);
        // One retry per second is one unit per microsecond.
        let floor_units = elapsed_us.saturating_mul(u64::from(self.rate.floor_milli_per_s));
        self.add_units(floor_units / 1_000);
        let Some(level_units) = self.level_units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.level_units = level_units;
        true
    }

    fn add_units(&mut self, units: u64) {
        let capacity_units = u64::from(self.rate.burst) * UNITS_PER_RETRY;
        self.level_units = self.level_units.saturating_add(units).min(capacity_units);
    }
}

// `try_retry` relies on a retry having as many units as a second has microseconds.
const _: () = assert!(UNITS_PER_RETRY == US_PER_S);

/// Upper bound of the wait before the first retry.
pub const BACKOFF_BASE_US: u64 = 10 * US_PER_MS;

/// Upper bound of the wait before any retry.
pub const BACKOFF_MAX_US: u64 = US_PER_S;

/// Returns when to retry, or `None` if that is not before the deadline.
///
/// The wait is random between zero and a bound that doubles with each retry, so
/// that requests that failed together are not retried together.
///
/// ```
/// use rand::SeedableRng;
/// use yuccalatch::request::retry::{backoff, Deadline, BACKOFF_BASE_US};
///
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let deadline = Deadline { expires_at_us: 1_000_000 };
/// let retry_at_us = backoff(0, 0, deadline, &mut random).unwrap();
/// assert!(retry_at_us <= BACKOFF_BASE_US);
/// assert_eq!(backoff(1_000_000, 0, deadline, &mut random), None);
/// ```
pub fn backoff(
    now_us: u64,
    earlier_retries: u32,
    deadline: Deadline,
    random: &mut impl Rng,
) -> Option<u64> {
    let bound_us = BACKOFF_BASE_US.saturating_mul(1 << earlier_retries.min(32));
    let wait_us = random.random_range(0..=bound_us.min(BACKOFF_MAX_US));
    let retry_at_us = now_us.saturating_add(wait_us);
    (retry_at_us < deadline.expires_at_us).then_some(retry_at_us)
}

/// Time at which a request expires, on the monotonic clock of this process.
///
/// Processes send each other the remaining time instead, because their monotonic
/// clocks have no common origin.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    /// The same clock as for every `now_us`.
    pub expires_at_us: u64,
}

impl Deadline {
    /// Computes the deadline from the remaining time that a caller or another
    /// process sent.
    ///
    /// ```
    /// use yuccalatch::request::retry::Deadline;
    ///
    /// let deadline = Deadline::from_budget_ms(500, 2);
    /// assert_eq!(deadline.remaining_ms(500), Some(2));
    /// assert_eq!(deadline.remaining_ms(501), Some(1));
    /// assert_eq!(deadline.remaining_ms(2_500), None);
    /// ```
    pub const fn from_budget_ms(now_us: u64, budget_ms: u64) -> Self {
        Self {
            expires_at_us: now_us.saturating_add(budget_ms.saturating_mul(US_PER_MS)),
        }
    }

    /// Returns the remaining time to send to the next process, or `None` if it is
    /// less than a millisecond. It is rounded down, so that the deadline never
    /// moves to a later time from process to process.
    pub const fn remaining_ms(self, now_us: u64) -> Option<u64> {
        match self.expires_at_us.saturating_sub(now_us) / US_PER_MS {
            0 => None,
            remaining_ms => Some(remaining_ms),
        }
    }
}
