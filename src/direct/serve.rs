//! Requests of callers, from the head to the answer.

use std::{
    rc::Rc,
    sync::Arc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use ntex::http::{
    HeaderMap,
    Payload,
    Request,
    Response,
    StatusCode, //
};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    attempt::{
        self,
        Answer,
        AttemptFailure,
        IncomingRequest,
        PUBLIC, //
    },
    choice::TargetChoice,
    events::EventSplitter,
    platform::Platform,
    relay::{
        Relay,
        first_events, //
    },
    reply,
    request_attempts::RequestAttempts,
    routing::{
        Organisation,
        Route,
        RoutingTable, //
    },
    worker::{
        RunningRequest,
        Worker, //
    },
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    error::ErrorKind,
    event::Event,
    names::Name,
    process::upload,
    request::headers::{
        Direction,
        HeaderFilter, //
    },
};

/// Time before the caller's deadline at which the entry answers, so that the
/// answer still arrives.
const ANSWER_MARGIN_US: u64 = 15 * US_PER_MS;

/// Time after which a caller is told to go to another entry.
const STOPPING_RETRY_MS: u64 = 50;

/// Time after which a request that found no target is worth another try.
const NO_TARGET_RETRY_MS: u64 = 400;

/// Answers a request.
pub(super) async fn handle<P: Platform>(worker: Rc<Worker<P>>, mut request: Request) -> Response {
    let arrived_at_us = worker.now_us();
    let running = RunningRequest::new(&worker, request.io());
    let platform_state = worker.context.platform_state.load_full();
    worker.refresh(&platform_state);
    let mut payload = request.take_payload();
    let head = P::read_request(request.headers());
    let id = head.id.clone();
    let refuse = |kind: ErrorKind, retry_after_ms: Option<u64>, label: &str| {
        let is_leaving = worker.context.is_leaving();
        info!(worker.context.log, "request refused";
            "event" => Event::RequestRefused,
            "request_id" => id.as_deref(),
            "kind" => kind.name(),
            "config_version" => platform_state.table.as_ref().map(|table| table.version),
            "retry_after_ms" => retry_after_ms);
        worker.context.metrics.count_answer(label, Some(kind));
        reply::own(kind, retry_after_ms, is_leaving)
    };
    if worker.context.is_closed() {
        upload::discard(&mut payload).await;
        return refuse(ErrorKind::Stopping, Some(STOPPING_RETRY_MS), PUBLIC);
    }
    let Some(table) = platform_state
        .table
        .as_ref()
        .filter(|_| platform_state.has_targets)
    else {
        upload::discard(&mut payload).await;
        return refuse(ErrorKind::NotReady, Some(NO_TARGET_RETRY_MS), PUBLIC);
    };
    let body = match read_body(&mut payload, table.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(kind) => {
            upload::discard(&mut payload).await;
            return refuse(kind, None, PUBLIC);
        }
    };
    let (route, organisation) = match admit(table, &request, &head.key) {
        Ok(admitted) => admitted,
        Err(kind) => return refuse(kind, None, PUBLIC),
    };
    let cost = cost(&head, organisation.as_deref());
    let incoming = incoming::<P>(
        &request,
        head,
        body,
        (route, organisation),
        arrived_at_us,
        table,
    );
    if let Some(organisation) = &incoming.organisation {
        let taken = worker
            .context
            .quotas()
            .take(&organisation.name, cost, arrived_at_us);
        if let Err(wait_ms) = taken {
            info!(worker.context.log, "organisation is over its rate";
                "event" => Event::RequestRefused,
                "request_id" => incoming.id(),
                "organisation" => &*organisation.name,
                "cost" => cost,
                "rate_per_s" => organisation.rate_per_s,
                "burst" => organisation.burst,
                "retry_after_ms" => wait_ms);
            return refuse(ErrorKind::RateLimited, Some(wait_ms), &organisation.name);
        }
    }
    forward(worker, incoming, cost, running).await
}

async fn read_body(payload: &mut Payload, limit_bytes: usize) -> Result<Bytes, ErrorKind> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| ErrorKind::BadRequest)?;
        if body.len() + part.len() > limit_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

type Admitted = (Arc<Route>, Option<Arc<Organisation>>);

/// Finds the route and checks the key.
fn admit(
    table: &RoutingTable,
    request: &Request,
    key: &Option<Name>,
) -> Result<Admitted, ErrorKind> {
    let host = request
        .headers()
        .get("host")
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let route = table
        .route(host, request.uri().path())
        .ok_or(ErrorKind::RouteNotFound)?;
    let organisation = key.as_ref().and_then(|key| table.organisation_by_key(key));
    if organisation.is_none() && !route.is_public && table.has_organisations() {
        return Err(ErrorKind::UnknownKey);
    }
    Ok((Arc::clone(route), organisation.cloned()))
}

