//! Keeps the configuration of an entry up to date.
//!
//! Two entries of a data centre read the head of the log, all others learn of
//! new revisions from digests and reports and fetch them from a peer.

use std::{
    rc::Rc,
    time::Duration, //
};

use slog::{
    info,
    warn, //
};

use super::Control;
use crate::{
    clock::US_PER_S,
    event::Event,
    process::platform::{
        InstanceRole,
        Platform,
        PlatformResult,
        configuration::advance, //
    },
    version::head::HEAD_KEY, //
};

/// Entries of a data centre that watch the object API.
const WATCHERS: usize = 2;

/// Age of the newest news in the data centre from which an entry without the
/// duty reads the object API itself, because those with the duty may be paused.
const NEWS_OLD_MS: u64 = 4_000;

/// Pause after such a read. While the object API is down, every entry makes
/// these calls.
const READ_SELDOM: Duration = Duration::from_secs(2);

/// Bound for reading the configuration. A withdrawal has to work within 5 s,
/// even when one answer is lost.
const READ_WITHIN_US: u64 = 2 * US_PER_S;

/// How long one watch call waits for a change. The head is read after each, so
/// that a watch that misses a change delays it by no more than this.
const WATCH_MS: u64 = 1_000;

/// Bound for a watch call that never answers.
const WATCH_WITHIN_US: u64 = 3 * US_PER_S / 2;

/// Pause after a failed call, or while others watch.
const PAUSE: Duration = Duration::from_millis(250);

/// Time between reads of the platform's list by an entry that watches.
const LIST_EVERY_US: u64 = 5 * US_PER_S;

/// Time between reads of the platform's list by any other entry.
const LIST_SELDOM_US: u64 = 60 * US_PER_S;

impl Control {
    /// Fetches newer revisions from peers.
    pub(super) async fn follow_peers(self: Rc<Self>) {
        let control = Rc::clone(&self);
        let on_change = move || control.revised.notify_one();
        self.store
            .fetch_updates(&self.peer_connections, on_change)
            .await;
    }

    /// Reads the object API while it is this entry's duty.
    pub(super) async fn follow_platform(self: Rc<Self>) {
        let Some(platform) = self.platform().await else {
            return;
        };
        let mut is_up = true;
        let mut seen = 0;
        loop {
            if !self.reads_platform() {
                // Fresh news of a peer means that the object API answers.
                self.context.note_platform(true);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            let is_read = self.read_platform(&platform).await.is_ok();
            self.context.note_platform(is_read);
            if is_read != is_up {
                is_up = is_read;
                self.log_platform(is_up);
            }
            if !self.has_duty() {
                tokio::time::sleep(READ_SELDOM).await;
            } else if !is_read || self.watch(&platform, &mut seen).await.is_err() {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// Reads the platform's list of instances.
    pub(super) async fn follow_list(self: Rc<Self>) {
        let Some(platform) = self.platform().await else {
            return;
        };
        let mut read_at_us = 0;
        loop {
            let now_us = self.context.clock.now_us();
            let is_often = self.has_duty() || self.is_alone();
            let every_us = if is_often {
                LIST_EVERY_US
            } else {
                LIST_SELDOM_US
            };
            if read_at_us == 0 || now_us >= read_at_us + every_us {
                read_at_us = now_us.max(1);
                // The list only adds candidates; the next read may succeed.
                let _ = self.read_list(&platform).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    pub(super) async fn platform(&self) -> Option<Platform> {
        let address = self.context.settings.platform_address;
        let made = Platform::new(address, self.context.clock).await;
        made.inspect_err(|error| {
            warn!(self.context.log, "object API client failed";
                "event" => Event::PlatformDown, "error" => %error);
        })
        .ok()
    }

    fn has_duty(&self) -> bool {
        self.fleet.borrow().has_duty(WATCHERS)
    }

    fn reads_platform(&self) -> bool {
        let now_us = self.context.clock.now_us();
        let age_ms = self.freshness.borrow().api_answer_age_ms(now_us);
        let is_old = age_ms.is_none_or(|age_ms| age_ms >= NEWS_OLD_MS);
        self.has_duty() || self.store.revision() == 0 || is_old
    }

    async fn read_platform(&self, platform: &Platform) -> PlatformResult<()> {
        let sent_at_us = self.context.clock.now_us();
        let mut fold = self.store.fold();
        let result = advance(platform, &mut fold, sent_at_us + READ_WITHIN_US).await;
        // What was read before a failure is valid.
        if self.store.replace_if_newer(fold) {
            self.revised.notify_one();
        }
        result?;
        let mut freshness = self.freshness.borrow_mut();
        freshness.hear_platform(sent_at_us);
        self.context.note_freshness(&freshness);
        Ok(())
    }

    async fn watch(&self, platform: &Platform, seen: &mut u64) -> PlatformResult<()> {
        let deadline_us = self.context.clock.now_us() + WATCH_WITHIN_US;
        let changes = platform
            .watch(HEAD_KEY, *seen, WATCH_MS, deadline_us)
            .await?;
        *seen = changes.revision;
        Ok(())
    }

    async fn read_list(&self, platform: &Platform) -> PlatformResult<()> {
        let now_us = self.context.clock.now_us();
        let list = platform.instances(now_us + READ_WITHIN_US).await?;
        let own = &self.context.settings.data_centre;
        let names = list.iter().map(|record| record.name.clone()).collect();
        let mut fleet = self.fleet.borrow_mut();
        fleet.members.set_platform_list(names, now_us);
        fleet.members.forget(now_us);
        let mut contacts = self.contacts.borrow_mut();
        for record in &list {
            let is_wanted = record.role == InstanceRole::Entry || record.data_centre == *own;
            if is_wanted && !fleet.is_member(&record.control_address) {
                contacts.introduce(record.control_address);
            }
        }
        Ok(())
    }

    fn log_platform(&self, is_up: bool) {
        if is_up {
            info!(self.context.log, "object API answers again"; "event" => Event::PlatformUp);
        } else {
            warn!(self.context.log, "object API does not answer"; "event" => Event::PlatformDown);
        }
    }
}
