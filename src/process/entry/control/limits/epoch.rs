//! Who is the ledger of a group: epochs in the object API.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use slog::info;

use super::{
    Control,
    GROUPS, //
};
use crate::{
    clock::US_PER_S,
    error::ErrorKind,
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        limits::{
            ledger::Ledger,
            message::{
                Epoch,
                HolderId, //
            },
        },
        platform::{
            Condition,
            ObjectVersion,
            Platform,
            PlatformError,
            PlatformResult, //
        },
    },
};

const EPOCH_PREFIX: &str = "limits/epochs/";

/// Interval between checks whether this entry should take over a ledger.
const CHECK: Duration = Duration::from_millis(500);

/// Bound for one call.
pub(super) const CALL_WITHIN_US: u64 = 2 * US_PER_S;

/// Time between reads of the slots by a ledger.
const SLOTS_EVERY_US: u64 = 5 * US_PER_S;

/// Ledger of a group, stored in the object API.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EpochRecord {
    epoch: u64,
    slot: Name,
    incarnation: Incarnation,
}

impl EpochRecord {
    fn epoch(&self) -> Epoch {
        let ledger = HolderId {
            slot: self.slot.clone(),
            incarnation: self.incarnation,
        };
        Epoch::acquired(self.epoch, ledger)
    }
}

/// Returns whether a call failed because the object API does not work.
fn is_outage(error: &PlatformError) -> bool {
    error.kind() == ErrorKind::PlatformUnavailable
}

impl Control {
    /// Registers this slot and takes over ledgers where this entry is the
    /// preferred one and the present one is gone.
    pub(super) async fn keep_epochs(self: Rc<Self>) {
        let Some(platform) = self.platform().await else {
            return;
        };
        let mut read_at_us = 0;
        loop {
            if self.limits.is_leaving.get() {
                if self.limits.is_registered.get() && self.limits.is_empty() {
                    self.unregister_slot(&platform, &self.limits.id.slot).await;
                    self.limits.is_registered.set(false);
                }
                tokio::time::sleep(CHECK).await;
                continue;
            }
            // Every step is repeated until it succeeds.
            let mut is_reachable = self.join(&platform).await;
            let now_us = self.context.clock.now_us();
            if is_reachable && self.limits.has_ledger() && now_us >= read_at_us {
                read_at_us = now_us + SLOTS_EVERY_US;
                let _ = self.read_slots(&platform).await;
            }
            for group in 0..GROUPS {
                if !self.wants_ledger(group) {
                    continue;
                }
                is_reachable = is_reachable && self.acquire_ledger(&platform, group).await;
                if !is_reachable && self.limits.takes_part.get() {
                    self.take_provisional_ledger(group);
                }
            }
            tokio::time::sleep(CHECK).await;
        }
    }

    /// Registers the slot unless that was done; returns whether the object API
    /// can be reached.
    async fn join(&self, platform: &Platform) -> bool {
        if self.limits.is_registered.get() {
            return true;
        }
        let joined = self.register(platform).await;
        // During an outage the entry follows the epochs that its peers name, so
        // that a restarted one serves.
        let is_out = joined.is_err() && self.context.has_config();
        self.limits.takes_part.set(joined.is_ok() || is_out);
        !joined.is_err_and(|error| is_outage(&error))
    }

    /// Registers the slot and then reads the epochs.
    ///
    /// A slot is registered before it holds anything, so that a new ledger
    /// knows whom to ask; it knows the epochs before it takes part, so that it
    /// does not follow a ledger that has been replaced.
    async fn register(&self, platform: &Platform) -> PlatformResult<()> {
        self.register_slot(platform).await?;
        for group in 0..GROUPS {
            if !self.limits.groups.borrow().contains_key(&group) {
                continue;
            }
            let stored = self.epoch_record(platform, group).await?;
            if let Some((record, _)) = stored {
                self.observe_epoch(group, &record.epoch());
            }
        }
        self.limits.is_registered.set(self.context.has_config());
        Ok(())
    }

