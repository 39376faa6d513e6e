//! The tries of one request at targets.

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
    worker::Worker, //
};
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Tries of one request at most, those that were refused included.
const MAX_TRIES: u32 = 4;

/// Shortest time in which another try is worthwhile.
const MIN_TRY_US: u64 = 30 * US_PER_MS;

/// Shortest time for which a request waits while all engines load weights; a load
/// takes about half a second.
const MIN_WAIT_US: u64 = 600 * US_PER_MS;

/// Interval between looks for an engine that takes requests.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// The tries of one request.
pub(super) struct RequestAttempts {
    tried: HashSet<Name>,
    count: u32,
    /// Tries that ran or may have run.
    may_have_run: u32,
}

impl RequestAttempts {
    pub(super) fn new() -> Self {
        Self {
            tried: HashSet::new(),
            count: 0,
            may_have_run: 0,
        }
    }

    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    /// Notes the failure of the last try.
    pub(super) fn record_failure(&mut self, failure: AttemptFailure) {
        if failure.is_not_run() {
            self.may_have_run = self.may_have_run.saturating_sub(1);
        }
    }

    /// Returns whether any try ran or may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Chooses the next target; `None` when nothing is left to try.
    pub(super) async fn next_target<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &IncomingRequest,
        has_run: bool,
    ) -> Option<TargetChoice> {
        let route = &incoming.route;
        let is_first = self.count == 0;
        let may_run_again = !has_run && !self.may_have_run() || route.may_repeat();
        let has_tries = self.count < MAX_TRIES && self.may_have_run < route.max_targets;
        let has_time = worker.now_us() + MIN_TRY_US < incoming.deadline_us;
        let may_try = is_first || may_run_again && has_tries && has_time;
        if !may_try {
            return None;
        }
        let choice = self.best_choice(worker, incoming).await?;
        if is_first {
            worker.note_first_attempt(&incoming.service);
        } else if !worker.take_retry(&incoming.service) {
            return None;
        }
        self.count += 1;
        self.may_have_run += 1;
        self.tried.insert(choice.target.id.clone());
        Some(choice)
    }

    /// Returns the best target. While all engines of a first try load weights, it
    /// waits for one.
    async fn best_choice<P: Platform>(
        &self,
        worker: &Rc<Worker<P>>,
        incoming: &IncomingRequest,
    ) -> Option<TargetChoice> {
        let goal_us = incoming.route.goal_ms * US_PER_MS;
        let until_us = incoming.arrived_at_us + goal_us.max(MIN_WAIT_US);
        let until_us = until_us.min(incoming.deadline_us);
        loop {
            let platform_state = worker.context.platform_state.load_full();
            let best = worker
                .choices(&platform_state, incoming, &self.tried)
                .into_iter()
                .next()?;
            if best.availability != Availability::Paused {
                return Some(best);
            }
            let may_wait = self.count == 0 && incoming.head.prompt.is_some();
            if !may_wait || worker.now_us() >= until_us {
                return None;
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }
}
