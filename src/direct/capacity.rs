//! Forecasts when a target answers a request, from what its answers report and how long
//! earlier requests took.
//!
//! Designed for targets that differ in speed by more than two to one and change many
//! times a second, while each of many entries hears of a target only with its own
//! answers. What a target last stated counts for less and less as it ages, and the
//! averages of the target and then of its service take its place. Entries pass on to each
//! other what targets stated to them, but not what they heard from other entries: its age
//! would seem lower with each message. Placement, admission
//! and log lines use one forecast, with what is uncertain about it.
//!
//! The learned times decide only for services whose targets state their pace.

use std::collections::HashMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    message::{
        EngineMemory,
        TargetLoad, //
    },
    placement::{
        PREFILL_TOKENS_PER_MS,
        RUNNING_COST_MS,
        WAITING_COST_MS, //
    },
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::Name,
};

/// What is expected of a request that is sent to a target now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Time to the first token of an engine, or to the answer of another target.
    pub first_token_us: u64,
    /// Typical deviation of the measured time from the forecast.
    pub spread_us: u64,
    /// Whether a fresh report says that the request starts at once: nothing waits at the
    /// target, a place is free and its memory has room.
    pub has_free_place: bool,
}

impl Forecast {
    /// Builds a forecast from the cost by which placement ranks a target.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Forecast;
    ///
    /// assert_eq!(Forecast::from_cost_ms(1.5, false).first_token_us, 1_500);
    /// ```
    pub fn from_cost_ms(cost_ms: f64, has_free_place: bool) -> Self {
        Self {
            first_token_us: ms_to_us(cost_ms),
            spread_us: 0,
            has_free_place,
        }
    }
}

/// Time constant with which samples lose weight. A target that is no longer chosen
/// because it was slow is tried again some seconds later.
const LEARNING_US: f64 = 8.0 * US_PER_S as f64;

/// Samples of a target that weigh as much as the average of its service.
const PRIOR_SAMPLES: f64 = 2.0;

/// Time constant with which a stated load or pace gives way to the target's average.
/// Speeds change about twice a second.
const STATEMENT_US: f64 = 400.0 * US_PER_MS as f64;

/// Age from which a stated load or pace no longer counts.
const MAX_STATEMENT_AGE_US: u64 = US_PER_S;

/// Age to which a statement is passed on to other entries.
const MAX_SHARED_AGE_US: u64 = 500 * US_PER_MS;

/// Time that a message between entries is assumed to take; it adds to the ages in it.
const MESSAGE_US: u64 = 5 * US_PER_MS;

/// Time for which a service counts as one whose targets state their pace.
const PACED_US: u64 = 60 * US_PER_S;

/// Assumed time of a request at a plain target while none has been measured.
const REQUEST_MS: f64 = 50.0;

/// Pace of a target that works as usual.
const USUAL_PACE: f64 = 100.0;

/// Paces outside these bounds are taken for the bound, so that one wrong statement
/// neither attracts nor repels all requests.
const PACE_BOUNDS: (f64, f64) = (20.0, 500.0);

/// Relative deviation of a forecast that is assumed while none has been measured.
const SPREAD: f64 = 0.5;

/// Time to the first token at an idle engine that has the whole prompt cached, assumed
/// while none has been measured.
const BASE_MS: f64 = 20.0;

/// Part of the error of a forecast by which one measured time moves the learned costs.
/// About 50 requests replace the assumed costs.
const COST_STEP: f64 = 0.05;

/// Bounds of learned costs, relative to the assumed ones, so that a few odd times cannot
/// turn the order of engines over.
const COST_BOUNDS: (f64, f64) = (0.1, 6.0);

/// Bounds of an engine's own factor on the costs of its service.
const FACTOR_BOUNDS: (f64, f64) = (0.3, 3.0);

/// What delays the first token of a request at an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineWork {
    /// Prompt tokens that the engine reads before, those of other prompts included.
    pub tokens: u64,
    /// Requests that run at the engine.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

impl EngineWork {
    /// Returns the times that the assumed costs give.
    fn assumed_ms(&self) -> [f64; 4] {
        [
            self.tokens as f64 / PREFILL_TOKENS_PER_MS,
            f64::from(self.running) * RUNNING_COST_MS,
            f64::from(self.waiting) * WAITING_COST_MS,
            BASE_MS,
        ]
    }
}

