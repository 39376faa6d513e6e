//! Holder of shares: the part of a process that may admit tokens.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use super::{
    account::{
        Account,
        Loan, //
    },
    message::{
        AccountDirective,
        AccountReport,
        Amount,
        Demand,
        Directive,
        HolderId,
        Lender,
        Report, //
    },
    meter::{
        Meter,
        Usage, //
    },
};
use crate::{
    clock::US_PER_S,
    names::{
        Incarnation,
        Name, //
    },
};

/// Length of one sample of the offered rate.
pub const SAMPLE_US: u64 = 200_000;
/// An account without changes is reported this often, because an earlier
/// report may have been lost.
pub const REFRESH_US: u64 = 5_000_000;

/// Weight of the newest sample is one in this many, which averages requests of
/// thousands of tokens over about 1.6 s.
const SAMPLE_WEIGHT: u64 = 8;
/// A demand or level that changed by one part in this many is reported.
const CHANGE_PARTS: u64 = 4;

#[derive(Debug)]
struct Organisation {
    meter: Arc<Meter>,
    own: Loan,
    borrowed: BTreeMap<Incarnation, Loan>,
    granted: BTreeMap<HolderId, Account>,
    demand: Demand,
    reported: Demand,
    report_due_at_us: u64,
    sampled_at_us: u64,
    sampled_tokens: u64,
}

