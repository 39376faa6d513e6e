//! State of an entry's traffic thread.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        VecDeque, //
    },
    marker::PhantomData,
    num::NonZeroUsize,
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use lru::LruCache;
use ntex::io::IoRef;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    attempt::{
        AttemptFailure,
        IncomingRequest, //
    },
    body::Bodies,
    capacity::OwnRequests,
    choice::TargetChoice,
    context::Context,
    loop_lag::{
        LoopLag,
        TICK_INTERVAL_US, //
    },
    message::{
        AnswerHead,
        TargetLoad, //
    },
    outlier::OutlierDetector,
    platform_state::PlatformState,
    quarantine::Admission,
    target::TargetRecord,
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    event::Event,
    names::Name,
    process::connections::{
        BusyGuard,
        Connections, //
    },
    request::retry::{
        RetryBudget,
        RetryRate, //
    },
    settings::DirectEntrySettings,
    version::evidence::counts::Sample,
};

/// Smallest number of entries that the spare retries are divided among. A safe
/// value while the number of entries is unknown.
const MIN_ENTRIES: u64 = 4;

/// Age from which a reported load is ignored as outdated.
const MAX_LOAD_AGE_US: u64 = 500 * US_PER_MS;

/// Lateness of the traffic thread that is logged.
const STALL_US: u64 = 500 * US_PER_MS;

/// Most sent parts that are remembered, over all targets; each takes about 50 bytes.
const MAX_SENT_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// Time for which a sent part counts as cached. By then the target's agent has
/// reported it: its events are about 100 ms late, its messages a quarter of a second.
const SENT_PART_LIFETIME_US: u64 = 600 * US_PER_MS;

/// Time for which own requests are remembered that a target's reported load may not
/// contain. Reports of this age are not used.
const SENT_REQUEST_LIFETIME_US: u64 = US_PER_S;

/// Most such requests that are remembered for a target, so that a burst takes no memory.
const MAX_SENT_REQUESTS: usize = 64;

/// A cacheable part of a prompt that this entry has sent to a target.
struct SentPart {
    expires_at_us: u64,
    /// Whether the target has answered a request with this part, and so has
    /// computed it.
    is_computed: bool,
}

/// Counts a request as running, and its connection as busy, until it is dropped.
pub(super) struct RunningRequest {
    context: Arc<Context>,
    connection: Option<BusyGuard>,
}

impl RunningRequest {
    pub(super) fn new<P>(worker: &Worker<P>, io: Option<&IoRef>) -> Self {
        worker.context.running.fetch_add(1, Ordering::Relaxed);
        Self {
            context: Arc::clone(&worker.context),
            connection: worker.connections.enter(io),
        }
    }

