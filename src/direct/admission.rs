//! Decides at the entry whether a request is sent, waits briefly or is refused.
//!
//! Designed for engines that are short of capacity while callers keep sending: without
//! it, entries send everything to the best engine, and its queue makes requests of all
//! ranks late. Requests of the highest rank present are always sent. Of the lower ranks,
//! every second request of a route and of an organisation may have to wait and is then
//! refused, so that neither starves.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::capacity::Forecast;
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::Name,
};

/// Time for which a rank counts as present after its last request.
const PRESENT_US: u64 = 2 * US_PER_S;

/// Largest part of the goal that a request waits at the entry, one in this many. The
/// time is lost to a caller that is refused afterwards.
const GOAL_PER_WAIT: u64 = 8;

/// Checks of the forecast during one wait. Each ranks all targets, which costs the
/// smallest entries a noticeable part of their processor, and reports are 200 ms apart.
const CHECKS_PER_WAIT: u64 = 3;

/// Shortest base of a retry time. Reports of load are about 200 ms old, so nothing new
/// is known sooner.
const MIN_RETRY_US: u64 = 100 * US_PER_MS;

/// Part of the time left that a caller waits for a retry, one in this many.
const TIME_PER_RETRY: u64 = 3;

/// Remembered routes, organisations and services above which those without a request
/// during [`PRESENT_US`] are forgotten.
const MAX_NAMES: usize = 1_024;

/// What a request asks of admission.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Name of its route.
    pub route: &'a Name,
    /// Organisation of its key, `None` on public routes.
    pub organisation: Option<&'a Name>,
    /// Service whose targets it competes for.
    pub service: &'a Name,
    /// Priority in the configuration; 0 is served first.
    pub rank: u8,
    /// When the request arrived.
    pub arrived_at_us: u64,
    /// When it should be answered, or its stream begin.
    pub goal_at_us: u64,
    /// When the caller gives up.
    pub deadline_at_us: u64,
    /// Hash of the request's id.
    pub id_hash: u64,
}

/// What is known of a target that may run a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offer {
    /// When the target is expected to answer.
    pub forecast: Forecast,
    /// Age of its load report, `None` when there is no recent one.
    pub load_age_us: Option<u64>,
    /// Whether that report shows waiting requests or no free slot.
    pub is_full: bool,
}

impl Offer {
    fn answers_by(self, at_us: u64, now_us: u64) -> bool {
        now_us.saturating_add(self.forecast.first_token_us) <= at_us
    }

    /// The forecast alone is too uncertain to call a request late: it contains costs
    /// that are no delay, such as that of computing a prompt away from its home.
    fn is_late(self, demand: &Demand<'_>, now_us: u64) -> bool {
        let has_queue = self.load_age_us.is_some() && self.is_full;
        has_queue && !self.answers_by(demand.goal_at_us, now_us)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No target is expected to start it before its deadline.
    Hopeless,
    /// It is expected late, and requests of a higher rank need the capacity.
    Late,
}

impl RefusalReason {
    /// Returns the name in logs and metrics.
    ///
    /// ```
    /// use yuccalatch::direct::admission::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::Late.name(), "late");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Hopeless => "hopeless",
            Self::Late => "late",
        }
    }
}

/// Refusal of a request that was sent to no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should try again.
    pub retry_after_ms: u64,
}

/// Wait of a request at the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// When the wait ends at the latest.
    pub until_us: u64,
    /// When to decide again.
    pub check_at_us: u64,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It waits at the entry.
    Wait(Wait),
    /// It is refused.
    Refuse(Refusal),
}

