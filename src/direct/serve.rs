//! Handles callers' requests, from reading the head to sending the answer.

use std::{
    rc::Rc,
    sync::Arc, //
};

use bytes::Bytes;
use ntex::http::{
    HeaderMap,
    Payload,
    Request,
    Response,
    StatusCode, //
};
use slog::info;

use super::{
    admission::jittered_ms,
    attempt::{
        self,
        Answer,
        AttemptFailure,
        IncomingRequest,
        PUBLIC_LABEL, //
    },
    authorization::{
        Authorization,
        authorize,
        choose_service, //
    },
    body::{
        self,
        Bodies,
        BodyLimits, //
    },
    choice::TargetChoice,
    events::{
        EventBatch,
        EventSplitter, //
    },
    memory_budget::Holder,
    platform::Platform,
    quarantine::{
        Admission,
        retry_after_ms,
        shared_part_ids, //
    },
    relay::{
        Relay,
        read_events, //
    },
    reply::{
        self,
        Failure, //
    },
    request_attempts::{
        RequestAttempts,
        Unsent, //
    },
    request_log::RequestLog,
    routing::{
        Organisation,
        RoutingTable, //
    },
    worker::{
        RunningRequest,
        Worker, //
    },
};
use crate::{
    clock::US_PER_MS,
    error::ErrorKind,
    event::Event,
    process::upload,
    request::headers::{
        Direction,
        HeaderFilter, //
    },
    version::evidence::counts::Sample,
};

/// Retry time that is sent when another entry can take the request at once.
const ELSEWHERE_RETRY_MS: u64 = 50;

/// Retry time that is sent when no target takes a request. A later one may succeed.
const NO_TARGET_RETRY_MS: u64 = 400;

/// Handles a request: reads it, checks its key and rate, and forwards it to a target.
pub(super) async fn handle<P: Platform>(worker: Rc<Worker<P>>, mut request: Request) -> Response {
    let arrived_at_us = worker.now_us();
    let sent_at_us = arrived_at_us.saturating_sub(worker.waited_us());
    let running = RunningRequest::new(&worker, request.io());
    let platform_state = worker.context.platform_state.load_full();
    worker.apply_configuration(&platform_state);
    let mut payload = request.take_payload();
    let head = P::read_request(request.headers());
    let id = head.id.clone();
    let unsent = Unsent::new();
    let refuse = |kind: ErrorKind, retry_after_ms: Option<u64>, label: &str| {
        let is_leaving = worker.context.is_leaving();
        info!(worker.context.log, "request refused";
            "event" => Event::RequestRefused,
            "request_id" => id.as_deref(),
            "kind" => kind.name(),
            "config_version" => platform_state.table.as_ref().map(|table| table.version),
            "retry_after_ms" => retry_after_ms);
        worker.context.metrics.count_answer(label, Some(kind));
        reply::refusal_answer(kind, retry_after_ms, is_leaving, unsent.not_run())
    };
    if worker.context.is_closed() {
        upload::discard(&mut payload).await;
        return refuse(ErrorKind::Stopping, Some(ELSEWHERE_RETRY_MS), PUBLIC_LABEL);
    }
    let Some(table) = platform_state
        .table
        .as_ref()
        .filter(|_| platform_state.can_serve() && !worker.context.is_outdated())
    else {
        upload::discard(&mut payload).await;
        return refuse(ErrorKind::NotReady, Some(NO_TARGET_RETRY_MS), PUBLIC_LABEL);
    };
    let length_bytes = body::announced_bytes(request.headers());
    let is_too_large = length_bytes.is_some_and(|bytes| bytes > table.limits.max_body_bytes);
    let authorized = authorize(
        table,
        host(&request),
        request.uri().path(),
        head.key.as_ref(),
    );
    let authorization = match authorized {
        Ok(authorization) => authorization,
        Err(kind) => {
            discard(&mut payload, is_too_large).await;
            return refuse(kind, None, PUBLIC_LABEL);
        }
    };
    let cost = request_cost(&head, authorization.organisation.as_deref());
    let mut incoming = build_incoming::<P>(
        &request,
        head,
        authorization,
        (arrived_at_us, sent_at_us),
        table,
        &worker.bodies,
    );
    if arrived_at_us >= incoming.deadline_us {
        discard(&mut payload, is_too_large).await;
        return refuse(
            ErrorKind::Overloaded,
            Some(ELSEWHERE_RETRY_MS),
            incoming.label(),
        );
    }
    if outlasts_drain(&worker, &incoming) {
        discard(&mut payload, is_too_large).await;
        return refuse(
            ErrorKind::Stopping,
            Some(ELSEWHERE_RETRY_MS),
            incoming.label(),
        );
    }
    if let Admission::Refused { part, trial_at_us } = worker.admit_parts(&incoming) {
        info!(worker.context.log, "request has a quarantined prompt part";
            "event" => Event::RequestRefused,
            "request_id" => incoming.id(),
            "part" => format!("{part:x}"));
        let wait_ms = retry_after_ms(trial_at_us, arrived_at_us);
        let label = incoming.label();
        discard(&mut payload, is_too_large).await;
        return refuse(ErrorKind::PromptQuarantined, Some(wait_ms), label);
    }
    if let Some(organisation) = &incoming.organisation {
        let taken = worker
            .context
            .quotas()
            .take(&organisation.name, cost, arrived_at_us);
        if let Err(wait_ms) = taken {
            info!(worker.context.log, "request exceeds the rate of its organisation";
                "event" => Event::RequestRefused,
                "request_id" => incoming.id(),
                "organisation" => &*organisation.name,
                "cost" => cost,
                "rate_per_s" => organisation.rate_per_s,
                "burst" => organisation.burst,
                "retry_after_ms" => wait_ms);
            discard(&mut payload, is_too_large).await;
            return refuse(ErrorKind::RateLimited, Some(wait_ms), &organisation.name);
        }
    }
    let limits = BodyLimits {
        max_bytes: table.limits.max_body_bytes,
        length_bytes,
        deadline_us: incoming.deadline_us,
    };
    let read = read_body(&worker, &mut payload, &mut incoming, &limits);
    let read = worker.context.until_drained(read).await;
    if let Err(kind) = read.unwrap_or(Err(ErrorKind::Stopping)) {
        if let Some(organisation) = &incoming.organisation {
            worker.context.quotas().refund(&organisation.name, cost);
        }
        let is_stopping = kind == ErrorKind::Stopping;
        discard(&mut payload, is_stopping || kind == ErrorKind::BodyTooLarge).await;
        let retry_after_ms = is_stopping.then_some(ELSEWHERE_RETRY_MS);
        return refuse(kind, retry_after_ms, incoming.label());
    }
    forward(worker, incoming, unsent, cost, running).await
}

