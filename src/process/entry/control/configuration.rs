//! Keeps the configuration of an entry up to date.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use slog::{
    info,
    warn, //
};

use super::super::context::Context;
use crate::{
    clock::US_PER_S,
    event::Event,
    process::platform::{
        Platform,
        PlatformResult,
        configuration::advance, //
    },
    version::{
        config::{
            Fold,
            Update, //
        },
        head::HEAD_KEY,
    },
};

/// Bound for reading the configuration.
const READ_WITHIN_US: u64 = 5 * US_PER_S;

/// How long one watch call waits for a change.
const WATCH_MS: u64 = 10_000;

/// Without news for this long, withdrawals of keys may have been missed. One
/// second is left of the 5 s in which a withdrawal has to work.
const KEYS_STALE_AFTER_US: u64 = 4 * US_PER_S;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Reads accepted tickets and publishes the folded state.
pub(super) struct Configuration {
    context: Arc<Context>,
    fold: RefCell<Fold>,
}

impl Configuration {
    pub(super) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            fold: RefCell::default(),
        }
    }

    pub(super) fn since(&self, revision: u64) -> Update {
        self.fold.borrow().since(revision)
    }

    pub(super) async fn run(self: Rc<Self>) {
        let context = &self.context;
        let Ok(platform) = Platform::new(context.settings.platform_address, context.clock).await
        else {
            return;
        };
        let mut is_up = true;
        let mut seen = 0;
        let mut stale_at_us = 0;
        loop {
            let result = self.follow(&platform, &mut seen).await;
            context.note_platform(result.is_ok());
            let now_us = context.clock.now_us();
            if result.is_ok() {
                stale_at_us = now_us + KEYS_STALE_AFTER_US;
            }
            context.set_keys_stale(now_us >= stale_at_us);
            if result.is_ok() != is_up {
                is_up = result.is_ok();
                self.log_platform(is_up);
            }
            if !is_up {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Applies what was accepted and waits for the next change.
    async fn follow(&self, platform: &Platform, seen: &mut u64) -> PlatformResult<()> {
        let clock = self.context.clock;
        let mut fold = self.fold.borrow().clone();
        let before = fold.revision();
        let revision = advance(platform, &mut fold, clock.now_us() + READ_WITHIN_US).await?;
        if revision > before {
            self.apply(fold);
        }
        let deadline_us = clock.now_us() + WATCH_MS * 1_000 + READ_WITHIN_US;
        let changes = platform
            .watch(HEAD_KEY, *seen, WATCH_MS, deadline_us)
            .await?;
        *seen = changes.revision;
        Ok(())
    }

    fn apply(&self, fold: Fold) {
        info!(self.context.log, "configuration was applied";
            "event" => Event::RevisionApplied, "revision" => fold.revision());
        self.context.publish(fold.publish());
        *self.fold.borrow_mut() = fold;
    }

    fn log_platform(&self, is_up: bool) {
        if is_up {
            info!(self.context.log, "object API answers again"; "event" => Event::PlatformUp);
        } else {
            warn!(self.context.log, "object API does not answer"; "event" => Event::PlatformDown);
        }
    }
}