/// Times by which work at an engine delays the first token of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCosts {
    /// Prompt tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Delay by each running request.
    pub running_ms: f64,
    /// Delay by each waiting request.
    pub waiting_ms: f64,
    /// Time to the first token at an idle engine that has the prompt cached.
    pub base_ms: f64,
    /// Time until the engine's memory has room for the request.
    pub memory_wait_ms: f64,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
            running_ms: RUNNING_COST_MS,
            waiting_ms: WAITING_COST_MS,
            base_ms: BASE_MS,
            memory_wait_ms: 0.0,
        }
    }
}

impl EngineCosts {
    /// Returns the expected time to the first token.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::{EngineCosts, EngineWork};
    ///
    /// let costs = EngineCosts::default();
    /// let idle_ms = costs.first_token_ms(&EngineWork::default());
    /// let work = EngineWork { tokens: 5_000, ..EngineWork::default() };
    /// assert_eq!(costs.first_token_ms(&work), idle_ms + 100.0);
    /// ```
    pub fn first_token_ms(&self, work: &EngineWork) -> f64 {
        work.tokens as f64 / self.tokens_per_ms
            + f64::from(work.running) * self.running_ms
            + f64::from(work.waiting) * self.waiting_ms
            + self.base_ms
            + self.memory_wait_ms
    }
}

/// Returns the time until an engine's memory has room for `needed_tokens`, 0 when it has
/// now. `sent_tokens` are those of requests that the report does not contain.
///
/// Requests end evenly over the time that one runs, and free what they use.
///
/// ```
/// use yuccalatch::direct::{capacity::memory_wait_ms, message::EngineMemory};
///
/// let memory = EngineMemory { used_tokens: 90_000, total_tokens: 97_000 };
/// assert_eq!(memory_wait_ms(&memory, 0, 6_000, 300.0), 0.0);
/// assert!(memory_wait_ms(&memory, 4_000, 6_000, 300.0) > 0.0);
/// ```
pub fn memory_wait_ms(
    memory: &EngineMemory,
    sent_tokens: u64,
    needed_tokens: u64,
    run_ms: f64,
) -> f64 {
    let used_tokens = memory.used_tokens.saturating_add(sent_tokens);
    let wanted_tokens = used_tokens.saturating_add(needed_tokens);
    let missing_tokens = wanted_tokens.saturating_sub(memory.total_tokens);
    run_ms * missing_tokens as f64 / used_tokens.max(1) as f64
}

/// Costs of a service's engines relative to the assumed ones, at the usual pace. They are
/// fitted to measured times by normalised least mean squares.
#[derive(Clone, Copy, Debug)]
struct CostFit([f64; 4]);

impl Default for CostFit {
    fn default() -> Self {
        Self([1.0; 4])
    }
}

impl CostFit {
    fn expected_ms(&self, work: &EngineWork) -> f64 {
        let parts = self.0.iter().zip(work.assumed_ms());
        parts.map(|(cost, assumed_ms)| cost * assumed_ms).sum()
    }

    fn learn(&mut self, work: &EngineWork, took_ms: f64) {
        let expected_ms = self.expected_ms(work);
        let error_ms = (took_ms - expected_ms).clamp(-expected_ms, expected_ms * 2.0);
        let assumed_ms = work.assumed_ms();
        let squares: f64 = assumed_ms.iter().map(|ms| ms * ms).sum();
        for (cost, ms) in self.0.iter_mut().zip(assumed_ms) {
            let learned = *cost + COST_STEP * error_ms * ms / squares;
            *cost = learned.clamp(COST_BOUNDS.0, COST_BOUNDS.1);
        }
    }

    fn costs(&self, factor: f64) -> EngineCosts {
        let [tokens, running, waiting, base] = self.0;
        EngineCosts {
            tokens_per_ms: PREFILL_TOKENS_PER_MS / (tokens * factor),
            running_ms: RUNNING_COST_MS * running * factor,
            waiting_ms: WAITING_COST_MS * waiting * factor,
            base_ms: BASE_MS * base * factor,
            memory_wait_ms: 0.0,
        }
    }
}

/// Average of samples that lose weight with their age.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    weight: f64,
    updated_at_us: u64,
}

