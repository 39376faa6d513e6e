//! Who is the ledger of a group: epochs and slots in the object API.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
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
    event::Event,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        limits::ledger::Ledger,
        membership::Role,
        platform::{
            Condition,
            ObjectVersion,
            Platform,
            PlatformError,
            PlatformResult, //
        },
    },
};

const SLOT_PREFIX: &str = "limits/slots/";

const EPOCH_PREFIX: &str = "limits/epochs/";

/// Interval between checks whether this entry should take over a ledger.
const CHECK: Duration = Duration::from_millis(500);

/// Bound for one call.
const CALL_WITHIN_US: u64 = 2 * US_PER_S;

/// Time between reads of the slots by a ledger.
const SLOTS_EVERY_US: u64 = 5 * US_PER_S;

/// Ledger of a group, stored in the object API.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EpochRecord {
    epoch: u64,
    slot: Name,
    incarnation: Incarnation,
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
            if !self.limits.is_registered.get() {
                let joined = self.join(&platform).await;
                // During an outage the entry follows the epochs that its peers
                // name, so that a restarted one serves.
                let is_out = joined.is_err() && self.context.has_config();
                self.limits.takes_part.set(joined.is_ok() || is_out);
            }
            let now_us = self.context.clock.now_us();
            if self.limits.is_registered.get() && now_us >= read_at_us {
                read_at_us = now_us + SLOTS_EVERY_US;
                let _ = self.read_slots(&platform).await;
            }
            for group in 0..GROUPS {
                if self.wants_ledger(group) {
                    let _ = self.take_ledger(&platform, group).await;
                }
            }
            tokio::time::sleep(CHECK).await;
        }
    }

    /// Registers the slot and then reads the epochs.
    ///
    /// A slot is registered before it holds anything, so that a new ledger
    /// knows whom to ask; it knows the epochs before it takes part, so that it
    /// does not follow a ledger that has been replaced.
    async fn join(&self, platform: &Platform) -> PlatformResult<()> {
        self.register_slot(platform).await?;
        for group in 0..GROUPS {
            if !self.limits.groups.borrow().contains_key(&group) {
                continue;
            }
            let stored = self.epoch_record(platform, group).await?;
            let record = stored.map(|(record, _)| record);
            let mut groups = self.limits.groups.borrow_mut();
            if let (Some(record), Some(state)) = (record, groups.get_mut(&group)) {
                state.participant.observe_epoch(record.epoch);
                state.ledger = Some(record.slot);
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

    async fn register_slot(&self, platform: &Platform) -> PlatformResult<()> {
        let key = format!("{SLOT_PREFIX}{}", self.limits.id.slot);
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        let put = platform.put(
            &key,
            Bytes::from_static(b"{}"),
            Condition::Absent,
            deadline_us,
        );
        match put.await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn read_slots(&self, platform: &Platform) -> PlatformResult<()> {
        let mut slots = self.list_slots(platform).await?;
        let now_us = self.context.clock.now_us();
        let is_gone = |slot: &Name| {
            let gone_at_us = self.fleet.borrow().members.removed_gone_at_us(slot);
            gone_at_us.is_some_and(|gone_at_us| gone_at_us <= now_us)
        };
        let gone: Vec<Name> = slots.iter().filter(|slot| is_gone(slot)).cloned().collect();
        for slot in gone {
            self.unregister_slot(platform, &slot).await;
            slots.remove(&slot);
        }
        *self.limits.slots.borrow_mut() = slots.clone();
        let mut groups = self.limits.groups.borrow_mut();
        for group in groups.values_mut() {
            if let Some(ledger) = group.participant.ledger() {
                for slot in &slots {
                    ledger.add_slot(slot.clone());
                }
            }
        }
        Ok(())
    }

    async fn list_slots(&self, platform: &Platform) -> PlatformResult<BTreeSet<Name>> {
        let mut slots = BTreeSet::new();
        let mut after = String::new();
        loop {
            let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
            let listing = platform.list(SLOT_PREFIX, &after, deadline_us).await?;
            for object in &listing.objects {
                slots.extend(object.key.strip_prefix(SLOT_PREFIX).map(Name::from));
            }
            match listing.objects.last() {
                Some(last) if listing.more => after = last.key.to_string(),
                _ => return Ok(slots),
            }
        }
    }

    fn wants_ledger(&self, group: u16) -> bool {
        let mut groups = self.limits.groups.borrow_mut();
        let Some(state) = groups.get_mut(&group) else {
            return false;
        };
        let has_ledger = state.participant.has_ledger();
        let wants_epoch = state
            .participant
            .ledger()
            .is_some_and(|ledger| ledger.wants_epoch());
        drop(groups);
        let is_preferred = self.preferred_ledger(group).as_ref() == Some(&self.limits.id.slot);
        !self.limits.is_leaving.get() && is_preferred && (!has_ledger || wants_epoch)
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
        let epoch = record.map_or(0, |record| record.epoch) + 1;
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
        let fleet = self.fleet.borrow();
        let mut serving = fleet.members.serving(Role::Entry);
        let is_live = serving
            .any(|report| report.name == record.slot && report.incarnation == record.incarnation);
        if is_live && let Some(state) = self.limits.groups.borrow_mut().get_mut(&group) {
            state.participant.observe_epoch(record.epoch);
            state.ledger = Some(record.slot.clone());
        }
        is_live
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
        self.lead(group, epoch, slots);
        Ok(version)
    }

    fn lead(&self, group: u16, epoch: u64, slots: BTreeSet<Name>) {
        info!(self.context.log, "entry is the ledger of a group";
            "event" => Event::LedgerTaken, "group" => group, "epoch" => epoch);
        let now_us = self.context.clock.now_us();
        *self.limits.slots.borrow_mut() = slots.clone();
        if let Some(state) = self.limits.groups.borrow_mut().get_mut(&group) {
            let ledger = Ledger::new(group, epoch, slots.into_iter().collect());
            state.participant.lead(ledger);
            state.ledger = Some(self.limits.id.slot.clone());
        }
        let config = self.context.config.load();
        self.limits.set_limits(&config, now_us);
    }

    /// Tells the ledgers which slots the platform has removed.
    pub(super) fn note_removed_slots(&self) {
        let fleet = self.fleet.borrow();
        let slots = self.limits.slots.borrow();
        let mut groups = self.limits.groups.borrow_mut();
        for group in groups.values_mut() {
            let Some(ledger) = group.participant.ledger() else {
                continue;
            };
            for slot in slots.iter() {
                if let Some(gone_at_us) = fleet.members.removed_gone_at_us(slot) {
                    ledger.remove_slot(slot, gone_at_us);
                }
            }
        }
    }

    /// Removes the registration of a slot that holds nothing any more.
    pub(super) async fn unregister_slot(&self, platform: &Platform, slot: &str) {
        let key = format!("{SLOT_PREFIX}{slot}");
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        // A registration that stays only delays the next recovery.
        if let Ok(Some(stored)) = platform.get(&key, deadline_us).await {
            let _ = platform.delete(&key, stored.version, deadline_us).await;
        }
    }
}
