//! Attempts of one request at its targets.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use slog::info;

use super::{
    admission::{
        Decision,
        Offer,
        Refusal,
        Wait,
        select_offer, //
    },
    attempt::{
        AttemptFailure,
        IncomingRequest, //
    },
    choice::TargetChoice,
    placement::Availability,
    platform::Platform,
    quarantine::Admission,
    worker::Worker, //
};
use crate::{
    clock::US_PER_MS,
    error::ErrorKind,
    event::Event,
    names::Name,
    process::metrics::{
        ReasonLabels,
        WaitLabels, //
    },
};

/// Largest number of attempts of one request, including those that were refused.
const MAX_ATTEMPTS: u32 = 4;

/// Shortest time before the deadline in which another attempt is worthwhile.
const MIN_ATTEMPT_US: u64 = 30 * US_PER_MS;

/// Time for which a request waits at least while all engines load weights, unless
/// its deadline comes earlier. A load takes about half a second.
const MIN_LOAD_WAIT_US: u64 = 600 * US_PER_MS;

/// Interval of the checks for an engine that takes requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Proof that no target has run a request, and none will. Only a request that was sent to
/// no target, or whose attempts all ended without a run, gives one.
#[derive(Clone, Copy, Debug)]
pub(super) struct NotRun(());

/// A request that was sent to no target yet.
pub(super) struct Unsent(());

impl Unsent {
    pub(super) const fn new() -> Self {
        Self(())
    }

    pub(super) const fn not_run(&self) -> NotRun {
        NotRun(())
    }

    /// Begins the attempts of the request.
    pub(super) fn begin(self) -> RequestAttempts {
        RequestAttempts {
            tried_targets: HashSet::new(),
            count: 0,
            maybe_run_count: 0,
            refusal: None,
            denial: None,
            is_begun: false,
        }
    }
}

/// The attempts of one request so far.
pub(super) struct RequestAttempts {
    tried_targets: HashSet<Name>,
    /// All attempts, including those that were refused.
    count: u32,
    /// Number of attempts that ran or may have run.
    maybe_run_count: u32,
    /// Why no target was chosen, when admission refused the request.
    refusal: Option<Refusal>,
    /// Why no target was chosen, when a later configuration does not allow the request.
    denial: Option<ErrorKind>,
    /// Whether a part of the answer was passed on.
    is_begun: bool,
}

impl RequestAttempts {
    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the refusal by admission, `None` when the request was admitted.
    pub(super) const fn refusal(&self) -> Option<Refusal> {
        self.refusal
    }

    /// Returns why the configuration does not allow the request any more, `None` while it
    /// does.
    pub(super) const fn denial(&self) -> Option<ErrorKind> {
        self.denial
    }

    /// Records that a part of the answer is passed on. The request then runs to its end by
    /// the configuration that allowed it.
    pub(super) const fn note_begun(&mut self) {
        self.is_begun = true;
    }

    /// Records that the last attempt failed.
    pub(super) fn record_failure(&mut self, failure: AttemptFailure) {
        if failure.is_not_run() {
            self.maybe_run_count = self.maybe_run_count.saturating_sub(1);
        }
    }

    /// Returns the proof that the request has not run, `None` when any attempt may have
    /// run it.
    pub(super) fn not_run(&self) -> Option<NotRun> {
        (self.maybe_run_count == 0).then_some(NotRun(()))
    }

