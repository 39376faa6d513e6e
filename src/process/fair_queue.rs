//! Fair queue in front of a target: deficit round robin over organisations.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    error::ErrorKind,
    names::Name, //
};

mod demand;

pub use demand::{
    DemandMeter,
    RateStatus,
    UNITS_PER_TICKET_WEIGHT, //
};

/// Usage against the share of the weights that is normal on a single target,
/// because the prefixes of an organisation are not spread evenly.
const NORMAL_EXCESS: f64 = 8.0;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Requests that may wait.
    pub max_queued: usize,
    /// Requests that may run on the target at the same time.
    pub slots: usize,
    /// Slots that an organisation above its weighted share leaves free, so that
    /// the others never wait for one to be released.
    pub reserved_slots: usize,
    /// Requests that may be on the target without a first token. The order is
    /// decided here as long as possible, because the target keeps its own.
    pub max_starting: usize,
    /// Tokens per unit of weight and round. Weights are about 1,000 in sum, so
    /// that a round is worth a typical prompt.
    pub quantum_tokens: u64,
    /// Time after which started tokens count half towards the usage of an
    /// organisation.
    pub usage_half_life_us: u64,
    /// Time after which an organisation without requests no longer counts
    /// towards the shares.
    pub idle_after_us: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_queued: 256,
            slots: 32,
            reserved_slots: 16,
            max_starting: 2,
            quantum_tokens: 10,
            usage_half_life_us: 10_000_000,
            idle_after_us: 60_000_000,
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<T> {
    /// Organisation that pays.
    pub organisation: Name,
    /// Weight of the organisation, at least one.
    pub weight: u32,
    /// Expected cost.
    pub cost_tokens: u64,
    /// When it is refused unless it has started.
    pub expires_at_us: u64,
    /// The request.
    pub payload: T,
}

/// A request that was refused before it reached the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRequest<T> {
    /// [`ErrorKind::Overloaded`] or [`ErrorKind::DeadlineBeforeStart`]; both
    /// mean that the request was not run.
    pub kind: ErrorKind,
    /// The request.
    pub request: QueuedRequest<T>,
}

/// Priority for engines that honour one; a greater one goes first.
///
/// It falls by one with each doubling of the usage of the organisation beyond
/// the normal variation, so that the organisation furthest above its share always waits
/// for the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority(pub u8);

const PRIORITIES: usize = Priority::HIGHEST.0 as usize + 1;

impl Priority {
    /// Priority of an organisation within its share.
    pub const HIGHEST: Self = Self(7);

    /// `excess` is the share of the usage divided by the share of the weights.
    fn from_excess(excess: f64) -> Self {
        let doublings = (excess / NORMAL_EXCESS).max(1.0).log2().ceil() as u8;
        Self(Self::HIGHEST.0.saturating_sub(doublings))
    }
}

/// A request that may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedRequest<T> {
    /// The request.
    pub request: QueuedRequest<T>,
    /// Priority to pass to the engine.
    pub priority: Priority,
}

#[derive(Debug)]
struct Lane<T> {
    organisation: Name,
    weight: u32,
    items: VecDeque<QueuedRequest<T>>,
    /// Tokens that may start in this turn; negative after a larger request.
    deficit_tokens: i64,
    /// Whether the lane is in one of the lists of turns.
    is_listed: bool,
    running: usize,
    active_at_us: u64,
    usage_tokens: f64,
    usage_at_us: u64,
}