/// Returns what a request is charged with.
fn cost(head: &super::message::RequestHead, organisation: Option<&Organisation>) -> u64 {
    match organisation {
        Some(organisation) if organisation.counts_tokens => head
            .prompt
            .as_ref()
            .map_or(organisation.default_tokens, |prompt| prompt.cost_tokens()),
        _ => 1,
    }
}

fn incoming<P: Platform>(
    request: &Request,
    head: super::message::RequestHead,
    body: Bytes,
    (route, organisation): Admitted,
    arrived_at_us: u64,
    table: &RoutingTable,
) -> IncomingRequest {
    let filter = HeaderFilter::new(
        Direction::ToTarget,
        request
            .headers()
            .get_all("connection")
            .map(|value| value.as_bytes()),
    );
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        if filter.forwards(name.as_str()) && P::forwards(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    let patience_ms = head
        .caller_timeout_ms
        .unwrap_or(u64::MAX)
        .min(route.timeout_ms);
    let service = choose_service(&route, head.id.as_deref());
    IncomingRequest {
        method: request.method().clone(),
        path_and_query: request
            .uri()
            .path_and_query()
            .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        deadline_us: (arrived_at_us + patience_ms.saturating_mul(US_PER_MS))
            .saturating_sub(ANSWER_MARGIN_US),
        head,
        headers,
        body,
        service,
        kv_store: table.kv_store_address(),
        route,
        organisation,
        arrived_at_us,
    }
}

/// Chooses the service of a request by the shares of its route.
fn choose_service(route: &Route, id: Option<&str>) -> Name {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut point = xxh3_64(id.unwrap_or_default().as_bytes()) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return share.service.clone();
        }
        point -= weight;
    }
    route
        .shares
        .first()
        .map_or_else(|| Name::from(""), |share| share.service.clone())
}

/// What came of the tries of a request.
enum Outcome<P> {
    Whole(Answer<P>, Bytes),
    Events(Answer<P>, EventSplitter, Option<Bytes>),
}

/// Sends a request to targets until one answers.
async fn forward<P: Platform>(
    worker: Rc<Worker<P>>,
    incoming: IncomingRequest,
    cost: u64,
    running: RunningRequest,
) -> Response {
    let mut log = RequestLog::new(&worker, &incoming);
    let mut attempts = RequestAttempts::new();
    let mut last: Option<(Answer<P>, Bytes)> = None;
    let mut last_failure = None;
    while let Some(choice) = attempts
        .next_target(&worker, &incoming, last.is_some())
        .await
    {
        let target = &choice.target;
        log.target = Some(target.id.clone());
        log.attempts = attempts.count();
        let until_us = try_until_us(&worker, &incoming, &attempts);
        match try_target(&worker, &incoming, &choice, until_us).await {
            Ok(Outcome::Events(answer, splitter, first)) => {
                log.is_handed_over = true;
                let (status, headers) = (answer.status(), answer.headers().clone());
                let parts = (answer, splitter, first);
                let relay = Relay::new(
                    &worker,
                    incoming,
                    attempts,
                    target.id.clone(),
                    parts,
                    running,
                );
                return relay.into_response(status, &headers);
            }
            Ok(Outcome::Whole(answer, body)) => {
                let is_failure = answer.status().is_server_error();
                last = Some((answer, body));
                if !is_failure {
                    break;
                }
            }
            Err(failure) => {
                attempts.record_failure(failure);
                last_failure = Some(failure);
                info!(worker.context.log, "try failed";
                    "event" => Event::AttemptRetried,
                    "request_id" => incoming.id(),
                    "target" => &*target.id,
                    "try" => attempts.count(),
                    "cause" => failure.name());
            }
        }
    }
    let is_leaving = worker.context.is_leaving();
    if let Some((answer, body)) = last {
        log.status = answer.status().as_u16();
        let mut builder = reply::forwarded(answer.status(), answer.headers(), is_leaving);
        return builder.body(reply::to_ntex(body));
    }
    let (kind, retry_after_ms) = failure_answer(&attempts, last_failure);
    if kind.is_not_run()
        && let Some(organisation) = &incoming.organisation
    {
        worker.context.quotas().refund(&organisation.name, cost);
    }
    log.status = kind.answer().status;
    log.kind = Some(kind);
    reply::own(kind, retry_after_ms, is_leaving)
}

