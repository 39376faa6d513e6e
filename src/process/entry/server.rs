//! HTTP interface of the entry for callers.

use std::rc::Rc;

use futures_util::stream;
use ntex::{
    http::StatusCode,
    util::Bytes,
    web::{
        self,
        HttpRequest,
        HttpResponse, //
    },
};
use serde_json::json;
use slog::info;

use super::{
    admission::admit,
    answer::{
        close_connection,
        error_event,
        error_response, //
    },
    context::RunningGuard,
    forward::Call,
    request::{
        PUBLIC,
        Request,
        authenticate,
        request_id, //
    },
    worker::Worker, //
};
use crate::{
    connection::frame::ResponseHead,
    error::{
        ErrorKind,
        Report, //
    },
    event::Event,
    names::Name,
    process::{
        connections::BusyGuard,
        metrics::OrganisationMetrics,
        upload, //
    },
    request::{
        admission::Reservation,
        headers::REQUEST_ID, //
    },
    version::config::ServiceKind, //
};

type State = web::types::State<Rc<Worker>>;

/// An answer up to this size is collected before it is passed on, so that a
/// failure until then can still be retried or reported with a status.
const COLLECT_BYTES: usize = 256 << 10;

/// Adds the routes of the entry to an application.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/models", web::get().to(models))
        .route("/{path}*", web::route().to(handle));
}

async fn models(worker: State, request: HttpRequest) -> HttpResponse {
    let id = request_id(&request);
    let config = worker.context.config.load_full();
    let organisation = match authenticate(&worker.context, &config, request.headers()) {
        Ok(organisation) => organisation,
        Err(report) => return error_response(&report, &id),
    };
    let mut names: Vec<Name> = config
        .routes()
        .filter(|(_, entry)| organisation.is_some_and(|key| entry.admits(key)))
        .filter_map(|(_, entry)| config.service(entry.service))
        .filter(|service| service.kind == ServiceKind::Model)
        .filter_map(|service| service.model.clone())
        .collect();
    names.sort();
    names.dedup();
    let data: Vec<_> = names
        .iter()
        .map(|name| json!({"id": &**name, "object": "model", "owned_by": "yuccalatch"}))
        .collect();
    HttpResponse::Ok()
        .set_header(REQUEST_ID, &*id)
        .json(&json!({"object": "list", "data": data}))
}

async fn handle(worker: State, request: HttpRequest, payload: web::types::Payload) -> HttpResponse {
    let mut payload = payload.into_inner();
    let id = request_id(&request);
    let guard = (
        RunningGuard::new(&worker.context),
        worker.connections.enter(request.io()),
    );
    let request = match Request::read(&worker.context, id.clone(), &request, &mut payload).await {
        Ok(request) => request,
        Err(report) => {
            upload::discard(&mut payload).await;
            return refuse(&worker, &id, PUBLIC, &report);
        }
    };
    let organisation = request.organisation_name.clone();
    let metrics = worker.context.metrics.organisation(&organisation);
    let mut call = Call::new(&worker, request);
    let admitted = match admit(&worker.context, &call.request, call.cost()).await {
        Ok(admitted) => admitted,
        Err(report) => return refuse(&worker, &id, &organisation, &report),
    };
    let reservation = admitted.reservation;
    call.set_rate_status(admitted.rate_status);
    match call.start().await {
        Ok(head) => {
            let relay = Relay {
                worker: Rc::clone(&worker),
                call,
                metrics,
                organisation,
                last_at_us: None,
                ended: false,
                reservation,
                _guard: guard,
            };
            relay.answer(head).await
        }
        Err(report) => {
            if report.current_context().is_not_run() {
                settle(&worker, reservation, 0);
            }
            if let Some(upload) = &call.request.upload {
                upload.discard().await;
            }
            refuse(&worker, &id, &organisation, &report)
        }
    }
}

/// Ends a reservation and refunds what was not used.
fn settle(worker: &Worker, reservation: Option<Reservation>, used_tokens: u64) {
    if let Some(reservation) = reservation {
        reservation.settle(used_tokens, worker.context.clock.now_us());
    }
}

fn refuse(worker: &Worker, id: &str, organisation: &str, report: &Report) -> HttpResponse {
    let kind = *report.current_context();
    worker
        .context
        .metrics
        .count_answer(organisation, Some(kind));
    let event = if kind.is_not_run() {
        Event::RequestRefused
    } else {
        Event::RequestFailed
    };
    info!(worker.context.log, "request was not answered";
        "event" => event, "request_id" => id, "kind" => kind.name());
    let mut response = error_response(report, id);
    if worker.context.is_leaving() {
        close_connection(&mut response);
    }
    response
}