impl Average {
    fn add(&mut self, value: f64, now_us: u64) {
        let factor = self.remaining(now_us);
        self.sum = self.sum * factor + value;
        self.weight = self.weight * factor + 1.0;
        self.updated_at_us = self.updated_at_us.max(now_us);
    }

    fn remaining(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_at_us) as f64;
        (-age_us / LEARNING_US).exp()
    }

    /// Returns the average, which nears `prior` as the samples age.
    fn value(&self, prior: f64, now_us: u64) -> f64 {
        let factor = self.remaining(now_us);
        let sum = self.sum * factor + prior * PRIOR_SAMPLES;
        sum / (self.weight * factor + PRIOR_SAMPLES)
    }
}

/// A figure that targets state now and then.
#[derive(Clone, Copy, Debug, Default)]
struct Stated {
    last: f64,
    stated_at_us: Option<u64>,
    average: Average,
}

impl Stated {
    fn state(&mut self, value: f64, at_us: u64) {
        self.last = value;
        self.stated_at_us = Some(at_us);
        self.average.add(value, at_us);
    }

    /// Returns the expected figure, which nears the average as the last statement ages.
    fn expected(&self, prior: f64, now_us: u64) -> f64 {
        let average = self.average.value(prior, now_us);
        let age_us = self.stated_at_us.map(|at_us| now_us.saturating_sub(at_us));
        match age_us {
            Some(age_us) if age_us < MAX_STATEMENT_AGE_US => {
                let trust = (-(age_us as f64) / STATEMENT_US).exp();
                average + (self.last - average) * trust
            }
            _ => average,
        }
    }
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetCapacity {
    pace: Stated,
    /// Running and waiting requests, by slot.
    busy_share: Stated,
    slots: f64,
    /// What it last stated in an answer to this entry, and when.
    own_statement: Option<(TargetLoad, u64)>,
    /// Time of a request at the usual pace that does not wait.
    request_ms: Average,
    /// Measured times to the first token at the usual pace, relative to the costs of the
    /// service.
    cost_factor: Average,
}

/// What is known of the targets of a service together.
#[derive(Clone, Debug, Default)]
struct ServiceCapacity {
    paced_until_us: u64,
    pace: Average,
    busy_share: Average,
    request_ms: Average,
    cost_fit: CostFit,
    /// Deviations of measured times from the expected ones, relative to these.
    deviation: Average,
    targets: HashMap<Name, TargetCapacity>,
}

/// Load and pace that a target has stated to one entry, for the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatement {
    /// Service of the target.
    pub service: Name,
    /// Id of the target.
    pub target: Name,
    /// Time since the target stated it.
    pub age_us: u64,
    /// Number of running and waiting requests.
    pub busy: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Time that work takes, in percent of the usual time.
    pub pace_percent: u32,
}

/// Requests of this entry at a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnRequests {
    /// Requests that run there.
    pub running: u32,
    /// Those of them that its last reported load does not contain.
    pub unreported: u32,
    /// Tokens of prompts and expected output of these.
    pub unreported_tokens: u64,
}

/// Expected times of a request at a target that is no engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainTimes {
    /// Time by which targets are ranked. It counts every busy slot as some delay, because
    /// other entries send requests at the same time.
    pub rank_ms: f64,
    /// Expected time to the answer.
    pub answer_us: u64,
    /// Typical deviation from it.
    pub spread_us: u64,
}

/// Speeds and loads of the targets of each service, as this entry has learned them.
///
/// ```
/// use yuccalatch::direct::{
///     capacity::{Capacity, OwnRequests},
///     message::TargetLoad,
/// };
///
/// let mut capacity = Capacity::default();
/// let (service, fast, slow) = ("s".into(), "fast".into(), "slow".into());
/// let load = |pace| TargetLoad { running: 1, waiting: 0, slots: 6, pace_percent: Some(pace) };
/// capacity.record_load(&service, &fast, &load(70), 0);
/// capacity.record_load(&service, &slow, &load(170), 0);
/// let rank_ms = |target| {
///     let own = OwnRequests::default();
///     capacity.plain_times(&service, target, own, 0).map(|times| times.rank_ms)
/// };
/// assert!(rank_ms(&fast) < rank_ms(&slow));
/// ```
#[derive(Debug, Default)]
pub struct Capacity {
    services: HashMap<Name, ServiceCapacity>,
}

