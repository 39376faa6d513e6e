//! Submission of a ticket.

use std::{
    fmt,
    time::Duration, //
};

use tokio::time::sleep;

use super::{
    advance_to,
    compact,
    encode,
    filed,
    head, //
};
use crate::{
    error::ErrorKind,
    process::platform::{
        Condition,
        Platform,
        PlatformError,
        PlatformResult, //
    },
    version::{
        config::Fold,
        head::{
            FiledTicket,
            HEAD_KEY,
            Head,
            Standing,
            ticket_key, //
        },
        ticket::{
            Ticket,
            Violation,
            check,
            check_deadlines, //
        },
    },
};

/// First pause after a failed call, in milliseconds; it doubles every time.
const MIN_PAUSE_MS: u64 = 20;
/// Longest pause between calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;

/// An accepted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Revision that the ticket led to.
    pub revision: u64,
    /// Whether it had been accepted before this submission.
    pub is_repeat: bool,
}

/// Why a submission failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The ticket breaks rules; it has no effect.
    Refused(Vec<Violation>),
    /// The number is taken by a ticket with other content.
    OtherContent,
    /// The object API failed; the ticket has no effect.
    Failed(PlatformError),
    /// The object API failed after a write; the ticket may have been accepted.
    /// Submitting the same ticket again resolves it.
    OutcomeUnknown(PlatformError),
}

impl SubmitError {
    /// Returns the kind that operators see.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused(violations) => violations
                .first()
                .map_or(ErrorKind::TicketInvalid, |violation| violation.kind),
            Self::OtherContent => ErrorKind::TicketConflict,
            Self::Failed(error) | Self::OutcomeUnknown(error) => error.kind(),
        }
    }
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(violations) => {
                write!(f, "the ticket breaks {} rules", violations.len())
            }
            Self::OtherContent => f.write_str("the number is taken by another ticket"),
            Self::Failed(error) => write!(f, "the ticket was not accepted: {error}"),
            Self::OutcomeUnknown(error) => {
                write!(f, "the ticket may have been accepted: {error}")
            }
        }
    }
}

impl std::error::Error for SubmitError {}

/// Files a ticket and appends it to the log.
///
/// Calls that fail are repeated until the deadline. A write whose answer is
/// lost is resolved by reading the head again. `fold` may hold any earlier
/// state; it is advanced on the way.
///
/// # Errors
///
/// Returns a [`SubmitError`].
pub async fn submit(
    platform: &Platform,
    fold: &mut Fold,
    ticket: &Ticket,
    deadline_us: u64,
) -> Result<Accepted, SubmitError> {
    let mut submission = Submission {
        platform,
        fold,
        ticket,
        deadline_us,
        pause_ms: MIN_PAUSE_MS,
        may_be_accepted: false,
    };
    let accepted = submission.run().await?;
    submission.compact_if_needed().await;
    Ok(accepted)
}

/// State of the ticket object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Filing {
    Missing,
    Present,
    Accepted(u64),
}

struct Submission<'a> {
    platform: &'a Platform,
    fold: &'a mut Fold,
    ticket: &'a Ticket,
    deadline_us: u64,
    pause_ms: u64,
    may_be_accepted: bool,
}

