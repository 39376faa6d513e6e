//! What a ledger knows of one slot, and which reports from it are current.

use super::message::HolderReport;
use crate::names::Incarnation;

#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    pub(super) incarnation: Incarnation,
    pub(super) last_received_sequence: u64,
    pub(super) report_sequence: u64,
}

/// What the ledger knows of one slot in its epoch.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotState {
    pub(super) last_report: Option<LastReport>,
    /// Another incarnation is accepted only if it heard a later message, which
    /// proves that it is the newer one.
    pub(super) answered_at_sequence: u64,
    /// The slot counts as answered only after it heard a later message.
    pub(super) required_after_sequence: u64,
    pub(super) gone_at_us: Option<u64>,
    pub(super) was_delegate: bool,
    pub(super) has_granted: bool,
}

/// What a report is to the ledger.
pub(super) enum ReportStatus {
    /// Older than a report that was accepted.
    Stale,
    /// From a process that has not proven to be the newest of its slot.
    Unproven,
    /// The first accepted report of a process.
    First,
    /// From a process that was accepted before.
    Later,
}

impl SlotState {
    /// Judges a report of the ledger's epoch; `sequence` is that of the
    /// ledger's last message.
    pub(super) fn accept(&mut self, report: &HolderReport, sequence: u64) -> ReportStatus {
        let known = self
            .last_report
            .filter(|last_report| last_report.incarnation == report.from.incarnation);
        let acceptance = match known {
            Some(last_report) if report.sequence <= last_report.report_sequence => {
                return ReportStatus::Stale;
            }
            Some(_) => ReportStatus::Later,
            None if !report.is_complete
                || report.last_received_sequence
                    <= self.answered_at_sequence.max(self.required_after_sequence) =>
            {
                return ReportStatus::Unproven;
            }
            None => ReportStatus::First,
        };
        self.answered_at_sequence = sequence;
        self.last_report = Some(LastReport {
            incarnation: report.from.incarnation,
            last_received_sequence: report.last_received_sequence,
            report_sequence: report.sequence,
        });
        acceptance
    }

    /// Returns whether the newest process of the slot follows the epoch.
    pub(super) fn has_answered(&self) -> bool {
        self.last_report.is_some_and(|last_report| {
            last_report.last_received_sequence > self.required_after_sequence
        })
    }
}
