//! State of the traffic thread of an entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    marker::PhantomData,
    num::NonZeroUsize,
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use lru::LruCache;
use ntex::io::IoRef;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    context::Context,
    message::{
        AnswerHead,
        TargetLoad, //
    },
    outlier::OutlierDetector,
    platform_state::PlatformState,
};
use crate::{
    clock::US_PER_MS,
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
};

/// Entries that share the spare retries, as a safe guess while the number of
/// entries is unknown.
const MIN_ENTRIES: u64 = 4;

/// Age from which a reported load says nothing.
const LOAD_AGE_US: u64 = 500 * US_PER_MS;

/// Parts that are noted at their targets, about 50 bytes each.
const MAX_NOTES: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// Time for which a note holds. By then the agent of the target has told the
/// same: its events are about 100 ms late, its messages a quarter of a second.
const NOTE_US: u64 = 600 * US_PER_MS;

/// Cached parts of a prompt that this entry has sent to a target.
struct Note {
    until_us: u64,
    /// Whether the target has answered the request since.
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

    /// Cuts the caller's connection.
    pub(super) fn cut(&self) {
        if let Some(connection) = &self.connection {
            connection.cut();
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What this entry has seen of a target.
#[derive(Debug, Default)]
pub(super) struct TargetObservations {
    pub(super) load: TargetLoad,
    load_at_us: Option<u64>,
    pub(super) own_running: u32,
    pub(super) own_prefill_tokens: u64,
    pub(super) outlier: OutlierDetector,
    pub(super) weights: Option<u64>,
}

impl TargetObservations {
    /// Returns the age of the load unless it is too old to say anything.
    pub(super) fn load_age_us(&self, now_us: u64) -> Option<u64> {
        let age_us = now_us.saturating_sub(self.load_at_us?);
        (age_us < LOAD_AGE_US).then_some(age_us)
    }

    fn take_load(&mut self, load: Option<TargetLoad>, now_us: u64) {
        if let Some(load) = load {
            self.load = load;
            self.load_at_us = Some(now_us);
        }
    }
}

/// State of the traffic thread.
pub(super) struct Worker<P> {
    pub(super) context: Arc<Context>,
    pub(super) connections: Rc<Connections>,
    pub(super) observations: RefCell<HashMap<Name, TargetObservations>>,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    configured_version: Cell<u64>,
    notes: RefCell<LruCache<u64, Note>>,
    platform: PhantomData<P>,
}

impl<P> Worker<P> {
    pub(super) fn new(context: Arc<Context>) -> Rc<Self> {
        let connections = Rc::<Connections>::default();
        let leaving = Arc::clone(&context);
        ntex::rt::spawn(Rc::clone(&connections).watch(move || leaving.is_leaving()));
        Rc::new(Self {
            connections,
            context,
            observations: RefCell::default(),
            budgets: RefCell::default(),
            configured_version: Cell::new(0),
            notes: RefCell::new(LruCache::new(MAX_NOTES)),
            platform: PhantomData,
        })
    }

    pub(super) fn now_us(&self) -> u64 {
        self.context.clock.now_us()
    }

    /// Brings the quotas up to date with the configuration and forgets targets
    /// that have left.
    pub(super) fn refresh(&self, platform_state: &PlatformState) {
        let Some(table) = &platform_state.table else {
            return;
        };
        if self.configured_version.replace(table.version) == table.version {
            return;
        }
        let now_us = self.now_us();
        self.context.configure_quotas(table, now_us);
        self.observations
            .borrow_mut()
            .retain(|id, view| view.own_running > 0 || platform_state.targets.contains_key(id));
    }

    /// Returns how many tokens at the start of a prompt are cached at a target by
    /// requests of this entry: computed, and computed or on their way.
    pub(super) fn sent_prefix_tokens(
        &self,
        target: &Name,
        keys: &[(u64, u64)],
        now_us: u64,
    ) -> (u64, u64) {
        let mut notes = self.notes.borrow_mut();
        let (mut computed, mut sent) = (0, 0);
        let mut is_computed = true;
        for (key, tokens) in keys {
            let note = notes.get(&note_key(target, *key));
            let Some(note) = note.filter(|note| now_us < note.until_us) else {
                break;
            };
            is_computed &= note.is_computed;
            sent += tokens;
            if is_computed {
                computed = sent;
            }
        }
        (computed, sent)
    }

    /// Notes that a target gets the parts of a prompt, or has computed them.
    pub(super) fn note_parts(&self, target: &Name, keys: &[(u64, u64)], is_computed: bool) {
        let until_us = self.now_us() + NOTE_US;
        let mut notes = self.notes.borrow_mut();
        for (key, _) in keys {
            let key = note_key(target, *key);
            let was_computed = notes.get(&key).is_some_and(|note| note.is_computed);
            let note = Note {
                until_us,
                is_computed: is_computed || was_computed,
            };
            notes.put(key, note);
        }
    }

    /// Counts a request at a target until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>, id: &Name, prefill_tokens: u64) -> Busy<P> {
        let mut observations = self.observations.borrow_mut();
        let view = observations.entry(id.clone()).or_default();
        view.own_running += 1;
        view.own_prefill_tokens += prefill_tokens;
        Busy {
            worker: Rc::clone(self),
            id: id.clone(),
            prefill_tokens,
        }
    }

    /// Notes what an answer says of its target.
    pub(super) fn observe(&self, id: &Name, head: &AnswerHead, is_good: bool) {
        let now_us = self.now_us();
        let mut observations = self.observations.borrow_mut();
        let view = observations.entry(id.clone()).or_default();
        view.take_load(head.load, now_us);
        view.weights = view.weights.max(head.weights_version);
        view.outlier.record_answer(is_good);
    }

    /// Notes a refusal of a target, which gets no work for a while.
    pub(super) fn observe_refusal(&self, id: &Name, head: &AnswerHead, pause_us: u64) {
        let now_us = self.now_us();
        let mut observations = self.observations.borrow_mut();
        let view = observations.entry(id.clone()).or_default();
        view.take_load(head.load, now_us);
        view.weights = view.weights.max(head.weights_version);
        view.outlier.record_refusal(now_us, pause_us);
    }

    /// Notes that a target could not be reached or broke off.
    pub(super) fn observe_break(&self, id: &Name) {
        let now_us = self.now_us();
        let mut observations = self.observations.borrow_mut();
        observations
            .entry(id.clone())
            .or_default()
            .outlier
            .record_unreachable(now_us);
    }

    /// Counts the first try of a request.
    pub(super) fn note_first_attempt(&self, service: &Name) {
        self.with_budget(service, |budget, _| budget.note_first_attempt());
    }

    /// Takes a second try from the budget of a service.
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
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let platform_state = self.context.platform_state.load();
            let entries = u64::try_from(platform_state.entries.len()).unwrap_or(MIN_ENTRIES);
            RetryBudget::new(
                rate(&self.context.settings.get(), entries.max(MIN_ENTRIES)),
                now_us,
            )
        });
        f(budget, now_us)
    }
}

