//! One attempt to run a request at one target.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use ntex::http::{
    HeaderMap,
    Method, //
};
use slog::info;
use tokio::time::{
    Instant,
    timeout_at, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    admission::{
        Demand,
        id_hash, //
    },
    answer::{
        self,
        ForwardedStatus,
        InvalidAnswer,
        Misdirection,
        Verdict, //
    },
    authorization::{
        Authorization,
        authorize,
        choose_service, //
    },
    body::{
        self,
        Bodies,
        MemoryGuard, //
    },
    cache::prompt_keys,
    call::{
        self,
        CallAnswer,
        CallError,
        CallRequest, //
    },
    choice::TargetChoice,
    constraint::Constraint,
    events::SplitError,
    kv_store::{
        select_source,
        select_store, //
    },
    message::{
        Prompt,
        RequestHead,
        SystemFields, //
    },
    platform::Platform,
    platform_state::PlatformState,
    routing::{
        Organisation,
        Route,
        RoutingTable, //
    },
    target::TargetRecord,
    urgency::{
        Timing,
        urgency, //
    },
    worker::{
        InFlightGuard,
        Worker, //
    },
};
use crate::{
    clock::US_PER_MS,
    error::ErrorKind,
    event::Event,
    names::Name,
    process::metrics::UrgencyLabels, //
};

/// Longest time to open a connection to a target. Targets are a few milliseconds
/// away, so one that does not accept by then is down or unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest answer that is buffered whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Metrics label of requests without an organisation.
pub(super) const PUBLIC_LABEL: &str = "public";

/// A caller's request with everything that its attempts need.
pub(super) struct IncomingRequest {
    pub(super) head: RequestHead,
    pub(super) method: Method,
    pub(super) path_and_query: String,
    /// Host that the caller named.
    pub(super) host: Name,
    /// The caller's header fields that are forwarded to the target, without the
    /// fields that the entry itself sets.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Memory that the body and the answer are charged, until the request ends.
    pub(super) memory: MemoryGuard,
    /// Version of the configuration that states the route and the organisation.
    pub(super) table_version: u64,
    pub(super) route: Arc<Route>,
    pub(super) service: Name,
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) kv_stores: Arc<[SocketAddr]>,
    /// Ids of the parts of the prompt that other requests share.
    pub(super) shared_parts: Vec<u64>,
    pub(super) arrived_at_us: u64,
    /// When the caller may have sent the request; time limits count from then.
    pub(super) sent_at_us: u64,
    pub(super) deadline_us: u64,
}

impl IncomingRequest {
    /// Returns the id for log lines, `-` when the caller sent none.
    pub(super) fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// Takes route, organisation, service and time limit from a configuration, which may have
    /// changed while the request waited.
    ///
    /// Returns the refusal of a request whose route or key is gone, or whose key belongs to
    /// another organisation: its quota was not charged.
    pub(super) fn reauthorize(&mut self, table: &RoutingTable) -> Result<(), ErrorKind> {
        if table.version == self.table_version {
            return Ok(());
        }
        let path = self.path_and_query.split('?').next().unwrap_or_default();
        let authorization = authorize(table, &self.host, path, self.head.key.as_ref())?;
        let organisation = authorization.organisation.as_ref();
        if organisation.map(|each| &each.name) != self.organisation_name() {
            return Err(ErrorKind::NotReady);
        }
        let Authorization {
            version,
            route,
            organisation,
        } = authorization;
        if !route
            .shares
            .iter()
            .any(|share| share.service == self.service)
        {
            self.service = choose_service(&route, self.head.id.as_deref());
        }
        let answer_by_us = answer_by_us(self.sent_at_us, route.timeout_ms);
        self.deadline_us = answer_by_us.min(self.deadline_us);
        self.kv_stores = Arc::clone(table.kv_stores());
        self.route = route;
        self.organisation = organisation;
        self.table_version = version;
        Ok(())
    }

    /// Returns the organisation if its cached parts are kept apart from those of
    /// others.
    pub(super) fn isolated_organisation(&self) -> Option<&Name> {
        let organisation = self.organisation.as_ref()?;
        organisation.is_isolated.then_some(&organisation.name)
    }

    /// Returns the salt that separates the placement of isolated organisations, 0
    /// for all others.
    pub(super) fn salt(&self) -> u64 {
        let name = self.isolated_organisation();
        name.map_or(0, |name| xxh3_64(name.as_bytes()))
    }

    /// Returns the namespace of the request's cached parts. It contains the version
    /// of the weights, so that parts of other weights are never found, and the
    /// organisation when its parts are kept apart. While the version is unknown,
    /// it contains the target instead.
    pub(super) fn cache_namespace(&self, weights: Option<u64>, target: &Name) -> String {
        let version = match weights {
            Some(version) => version.to_string(),
            None => format!("at-{target}"),
        };
        match self.isolated_organisation() {
            Some(name) => format!("{version}/{name}"),
            None => version,
        }
    }