impl Submission<'_> {
    async fn run(&mut self) -> Result<Accepted, SubmitError> {
        loop {
            let error = match self.step().await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => PlatformError::Unavailable("other writers are faster".into()),
                Err(SubmitError::Failed(error)) => error,
                Err(error) => return Err(error),
            };
            self.pause(error).await?;
        }
    }

    /// Makes one attempt. Returns `None` when another writer was faster.
    async fn step(&mut self) -> Result<Option<Accepted>, SubmitError> {
        let head = head(self.platform, self.deadline_us)
            .await
            .map_err(SubmitError::Failed)?;
        let digest = self.ticket.digest();
        match head.value.standing(self.ticket.ticket, &digest) {
            Standing::Accepted(revision) => return Ok(Some(self.accepted(revision))),
            Standing::OtherContent => return Err(SubmitError::OtherContent),
            Standing::Absent => {}
        }
        // The head is read first: a ticket that compaction dropped from the
        // log is marked before the head changes.
        let filed = self.check_filed().await?;
        if let Filing::Accepted(revision) = filed {
            return Ok(Some(self.accepted(revision)));
        }
        if !self.check_rules(&head.value).await? {
            return Ok(None);
        }
        if filed == Filing::Missing && !self.file().await? {
            return Ok(None);
        }
        let next = head.value.with(self.ticket.ticket, digest);
        let value = encode(&next).map_err(SubmitError::Failed)?;
        let written = self
            .platform
            .put(HEAD_KEY, value, head.condition(), self.deadline_us)
            .await;
        match written {
            Ok(_) => {
                self.fold.apply(next.revision(), self.ticket);
                Ok(Some(Accepted {
                    revision: next.revision(),
                    is_repeat: false,
                }))
            }
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => {
                self.may_be_accepted |= error.is_outcome_unknown();
                Err(SubmitError::Failed(error))
            }
        }
    }

    const fn accepted(&self, revision: u64) -> Accepted {
        Accepted {
            revision,
            is_repeat: !self.may_be_accepted,
        }
    }

    /// Compares the ticket with the one that is filed under its number.
    async fn check_filed(&self) -> Result<Filing, SubmitError> {
        let found = filed(self.platform, self.ticket, self.deadline_us).await;
        match found.map_err(SubmitError::Failed)? {
            None => Ok(Filing::Missing),
            Some(filed) if filed.value.ticket != *self.ticket => Err(SubmitError::OtherContent),
            Some(filed) => Ok(filed
                .value
                .accepted_revision
                .map_or(Filing::Present, Filing::Accepted)),
        }
    }

    /// Checks the ticket against the state of a head. Returns false when the
    /// head has been replaced meanwhile.
    async fn check_rules(&mut self, head: &Head) -> Result<bool, SubmitError> {
        let is_current = advance_to(self.platform, self.fold, head, self.deadline_us)
            .await
            .map_err(SubmitError::Failed)?;
        if !is_current || self.fold.revision() != head.revision() {
            return Ok(false);
        }
        let mut violations = check(self.fold, self.ticket);
        let now_unix_ms = self.platform.clock().unix_ms();
        violations.extend(check_deadlines(self.fold, self.ticket, now_unix_ms));
        if violations.is_empty() {
            Ok(true)
        } else {
            Err(SubmitError::Refused(violations))
        }
    }

    /// Creates the ticket object. Returns false when another writer did.
    async fn file(&self) -> Result<bool, SubmitError> {
        let key = ticket_key(self.ticket.ticket);
        let filed = FiledTicket {
            ticket: self.ticket.clone(),
            accepted_revision: None,
        };
        let value = encode(&filed).map_err(SubmitError::Failed)?;
        let written = self
            .platform
            .put(&key, value, Condition::Absent, self.deadline_us)
            .await;
        match written {
            Ok(_) => Ok(true),
            // The next attempt compares the content.
            Err(PlatformError::Conflict { .. }) => Ok(false),
            Err(error) => Err(SubmitError::Failed(error)),
        }
    }

    async fn pause(&mut self, error: PlatformError) -> Result<(), SubmitError> {
        let is_permanent = matches!(
            error,
            PlatformError::TooLarge | PlatformError::InvalidKey(_)
        );
        let pause = Duration::from_millis(self.pause_ms);
        let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        if is_permanent || self.platform.clock().now_us() + pause_us >= self.deadline_us {
            return Err(if self.may_be_accepted {
                SubmitError::OutcomeUnknown(error)
            } else {
                SubmitError::Failed(error)
            });
        }
        sleep(pause).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
        Ok(())
    }

    /// Compacts the log. A failure leaves a longer log to the next submission.
    async fn compact_if_needed(&mut self) {
        let result: PlatformResult<()> = async {
            let head = head(self.platform, self.deadline_us).await?;
            if head.value.needs_compaction() {
                compact(self.platform, self.fold, self.deadline_us).await?;
            }
            Ok(())
        }
        .await;
        drop(result);
    }
}
