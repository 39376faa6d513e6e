//! Commands that work on tickets, without a terminal.

use std::{
    fmt,
    io::Read, //
};

use error_stack::{
    Report,
    ResultExt, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    jsonc::Problem,
    names::Digest,
    process::platform::{
        Platform, PlatformError, PlatformResult,
        configuration::{
            Accepted,
            SubmitError,
            advance,
            list_tickets,
            read_head,
            read_ticket,
            submit, //
        },
    },
    version::{
        config::Fold,
        head::{
            FiledTicket,
            Head,
            Standing, //
        },
        keys::digest_of,
        ticket::{
            TicketFile,
            Violation,
            check,
            check_deadlines, //
        },
    },
};

/// Longest key text, in bytes.
pub const MAX_KEY_TEXT_BYTES: usize = 4_096;

/// Why a ticket command failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    /// The ticket breaks rules, listed with their places.
    Refused {
        /// Kind of the first refusal.
        kind: ErrorKind,
        /// All refusals.
        problems: Vec<Problem>,
    },
    /// The number is taken by a ticket with other content.
    OtherContent,
    /// The object API failed; nothing was changed.
    Failed(PlatformError),
    /// The object API failed after a write; the ticket may have been accepted.
    OutcomeUnknown(PlatformError),
    /// The ticket does not exist.
    NotFound(u64),
}

impl CommandError {
    /// Returns the kind that operators see.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused { kind, .. } => *kind,
            Self::OtherContent => ErrorKind::TicketConflict,
            Self::Failed(error) | Self::OutcomeUnknown(error) => error.kind(),
            Self::NotFound(_) => ErrorKind::TicketInvalid,
        }
    }

    /// Returns whether the object API could not be reached.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::Failed(_) | Self::OutcomeUnknown(_))
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        Self::Failed(error)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { problems, .. } => {
                for (position, problem) in problems.iter().enumerate() {
                    let separator = if position > 0 { "\n" } else { "" };
                    write!(f, "{separator}{problem}")?;
                }
                Ok(())
            }
            Self::OtherContent => f.write_str(
                "the number is taken by a ticket with other content (hint: take a new number)",
            ),
            Self::Failed(error) => write!(f, "nothing was changed: {error}"),
            Self::OutcomeUnknown(error) => write!(
                f,
                "the ticket may have been accepted: {error} (hint: submit the same file again)"
            ),
            Self::NotFound(ticket) => write!(f, "ticket {ticket} does not exist"),
        }
    }
}

impl std::error::Error for CommandError {}

/// Parses a ticket.
///
/// # Errors
///
/// Returns [`CommandError::Refused`] with the first problem.
///
/// ```
/// use yuccalatch::operator::command::parse_ticket;
///
/// let error = parse_ticket("t.json", "{}").unwrap_err();
/// assert!(error.to_string().starts_with("t.json:1:2: missing field `ticket`"));
/// ```
pub fn parse_ticket(file: &str, text: &str) -> std::result::Result<TicketFile, CommandError> {
    TicketFile::parse(file, text).map_err(|report| CommandError::Refused {
        kind: ErrorKind::TicketInvalid,
        problems: vec![report.current_context().clone()],
    })
}

/// Checks a ticket against the present state and returns the revision of that
/// state. An accepted ticket passes.
///
/// # Errors
///
/// Returns a [`CommandError`].
pub async fn check_ticket(
    platform: &Platform,
    file: &TicketFile,
    deadline_us: u64,
) -> std::result::Result<u64, CommandError> {
    // The head is read first, because compaction marks tickets before it
    // drops their log entries.
    let head = read_head(platform, deadline_us).await?;
    let mut fold = Fold::default();
    let revision = advance(platform, &mut fold, deadline_us).await?;
    let ticket = file.ticket();
    if let Some(filed) = read_ticket(platform, ticket.ticket, deadline_us).await? {
        if filed.ticket != *ticket {
            return Err(CommandError::OtherContent);
        }
        if accepted_revision(&head, &filed).is_some() {
            return Ok(revision);
        }
    }
    let mut violations = check(&fold, ticket);
    let now_unix_ms = platform.clock().unix_ms();
    violations.extend(check_deadlines(&fold, ticket, now_unix_ms));
    if violations.is_empty() {
        Ok(revision)
    } else {
        Err(refused(file, &violations))
    }
}