    /// Returns what admission has to know of the request.
    pub(super) fn demand(&self) -> Demand<'_> {
        Demand {
            route: &self.route.name,
            organisation: self.organisation_name(),
            service: &self.service,
            rank: self.rank(),
            arrived_at_us: self.arrived_at_us,
            goal_at_us: self.arrived_at_us + self.route.goal_ms * US_PER_MS,
            deadline_at_us: self.deadline_us,
            id_hash: id_hash(self.id(), self.arrived_at_us),
        }
    }

    /// Returns the rules for the targets of the request. `regions` maps data centres to
    /// their regions.
    pub(super) fn constraint<'a>(
        &'a self,
        platform_state: &'a PlatformState,
        regions: &'a BTreeMap<Name, Name>,
    ) -> Constraint<'a> {
        let organisation = self.organisation.as_ref();
        let organisation = organisation.map_or(&[][..], |each| &each.allowed_regions);
        Constraint::new(platform_state).within(regions, [&self.route.allowed_regions, organisation])
    }

    /// Returns the configured priority of the request; 0 is served first.
    pub(super) fn rank(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let priority = organisation.and_then(|organisation| organisation.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the label of the request's metrics.
    pub(super) fn label(&self) -> &str {
        self.organisation_name()
            .map_or(PUBLIC_LABEL, |name| &**name)
    }

    pub(super) fn organisation_name(&self) -> Option<&Name> {
        self.organisation.as_ref().map(|each| &each.name)
    }
}

/// Time before the caller's deadline at which the entry answers at the latest, so
/// that the answer still arrives in time.
const ANSWER_MARGIN_US: u64 = 15 * US_PER_MS;

/// Returns when a request that was sent at `sent_at_us` is answered at the latest.
pub(super) const fn answer_by_us(sent_at_us: u64, time_limit_ms: u64) -> u64 {
    (sent_at_us + time_limit_ms.saturating_mul(US_PER_MS)).saturating_sub(ANSWER_MARGIN_US)
}

/// Why an attempt gave no answer to pass on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFailure {
    /// The request did not reach the target.
    Unsent,
    /// The target states that it did not run the request.
    NotRun,
    /// Another target has the address, or the engine has other weights.
    Misdirected(Misdirection),
    /// The target did not answer within the time of the attempt.
    Silent,
    /// The connection broke, or the body is not a valid one.
    Broken,
    /// The answer is not one of the target to this request.
    Invalid(InvalidAnswer),
    /// The target failed the request, with a status that means "not run" to callers.
    UnstatedRefusal,
    /// The target did not answer with the rest of the stream that it was to continue.
    NotContinued,
    /// An event of the stream has another id than the one that follows.
    OutOfOrder,
    /// The answer did not fit the memory budget in time.
    NoMemory,
    /// This process stops before the target has answered.
    Interrupted,
}

impl From<SplitError> for AttemptFailure {
    fn from(error: SplitError) -> Self {
        match error {
            SplitError::OutOfOrder => Self::OutOfOrder,
            SplitError::Malformed | SplitError::NoProgress | SplitError::TooLong => Self::Broken,
        }
    }
}

impl AttemptFailure {
    /// Returns whether the request certainly did not run.
    pub(super) const fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::NotRun | Self::Misdirected(_))
    }

    /// Returns whether the failure is due to this entry and says nothing about the target.
    pub(super) const fn is_own(self) -> bool {
        matches!(self, Self::NoMemory | Self::Interrupted)
    }

    /// Returns the value for log lines.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::NotRun => "not_run",
            Self::Misdirected(misdirection) => misdirection.name(),
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Invalid(invalid) => invalid.name(),
            Self::UnstatedRefusal => "unstated_refusal",
            Self::NotContinued => "not_continued",
            Self::OutOfOrder => "out_of_order",
            Self::NoMemory => "no_memory",
            Self::Interrupted => "interrupted",
        }
    }
}

/// Answer of a target whose body has not been read yet.
pub(super) struct Answer<P> {
    /// Counts the request at its target until the answer is dropped.
    pub(super) in_flight: InFlightGuard<P>,
    pub(super) status: ForwardedStatus,
    response: CallAnswer,
}

/// Time for which a target is avoided after it refused a request because it was
/// full or loading weights.
const REFUSED_PAUSE_US: u64 = 100 * US_PER_MS;

/// Time for which a target id is avoided after another target answered at its
/// address. The list of targets is updated by then.
const MISDIRECTED_PAUSE_US: u64 = 3_000 * US_PER_MS;

