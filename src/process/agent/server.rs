//! HTTP interface of the agent for entries.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::BytesMut;
use error_stack::Report;
use futures_util::{
    StreamExt,
    stream, //
};
use ntex::{
    http::{
        Payload,
        StatusCode, //
    },
    util::Bytes,
    web::{
        self,
        HttpRequest,
        HttpResponse, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    keyed::Recording,
    output,
    runner::{
        AttemptBody,
        Runner,
        expires_at_us, //
    },
    traffic::Traffic, //
};
use crate::{
    connection::{
        attempt::{
            ATTEMPT_HEADER,
            AttemptHead,
            UPLOAD_HEADER, //
        },
        frame::Frame, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        AttemptId,
        Incarnation, //
    },
    process::{
        at_most_once::AttemptState,
        header_map,
        upload::Upload, //
    },
    request::headers::Direction,
    version::config::ServiceKind, //
};

type State = web::types::State<Rc<Traffic>>;

/// Largest request body that is accepted from an entry.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Longest time until a kept body is complete or the next part of another one
/// arrives. The entry applies the bound of its settings first.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Adds the routes of the agent to an application.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/attempts", web::post().to(start))
        .route("/attempts/{id}/frames", web::get().to(resume))
        .route("/attempts/{id}/ack", web::post().to(acknowledge))
        .route("/attempts/{id}/bar", web::post().to(bar))
        .route("/attempts/{id}/cancel", web::post().to(cancel));
}

async fn start(traffic: State, request: HttpRequest, payload: web::types::Payload) -> HttpResponse {
    let body = match read_body(&request, payload.into_inner()).await {
        Ok(body) => body,
        Err(report) => return failed(*report.current_context()),
    };
    match admit(&traffic, &request, body) {
        Ok(output) => match output.read(0) {
            Ok(frames) => frame_response(frames),
            Err(_) => failed(ErrorKind::Internal),
        },
        Err(report) => failed(*report.current_context()),
    }
}

async fn read_body(request: &HttpRequest, mut payload: Payload) -> Result<AttemptBody> {
    if request.headers().contains_key(UPLOAD_HEADER) {
        let length = header_map::parsed(request.headers(), "content-length");
        let upload = Upload::new(Bytes::new(), payload, length, BODY_TIMEOUT);
        return Ok(AttemptBody::Upload(upload));
    }
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|_| Report::new(ErrorKind::BadRequest))?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(Report::new(ErrorKind::BodyTooLarge));
            }
            body.extend_from_slice(&part);
        }
        Ok(AttemptBody::Kept(Bytes::copy_from_slice(&body)))
    };
    let body = tokio::time::timeout(BODY_TIMEOUT, read).await;
    body.unwrap_or_else(|_| Err(Report::new(ErrorKind::BodyTimeout)))
}

fn admit(
    traffic: &Rc<Traffic>,
    request: &HttpRequest,
    body: AttemptBody,
) -> Result<Rc<output::Output>> {
    let value = request.headers().get(ATTEMPT_HEADER);
    let value = value.ok_or_else(|| Report::new(ErrorKind::BadRequest))?;
    let head = AttemptHead::decode(value.as_bytes())?;
    let context = &traffic.context;
    if context.is_leaving() {
        return Err(Report::new(ErrorKind::Stopping));
    }
    let versions = context.versions();
    // The entry knows the release of a plain target from the configuration.
    let is_engine = context.settings.target_kind == ServiceKind::Model;
    if is_engine
        && !versions.is_empty()
        && !versions.iter().any(|version| **version == *head.version)
    {
        return Err(Report::new(ErrorKind::WrongVersion));
    }
    let attempt = traffic
        .attempt_table
        .borrow_mut()
        .admit(head.agent, head.id)?;
    let output = traffic.open(head.id);
    let runner = Runner {
        traffic: Rc::clone(traffic),
        output: Rc::clone(&output),
        // The entry has already filtered; the agent does so again, because it is
        // the last process before the target.
        headers: header_map::forwarded(request.headers(), Direction::ToTarget),
        body,
        expires_at_us: expires_at_us(context.clock.now_us(), head.budget_ms),
        _version: context.use_version(&head.version),
        head,
        recording: Recording::default(),
    };
    ntex::rt::spawn(runner.run(attempt));
    Ok(output)
}

fn frame_response(
    frames: impl stream::Stream<Item = std::result::Result<Bytes, std::io::Error>> + Unpin + 'static,
) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .streaming(frames)
}

fn failed(kind: ErrorKind) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(output::encode(&Frame::Failed { kind }))
}

#[derive(Deserialize)]
struct ResumeQuery {
    from: u64,
}

async fn resume(
    traffic: State,
    id: web::types::Path<AttemptId>,
    query: web::types::Query<ResumeQuery>,
) -> HttpResponse {
    let Some(output) = traffic.output(*id) else {
        return failed(ErrorKind::StreamBroken);
    };
    match output.read(query.from) {
        Ok(frames) => frame_response(frames),
        Err(_) => failed(ErrorKind::StreamBroken),
    }
}

#[derive(Deserialize)]
struct AcknowledgeQuery {
    next: u64,
}

async fn acknowledge(
    traffic: State,
    id: web::types::Path<AttemptId>,
    query: web::types::Query<AcknowledgeQuery>,
) -> HttpResponse {
    let Some(output) = traffic.output(*id) else {
        // The stream was delivered before; a repeated acknowledgement is harmless.
        return HttpResponse::build(StatusCode::NO_CONTENT).finish();
    };
    if output.acknowledge(query.next).is_err() {
        return HttpResponse::BadRequest().finish();
    }
    traffic.forget_delivered(*id);
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

/// Ends an attempt whose caller has gone. Only sent for attempts that may run
/// again, so that a partial execution does no harm.
async fn cancel(traffic: State, id: web::types::Path<AttemptId>) -> HttpResponse {
    let _ = traffic
        .attempt_table
        .borrow_mut()
        .cancel_unless_started(traffic.context.incarnation, *id);
    if let Some(output) = traffic.output(*id) {
        output.cancel();
    }
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

#[derive(Deserialize)]
struct BarQuery {
    agent: Incarnation,
}

/// Answer to a request to bar an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BarAnswer {
    /// The attempt has not run and never will.
    Barred,
    /// The attempt runs; its stream can be resumed.
    Running,
    /// The attempt has ended; its stream may still be available.
    Done,
    /// This incarnation cannot tell.
    Unknown,
}

async fn bar(
    traffic: State,
    id: web::types::Path<AttemptId>,
    query: web::types::Query<BarQuery>,
) -> HttpResponse {
    let state = traffic
        .attempt_table
        .borrow_mut()
        .cancel_unless_started(query.agent, *id);
    let answer = match state {
        Ok(AttemptState::Cancelled | AttemptState::NotReceived | AttemptState::Queued) => {
            BarAnswer::Barred
        }
        Ok(AttemptState::Running) => BarAnswer::Running,
        Ok(AttemptState::Done(_)) => BarAnswer::Done,
        Ok(AttemptState::Unknown) | Err(_) => BarAnswer::Unknown,
    };
    HttpResponse::Ok().json(&answer)
}