/// Returns the answer to a request that no target has answered.
fn failure_answer(
    attempts: &RequestAttempts,
    failure: Option<AttemptFailure>,
) -> (ErrorKind, Option<u64>) {
    if attempts.may_have_run() {
        let kind = match failure {
            Some(AttemptFailure::Silent) => ErrorKind::DeadlineExceeded,
            _ => ErrorKind::OutcomeUnknown,
        };
        return (kind, None);
    }
    match failure {
        None => (ErrorKind::NoTarget, Some(NO_TARGET_RETRY_MS)),
        Some(_) => (ErrorKind::Overloaded, Some(NO_TARGET_RETRY_MS)),
    }
}

/// Returns the end of a try. A request that may be repeated leaves time for
/// another target when this one stays silent.
fn try_until_us<P: Platform>(
    worker: &Worker<P>,
    incoming: &IncomingRequest,
    attempts: &RequestAttempts,
) -> u64 {
    let route = &incoming.route;
    if !route.may_repeat() || attempts.count() >= route.max_targets {
        return incoming.deadline_us;
    }
    let now_us = worker.now_us();
    let patience_us = incoming.deadline_us.saturating_sub(now_us);
    let goal_us = route.goal_ms * US_PER_MS;
    (now_us + goal_us.max(patience_us / 2)).min(incoming.deadline_us)
}

async fn try_target<P: Platform>(
    worker: &Rc<Worker<P>>,
    incoming: &IncomingRequest,
    choice: &TargetChoice,
    until_us: u64,
) -> Result<Outcome<P>, AttemptFailure> {
    let target = &choice.target;
    let after = incoming.head.last_event_id;
    let mut answer = attempt::send(worker, incoming, choice, after, until_us).await?;
    let until = attempt::deadline(worker, incoming.deadline_us);
    if incoming.route.is_stream && answer.status() == StatusCode::OK {
        let until = attempt::deadline(worker, until_us);
        let mut splitter = EventSplitter::new(after);
        let first = first_events(&mut answer, &mut splitter, until).await;
        let first = first.inspect_err(|_| worker.observe_break(&target.id))?;
        answer.busy.started();
        return Ok(Outcome::Events(answer, splitter, first));
    }
    let body = answer.collect(until).await;
    let body = body.inspect_err(|_| worker.observe_break(&target.id))?;
    Ok(Outcome::Whole(answer, body))
}

/// Writes the line of a request when it ends, also when its caller leaves.
struct RequestLog<P: Platform> {
    worker: Rc<Worker<P>>,
    request_id: Name,
    organisation: Option<Name>,
    route: Name,
    target: Option<Name>,
    attempts: u32,
    status: u16,
    kind: Option<ErrorKind>,
    arrived_at_us: u64,
    is_handed_over: bool,
}

impl<P: Platform> RequestLog<P> {
    fn new(worker: &Rc<Worker<P>>, incoming: &IncomingRequest) -> Self {
        Self {
            worker: Rc::clone(worker),
            request_id: incoming.id().into(),
            organisation: incoming.organisation_name().cloned(),
            route: incoming.route.name.clone(),
            target: None,
            attempts: 0,
            status: 0,
            kind: None,
            arrived_at_us: incoming.arrived_at_us,
            is_handed_over: false,
        }
    }
}

impl<P: Platform> Drop for RequestLog<P> {
    fn drop(&mut self) {
        if self.is_handed_over {
            return;
        }
        let total_us = self.worker.now_us().saturating_sub(self.arrived_at_us);
        let metrics = &self.worker.context.metrics;
        let label = self.organisation.as_deref().unwrap_or(PUBLIC);
        metrics.count_answer(label, self.kind);
        metrics.organisation(label).total.observe(seconds(total_us));
        let outcome = match self.status {
            0 => "caller_left",
            200..400 => "complete",
            _ => "failed",
        };
        let event = if outcome == "complete" {
            Event::RequestDone
        } else {
            Event::RequestFailed
        };
        info!(self.worker.context.log, "request ended";
            "event" => event,
            "request_id" => &*self.request_id,
            "organisation" => self.organisation.as_deref(),
            "route" => &*self.route,
            "target" => self.target.as_deref(),
            "tries" => self.attempts,
            "outcome" => outcome,
            "status" => self.status,
            "kind" => self.kind.map(ErrorKind::name),
            "total_us" => total_us);
    }
}

/// Turns a time into the unit of the histograms.
pub(super) fn seconds(time_us: u64) -> f64 {
    time_us as f64 / US_PER_S as f64
}