/// Time for which an engine is avoided after it refused a request because it has
/// other weights than the entry expected. Its agent reports the new version by then.
const OTHER_WEIGHTS_PAUSE_US: u64 = 300 * US_PER_MS;

/// Sends a request to a target and waits for the head of the answer. Records the
/// result in the worker's observations of the target.
pub(super) async fn send<P: Platform>(
    worker: &Rc<Worker<P>>,
    incoming: &IncomingRequest,
    choice: &TargetChoice,
    last_event_id: Option<u64>,
    until_us: u64,
) -> Result<Answer<P>, AttemptFailure> {
    let now_us = worker.now_us();
    let target = &*choice.target;
    let prompt = incoming.head.prompt.as_ref();
    let prefill_tokens = prompt.map_or(0, |prompt| choice.uncached_input_tokens(prompt));
    let memory_tokens = prompt.map_or(0, Prompt::expected_tokens);
    let in_flight = worker.track_in_flight(&target.id, (prefill_tokens, memory_tokens));
    let keys = match (prompt, &choice.namespace) {
        (Some(prompt), Some(namespace)) => prompt_keys(namespace, prompt),
        _ => Vec::new(),
    };
    worker.record_sent_parts(&target.id, &keys, false);
    let platform_state = worker.context.platform_state.load();
    let kv_store = prompt
        .filter(|_| choice.weights.is_some())
        .and_then(|prompt| {
            let down = worker.context.down_kv_stores();
            let settings = worker.context.settings.get();
            let constraint = incoming.constraint(&platform_state, &settings.regions);
            let stores = constraint.kv_stores(&platform_state, &incoming.kv_stores);
            select_store(&stores, &down, prompt)
        });
    let import_from = prompt.and_then(|prompt| {
        let engine = (choice.import_from, choice.cached.importable_tokens);
        let weights_age_us = platform_state.weights_age_us(&prompt.model, now_us);
        select_source(engine, kv_store, prompt, weights_age_us)
    });
    let has_uncached_tokens = prompt.is_some_and(|prompt| choice.uncached_tokens(prompt) > 0);
    let system_fields = SystemFields {
        remaining_ms: incoming.deadline_us.saturating_sub(now_us) / US_PER_MS,
        target: &target.id,
        organisation: incoming.organisation_name(),
        cache_namespace: choice.namespace.as_deref(),
        import_from,
        export_to: kv_store.filter(|_| has_uncached_tokens),
        weights_version: choice.weights,
        urgency: worker.context.has_overload_control.then(|| {
            let timing = Timing {
                arrived_at_us: incoming.arrived_at_us,
                goal_at_us: incoming.arrived_at_us + incoming.route.goal_ms * US_PER_MS,
                work_us: choice.forecast.first_token_us,
            };
            urgency(incoming.rank(), timing, now_us)
        }),
        last_event_id,
    };
    if let Some(urgency) = system_fields.urgency {
        let urgency = u32::from(urgency);
        let labels = UrgencyLabels { urgency };
        worker
            .context
            .metrics
            .urgencies
            .get_or_create(&labels)
            .inc();
    }
    info!(worker.context.log, "target chosen";
        "event" => Event::TargetChosen,
        "request_id" => incoming.id(),
        "target" => &*target.id,
        "standing" => ?choice.availability,
        "running" => choice.load.running,
        "waiting" => choice.load.waiting,
        "load_age_us" => choice.load_age_us,
        "weights" => choice.weights,
        "suits_length" => choice.suits_length,
        "cold" => choice.is_cold,
        "forecast_us" => choice.forecast.first_token_us,
        "spread_us" => choice.forecast.spread_us,
        "has_free_place" => choice.forecast.has_free_place,
        "memory_wait_us" => choice.memory_wait_us,
        "prompt_tokens" => prompt.map(|prompt| prompt.input_tokens),
        "shared_tokens" => prompt.map(Prompt::shared_tokens),
        "cached_tokens" => choice.cached.leading_tokens,
        "importable_tokens" => choice.cached.importable_tokens,
        "import_from" => import_from.map(|address| address.to_string()),
        "urgency" => system_fields.urgency,
        "remaining_ms" => system_fields.remaining_ms);
    let mut headers = incoming.headers.clone();
    P::set_system_fields(&mut headers, &system_fields);
    let request = CallRequest {
        method: incoming.method.clone(),
        path_and_query: incoming.path_and_query.clone(),
        headers,
        body: incoming.body.clone(),
    };
    let until = timer_instant(worker, until_us);
    let sent = timeout_at(until, call::send(target.address, request, CONNECT_TIMEOUT)).await;
    let response = match sent {
        Err(_) => {
            worker.observe_failure(&target.id, AttemptFailure::Silent);
            return Err(AttemptFailure::Silent);
        }
        Ok(Err(error)) => {
            let failure = match error {
                CallError::Unsent(_) => AttemptFailure::Unsent,
                CallError::Broken(_) => AttemptFailure::Broken,
            };
            worker.observe_failure(&target.id, failure);
            return Err(failure);
        }
        Ok(Ok(response)) => response,
    };
    let answer = check_head(worker, incoming, target, in_flight, response)?;
    if answer.status.code().is_success() {
        worker.record_sent_parts(&target.id, &keys, true);
    }
    Ok(answer)
}

