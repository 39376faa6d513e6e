//! Ledgers while the object API cannot be reached.

use std::collections::BTreeSet;

use slog::info;

use super::Control;
use crate::{
    event::Event,
    names::Name,
    process::membership::Role, //
};

impl Control {
    /// Becomes the ledger of a group without the object API, when the settings
    /// allow it and the group has no ledger.
    pub(super) fn take_provisional_ledger(&self, group: u16) {
        if self.limits.entry_slots.is_empty() || !self.lacks_ledger(group) {
            return;
        }
        let slots = self.known_slots();
        // A ledger that waits for a silent slot lends nothing, and a new epoch
        // ends the grants of the deputies; without all slots nothing is won.
        if !self.are_serving(&slots) {
            return;
        }
        let epoch = {
            let mut groups = self.limits.groups.borrow_mut();
            let Some(state) = groups.get_mut(&group) else {
                return;
            };
            let slots = slots.into_iter().collect();
            state.participant.become_provisional_ledger(slots)
        };
        info!(self.context.log, "entry is the ledger of a group without the object API";
            "event" => Event::LedgerTaken, "group" => group,
            "epoch" => epoch.acquired, "provisional" => epoch.provisional);
        let config = self.context.config.load();
        self.limits.set_limits(&config, self.context.clock.now_us());
    }

    /// Adds entries that were heard of after a provisional epoch was taken.
    pub(super) fn add_known_slots(&self) {
        let mut groups = self.limits.groups.borrow_mut();
        let ledgers = groups
            .values_mut()
            .filter_map(|group| group.participant.ledger());
        let mut provisional = ledgers
            .filter(|ledger| ledger.epoch().is_provisional())
            .peekable();
        if provisional.peek().is_none() {
            return;
        }
        let slots = self.known_slots();
        for ledger in provisional {
            for slot in &slots {
                ledger.add_slot(slot.clone());
            }
        }
    }

    /// Returns whether the ledger of the epoch is gone, or has lost shares that
    /// a new epoch finds again.
    fn lacks_ledger(&self, group: u16) -> bool {
        let followed = self.followed_epoch(group);
        let mut groups = self.limits.groups.borrow_mut();
        let Some(state) = groups.get_mut(&group) else {
            return false;
        };
        if let Some(ledger) = state.participant.ledger() {
            return ledger.needs_new_epoch();
        }
        let is_silent = self.context.clock.now_us() >= state.ledger_silent_at_us;
        drop(groups);
        is_silent && !self.is_serving(&followed.ledger)
    }

    /// Returns all slots of which a process may hold shares or be a ledger.
    fn known_slots(&self) -> BTreeSet<Name> {
        let now_us = self.context.clock.now_us();
        let mut slots = self.limits.entry_slots.clone();
        slots.extend(self.limits.slots.borrow().iter().cloned());
        let fleet = self.fleet.borrow();
        let members = fleet.members.possibly_running(Role::Entry, now_us);
        slots.extend(members.map(|report| report.name.clone()));
        drop(fleet);
        slots.retain(|slot| !self.is_proven_gone(slot));
        slots
    }

    fn are_serving(&self, slots: &BTreeSet<Name>) -> bool {
        let fleet = self.fleet.borrow();
        let serving: BTreeSet<&Name> = fleet
            .members
            .serving(Role::Entry)
            .map(|report| &report.name)
            .collect();
        slots.iter().all(|slot| serving.contains(slot))
    }
}
