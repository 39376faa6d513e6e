//! Exchanges of an entry with other entries, on its control thread.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc, //
};

use error_stack::Report;
use slog::{
    info,
    warn, //
};

use super::{
    control::Control,
    exchange,
    peers::{
        self,
        ExchangeReply,
        ExchangeRequest, //
    },
    platform::Platform,
    quota,
    snapshot::{
        self,
        SnapshotRequest, //
    },
    watchers, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    event::Event, //
};

/// Shortest interval between log lines about failed exchanges.
const FAILURES_LOG_INTERVAL_US: u64 = US_PER_S;

/// Failed exchanges that are not logged yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailedExchanges {
    unlogged: u64,
    /// Earliest time of the next line.
    log_at_us: u64,
}

impl<P: Platform> Control<P> {
    /// Returns whether this entry gets the changes of the object store from
    /// watchers, and need not watch it itself.
    pub(super) fn is_following_peers(&self) -> bool {
        self.context.clock.now_us() < self.follow_peers_until_us.get()
    }

    /// Follows watchers instead of the object store until `until_us`, because one
    /// with access to the store has answered.
    fn note_following_peers(&self, until_us: u64, watcher: SocketAddr) {
        if !self.is_following_peers() {
            info!(self.context.log, "other entries watch the object store for this one";
                "event" => Event::StoreLeftToOthers,
                "source" => %watcher);
        }
        let known_until_us = self.follow_peers_until_us.get();
        self.follow_peers_until_us.set(until_us.max(known_until_us));
    }

    /// Returns the control addresses of the entries that watch the object store for
    /// this one.
    fn assigned_watchers(&self) -> BTreeSet<SocketAddr> {
        let platform_state = self.platform_state.borrow();
        let entries = &platform_state.entries;
        let sources = watchers::sources(&self.context.settings.get().name, entries.keys());
        let address = |name| entries.get(name).map(|entry| entry.control_address);
        sources.into_iter().filter_map(address).collect()
    }

    /// Determines until when this entry hears of changes, and logs when that has ended and
    /// when it begins again. An entry without others goes on alone.
    pub(super) fn update_isolation(&self, others: &BTreeSet<SocketAddr>) {
        let store_answered_at_us = self.health.answered_at_us();
        let peer_heard_at_us = self.context.peer_heard_at_us();
        let bound_us = self.context.settings.get().apply_ms * US_PER_MS;
        self.context.set_isolated_at(if others.is_empty() {
            u64::MAX
        } else {
            watchers::isolated_at_us(store_answered_at_us, peer_heard_at_us, bound_us)
        });
        let is_isolated = self.context.is_isolated();
        if self.is_isolated.replace(is_isolated) == is_isolated {
            return;
        }
        if is_isolated {
            warn!(self.context.log, "neither the object store nor another entry answers";
                "event" => Event::EntryIsolated,
                "store_answered_at_us" => store_answered_at_us,
                "entry_heard_at_us" => peer_heard_at_us,
                "entries" => others.len());
        } else {
            info!(self.context.log, "the object store or another entry answers";
                "event" => Event::EntryConnected,
                "config_version" => self.configuration_version());
        }
    }

    /// Returns the control addresses of the other entries.
    pub(super) fn other_entries(&self) -> BTreeSet<SocketAddr> {
        let settings = self.context.settings.get();
        let platform_state = self.platform_state.borrow();
        let own_address = settings.control_address;
        peers::addresses(&platform_state, &settings.peers, Some(own_address))
    }

    /// Starts the exchanges with other entries that are due, or all of them when an
    /// organisation has used much since the last urgent report.
    pub(super) fn start_exchanges(
        self: &Rc<Self>,
        addresses: BTreeSet<SocketAddr>,
        next_us: &mut BTreeMap<SocketAddr, u64>,
        urgent_at_us: &mut u64,
        now_us: u64,
    ) {
        let interval_us = quota::exchange_interval_us(addresses.len() + 1);
        if now_us >= *urgent_at_us && self.context.quotas().take_urgent_report() {
            *urgent_at_us = now_us + quota::URGENT_INTERVAL_US;
            next_us.clear();
        }
        next_us.retain(|address, _| addresses.contains(address));
        let assigned_watchers = self.assigned_watchers();
        for address in addresses {
            let due_us = next_us.entry(address).or_insert(now_us);
            if now_us < *due_us {
                continue;
            }
            let is_assigned_watcher = assigned_watchers.contains(&address);
            *due_us = now_us
                + if is_assigned_watcher {
                    interval_us.min(watchers::SOURCE_INTERVAL_US)
                } else {
                    interval_us
                };
            let control = Rc::clone(self);
            ntex::rt::spawn(async move { control.exchange(address, is_assigned_watcher).await });
        }
    }