impl Capacity {
    /// Records the load and the pace that a target states in an answer.
    ///
    /// ```
    /// use yuccalatch::direct::{capacity::Capacity, message::TargetLoad};
    ///
    /// let mut capacity = Capacity::default();
    /// let (service, target) = ("s".into(), "t".into());
    /// capacity.record_load(&service, &target, &TargetLoad::default(), 0);
    /// assert!(!capacity.states_pace(&service, 0));
    /// ```
    pub fn record_load(&mut self, service: &Name, target: &Name, load: &TargetLoad, now_us: u64) {
        if let Some(known) = self.adopt(service, target, load, now_us) {
            known.own_statement = Some((*load, now_us));
        }
    }

    /// Returns what targets have lately stated to this entry.
    ///
    /// ```
    /// use yuccalatch::direct::{capacity::Capacity, message::TargetLoad};
    ///
    /// let mut capacity = Capacity::default();
    /// let load = TargetLoad { slots: 6, pace_percent: Some(100), ..TargetLoad::default() };
    /// capacity.record_load(&"s".into(), &"t".into(), &load, 0);
    /// assert_eq!(capacity.report(1_000)[0].age_us, 1_000);
    /// ```
    pub fn report(&self, now_us: u64) -> Vec<TargetStatement> {
        let mut statements = Vec::new();
        for (service, known) in &self.services {
            for (target, known) in &known.targets {
                let Some((load, stated_at_us)) = known.own_statement else {
                    continue;
                };
                let age_us = now_us.saturating_sub(stated_at_us);
                let Some(pace_percent) = load.pace_percent else {
                    continue;
                };
                if age_us < MAX_SHARED_AGE_US {
                    statements.push(TargetStatement {
                        service: service.clone(),
                        target: target.clone(),
                        age_us,
                        busy: load.running.saturating_add(load.waiting),
                        slots: load.slots,
                        pace_percent,
                    });
                }
            }
        }
        statements
    }

    /// Adds what targets have stated to another entry, where it is later than what is
    /// known.
    ///
    /// ```
    /// use yuccalatch::direct::{capacity::Capacity, message::TargetLoad};
    ///
    /// let (mut sender, mut receiver) = (Capacity::default(), Capacity::default());
    /// let load = TargetLoad { slots: 6, pace_percent: Some(100), ..TargetLoad::default() };
    /// sender.record_load(&"s".into(), &"t".into(), &load, 0);
    /// receiver.merge(&sender.report(10_000), 10_000);
    /// assert!(receiver.states_pace(&"s".into(), 10_000));
    /// ```
    pub fn merge(&mut self, statements: &[TargetStatement], now_us: u64) {
        for statement in statements {
            let age_us = statement.age_us.saturating_add(MESSAGE_US);
            let load = TargetLoad {
                running: statement.busy,
                waiting: 0,
                slots: statement.slots,
                pace_percent: Some(statement.pace_percent),
            };
            let at_us = now_us.saturating_sub(age_us);
            self.adopt(&statement.service, &statement.target, &load, at_us);
        }
    }

    /// Adopts a load that a target stated at `at_us`. Returns the target, `None` when the
    /// load has no pace or a later one is known.
    fn adopt(
        &mut self,
        service: &Name,
        target: &Name,
        load: &TargetLoad,
        at_us: u64,
    ) -> Option<&mut TargetCapacity> {
        let pace = f64::from(load.pace_percent?).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let slots = f64::from(load.slots.max(1));
        let busy_share = f64::from(load.running.saturating_add(load.waiting)) / slots;
        let service = self.services.entry(service.clone()).or_default();
        let known = service.targets.entry(target.clone()).or_default();
        if known
            .pace
            .stated_at_us
            .is_some_and(|known_us| at_us <= known_us)
        {
            return None;
        }
        service.paced_until_us = service.paced_until_us.max(at_us + PACED_US);
        service.pace.add(pace, at_us);
        service.busy_share.add(busy_share, at_us);
        known.pace.state(pace, at_us);
        known.busy_share.state(busy_share, at_us);
        known.slots = slots;
        Some(known)
    }

