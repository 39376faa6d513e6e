//! Follows the changes of the platform's objects on the control thread.

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

use super::{
    platform::{
        ObjectChange,
        ObjectChanges,
        Store,
        StoreError,
        Topic, //
    },
    watchers::Freshness,
};
use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    event::Event, //
};

/// Returns the time for which a watch waits for a change. It bounds how long a
/// broken connection goes unnoticed. A shorter one costs more calls, each of which
/// is charged.
const fn watch_wait_ms(topic: Topic) -> u64 {
    match topic {
        // Changes of both have to be in force within two seconds.
        Topic::Configuration | Topic::Targets => 1_500,
        Topic::Weights | Topic::Rollouts => 3_000,
        // In force within five seconds, also when the first watch has lost its connection
        // and ends only with its time limit.
        Topic::Evacuations => 2_000,
        Topic::Entries => 30_000,
    }
}

/// Time limit of an answer of the store, beyond the wait of a watch. Slow answers
/// take about a fifth of a second.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Pause after a failed call; each call to the store is charged.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Returns the pause after changes, so that one call brings many of them. Without it,
/// each of the changes costs as many calls as there are watching processes.
const fn batch_pause(topic: Topic) -> Duration {
    match topic {
        // In force within two seconds, of which other entries need a third.
        Topic::Targets => Duration::from_millis(400),
        // All entries register at the start, and all of them watch the entries.
        Topic::Entries => Duration::from_millis(1_500),
        Topic::Configuration | Topic::Weights | Topic::Rollouts | Topic::Evacuations => {
            Duration::ZERO
        }
    }
}

/// Availability of the object store as seen by this process.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_down: Cell<bool>,
    recovered_at_us: Cell<Option<u64>>,
    answered_at_us: Cell<u64>,
    freshness: Cell<Freshness>,
}

impl StoreHealth {
    /// Returns when the store answered again after its last outage, `None` when
    /// there was none.
    pub(super) fn recovered_at_us(&self) -> Option<u64> {
        self.recovered_at_us.get()
    }

    /// Returns whether the last call failed.
    pub(super) fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Returns when the store last answered, 0 before that.
    pub(super) fn answered_at_us(&self) -> u64 {
        self.answered_at_us.get()
    }

    /// Returns until when what this process has of the store counts as current.
    pub(super) fn fresh_until_us(&self) -> u64 {
        self.freshness.get().until_us()
    }

    fn record_answer(&self, log: &Logger, topic: Topic, now_us: u64) {
        let mut freshness = self.freshness.get();
        let pause_us = u64::try_from(batch_pause(topic).as_micros()).unwrap_or(u64::MAX);
        let next_answer_us = now_us + pause_us + watch_wait_ms(topic) * US_PER_MS;
        freshness.record_answer(topic, next_answer_us);
        self.freshness.set(freshness);
        if self.is_down.replace(false) {
            let silent_us = now_us.saturating_sub(self.answered_at_us.get());
            info!(log, "the object store answers again";
                "event" => Event::PlatformUp, "silent_us" => silent_us);
            self.recovered_at_us.set(Some(now_us));
        }
        self.answered_at_us.set(now_us);
    }

    fn record_failure(&self, log: &Logger, topic: Topic, error: &StoreError) {
        self.freshness.set(Freshness::default());
        if !self.is_down.replace(true) {
            warn!(log, "a call to the object store has failed";
                "event" => Event::PlatformDown,
                "topic" => ?topic,
                "error" => %error);
        }
    }
}

/// Changes of a topic's objects.
pub(super) struct TopicChanges {
    pub(super) topic: Topic,
    pub(super) changes: ObjectChanges,
    /// Whether the changes are a complete list of the topic's objects.
    pub(super) is_listing: bool,
}

/// Interval between checks whether other entries still report the store's changes.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows a topic until the process ends and passes all changes to `take`. While
/// `is_following_peers` returns true, other entries report the changes and the store
/// is not called.
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
    let mut is_refused = false;
    loop {
        while is_following_peers() {
            // The next call is a listing, as changes may have been missed.
            revision = None;
            tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        }
        let result = match revision {
            None => store.list(topic, ANSWER_TIMEOUT_MS).await,
            Some(revision) => {
                let wait_ms = watch_wait_ms(topic);
                let timeout_ms = wait_ms + ANSWER_TIMEOUT_MS;
                store.watch(topic, revision, wait_ms, timeout_ms).await
            }
        };
        match result {
            Ok(changes) => {
                health.record_answer(&log, topic, clock.now_us());
                report_unreadable(&log, topic, &changes);
                let is_listing = revision.replace(changes.revision).is_none();
                if is_listing || !changes.changes.is_empty() {
                    take(TopicChanges {
                        topic,
                        changes,
                        is_listing,
                    });
                    tokio::time::sleep(batch_pause(topic)).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                info!(log, "the object store no longer has these changes; listing all objects";
                    "event" => Event::PlatformUp, "topic" => ?topic, "revision" => revision);
                revision = None;
            }
            Err(StoreError::Refused(status))
                if topic == Topic::Evacuations && is_unknown(status) =>
            {
                if !is_refused {
                    info!(log, "the object store has no such objects; none are assumed";
                        "event" => Event::RevisionRejected, "topic" => ?topic, "status" => status);
                }
                is_refused = true;
                revision = None;
                take(TopicChanges {
                    topic,
                    changes: ObjectChanges::default(),
                    is_listing: true,
                });
                tokio::time::sleep(Duration::from_millis(watch_wait_ms(topic))).await;
            }
            Err(error) => {
                health.record_failure(&log, topic, &error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether a store that refuses a kind of objects with a status does not have it.
/// Some deployments have stores without evacuations; they are not down.
const fn is_unknown(status: u16) -> bool {
    matches!(status, 400 | 404 | 405)
}

fn report_unreadable(log: &Logger, topic: Topic, changes: &ObjectChanges) {
    for change in &changes.changes {
        if let ObjectChange::Unreadable(name, reason)
        | ObjectChange::UnreadableTarget(name, reason) = change
        {
            warn!(log, "an object in the object store cannot be read";
                "event" => Event::RevisionRejected,
                "topic" => ?topic,
                "object" => &**name,
                "error" => reason);
        }
    }
}
