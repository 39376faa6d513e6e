//! Attempts of one request at its targets.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use super::{
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
    names::Name, //
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
}

impl RequestAttempts {
    pub(super) const fn count(&self) -> u32 {
        self.count
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
    pub(super) async fn next_target<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &IncomingRequest,
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
    /// load weights, and until the route's goal while only cold targets are left that take
    /// no request of this entry now.
    async fn choose_target<P: Platform>(
        &self,
        worker: &Rc<Worker<P>>,
        incoming: &IncomingRequest,
    ) -> Option<TargetChoice> {
        let goal_us = incoming.route.goal_ms * US_PER_MS;
        let until_us = incoming.arrived_at_us + goal_us.max(MIN_LOAD_WAIT_US);
        let until_us = until_us.min(incoming.deadline_us);
        let cold_until_us = incoming.deadline_us.min(incoming.arrived_at_us + goal_us);
        loop {
            let platform_state = worker.context.platform_state.load_full();
            let best = worker
                .rank_targets(&platform_state, incoming, &self.tried_targets)
                .into_iter()
                .next();
            let Some(best) = best else {
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
            if best.availability != Availability::Paused {
                let id = &best.target.id;
                if worker.context.take_cold_share(&platform_state, id) {
                    return Some(best);
                }
                // The token has expired since the ranking.
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            let may_wait = self.count == 0 && incoming.head.prompt.is_some();
            if !may_wait || worker.now_us() >= until_us {
                return None;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
