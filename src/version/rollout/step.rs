//! Transitions of a move.

use super::{
    Move,
    Phase,
    Reason,
    order::{
        LoadState,
        Part,
        TargetView, //
    },
    plan, //
};
use crate::{
    names::{
        Incarnation,
        Name, //
    },
    version::{
        evidence::{
            RouteEvidence,
            Verdict, //
        },
        lease::{
            Held,
            Lease, //
        },
    },
};

/// What the holder knows of one entry that is not proven gone.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryView {
    /// Name of the entry.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it reports; a silent entry may still serve.
    pub is_live: bool,
    /// Last step of this move that it applied.
    pub step: Option<u64>,
    /// Requests of the old version that it runs, in the same report.
    pub running_from: u64,
    /// Requests of the new version that it runs, in the same report.
    pub running_to: u64,
}

/// What the evidence of one route says about the present step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteView {
    /// Whether the new version looks worse.
    pub verdict: Verdict,
    /// Answers of the new version since the step was made.
    pub new_answers: u64,
}

impl RouteView {
    /// Summarises the evidence of a route.
    ///
    /// ```
    /// use yuccalatch::version::evidence::RouteEvidence;
    /// use yuccalatch::version::rollout::step::RouteView;
    ///
    /// assert_eq!(RouteView::of(&RouteEvidence::default(), 0).new_answers, 0);
    /// ```
    pub fn of(evidence: &RouteEvidence, now_us: u64) -> Self {
        Self {
            verdict: evidence.score(now_us).verdict(),
            new_answers: evidence.new_answers_since_mark(),
        }
    }
}

/// Everything a decision depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Wall-clock time, because plans are made in wall-clock time.
    pub now_unix_ms: u64,
    /// Entries that are not proven gone.
    pub entries: Vec<EntryView>,
    /// Targets that are not gone.
    pub targets: Vec<TargetView>,
    /// Routes with traffic.
    pub routes: Vec<RouteView>,
    /// Cut by an entry, or withdrawal by an operator.
    pub take_back: Option<Reason>,
}

impl Move {
    /// Returns the next value of the object, or `None` while nothing changes.
    ///
    /// Only the holder of the move's lease can make a step.
    pub fn advance(&self, lease: &Lease<Held>, seen: &Observation) -> Option<Self> {
        if lease.record().fencing != self.lease.fencing || self.phase.is_final() {
            return None;
        }
        let phase = self.next_phase(seen)?;
        Some(Self {
            lease: lease.record(),
            step: self.step + 1,
            phase,
            ..self.clone()
        })
    }

    /// Returns the object with another lease record, for claims and renewals.
    ///
    /// ```
    /// use yuccalatch::version::lease::LeaseRecord;
    /// use yuccalatch::version::rollout::{plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let planned = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 4);
    /// let claimed = planned.with_lease(LeaseRecord { fencing: 5, ..planned.lease });
    /// assert_eq!((claimed.lease.fencing, claimed.step), (5, planned.step));
    /// ```
    pub fn with_lease(&self, lease: crate::version::lease::LeaseRecord) -> Self {
        Self {
            lease,
            ..self.clone()
        }
    }

    fn next_phase(&self, seen: &Observation) -> Option<Phase> {
        if let Phase::TakingBack { reason } = &self.phase {
            let is_over = self.has_ended(seen, |entry| entry.running_to, |t| t.running_to);
            let reason = reason.clone();
            return is_over.then_some(Phase::TakenBack { reason });
        }
        if let Some(reason) = seen.take_back.clone() {
            return Some(Phase::TakingBack { reason });
        }
        match &self.phase {
            Phase::Planned => self.begin(seen),
            Phase::Loading => self.loaded(seen),
            Phase::Shifting {
                step,
                since_unix_ms,
            } => self.shifted(*step, *since_unix_ms, seen),
            Phase::Settling { since_unix_ms } => self.settled(*since_unix_ms, seen),
            Phase::Finishing => self
                .has_ended(seen, |entry| entry.running_from, |t| t.running_from)
                .then_some(Phase::Done),
            Phase::TakingBack { .. } | Phase::Done | Phase::TakenBack { .. } => None,
        }
    }

