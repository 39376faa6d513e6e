//! Fair queue in front of a target: deficit round robin over organisations.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    error::ErrorKind,
    names::Name, //
};

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests that may wait.
    pub max_queued: usize,
    /// Requests that may run on the target at the same time.
    pub slots: usize,
    /// Slots that an organisation above its weighted share leaves free, so that
    /// the others never wait for one to be released.
    pub reserved_slots: usize,
    /// Tokens that an organisation of weight one may send in a round. A value
    /// near the typical cost keeps both rounds and bursts short.
    pub quantum_tokens: u64,
    /// Time after which an organisation without requests no longer counts
    /// towards the shares.
    pub idle_after_us: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_queued: 256,
            slots: 32,
            reserved_slots: 8,
            quantum_tokens: 4_000,
            idle_after_us: 60_000_000,
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
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
pub struct Rejected<T> {
    /// [`ErrorKind::Overloaded`] or [`ErrorKind::DeadlineBeforeStart`]; both
    /// mean that the request was not run.
    pub kind: ErrorKind,
    /// The request.
    pub item: Item<T>,
}

/// Priority for engines that honour one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// The organisation uses more than its share.
    AboveShare,
    /// The organisation is within its share.
    WithinShare,
}

/// A request that may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Started<T> {
    /// The request.
    pub item: Item<T>,
    /// Priority to pass to the engine.
    pub priority: Priority,
}

#[derive(Debug)]
struct Lane<T> {
    organisation: Name,
    weight: u32,
    items: VecDeque<Item<T>>,
    deficit_tokens: u64,
    running: usize,
    active_at_us: u64,
}

