//! The tries of one request at targets.

use std::{
    collections::HashSet,
    rc::Rc,
    sync::Arc, //
};

use super::{
    attempt::{
        Failure,
        Incoming, //
    },
    placement::Standing,
    port::Platform,
    target::TargetRecord,
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

/// The tries of one request.
pub(super) struct Tries {
    tried: HashSet<Name>,
    count: u32,
    /// Tries that ran or may have run.
    may_have_run: u32,
}

impl Tries {
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
    pub(super) fn failed(&mut self, failure: Failure) {
        if failure.is_not_run() {
            self.may_have_run = self.may_have_run.saturating_sub(1);
        }
    }

    /// Returns whether any try ran or may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Chooses the next target; `None` when nothing is left to try.
    pub(super) fn next<P: Platform>(
        &mut self,
        worker: &Rc<Worker<P>>,
        incoming: &Incoming,
        has_run: bool,
    ) -> Option<Arc<TargetRecord>> {
        let route = &incoming.route;
        let is_first = self.count == 0;
        let may_run_again = !has_run && !self.may_have_run() || route.may_repeat();
        let has_tries = self.count < MAX_TRIES && self.may_have_run < route.max_targets;
        let has_time = worker.now_us() + MIN_TRY_US < incoming.deadline_us;
        let may_try = is_first || may_run_again && has_tries && has_time;
        if !may_try {
            return None;
        }
        let knowledge = worker.context.knowledge.load();
        let prompt = incoming.head.prompt.as_ref();
        let target = worker
            .targets(
                &knowledge,
                &incoming.service,
                prompt,
                incoming.salt(),
                &self.tried,
            )
            .into_iter()
            .next()
            .filter(|(_, standing)| *standing != Standing::Paused)
            .map(|(target, _)| target)?;
        if is_first {
            worker.note_first_try(&incoming.service);
        } else if !worker.take_retry(&incoming.service) {
            return None;
        }
        self.count += 1;
        self.may_have_run += 1;
        self.tried.insert(target.id.clone());
        Some(target)
    }
}
