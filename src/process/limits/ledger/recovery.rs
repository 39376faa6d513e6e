//! Start of an epoch: every slot reports the shares that it holds.

use super::{
    Directive,
    HolderId,
    Ledger,
    Lender,
    Name,
    SlotState, //
};

impl Ledger {
    /// Requires a later answer from slots to which an earlier ledger or delegate
    /// may have lent.
    pub(super) fn record_borrowers(&mut self, borrowers: &[HolderId]) {
        if self.is_recovered {
            return;
        }
        for borrower in borrowers {
            let Some(slot) = self.slots.get_mut(&borrower.slot) else {
                continue;
            };
            let has_answered = slot
                .last_report
                .is_some_and(|last_report| last_report.incarnation == borrower.incarnation);
            // The earlier ledger may have lent to a process that started after
            // the slot answered; only a later answer includes that share.
            if self.reported_borrowers.insert(borrower.clone()) && !has_answered {
                slot.required_after_sequence = self.sequence;
            }
        }
    }

    /// Ends the recovery when every slot has answered twice, the second time
    /// after all had answered once.
    ///
    /// One answer of each slot is not enough. A process that restarts follows no
    /// epoch, and may follow the ledger of an earlier one after its slot has
    /// answered; if that ledger lends to it and crashes, nobody reports the
    /// share. If the same processes answer twice, there is a time between at
    /// which all of them follow this epoch, so that no other ledger exists.
    pub(super) fn advance_recovery(&mut self, now_us: u64) {
        if self.is_recovered || !self.slots.values().all(SlotState::has_answered) {
            return;
        }
        if !self.is_confirming && !self.slots.is_empty() {
            self.is_confirming = true;
            for slot in self.slots.values_mut() {
                slot.required_after_sequence = self.sequence;
            }
            return;
        }
        self.is_recovered = true;
        for book in self.books.values_mut() {
            book.update_pool(now_us);
        }
    }

    /// Returns a message that asks the process in a slot for a complete report.
    pub(super) fn recovery_request(&mut self, slot: &Name) -> Directive {
        self.sequence += 1;
        Directive {
            lender: Lender::Ledger,
            to: None,
            slot: slot.clone(),
            group: self.group,
            epoch: self.epoch.clone(),
            sequence: self.sequence,
            is_recovery_request: true,
            is_delegate: false,
            accounts: Vec::new(),
        }
    }

    pub(super) fn request_answers(&mut self) -> Vec<Directive> {
        let slots = self.slots.iter();
        let unanswered: Vec<Name> = slots
            .filter(|(_, slot)| !slot.has_answered())
            .map(|(name, _)| name.clone())
            .collect();
        unanswered
            .iter()
            .map(|slot| self.recovery_request(slot))
            .collect()
    }
}
