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

/// Share of the usage divided by the share of the weights that is still normal
/// on a single target. It is well above 1, because the cached prefixes of an
/// organisation are not spread evenly over the targets.
const NORMAL_EXCESS: f64 = 8.0;

/// Limits and time constants of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Most requests that may wait.
    pub max_queued: usize,
    /// Most requests that may run on the target at the same time.
    pub slots: usize,
    /// Slots that an organisation above its weighted share leaves free, so that
    /// the others never wait for one to be released.
    pub reserved_slots: usize,
    /// Most requests that may run on the target without a first token. A low
    /// bound keeps the others in this queue, because the target orders the
    /// requests that it holds by rules of its own.
    pub max_starting: usize,
    /// Tokens per unit of weight that an organisation may start in one round.
    /// The weights add up to about 1,000, so a round is about one typical prompt.
    pub quantum_tokens: u64,
    /// Half-life of the usage of an organisation, a decaying sum of the tokens
    /// that it started.
    pub usage_half_life_us: u64,
    /// Time after its last request was added until an organisation that has no
    /// request waiting or running no longer counts towards the shares.
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
    /// Organisation whose share the request uses.
    pub organisation: Name,
    /// Weight of the organisation, at least one.
    pub weight: u32,
    /// Expected cost of prompt and output.
    pub cost_tokens: u64,
    /// Time at which the request is refused if it has not started.
    pub expires_at_us: u64,
    /// What the caller of the queue needs to run or to refuse the request.
    pub payload: T,
}

/// A request that the queue refused before it reached the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRequest<T> {
    /// [`ErrorKind::Overloaded`] or [`ErrorKind::DeadlineBeforeStart`]; both
    /// mean that the request was not run.
    pub kind: ErrorKind,
    /// The refused request.
    pub request: QueuedRequest<T>,
}

/// Priority for engines that support one; a greater value goes first.
///
/// It falls by one for each doubling of the organisation's usage beyond the
/// normal variation, so that the organisation furthest above its share always
/// waits for the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority(pub u8);

const PRIORITY_COUNT: usize = Priority::HIGHEST.0 as usize + 1;

impl Priority {
    /// Priority of an organisation within its share.
    pub const HIGHEST: Self = Self(7);

    /// Returns the priority for an `excess`, which is the share of the usage
    /// divided by the share of the weights.
    fn from_excess(excess: f64) -> Self {
        let doublings = (excess / NORMAL_EXCESS).max(1.0).log2().ceil() as u8;
        Self(Self::HIGHEST.0.saturating_sub(doublings))
    }
}

/// A request that was taken from the queue and occupies a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedRequest<T> {
    /// The request to run.
    pub request: QueuedRequest<T>,
    /// Priority to pass to the engine.
    pub priority: Priority,
}

/// Waiting requests of one organisation, and its recent usage of the target.
#[derive(Debug)]
struct Lane<T> {
    organisation: Name,
    weight: u32,
    requests: VecDeque<QueuedRequest<T>>,
    /// Tokens that the lane may still start in this turn; negative after a
    /// request that cost more.
    deficit_tokens: i64,
    /// Whether the lane is in `new_lanes` or `rotation`.
    is_listed: bool,
    running: usize,
    /// When a request was last added.
    active_at_us: u64,
    /// Decaying sum of the started tokens, as of `usage_at_us`.
    usage_tokens: f64,
    usage_at_us: u64,
}

