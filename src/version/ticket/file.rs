//! Tickets in files, with problems at their lines and columns.

use error_stack::Report;

use super::{
    Ticket,
    check::{
        Place,
        Violation, //
    },
};
use crate::jsonc::{
    Document,
    PathStep,
    Problem, //
};

/// A ticket with the file it came from.
#[derive(Clone, Debug)]
pub struct TicketFile {
    document: Document,
    ticket: Ticket,
}

impl TicketFile {
    /// Parses a ticket in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] for the first value that does not fit.
    ///
    /// ```
    /// use yuccalatch::version::ticket::TicketFile;
    ///
    /// let text = r#"{"ticket": 1, "author": "ines", "comment": "x", "sets": [], "remove": []}"#;
    /// let report = TicketFile::parse("t.json", text).unwrap_err();
    /// let problem = report.current_context();
    /// assert_eq!(problem.position.column, 49);
    /// assert_eq!(problem.hint.as_deref(), Some("did you mean `set`?"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Report<Problem>> {
        let document = Document::parse(file, text)?;
        let ticket = document.deserialize()?;
        Ok(Self { document, ticket })
    }

    /// Returns the ticket.
    pub const fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Returns the place in the file of a violation.
    ///
    /// ```
    /// use yuccalatch::version::{config::Fold, ticket::{check, TicketFile}};
    ///
    /// let text = r#"{"ticket": 0, "author": "ines", "comment": "x", "set": [], "remove": []}"#;
    /// let file = TicketFile::parse("t.json", text).unwrap();
    /// let violations = check(&Fold::default(), file.ticket());
    /// let problem = file.problem(&violations[0]);
    /// assert_eq!((problem.position.line, problem.position.column), (1, 12));
    /// ```
    pub fn problem(&self, violation: &Violation) -> Problem {
        let mut path = match violation.location.place {
            Place::Ticket => Vec::new(),
            // An object in `set` is wrapped in the name of its kind.
            Place::Set(index) => vec![
                PathStep::Field("set"),
                PathStep::Index(index),
                PathStep::FirstField,
            ],
            Place::Remove(index) => vec![PathStep::Field("remove"), PathStep::Index(index)],
        };
        path.extend(violation.location.field.map(PathStep::Field));
        self.document
            .problem_at_path(&path, &violation.message, violation.hint.as_deref())
    }
}