/// Returns whether a request might still run when this process ends and may not be sent
/// again then. Another entry can take it.
fn outlasts_drain<P: Platform>(worker: &Worker<P>, incoming: &IncomingRequest) -> bool {
    let end_us = worker.context.drain_end_us();
    !incoming.route.may_repeat() && end_us.is_some_and(|end_us| incoming.deadline_us > end_us)
}

/// Reads and drops the body of a refused request, unless `is_left` says that it is not read
/// on. Then the server closes the connection after the answer.
async fn discard(payload: &mut Payload, is_left: bool) {
    if !is_left {
        upload::discard(payload).await;
    }
}

/// Reads the body of a request.
async fn read_body<P: Platform>(
    worker: &Worker<P>,
    payload: &mut Payload,
    incoming: &mut IncomingRequest,
    limits: &BodyLimits,
) -> Result<(), ErrorKind> {
    if limits
        .length_bytes
        .is_some_and(|bytes| bytes > limits.max_bytes)
    {
        return Err(ErrorKind::BodyTooLarge);
    }
    incoming.body = body::read(&worker.bodies, payload, &incoming.memory, limits).await?;
    Ok(())
}

/// Returns the host that a request names.
fn host(request: &Request) -> &str {
    let header = request.headers().get("host");
    header
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default()
}

/// Returns the cost that is charged to the organisation's quota: tokens, or 1 where
/// requests are counted.
fn request_cost(head: &super::message::RequestHead, organisation: Option<&Organisation>) -> u64 {
    match organisation {
        Some(organisation) if organisation.counts_tokens => head
            .prompt
            .as_ref()
            .map_or(organisation.default_tokens, |prompt| prompt.cost_tokens()),
        _ => 1,
    }
}

