//! State that a ledger keeps for one slot; decides which reports are current.

use super::message::HolderReport;
use crate::names::Incarnation;

/// Data of the last accepted report of a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    pub(super) incarnation: Incarnation,
    /// Highest sequence that the process had received from this ledger.
    pub(super) last_received_sequence: u64,
    pub(super) report_sequence: u64,
}

/// State of one slot in the epoch of the ledger.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotState {
    pub(super) last_report: Option<LastReport>,
    /// Sequence of the ledger when it last accepted a report. Another
    /// incarnation is accepted only if it has received a later message, which
    /// proves that it is the newer one.
    pub(super) answered_at_sequence: u64,
    /// The slot counts as answered only after it has received a message with a
    /// higher sequence.
    pub(super) required_after_sequence: u64,
    /// When the slot counts as gone; `None` while the platform lists it.
    pub(super) gone_at_us: Option<u64>,
    /// Whether the current process was named as a delegate.
    pub(super) was_delegate: bool,
    /// Whether the current process has reported grants to other holders.
    pub(super) has_granted: bool,
}

/// Result of the check whether a report is current.
pub(super) enum ReportStatus {
    /// Not newer than the last accepted report of the process.
    Stale,
    /// From a process that is not proven to be the newest of its slot.
    Unproven,
    /// The first accepted report of a process.
    First,
    /// A later report of an accepted process.
    Later,
}

impl SlotState {
    /// Checks a report of the ledger's epoch and keeps it if it is current;
    /// `sequence` is that of the ledger's last message.
    pub(super) fn accept(&mut self, report: &HolderReport, sequence: u64) -> ReportStatus {
        let accepted = self
            .last_report
            .filter(|last_report| last_report.incarnation == report.from.incarnation);
        let status = match accepted {
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
        status
    }

    /// Returns whether the newest process of the slot follows the epoch.
    pub(super) fn has_answered(&self) -> bool {
        self.last_report.is_some_and(|last_report| {
            last_report.last_received_sequence > self.required_after_sequence
        })
    }
}
