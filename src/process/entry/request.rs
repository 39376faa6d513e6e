//! What an entry knows about a caller's request before it is placed.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::BytesMut;
use error_stack::Report;
use futures_util::StreamExt;
use ntex::{
    http::{
        HeaderMap,
        Payload, //
    },
    util::Bytes,
    web::HttpRequest, //
};

use super::context::Context;
use crate::{
    clock::US_PER_MS,
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        Digest,
        Incarnation,
        Name, //
    },
    process::{
        at_most_once::idempotency::{
            IdempotencyKeyId,
            request_digest, //
        },
        header_map,
        upload::Upload, //
    },
    request::{
        headers::{
            Direction,
            KEY_HEADERS,
            REQUEST_ID,
            is_normalised,
            strip_key_parameters, //
        },
        openai::{
            BodyLimits,
            CompletionRequest,
            Endpoint, //
        },
    },
    version::{
        config::{
            Access,
            Config,
            OrganisationKey,
            RouteKey,
            RouteMiss, //
        },
        keys, //
    },
};

/// Bodies of plain requests up to this size are kept, so that the request can be
/// sent again.
const KEPT_BYTES: usize = 64 << 10;

/// Longest request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Name under which requests without a key are accounted.
pub(super) const PUBLIC: &str = "public";

/// A checked request of a caller.
pub(super) struct Request {
    pub(super) id: Name,
    pub(super) config: Arc<Config>,
    pub(super) route: RouteKey,
    pub(super) organisation: Option<OrganisationKey>,
    pub(super) organisation_name: Name,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Bytes,
    /// Present instead of `body` when the body is too large to be kept.
    pub(super) upload: Option<Rc<Upload>>,
    pub(super) completion: Option<CompletionRequest>,
    /// Present when the route must not run the request twice and the caller has
    /// sent a key.
    pub(super) keyed: Option<Keyed>,
    pub(super) arrived_at_us: u64,
    pub(super) expires_at_us: u64,
}

/// Idempotency key of a request and what it was used with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Keyed {
    pub(super) key: Digest,
    pub(super) request: Digest,
}

/// Longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&[u8]>> {
    let mut values = headers.get_all("idempotency-key");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let length = value.as_bytes().len();
    if values.next().is_some() || length == 0 || length > MAX_IDEMPOTENCY_KEY_BYTES {
        let report = Report::new(ErrorKind::BadRequest);
        return Err(report.attach("invalid idempotency key"));
    }
    Ok(Some(value.as_bytes()))
}

