//! Ledger of one group of organisations: lends their shares by demand.

mod recovery;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    book::{
        DirectivesBySlot,
        OrganisationBook, //
    },
    message::{
        Directive,
        Epoch,
        HolderId,
        HolderReport,
        Lender,
        RateAndBurst, //
    },
    slot::{
        ReportStatus,
        SlotState, //
    },
};
use crate::names::Name;

/// Lends the shares of one ledger group in one epoch.
///
/// It lends nothing until every known slot has answered in the epoch or is
/// proven to be gone, because until then the earlier ledger may still lend.
#[derive(Debug)]
pub struct Ledger {
    group: u16,
    epoch: Epoch,
    /// Digest of the slots that an answer has to carry; only in a provisional
    /// epoch.
    slots_digest: Option<u64>,
    sequence: u64,
    slots: BTreeMap<Name, SlotState>,
    delegates: Vec<Name>,
    reported_borrowers: BTreeSet<HolderId>,
    books: BTreeMap<Name, OrganisationBook>,
    /// Whether all slots have answered once and are now asked a second time.
    is_confirming: bool,
    is_recovered: bool,
    needs_new_epoch: bool,
}

impl Ledger {
    /// Creates the ledger of an epoch that this process has acquired.
    ///
    /// `slots` are all registered slots, read after the epoch was acquired.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let ledger = Ledger::new(3, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(!ledger.is_recovered());
    /// ```
    pub fn new(group: u16, epoch: Epoch, slots: Vec<Name>) -> Self {
        let new_slot = |slot| (slot, SlotState::default());
        Self {
            group,
            epoch,
            slots_digest: None,
            sequence: 0,
            slots: slots.into_iter().map(new_slot).collect(),
            delegates: Vec::new(),
            reported_borrowers: BTreeSet::new(),
            books: BTreeMap::new(),
            is_confirming: false,
            is_recovered: false,
            needs_new_epoch: false,
        }
    }

    /// Creates the ledger of a provisional epoch.
    ///
    /// `slots` are all slots of which a process may be a holder or a ledger.
    /// An answer with another digest is not counted: the settings of its sender
    /// may list a slot that is missing in `slots`.
    ///
    /// ```
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{Epoch, HolderId},
    /// };
    ///
    /// let epoch = Epoch::default().next_provisional(HolderId::default());
    /// let ledger = Ledger::provisional(3, epoch, vec!["entry-1".into()], 7);
    /// assert!(!ledger.is_recovered());
    /// ```
    pub fn provisional(group: u16, epoch: Epoch, slots: Vec<Name>, slots_digest: u64) -> Self {
        Self {
            slots_digest: Some(slots_digest),
            ..Self::new(group, epoch, slots)
        }
    }

    /// Returns the epoch in which this ledger lends.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert_eq!(*ledger.epoch(), Epoch::default());
    /// ```
    pub const fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Returns whether all slots have answered twice or are gone, so that the
    /// ledger lends.
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
    /// let mut holder = Holder::new(id, 0);
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// for directive in ledger.tick(0) {
    ///     holder.on_directive(&directive, 0);
    /// }
    /// ledger.on_report(&holder.next_report(0).unwrap(), 0);
    /// assert!(!ledger.is_recovered());
    /// for directive in ledger.tick(0) {
    ///     holder.on_directive(&directive, 0);
    /// }
    /// ledger.on_report(&holder.next_report(0).unwrap(), 0);
    /// assert!(ledger.is_recovered());
    /// ```
    pub const fn is_recovered(&self) -> bool {
        self.is_recovered
    }

    /// Returns whether a new epoch is needed to recover shares that this one
    /// keeps reserved or cannot account for.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(!ledger.needs_new_epoch());
    /// ```
    pub const fn needs_new_epoch(&self) -> bool {
        self.needs_new_epoch
    }

    /// Ends the ledger because a higher epoch was seen.
    ///
    /// Returns the processes that it may have lent to; the holder in this process
    /// reports them to the new ledger.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// assert!(Ledger::new(0, Epoch::default(), Vec::new()).retire().is_empty());
    /// ```
    pub fn retire(self) -> Vec<HolderId> {
        let mut borrowers: BTreeSet<HolderId> = self.reported_borrowers;
        for (slot, state) in self.slots {
            if let Some(last_report) = state.last_report {
                borrowers.insert(HolderId {
                    slot,
                    incarnation: last_report.incarnation,
                });
            }
        }
        borrowers.into_iter().collect()
    }

    /// Adds a slot that was registered after the epoch was acquired.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// ledger.add_slot("entry-2".into());
    /// assert_eq!(ledger.tick(0).len(), 2);
    /// ```
    pub fn add_slot(&mut self, slot: Name) {
        let answered_at_sequence = self.sequence;
        let state = self.slots.entry(slot).or_insert_with(|| SlotState {
            answered_at_sequence,
            ..SlotState::default()
        });
        state.gone_at_us = None;
    }

