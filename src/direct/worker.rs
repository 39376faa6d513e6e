//! State of the traffic thread of an entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    marker::PhantomData,
    rc::Rc,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwap;
use ntex::{
    client::Client,
    time::Millis, //
};
use slog::Logger;

use super::{
    knowledge::Knowledge,
    message::{
        AnswerHead,
        Load,
        Prompt, //
    },
    outlier::Outlier,
    placement::{
        self,
        Candidate, //
    },
    quota::Quotas,
    target::{
        TargetRecord,
        TargetState, //
    },
    turns,
};
use crate::{
    clock::{
        Clock,
        US_PER_MS,
        US_PER_S, //
    },
    error::Result,
    names::{
        Incarnation,
        Name, //
    },
    process::client,
    request::retry::{
        RetryBudget,
        RetryRate, //
    },
    settings::DirectEntrySettings,
};

/// Bound for opening a connection to a target. Targets are a few milliseconds
/// away; one that does not accept by then is down or cut off.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Entries that share the spare retries, as a safe guess while the number of
/// entries is unknown.
const MIN_ENTRIES: u64 = 4;

/// Age from which a reported load says nothing.
const LOAD_AGE_US: u64 = 500 * US_PER_MS;

/// Time before its turn from which an engine gets no new work, so that its runs
/// end before it loads weights.
const TURN_LEAD_US: u64 = 100 * US_PER_MS;

/// Time after its turn until which an engine is taken to load weights, unless
/// its record says that it is done.
const TURN_END_US: u64 = 3 * US_PER_S;

/// What the threads of an entry share.
pub(super) struct Context {
    pub(super) settings: DirectEntrySettings,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) knowledge: ArcSwap<Knowledge>,
    quotas: Mutex<Quotas>,
    is_leaving: AtomicBool,
    running: AtomicUsize,
}

