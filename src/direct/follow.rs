//! Follows the objects of the platform on the control thread.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use slog::{
    Logger,
    info,
    warn, //
};

use super::platform::{
    ObjectChange,
    ObjectChanges,
    Store,
    StoreError,
    Topic, //
};
use crate::{
    clock::Clock,
    event::Event, //
};

/// Returns the time for which a watch waits for a change. It bounds how long a
/// silent connection goes unnoticed; each call is charged.
const fn watch_wait_ms(topic: Topic) -> u64 {
    match topic {
        // Both have to be followed within two seconds.
        Topic::Configuration | Topic::Targets => 1_500,
        Topic::Weights => 3_000,
        Topic::Entries => 20_000,
    }
}

/// Time that an answer of the store may take beyond the wait. Slow answers take
/// about a fifth of a second.
const ANSWER_LIMIT_MS: u64 = 1_000;

/// Pause after a failed call; each call to the store is charged.
const PAUSE: Duration = Duration::from_millis(250);

/// Pause after changes of the targets, so that one call brings many of them.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Whether the store answers.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_down: Cell<bool>,
    recovered_at_us: Cell<Option<u64>>,
    answered_at_us: Cell<u64>,
}

impl StoreHealth {
    /// Returns when the store answered again after its last outage.
    pub(super) fn recovered_at_us(&self) -> Option<u64> {
        self.recovered_at_us.get()
    }

    /// Returns whether the last call failed.
    pub(super) fn is_down(&self) -> bool {
        self.is_down.get()
    }

    fn answered(&self, log: &Logger, now_us: u64) {
        if self.is_down.replace(false) {
            let silent_us = now_us.saturating_sub(self.answered_at_us.get());
            info!(log, "the object store answers again";
                "event" => Event::PlatformUp, "silent_us" => silent_us);
            self.recovered_at_us.set(Some(now_us));
        }
        self.answered_at_us.set(now_us);
    }

    fn failed(&self, log: &Logger, topic: Topic, error: &StoreError) {
        if !self.is_down.replace(true) {
            warn!(log, "the object store does not answer";
                "event" => Event::PlatformDown,
                "topic" => ?topic,
                "error" => %error);
        }
    }
}

/// Changes of a topic, with whether they are all objects of it.
pub(super) struct TopicChanges {
    pub(super) topic: Topic,
    pub(super) changes: ObjectChanges,
    pub(super) is_listing: bool,
}

/// Interval between looks whether other entries still tell what the store says.
const FED_STEP: Duration = Duration::from_millis(100);

/// Follows a topic until the process ends and hands all changes over. While
/// `is_following_peers` holds, other entries tell the changes and the store is left alone.
pub(super) async fn follow<S: Store>(
    store: S,
    topic: Topic,
    health: Rc<StoreHealth>,
    clock: Clock,
    log: Logger,
    is_following_peers: impl Fn() -> bool,
    mut take: impl FnMut(TopicChanges),
) {
    let mut revision = None;
    loop {
        while is_following_peers() {
            // What is missed meanwhile is listed.
            revision = None;
            tokio::time::sleep(FED_STEP).await;
        }
        let result = match revision {
            None => store.list(topic, ANSWER_LIMIT_MS).await,
            Some(revision) => {
                let wait_ms = watch_wait_ms(topic);
                let timeout_ms = wait_ms + ANSWER_LIMIT_MS;
                store.watch(topic, revision, wait_ms, timeout_ms).await
            }
        };
        match result {
            Ok(changes) => {
                health.answered(&log, clock.now_us());
                report_unreadable(&log, topic, &changes);
                let is_listing = revision.replace(changes.revision).is_none();
                if is_listing || !changes.changes.is_empty() {
                    take(TopicChanges {
                        topic,
                        changes,
                        is_listing,
                    });
                    if topic == Topic::Targets {
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
            }
            Err(StoreError::HistoryGone) => {
                info!(log, "the history of the object store is gone";
                    "event" => Event::PlatformUp, "topic" => ?topic, "revision" => revision);
                revision = None;
            }
            Err(error) => {
                health.failed(&log, topic, &error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn report_unreadable(log: &Logger, topic: Topic, changes: &ObjectChanges) {
    for change in &changes.changes {
        if let ObjectChange::Unreadable(name, reason) = change {
            warn!(log, "an object cannot be read";
                "event" => Event::RevisionRejected,
                "topic" => ?topic,
                "object" => &**name,
                "error" => reason);
        }
    }
}