    /// Chooses the target of the next attempt and counts the attempt. Returns `None`
    /// when no further attempt is allowed or no target is left. `has_run` is whether
    /// the request has run at a target that answered.
    ///
    /// Before the first attempt, admission may make the request wait, or refuse it.
    pub(super) async fn next_target<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &mut IncomingRequest,
        has_run: bool,
    ) -> Option<TargetChoice> {
        let route = &incoming.route;
        let is_first = self.count == 0;
        let may_run_again = !has_run && self.not_run().is_some() || route.may_repeat();
        let has_attempts_left =
            self.count < MAX_ATTEMPTS && self.maybe_run_count < route.max_targets;
        let has_time = worker.now_us() + MIN_ATTEMPT_US < incoming.deadline_us;
        let may_attempt = is_first || may_run_again && has_attempts_left && has_time;
        if !may_attempt {
            return None;
        }
        // A trial has one attempt, and what the first attempt showed counts.
        if !is_first && worker.admit_parts(incoming) != Admission::Open {
            return None;
        }
        let choice = self.choose_target(worker, incoming).await?;
        if is_first {
            worker.note_first_attempt(&incoming.service);
            worker.record_length(incoming);
        } else if !worker.take_retry(&incoming.service) {
            return None;
        }
        self.count += 1;
        self.maybe_run_count += 1;
        self.tried_targets.insert(choice.target.id.clone());
        Some(choice)
    }

    /// Returns the best target. The first attempt waits for an engine while all of them
    /// load weights, for capacity when admission says so, and until the route's goal while
    /// only cold targets are left that take no request of this entry now.
    async fn choose_target<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &mut IncomingRequest,
    ) -> Option<TargetChoice> {
        let goal_us = incoming.route.goal_ms * US_PER_MS;
        let until_us = incoming.arrived_at_us + goal_us.max(MIN_LOAD_WAIT_US);
        let until_us = until_us.min(incoming.deadline_us);
        let cold_until_us = incoming.deadline_us.min(incoming.arrived_at_us + goal_us);
        let mut wait = None;
        loop {
            let platform_state = worker.context.platform_state.load_full();
            if let Some(table) = platform_state.table.as_ref().filter(|_| !self.is_begun)
                && let Err(kind) = incoming.reauthorize(table)
            {
                self.denial = Some(kind);
                return None;
            }
            // The later configuration may not allow that a request runs again.
            if self.maybe_run_count > 0 && !incoming.route.may_repeat() {
                return None;
            }
            let choices = worker.rank_targets(&platform_state, incoming, &self.tried_targets);
            let Some(best) = choices.first() else {
                if self.count > 0 || !worker.has_used_up_target(&platform_state, incoming) {
                    return None;
                }
                if worker.now_us() >= cold_until_us {
                    worker.context.metrics.cold_refusals.inc();
                    return None;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            };
            if best.availability == Availability::Paused {
                let may_wait = self.count == 0 && incoming.head.prompt.is_some();
                if !may_wait || worker.now_us() >= until_us {
                    return None;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            match self.admit(worker, incoming, choices, &mut wait) {
                Ok(choice) => {
                    let id = &choice.target.id;
                    if worker.context.take_cold_share(&platform_state, id) {
                        return Some(choice);
                    }
                    // The token has expired since the ranking.
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
                Err(check_at_us) => {
                    let check_in_us = check_at_us?.saturating_sub(worker.now_us());
                    tokio::time::sleep(Duration::from_micros(check_in_us)).await;
                }
            }
        }
    }

    /// Returns the target to which a request may be sent now, out of those in the order of
    /// placement. Otherwise returns when to decide again, `None` when the request is
    /// refused.
    fn admit<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &IncomingRequest,
        mut choices: Vec<TargetChoice>,
        wait: &mut Option<Wait>,
    ) -> Result<TargetChoice, Option<u64>> {
        let demand = incoming.demand();
        let now_us = worker.now_us();
        let is_resumed = self.count > 0 || incoming.head.last_event_id.is_some();
        let has_admission = worker.has_admission(incoming);
        if is_resumed || !has_admission {
            if has_admission {
                let mut admission = worker.context.admission();
                admission.note_present(demand.service, demand.rank, now_us);
            }
            return Ok(choices.swap_remove(0));
        }
        // Targets that failed or pause come last and are no alternative to the best.
        let class = choices[0].availability.max(Availability::ClosingSoon);
        choices.retain(|choice| choice.availability <= class);
        let offers: Vec<Offer> = choices.iter().map(TargetChoice::offer).collect();
        let choice = choices.swap_remove(select_offer(&offers, &demand, now_us));
        let decision = worker
            .context
            .admission()
            .decide(&demand, choice.offer(), *wait, now_us);
        match decision {
            Decision::Send => {
                worker.count_wait(*wait, "sent");
                Ok(choice)
            }
            Decision::Refuse(refusal) => {
                worker.count_wait(*wait, "refused");
                worker.log_admission_refusal(incoming, &choice, refusal);
                self.refusal = Some(refusal);
                Err(None)
            }
            Decision::Wait(next) => {
                *wait = Some(next);
                Err(Some(next.check_at_us))
            }
        }
    }
}

impl<P> Worker<P> {
    /// Returns whether admission decides about a request. The forecast of a target that
    /// is no engine is a rank and not a time, so its requests are not decided about.
    fn has_admission(&self, incoming: &IncomingRequest) -> bool {
        self.context.has_overload_control && incoming.head.prompt.is_some()
    }

    /// Counts a request that waited for capacity, by what the wait ended with.
    fn count_wait(&self, wait: Option<Wait>, outcome: &'static str) {
        if wait.is_some() {
            let waits = &self.context.metrics.admission_waits;
            waits.get_or_create(&WaitLabels { outcome }).inc();
        }
    }

    fn log_admission_refusal(
        &self,
        incoming: &IncomingRequest,
        choice: &TargetChoice,
        refusal: Refusal,
    ) {
        let reason = refusal.reason.name();
        let now_us = self.now_us();
        let refusals = &self.context.metrics.admission_refusals;
        refusals.get_or_create(&ReasonLabels { reason }).inc();
        info!(self.context.log, "request refused by admission";
            "event" => Event::RequestRefused,
            "request_id" => incoming.id(),
            "kind" => ErrorKind::Overloaded.name(),
            "reason" => reason,
            "rank" => incoming.rank(),
            "route" => &*incoming.route.name,
            "organisation" => incoming.label(),
            "target" => &*choice.target.id,
            "forecast_us" => choice.forecast.first_token_us,
            "spread_us" => choice.forecast.spread_us,
            "running" => choice.load.running,
            "waiting" => choice.load.waiting,
            "load_age_us" => choice.load_age_us,
            "goal_ms" => incoming.route.goal_ms,
            "remaining_ms" => incoming.deadline_us.saturating_sub(now_us) / US_PER_MS,
            "waited_us" => now_us.saturating_sub(incoming.arrived_at_us),
            "retry_after_ms" => refusal.retry_after_ms);
    }
}