impl Context {
    pub(super) fn new(settings: DirectEntrySettings, log: Logger) -> Self {
        Self {
            settings,
            incarnation: Incarnation::random(),
            clock: Clock::start(),
            log,
            knowledge: ArcSwap::default(),
            quotas: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    /// Locks the quotas. A panic of another thread ends the process, so a
    /// poisoned lock is still consistent.
    pub(super) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(super) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}

/// Counts a request as running until it is dropped.
pub(super) struct RunningRequest(Arc<Context>);

impl RunningRequest {
    pub(super) fn new(context: &Arc<Context>) -> Self {
        context.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What this entry has seen of a target.
#[derive(Debug, Default)]
struct View {
    load: Load,
    load_until_us: u64,
    own_running: u32,
    own_prefill_tokens: u64,
    outlier: Outlier,
    weights: Option<u64>,
}

/// State of the traffic thread.
pub(super) struct Worker<P> {
    pub(super) context: Arc<Context>,
    pub(super) client: Client,
    views: RefCell<HashMap<Name, View>>,
    budgets: RefCell<HashMap<Name, RetryBudget>>,
    configured_version: Cell<u64>,
    platform: PhantomData<P>,
}

impl<P> Worker<P> {
    pub(super) async fn new(context: Arc<Context>) -> Result<Rc<Self>> {
        Ok(Rc::new(Self {
            context,
            client: client::build_direct("targets", CONNECT_TIMEOUT).await?,
            views: RefCell::default(),
            budgets: RefCell::default(),
            configured_version: Cell::new(0),
            platform: PhantomData,
        }))
    }

    pub(super) fn now_us(&self) -> u64 {
        self.context.clock.now_us()
    }

    /// Brings the quotas up to date with the configuration and forgets targets
    /// that have left.
    pub(super) fn refresh(&self, knowledge: &Knowledge) {
        let Some(table) = &knowledge.table else {
            return;
        };
        if self.configured_version.replace(table.version) == table.version {
            return;
        }
        let now_us = self.now_us();
        self.context
            .quotas()
            .configure(table.organisations(), now_us);
        self.views
            .borrow_mut()
            .retain(|id, view| view.own_running > 0 || knowledge.targets.contains_key(id));
    }

    /// Returns the ready targets of a service, best first, without those that
    /// were tried.
    pub(super) fn targets(
        &self,
        knowledge: &Knowledge,
        service: &str,
        prompt: Option<&Prompt>,
        salt: u64,
        tried: &HashSet<Name>,
    ) -> Vec<Arc<TargetRecord>> {
        let now_us = self.now_us();
        let records: Vec<&Arc<TargetRecord>> = knowledge
            .targets
            .values()
            .filter(|record| *record.service == *service)
            .filter(|record| record.state == TargetState::Ready)
            .filter(|record| !tried.contains(&record.id))
            .collect();
        let views = self.views.borrow();
        let unseen = View::default();
        let candidates: Vec<Candidate<'_>> = records
            .iter()
            .map(|record| {
                let view = views.get(&record.id).unwrap_or(&unseen);
                let weights = prompt.map(|prompt| weights_of(knowledge, record, view, prompt));
                let (is_outdated, is_loading) = match (&weights, prompt) {
                    (Some(Some(version)), Some(prompt)) => {
                        standing(knowledge, record, *version, prompt, now_us)
                    }
                    _ => (false, false),
                };
                let load = if now_us < view.load_until_us {
                    view.load
                } else {
                    Load {
                        slots: record.slots,
                        ..Load::default()
                    }
                };
                Candidate {
                    id: &record.id,
                    load,
                    own_running: view.own_running,
                    own_prefill_tokens: view.own_prefill_tokens,
                    failure_share: view.outlier.failure_share(),
                    is_avoided: is_loading || view.outlier.is_avoided(now_us),
                    is_outdated,
                }
            })
            .collect();
        placement::rank(&candidates, prompt, salt)
            .into_iter()
            .map(|at| Arc::clone(records[at]))
            .collect()
    }

    /// Counts a request at a target until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>, id: &Name, prefill_tokens: u64) -> Busy<P> {
        let mut views = self.views.borrow_mut();
        let view = views.entry(id.clone()).or_default();
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
        let load_until_us = self.now_us() + LOAD_AGE_US;
        let mut views = self.views.borrow_mut();
        let view = views.entry(id.clone()).or_default();
        if let Some(load) = head.load {
            view.load = load;
            view.load_until_us = load_until_us;
        }
        if head.weights > view.weights {
            view.weights = head.weights;
        }
        view.outlier.answered(is_good);
    }

    /// Notes a refusal of a target, which gets no work for a while.
    pub(super) fn observe_refusal(&self, id: &Name, head: &AnswerHead, pause_us: u64) {
        let now_us = self.now_us();
        let mut views = self.views.borrow_mut();
        let view = views.entry(id.clone()).or_default();
        if let Some(load) = head.load {
            view.load = load;
            view.load_until_us = now_us + LOAD_AGE_US;
        }
        view.outlier.refused(now_us, pause_us);
    }

    /// Notes that a target could not be reached or broke off.
    pub(super) fn observe_break(&self, id: &Name) {
        let now_us = self.now_us();
        let mut views = self.views.borrow_mut();
        views
            .entry(id.clone())
            .or_default()
            .outlier
            .unreachable(now_us);
    }

    /// Counts the first try of a request.
    pub(super) fn note_first_try(&self, service: &Name) {
        self.with_budget(service, |budget, _| budget.note_first_attempt());
    }

    /// Takes a second try from the budget of a service.
    pub(super) fn take_retry(&self, service: &Name) -> bool {
        self.with_budget(service, RetryBudget::try_retry)
    }

    fn with_budget<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget, u64) -> T) -> T {
        let now_us = self.now_us();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let knowledge = self.context.knowledge.load();
            let entries = u64::try_from(knowledge.entries.len()).unwrap_or(MIN_ENTRIES);
            RetryBudget::new(
                rate(&self.context.settings, entries.max(MIN_ENTRIES)),
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

/// Returns the version of a target's weights for a prompt, `None` when it does
/// not list the model.
fn weights_of(
    _knowledge: &Knowledge,
    record: &TargetRecord,
    view: &View,
    prompt: &Prompt,
) -> Option<u64> {
    let listed = record.weights.get(&prompt.model).copied();
    listed.max(view.weights)
}

/// Returns whether a target has older weights than are wanted, and whether it
/// is taken to load weights now.
fn standing(
    knowledge: &Knowledge,
    record: &TargetRecord,
    version: u64,
    prompt: &Prompt,
    now_us: u64,
) -> (bool, bool) {
    let Some(wanted) = knowledge.wanted.get(&prompt.model) else {
        return (false, false);
    };
    if version >= wanted.weights.version {
        return (false, false);
    }
    let turn_at_us = wanted.seen_at_us + turns::offset_us(&wanted.turns, &record.id);
    let is_loading = now_us + TURN_LEAD_US >= turn_at_us && now_us < turn_at_us + TURN_END_US;
    (true, is_loading)
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
        if let Some(view) = self.worker.views.borrow_mut().get_mut(&self.id) {
            view.own_prefill_tokens = view.own_prefill_tokens.saturating_sub(tokens);
        }
    }
}

impl<P> Drop for Busy<P> {
    fn drop(&mut self) {
        self.started();
        if let Some(view) = self.worker.views.borrow_mut().get_mut(&self.id) {
            view.own_running = view.own_running.saturating_sub(1);
        }
    }
}