/// Builds the request that is forwarded, without header fields that only the system
/// may set.
fn build_incoming<P: Platform>(
    request: &Request,
    head: super::message::RequestHead,
    authorization: Authorization,
    (arrived_at_us, sent_at_us): (u64, u64),
    table: &RoutingTable,
    bodies: &Bodies,
) -> IncomingRequest {
    let Authorization {
        version,
        route,
        organisation,
    } = authorization;
    let holder = organisation
        .as_ref()
        .map_or(Holder::Keyless, |organisation| {
            Holder::Organisation(organisation.name.clone())
        });
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
    let time_limit_ms = head
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
        deadline_us: attempt::answer_by_us(sent_at_us, time_limit_ms),
        shared_parts: head
            .prompt
            .as_ref()
            .map(shared_part_ids)
            .unwrap_or_default(),
        head,
        headers,
        body: Bytes::new(),
        memory: bodies.begin(holder),
        host: host(request).into(),
        table_version: version,
        service,
        kv_stores: Arc::clone(table.kv_stores()),
        route,
        organisation,
        arrived_at_us,
        sent_at_us,
    }
}

/// A target's answer, as far as it was read during an attempt.
enum ReceivedAnswer<P> {
    /// Answer with its whole body.
    Collected(Answer<P>, Bytes),
    /// Event stream with its first batch, `None` when it ended without an event.
    Stream(Answer<P>, EventSplitter, Option<EventBatch>),
}

/// Sends a request to targets until one answers or no attempt is left.
async fn forward<P: Platform>(
    worker: Rc<Worker<P>>,
    mut incoming: IncomingRequest,
    unsent: Unsent,
    cost: u64,
    running: RunningRequest,
) -> Response {
    let mut log = RequestLog::new(&worker, &incoming);
    let mut attempts = unsent.begin();
    let mut last_answer: Option<(Answer<P>, Bytes)> = None;
    let mut last_failure = None;
    let context = Arc::clone(&worker.context);
    while let Some(choice) = context
        .until_drained(attempts.next_target(&worker, &mut incoming, last_answer.is_some()))
        .await
        .flatten()
    {
        let target = &choice.target;
        log.target = Some(target.id.clone());
        log.attempts = attempts.count();
        let sent_at_us = worker.now_us();
        let until_us = attempt_end_us(&worker, &incoming, &attempts);
        let answered = context
            .until_drained(run_attempt(&worker, &incoming, &choice, until_us))
            .await;
        match answered.unwrap_or(Err(AttemptFailure::Interrupted)) {
            Ok(ReceivedAnswer::Stream(answer, splitter, first_batch)) => {
                let sample = Sample {
                    first_token_us: Some(worker.now_us().saturating_sub(sent_at_us)),
                    ..Sample::default()
                };
                worker.record_sample(&incoming, target, sample);
                if first_batch.is_some() {
                    worker.note_begun_answer(&incoming, sent_at_us);
                    worker.record_forecast_error(&choice, sent_at_us);
                    worker.record_first_token(&choice, sent_at_us);
                }
                log.is_relayed = true;
                let (status, headers) = (answer.status, answer.headers().clone());
                let parts = (answer, splitter, first_batch);
                let relay = Relay::new(
                    &worker,
                    incoming,
                    attempts,
                    Arc::clone(target),
                    parts,
                    running,
                );
                return relay.into_response(status, &headers);
            }
            Ok(ReceivedAnswer::Collected(answer, body)) => {
                let is_failure = answer.status.code().is_server_error();
                let sample = Sample {
                    failed: is_failure,
                    first_token_us: Some(worker.now_us().saturating_sub(sent_at_us)),
                    ..Sample::default()
                };
                worker.record_sample(&incoming, target, sample);
                if !is_failure {
                    worker.note_begun_answer(&incoming, sent_at_us);
                }
                if answer.status.code().is_success() && incoming.head.prompt.is_none() {
                    worker.record_forecast_error(&choice, sent_at_us);
                    worker.record_request(target, sent_at_us);
                }
                last_answer = Some((answer, body));
                if !is_failure {
                    break;
                }
            }
            Err(failure) => {
                attempts.record_failure(failure);
                last_failure = Some(failure);
                if failure != AttemptFailure::Interrupted {
                    worker.note_unbegun_answer(&incoming, &target.id, failure);
                }
                if failure == AttemptFailure::Silent && incoming.head.prompt.is_none() {
                    worker.record_request(target, sent_at_us);
                }
                if !failure.is_not_run() && !failure.is_own() {
                    worker.record_failed_sample(&incoming, target, failure);
                }
                info!(worker.context.log, "attempt failed";
                    "event" => Event::AttemptRetried,
                    "request_id" => incoming.id(),
                    "target" => &*target.id,
                    "try" => attempts.count(),
                    "cause" => failure.name());
                // The place in the memory budget is lost for further attempts, too.
                if failure == AttemptFailure::NoMemory {
                    break;
                }
            }
        }
    }
    let is_leaving = worker.context.is_leaving();
    if let Some((answer, body)) = last_answer {
        log.status = answer.status.code().as_u16();
        let mut builder = reply::forwarded_builder(answer.status, answer.headers(), is_leaving);
        return builder.body(reply::answer_body(body, (incoming.memory, running)));
    }
    let Some(not_run) = attempts.not_run() else {
        let failure = match last_failure {
            Some(AttemptFailure::Silent) => Failure::DeadlineExceeded,
            _ => Failure::OutcomeUnknown,
        };
        log.end(failure.kind());
        return reply::failure_answer(failure, is_leaving);
    };
    if let Some(organisation) = &incoming.organisation {
        worker.context.quotas().refund(&organisation.name, cost);
    }
    if let Some(kind) = attempts.denial() {
        log.end(kind);
        return reply::refusal_answer(kind, None, is_leaving, not_run);
    }
    let refusal = attempts.refusal();
    let is_stopping = worker.is_drained();
    let kind = if is_stopping {
        ErrorKind::Stopping
    } else if refusal.is_some() || last_failure.is_some() {
        ErrorKind::Overloaded
    } else {
        ErrorKind::NoTarget
    };
    log.end(kind);
    let retry_after_ms = match refusal {
        _ if is_stopping => ELSEWHERE_RETRY_MS,
        Some(refusal) => refusal.retry_after_ms,
        // Many requests are refused at once when the targets are short of capacity.
        None if worker.context.has_overload_control => {
            jittered_ms(NO_TARGET_RETRY_MS, incoming.demand().id_hash)
        }
        None => NO_TARGET_RETRY_MS,
    };
    reply::refusal_answer(kind, Some(retry_after_ms), is_leaving, not_run)
}

