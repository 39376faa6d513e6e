//! Ledger of one group: lends the shares of its organisations by demand.

mod recovery;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    book::{
        Book,
        Outgoing, //
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
/// Nothing is lent until every known slot has answered in the epoch or is
/// proven gone; until then the earlier ledger may still lend.
#[derive(Debug)]
pub struct Ledger {
    group: u16,
    epoch: Epoch,
    /// Digest that an answer has to carry, in a provisional epoch.
    slots_digest: Option<u64>,
    sequence: u64,
    slots: BTreeMap<Name, SlotState>,
    deputies: Vec<Name>,
    listed: BTreeSet<HolderId>,
    books: BTreeMap<Name, Book>,
    /// Whether all slots had answered when the second answers were asked for.
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
        let empty = |slot| (slot, SlotState::default());
        Self {
            group,
            epoch,
            slots_digest: None,
            sequence: 0,
            slots: slots.into_iter().map(empty).collect(),
            deputies: Vec::new(),
            listed: BTreeSet::new(),
            books: BTreeMap::new(),
            is_confirming: false,
            is_recovered: false,
            needs_new_epoch: false,
        }
    }

    /// Creates the ledger of a provisional epoch.
    ///
    /// `slots` are all slots of which a process may be a holder or a ledger.
    /// An answer with another digest comes from a process that may know of a
    /// slot that is missing in `slots`; it does not count.
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

    /// Returns the epoch.
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

    /// Returns whether all slots have answered or are gone.
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

    /// Returns whether reserved shares can be recovered by acquiring a new
    /// epoch.
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
    /// Returns the processes that it may have lent to; the holder of this
    /// process passes them to the new ledger.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// assert!(Ledger::new(0, Epoch::default(), Vec::new()).retire().is_empty());
    /// ```
    pub fn retire(self) -> Vec<HolderId> {
        let mut borrowers: BTreeSet<HolderId> = self.listed;
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

    /// Notes that the platform's list no longer has a slot; it counts as gone
    /// at the given time, which includes the grace period.
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

    /// Names the slots that keep a reserve and grant while the ledger is down.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// ledger.set_delegates(vec!["entry-1".into()]);
    /// ```
    pub fn set_delegates(&mut self, deputies: Vec<Name>) {
        self.deputies = deputies;
    }

    /// Sets the limits of an organisation from a configuration revision.
    ///
    /// A lowered value holds for new lends at once and is in force when the
    /// holders have released the rest; a raised value applies only after that.
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
            book.settle(now_us);
        }
    }

    /// Returns whether the shares of an organisation fit the configured limits.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(!ledger.is_in_force(&"acme".into()));
    /// ```
    pub fn is_in_force(&self, organisation: &Name) -> bool {
        self.is_recovered && self.books.get(organisation).is_some_and(Book::is_in_force)
    }

    /// Returns the part of an organisation's limits that nobody may hold.
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
        book.map(Book::unlent).unwrap_or_default()
    }

    /// Applies a report and returns the answers.
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
            return vec![self.recover(&report.from.slot)];
        }
        match self.accept(report) {
            ReportStatus::Stale => return Vec::new(),
            ReportStatus::Unproven => return vec![self.recover(&report.from.slot)],
            ReportStatus::First => self.open_accounts(report, now_us),
            ReportStatus::Later => {}
        }
        self.note_borrowers(&report.borrowers);
        self.check_recovered(now_us);
        self.apply_accounts(report, now_us);
        if !self.is_recovered {
            return Vec::new();
        }
        self.answer(report, now_us)
    }

    /// Reclaims, rebalances and repeats open messages; call about every 100 ms.
    ///
    /// ```
    /// use yuccalatch::process::limits::{ledger::Ledger, message::Epoch};
    ///
    /// let mut ledger = Ledger::new(0, Epoch::default(), vec!["entry-1".into()]);
    /// assert!(ledger.tick(0)[0].is_recovery_request);
    /// ```
    pub fn tick(&mut self, now_us: u64) -> Vec<Directive> {
        self.drop_gone(now_us);
        self.check_recovered(now_us);
        if !self.is_recovered {
            return self.recover_all();
        }
        let mut outgoing = Outgoing::new();
        for (name, book) in &mut self.books {
            book.settle(now_us);
            let mut recalls = book.plan_shortfalls(now_us);
            for (slot, recall) in book.plan_standing(&self.deputies, now_us) {
                recalls.entry(slot).or_insert(recall);
            }
            book.collect_directives(name, &recalls, None, &mut outgoing);
        }
        self.directives(outgoing)
    }

    fn accept(&mut self, report: &HolderReport) -> ReportStatus {
        let slot = self.slots.get_mut(&report.from.slot);
        slot.map_or(ReportStatus::Stale, |slot| {
            slot.accept(report, self.sequence)
        })
    }

    /// Replaces the accounts of an earlier incarnation by the answer of a new
    /// one; what the earlier one held becomes free with an empty level.
    fn open_accounts(&mut self, report: &HolderReport, now_us: u64) {
        let slot = &report.from.slot;
        self.is_confirming = false;
        self.reclaim(slot);
        for answer in &report.accounts {
            let released = answer.release.map(|release| release.share.amount);
            let held = answer.held.plus(released.unwrap_or_default());
            let book = self.book(&answer.organisation, now_us);
            book.open_account(slot, held);
        }
    }

    fn apply_accounts(&mut self, report: &HolderReport, now_us: u64) {
        let slot = &report.from.slot;
        let mut has_granted = false;
        for answer in &report.accounts {
            has_granted |= answer.granted_tokens > 0;
            let is_recovered = self.is_recovered;
            self.book(&answer.organisation, now_us)
                .apply(slot, answer, is_recovered, now_us);
        }
        if let Some(slot) = self.slots.get_mut(slot) {
            slot.has_granted |= has_granted;
        }
    }

    fn answer(&mut self, report: &HolderReport, now_us: u64) -> Vec<Directive> {
        let mut outgoing = Outgoing::new();
        if report.is_complete {
            outgoing.insert(report.from.slot.clone(), Vec::new());
        }
        for answer in &report.accounts {
            let Some(book) = self.books.get_mut(&answer.organisation) else {
                continue;
            };
            let is_urgent = answer.demand.shortfall_tokens > 0 || answer.release.is_some();
            let acknowledged = answer.release.map(|_| &report.from.slot);
            if is_urgent {
                let recalls = book.plan_shortfalls(now_us);
                book.collect_directives(
                    &answer.organisation,
                    &recalls,
                    acknowledged,
                    &mut outgoing,
                );
            }
        }
        self.directives(outgoing)
    }

    fn drop_gone(&mut self, now_us: u64) {
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
        // Grants between deputies and holders are known to those two only; a
        // new epoch asks everybody again and finds what is lost.
        self.needs_new_epoch |= has_lost && (was_delegate || is_granting);
    }

    fn directives(&mut self, outgoing: Outgoing) -> Vec<Directive> {
        let mut directives = Vec::new();
        for (name, accounts) in outgoing {
            let is_delegate = self.deputies.contains(&name);
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

    fn book(&mut self, organisation: &Name, now_us: u64) -> &mut Book {
        self.books
            .entry(organisation.clone())
            .or_insert_with(|| Book::new(now_us))
    }
}