/// Deficit round robin over organisations by tokens.
///
/// ```
/// use yuccalatch::process::fair_queue::{FairQueue, QueuedRequest, QueueSettings};
///
/// let mut queue = FairQueue::new(QueueSettings::default());
/// let request = |organisation: &str, payload| QueuedRequest {
///     organisation: organisation.into(),
///     weight: 500,
///     cost_tokens: 5_000,
///     expires_at_us: 1_000,
///     payload,
/// };
/// for payload in 0..3 {
///     queue.push(request("large", payload), 0).unwrap();
/// }
/// queue.push(request("small", 9), 0).unwrap();
/// assert_eq!(queue.pop(1).unwrap().request.payload, 0);
/// assert_eq!(queue.pop(1).unwrap().request.payload, 9);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    lanes: Vec<Lane<T>>,
    index: HashMap<Name, usize>,
    /// Lanes that had nothing queued until now; they go first.
    fresh: VecDeque<usize>,
    /// The other lanes with queued requests, in the order of their turns.
    rotation: VecDeque<usize>,
    queued: usize,
    running: usize,
    /// Requests without a first token, by priority.
    starting: [usize; PRIORITIES],
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            lanes: Vec::new(),
            index: HashMap::new(),
            fresh: VecDeque::new(),
            rotation: VecDeque::new(),
            queued: 0,
            running: 0,
            starting: [0; PRIORITIES],
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Adds a request. A full queue makes room by refusing the newest request
    /// of the organisation with the most queued tokens by weight, which is
    /// returned.
    ///
    /// # Errors
    ///
    /// Returns the request itself when its deadline has passed or when its own
    /// organisation has the most queued tokens.
    pub fn push(
        &mut self,
        request: QueuedRequest<T>,
        now_us: u64,
    ) -> Result<Option<RejectedRequest<T>>, RejectedRequest<T>> {
        if request.expires_at_us <= now_us {
            return Err(RejectedRequest {
                kind: ErrorKind::DeadlineBeforeStart,
                request,
            });
        }
        let lane = self.lane(&request, now_us);
        if !self.lanes[lane].is_listed {
            self.lanes[lane].is_listed = true;
            self.lanes[lane].deficit_tokens = self.quantum(lane);
            self.fresh.push_back(lane);
        }
        self.lanes[lane].items.push_back(request);
        self.queued += 1;
        if self.queued <= self.settings.max_queued {
            return Ok(None);
        }
        let longest = self.longest_lane();
        let rejected = self.drop_newest(longest);
        if longest == lane {
            return rejected.map_or(Ok(None), Err);
        }
        Ok(rejected)
    }

    /// Starts the next request, if a slot is free for one.
    pub fn pop(&mut self, now_us: u64) -> Option<StartedRequest<T>> {
        if !(0..self.lanes.len()).any(|lane| self.may_start(lane, now_us)) {
            return None;
        }
        loop {
            let is_fresh = !self.fresh.is_empty();
            let lane = if is_fresh {
                self.fresh.pop_front()?
            } else {
                self.rotation.pop_front()?
            };
            if self.lanes[lane].items.is_empty() {
                self.retire(lane, is_fresh);
            } else if !self.may_start(lane, now_us) {
                self.rotation.push_back(lane);
            } else if self.lanes[lane].deficit_tokens <= 0 {
                self.lanes[lane].deficit_tokens += self.quantum(lane);
                self.rotation.push_back(lane);
            } else {
                let list = if is_fresh {
                    &mut self.fresh
                } else {
                    &mut self.rotation
                };
                list.push_front(lane);
                return self.start(lane, now_us);
            }
        }
    }

    /// Records that a started request has its first token, or has failed
    /// before it.
    pub fn record_first_token(&mut self, priority: Priority) {
        let count = &mut self.starting[usize::from(priority.0)];
        *count = count.saturating_sub(1);
    }

    /// Records that a started request has ended.
    pub fn finish(&mut self, organisation: &str) {
        let Some(&lane) = self.index.get(organisation) else {
            return;
        };
        self.lanes[lane].running = self.lanes[lane].running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now_us: u64) -> Vec<RejectedRequest<T>> {
        let mut rejected = Vec::new();
        for lane in &mut self.lanes {
            let (late, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut lane.items)
                .into_iter()
                .partition(|request| request.expires_at_us <= now_us);
            lane.items = waiting;
            rejected.extend(late.into_iter().map(|request| RejectedRequest {
                kind: ErrorKind::DeadlineBeforeStart,
                request,
            }));
        }
        self.queued -= rejected.len();
        rejected
    }

    /// Returns the earliest deadline in the queue.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let items = self.lanes.iter().flat_map(|lane| &lane.items);
        items.map(|request| request.expires_at_us).min()
    }

    /// Removes every waiting request, for a stop or a lost target.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        self.queued = 0;
        let lanes = self.lanes.iter_mut();
        // The lists of turns drop empty lanes by themselves.
        lanes.flat_map(|lane| lane.items.drain(..)).collect()
    }

    /// Returns the queued tokens that a new request of the organisation has to
    /// wait for: all of its own, and of every other organisation at most as
    /// many by weight.
    pub fn tokens_ahead(&self, organisation: &str, weight: u32) -> u64 {
        let own = self.index.get(organisation).map(|&lane| &self.lanes[lane]);
        let own_tokens = own.map_or(0, Lane::queued_tokens);
        let quantum = self.settings.quantum_tokens;
        let rounds = own_tokens / (quantum * u64::from(weight.max(1))) + 1;
        let others = self
            .lanes
            .iter()
            .filter(|lane| &*lane.organisation != organisation);
        let other_tokens: u64 = others
            .map(|lane| {
                let served = rounds * quantum * u64::from(lane.weight);
                lane.queued_tokens().min(served)
            })
            .sum();
        own_tokens + other_tokens
    }

    fn is_active(&self, lane: &Lane<T>, now_us: u64) -> bool {
        let is_recent = lane.active_at_us + self.settings.idle_after_us > now_us;
        is_recent || lane.running > 0 || !lane.items.is_empty()
    }

    fn may_start(&self, index: usize, now_us: u64) -> bool {
        let lane = &self.lanes[index];
        if lane.items.is_empty() || self.running >= self.settings.slots {
            return false;
        }
        let priority = Priority::from_excess(self.excess(index, now_us));
        let unreserved = self
            .settings
            .slots
            .saturating_sub(self.settings.reserved_slots);
        if self.running >= unreserved && priority < Priority::HIGHEST {
            return false;
        }
        // The target prefers a greater priority even to what it has begun.
        let same_or_greater = &self.starting[usize::from(priority.0)..];
        same_or_greater.iter().sum::<usize>() < self.settings.max_starting
    }

    fn quantum(&self, lane: usize) -> i64 {
        let weight = u64::from(self.lanes[lane].weight);
        let tokens = self.settings.quantum_tokens.max(1) * weight;
        i64::try_from(tokens).unwrap_or(i64::MAX)
    }

    /// Takes an empty lane out of the turns. A fresh one stays for a round, so
    /// that it cannot go first again by sending one request at a time.
    fn retire(&mut self, lane: usize, is_fresh: bool) {
        if is_fresh {
            self.rotation.push_back(lane);
        } else {
            self.lanes[lane].is_listed = false;
        }
    }

    fn start(&mut self, lane: usize, now_us: u64) -> Option<StartedRequest<T>> {
        let priority = Priority::from_excess(self.excess(lane, now_us));
        let half_life_us = self.settings.usage_half_life_us;
        let lane = &mut self.lanes[lane];
        let request = lane.items.pop_front()?;
        let cost_tokens = i64::try_from(request.cost_tokens).unwrap_or(i64::MAX);
        lane.deficit_tokens = lane.deficit_tokens.saturating_sub(cost_tokens);
        lane.running += 1;
        self.running += 1;
        self.queued -= 1;
        lane.usage_tokens = lane.usage_at(now_us, half_life_us) + request.cost_tokens as f64;
        lane.usage_at_us = now_us;
        self.starting[usize::from(priority.0)] += 1;
        Some(StartedRequest { request, priority })
    }

    /// Returns the usage of a lane against its weight, relative to all active
    /// lanes.
    fn excess(&self, lane: usize, now_us: u64) -> f64 {
        let half_life_us = self.settings.usage_half_life_us;
        let active = || {
            self.lanes
                .iter()
                .filter(|lane| self.is_active(lane, now_us))
        };
        let usage: f64 = active()
            .map(|lane| lane.usage_at(now_us, half_life_us))
            .sum();
        let weights: f64 = active().map(|lane| f64::from(lane.weight)).sum();
        let lane = &self.lanes[lane];
        let own_usage = lane.usage_at(now_us, half_life_us);
        let usage_share = if usage > 0.0 { own_usage / usage } else { 0.0 };
        // Usage alone would call an organisation within its share as soon as
        // its running requests have waited long enough.
        let slot_share = lane.running as f64 / self.settings.slots as f64;
        usage_share.max(slot_share) * weights / f64::from(lane.weight)
    }

    fn lane(&mut self, request: &QueuedRequest<T>, now_us: u64) -> usize {
        if let Some(&lane) = self.index.get(&request.organisation) {
            self.lanes[lane].weight = request.weight.max(1);
            self.lanes[lane].active_at_us = now_us;
            return lane;
        }
        self.remove_idle(now_us);
        let lane = self.lanes.len();
        self.index.insert(request.organisation.clone(), lane);
        self.lanes.push(Lane {
            organisation: request.organisation.clone(),
            weight: request.weight.max(1),
            items: VecDeque::new(),
            deficit_tokens: 0,
            is_listed: false,
            running: 0,
            active_at_us: now_us,
            usage_tokens: 0.0,
            usage_at_us: now_us,
        });
        lane
    }

    /// Bounds the memory by the organisations seen recently.
    fn remove_idle(&mut self, now_us: u64) {
        let lanes = std::mem::take(&mut self.lanes);
        let (active, idle): (Vec<_>, Vec<_>) = lanes
            .into_iter()
            .partition(|lane| self.is_active(lane, now_us));
        self.lanes = active;
        if idle.is_empty() {
            return;
        }
        let names = self.lanes.iter().map(|lane| lane.organisation.clone());
        self.index = names.zip(0..).collect();
        // Positions have changed; all lanes with requests start a new round.
        self.fresh.clear();
        self.rotation.clear();
        for (position, lane) in self.lanes.iter_mut().enumerate() {
            lane.is_listed = !lane.items.is_empty();
            if lane.is_listed {
                self.rotation.push_back(position);
            }
        }
    }

    fn longest_lane(&self) -> usize {
        let by_weight = |lane: &Lane<T>| lane.queued_tokens() as f64 / f64::from(lane.weight);
        (0..self.lanes.len())
            .max_by(|&a, &b| by_weight(&self.lanes[a]).total_cmp(&by_weight(&self.lanes[b])))
            .unwrap_or(0)
    }

    fn drop_newest(&mut self, lane: usize) -> Option<RejectedRequest<T>> {
        let request = self.lanes[lane].items.pop_back()?;
        self.queued -= 1;
        Some(RejectedRequest {
            kind: ErrorKind::Overloaded,
            request,
        })
    }
}

impl<T> Lane<T> {
    fn usage_at(&self, now_us: u64, half_life_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.usage_at_us);
        self.usage_tokens * (-(age_us as f64) / half_life_us as f64).exp2()
    }

    fn queued_tokens(&self) -> u64 {
        self.items.iter().map(|request| request.cost_tokens).sum()
    }
}
