//! Which failure may be retried where, retry budget, backoff and deadlines.

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

/// How far an attempt had come when it failed, as the entry sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptPhase {
    /// No byte of the attempt was sent.
    Unsent,
    /// The attempt was sent, and no frame has come back.
    Sent,
    /// The agent was asked to bar the attempt, and the failure is the outcome.
    CancelRequested,
    /// The head has arrived, and nothing was passed to the caller.
    HeadReceived,
    /// Part of the response was passed to the caller.
    Streaming,
}

/// Properties of a request that decide about retries.
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
    /// Answer the caller with the failure.
    Answer,
    /// Answer the caller that the outcome is unknown.
    AnswerUnknown,
    /// Start a new attempt on another target. Needs the retry budget.
    OtherTarget,
    /// Ask the same agent incarnation to bar the attempt unless it started.
    CancelUnlessStarted,
    /// Resume the same attempt on a new connection.
    Resume,
    /// Continue on another target of the same version with the emitted text.
    /// Needs the retry budget.
    Continue,
}

/// Decides what to do after a failure of an attempt.
///
/// A lost connection is [`ErrorKind::PeerUnavailable`]; an agent that has
/// restarted is [`ErrorKind::OutcomeUnknown`] once the attempt was sent. The HTTP
/// client must not resend an attempt by itself: a refusal of the second copy says
/// nothing about the first.
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
/// assert_eq!(choose_recovery(unknown, AttemptPhase::CancelRequested, order), Recovery::AnswerUnknown);
/// ```
pub const fn choose_recovery(
    kind: ErrorKind,
    phase: AttemptPhase,
    request: RetryProperties,
) -> Recovery {
    match phase {
        AttemptPhase::Unsent => match kind {
            ErrorKind::PeerUnavailable => Recovery::OtherTarget,
            _ => after_refusal(kind),
        },
        AttemptPhase::Sent => match kind {
            ErrorKind::PeerUnavailable | ErrorKind::DuplicateAttempt => {
                Recovery::CancelUnlessStarted
            }
            _ if kind.is_not_run() => after_refusal(kind),
            _ => after_loss(kind, request),
        },
        AttemptPhase::CancelRequested => match kind {
            ErrorKind::Barred => Recovery::OtherTarget,
            _ => after_loss(kind, request),
        },
        AttemptPhase::HeadReceived => match kind {
            ErrorKind::PeerUnavailable => Recovery::Resume,
            _ => after_loss(kind, request),
        },
        AttemptPhase::Streaming => match kind {
            ErrorKind::PeerUnavailable => Recovery::Resume,
            _ if !has_outcome(kind) && request.idempotent && request.continuable => {
                Recovery::Continue
            }
            _ => answer_started(kind),
        },
    }
}

/// The attempt did not run; another target may accept it.
const fn after_refusal(kind: ErrorKind) -> Recovery {
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

/// The attempt started, or may have.
const fn after_loss(kind: ErrorKind, request: RetryProperties) -> Recovery {
    if request.idempotent && !has_outcome(kind) {
        return Recovery::OtherTarget;
    }
    answer_started(kind)
}

/// Kinds after which a repetition cannot help.
const fn has_outcome(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::DeadlineExceeded | ErrorKind::Internal)
}

/// A kind that claims "not run" is not believed after the attempt may have run.
const fn answer_started(kind: ErrorKind) -> Recovery {
    match kind.answer().execution {
        Execution::Started => Recovery::Answer,
        Execution::NotRun | Execution::Unknown => Recovery::AnswerUnknown,
    }
}

/// Decides what to do with the answer to a request to bar an attempt.
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
            after_loss(ErrorKind::OutcomeUnknown, request)
        }
    }
}

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryRate {
    /// Retries allowed for each thousand first attempts.
    pub per_thousand: u32,
    /// Retries allowed in a second without any first attempts, so that a quiet
    /// entry can still retry.
    pub floor_per_s: u32,
    /// Largest number of retries at once.
    pub burst: u32,
}

impl Default for RetryRate {
    /// One retry for ten requests bounds the load of an overload at 1.1 times;
    /// the choice is not measured.
    fn default() -> Self {
        Self {
            per_thousand: 100,
            floor_per_s: 1,
            burst: 10,
        }
    }
}

/// Millionths of a retry, the unit in which the budget is counted.
const UNITS: u64 = 1_000_000;

/// Token bucket that first attempts fill and retries empty, so that retries never
/// multiply an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rate: RetryRate,
    level_units: u64,
    counted_to_us: u64,
}

impl RetryBudget {
    /// Starts with a full bucket.
    ///
    /// ```
    /// use yuccalatch::request::retry::{RetryBudget, RetryRate};
    ///
    /// let rate = RetryRate { per_thousand: 500, floor_per_s: 0, burst: 1 };
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
            level_units: u64::from(rate.burst) * UNITS,
            counted_to_us: now_us,
        }
    }

    /// Counts the first attempt of a request.
    pub fn note_first_attempt(&mut self) {
        self.fill(u64::from(self.rate.per_thousand) * (UNITS / 1_000));
    }

    /// Takes one retry from the budget, or returns false when it is used up.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        let elapsed_us = now_us.saturating_sub(self.counted_to_us);
        self.counted_to_us = self.counted_to_us.max(now_us);
        // A microsecond adds one unit for each retry in a second.
        self.fill(elapsed_us.saturating_mul(u64::from(self.rate.floor_per_s)));
        let Some(level_units) = self.level_units.checked_sub(UNITS) else {
            return false;
        };
        self.level_units = level_units;
        true
    }

    fn fill(&mut self, units: u64) {
        let capacity_units = u64::from(self.rate.burst) * UNITS;
        self.level_units = self.level_units.saturating_add(units).min(capacity_units);
    }
}

// Units in a retry and microseconds in a second are the same number, which
// `try_retry` relies on.
const _: () = assert!(UNITS == US_PER_S);

/// Upper bound of the first wait, in microseconds.
pub const BACKOFF_BASE_US: u64 = 10 * US_PER_MS;

/// Upper bound of every wait, in microseconds.
pub const BACKOFF_MAX_US: u64 = US_PER_S;

/// Returns when to try again, or `None` when the deadline comes first.
///
/// The wait is drawn evenly between zero and a bound that doubles with each
/// retry, so that callers that failed together do not return together.
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
    let doubled_us = BACKOFF_BASE_US.saturating_mul(1 << earlier_retries.min(32));
    let wait_us = random.random_range(0..=doubled_us.min(BACKOFF_MAX_US));
    let retry_at_us = now_us.saturating_add(wait_us);
    (retry_at_us < deadline.expires_at_us).then_some(retry_at_us)
}

/// End of a request on the monotonic clock of this process.
///
/// Between processes it travels as the remaining budget, because their clocks
/// have nothing in common.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    /// When the request expires.
    pub expires_at_us: u64,
}

impl Deadline {
    /// Makes a deadline from a budget that a peer or caller sent.
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

    /// Returns the budget for the next hop, rounded down so that it never grows
    /// on the way, or `None` when less than a millisecond is left.
    pub const fn remaining_ms(self, now_us: u64) -> Option<u64> {
        match self.expires_at_us.saturating_sub(now_us) / US_PER_MS {
            0 => None,
            remaining_ms => Some(remaining_ms),
        }
    }
}