/// Returns the position of the target to which a request is sent if it is admitted, out
/// of `offers` in the order of placement. It is the first, unless that one would be late
/// and others have a free place, or it cannot answer before the deadline.
///
/// The id selects one of several free places, because many entries see the same ones.
///
/// ```
/// use yuccalatch::direct::{
///     admission::{Demand, Offer, select_offer},
///     capacity::Forecast,
/// };
///
/// let name = "chat".into();
/// let demand = Demand {
///     route: &name, organisation: None, service: &name, rank: 1, arrived_at_us: 0,
///     goal_at_us: 400_000, deadline_at_us: 5_000_000, id_hash: 0,
/// };
/// let full = Offer {
///     forecast: Forecast::from_cost_ms(900.0, false), load_age_us: Some(0), is_full: true,
/// };
/// let free = Offer { forecast: Forecast::from_cost_ms(100.0, true), ..Offer::default() };
/// assert_eq!(select_offer(&[full, free], &demand, 0), 1);
/// ```
pub fn select_offer(offers: &[Offer], demand: &Demand<'_>, now_us: u64) -> usize {
    let Some(first) = offers.first() else {
        return 0;
    };
    if first.forecast.has_free_place {
        return 0;
    }
    if first.is_late(demand, now_us) {
        let is_free = |offer: &Offer| {
            offer.forecast.has_free_place && offer.answers_by(demand.goal_at_us, now_us)
        };
        let free: Vec<usize> = (0..offers.len())
            .filter(|at| is_free(&offers[*at]))
            .collect();
        if !free.is_empty() {
            return free[demand.id_hash as usize % free.len()];
        }
    }
    if first.answers_by(demand.deadline_at_us, now_us) {
        0
    } else {
        soonest(offers)
    }
}

/// Returns the position of the offer with a free place or else the earliest answer.
fn soonest(offers: &[Offer]) -> usize {
    let key = |at: &usize| {
        let forecast = offers[*at].forecast;
        (!forecast.has_free_place, forecast.first_token_us)
    };
    (0..offers.len()).min_by_key(key).unwrap_or(0)
}

/// A route or organisation whose requests have to wait in turn.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    /// Whether its last request under pressure was held back.
    was_held: bool,
    used_at_us: u64,
}

/// What an entry remembers to decide which requests wait.
///
/// ```
/// use yuccalatch::direct::{
///     admission::{AdmissionControl, Decision, Demand, Offer},
///     capacity::Forecast,
/// };
///
/// let (chat, batch) = ("chat".into(), "batch".into());
/// let first = Demand {
///     route: &chat, organisation: None, service: &chat, rank: 0, arrived_at_us: 0,
///     goal_at_us: 400_000, deadline_at_us: 5_000_000, id_hash: 0,
/// };
/// let second = Demand { route: &batch, rank: 1, ..first };
/// let full = Offer {
///     forecast: Forecast::from_cost_ms(900.0, false), load_age_us: Some(0), is_full: true,
/// };
/// let mut control = AdmissionControl::default();
/// assert_eq!(control.decide(&first, full, None, 0), Decision::Send);
/// assert!(matches!(control.decide(&second, full, None, 0), Decision::Wait(_)));
/// ```
#[derive(Debug, Default)]
pub struct AdmissionControl {
    /// When each rank of a service last had a request.
    ranks: HashMap<(Name, u8), u64>,
    routes: HashMap<Name, Turn>,
    organisations: HashMap<Name, Turn>,
}

impl AdmissionControl {
    /// Records that requests of a rank compete for the targets of a service. This
    /// includes retries and resumed streams, which are not admitted again.
    pub fn note_present(&mut self, service: &Name, rank: u8, now_us: u64) {
        self.ranks.insert((service.clone(), rank), now_us);
        if self.ranks.len() > MAX_NAMES {
            self.ranks
                .retain(|_, seen_at_us| now_us < *seen_at_us + PRESENT_US);
        }
    }