/// Returns when an attempt ends. For a request that may be repeated, this leaves
/// time for another target in case this one does not answer.
fn attempt_end_us<P: Platform>(
    worker: &Worker<P>,
    incoming: &IncomingRequest,
    attempts: &RequestAttempts,
) -> u64 {
    let route = &incoming.route;
    if !route.may_repeat() || attempts.count() >= route.max_targets {
        return incoming.deadline_us;
    }
    let now_us = worker.now_us();
    let remaining_us = incoming.deadline_us.saturating_sub(now_us);
    let goal_us = route.goal_ms * US_PER_MS;
    (now_us + goal_us.max(remaining_us / 2)).min(incoming.deadline_us)
}

/// Sends a request to a target and reads the first events or the whole body of the
/// answer.
async fn run_attempt<P: Platform>(
    worker: &Rc<Worker<P>>,
    incoming: &IncomingRequest,
    choice: &TargetChoice,
    until_us: u64,
) -> Result<ReceivedAnswer<P>, AttemptFailure> {
    let target = &choice.target;
    let after = incoming.head.last_event_id;
    let mut answer = attempt::send(worker, incoming, choice, after, until_us).await?;
    let until = attempt::timer_instant(worker, incoming.deadline_us);
    if incoming.route.is_stream && answer.status.code() == StatusCode::OK {
        let until = attempt::timer_instant(worker, until_us);
        let mut splitter = EventSplitter::new(after);
        let first_batch = read_events(&mut answer, &mut splitter, until).await;
        let first_batch =
            first_batch.inspect_err(|failure| worker.observe_failure(&target.id, *failure))?;
        answer.in_flight.note_prefill_done();
        return Ok(ReceivedAnswer::Stream(answer, splitter, first_batch));
    }
    let body = answer
        .collect(&worker.bodies, &incoming.memory, until)
        .await;
    let body = body.inspect_err(|failure| {
        if *failure != AttemptFailure::NoMemory {
            worker.observe_failure(&target.id, *failure);
        }
    })?;
    Ok(ReceivedAnswer::Collected(answer, body))
}