    async fn epoch_record(
        &self,
        platform: &Platform,
        group: u16,
    ) -> PlatformResult<Option<(EpochRecord, ObjectVersion)>> {
        let key = format!("{EPOCH_PREFIX}{group}");
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        let Some(stored) = platform.get(&key, deadline_us).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&stored.value)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        Ok(Some((record, stored.version)))
    }

    fn wants_ledger(&self, group: u16) -> bool {
        let mut groups = self.limits.groups.borrow_mut();
        let Some(state) = groups.get_mut(&group) else {
            return false;
        };
        let has_ledger = state.participant.has_ledger();
        // A provisional epoch is replaced as soon as the object API answers.
        let needs_new_epoch = state
            .participant
            .ledger()
            .is_some_and(|ledger| ledger.needs_new_epoch() || ledger.epoch().is_provisional());
        drop(groups);
        let is_preferred = self.preferred_ledger(group).as_ref() == Some(&self.limits.id.slot);
        !self.limits.is_leaving.get() && is_preferred && (!has_ledger || needs_new_epoch)
    }

    /// Takes over a ledger; returns whether the object API can be reached.
    async fn acquire_ledger(&self, platform: &Platform, group: u16) -> bool {
        // A new ledger asks the registered slots, so it has to be one of them.
        if !self.limits.is_registered.get() {
            return true;
        }
        let taken = self.take_ledger(platform, group).await;
        !taken.is_err_and(|error| is_outage(&error))
    }

    async fn take_ledger(&self, platform: &Platform, group: u16) -> PlatformResult<()> {
        let key = format!("{EPOCH_PREFIX}{group}");
        let (record, condition) = match self.epoch_record(platform, group).await? {
            None => (None, Condition::Absent),
            Some((record, version)) => (Some(record), Condition::Version(version)),
        };
        if let Some(record) = &record
            && self.is_served_by(group, record)
        {
            return Ok(());
        }
        let known = self.followed_epoch(group).acquired;
        let epoch = record.map_or(0, |record| record.epoch).max(known) + 1;
        self.acquire(platform, &key, group, epoch, condition)
            .await?;
        Ok(())
    }

    /// Returns whether the recorded ledger still works, in which case it stays.
    fn is_served_by(&self, group: u16, record: &EpochRecord) -> bool {
        if record.incarnation == self.limits.id.incarnation {
            // A lost answer or a reserve that only a new epoch can recover.
            return false;
        }
        let epoch = record.epoch();
        self.observe_epoch(group, &epoch);
        // A provisional epoch may have replaced the recorded one.
        self.followed_epoch(group) == epoch && self.is_serving(&epoch.ledger)
    }

    async fn acquire(
        &self,
        platform: &Platform,
        key: &str,
        group: u16,
        epoch: u64,
        condition: Condition,
    ) -> PlatformResult<ObjectVersion> {
        let record = EpochRecord {
            epoch,
            slot: self.limits.id.slot.clone(),
            incarnation: self.limits.id.incarnation,
        };
        let value = serde_json::to_vec(&record)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        // After a lost answer the next round finds the own incarnation in the
        // record and takes another epoch.
        let version = platform
            .put(key, value.into(), condition, deadline_us)
            .await?;
        let slots = self.list_slots(platform).await?;
        self.lead(group, record.epoch(), slots);
        Ok(version)
    }

    fn lead(&self, group: u16, epoch: Epoch, mut slots: BTreeSet<Name>) {
        info!(self.context.log, "entry is the ledger of a group";
            "event" => Event::LedgerTaken, "group" => group, "epoch" => epoch.acquired);
        let now_us = self.context.clock.now_us();
        *self.limits.slots.borrow_mut() = slots.clone();
        // A slot that started during an outage may hold shares of a provisional
        // ledger although it is not registered.
        slots.extend(self.limits.entry_slots.iter().cloned());
        if let Some(state) = self.limits.groups.borrow_mut().get_mut(&group) {
            let ledger = Ledger::new(group, epoch, slots.into_iter().collect());
            state.participant.become_ledger(ledger);
        }
        let config = self.context.config.load();
        self.limits.set_limits(&config, now_us);
    }
}