/// Passes an answer to the caller.
struct Relay {
    worker: Rc<Worker>,
    call: Call,
    metrics: OrganisationMetrics,
    organisation: Name,
    last_at_us: Option<u64>,
    ended: bool,
    reservation: Option<Reservation>,
    _guard: (RunningGuard, Option<BusyGuard>),
}

impl Relay {
    async fn answer(mut self, mut head: ResponseHead) -> HttpResponse {
        let id = self.call.request.id.clone();
        let mut is_event_stream = self.call.request.is_stream() && head.status == 200;
        let mut collected: Vec<u8> = Vec::new();
        let mut is_whole = false;
        while !is_event_stream && !is_whole && collected.len() < COLLECT_BYTES {
            match self.next().await {
                Ok(Some(data)) => collected.extend_from_slice(&data),
                Ok(None) => is_whole = true,
                Err(report) => match self.call.start_over(*report.current_context()).await {
                    Ok(other) => {
                        head = other;
                        is_event_stream = self.call.request.is_stream() && head.status == 200;
                        collected.clear();
                        self.ended = false;
                    }
                    Err(report) => {
                        return refuse(&self.worker, &id, &self.organisation, &report);
                    }
                },
            }
        }
        if is_whole {
            let used_tokens = self.call.used_tokens(&collected);
            settle(&self.worker, self.reservation.take(), used_tokens);
        }
        let is_leaving = self.worker.context.is_leaving();
        let mut response = self.response_builder(&head, &id);
        let mut response = if is_whole {
            response.body(collected)
        } else {
            response.streaming(self.into_stream(collected))
        };
        if is_leaving {
            close_connection(&mut response);
        }
        response
    }

    fn response_builder(&self, head: &ResponseHead, id: &str) -> ntex::http::ResponseBuilder {
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        for (name, value) in &head.headers {
            if name != "content-length" {
                response.header(name.as_str(), value.as_str());
            }
        }
        response.set_header(REQUEST_ID, id);
        response
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Report> {
        let result = self.call.next().await;
        let now_us = self.worker.context.clock.now_us();
        match &result {
            Ok(Some(_)) => self.observe_part(now_us),
            Ok(None) => self.finish(now_us, None),
            Err(report) => self.finish(now_us, Some(*report.current_context())),
        }
        result
    }

    fn observe_part(&mut self, now_us: u64) {
        match self.last_at_us.replace(now_us) {
            None => {
                let first_us = now_us - self.call.request.arrived_at_us;
                self.metrics.first_token.observe(first_us as f64 / 1e6);
            }
            Some(last_us) => {
                let gap_us = now_us - last_us;
                self.metrics.between_tokens.observe(gap_us as f64 / 1e6);
            }
        }
    }

    fn finish(&mut self, now_us: u64, failure: Option<ErrorKind>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if self.call.request.is_stream() {
            let used_tokens = self.call.used_tokens(&[]);
            settle(&self.worker, self.reservation.take(), used_tokens);
        }
        let total_us = now_us - self.call.request.arrived_at_us;
        self.metrics.total.observe(total_us as f64 / 1e6);
        if failure.is_none() {
            self.worker
                .context
                .metrics
                .count_answer(&self.organisation, None);
        }
        let event = if failure.is_none() {
            Event::RequestDone
        } else {
            Event::RequestFailed
        };
        info!(self.worker.context.log, "request ended";
            "event" => event,
            "request_id" => %self.call.request.id,
            "organisation" => %self.organisation,
            "total_us" => total_us,
            "kind" => failure.map(ErrorKind::name));
    }

    fn into_stream(
        self,
        collected: Vec<u8>,
    ) -> impl stream::Stream<Item = Result<Bytes, std::io::Error>> + Unpin {
        let first = (!collected.is_empty()).then(|| Bytes::from(collected));
        Box::pin(stream::unfold(
            (self, first),
            |(mut relay, first)| async move {
                if let Some(first) = first {
                    return Some((Ok(first), (relay, None)));
                }
                let item = relay.next_item().await?;
                Some((item, (relay, None)))
            },
        ))
    }

    async fn next_item(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        match self.next().await {
            Ok(data) => data.map(Ok),
            Err(report) => {
                let kind = *report.current_context();
                self.worker
                    .context
                    .metrics
                    .count_answer(&self.organisation, Some(kind));
                if !self.call.request.is_stream() {
                    // Without an event format, a broken transfer is the only
                    // way to say that the body is incomplete.
                    if let Some(connection) = &self._guard.1 {
                        connection.cut().await;
                    }
                    return Some(Err(std::io::Error::other(kind)));
                }
                Some(Ok(Bytes::from(error_event(kind, &self.call.request.id))))
            }
        }
    }
}