/// Checks that an answer comes from the intended target and belongs to the request,
/// and records what its head reports.
fn check_head<P: Platform>(
    worker: &Rc<Worker<P>>,
    incoming: &IncomingRequest,
    target: &TargetRecord,
    in_flight: InFlightGuard<P>,
    response: CallAnswer,
) -> Result<Answer<P>, AttemptFailure> {
    let status = response.status;
    let head = P::read_answer(status.as_u16(), &response.headers);
    let verdict = answer::judge(status, &head, incoming.head.id.as_ref(), &target.id);
    match verdict {
        Verdict::NotRun => {
            worker.observe_refusal(target, &head, REFUSED_PAUSE_US);
            Err(AttemptFailure::NotRun)
        }
        Verdict::Misdirected(misdirection) => {
            let pause_us = match misdirection {
                Misdirection::OtherTarget => MISDIRECTED_PAUSE_US,
                Misdirection::OtherWeights => OTHER_WEIGHTS_PAUSE_US,
            };
            worker.observe_refusal(target, &head, pause_us);
            Err(AttemptFailure::Misdirected(misdirection))
        }
        Verdict::Invalid(invalid) => {
            let failure = AttemptFailure::Invalid(invalid);
            worker.observe_failure(&target.id, failure);
            Err(failure)
        }
        Verdict::UnstatedRefusal => {
            worker.observe(target, &head, false);
            Err(AttemptFailure::UnstatedRefusal)
        }
        Verdict::Answered(forwarded) => {
            worker.observe(target, &head, !status.is_server_error());
            Ok(Answer {
                in_flight,
                status: forwarded,
                response,
            })
        }
    }
}

/// Converts a time of the entry's clock into an instant of the timer.
pub(super) fn timer_instant<P>(worker: &Worker<P>, at_us: u64) -> Instant {
    Instant::from_std(worker.context.clock.instant(at_us))
}

impl<P> Answer<P> {
    pub(super) const fn headers(&self) -> &HeaderMap {
        &self.response.headers
    }

    /// Returns the next part of the body, or `None` at its end.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        self.response
            .next()
            .await
            .map_err(|_| AttemptFailure::Broken)
    }

    /// Returns whether the answer states its end, by a length or in chunks.
    pub(super) fn states_end(&self) -> bool {
        self.response.states_end()
    }

    /// Reads the whole body. Fails with [`AttemptFailure::Broken`] when it exceeds
    /// [`MAX_ANSWER_BYTES`], and with [`AttemptFailure::NoMemory`] when the target has
    /// stalled and others need its place. While the answer does not fit the memory budget,
    /// the target is not read, and so holds it.
    pub(super) async fn collect(
        &mut self,
        bodies: &Bodies,
        memory: &MemoryGuard,
        until: Instant,
    ) -> Result<Bytes, AttemptFailure> {
        let length_bytes = body::announced_bytes(self.headers());
        let is_waiting = Cell::new(false);
        let buffer = bodies.begin_answer(memory);
        let read = async {
            loop {
                let part = buffer.receive(self.next()).await;
                let Some(part) = part.ok_or(AttemptFailure::NoMemory)?? else {
                    return Ok(buffer.into_bytes());
                };
                let needed_bytes = buffer.len() + part.len();
                if needed_bytes > MAX_ANSWER_BYTES {
                    return Err(AttemptFailure::Broken);
                }
                if needed_bytes > buffer.capacity() {
                    // An announced length is charged at once, so that no two answers wait
                    // for each other halfway.
                    let announced_bytes = length_bytes.unwrap_or(buffer.capacity() * 2);
                    let capacity = announced_bytes.clamp(needed_bytes, MAX_ANSWER_BYTES);
                    is_waiting.set(true);
                    buffer.reserve(capacity).await;
                    is_waiting.set(false);
                }
                buffer.append(&part);
            }
        };
        timeout_at(until, read).await.unwrap_or_else(|_| {
            Err(if is_waiting.get() {
                AttemptFailure::NoMemory
            } else {
                AttemptFailure::Silent
            })
        })
    }
}