    /// Aborts the caller's connection, so that the caller does not take an incomplete
    /// answer for a complete one. What was passed on before is sent.
    pub(super) async fn abort_connection(&self) {
        if let Some(connection) = &self.connection {
            connection.cut().await;
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What this entry has observed of a target through its own requests.
#[derive(Debug, Default)]
pub(super) struct TargetObservations {
    pub(super) load: TargetLoad,
    load_at_us: Option<u64>,
    /// Requests of this entry that run there.
    pub(super) own_running: u32,
    /// Times at which this entry sent its latest requests, with the tokens of memory that
    /// each needs.
    sent: VecDeque<(u64, u64)>,
    /// Prompt tokens of these requests that are probably not computed yet.
    pub(super) own_prefill_tokens: u64,
    pub(super) outlier: OutlierDetector,
    /// Highest version of the weights in its answers.
    pub(super) weights: Option<u64>,
    /// Start of the target, in Unix milliseconds, after which it stated that it is
    /// leaving. A target that starts again may have the same id.
    left_started_at_ms: Option<u64>,
    /// Until when the target wants no requests from this entry.
    refuses_until_us: u64,
}

impl TargetObservations {
    /// Returns the age of the load, or `None` when it is outdated or was never
    /// reported.
    pub(super) fn load_age_us(&self, now_us: u64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.load_at_us?);
        (age_us < MAX_LOAD_AGE_US).then_some(age_us)
    }

    /// Returns the requests of this entry, with those that a load reported at
    /// `reported_at_us` does not contain.
    pub(super) fn own_requests(&self, reported_at_us: u64) -> OwnRequests {
        let latest = self.sent.iter().rev().take(self.own_running as usize);
        let unreported = latest.take_while(|(at_us, _)| *at_us >= reported_at_us);
        unreported.fold(
            OwnRequests {
                running: self.own_running,
                ..OwnRequests::default()
            },
            |own, (_, tokens)| OwnRequests {
                running: own.running,
                unreported: own.unreported + 1,
                unreported_tokens: own.unreported_tokens.saturating_add(*tokens),
            },
        )
    }

    /// Records that this entry sends a request.
    fn record_sent(&mut self, memory_tokens: u64, now_us: u64) {
        let is_old = |sent: &(u64, u64)| sent.0.saturating_add(SENT_REQUEST_LIFETIME_US) <= now_us;
        while self.sent.len() >= MAX_SENT_REQUESTS || self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((now_us, memory_tokens));
    }

    /// Returns whether the target has stated that it wants no requests now.
    pub(super) fn is_closed(&self, target: &TargetRecord, now_us: u64) -> bool {
        self.left_started_at_ms == Some(target.started_at_ms) || now_us < self.refuses_until_us
    }

    /// Records what the head of an answer reports about its target.
    fn update(&mut self, target: &TargetRecord, head: &AnswerHead, now_us: u64) {
        if let Some(load) = head.load {
            self.load = load;
            self.load_at_us = Some(now_us);
        }
        self.weights = self.weights.max(head.weights_version);
        if head.is_leaving {
            self.left_started_at_ms = Some(target.started_at_ms);
        }
        if let Some(retry_after_ms) = head.retry_after_ms {
            let until_us = now_us.saturating_add(retry_after_ms.saturating_mul(US_PER_MS));
            self.refuses_until_us = self.refuses_until_us.max(until_us);
        }
    }
}

/// State of the traffic thread.
pub(super) struct Worker<P> {
    pub(super) context: Arc<Context>,
    pub(super) connections: Rc<Connections>,
    pub(super) bodies: Bodies,
    pub(super) observations: RefCell<HashMap<Name, TargetObservations>>,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    configured_version: Cell<u64>,
    loop_lag: Cell<LoopLag>,
    sent_parts: RefCell<LruCache<u64, SentPart>>,
    platform: PhantomData<P>,
}

impl<P: 'static> Worker<P> {
    pub(super) fn new(context: Arc<Context>, connections: Rc<Connections>) -> Rc<Self> {
        let (shared, closing) = (Arc::clone(&context), Arc::clone(&context));
        ntex::rt::spawn(Rc::clone(&connections).watch(move || shared.is_leaving()));
        let report = move |closed| closing.note_closed_connections("callers", closed);
        ntex::rt::spawn(Rc::clone(&connections).enforce_limits(report));
        let worker = Rc::new(Self {
            connections,
            bodies: Bodies::new(&context, &context.memory),
            context,
            observations: RefCell::default(),
            budgets: RefCell::default(),
            configured_version: Cell::new(0),
            loop_lag: Cell::default(),
            sent_parts: RefCell::new(LruCache::new(MAX_SENT_PARTS)),
            platform: PhantomData,
        });
        worker.tick();
        ntex::rt::spawn(Rc::clone(&worker).keep_ticking());
        worker
    }

    /// Observes the lateness of this thread until the process ends.
    async fn keep_ticking(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_micros(TICK_INTERVAL_US)).await;
            let late_us = self.tick();
            if late_us >= STALL_US {
                warn!(self.context.log, "the traffic thread got no processor time";
                    "event" => Event::ThreadStalled,
                    "late_us" => late_us,
                    "running" => self.context.running());
            }
        }
    }
}

impl<P> Worker<P> {
    /// Records that this thread runs. Returns how late it is.
    fn tick(&self) -> u64 {
        let now_us = self.now_us();
        self.context.note_traffic_tick(now_us);
        let mut loop_lag = self.loop_lag.get();
        let late_us = loop_lag.tick(now_us);
        self.loop_lag.set(loop_lag);
        late_us
    }

