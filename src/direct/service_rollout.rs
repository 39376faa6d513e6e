//! Moves the traffic of a service to another release, by what its answers show.
//!
//! Load pattern: targets of a new release start beside the old ones, and the operator
//! wants all traffic moved by a deadline. The release may be bad from the start, later, on
//! one route only or under load. It first gets a small share of the requests, and its
//! answers are compared with those of the old release of the same time
//! ([`crate::version::evidence`]). The share grows late, because what a bad release has
//! got until its fault shows cannot be taken back. Entries exchange what they have
//! counted, and each of them takes the release back when the evidence is strong.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::US_PER_MS,
    names::{
        Incarnation,
        Name, //
    },
    version::evidence::{
        Evidence, Side, Verdict,
        counts::Sample,
        pool::{
            BlockCounts,
            Pool, //
        },
    },
};

/// All requests, in thousandths.
pub const FULL_PERMILLE: u16 = 1_000;

/// Share of the new release until its answers have been compared.
const CANARY_PERMILLE: u16 = 80;

/// Share of the new release between the canary and all requests.
const HALF_PERMILLE: u16 = 500;

/// Part of the rollout after which half of the requests go to the new release.
const HALF_AT_PERCENT: u64 = 74;

/// Part of the rollout after which all requests go to the new release.
const FULL_AT_PERCENT: u64 = 80;

/// Part of the rollout after which it is done. The rest is for the write of its state.
const DONE_AT_PERCENT: u64 = 94;

/// Longest time for which a new release has all requests before the rollout is done, so
/// that requests on the old release end and late faults show.
const MAX_SETTLE_US: u64 = 1_200 * US_PER_MS;

/// Outcome of a rollout as far as it is stored.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// The new release has all traffic; the old one is stopped.
    Done,
    /// The old release has all traffic again.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the rollout has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }
}

/// Order of the operator to move a service to another release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: Name,
    /// Release that is introduced.
    pub release: Name,
    /// Time in which the traffic has to be moved, in milliseconds.
    pub duration_ms: u64,
    /// Revision of the object that holds the order and its state.
    pub revision: u64,
    /// Stored state, `None` before the first one is written.
    pub state: Option<RolloutState>,
}

/// What an entry reports of a rollout to others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Service whose traffic moves.
    pub service: Name,
    /// Release that is introduced.
    pub release: Name,
    /// Time since the first entry received the order, in microseconds.
    pub elapsed_us: u64,
    /// Whether the release has been taken back.
    pub is_cut: bool,
    /// Latest counts of answers.
    pub counts: Vec<BlockCounts>,
}

/// Targets to which a request of a service may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseChoice {
    /// The new release.
    pub release: Name,
    /// Whether the request goes to the new release.
    pub side: Side,
    /// Whether the other side is used when this one has no targets.
    pub has_fallback: bool,
    /// Side of a request that is tried again.
    pub retry_side: Side,
}

impl ReleaseChoice {
    /// Returns the side of the targets of a release.
    pub fn side_of(&self, release: &Name) -> Side {
        side_of(&self.release, release)
    }
}

fn side_of(new_release: &Name, release: &Name) -> Side {
    if release == new_release {
        Side::New
    } else {
        Side::Old
    }
}

/// Progress of one rollout at this entry.
#[derive(Debug)]
struct Progress {
    order: RolloutOrder,
    started_at_us: u64,
    share_permille: u16,
    full_since_us: Option<u64>,
    verdict: Verdict,
    is_cut: bool,
    own: Evidence,
    fleet: Pool,
}

impl Progress {
    fn new(order: RolloutOrder, now_us: u64) -> Self {
        Self {
            order,
            started_at_us: now_us,
            share_permille: CANARY_PERMILLE,
            full_since_us: None,
            verdict: Verdict::Clear,
            is_cut: false,
            own: Evidence::default(),
            fleet: Pool::default(),
        }
    }

    fn at_percent_us(&self, percent: u64) -> u64 {
        self.started_at_us + self.order.duration_ms * US_PER_MS / 100 * percent
    }

    /// Share that the plan gives the new release, regardless of its answers.
    fn planned_permille(&self, now_us: u64) -> u16 {
        if now_us >= self.at_percent_us(FULL_AT_PERCENT) {
            FULL_PERMILLE
        } else if now_us >= self.at_percent_us(HALF_AT_PERCENT) {
            HALF_PERMILLE
        } else {
            CANARY_PERMILLE
        }
    }

    fn is_final(&self) -> bool {
        self.order.state.is_some_and(RolloutState::is_final)
    }

    fn advance(&mut self, own: Incarnation, now_us: u64, wall_us: u64) {
        match self.order.state {
            Some(RolloutState::Done) => {
                self.share_permille = FULL_PERMILLE;
                return;
            }
            Some(RolloutState::RolledBack) => {
                self.is_cut = true;
                self.share_permille = 0;
                return;
            }
            Some(RolloutState::Running) | None => {}
        }
        self.fleet.absorb(own, &self.own.message(wall_us));
        let worst = self.fleet.evidence().worst(wall_us);
        self.verdict = worst.map_or(Verdict::Clear, |(_, score)| score.verdict());
        self.is_cut |= matches!(self.verdict, Verdict::Strong(_));
        if self.is_cut {
            self.share_permille = 0;
            return;
        }
        if self.verdict == Verdict::Clear {
            self.share_permille = self.planned_permille(now_us);
        }
        if self.share_permille == FULL_PERMILLE {
            self.full_since_us.get_or_insert(now_us);
        }
    }