/// Submits a ticket.
///
/// # Errors
///
/// Returns a [`CommandError`].
pub async fn submit_ticket(
    platform: &Platform,
    file: &TicketFile,
    deadline_us: u64,
) -> std::result::Result<Accepted, CommandError> {
    let mut fold = Fold::default();
    let result = submit(platform, &mut fold, file.ticket(), deadline_us).await;
    result.map_err(|error| match error {
        SubmitError::Refused(violations) => refused(file, &violations),
        SubmitError::OtherContent => CommandError::OtherContent,
        SubmitError::Failed(error) => CommandError::Failed(error),
        SubmitError::OutcomeUnknown(error) => CommandError::OutcomeUnknown(error),
    })
}

/// Reads a ticket and the revision that accepted it, if any did.
///
/// # Errors
///
/// Returns a [`CommandError`].
pub async fn show_ticket(
    platform: &Platform,
    ticket: u64,
    deadline_us: u64,
) -> std::result::Result<(FiledTicket, Option<u64>), CommandError> {
    let head = read_head(platform, deadline_us).await?;
    let filed = read_ticket(platform, ticket, deadline_us).await?;
    let filed = filed.ok_or(CommandError::NotFound(ticket))?;
    let revision = accepted_revision(&head, &filed);
    Ok((filed, revision))
}

/// Reads all tickets with the revisions that accepted them.
///
/// # Errors
///
/// Fails as described at [`PlatformError`].
pub async fn all_tickets(
    platform: &Platform,
    deadline_us: u64,
) -> PlatformResult<Vec<(FiledTicket, Option<u64>)>> {
    // The head is read first, because compaction marks tickets before it
    // drops their log entries.
    let head = read_head(platform, deadline_us).await?;
    let tickets = list_tickets(platform, 0, deadline_us).await?;
    Ok(tickets
        .into_iter()
        .map(|filed| {
            let revision = accepted_revision(&head, &filed);
            (filed, revision)
        })
        .collect())
}

/// Reads a key text and returns its digest. One line end is not part of it.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the input cannot be read, and
/// [`ErrorKind::BadRequest`] when it cannot be a key.
///
/// ```
/// use yuccalatch::{operator::command::read_key_digest, version::keys::digest_of};
///
/// let digest = read_key_digest(&b"abc\n"[..]).unwrap();
/// assert_eq!(digest, digest_of(b"abc"));
/// ```
pub fn read_key_digest(input: impl Read) -> Result<Digest> {
    let mut text = Vec::new();
    let limit = u64::try_from(MAX_KEY_TEXT_BYTES + 3).unwrap_or(u64::MAX);
    input
        .take(limit)
        .read_to_end(&mut text)
        .change_context(ErrorKind::Io)?;
    if text.ends_with(b"\n") {
        text.pop();
        if text.ends_with(b"\r") {
            text.pop();
        }
    }
    // Callers send the key in a header, which holds visible ASCII only.
    let is_valid = text.iter().all(u8::is_ascii_graphic);
    if text.is_empty() || text.len() > MAX_KEY_TEXT_BYTES || !is_valid {
        return Err(Report::new(ErrorKind::BadRequest)
            .attach("a key has 1 to 4096 visible ASCII characters and no spaces"));
    }
    Ok(digest_of(&text))
}

fn accepted_revision(head: &Head, filed: &FiledTicket) -> Option<u64> {
    let ticket = &filed.ticket;
    match head.standing(ticket.ticket, &ticket.digest()) {
        Standing::Accepted(revision) => Some(revision),
        Standing::OtherContent | Standing::Absent => filed.accepted_revision,
    }
}

fn refused(file: &TicketFile, violations: &[Violation]) -> CommandError {
    CommandError::Refused {
        kind: violations
            .first()
            .map_or(ErrorKind::TicketInvalid, |violation| violation.kind),
        problems: violations.iter().map(|v| file.problem(v)).collect(),
    }
}