/// Returns the caller's request id, or makes one.
pub(super) fn request_id(request: &HttpRequest) -> Name {
    let given = request
        .headers()
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    let is_acceptable = |id: &&str| {
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_BYTES
            && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match given.filter(is_acceptable) {
        Some(id) => id.into(),
        None => new_request_id(),
    }
}

pub(super) fn new_request_id() -> Name {
    format!("{}{}", Incarnation::random(), Incarnation::random()).into()
}

/// Returns the organisation whose key came with a request; `None` without a key.
///
/// # Errors
///
/// Returns [`ErrorKind::UnknownKey`] for a key that is not valid now and
/// [`ErrorKind::KeysStale`] when that cannot be known.
pub(super) fn authenticate(
    context: &Context,
    config: &Config,
    headers: &HeaderMap,
) -> Result<Option<OrganisationKey>> {
    let Some(key) = presented_key(headers)? else {
        return Ok(None);
    };
    if context.are_keys_stale() {
        return Err(Report::new(ErrorKind::KeysStale));
    }
    let digest = keys::digest_of(key);
    match config.organisation_of_key(&digest) {
        Some(organisation) => Ok(Some(organisation)),
        None => Err(Report::new(ErrorKind::UnknownKey)),
    }
}

/// Two different keys are refused, because it is unclear who would pay.
fn presented_key(headers: &HeaderMap) -> Result<Option<&[u8]>> {
    let bearer = headers
        .get_all("authorization")
        .filter_map(|value| bearer_token(value.as_bytes()));
    let others = KEY_HEADERS
        .iter()
        .flat_map(|name| headers.get_all(*name))
        .map(|value| value.as_bytes().trim_ascii());
    let mut keys = bearer.chain(others);
    let first = keys.next();
    if keys.any(|key| Some(key) != first) {
        return Err(Report::new(ErrorKind::BadRequest).attach("several keys"));
    }
    Ok(first)
}

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked("bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii())
}

impl Request {
    /// Reads and checks a request.
    ///
    /// # Errors
    ///
    /// Returns the kind that tells the caller why the request is refused.
    pub(super) async fn read(
        context: &Context,
        id: Name,
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> Result<Self> {
        let arrived_at_us = context.clock.now_us();
        if context.is_leaving() {
            return Err(Report::new(ErrorKind::Stopping));
        }
        if !context.can_serve() {
            return Err(Report::new(ErrorKind::NotReady));
        }
        if !is_normalised(request.uri().path()) {
            return Err(Report::new(ErrorKind::BadRequest).attach("the path is not normalised"));
        }
        let config = context.config.load_full();
        let organisation = authenticate(context, &config, request.headers())?;
        let path = request.uri().path().to_owned();
        let method = request.method().as_str().to_owned();
        let endpoint = Endpoint::from_path(&path).filter(|_| method == "POST");
        let has_key = idempotency_key(request.headers())?.is_some();
        let (body, upload) = if endpoint.is_some() || has_key {
            (read_body(context, request, payload).await?, None)
        } else {
            read_start(context, request, payload).await?
        };
        let completion = match endpoint {
            Some(endpoint) => Some(parse(endpoint, &body)?),
            None => None,
        };
        let model = completion.as_ref().map(|completion| &*completion.model);
        let route = config
            .find_route(&method, &path, model)
            .map_err(|miss| match miss {
                RouteMiss::NotFound => Report::new(ErrorKind::RouteNotFound),
                RouteMiss::MethodNotAllowed => Report::new(ErrorKind::MethodNotAllowed),
            })?;
        let timeout_ms = permit(&config, route, organisation)?;
        let organisation_name = organisation
            .and_then(|key| config.organisation(key))
            .map_or_else(|| PUBLIC.into(), |organisation| organisation.name.clone());
        let route_of_key = config.route(route).filter(|entry| !entry.route.idempotent);
        let keyed = match (idempotency_key(request.headers())?, route_of_key) {
            (Some(key), Some(entry)) => Some(Keyed {
                key: IdempotencyKeyId::new(&organisation_name, &entry.route.name, key).0,
                request: request_digest(&method, &strip_key_parameters(uri_text(request)), &body),
            }),
            _ => None,
        };
        Ok(Self {
            id,
            route,
            organisation,
            organisation_name,
            method,
            path: strip_key_parameters(uri_text(request)),
            headers: header_map::forwarded(request.headers(), Direction::ToTarget),
            body,
            upload,
            completion,
            keyed,
            arrived_at_us,
            expires_at_us: arrived_at_us + timeout_ms * US_PER_MS,
            config,
        })
    }

    /// Returns whether the answer is a stream of server-sent events.
    pub(super) fn is_stream(&self) -> bool {
        self.completion
            .as_ref()
            .is_some_and(|completion| completion.stream)
    }
}

fn uri_text(request: &HttpRequest) -> &str {
    let path_and_query = request.uri().path_and_query();
    path_and_query.map_or(request.uri().path(), |path| path.as_str())
}

fn parse(endpoint: Endpoint, body: &Bytes) -> Result<CompletionRequest> {
    let body = bytes::Bytes::copy_from_slice(body);
    CompletionRequest::parse(endpoint, body, &BodyLimits::default())
}

/// Returns the timeout of the route if the organisation may use it.
fn permit(config: &Config, route: RouteKey, organisation: Option<OrganisationKey>) -> Result<u64> {
    let entry = config
        .route(route)
        .ok_or_else(|| Report::new(ErrorKind::RouteNotFound))?;
    if entry.route.access == Access::Keyed {
        let organisation = organisation.ok_or_else(|| Report::new(ErrorKind::UnknownKey))?;
        if !entry.admits(organisation) {
            return Err(Report::new(ErrorKind::Forbidden));
        }
    }
    Ok(entry.route.timeout_ms)
}

async fn read_body(
    context: &Context,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Bytes> {
    let limit_bytes = context.settings.body_limit_bytes;
    let announced = announced_bytes(request).and_then(|length| usize::try_from(length).ok());
    if announced.is_some_and(|length| length > limit_bytes) {
        return Err(Report::new(ErrorKind::BodyTooLarge));
    }
    match read_within(context, payload, limit_bytes).await? {
        Read::Whole(body) => Ok(body),
        Read::Part(_) => Err(Report::new(ErrorKind::BodyTooLarge)),
    }
}

/// Reads a small body; a larger one passes through.
async fn read_start(
    context: &Context,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<(Bytes, Option<Rc<Upload>>)> {
    match read_within(context, payload, KEPT_BYTES).await? {
        Read::Whole(body) => Ok((body, None)),
        Read::Part(start) => {
            let idle = Duration::from_millis(context.settings.body_timeout_ms);
            let payload = std::mem::replace(payload, Payload::None);
            let upload = Upload::new(start, payload, announced_bytes(request), idle);
            Ok((Bytes::new(), Some(upload)))
        }
    }
}

enum Read {
    Whole(Bytes),
    /// Slightly more than the limit.
    Part(Bytes),
}

fn announced_bytes(request: &HttpRequest) -> Option<u64> {
    header_map::parsed(request.headers(), "content-length")
}

async fn read_within(context: &Context, payload: &mut Payload, limit_bytes: usize) -> Result<Read> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part
                .map_err(|_| Report::new(ErrorKind::BadRequest).attach("the body is incomplete"))?;
            body.extend_from_slice(&part);
            if body.len() > limit_bytes {
                return Ok(Read::Part(Bytes::copy_from_slice(&body)));
            }
        }
        Ok(Read::Whole(Bytes::copy_from_slice(&body)))
    };
    let timeout = Duration::from_millis(context.settings.body_timeout_ms);
    tokio::time::timeout(timeout, read)
        .await
        .unwrap_or_else(|_| Err(Report::new(ErrorKind::BodyTimeout)))
}