    /// Returns for how long a request that is read now may have waited.
    pub(super) fn waited_us(&self) -> u64 {
        self.loop_lag.get().waited_us(self.now_us())
    }

    pub(super) fn now_us(&self) -> u64 {
        self.context.clock.now_us()
    }

    /// Returns whether the process stops and has no time left for requests.
    pub(super) fn is_drained(&self) -> bool {
        let end_us = self.context.drain_end_us();
        end_us.is_some_and(|end_us| self.now_us() >= end_us)
    }

    /// Applies a configuration with a new version to the quotas, and removes what was
    /// observed of targets that have left.
    pub(super) fn apply_configuration(&self, platform_state: &PlatformState) {
        let Some(table) = &platform_state.table else {
            return;
        };
        if self.configured_version.replace(table.version) == table.version {
            return;
        }
        let now_us = self.now_us();
        self.context.configure_quotas(table, now_us);
        self.observations.borrow_mut().retain(|id, observed| {
            observed.own_running > 0 || platform_state.targets.contains_key(id)
        });
        self.context
            .capacity()
            .retain(|id| platform_state.targets.contains_key(id));
    }

    /// Returns how many tokens at the start of a prompt are in a target's cache due to
    /// recent requests of this entry: those already computed, and all, including those
    /// in flight.
    pub(super) fn sent_prefix_tokens(
        &self,
        target: &Name,
        keys: &[(u64, u64)],
        now_us: u64,
    ) -> (u64, u64) {
        let mut sent_parts = self.sent_parts.borrow_mut();
        let (mut computed, mut sent) = (0, 0);
        let mut is_computed = true;
        for (key, tokens) in keys {
            let sent_part = sent_parts.get(&sent_part_key(target, *key));
            let Some(sent_part) = sent_part.filter(|sent_part| now_us < sent_part.expires_at_us)
            else {
                break;
            };
            is_computed &= sent_part.is_computed;
            sent += tokens;
            if is_computed {
                computed = sent;
            }
        }
        (computed, sent)
    }

    /// Records that the parts of a prompt are being sent to a target, or have been
    /// computed there.
    pub(super) fn record_sent_parts(&self, target: &Name, keys: &[(u64, u64)], is_computed: bool) {
        let expires_at_us = self.now_us() + SENT_PART_LIFETIME_US;
        let mut sent_parts = self.sent_parts.borrow_mut();
        for (key, _) in keys {
            let key = sent_part_key(target, *key);
            let was_computed = sent_parts
                .get(&key)
                .is_some_and(|sent_part| sent_part.is_computed);
            let sent_part = SentPart {
                expires_at_us,
                is_computed: is_computed || was_computed,
            };
            sent_parts.put(key, sent_part);
        }
    }

    /// Counts a request as running at a target until the guard is dropped. It has tokens to
    /// read, and needs memory for tokens.
    pub(super) fn track_in_flight(
        self: &Rc<Self>,
        id: &Name,
        (prefill_tokens, memory_tokens): (u64, u64),
    ) -> InFlightGuard<P> {
        let now_us = self.now_us();
        let mut observations = self.observations.borrow_mut();
        let observed = observations.entry(id.clone()).or_default();
        observed.own_running += 1;
        observed.record_sent(memory_tokens, now_us);
        observed.own_prefill_tokens += prefill_tokens;
        InFlightGuard {
            worker: Rc::clone(self),
            id: id.clone(),
            prefill_tokens,
        }
    }

    /// Records the remaining cold time that an answer states. Returns whether the target is
    /// cold.
    fn note_cold_time(&self, id: &Name, head: &AnswerHead) -> bool {
        let wall_us = self.context.wall_us();
        let mut warmup = self.context.warmup();
        warmup.report(id, head.cold_left_ms.unwrap_or(0), wall_us);
        warmup.is_cold(id, wall_us)
    }

