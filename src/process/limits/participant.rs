//! One process in one ledger group: always a holder, at times also the ledger.

use super::{
    holder::Holder,
    ledger::Ledger,
    message::{
        Directive,
        Epoch,
        HolderId,
        HolderReport, //
    },
};
use crate::names::Name;

/// Holder of one process and, while the process has the epoch, the ledger of the
/// group.
///
/// Both are kept together so that the ledger ends before the holder reports that
/// it follows a higher epoch.
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
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{message::HolderId, participant::Participant};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id, 0);
    /// assert!(participant.holder().is_empty());
    /// ```
    pub const fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Returns the ledger, if the highest epoch received is of this process.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id.clone(), 0);
    /// participant.become_ledger(Ledger::new(0, Epoch::acquired(1, id), Vec::new()));
    /// assert_eq!(participant.ledger().unwrap().epoch().acquired, 1);
    /// ```
    pub const fn ledger(&mut self) -> Option<&mut Ledger> {
        self.ledger.as_mut()
    }

    /// Returns whether this process is the ledger of its highest epoch.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id.clone(), 0);
    /// participant.become_ledger(Ledger::new(0, Epoch::acquired(1, id), Vec::new()));
    /// assert!(participant.has_ledger());
    /// ```
    pub const fn has_ledger(&self) -> bool {
        self.ledger.is_some()
    }

    /// Becomes the ledger of an epoch that was acquired by a conditional
    /// update; without effect after a higher epoch.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id.clone(), 0);
    /// participant.observe_epoch(&Epoch::acquired(2, HolderId::default()));
    /// participant.become_ledger(Ledger::new(0, Epoch::acquired(1, id), Vec::new()));
    /// assert!(!participant.has_ledger());
    /// ```
    pub fn become_ledger(&mut self, ledger: Ledger) {
        self.observe_epoch(ledger.epoch());
        if ledger.epoch() == self.holder.epoch() {
            self.ledger = Some(ledger);
        }
    }

    /// Becomes the ledger of the next provisional epoch and returns it.
    ///
    /// `slots` are all slots whose process may be a holder or the ledger. Answers
    /// count only from processes whose settings name the same slots.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{message::HolderId, participant::Participant};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id, 0);
    /// assert!(participant.become_provisional_ledger(vec!["entry-1".into()]).is_provisional());
    /// assert!(participant.has_ledger());
    /// ```
    pub fn become_provisional_ledger(&mut self, slots: Vec<Name>) -> Epoch {
        let id = self.holder.id().clone();
        let epoch = self.holder.epoch().next_provisional(id);
        let (group, slots_digest) = (self.holder.group(), self.holder.slots_digest());
        self.become_ledger(Ledger::provisional(
            group,
            epoch.clone(),
            slots,
            slots_digest,
        ));
        epoch
    }

    /// Follows a higher epoch and ends an earlier ledger of this process.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id.clone(), 0);
    /// participant.become_ledger(Ledger::new(0, Epoch::acquired(1, id), Vec::new()));
    /// participant.observe_epoch(&Epoch::acquired(2, HolderId::default()));
    /// assert!(!participant.has_ledger());
    /// ```
    pub fn observe_epoch(&mut self, epoch: &Epoch) {
        self.holder.observe_epoch(epoch);
        let is_outdated = |ledger: &mut Ledger| ledger.epoch() < epoch;
        if let Some(ledger) = self.ledger.take_if(is_outdated) {
            self.holder.add_borrowers(ledger.retire());
        }
    }

    /// Applies a message from a ledger or a delegate; returns whether a share
    /// arrived.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id, 0);
    /// let epoch = Epoch::acquired(1, HolderId::default());
    /// let mut ledger = Ledger::new(0, epoch, vec!["entry-1".into()]);
    /// for directive in ledger.tick(0) {
    ///     assert!(!participant.on_directive(&directive, 0));
    /// }
    /// ```
    pub fn on_directive(&mut self, directive: &Directive, now_us: u64) -> bool {
        self.observe_epoch(&directive.epoch);
        self.holder.on_directive(directive, now_us)
    }

    /// Applies a report to the ledger and returns its answers; none when this
    /// process is not the ledger.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    ///     participant::Participant,
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id, 0);
    /// let report = participant.holder().next_report(0).unwrap();
    /// let epoch = Epoch::acquired(1, HolderId::default());
    /// participant.become_ledger(Ledger::new(0, epoch, vec!["entry-1".into()]));
    /// assert_eq!(participant.on_ledger_report(&report, 0).len(), 1);
    /// ```
    pub fn on_ledger_report(&mut self, report: &HolderReport, now_us: u64) -> Vec<Directive> {
        self.observe_epoch(&report.epoch);
        match &mut self.ledger {
            Some(ledger) => ledger.on_report(report, now_us),
            None => Vec::new(),
        }
    }

    /// Answers a report that was sent to this process as a delegate; `None` when
    /// it belongs to another ledger group.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{message::HolderId, participant::Participant};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut participant = Participant::new(id, 0);
    /// let report = participant.holder().next_report(0).unwrap();
    /// assert!(participant.on_delegate_report(&report, 0).is_some());
    /// ```
    pub fn on_delegate_report(&mut self, report: &HolderReport, now_us: u64) -> Option<Directive> {
        self.observe_epoch(&report.epoch);
        self.holder.on_report(report, now_us)
    }
}
