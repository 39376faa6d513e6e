//! Answers of an entry to the requests of other entries and of agents.

use std::sync::Arc;

use bytes::Bytes;
use ntex::http::{
    Request,
    Response,
    StatusCode, //
};
use serde::Serialize;
use slog::warn;

use super::{
    body::{
        self,
        Bodies,
        BodyLimits, //
    },
    context::Context,
    memory_budget::Holder,
    peers::{
        self,
        EntryState,
        ExchangeRequest, //
    },
    reply,
    snapshot::{
        self,
        Snapshot,
        SnapshotRequest, //
    },
};
use crate::{
    clock::US_PER_S,
    error::ErrorKind,
    event::Event, //
};

/// Longest time until a message has arrived. Its sender has given up by then.
const MESSAGE_TIMEOUT_US: u64 = 5 * US_PER_S;

/// Returns the state that this entry reports to others.
pub(super) fn own_state(context: &Context) -> EntryState {
    let settings = context.settings.get();
    EntryState {
        name: settings.name.clone(),
        incarnation: context.incarnation,
        control_address: settings.control_address,
        used: context.quotas().used(),
        parts: context.quarantine().report(context.clock.now_us()),
        cold_until_ms: context.warmup().cold_ends(context.wall_us()),
        rollouts: context
            .service_rollouts()
            .report(context.clock.now_us(), context.wall_us()),
        statements: context.capacity().report(context.clock.now_us()),
    }
}

/// Answers a request of another entry or of an agent.
pub(super) async fn answer(context: &Context, bodies: &Bodies, mut request: Request) -> Response {
    let is_snapshot = match request.uri().path() {
        peers::PATH => false,
        snapshot::PATH => true,
        _ => return Response::new(StatusCode::NOT_FOUND),
    };
    let mut payload = request.take_payload();
    let limits = BodyLimits {
        max_bytes: peers::MAX_MESSAGE_BYTES,
        length_bytes: body::announced_bytes(request.headers()),
        deadline_us: context.clock.now_us() + MESSAGE_TIMEOUT_US,
    };
    let memory = bodies.begin(Holder::Peer);
    let body = match body::read(bodies, &mut payload, &memory, &limits).await {
        Ok(body) => body,
        Err(kind) => {
            let status = StatusCode::from_u16(kind.answer().status);
            return Response::new(status.unwrap_or(StatusCode::BAD_REQUEST));
        }
    };
    if is_snapshot {
        return match postcard::from_bytes(&body) {
            Ok(snapshot_request) => answer_snapshot(context, &snapshot_request),
            Err(_) => Response::new(StatusCode::BAD_REQUEST),
        };
    }
    match postcard::from_bytes(&body) {
        Ok(exchange_request) => answer_exchange(context, &exchange_request),
        Err(_) => Response::new(StatusCode::BAD_REQUEST),
    }
}

fn answer_exchange(context: &Context, exchange_request: &ExchangeRequest) -> Response {
    let mut begun = Vec::new();
    if let Some(entry) = &exchange_request.entry {
        context.merge_entry_state(entry);
        if let Some(announcement) = exchange_request.configuration {
            context.note_configuration(entry.control_address, announcement);
        }
        let now_us = context.clock.now_us();
        begun = context.quarantine().begun_answers(&entry.parts, now_us);
    }
    let cache_position = exchange_request
        .engine
        .clone()
        .and_then(|engine| context.record_engine_report(engine, exchange_request.cache.as_ref()));
    let platform_state = context.platform_state.load();
    let entry = exchange_request.entry.is_some().then(|| {
        let mut entry = own_state(context);
        entry.parts.begun = begun;
        entry
    });
    let reply = peers::build_reply(
        exchange_request,
        entry,
        context.announcement(),
        &platform_state,
        cache_position,
        context.store_fresh_for_us(),
    );
    encode(context, &reply).map_or_else(Response::new, |body| {
        Response::build(StatusCode::OK).body(body)
    })
}

/// Sends what an entry or agent lacks, unless enough others are being sent theirs.
fn answer_snapshot(context: &Context, snapshot_request: &SnapshotRequest) -> Response {
    let Ok(upload) = Arc::clone(&context.uploads).try_acquire_owned() else {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    };
    let snapshot = Snapshot::new(snapshot_request, &context.platform_state.load());
    encode(context, &snapshot).map_or_else(Response::new, |body| {
        let body = reply::answer_body(Bytes::from(body), upload);
        Response::build(StatusCode::OK).body(body)
    })
}

/// Encodes an answer. Returns the status of the answer when that fails.
fn encode(context: &Context, message: &impl Serialize) -> Result<Vec<u8>, StatusCode> {
    postcard::to_stdvec(message).map_err(|error| {
        warn!(context.log, "answer to an entry or agent cannot be encoded";
            "event" => Event::RevisionRejected,
            "kind" => ErrorKind::Internal.name(),
            "error" => %error);
        StatusCode::INTERNAL_SERVER_ERROR
    })
}