/// Queue that shares a target between organisations by deficit round robin over
/// tokens.
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
    lane_by_organisation: HashMap<Name, usize>,
    /// Lanes that had no waiting request until recently; they go first.
    new_lanes: VecDeque<usize>,
    /// The other lanes, in the order of their turns.
    rotation: VecDeque<usize>,
    queued: usize,
    running: usize,
    /// Requests without a first token, by priority.
    starting: [usize; PRIORITY_COUNT],
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            lanes: Vec::new(),
            lane_by_organisation: HashMap::new(),
            new_lanes: VecDeque::new(),
            rotation: VecDeque::new(),
            queued: 0,
            running: 0,
            starting: [0; PRIORITY_COUNT],
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

    /// Adds a request. When that exceeds the limit, refuses the newest request
    /// of the organisation with the most queued tokens per weight, and returns
    /// it.
    ///
    /// # Errors
    ///
    /// Returns the added request itself if its deadline has passed, or if the
    /// queue is full and its organisation has the most queued tokens per weight.
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
        let lane = self.find_or_add_lane(&request, now_us);
        if !self.lanes[lane].is_listed {
            self.lanes[lane].is_listed = true;
            self.lanes[lane].deficit_tokens = self.lane_quantum(lane);
            self.new_lanes.push_back(lane);
        }
        self.lanes[lane].requests.push_back(request);
        self.queued += 1;
        if self.queued <= self.settings.max_queued {
            return Ok(None);
        }
        let most_queued = self.most_queued_lane();
        let rejected = self.reject_newest(most_queued);
        if most_queued == lane {
            return rejected.map_or(Ok(None), Err);
        }
        Ok(rejected)
    }

    /// Removes the next request and counts it as running. Returns `None` if no
    /// waiting request may start now.
    pub fn pop(&mut self, now_us: u64) -> Option<StartedRequest<T>> {
        if !(0..self.lanes.len()).any(|lane| self.may_start(lane, now_us)) {
            return None;
        }
        loop {
            let is_new = !self.new_lanes.is_empty();
            let lane = if is_new {
                self.new_lanes.pop_front()?
            } else {
                self.rotation.pop_front()?
            };
            if self.lanes[lane].requests.is_empty() {
                self.retire_empty_lane(lane, is_new);
            } else if !self.may_start(lane, now_us) {
                self.rotation.push_back(lane);
            } else if self.lanes[lane].deficit_tokens <= 0 {
                self.lanes[lane].deficit_tokens += self.lane_quantum(lane);
                self.rotation.push_back(lane);
            } else {
                let list = if is_new {
                    &mut self.new_lanes
                } else {
                    &mut self.rotation
                };
                list.push_front(lane);
                return self.start(lane, now_us);
            }
        }
    }

    /// Records that a started request has its first token, or failed without
    /// one.
    pub fn record_first_token(&mut self, priority: Priority) {
        let count = &mut self.starting[usize::from(priority.0)];
        *count = count.saturating_sub(1);
    }

    /// Records that a started request has ended.
    pub fn finish(&mut self, organisation: &str) {
        let Some(&lane) = self.lane_by_organisation.get(organisation) else {
            return;
        };
        self.lanes[lane].running = self.lanes[lane].running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now_us: u64) -> Vec<RejectedRequest<T>> {
        let mut rejected = Vec::new();
        for lane in &mut self.lanes {
            let (expired, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut lane.requests)
                .into_iter()
                .partition(|request| request.expires_at_us <= now_us);
            lane.requests = waiting;
            rejected.extend(expired.into_iter().map(|request| RejectedRequest {
                kind: ErrorKind::DeadlineBeforeStart,
                request,
            }));
        }
        self.queued -= rejected.len();
        rejected
    }

    /// Returns the earliest deadline of the waiting requests.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let requests = self.lanes.iter().flat_map(|lane| &lane.requests);
        requests.map(|request| request.expires_at_us).min()
    }

    /// Removes and returns every waiting request, for a shutdown or a lost target.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        self.queued = 0;
        let lanes = self.lanes.iter_mut();
        // `pop` removes empty lanes from `new_lanes` and `rotation`.
        lanes.flat_map(|lane| lane.requests.drain(..)).collect()
    }

    /// Returns the queued tokens that a new request of the organisation has to
    /// wait for: all queued tokens of its own organisation, and of every other
    /// one at most what it may start in the rounds that those take.
    pub fn tokens_ahead(&self, organisation: &str, weight: u32) -> u64 {
        let own_lane = self
            .lane_by_organisation
            .get(organisation)
            .map(|&lane| &self.lanes[lane]);
        let own_tokens = own_lane.map_or(0, Lane::queued_tokens);
        let quantum = self.settings.quantum_tokens;
        let rounds = own_tokens / (quantum * u64::from(weight.max(1))) + 1;
        let other_lanes = self
            .lanes
            .iter()
            .filter(|lane| &*lane.organisation != organisation);
        let other_tokens: u64 = other_lanes
            .map(|lane| {
                let served_tokens = rounds * quantum * u64::from(lane.weight);
                lane.queued_tokens().min(served_tokens)
            })
            .sum();
        own_tokens + other_tokens
    }

    /// Returns whether a lane counts towards the shares.
    fn is_active(&self, lane: &Lane<T>, now_us: u64) -> bool {
        let is_recent = lane.active_at_us + self.settings.idle_after_us > now_us;
        is_recent || lane.running > 0 || !lane.requests.is_empty()
    }

    /// Returns whether the first waiting request of a lane may start now.
    fn may_start(&self, index: usize, now_us: u64) -> bool {
        let lane = &self.lanes[index];
        if lane.requests.is_empty() || self.running >= self.settings.slots {
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
        // The target serves a greater priority first, even before requests that
        // it has begun; so those of a smaller priority are not counted.
        let same_or_greater = &self.starting[usize::from(priority.0)..];
        same_or_greater.iter().sum::<usize>() < self.settings.max_starting
    }

    /// Returns the tokens that a lane may start per round.
    fn lane_quantum(&self, lane: usize) -> i64 {
        let weight = u64::from(self.lanes[lane].weight);
        let tokens = self.settings.quantum_tokens.max(1) * weight;
        i64::try_from(tokens).unwrap_or(i64::MAX)
    }

    /// Removes an empty lane from the turns. A new lane stays for one more round
    /// in `rotation`, so that an organisation cannot go first every time by
    /// sending one request at a time.
    fn retire_empty_lane(&mut self, lane: usize, is_new: bool) {
        if is_new {
            self.rotation.push_back(lane);
        } else {
            self.lanes[lane].is_listed = false;
        }
    }

    /// Takes the first waiting request of a lane and counts it as started.
    fn start(&mut self, lane: usize, now_us: u64) -> Option<StartedRequest<T>> {
        let priority = Priority::from_excess(self.excess(lane, now_us));
        let half_life_us = self.settings.usage_half_life_us;
        let lane = &mut self.lanes[lane];
        let request = lane.requests.pop_front()?;
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

    /// Returns the lane's share of the usage divided by its share of the weights
    /// of all active lanes.
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
        // Usage is counted at the start and decays, so by usage alone an
        // organisation would be within its share again as soon as its running
        // requests are old enough.
        let slot_share = lane.running as f64 / self.settings.slots as f64;
        usage_share.max(slot_share) * weights / f64::from(lane.weight)
    }

    /// Returns the position of the lane for a new request, with its weight and
    /// activity updated.
    fn find_or_add_lane(&mut self, request: &QueuedRequest<T>, now_us: u64) -> usize {
        if let Some(&lane) = self.lane_by_organisation.get(&request.organisation) {
            self.lanes[lane].weight = request.weight.max(1);
            self.lanes[lane].active_at_us = now_us;
            return lane;
        }
        self.remove_idle(now_us);
        let lane = self.lanes.len();
        self.lane_by_organisation
            .insert(request.organisation.clone(), lane);
        self.lanes.push(Lane {
            organisation: request.organisation.clone(),
            weight: request.weight.max(1),
            requests: VecDeque::new(),
            deficit_tokens: 0,
            is_listed: false,
            running: 0,
            active_at_us: now_us,
            usage_tokens: 0.0,
            usage_at_us: now_us,
        });
        lane
    }

    /// Removes the lanes of idle organisations, which bounds the memory.
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
        self.lane_by_organisation = names.zip(0..).collect();
        // The positions have changed, so all lanes with requests are listed anew.
        self.new_lanes.clear();
        self.rotation.clear();
        for (position, lane) in self.lanes.iter_mut().enumerate() {
            lane.is_listed = !lane.requests.is_empty();
            if lane.is_listed {
                self.rotation.push_back(position);
            }
        }
    }

    /// Returns the lane with the most queued tokens per weight.
    fn most_queued_lane(&self) -> usize {
        let by_weight = |lane: &Lane<T>| lane.queued_tokens() as f64 / f64::from(lane.weight);
        (0..self.lanes.len())
            .max_by(|&a, &b| by_weight(&self.lanes[a]).total_cmp(&by_weight(&self.lanes[b])))
            .unwrap_or(0)
    }

    fn reject_newest(&mut self, lane: usize) -> Option<RejectedRequest<T>> {
        let request = self.lanes[lane].requests.pop_back()?;
        self.queued -= 1;
        Some(RejectedRequest {
            kind: ErrorKind::Overloaded,
            request,
        })
    }
}

impl<T> Lane<T> {
    /// Returns the usage in tokens, decayed until `now_us`.
    fn usage_at(&self, now_us: u64, half_life_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.usage_at_us);
        self.usage_tokens * (-(age_us as f64) / half_life_us as f64).exp2()
    }

    fn queued_tokens(&self) -> u64 {
        self.requests
            .iter()
            .map(|request| request.cost_tokens)
            .sum()
    }
}
