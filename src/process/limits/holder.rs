//! Shares that a process holds in one ledger group; it admits only what they
//! allow.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use super::{
    message::{
        AccountDirective,
        AccountReport,
        Directive,
        Epoch,
        HolderId,
        HolderReport,
        Lender, //
    },
    organisation_shares::OrganisationShares,
    rate_limiter::RateLimiter, //
};
use crate::names::{
    Incarnation,
    Name, //
};

/// Shares that one process holds of the organisations of one ledger group.
#[derive(Debug)]
pub struct Holder {
    id: HolderId,
    group: u16,
    epoch: Epoch,
    slots_digest: u64,
    /// Highest sequence received from the ledger of the epoch.
    last_received_sequence: u64,
    /// Sequence of the last report that was sent.
    report_sequence: u64,
    /// Sequence of the last directive that was sent to a borrower.
    directive_sequence: u64,
    /// Whether the ledger of the epoch has accepted a complete report.
    is_accepted: bool,
    is_delegate: bool,
    is_leaving: bool,
    organisations: BTreeMap<Name, OrganisationShares>,
    /// Processes that may still receive a share lent here in an earlier epoch.
    borrowers: BTreeSet<HolderId>,
}

impl Holder {
    /// Creates a holder without shares.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// assert!(Holder::new(id, 0).is_empty());
    /// ```
    pub fn new(id: HolderId, group: u16) -> Self {
        Self {
            id,
            group,
            epoch: Epoch::default(),
            slots_digest: 0,
            last_received_sequence: 0,
            report_sequence: 0,
            directive_sequence: 0,
            is_accepted: false,
            is_delegate: false,
            is_leaving: false,
            organisations: BTreeMap::new(),
            borrowers: BTreeSet::new(),
        }
    }

    /// Returns the highest epoch received.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     holder::Holder,
    ///     message::{Epoch, HolderId},
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let holder = Holder::new(id, 0);
    /// assert_eq!(*holder.epoch(), Epoch::default());
    /// ```
    pub const fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Sets the digest of the slots in the settings. Every report contains it.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// holder.set_slots_digest(7);
    /// assert_eq!(holder.next_report(0).unwrap().slots_digest, 7);
    /// ```
    pub const fn set_slots_digest(&mut self, slots_digest: u64) {
        self.slots_digest = slots_digest;
    }

    pub(super) const fn group(&self) -> u16 {
        self.group
    }

    pub(super) const fn slots_digest(&self) -> u64 {
        self.slots_digest
    }

