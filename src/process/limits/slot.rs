//! What a ledger knows of one slot, and which reports from it are current.

use super::message::Report;
use crate::names::Incarnation;

#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    pub(super) incarnation: Incarnation,
    pub(super) heard: u64,
    pub(super) report_sequence: u64,
}

/// What the ledger knows of one slot in its epoch.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) contact: Option<Contact>,
    /// Another incarnation is accepted only if it heard a later message, which
    /// proves that it is the newer one.
    pub(super) answered_at: u64,
    /// The slot counts as answered only after it heard a later message.
    pub(super) required_after: u64,
    pub(super) gone_at_us: Option<u64>,
    pub(super) was_deputy: bool,
    pub(super) has_granted: bool,
}

/// What a report is to the ledger.
pub(super) enum Acceptance {
    /// Older than a report that was accepted.
    Stale,
    /// From a process that has not proven to be the newest of its slot.
    Unproven,
    /// The first accepted report of a process.
    First,
    /// From a process that was accepted before.
    Known,
}

impl Slot {
    /// Judges a report of the ledger's epoch; `sequence` is that of the
    /// ledger's last message.
    pub(super) fn accept(&mut self, report: &Report, sequence: u64) -> Acceptance {
        let known = self
            .contact
            .filter(|contact| contact.incarnation == report.from.incarnation);
        let acceptance = match known {
            Some(contact) if report.sequence <= contact.report_sequence => {
                return Acceptance::Stale;
            }
            Some(_) => Acceptance::Known,
            None if !report.is_complete
                || report.heard <= self.answered_at.max(self.required_after) =>
            {
                return Acceptance::Unproven;
            }
            None => Acceptance::First,
        };
        self.answered_at = sequence;
        self.contact = Some(Contact {
            incarnation: report.from.incarnation,
            heard: report.heard,
            report_sequence: report.sequence,
        });
        acceptance
    }

    /// Returns whether the newest process of the slot follows the epoch.
    pub(super) fn has_answered(&self) -> bool {
        self.contact
            .is_some_and(|contact| contact.heard > self.required_after)
    }
}
