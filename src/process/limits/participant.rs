//! One process in one ledger group: always a holder, sometimes its ledger.

use super::{
    holder::Holder,
    ledger::Ledger,
    message::{
        Directive,
        HolderId,
        Report, //
    },
};

/// Holder and, while this process has the epoch, ledger of a group.
///
/// Keeping both together guarantees that the ledger ends before the holder
/// says that it follows a higher epoch.
#[derive(Debug)]
pub struct Participant {
    holder: Holder,
    ledger: Option<Ledger>,
}

impl Participant {
    /// Creates a participant without shares.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{message::HolderId, participant::Participant};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// assert!(Participant::new(id, 0).ledger().is_none());
    /// ```
    pub fn new(id: HolderId, group: u16) -> Self {
        Self {
            holder: Holder::new(id, group),
            ledger: None,
        }
    }

    /// Returns the holder.
    pub const fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Returns the ledger while this process has the highest epoch it knows.
    pub const fn ledger(&mut self) -> Option<&mut Ledger> {
        self.ledger.as_mut()
    }

    /// Returns whether this process is a ledger.
    pub const fn has_ledger(&self) -> bool {
        self.ledger.is_some()
    }

    /// Becomes the ledger of an epoch that was acquired by a conditional
    /// update; without effect when a higher epoch was seen.
    pub fn lead(&mut self, ledger: Ledger) {
        let epoch = ledger.epoch();
        self.observe_epoch(epoch);
        if epoch == self.holder.epoch() {
            self.ledger = Some(ledger);
        }
    }

    /// Follows a higher epoch and ends an earlier ledger of this process.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.holder.observe_epoch(epoch);
        let is_outdated = |ledger: &mut Ledger| ledger.epoch() < epoch;
        if let Some(ledger) = self.ledger.take_if(is_outdated) {
            self.holder.add_borrowers(ledger.retire());
        }
    }

    /// Applies a message from a ledger or deputy; returns whether a share
    /// arrived.
    pub fn on_directive(&mut self, directive: &Directive, now_us: u64) -> bool {
        self.observe_epoch(directive.epoch);
        self.holder.on_directive(directive, now_us)
    }

    /// Applies a report to the ledger; `None` when this process has none.
    pub fn on_ledger_report(&mut self, report: &Report, now_us: u64) -> Vec<Directive> {
        self.observe_epoch(report.epoch);
        match &mut self.ledger {
            Some(ledger) => ledger.on_report(report, now_us),
            None => Vec::new(),
        }
    }

    /// Answers a report that asks this process as a deputy.
    pub fn on_deputy_report(&mut self, report: &Report, now_us: u64) -> Option<Directive> {
        self.observe_epoch(report.epoch);
        self.holder.on_report(report, now_us)
    }
}
