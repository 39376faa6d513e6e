//! Holder of shares: the part of a process that may admit tokens.

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

/// Shares of one process in one ledger group.
#[derive(Debug)]
pub struct Holder {
    id: HolderId,
    group: u16,
    epoch: Epoch,
    slots_digest: u64,
    last_received_sequence: u64,
    sequence: u64,
    granted_sequence: u64,
    is_known: bool,
    is_delegate: bool,
    is_leaving: bool,
    organisations: BTreeMap<Name, OrganisationShares>,
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
            sequence: 0,
            granted_sequence: 0,
            is_known: false,
            is_delegate: false,
            is_leaving: false,
            organisations: BTreeMap::new(),
            borrowers: BTreeSet::new(),
        }
    }

    /// Returns the highest epoch seen.
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

    /// Sets the digest of the slots that the settings name, which the reports
    /// carry.
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

    /// Returns the identity of the process.
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

    /// Returns whether this process may grant to others.
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

    /// Returns whether nothing is left to hand back.
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
            .all(|organisation| organisation.is_returned())
    }

    /// Returns the meter of an organisation for the traffic side.
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
        self.organisation(organisation, now_us).rate_limiter()
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

    /// Follows a higher epoch; from here on older messages have no effect.
    ///
    /// Open transfers of the earlier epoch are abandoned. The new ledger finds
    /// their shares unaccounted for and reserves them until nobody who could
    /// apply them follows the earlier epoch.
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
        self.is_known = false;
        self.is_delegate = false;
        for organisation in self.organisations.values_mut() {
            self.borrowers.extend(organisation.follow_epoch());
        }
    }

    /// Adds processes that a ledger, retired in this process, has lent to.
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

    /// Applies a message from the ledger or a deputy.
    ///
    /// Returns whether a share arrived, so that waiting requests are retried.
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
            self.is_known = !directive.is_recovery_request;
            self.is_delegate = directive.is_delegate;
            if self.is_known {
                // The ledger has heard everybody, so nothing of an earlier
                // epoch can be applied any more.
                self.borrowers.clear();
            }
        }
        let mut has_share = false;
        for account in &directive.accounts {
            has_share |= self.apply(directive.lender, account, now_us);
        }
        has_share
    }

    /// Makes the next message to the ledger; `None` when there is no news.
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
        let is_complete = !self.is_known;
        let mut accounts = Vec::new();
        for (name, organisation) in &mut self.organisations {
            organisation.sample(now_us);
            if self.is_leaving {
                organisation.hand_back(now_us);
            }
            if is_complete || organisation.is_due(now_us) {
                accounts.push(organisation.own_report(name, now_us));
            }
        }
        if accounts.is_empty() && !is_complete {
            return None;
        }
        Some(self.envelope(is_complete, accounts))
    }

    /// Makes a message to a deputy; `None` when there is nothing to ask or
    /// return.
    ///
    /// Used while the ledger is silent, and afterwards until all grants are
    /// returned.
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
        deputy: Incarnation,
        now_us: u64,
    ) -> Option<HolderReport> {
        let mut accounts = Vec::new();
        for (name, organisation) in &mut self.organisations {
            organisation.sample(now_us);
            if let Some(account) = organisation.deputy_report(name, deputy, now_us) {
                accounts.push(account);
            }
        }
        (!accounts.is_empty()).then(|| self.envelope(false, accounts))
    }

    /// As a deputy, answers a message of another holder.
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
            for asked in &report.accounts {
                let is_delegate = self.is_delegate && !self.is_leaving;
                let organisation = self.organisation(&asked.organisation, now_us);
                accounts.extend(organisation.grant(&report.from, asked, is_delegate, now_us));
            }
        }
        self.granted_sequence += 1;
        Some(Directive {
            lender: Lender::Delegate(self.id.incarnation),
            to: Some(report.from.incarnation),
            slot: report.from.slot.clone(),
            group: self.group,
            epoch: self.epoch.clone(),
            sequence: self.granted_sequence,
            is_recovery_request: false,
            is_delegate: false,
            accounts,
        })
    }

    fn apply(&mut self, lender: Lender, account: &AccountDirective, now_us: u64) -> bool {
        let organisation = self.organisation(&account.organisation, now_us);
        organisation.apply(lender, account, now_us)
    }

    fn envelope(&mut self, is_complete: bool, accounts: Vec<AccountReport>) -> HolderReport {
        self.sequence += 1;
        HolderReport {
            from: self.id.clone(),
            group: self.group,
            epoch: self.epoch.clone(),
            slots_digest: self.slots_digest,
            last_received_sequence: self.last_received_sequence,
            sequence: self.sequence,
            is_complete,
            accounts,
            borrowers: self.borrowers.iter().cloned().collect(),
        }
    }

    fn organisation(&mut self, name: &Name, now_us: u64) -> &mut OrganisationShares {
        self.organisations
            .entry(name.clone())
            .or_insert_with(|| OrganisationShares::new(now_us))
    }
}