/// Returns the part of the fleet's retry budget that one entry may use.
fn rate(settings: &DirectEntrySettings, entries: u64) -> RetryRate {
    let spare = u64::from(settings.spare_retries) / entries;
    // Half of the spare retries are a burst, the other half comes back over the
    // window, so that no window holds more than all of them.
    let window_s = (settings.retry_window_ms / 1_000).max(1);
    let burst = u32::try_from(spare / 2).unwrap_or(u32::MAX).max(1);
    let floor_per_s = u32::try_from(spare / 2 / window_s).unwrap_or(u32::MAX);
    RetryRate {
        per_thousand: settings.retries_per_thousand,
        floor_per_s,
        burst,
    }
}

fn note_key(target: &Name, part_key: u64) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), part_key)
}

/// A request at a target.
pub(super) struct Busy<P> {
    worker: Rc<Worker<P>>,
    id: Name,
    prefill_tokens: u64,
}

impl<P> Busy<P> {
    /// Notes that the prompt has been computed.
    pub(super) fn started(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        if let Some(view) = self.worker.observations.borrow_mut().get_mut(&self.id) {
            view.own_prefill_tokens = view.own_prefill_tokens.saturating_sub(tokens);
        }
    }
}

impl<P> Drop for Busy<P> {
    fn drop(&mut self) {
        self.started();
        if let Some(view) = self.worker.observations.borrow_mut().get_mut(&self.id) {
            view.own_running = view.own_running.saturating_sub(1);
        }
    }
}