    /// Returns the slot and incarnation of the process.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let holder = Holder::new(id, 0);
    /// assert_eq!(&*holder.id().slot, "entry-1");
    /// ```
    pub const fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns whether this process is a delegate, which may grant parts of its
    /// share to other holders.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let holder = Holder::new(id, 0);
    /// assert!(!holder.is_delegate());
    /// ```
    pub const fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Returns whether all shares are handed back and acknowledged.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let holder = Holder::new(id, 0);
    /// assert!(holder.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.organisations
            .values()
            .all(|shares| shares.is_returned())
    }

    /// Returns the rate limiter of an organisation, which the traffic threads
    /// use.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// assert!(holder.rate_limiter(&"acme".into(), 0).amount().is_zero());
    /// ```
    pub fn rate_limiter(&mut self, organisation: &Name, now_us: u64) -> Arc<RateLimiter> {
        self.shares_of(organisation, now_us).rate_limiter()
    }

    /// Starts to hand back all shares, before the process stops.
    ///
    /// The reports carry the releases until they are acknowledged; the process
    /// may stop once [`Holder::is_empty`] holds.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// holder.leave();
    /// assert!(holder.is_empty());
    /// ```
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Follows a higher epoch; from then on older messages have no effect.
    ///
    /// Open transfers of the earlier epoch are abandoned. The new ledger finds
    /// that no report lists their shares, and reserves them until every process
    /// that could apply them has left the earlier epoch.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     holder::Holder,
    ///     message::{Epoch, HolderId},
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id.clone(), 0);
    /// holder.observe_epoch(&Epoch::acquired(7, id.clone()));
    /// holder.observe_epoch(&Epoch::acquired(6, id));
    /// assert_eq!(holder.epoch().acquired, 7);
    /// ```
    pub fn observe_epoch(&mut self, epoch: &Epoch) {
        if *epoch <= self.epoch {
            return;
        }
        self.epoch = epoch.clone();
        self.last_received_sequence = 0;
        self.is_accepted = false;
        self.is_delegate = false;
        for shares in self.organisations.values_mut() {
            self.borrowers.extend(shares.reset_for_epoch());
        }
    }

    /// Adds the processes to which an ended ledger of this process has lent.
    ///
    /// Has to be called before the next report, see [`super::participant`].
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// let borrower = HolderId { slot: "entry-2".into(), incarnation: Incarnation(2) };
    /// holder.add_borrowers(vec![borrower.clone()]);
    /// assert_eq!(holder.next_report(0).unwrap().borrowers, [borrower]);
    /// ```
    pub fn add_borrowers(&mut self, borrowers: Vec<HolderId>) {
        self.borrowers.extend(borrowers);
    }

    /// Applies a message from the ledger or a delegate.
    ///
    /// Returns whether a share arrived; the caller then retries the waiting
    /// requests.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{
    ///     holder::Holder,
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    /// };
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let epoch = Epoch::acquired(7, id.clone());
    /// let mut holder = Holder::new(id, 0);
    /// let mut ledger = Ledger::new(0, epoch.clone(), vec!["entry-1".into()]);
    /// for directive in ledger.tick(0) {
    ///     assert!(!holder.on_directive(&directive, 0));
    /// }
    /// assert_eq!(*holder.epoch(), epoch);
    /// ```
    pub fn on_directive(&mut self, directive: &Directive, now_us: u64) -> bool {
        let is_addressed = directive.slot == self.id.slot
            && directive.group == self.group
            && directive.to.is_none_or(|to| to == self.id.incarnation);
        if !is_addressed || directive.epoch < self.epoch {
            return false;
        }
        self.observe_epoch(&directive.epoch);
        if directive.lender == Lender::Ledger && directive.sequence > self.last_received_sequence {
            self.last_received_sequence = directive.sequence;
            self.is_accepted = !directive.is_recovery_request;
            self.is_delegate = directive.is_delegate;
            if self.is_accepted {
                // The ledger has reports from all slots, so no transfer of an
                // earlier epoch can be applied any more.
                self.borrowers.clear();
            }
        }
        let mut has_share = false;
        for account in &directive.accounts {
            has_share |= self.apply_account(directive.lender, account, now_us);
        }
        has_share
    }

    /// Builds the next message to the ledger; `None` when there is nothing to
    /// report.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// assert!(holder.next_report(0).unwrap().is_complete);
    /// ```
    pub fn next_report(&mut self, now_us: u64) -> Option<HolderReport> {
        let is_complete = !self.is_accepted;
        let mut accounts = Vec::new();
        for (name, shares) in &mut self.organisations {
            shares.update_demand(now_us);
            if self.is_leaving {
                shares.release_all(now_us);
            }
            if is_complete || shares.is_report_due(now_us) {
                accounts.push(shares.report_to_ledger(name, now_us));
            }
        }
        if accounts.is_empty() && !is_complete {
            return None;
        }
        Some(self.build_report(is_complete, accounts))
    }

    /// Builds the next message to a delegate; `None` when there is nothing to
    /// ask for or return.
    ///
    /// Used while the ledger does not answer, and afterwards until all grants
    /// are returned.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// assert!(holder.next_delegate_report(Incarnation(2), 0).is_none());
    /// ```
    pub fn next_delegate_report(
        &mut self,
        delegate: Incarnation,
        now_us: u64,
    ) -> Option<HolderReport> {
        let mut accounts = Vec::new();
        for (name, shares) in &mut self.organisations {
            shares.update_demand(now_us);
            if let Some(account) = shares.report_to_delegate(name, delegate, now_us) {
                accounts.push(account);
            }
        }
        (!accounts.is_empty()).then(|| self.build_report(false, accounts))
    }

    /// Answers a report that another holder sent to this process as a delegate;
    /// `None` when it belongs to another ledger group.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// let report = holder.next_report(0).unwrap();
    /// assert!(holder.on_report(&report, 0).unwrap().accounts.is_empty());
    /// ```
    pub fn on_report(&mut self, report: &HolderReport, now_us: u64) -> Option<Directive> {
        if report.group != self.group {
            return None;
        }
        self.observe_epoch(&report.epoch);
        let mut accounts = Vec::new();
        if report.epoch == self.epoch {
            for account in &report.accounts {
                let is_delegate = self.is_delegate && !self.is_leaving;
                let shares = self.shares_of(&account.organisation, now_us);
                accounts.extend(shares.answer_borrower(&report.from, account, is_delegate, now_us));
            }
        }
        self.directive_sequence += 1;
        Some(Directive {
            lender: Lender::Delegate(self.id.incarnation),
            to: Some(report.from.incarnation),
            slot: report.from.slot.clone(),
            group: self.group,
            epoch: self.epoch.clone(),
            sequence: self.directive_sequence,
            is_recovery_request: false,
            is_delegate: false,
            accounts,
        })
    }

    fn apply_account(&mut self, lender: Lender, account: &AccountDirective, now_us: u64) -> bool {
        let shares = self.shares_of(&account.organisation, now_us);
        shares.apply_directive(lender, account, now_us)
    }

    fn build_report(&mut self, is_complete: bool, accounts: Vec<AccountReport>) -> HolderReport {
        self.report_sequence += 1;
        HolderReport {
            from: self.id.clone(),
            group: self.group,
            epoch: self.epoch.clone(),
            slots_digest: self.slots_digest,
            last_received_sequence: self.last_received_sequence,
            sequence: self.report_sequence,
            is_complete,
            accounts,
            borrowers: self.borrowers.iter().cloned().collect(),
        }
    }

    fn shares_of(&mut self, name: &Name, now_us: u64) -> &mut OrganisationShares {
        self.organisations
            .entry(name.clone())
            .or_insert_with(|| OrganisationShares::new(now_us))
    }
}