    fn wanted_state(&self, now_us: u64) -> RolloutState {
        if self.is_cut {
            return RolloutState::RolledBack;
        }
        let planned_us = self.at_percent_us(DONE_AT_PERCENT) - self.at_percent_us(FULL_AT_PERCENT);
        let settle_us = planned_us.min(MAX_SETTLE_US);
        let is_settled = self
            .full_since_us
            .is_some_and(|since_us| now_us >= since_us + settle_us);
        let is_due = now_us >= self.at_percent_us(DONE_AT_PERCENT);
        if is_due && is_settled && self.verdict == Verdict::Clear {
            RolloutState::Done
        } else {
            RolloutState::Running
        }
    }
}

/// Rollouts of all services.
///
/// ```
/// use yuccalatch::direct::service_rollout::{RolloutOrder, ServiceRollouts};
/// use yuccalatch::version::evidence::Side;
///
/// let order = RolloutOrder {
///     service: "app".into(), release: "v2".into(), duration_ms: 10_000, revision: 1,
///     state: None,
/// };
/// let mut rollouts = ServiceRollouts::default();
/// rollouts.sync([&order].into_iter(), 0);
/// let new = (0..1_000).filter(|point| rollouts.choose("app", *point).unwrap().side == Side::New);
/// assert_eq!(new.count(), 80);
/// ```
#[derive(Debug, Default)]
pub struct ServiceRollouts {
    by_service: BTreeMap<Name, Progress>,
}

impl ServiceRollouts {
    /// Adopts the orders as they are stored.
    pub fn sync<'a>(&mut self, orders: impl Iterator<Item = &'a RolloutOrder>, now_us: u64) {
        for order in orders {
            match self.by_service.get_mut(&order.service) {
                Some(progress) if progress.order.release == order.release => {
                    progress.order = order.clone();
                }
                _ => {
                    let progress = Progress::new(order.clone(), now_us);
                    self.by_service.insert(order.service.clone(), progress);
                }
            }
        }
    }

    /// Returns the targets for a request of a service, `None` when any will do. `point`
    /// is a uniformly distributed property of the request.
    pub fn choose(&self, service: &str, point: u64) -> Option<ReleaseChoice> {
        let progress = self.by_service.get(service)?;
        let is_new = point % u64::from(FULL_PERMILLE) < u64::from(progress.share_permille);
        Some(ReleaseChoice {
            release: progress.order.release.clone(),
            side: if is_new { Side::New } else { Side::Old },
            has_fallback: is_new || !progress.is_cut,
            // Old targets stop when the new release has all requests.
            retry_side: if progress.share_permille == FULL_PERMILLE {
                Side::New
            } else {
                Side::Old
            },
        })
    }

    /// Records an answer of a target of the given release.
    pub fn record(
        &mut self,
        service: &str,
        release: &Name,
        route: &Name,
        sample: Sample,
        wall_us: u64,
    ) {
        let Some(progress) = self.by_service.get_mut(service) else {
            return;
        };
        if progress.is_final() {
            return;
        }
        let side = side_of(&progress.order.release, release);
        progress.own.route(route).record(side, sample, wall_us);
    }

    /// Adds the counts of this entry to those of the fleet and derives the shares.
    /// Returns the services whose release was taken back just now, with the verdict.
    pub fn advance(&mut self, own: Incarnation, now_us: u64, wall_us: u64) -> Vec<(Name, Verdict)> {
        let mut cut = Vec::new();
        for (service, progress) in &mut self.by_service {
            let was_cut = progress.is_cut;
            progress.advance(own, now_us, wall_us);
            if progress.is_cut && !was_cut {
                cut.push((service.clone(), progress.verdict));
            }
        }
        cut
    }

    /// Returns the orders whose state has to be written, with that state.
    pub fn due_writes(&self, now_us: u64) -> Vec<(RolloutOrder, RolloutState)> {
        let due = |progress: &Progress| {
            let wanted = progress.wanted_state(now_us);
            let is_due = !progress.is_final() && progress.order.state != Some(wanted);
            is_due.then(|| (progress.order.clone(), wanted))
        };
        self.by_service.values().filter_map(due).collect()
    }

    /// Returns what other entries need to know.
    pub fn report(&self, now_us: u64, wall_us: u64) -> Vec<RolloutReport> {
        self.by_service
            .values()
            .filter(|progress| !progress.is_final())
            .map(|progress| RolloutReport {
                service: progress.order.service.clone(),
                release: progress.order.release.clone(),
                elapsed_us: now_us.saturating_sub(progress.started_at_us),
                is_cut: progress.is_cut,
                counts: progress.own.message(wall_us),
            })
            .collect()
    }

    /// Adds the report of another entry.
    pub fn merge(&mut self, entry: Incarnation, reports: &[RolloutReport], now_us: u64) {
        for report in reports {
            let Some(progress) = self.by_service.get_mut(&report.service) else {
                continue;
            };
            if progress.order.release != report.release {
                continue;
            }
            let started_at_us = now_us.saturating_sub(report.elapsed_us);
            progress.started_at_us = progress.started_at_us.min(started_at_us);
            progress.is_cut |= report.is_cut;
            if progress.is_cut {
                progress.share_permille = 0;
            }
            progress.fleet.absorb(entry, &report.counts);
        }
    }
}