/// Deficit round robin over organisations by tokens.
///
/// ```
/// use yuccalatch::process::fair_queue::{FairQueue, Item, Settings};
///
/// let mut queue = FairQueue::new(Settings::default());
/// let item = |organisation: &str, payload| Item {
///     organisation: organisation.into(),
///     weight: 1,
///     cost_tokens: 4_000,
///     expires_at_us: 1_000,
///     payload,
/// };
/// for payload in 0..3 {
///     queue.push(item("large", payload), 0).unwrap();
/// }
/// queue.push(item("small", 9), 0).unwrap();
/// assert_eq!(queue.pop(1).unwrap().item.payload, 0);
/// assert_eq!(queue.pop(1).unwrap().item.payload, 9);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: Settings,
    lanes: Vec<Lane<T>>,
    index: HashMap<Name, usize>,
    queued: usize,
    running: usize,
    turn: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            lanes: Vec::new(),
            index: HashMap::new(),
            queued: 0,
            running: 0,
            turn: 0,
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
    pub fn push(&mut self, item: Item<T>, now_us: u64) -> Result<Option<Rejected<T>>, Rejected<T>> {
        if item.expires_at_us <= now_us {
            return Err(Rejected {
                kind: ErrorKind::DeadlineBeforeStart,
                item,
            });
        }
        let lane = self.lane(&item, now_us);
        self.lanes[lane].items.push_back(item);
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
    pub fn pop(&mut self, now_us: u64) -> Option<Started<T>> {
        if !(0..self.lanes.len()).any(|lane| self.may_start(lane, now_us)) {
            return None;
        }
        loop {
            let lane = self.turn;
            if self.may_start(lane, now_us) && self.affords(lane) {
                return self.start(lane, now_us);
            }
            self.next_turn(now_us);
        }
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
    pub fn expire(&mut self, now_us: u64) -> Vec<Rejected<T>> {
        let mut rejected = Vec::new();
        for lane in &mut self.lanes {
            let (late, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut lane.items)
                .into_iter()
                .partition(|item| item.expires_at_us <= now_us);
            lane.items = waiting;
            rejected.extend(late.into_iter().map(|item| Rejected {
                kind: ErrorKind::DeadlineBeforeStart,
                item,
            }));
        }
        self.queued -= rejected.len();
        rejected
    }

    /// Returns the earliest deadline in the queue.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let items = self.lanes.iter().flat_map(|lane| &lane.items);
        items.map(|item| item.expires_at_us).min()
    }

    /// Removes every waiting request, for a stop or a lost target.
    pub fn drain(&mut self) -> Vec<Item<T>> {
        self.queued = 0;
        let lanes = self.lanes.iter_mut();
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

    /// Returns whether a new request of the organisation would be within its
    /// share of the slots.
    pub fn is_within_share(&self, organisation: &str, weight: u32, now_us: u64) -> bool {
        let own = self.index.get(organisation).map(|&lane| &self.lanes[lane]);
        let others: u64 = self
            .lanes
            .iter()
            .filter(|lane| &*lane.organisation != organisation)
            .filter(|lane| self.is_active(lane, now_us))
            .map(|lane| u64::from(lane.weight))
            .sum();
        let weight = u64::from(weight.max(1));
        let slots = u64::try_from(self.settings.slots).unwrap_or(u64::MAX);
        let running = own.map_or(0, |lane| u64::try_from(lane.running).unwrap_or(u64::MAX));
        // Rounded up, so that one request is always within the share.
        running < (slots * weight).div_ceil(weight + others)
    }

    fn is_active(&self, lane: &Lane<T>, now_us: u64) -> bool {
        let is_recent = lane.active_at_us + self.settings.idle_after_us > now_us;
        is_recent || lane.running > 0 || !lane.items.is_empty()
    }

    fn may_start(&self, lane: usize, now_us: u64) -> bool {
        let lane = &self.lanes[lane];
        if lane.items.is_empty() || self.running >= self.settings.slots {
            return false;
        }
        let unreserved = self
            .settings
            .slots
            .saturating_sub(self.settings.reserved_slots);
        self.running < unreserved || self.is_within_share(&lane.organisation, lane.weight, now_us)
    }

    fn affords(&self, lane: usize) -> bool {
        let lane = &self.lanes[lane];
        let next = lane.items.front();
        next.is_some_and(|item| item.cost_tokens <= lane.deficit_tokens)
    }

    fn start(&mut self, lane: usize, now_us: u64) -> Option<Started<T>> {
        let is_within = {
            let lane = &self.lanes[lane];
            self.is_within_share(&lane.organisation, lane.weight, now_us)
        };
        let lane = &mut self.lanes[lane];
        let item = lane.items.pop_front()?;
        lane.deficit_tokens -= item.cost_tokens;
        lane.running += 1;
        self.running += 1;
        self.queued -= 1;
        let priority = if is_within {
            Priority::WithinShare
        } else {
            Priority::AboveShare
        };
        Some(Started { item, priority })
    }

    /// Gives the turn to the next lane and a quantum to that lane.
    fn next_turn(&mut self, now_us: u64) {
        if self.lanes[self.turn].items.is_empty() {
            // Credit must not build up while nothing waits.
            self.lanes[self.turn].deficit_tokens = 0;
        }
        self.turn = (self.turn + 1) % self.lanes.len();
        if self.may_start(self.turn, now_us) {
            let lane = &mut self.lanes[self.turn];
            lane.deficit_tokens += self.settings.quantum_tokens.max(1) * u64::from(lane.weight);
        }
    }

    fn lane(&mut self, item: &Item<T>, now_us: u64) -> usize {
        if let Some(&lane) = self.index.get(&item.organisation) {
            self.lanes[lane].weight = item.weight.max(1);
            self.lanes[lane].active_at_us = now_us;
            return lane;
        }
        self.remove_idle(now_us);
        let lane = self.lanes.len();
        self.index.insert(item.organisation.clone(), lane);
        self.lanes.push(Lane {
            organisation: item.organisation.clone(),
            weight: item.weight.max(1),
            items: VecDeque::new(),
            deficit_tokens: 0,
            running: 0,
            active_at_us: now_us,
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
        self.turn = 0;
    }

    fn longest_lane(&self) -> usize {
        let by_weight = |lane: &Lane<T>| lane.queued_tokens() as f64 / f64::from(lane.weight);
        (0..self.lanes.len())
            .max_by(|&a, &b| by_weight(&self.lanes[a]).total_cmp(&by_weight(&self.lanes[b])))
            .unwrap_or(0)
    }

    fn drop_newest(&mut self, lane: usize) -> Option<Rejected<T>> {
        let item = self.lanes[lane].items.pop_back()?;
        self.queued -= 1;
        Some(Rejected {
            kind: ErrorKind::Overloaded,
            item,
        })
    }
}

impl<T> Lane<T> {
    fn queued_tokens(&self) -> u64 {
        self.items.iter().map(|item| item.cost_tokens).sum()
    }
}
