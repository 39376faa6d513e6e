//! Start of an epoch: every slot says what it holds.

use super::{
    Directive,
    HolderId,
    Ledger,
    Lender,
    Name,
    SlotState, //
};

impl Ledger {
    pub(super) fn note_borrowers(&mut self, borrowers: &[HolderId]) {
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
            // A process that started after the slot answered may have been
            // lent to by the earlier ledger; only a later answer covers it.
            if self.listed.insert(borrower.clone()) && !has_answered {
                slot.required_after_sequence = self.sequence;
            }
        }
    }

    /// Ends the recovery when every slot has answered twice, the second time
    /// after all had answered once.
    ///
    /// One answer of each slot is not enough. A process that restarts knows no
    /// epoch and may follow a ledger of another one after its slot has
    /// answered; if that ledger crashes after it has lent, nobody reports the
    /// share. With two answers of the same processes there is a moment at which
    /// all of them follow this epoch, so that no other ledger exists.
    pub(super) fn check_recovered(&mut self, now_us: u64) {
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
            book.settle(now_us);
        }
    }

    pub(super) fn recover(&mut self, slot: &Name) -> Directive {
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

    pub(super) fn recover_all(&mut self) -> Vec<Directive> {
        let slots = self.slots.iter();
        let silent: Vec<Name> = slots
            .filter(|(_, slot)| !slot.has_answered())
            .map(|(name, _)| name.clone())
            .collect();
        silent.iter().map(|slot| self.recover(slot)).collect()
    }
}