    /// Counts a failed exchange, and logs one line for all that failed within a second.
    fn note_failed_exchange(&self, address: SocketAddr, error: &Report<ErrorKind>) {
        self.context.metrics.failed_exchanges.inc();
        let now_us = self.context.clock.now_us();
        let mut failures = self.failed_exchanges.get();
        failures.unlogged += 1;
        if now_us >= failures.log_at_us {
            info!(self.context.log, "exchanges with other entries fail";
                "event" => Event::ExchangesFail,
                "failed" => failures.unlogged,
                "entry" => %address,
                "error" => ?error);
            failures = FailedExchanges {
                unlogged: 0,
                log_at_us: now_us + FAILURES_LOG_INTERVAL_US,
            };
        }
        self.failed_exchanges.set(failures);
    }

    /// Counts an exchange with another entry. Returns its answer, `None` when it failed.
    fn count_exchange<T>(&self, address: SocketAddr, answered: Result<(T, usize)>) -> Option<T> {
        match answered {
            Ok((answer, bytes)) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.context.metrics.exchange_bytes.inc_by(bytes);
                Some(answer)
            }
            Err(error) => {
                self.note_failed_exchange(address, &error);
                None
            }
        }
    }

    /// Exchanges state with another entry and applies its answer.
    /// `is_assigned_watcher` is whether that entry watches the object store for this
    /// one.
    async fn exchange(self: Rc<Self>, address: SocketAddr, is_assigned_watcher: bool) {
        let exchange_request = ExchangeRequest {
            entry: Some(exchange::own_state(&self.context)),
            configuration: self.context.announcement(),
            // Entries take the list of entries from the object store.
            entries_digest: None,
            engine: None,
            cache: None,
        };
        // The use of an entry that does not answer is charged by
        // `Quotas::charge_assumed_use`.
        let answered = peers::exchange(&self.client, address, &exchange_request).await;
        let Some(reply) = self.count_exchange(address, answered) else {
            return;
        };
        let now_us = self.context.clock.now_us();
        if is_assigned_watcher
            && reply.store_fresh_for_us > 0
            && self.platform_state.borrow().has_initial_state()
        {
            let until_us = watchers::follow_until_us(now_us, reply.store_fresh_for_us);
            self.note_following_peers(until_us, address);
        }
        if let Some(entry) = &reply.entry {
            self.context.merge_entry_state(entry);
        }
        if let Some(announcement) = reply.configuration {
            self.context.note_configuration(address, announcement);
        }
        let snapshot_request = self.missing(&reply, is_assigned_watcher);
        let before = self.configuration_version();
        let is_new = peers::apply_reply(&mut self.platform_state.borrow_mut(), reply, now_us);
        if is_new {
            self.publish(before, "entry");
        }
        if !snapshot_request.is_empty() && !self.is_fetching.replace(true) {
            self.fetch_snapshot(address, snapshot_request).await;
            self.is_fetching.set(false);
        }
    }

    /// Returns the request for what another entry announces and this one lacks.
    fn missing(&self, reply: &ExchangeReply, is_assigned_watcher: bool) -> SnapshotRequest {
        let platform_state = self.platform_state.borrow();
        let own_version = self.configuration_version();
        let own_revision = platform_state.targets_revision;
        // Otherwise the list of targets comes from the store.
        let wants_targets =
            is_assigned_watcher || self.health.is_down() || !platform_state.has_targets;
        let has_later_version = reply
            .configuration
            .is_some_and(|announcement| announcement.version > own_version);
        let has_later_targets = reply
            .targets_revision
            .is_some_and(|revision| revision > own_revision);
        SnapshotRequest {
            configuration_version: has_later_version.then_some(own_version),
            targets_revision: (wants_targets && has_later_targets).then_some(own_revision),
        }
    }

    /// Fetches what this entry lacks from another one and applies it.
    async fn fetch_snapshot(&self, address: SocketAddr, snapshot_request: SnapshotRequest) {
        let fetched = snapshot::fetch(&self.client, address, snapshot_request).await;
        let Some(snapshot) = self.count_exchange(address, fetched) else {
            return;
        };
        if let Some(own_version) = snapshot_request.configuration_version {
            let version = snapshot.configuration_version().unwrap_or(own_version);
            self.context.config_lag().retract_after(version);
        }
        let before = self.configuration_version();
        let is_new = snapshot.apply(&mut self.platform_state.borrow_mut());
        if is_new {
            self.publish(before, "entry");
        }
    }
}