    /// Marks a slot that the platform no longer lists; it counts as gone from
    /// the given time on, which includes the grace period.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// ledger.remove_slot(&"entry-1".into(), 10);
    /// ledger.tick(9);
    /// assert!(!ledger.is_recovered());
    /// ledger.tick(10);
    /// assert!(ledger.is_recovered());
    /// ```
    pub fn remove_slot(&mut self, slot: &Name, gone_at_us: u64) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.gone_at_us = Some(gone_at_us);
        }
    }

    /// Sets the slots that keep a reserve, from which they grant while the ledger
    /// is down.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// ledger.set_delegates(vec!["entry-1".into()]);
    /// ```
    pub fn set_delegates(&mut self, delegates: Vec<Name>) {
        self.delegates = delegates;
    }

    /// Sets the limits of an organisation from a configuration revision.
    ///
    /// A lowered value bounds new lends at once and is in force when the holders
    /// have released the excess; a raised value applies only after that.
    /// Revisions count from one; an older or equal one is ignored.
    ///
    /// ```
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{RateAndBurst, Epoch},
    /// };
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), Vec::new());
    /// let limits = RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 20 };
    /// ledger.set_limits(&"acme".into(), limits, 1, 0);
    /// ledger.tick(0);
    /// assert!(ledger.is_in_force(&"acme".into()));
    /// ```
    pub fn set_limits(
        &mut self,
        organisation: &Name,
        limits: RateAndBurst,
        revision: u64,
        now_us: u64,
    ) {
        let is_recovered = self.is_recovered;
        let book = self.book(organisation, now_us);
        if book.set_limits(limits, revision) && is_recovered {
            book.update_pool(now_us);
        }
    }

    /// Returns whether the shares of an organisation are within its configured
    /// limits; `false` until the ledger is recovered.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(!ledger.is_in_force(&"acme".into()));
    /// ```
    pub fn is_in_force(&self, organisation: &Name) -> bool {
        self.is_recovered
            && self
                .books
                .get(organisation)
                .is_some_and(OrganisationBook::is_in_force)
    }

    /// Returns the part of an organisation's limits that no holder may have.
    ///
    /// ```
    /// use yuccalatch::process::limits::{
    ///     ledger::Ledger,
    ///     message::{RateAndBurst, Epoch},
    /// };
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), Vec::new());
    /// let limits = RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 20 };
    /// ledger.set_limits(&"acme".into(), limits, 1, 0);
    /// ledger.tick(0);
    /// assert_eq!(ledger.unlent(&"acme".into()), limits);
    /// ```
    pub fn unlent(&self, organisation: &Name) -> RateAndBurst {
        let book = self.books.get(organisation);
        book.map(OrganisationBook::unlent).unwrap_or_default()
    }

    /// Applies a report and returns the messages that it causes, also to other
    /// holders.
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
    /// let mut holder = Holder::new(id, 0);
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// let answers = ledger.on_report(&holder.next_report(0).unwrap(), 0);
    /// assert!(answers[0].is_recovery_request);
    /// ```
    pub fn on_report(&mut self, report: &HolderReport, now_us: u64) -> Vec<Directive> {
        let is_known = self.slots.contains_key(&report.from.slot);
        if report.group != self.group || !is_known || report.epoch > self.epoch {
            return Vec::new();
        }
        let is_other = |digest| digest != report.slots_digest;
        if report.epoch < self.epoch || self.slots_digest.is_some_and(is_other) {
            return vec![self.recovery_request(&report.from.slot)];
        }
        match self.accept(report) {
            ReportStatus::Stale => return Vec::new(),
            ReportStatus::Unproven => return vec![self.recovery_request(&report.from.slot)],
            ReportStatus::First => self.open_accounts(report, now_us),
            ReportStatus::Later => {}
        }
        self.record_borrowers(&report.borrowers);
        self.advance_recovery(now_us);
        self.apply_accounts(report, now_us);
        if !self.is_recovered {
            return Vec::new();
        }
        self.answer_report(report, now_us)
    }

    /// Reclaims the shares of gone slots, rebalances the others and repeats open
    /// transfers; call about every 100 ms.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(ledger.tick(0)[0].is_recovery_request);
    /// ```
    pub fn tick(&mut self, now_us: u64) -> Vec<Directive> {
        self.remove_gone_slots(now_us);
        self.advance_recovery(now_us);
        if !self.is_recovered {
            return self.request_answers();
        }
        let mut outgoing = DirectivesBySlot::new();
        for (name, book) in &mut self.books {
            book.update_pool(now_us);
            let mut recalls = book.plan_shortfalls(now_us);
            for (slot, recall) in book.plan_standing_shares(&self.delegates, now_us) {
                recalls.entry(slot).or_insert(recall);
            }
            book.collect_directives(name, &recalls, None, &mut outgoing);
        }
        self.address_directives(outgoing)
    }

    /// Checks a report against those that its slot sent before.
    fn accept(&mut self, report: &HolderReport) -> ReportStatus {
        let slot = self.slots.get_mut(&report.from.slot);
        slot.map_or(ReportStatus::Stale, |slot| {
            slot.accept(report, self.sequence)
        })
    }

    /// Replaces the accounts of an earlier incarnation by those of a new one. The
    /// shares of the earlier one return to the pool without their tokens.
    fn open_accounts(&mut self, report: &HolderReport, now_us: u64) {
        let slot = &report.from.slot;
        self.is_confirming = false;
        self.reclaim(slot);
        for account in &report.accounts {
            let released = account.release.map(|release| release.share.amount);
            let held = account.held.plus(released.unwrap_or_default());
            let book = self.book(&account.organisation, now_us);
            book.open_account(slot, held);
        }
    }

    fn apply_accounts(&mut self, report: &HolderReport, now_us: u64) {
        let slot = &report.from.slot;
        let mut has_granted = false;
        for account in &report.accounts {
            has_granted |= account.granted_tokens > 0;
            let is_recovered = self.is_recovered;
            self.book(&account.organisation, now_us)
                .apply(slot, account, is_recovered, now_us);
        }
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.has_granted |= has_granted;
        }
    }

    /// Returns directives for each organisation of which the sender lacks tokens or
    /// releases a share, and one to the sender after a complete report.
    fn answer_report(&mut self, report: &HolderReport, now_us: u64) -> Vec<Directive> {
        let mut outgoing = DirectivesBySlot::new();
        if report.is_complete {
            outgoing.insert(report.from.slot.clone(), Vec::new());
        }
        for account in &report.accounts {
            let Some(book) = self.books.get_mut(&account.organisation) else {
                continue;
            };
            let is_urgent = account.demand.shortfall_tokens > 0 || account.release.is_some();
            let acknowledged = account.release.map(|_| &report.from.slot);
            if is_urgent {
                let recalls = book.plan_shortfalls(now_us);
                book.collect_directives(
                    &account.organisation,
                    &recalls,
                    acknowledged,
                    &mut outgoing,
                );
            }
        }
        self.address_directives(outgoing)
    }

    fn remove_gone_slots(&mut self, now_us: u64) {
        let is_gone = |slot: &SlotState| slot.gone_at_us.is_some_and(|at_us| at_us <= now_us);
        let gone: Vec<Name> = self
            .slots
            .iter()
            .filter(|(_, slot)| is_gone(slot))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.reclaim(&name);
            self.slots.remove(&name);
        }
    }

    /// Closes all accounts of a process that is gone.
    fn reclaim(&mut self, name: &Name) {
        let Some(slot) = self.slots.get_mut(name) else {
            return;
        };
        let was_delegate = std::mem::take(&mut slot.was_delegate);
        let has_granted = std::mem::take(&mut slot.has_granted);
        let mut has_lost = false;
        for book in self.books.values_mut() {
            has_lost |= book.reclaim(name, was_delegate);
        }
        let is_granting = has_granted || self.slots.values().any(|slot| slot.has_granted);
        // Only the delegate and the holder of a grant have a record of it. A new
        // epoch asks all processes again and so finds the lost shares.
        self.needs_new_epoch |= has_lost && (was_delegate || is_granting);
    }

    /// Adds receivers and sequence numbers; leaves out slots that have not
    /// answered.
    fn address_directives(&mut self, outgoing: DirectivesBySlot) -> Vec<Directive> {
        let mut directives = Vec::new();
        for (name, accounts) in outgoing {
            let is_delegate = self.delegates.contains(&name);
            let Some(slot) = self.slots.get_mut(&name) else {
                continue;
            };
            let Some(last_report) = slot.last_report else {
                continue;
            };
            slot.was_delegate |= is_delegate;
            self.sequence += 1;
            directives.push(Directive {
                lender: Lender::Ledger,
                to: Some(last_report.incarnation),
                slot: name,
                group: self.group,
                epoch: self.epoch.clone(),
                sequence: self.sequence,
                is_recovery_request: false,
                is_delegate,
                accounts,
            });
        }
        directives
    }

    fn book(&mut self, organisation: &Name, now_us: u64) -> &mut OrganisationBook {
        self.books
            .entry(organisation.clone())
            .or_insert_with(|| OrganisationBook::new(now_us))
    }
}