    /// Returns whether a failure is a slow response or a refusal of a cold target, which
    /// says nothing about the target or its release.
    fn is_due_to_cold(&self, id: &Name, failure: AttemptFailure) -> bool {
        let is_slow = matches!(
            failure,
            AttemptFailure::Silent | AttemptFailure::UnstatedRefusal
        );
        is_slow && self.context.is_cold(id)
    }

    /// Records what an answer reports about its target.
    pub(super) fn observe(&self, target: &TargetRecord, head: &AnswerHead, is_good: bool) {
        let now_us = self.now_us();
        let is_cold = self.note_cold_time(&target.id, head);
        let mut observations = self.observations.borrow_mut();
        let observed = observations.entry(target.id.clone()).or_default();
        observed.update(target, head, now_us);
        if is_good || !is_cold {
            observed.outlier.record_answer(is_good);
        }
        self.record_load(target, head, now_us);
    }

    fn record_load(&self, target: &TargetRecord, head: &AnswerHead, now_us: u64) {
        if let Some(load) = &head.load {
            let mut capacity = self.context.capacity();
            capacity.record_load(&target.service, &target.id, load, now_us);
        }
    }

    /// Records how long a target took to answer a request that is for no model, or did not
    /// answer it.
    pub(super) fn record_request(&self, target: &TargetRecord, sent_at_us: u64) {
        let now_us = self.now_us();
        let took_us = now_us.saturating_sub(sent_at_us);
        let mut capacity = self.context.capacity();
        capacity.record_request(&target.service, &target.id, took_us, now_us);
    }

    /// Records the time to the first token of a request at an engine.
    pub(super) fn record_first_token(&self, choice: &TargetChoice, sent_at_us: u64) {
        // What the engine has to read is not known exactly without a report of its cache.
        let Some(work) = &choice.work else {
            return;
        };
        let now_us = self.now_us();
        let took_us = now_us.saturating_sub(sent_at_us);
        let target = &choice.target;
        let mut capacity = self.context.capacity();
        capacity.record_first_token(&target.service, &target.id, work, took_us, now_us);
    }

    /// Records how far the forecast of a choice was from the measured time.
    pub(super) fn record_forecast_error(&self, choice: &TargetChoice, sent_at_us: u64) {
        let took_us = self.now_us().saturating_sub(sent_at_us);
        let error_us = choice.forecast.first_token_us as f64 - took_us as f64;
        let forecast_error = &self.context.metrics.forecast_error;
        forecast_error.observe(error_us / US_PER_S as f64);
    }

    /// Records that a target refused a request; it is avoided for `pause_us`.
    pub(super) fn observe_refusal(&self, target: &TargetRecord, head: &AnswerHead, pause_us: u64) {
        let now_us = self.now_us();
        let is_cold = self.note_cold_time(&target.id, head);
        let mut observations = self.observations.borrow_mut();
        let observed = observations.entry(target.id.clone()).or_default();
        observed.update(target, head, now_us);
        if !is_cold {
            observed.outlier.record_refusal(now_us, pause_us);
        }
        self.record_load(target, head, now_us);
    }

    /// Records that a target was unreachable, did not answer in time or sent a broken
    /// answer.
    pub(super) fn observe_failure(&self, id: &Name, failure: AttemptFailure) {
        if self.is_due_to_cold(id, failure) {
            return;
        }
        let now_us = self.now_us();
        let mut observations = self.observations.borrow_mut();
        observations
            .entry(id.clone())
            .or_default()
            .outlier
            .record_unreachable(now_us);
    }

    /// Decides whether a request may be sent, by the parts of its prompt.
    pub(super) fn admit_parts(&self, incoming: &IncomingRequest) -> Admission {
        let entries = self.context.platform_state.load().entries.len();
        let now_us = self.now_us();
        let quarantine = self.context.quarantine();
        quarantine.admit(&incoming.shared_parts, now_us, entries)
    }

    /// Records that the answer began to an attempt that was sent at `sent_at_us`.
    pub(super) fn note_begun_answer(&self, incoming: &IncomingRequest, sent_at_us: u64) {
        let mut quarantine = self.context.quarantine();
        quarantine.record_begun(&incoming.shared_parts, sent_at_us);
    }