    /// Returns when a target made its last known statement of its load, 0 when none is
    /// known.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// assert_eq!(Capacity::default().stated_at_us(&"s".into(), &"t".into()), 0);
    /// ```
    pub fn stated_at_us(&self, service: &Name, target: &Name) -> u64 {
        let service = self.services.get(service);
        let known = service.and_then(|service| service.targets.get(target));
        known.and_then(|known| known.pace.stated_at_us).unwrap_or(0)
    }

    /// Returns whether targets of a service have stated their pace in the last minute.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// assert!(!Capacity::default().states_pace(&"s".into(), 0));
    /// ```
    pub fn states_pace(&self, service: &Name, now_us: u64) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| now_us < known.paced_until_us)
    }

    /// Records how long a request took at a target that is no engine, at least when it
    /// was not answered. Ignored for services without a pace.
    ///
    /// ```
    /// use yuccalatch::direct::{
    ///     capacity::{Capacity, OwnRequests},
    ///     message::TargetLoad,
    /// };
    ///
    /// let mut capacity = Capacity::default();
    /// let (service, target) = ("s".into(), "t".into());
    /// let load = TargetLoad { slots: 6, pace_percent: Some(100), ..TargetLoad::default() };
    /// capacity.record_load(&service, &target, &load, 0);
    /// (0..50).for_each(|_| capacity.record_request(&service, &target, 80_000, 0));
    /// let times = capacity.plain_times(&service, &target, OwnRequests::default(), 0).unwrap();
    /// assert!((70_000..=80_000).contains(&times.answer_us));
    /// ```
    pub fn record_request(&mut self, service: &Name, target: &Name, took_us: u64, now_us: u64) {
        let Some(service) = self.paced(service, now_us) else {
            return;
        };
        let took_ms = took_us as f64 / US_PER_MS as f64;
        let mean_pace = service.pace.value(USUAL_PACE, now_us);
        let mean_busy = service.busy_share.value(0.0, now_us);
        let mean_ms = service.request_ms.value(REQUEST_MS, now_us);
        let known = service.targets.entry(target.clone()).or_default();
        let pace = known.pace.expected(mean_pace, now_us) / USUAL_PACE;
        let rounds = wait_rounds(known.busy_share.expected(mean_busy, now_us));
        let expected_ms = known.request_ms.value(mean_ms, now_us) * pace * rounds;
        let request_ms = took_ms / (pace * rounds);
        known.request_ms.add(request_ms, now_us);
        service.request_ms.add(request_ms, now_us);
        let deviation = (took_ms - expected_ms).abs() / expected_ms.max(1.0);
        service.deviation.add(deviation, now_us);
    }

    /// Returns the expected times of a request at a target that is no engine, `None` when
    /// the targets of its service state no pace.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::{Capacity, OwnRequests};
    ///
    /// let own = OwnRequests::default();
    /// assert_eq!(Capacity::default().plain_times(&"s".into(), &"t".into(), own, 0), None);
    /// ```
    pub fn plain_times(
        &self,
        service: &Name,
        target: &Name,
        own: OwnRequests,
        now_us: u64,
    ) -> Option<PlainTimes> {
        let service = self.services.get(service)?;
        if now_us >= service.paced_until_us {
            return None;
        }
        let known = service.targets.get(target).copied().unwrap_or_default();
        let mean_pace = service.pace.value(USUAL_PACE, now_us);
        let mean_busy = service.busy_share.value(0.0, now_us);
        let mean_ms = service.request_ms.value(REQUEST_MS, now_us);
        let pace = known.pace.expected(mean_pace, now_us) / USUAL_PACE;
        let slots = known.slots.max(1.0);
        let reported_share = known.busy_share.expected(mean_busy, now_us);
        let busy_share = (reported_share + f64::from(own.unreported) / slots)
            .max(f64::from(own.running) / slots);
        let request_ms = known.request_ms.value(mean_ms, now_us) * pace;
        let answer_ms = request_ms * wait_rounds(busy_share);
        Some(PlainTimes {
            rank_ms: (busy_share + 1.0) * request_ms,
            answer_us: ms_to_us(answer_ms),
            spread_us: ms_to_us(answer_ms * service.deviation.value(SPREAD, now_us)),
        })
    }

    /// Records the time to the first token of a request at an engine, with what delayed it.
    /// Ignored for services without a pace.
    ///
    /// ```
    /// use yuccalatch::direct::{
    ///     capacity::{Capacity, EngineWork},
    ///     message::TargetLoad,
    /// };
    ///
    /// let mut capacity = Capacity::default();
    /// let (service, engine) = ("s".into(), "e".into());
    /// let load = TargetLoad { pace_percent: Some(100), ..TargetLoad::default() };
    /// capacity.record_load(&service, &engine, &load, 0);
    /// let work = EngineWork { tokens: 9_000, ..EngineWork::default() };
    /// for _ in 0..200 {
    ///     capacity.record_first_token(&service, &engine, &work, 400_000, 0);
    /// }
    /// assert!(capacity.tokens_per_ms(&service, 0) < 30.0);
    /// ```
    pub fn record_first_token(
        &mut self,
        service: &Name,
        engine: &Name,
        work: &EngineWork,
        took_us: u64,
        now_us: u64,
    ) {
        let Some(service) = self.paced(service, now_us) else {
            return;
        };
        let mean_pace = service.pace.value(USUAL_PACE, now_us);
        let known = service.targets.entry(engine.clone()).or_default();
        let pace = known.pace.expected(mean_pace, now_us) / USUAL_PACE;
        let took_ms = took_us as f64 / US_PER_MS as f64 / pace;
        let fitted_ms = service.cost_fit.expected_ms(work);
        let expected_ms = fitted_ms * known.cost_factor.value(1.0, now_us);
        let factor = (took_ms / fitted_ms).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        known.cost_factor.add(factor, now_us);
        service.cost_fit.learn(work, took_ms);
        let deviation = (took_ms - expected_ms).abs() / expected_ms.max(1.0);
        service.deviation.add(deviation, now_us);
    }

    /// Returns the costs of work at an engine at its present pace, `None` when the engines
    /// of its service state no pace.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// assert_eq!(Capacity::default().engine_costs(&"s".into(), &"e".into(), 0), None);
    /// ```
    pub fn engine_costs(&self, service: &Name, engine: &Name, now_us: u64) -> Option<EngineCosts> {
        let service = self.services.get(service)?;
        if now_us >= service.paced_until_us {
            return None;
        }
        let known = service.targets.get(engine).copied().unwrap_or_default();
        let mean_pace = service.pace.value(USUAL_PACE, now_us);
        let pace = known.pace.expected(mean_pace, now_us) / USUAL_PACE;
        let factor = known.cost_factor.value(1.0, now_us) * pace;
        Some(service.cost_fit.costs(factor))
    }

    /// Returns how many prompt tokens an engine of a service reads in a millisecond.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// assert_eq!(Capacity::default().tokens_per_ms(&"s".into(), 0), 50.0);
    /// ```
    pub fn tokens_per_ms(&self, service: &Name, now_us: u64) -> f64 {
        let known = self.services.get(service);
        let known = known.filter(|known| now_us < known.paced_until_us);
        known.map_or(PREFILL_TOKENS_PER_MS, |known| {
            let pace = known.pace.value(USUAL_PACE, now_us) / USUAL_PACE;
            known.cost_fit.costs(pace).tokens_per_ms
        })
    }

    /// Returns the typical deviation of a service's measured times from the forecasts,
    /// relative to these.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// assert_eq!(Capacity::default().spread(&"s".into(), 0), 0.0);
    /// ```
    pub fn spread(&self, service: &Name, now_us: u64) -> f64 {
        let known = self.services.get(service);
        known.map_or(0.0, |known| known.deviation.value(SPREAD, now_us))
    }

    /// Forgets targets that `is_present` rejects.
    ///
    /// ```
    /// use yuccalatch::direct::capacity::Capacity;
    ///
    /// Capacity::default().retain(|target| **target == *"t");
    /// ```
    pub fn retain(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.services.retain(|_, service| {
            service.targets.retain(|target, _| is_present(target));
            !service.targets.is_empty()
        });
    }

    fn paced(&mut self, service: &Name, now_us: u64) -> Option<&mut ServiceCapacity> {
        let known = self.services.get_mut(service)?;
        (now_us < known.paced_until_us).then_some(known)
    }
}

/// Returns how many requests, one after the other, a slot runs until a new request has
/// its answer.
fn wait_rounds(busy_share: f64) -> f64 {
    busy_share.max(1.0)
}

fn ms_to_us(ms: f64) -> u64 {
    (ms.max(0.0) * US_PER_MS as f64) as u64
}
