//! Plans of moves from the configuration, and the refusal of times that cannot be
//! met.

use std::collections::BTreeMap;

use super::{
    Ticket,
    check::{
        Location,
        Place,
        Violation, //
    },
    outlook::Outlook, //
};
use crate::{
    error::ErrorKind,
    names::Name,
    version::{
        config::{
            Fold,
            Kind,
            Move,
            Object,
            ObjectId,
            Service,
            ServiceKind, //
        },
        rollout::plan::{
            self,
            LoadEstimate,
            PICKUP_MS,
            PlanRequest,
            RouteRate, //
        },
    },
};

const SECONDS_PER_MINUTE: f64 = 60.0;

/// Returns the moves of a ticket that cannot finish by their requested time.
///
/// The plan is the one that the holder of the move will compute from
/// [`plan_request`], at the latest time at which it does so. The result depends
/// on the time, so that only the submission of a ticket checks it.
///
/// ```
/// use yuccalatch::version::{config::Fold, ticket::{check_deadlines, Ticket}};
///
/// let text = r#"{"ticket": 1, "author": "ines", "comment": "", "set": [], "remove": []}"#;
/// let ticket: Ticket = serde_json::from_str(text).unwrap();
/// assert!(check_deadlines(&Fold::default(), &ticket, 0).is_empty());
/// ```
pub fn check_deadlines(fold: &Fold, ticket: &Ticket, now_unix_ms: u64) -> Vec<Violation> {
    let outlook = Outlook::new(fold, ticket);
    let planned_unix_ms = now_unix_ms.saturating_add(PICKUP_MS);
    let mut violations = Vec::new();
    for (index, object) in ticket.set.iter().enumerate() {
        let Object::Move(row) = object else {
            continue;
        };
        let Some(request) = request_of(&outlook, row, planned_unix_ms) else {
            continue;
        };
        if plan::accept(&request).is_err() {
            let earliest_unix_ms = plan::earliest_unix_ms(&request);
            violations.push(violation(index, row, earliest_unix_ms));
        }
    }
    violations
}

/// Returns what the plan of a move depends on, from the configuration alone;
/// `None` when the service of the move is missing.
///
/// ```
/// use yuccalatch::version::{config::{Fold, Move}, ticket::plan_request};
///
/// let text = r#"{"name": "m", "service": "chat", "from": "v1", "to": "v2",
///     "finish_by_unix_ms": 1900000000000}"#;
/// let row: Move = serde_json::from_str(text).unwrap();
/// assert!(plan_request(&Fold::default(), &row, 0).is_none());
/// ```
pub fn plan_request(fold: &Fold, row: &Move, now_unix_ms: u64) -> Option<PlanRequest> {
    let nothing = Ticket {
        ticket: 0,
        author: "".into(),
        comment: String::new(),
        set: Vec::new(),
        remove: Vec::new(),
    };
    request_of(&Outlook::new(fold, &nothing), row, now_unix_ms)
}

fn request_of(outlook: &Outlook<'_>, row: &Move, now_unix_ms: u64) -> Option<PlanRequest> {
    let id = ObjectId::new(Kind::Service, row.service.clone());
    let Some(Object::Service(service)) = outlook.get(&id) else {
        return None;
    };
    let routes = outlook.of_kind(Kind::Route);
    let timeouts_ms = routes.filter_map(|object| match object {
        Object::Route(route) if route.service == row.service => Some(route.timeout_ms),
        _ => None,
    });
    let longest_request_ms = timeouts_ms.max().unwrap_or(0);
    let requests_per_min = row.quietest_requests_per_min as f64;
    Some(PlanRequest {
        now_unix_ms,
        finish_at_unix_ms: row.finish_by_unix_ms,
        loads: loads(outlook, row, service),
        routes: vec![RouteRate {
            route: row.service.clone(),
            requests_per_s: requests_per_min / SECONDS_PER_MINUTE,
        }],
        pace: row.pace,
        longest_request_ms,
    })
}

fn loads(outlook: &Outlook<'_>, row: &Move, service: &Service) -> Vec<LoadEstimate> {
    let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
    for object in outlook.of_kind(Kind::Target) {
        let Object::Target(target) = object else {
            continue;
        };
        // Only the targets of the new version of a plain service have to start.
        let takes_part = service.kind == ServiceKind::Model || target.version == row.to;
        if target.service == row.service && takes_part {
            *counts.entry(&target.data_centre).or_default() += 1;
        }
    }
    let estimate = |(data_centre, targets): (&Name, u32)| LoadEstimate {
        data_centre: data_centre.clone(),
        targets,
        parallel_loads: service.parallel_loads.max(1),
        load_ms: service.load_ms,
    };
    counts.into_iter().map(estimate).collect()
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
        hint: Some(
            "request that time or a later one, or state a higher `quietest_requests_per_min`"
                .to_owned(),
        ),
    }
}