    /// Records the failure of an attempt whose answer had not begun.
    pub(super) fn note_unbegun_answer(
        &self,
        incoming: &IncomingRequest,
        target: &Name,
        failure: AttemptFailure,
    ) {
        if failure != AttemptFailure::Broken {
            return;
        }
        let parts = &incoming.shared_parts;
        let now_us = self.now_us();
        let quarantined = self
            .context
            .quarantine()
            .record_crash(parts, target, now_us);
        let source = &self.context.settings.get().name;
        self.context.log_quarantined(&quarantined, source);
    }

    /// Records that an attempt may have run and failed, as evidence about the release of
    /// its target.
    pub(super) fn record_failed_sample(
        &self,
        incoming: &IncomingRequest,
        target: &TargetRecord,
        failure: AttemptFailure,
    ) {
        if !self.is_due_to_cold(&target.id, failure) {
            self.record_sample(incoming, target, Sample::FAILURE);
        }
    }

    /// Records how a target answered, as evidence about its release. Times of a cold target
    /// are none.
    pub(super) fn record_sample(
        &self,
        incoming: &IncomingRequest,
        target: &TargetRecord,
        mut sample: Sample,
    ) {
        if self.context.is_cold(&target.id) {
            sample.first_token_us = None;
            sample.between_tokens_us = None;
        }
        let wall_us = self.context.wall_us();
        self.context.service_rollouts().record(
            &incoming.service,
            &target.release,
            &incoming.route.name,
            sample,
            wall_us,
        );
    }

    /// Counts the first attempt of a request, which adds to the service's retry budget.
    pub(super) fn note_first_attempt(&self, service: &Name) {
        self.with_budget(service, |budget, _| budget.note_first_attempt());
    }

    /// Takes a retry from the budget of a service. Returns false when none is left.
    pub(super) fn take_retry(&self, service: &Name) -> bool {
        let is_taken = self.with_budget(service, RetryBudget::try_retry);
        if is_taken {
            self.context.metrics.retries.inc();
        }
        is_taken
    }

    fn with_budget<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget, u64) -> T) -> T {
        let now_us = self.now_us();
        let mut budgets = self.budgets.borrow_mut();
        let entries = self.context.platform_state.load().entries.len();
        let rate = retry_rate(&self.context.settings.get(), entries);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(rate, now_us));
        // The fleet may have grown and the settings may have changed.
        budget.set_rate(rate);
        f(budget, now_us)
    }
}

/// Returns the share of all entries' retry budget that one entry may use.
fn retry_rate(settings: &DirectEntrySettings, entries: usize) -> RetryRate {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX).max(MIN_ENTRIES);
    // Half of the spare retries are available as a burst, and the other half is
    // refilled over the window, so that no window allows more than all of them.
    let half = u64::from(settings.spare_retries) / 2;
    let burst = u32::try_from(half / entries).unwrap_or(u32::MAX).max(1);
    let floor_milli_per_s = half * 1_000_000 / settings.retry_window_ms.max(1) / entries;
    RetryRate {
        per_thousand: settings.retries_per_thousand,
        floor_milli_per_s: u32::try_from(floor_milli_per_s).unwrap_or(u32::MAX),
        burst,
    }
}

fn sent_part_key(target: &Name, part_key: u64) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), part_key)
}

/// Counts a request and its uncomputed prompt tokens at a target until dropped.
pub(super) struct InFlightGuard<P> {
    worker: Rc<Worker<P>>,
    id: Name,
    prefill_tokens: u64,
}

impl<P> InFlightGuard<P> {
    /// Records that the prompt has been computed.
    pub(super) fn note_prefill_done(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        if let Some(observed) = self.worker.observations.borrow_mut().get_mut(&self.id) {
            observed.own_prefill_tokens = observed.own_prefill_tokens.saturating_sub(tokens);
        }
    }
}

impl<P> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        self.note_prefill_done();
        if let Some(observed) = self.worker.observations.borrow_mut().get_mut(&self.id) {
            observed.own_running = observed.own_running.saturating_sub(1);
        }
    }
}