    /// Decides about a request by the target that it would be sent to. `wait` is what the
    /// previous decision about the same request returned.
    ///
    /// When the last request of a route or organisation was held back or refused under
    /// pressure, the next one is sent unless it is hopeless. At least half of those that
    /// arrive are therefore sent, as far as any target can start them in time.
    pub fn decide(
        &mut self,
        demand: &Demand<'_>,
        offer: Offer,
        wait: Option<Wait>,
        now_us: u64,
    ) -> Decision {
        self.note_present(demand.service, demand.rank, now_us);
        if offer.forecast.has_free_place {
            return Decision::Send;
        }
        if !offer.answers_by(demand.deadline_at_us, now_us) {
            self.record_turn(demand, true, now_us);
            return refuse(RefusalReason::Hopeless, demand, offer, now_us);
        }
        if !offer.is_late(demand, now_us) || self.is_highest_present(demand, now_us) {
            return Decision::Send;
        }
        let goal_us = demand.goal_at_us.saturating_sub(demand.arrived_at_us);
        let longest_us = goal_us / GOAL_PER_WAIT;
        let until_us = match wait {
            Some(wait) if now_us >= wait.until_us => {
                return refuse(RefusalReason::Late, demand, offer, now_us);
            }
            Some(wait) => wait.until_us,
            None if !self.take_turn(demand, now_us) => return Decision::Send,
            None => (now_us + longest_us).min(demand.deadline_at_us),
        };
        let check_at_us = now_us + (longest_us / CHECKS_PER_WAIT).max(1);
        Decision::Wait(Wait {
            until_us,
            check_at_us: check_at_us.min(until_us),
        })
    }

    fn is_highest_present(&self, demand: &Demand<'_>, now_us: u64) -> bool {
        !self.ranks.iter().any(|((service, rank), seen_at_us)| {
            service == demand.service && *rank < demand.rank && now_us < seen_at_us + PRESENT_US
        })
    }

    /// Returns whether a request has to wait: neither the last one of its route nor that
    /// of its organisation had to.
    fn take_turn(&mut self, demand: &Demand<'_>, now_us: u64) -> bool {
        let is_held = |turns: &HashMap<Name, Turn>, name| {
            turns.get(name).is_some_and(|turn: &Turn| turn.was_held)
        };
        let waits = !is_held(&self.routes, demand.route)
            && !demand
                .organisation
                .is_some_and(|name| is_held(&self.organisations, name));
        self.record_turn(demand, waits, now_us);
        waits
    }

    fn record_turn(&mut self, demand: &Demand<'_>, was_held: bool, now_us: u64) {
        let turn = Turn {
            was_held,
            used_at_us: now_us,
        };
        insert_turn(&mut self.routes, demand.route, turn);
        if let Some(organisation) = demand.organisation {
            insert_turn(&mut self.organisations, organisation, turn);
        }
    }
}

fn insert_turn(turns: &mut HashMap<Name, Turn>, name: &Name, turn: Turn) {
    turns.insert(name.clone(), turn);
    if turns.len() > MAX_NAMES {
        turns.retain(|_, each| turn.used_at_us < each.used_at_us + PRESENT_US);
    }
}

fn refuse(reason: RefusalReason, demand: &Demand<'_>, offer: Offer, now_us: u64) -> Decision {
    let goal_us = demand.goal_at_us.saturating_sub(demand.arrived_at_us);
    let late_us = offer.forecast.first_token_us.saturating_sub(goal_us);
    let left_us = demand.deadline_at_us.saturating_sub(now_us);
    // The jitter adds up to a half, and callers wait for at most a third of their time.
    let longest_us = (left_us / TIME_PER_RETRY * 2 / 3).max(MIN_RETRY_US);
    let base_us = late_us.clamp(MIN_RETRY_US, longest_us);
    Decision::Refuse(Refusal {
        reason,
        retry_after_ms: jittered_ms(base_us / US_PER_MS, demand.id_hash),
    })
}

/// Returns the hash by which requests are told apart. `arrived_at_us` separates those
/// without an id.
///
/// ```
/// use yuccalatch::direct::admission::id_hash;
///
/// assert_ne!(id_hash("a", 1), id_hash("b", 1));
/// ```
pub fn id_hash(id: &str, arrived_at_us: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), arrived_at_us)
}

/// Returns a retry time between `base_ms` and half as much again, so that callers that
/// are refused together do not return together.
///
/// ```
/// use yuccalatch::direct::admission::{id_hash, jittered_ms};
///
/// assert!((400..=600).contains(&jittered_ms(400, id_hash("a", 1))));
/// ```
pub const fn jittered_ms(base_ms: u64, id_hash: u64) -> u64 {
    base_ms + id_hash % (base_ms / 2 + 1)
}
