//! Checks of requested times against the time needed.

use std::collections::BTreeMap;

use super::{
    Ticket,
    check::{
        Location,
        Place,
        Violation, //
    },
};
use crate::{
    error::ErrorKind,
    names::Name,
    version::config::{
        Fold,
        Kind,
        Move,
        Object,
        ObjectId,
        Service, //
    },
};

/// Returns the moves of a ticket that cannot finish by their requested time.
///
/// The time needed is a lower bound: the weight loads of the data centre with
/// the most targets, of which only some may run at the same time. The result
/// depends on the time, so that only the submission of a ticket checks it.
///
/// ```
/// use yuccalatch::version::{config::Fold, ticket::{check_deadlines, Ticket}};
///
/// let text = r#"{"ticket": 1, "author": "ines", "comment": "", "set": [], "remove": []}"#;
/// let ticket: Ticket = serde_json::from_str(text).unwrap();
/// assert!(check_deadlines(&Fold::default(), &ticket, 0).is_empty());
/// ```
pub fn check_deadlines(fold: &Fold, ticket: &Ticket, now_unix_ms: u64) -> Vec<Violation> {
    let moves = ticket
        .set
        .iter()
        .enumerate()
        .filter_map(|(index, object)| match object {
            Object::Move(row) => Some((index, row)),
            _ => None,
        });
    moves
        .filter(|(_, row)| !is_unchanged(fold, row))
        .filter_map(|(index, row)| {
            let needed_ms = load_time_ms(fold, ticket, &row.service)?;
            let earliest_unix_ms = now_unix_ms.saturating_add(needed_ms);
            (earliest_unix_ms > row.finish_by_unix_ms)
                .then(|| violation(index, row, earliest_unix_ms))
        })
        .collect()
}

fn is_unchanged(fold: &Fold, row: &Move) -> bool {
    let id = ObjectId::new(Kind::Move, row.name.clone());
    fold.get(&id)
        .is_some_and(|entry| entry.object == Object::Move(row.clone()))
}

fn load_time_ms(fold: &Fold, ticket: &Ticket, name: &Name) -> Option<u64> {
    let service = service(fold, ticket, name)?;
    let loads = largest_data_centre(fold, ticket, name);
    let rounds = loads.div_ceil(service.parallel_loads.max(1).into());
    Some(rounds.saturating_mul(service.load_ms))
}

fn service<'a>(fold: &'a Fold, ticket: &'a Ticket, name: &Name) -> Option<&'a Service> {
    let id = ObjectId::new(Kind::Service, name.clone());
    let set = ticket.set.iter().find(|object| object.id() == id);
    let stored = || fold.get(&id).map(|entry| &entry.object);
    match set.or_else(stored)? {
        Object::Service(service) => Some(service),
        _ => None,
    }
}

fn largest_data_centre(fold: &Fold, ticket: &Ticket, service: &Name) -> u64 {
    let stored = fold.of_kind(Kind::Target).map(|entry| &entry.object);
    let mut targets: BTreeMap<&Name, _> = BTreeMap::new();
    for object in stored.chain(&ticket.set) {
        if let Object::Target(target) = object {
            targets.insert(&target.name, target);
        }
    }
    for id in &ticket.remove {
        if id.kind == Kind::Target {
            targets.remove(&id.name);
        }
    }
    let mut counts: BTreeMap<&Name, u64> = BTreeMap::new();
    for target in targets.values().filter(|target| target.service == *service) {
        *counts.entry(&target.data_centre).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

fn violation(index: usize, row: &Move, earliest_unix_ms: u64) -> Violation {
    Violation {
        kind: ErrorKind::MoveInfeasible,
        location: Location {
            place: Place::Set(index),
            field: Some("finish_by_unix_ms"),
        },
        message: format!(
            "move `{}` cannot finish before {earliest_unix_ms}",
            row.name
        ),
        hint: Some("request a later time".to_owned()),
    }
}