/// Shares of one process in one ledger group.
#[derive(Debug)]
pub struct Holder {
    id: HolderId,
    group: u16,
    epoch: u64,
    heard: u64,
    sequence: u64,
    granted_sequence: u64,
    is_known: bool,
    is_deputy: bool,
    is_leaving: bool,
    organisations: BTreeMap<Name, Organisation>,
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
            epoch: 0,
            heard: 0,
            sequence: 0,
            granted_sequence: 0,
            is_known: false,
            is_deputy: false,
            is_leaving: false,
            organisations: BTreeMap::new(),
            borrowers: BTreeSet::new(),
        }
    }

    /// Returns the highest epoch seen.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the identity of the process.
    pub const fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns whether this process may grant to others.
    pub const fn is_deputy(&self) -> bool {
        self.is_deputy
    }

    /// Returns whether nothing is left to hand back.
    pub fn is_empty(&self) -> bool {
        self.organisations.values().all(|organisation| {
            organisation.own.held().is_zero() && organisation.own.release().is_none()
        })
    }

    /// Returns the meter of an organisation for the traffic side.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// assert!(holder.meter(&"acme".into(), 0).amount().is_zero());
    /// ```
    pub fn meter(&mut self, organisation: &Name, now_us: u64) -> Arc<Meter> {
        Arc::clone(&self.organisation(organisation, now_us).meter)
    }

    /// Starts to hand back all shares, before the process stops.
    ///
    /// The reports carry the releases until they are acknowledged; the process
    /// may stop once [`Holder::is_empty`] holds.
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
    /// use yuccalatch::process::limits::{holder::Holder, message::HolderId};
    ///
    /// let id = HolderId { slot: "entry-1".into(), incarnation: Incarnation(1) };
    /// let mut holder = Holder::new(id, 0);
    /// holder.observe_epoch(7);
    /// holder.observe_epoch(6);
    /// assert_eq!(holder.epoch(), 7);
    /// ```
    pub fn observe_epoch(&mut self, epoch: u64) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.heard = 0;
        self.is_known = false;
        self.is_deputy = false;
        for organisation in self.organisations.values_mut() {
            let granted = std::mem::take(&mut organisation.granted);
            self.borrowers.extend(granted.into_keys());
            organisation.borrowed.clear();
            // The bucket has exactly what is neither granted nor on its way.
            organisation.own = Loan::new(organisation.meter.amount());
        }
    }

    /// Adds processes that a ledger, retired in this process, has lent to.
    ///
    /// Has to be called before the next report, see [`super::participant`].
    pub fn add_borrowers(&mut self, borrowers: Vec<HolderId>) {
        self.borrowers.extend(borrowers);
    }

    /// Applies a message from the ledger or a deputy.
    ///
    /// Returns whether a share arrived, so that waiting requests are retried.
    pub fn on_directive(&mut self, directive: &Directive, now_us: u64) -> bool {
        let is_addressed = directive.slot == self.id.slot
            && directive.group == self.group
            && directive.to.is_none_or(|to| to == self.id.incarnation);
        if !is_addressed || directive.epoch < self.epoch {
            return false;
        }
        self.observe_epoch(directive.epoch);
        if directive.lender == Lender::Ledger && directive.sequence > self.heard {
            self.heard = directive.sequence;
            self.is_known = !directive.is_recover;
            self.is_deputy = directive.is_deputy;
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
    pub fn report(&mut self, now_us: u64) -> Option<Report> {
        let is_complete = !self.is_known;
        let mut accounts = Vec::new();
        for (name, organisation) in &mut self.organisations {
            organisation.sample(now_us);
            if self.is_leaving {
                organisation.hand_back(now_us);
            }
            if is_complete || organisation.is_due(now_us) {
                organisation.report_due_at_us = now_us.saturating_add(REFRESH_US);
                organisation.reported = organisation.demand;
                accounts.push(organisation.own_report(name));
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
    pub fn report_to_deputy(&mut self, deputy: Incarnation, now_us: u64) -> Option<Report> {
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
    pub fn on_report(&mut self, report: &Report, now_us: u64) -> Option<Directive> {
        if report.group != self.group {
            return None;
        }
        self.observe_epoch(report.epoch);
        let mut accounts = Vec::new();
        if report.epoch == self.epoch {
            for asked in &report.accounts {
                let is_deputy = self.is_deputy && !self.is_leaving;
                let organisation = self.organisation(&asked.organisation, now_us);
                accounts.extend(organisation.grant(&report.from, asked, is_deputy, now_us));
            }
        }
        self.granted_sequence += 1;
        Some(Directive {
            lender: Lender::Deputy(self.id.incarnation),
            to: Some(report.from.incarnation),
            slot: report.from.slot.clone(),
            group: self.group,
            epoch: self.epoch,
            sequence: self.granted_sequence,
            is_recover: false,
            is_deputy: false,
            accounts,
        })
    }

    fn apply(&mut self, lender: Lender, account: &AccountDirective, now_us: u64) -> bool {
        let organisation = self.organisation(&account.organisation, now_us);
        organisation.report_due_at_us = 0;
        let loan = match lender {
            Lender::Ledger => &mut organisation.own,
            Lender::Deputy(deputy) => organisation.borrowed.entry(deputy).or_default(),
        };
        loan.acknowledge(account.release_seen);
        let lent = account.lend.and_then(|lend| loan.accept(lend));
        if let Some(share) = lent {
            organisation.meter.merge(share, now_us);
        }
        if let Some(recall) = account.recall
            && loan.may_release(account.release_seen)
        {
            let wanted = recall.amount.min(loan.held());
            let share = organisation
                .meter
                .split(wanted, recall.level_tokens, now_us);
            if !share.amount.is_zero() {
                loan.open_release(share);
            }
        }
        lent.is_some()
    }

    fn envelope(&mut self, is_complete: bool, accounts: Vec<AccountReport>) -> Report {
        self.sequence += 1;
        Report {
            from: self.id.clone(),
            group: self.group,
            epoch: self.epoch,
            heard: self.heard,
            sequence: self.sequence,
            is_complete,
            accounts,
            borrowers: self.borrowers.iter().cloned().collect(),
        }
    }

    fn organisation(&mut self, name: &Name, now_us: u64) -> &mut Organisation {
        self.organisations
            .entry(name.clone())
            .or_insert_with(|| Organisation::new(now_us))
    }
}

impl Organisation {
    fn new(now_us: u64) -> Self {
        Self {
            meter: Arc::new(Meter::new(now_us)),
            own: Loan::default(),
            borrowed: BTreeMap::new(),
            granted: BTreeMap::new(),
            demand: Demand::default(),
            reported: Demand::default(),
            report_due_at_us: 0,
            sampled_at_us: now_us,
            sampled_tokens: 0,
        }
    }

    fn sample(&mut self, now_us: u64) {
        let Usage {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.meter.usage(now_us);
        self.demand.shortfall_tokens = shortfall_tokens;
        self.demand.level_tokens = level_tokens;
        self.sampled_tokens = self.sampled_tokens.saturating_add(offered_tokens);
        let elapsed_us = now_us.saturating_sub(self.sampled_at_us);
        if elapsed_us < SAMPLE_US {
            return;
        }
        let newest = super::bucket::scale(self.sampled_tokens, US_PER_S, elapsed_us);
        let average = &mut self.demand.offered_tokens_per_s;
        // A long gap counts as several samples.
        let samples = (elapsed_us / SAMPLE_US).min(SAMPLE_WEIGHT);
        let kept = average.saturating_mul(SAMPLE_WEIGHT - samples);
        *average = kept.saturating_add(newest.saturating_mul(samples)) / SAMPLE_WEIGHT;
        self.sampled_at_us = now_us;
        self.sampled_tokens = 0;
    }

    fn is_due(&self, now_us: u64) -> bool {
        let is_idle = self.demand == Demand::default() && self.own.held().is_zero();
        let has_changed = |new: u64, old: u64| new.abs_diff(old) > new.max(old) / CHANGE_PARTS;
        self.own.release().is_some()
            || self.demand.shortfall_tokens > 0
            || self.demand.shortfall_tokens != self.reported.shortfall_tokens
            || has_changed(
                self.demand.offered_tokens_per_s,
                self.reported.offered_tokens_per_s,
            )
            || has_changed(self.demand.level_tokens, self.reported.level_tokens)
            || (self.report_due_at_us <= now_us && (!is_idle || self.report_due_at_us == 0))
    }

    fn hand_back(&mut self, now_us: u64) {
        // Without a demand the ledger lends nothing new.
        self.demand = Demand::default();
        if self.own.release().is_none() && !self.own.held().is_zero() {
            let share = self.meter.split(self.own.held(), 0, now_us);
            if !share.amount.is_zero() {
                self.own.open_release(share);
            }
        }
    }

    fn own_report(&self, name: &Name) -> AccountReport {
        let granted = self.granted.values().map(Account::held);
        AccountReport {
            organisation: name.clone(),
            held: self.own.held(),
            lend_seen: self.own.lend_seen(),
            release: self.own.release(),
            demand: self.demand,
            granted_tokens: granted.fold(Amount::default(), Amount::plus).burst_tokens,
        }
    }

    fn deputy_report(
        &mut self,
        name: &Name,
        deputy: Incarnation,
        now_us: u64,
    ) -> Option<AccountReport> {
        let is_short = self.demand.shortfall_tokens > 0;
        if !is_short && !self.borrowed.contains_key(&deputy) {
            return None;
        }
        let loan = self.borrowed.entry(deputy).or_default();
        // A grant is returned as soon as the waiting requests are served.
        if !is_short && loan.release().is_none() && !loan.held().is_zero() {
            let share = self.meter.split(loan.held(), 0, now_us);
            if !share.amount.is_zero() {
                loan.open_release(share);
            }
        }
        let report = AccountReport {
            organisation: name.clone(),
            held: loan.held(),
            lend_seen: loan.lend_seen(),
            release: loan.release(),
            demand: self.demand,
            granted_tokens: 0,
        };
        // The entry stays for its numbers: they must not start again.
        let is_settled = !is_short && loan.release().is_none() && loan.held().is_zero();
        (!is_settled).then_some(report)
    }

    fn grant(
        &mut self,
        borrower: &HolderId,
        asked: &AccountReport,
        is_deputy: bool,
        now_us: u64,
    ) -> Option<AccountDirective> {
        if !is_deputy && !self.granted.contains_key(borrower) {
            return None;
        }
        let account = self.granted.entry(borrower.clone()).or_default();
        if let Some(share) = account.apply(asked) {
            self.meter.merge(share, now_us);
        }
        let Usage {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.meter.usage(now_us);
        self.sampled_tokens = self.sampled_tokens.saturating_add(offered_tokens);
        let wanted_tokens = asked.demand.shortfall_tokens.min(level_tokens);
        let may_grant = is_deputy && shortfall_tokens == 0 && account.lend().is_none();
        if may_grant && wanted_tokens > 0 {
            let wanted = Amount {
                rate_tokens_per_s: 0,
                burst_tokens: wanted_tokens,
            };
            account.open_lend(self.meter.split(wanted, wanted_tokens, now_us));
        }
        Some(AccountDirective {
            organisation: asked.organisation.clone(),
            lend: account.lend(),
            release_seen: account.release_seen(),
            recall: None,
        })
    }
}
