//! Checks of a ticket against the state that it changes.

use std::{
    collections::BTreeSet,
    fmt, //
};

use super::{
    MAX_TICKET_BYTES,
    Ticket,
    objects::check_object,
    outlook::Outlook, //
};
use crate::{
    error::ErrorKind,
    version::config::{
        Fold,
        Kind,
        Object,
        ObjectId, //
    },
};

/// Part of a ticket that an entry is in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// The fields of the ticket itself.
    Ticket,
    /// The list `set`.
    Set(usize),
    /// The list `remove`.
    Remove(usize),
}

/// Place of a value in a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Location {
    /// Part of the ticket.
    pub place: Place,
    /// Field of the object, or the object as a whole.
    pub field: Option<&'static str>,
}

/// A rule that a ticket breaks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// Value that breaks the rule.
    pub location: Location,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub hint: Option<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " (hint: {hint})"),
            None => Ok(()),
        }
    }
}

/// Collects the violations at one place.
pub(super) struct Findings {
    place: Place,
    list: Vec<Violation>,
}

impl Findings {
    /// Adds a violation of kind [`ErrorKind::TicketInvalid`].
    pub(super) fn add(
        &mut self,
        field: impl Into<Option<&'static str>>,
        message: impl Into<String>,
        hint: impl Into<Option<&'static str>>,
    ) {
        self.push(
            ErrorKind::TicketInvalid,
            field.into(),
            message.into(),
            hint.into(),
        );
    }

    fn push(
        &mut self,
        kind: ErrorKind,
        field: Option<&'static str>,
        message: String,
        hint: Option<&'static str>,
    ) {
        self.list.push(Violation {
            kind,
            location: Location {
                place: self.place,
                field,
            },
            message,
            hint: hint.map(str::to_owned),
        });
    }
}

/// Returns every rule that a ticket breaks, given the state before it.
///
/// The result depends on the two arguments only, so that every process refuses
/// the same tickets.
///
/// ```
/// use yuccalatch::version::{config::Fold, ticket::{check, Ticket}};
///
/// let ticket = Ticket {
///     ticket: 1,
///     author: "ines".into(),
///     comment: "Nothing".into(),
///     set: Vec::new(),
///     remove: Vec::new(),
/// };
/// let violations = check(&Fold::default(), &ticket);
/// assert_eq!(violations[0].message, "the ticket changes nothing");
/// ```
pub fn check(fold: &Fold, ticket: &Ticket) -> Vec<Violation> {
    let outlook = Outlook::new(fold, ticket);
    let mut findings = Findings {
        place: Place::Ticket,
        list: Vec::new(),
    };
    check_header(ticket, &mut findings);
    let mut seen = BTreeSet::new();
    for (index, object) in ticket.set.iter().enumerate() {
        findings.place = Place::Set(index);
        let id = object.id();
        check_number(fold, ticket, &id, &mut findings);
        check_object(&outlook, object, &mut findings);
        check_dangling(&outlook, object, &mut findings);
        check_referrers(&outlook, object, &mut findings);
        if !seen.insert(id.clone()) {
            let message = format!("{id} is set twice");
            findings.add("name", message, "state every object once");
        }
    }
    for (index, id) in ticket.remove.iter().enumerate() {
        findings.place = Place::Remove(index);
        check_number(fold, ticket, id, &mut findings);
        check_removal(&outlook, id, &mut findings);
        if !seen.insert(id.clone()) {
            let message = format!("{id} occurs twice in the ticket");
            findings.add("name", message, "set or remove an object, not both");
        }
    }
    findings.list
}

fn check_header(ticket: &Ticket, findings: &mut Findings) {
    if ticket.ticket == 0 {
        findings.add("ticket", "ticket number 0 is reserved", "start at 1");
    }
    if ticket.author.trim().is_empty() {
        findings.add("author", "the author is empty", "name the operator");
    }
    if ticket.set.is_empty() && ticket.remove.is_empty() {
        let hint = "list objects in `set` or ids in `remove`";
        findings.add(None, "the ticket changes nothing", hint);
    }
    if ticket.to_canonical().len() > MAX_TICKET_BYTES {
        let message = format!("the ticket is larger than {MAX_TICKET_BYTES} bytes");
        findings.add(None, message, "split it into several tickets");
    }
}

fn check_number(fold: &Fold, ticket: &Ticket, id: &ObjectId, findings: &mut Findings) {
    let last = fold.last_ticket(id);
    if ticket.ticket > last {
        return;
    }
    let message = format!(
        "ticket {} is not newer than ticket {last}, the last one for {id}",
        ticket.ticket
    );
    let hint = "take a higher number and state the object as it should be now";
    findings.push(ErrorKind::TicketOutdated, Some("name"), message, Some(hint));
}

fn check_dangling(outlook: &Outlook<'_>, object: &Object, findings: &mut Findings) {
    for (field, id) in object.references() {
        if outlook.get(&id).is_none() {
            let message = format!("{} refers to {id}, which does not exist", object.id());
            findings.add(field, message, "create it in the same ticket or before");
        }
    }
}

fn check_removal(outlook: &Outlook<'_>, id: &ObjectId, findings: &mut Findings) {
    if outlook.fold.get(id).is_none() {
        let message = format!("{id} does not exist");
        findings.add("name", message, "remove it from the list");
        return;
    }
    let users: Vec<_> = outlook
        .referrers(id)
        .filter(|user| user.references().iter().any(|(_, used)| used == id))
        .map(|user| user.id().to_string())
        .collect();
    if let Some(first) = users.first() {
        let more = users.len() - 1;
        let message = format!("{id} is still used by {first} and {more} more");
        findings.add("name", message, "remove or change its users first");
    }
}

/// Checks unchanged objects that depend on a changed service or version.
fn check_referrers(outlook: &Outlook<'_>, object: &Object, findings: &mut Findings) {
    if !matches!(object.kind(), Kind::Service | Kind::Version) {
        return;
    }
    let id = object.id();
    let unchanged = outlook
        .referrers(&id)
        .filter(|user| !outlook.sets(&user.id()));
    for user in unchanged {
        let mut inner = Findings {
            place: findings.place,
            list: Vec::new(),
        };
        check_object(outlook, user, &mut inner);
        for violation in inner.list {
            let message = format!("conflicts with {}: {}", user.id(), violation.message);
            findings.add(None, message, "change both in the same ticket");
        }
    }
}
