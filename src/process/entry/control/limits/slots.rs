//! Slots that may hold shares: registrations in the object API.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::{
    Control,
    epoch::CALL_WITHIN_US, //
};
use crate::{
    names::Name,
    process::{
        membership::Membership,
        platform::{
            Condition,
            Platform,
            PlatformError,
            PlatformResult, //
        },
    },
};

const SLOT_PREFIX: &str = "limits/slots/";

/// Returns when the instance of a slot counts as gone; `None` also when a
/// process was heard of after that, which the platform's list may not show yet.
fn gone_at_us(members: &Membership, slot: &str) -> Option<u64> {
    let gone_at_us = members.removal_proven_at_us(slot)?;
    let heard_at_us = members.last_report_at_us(slot);
    let is_heard = heard_at_us.is_some_and(|heard_at_us| heard_at_us > gone_at_us);
    (!is_heard).then_some(gone_at_us)
}

impl Control {
    pub(super) async fn register_slot(&self, platform: &Platform) -> PlatformResult<()> {
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

    /// Removes the registration of a slot that holds nothing any more.
    pub(super) async fn unregister_slot(&self, platform: &Platform, slot: &str) {
        let key = format!("{SLOT_PREFIX}{slot}");
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        // A registration that stays only delays the next recovery.
        if let Ok(Some(stored)) = platform.get(&key, deadline_us).await {
            let _ = platform.delete(&key, stored.version, deadline_us).await;
        }
    }

    /// Reads the slots and adds new ones to the ledgers of this entry.
    pub(super) async fn read_slots(&self, platform: &Platform) -> PlatformResult<()> {
        let mut slots = self.list_slots(platform).await?;
        let gone: Vec<Name> = slots
            .iter()
            .filter(|slot| self.is_proven_gone(slot))
            .cloned()
            .collect();
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

    pub(super) async fn list_slots(&self, platform: &Platform) -> PlatformResult<BTreeSet<Name>> {
        let deadline_us = || self.context.clock.now_us() + CALL_WITHIN_US;
        let objects = platform.list_all(SLOT_PREFIX, "", deadline_us).await?;
        let slots = objects
            .iter()
            .filter_map(|object| object.key.strip_prefix(SLOT_PREFIX).map(Name::from));
        Ok(slots.collect())
    }

    /// Tells the ledgers which slots the platform has removed.
    pub(super) fn note_removed_slots(&self) {
        let fleet = self.fleet.borrow();
        let registered = self.limits.slots.borrow();
        let slots = registered.union(&self.limits.entry_slots);
        let removed: Vec<(&Name, u64)> = slots
            .filter_map(|slot| Some((slot, gone_at_us(&fleet.members, slot)?)))
            .collect();
        let mut groups = self.limits.groups.borrow_mut();
        for group in groups.values_mut() {
            if let Some(ledger) = group.participant.ledger() {
                for (slot, gone_at_us) in &removed {
                    ledger.remove_slot(slot, *gone_at_us);
                }
            }
        }
    }

    /// Returns whether the platform removed the instance of a slot and the
    /// grace period has passed.
    pub(super) fn is_proven_gone(&self, slot: &Name) -> bool {
        let gone_at_us = gone_at_us(&self.fleet.borrow().members, slot);
        gone_at_us.is_some_and(|gone_at_us| gone_at_us <= self.context.clock.now_us())
    }
}