    fn begin(&self, seen: &Observation) -> Option<Phase> {
        (seen.now_unix_ms >= self.plan.load_at_unix_ms).then_some(Phase::Loading)
    }

    fn loaded(&self, seen: &Observation) -> Option<Phase> {
        let serving = || seen.targets.iter().filter(|target| !target.is_leaving);
        serving().next()?;
        let takes_new = |target: &&TargetView| target.part != Part::Old;
        // Targets that never report the present fencing number could still
        // execute an order of an earlier holder.
        let is_ready = |target: &TargetView| {
            let is_loaded = target.part == Part::Old || target.load == LoadState::Loaded;
            is_loaded && target.fencing == Some(self.lease.fencing)
        };
        let has_new = serving().any(|target| takes_new(&target));
        if has_new && serving().all(is_ready) {
            return Some(Phase::Shifting {
                step: 0,
                since_unix_ms: seen.now_unix_ms,
            });
        }
        // Nobody reports why a plain server does not start.
        let has_failed = |target: &&TargetView| match target.part {
            Part::Both => target.load == LoadState::Failed,
            Part::Old => false,
            Part::New => target.load != LoadState::Loaded,
        };
        let failed: Vec<Name> = serving()
            .filter(has_failed)
            .map(|target| target.name.clone())
            .collect();
        let is_late = seen.now_unix_ms > self.plan.steps[0].start_by_unix_ms;
        if is_late && (!has_new || !failed.is_empty()) {
            let reason = Reason::LoadFailed { targets: failed };
            return Some(Phase::TakingBack { reason });
        }
        None
    }

    fn shifted(&self, step: usize, since_unix_ms: u64, seen: &Observation) -> Option<Phase> {
        if !self.may_grow(seen) {
            return None;
        }
        let held_ms = seen.now_unix_ms.saturating_sub(since_unix_ms);
        let has_evidence = held_ms >= self.plan.pace.shortest_step_ms
            && seen
                .routes
                .iter()
                .all(|route| route.new_answers >= plan::STEP_ANSWERS);
        // A route with less traffic than planned must not break the deadline.
        let is_due = seen.now_unix_ms >= self.plan.leave_by_unix_ms(step);
        if !has_evidence && !is_due {
            return None;
        }
        let since_unix_ms = seen.now_unix_ms;
        if step + 1 == self.plan.steps.len() {
            return Some(Phase::Settling { since_unix_ms });
        }
        Some(Phase::Shifting {
            step: step + 1,
            since_unix_ms,
        })
    }

    fn settled(&self, since_unix_ms: u64, seen: &Observation) -> Option<Phase> {
        let held_ms = seen.now_unix_ms.saturating_sub(since_unix_ms);
        let is_over = held_ms >= self.plan.pace.settle_ms;
        (is_over && self.may_grow(seen)).then_some(Phase::Finishing)
    }

    /// The share grows only when reporting entries apply the present one and no
    /// route is suspect. Silent entries keep a smaller share, which is harmless.
    fn may_grow(&self, seen: &Observation) -> bool {
        let is_applied = seen
            .entries
            .iter()
            .filter(|entry| entry.is_live)
            .all(|entry| entry.step == Some(self.step));
        let is_clear = seen
            .routes
            .iter()
            .all(|route| route.verdict == Verdict::Clear);
        is_applied && is_clear
    }

    fn has_ended(
        &self,
        seen: &Observation,
        of_entry: fn(&EntryView) -> u64,
        of_target: fn(&TargetView) -> u64,
    ) -> bool {
        !seen.entries.is_empty()
            && seen
                .entries
                .iter()
                .all(|entry| entry.step == Some(self.step) && of_entry(entry) == 0)
            && seen.targets.iter().all(|target| of_target(target) == 0)
    }
}
