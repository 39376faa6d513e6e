//! Shares and demand of one organisation at one holder.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::{
    account::{
        BorrowerAccount,
        LenderAccount, //
    },
    message::{
        AccountDirective,
        AccountReport,
        HolderDemand,
        HolderId,
        Lender,
        RateAndBurst, //
    },
    rate_limiter::{
        DemandSample,
        RateLimiter, //
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
const SAMPLE_INTERVAL_US: u64 = 200_000;
/// Interval of reports of an account without changes. They are repeated because
/// an earlier report may have been lost.
const REPORT_INTERVAL_US: u64 = 5_000_000;

/// Samples in the moving average of the offered rate: the newest one counts as one
/// part in this many. Requests of thousands of tokens are thus averaged over about
/// 1.6 s.
const SAMPLES_PER_AVERAGE: u64 = 8;
/// A demand or level is reported when it has changed by more than one part in
/// this many.
const CHANGE_DIVISOR: u64 = 4;

/// Shares and demand of one organisation at one holder.
#[derive(Debug)]
pub(super) struct OrganisationShares {
    rate_limiter: Arc<RateLimiter>,
    /// Shares from the ledger.
    ledger_account: BorrowerAccount,
    /// Grants from delegates.
    delegate_accounts: BTreeMap<Incarnation, BorrowerAccount>,
    /// Grants to other holders, given as a delegate.
    granted: BTreeMap<HolderId, LenderAccount>,
    demand: HolderDemand,
    /// Demand in the last report to the ledger.
    reported_demand: HolderDemand,
    /// Zero when a report is due at once.
    report_due_at_us: u64,
    sampled_at_us: u64,
    sampled_tokens: u64,
}

impl OrganisationShares {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            rate_limiter: Arc::new(RateLimiter::new(now_us)),
            ledger_account: BorrowerAccount::default(),
            delegate_accounts: BTreeMap::new(),
            granted: BTreeMap::new(),
            demand: HolderDemand::default(),
            reported_demand: HolderDemand::default(),
            report_due_at_us: 0,
            sampled_at_us: now_us,
            sampled_tokens: 0,
        }
    }

    pub(super) fn rate_limiter(&self) -> Arc<RateLimiter> {
        Arc::clone(&self.rate_limiter)
    }

    /// Returns whether the ledger has all shares back.
    pub(super) fn is_returned(&self) -> bool {
        self.ledger_account.held().is_zero() && self.ledger_account.release().is_none()
    }

    /// Abandons the transfers of the earlier epoch; returns the holders that may
    /// still receive a grant of it.
    pub(super) fn reset_for_epoch(&mut self) -> impl Iterator<Item = HolderId> + use<> {
        self.delegate_accounts.clear();
        // The bucket holds exactly the shares that are neither granted nor in
        // an open transfer.
        self.ledger_account = BorrowerAccount::new(self.rate_limiter.amount());
        std::mem::take(&mut self.granted).into_keys()
    }

    /// Applies instructions of a lender; returns whether a share arrived.
    pub(super) fn apply_directive(
        &mut self,
        lender: Lender,
        directive: &AccountDirective,
        now_us: u64,
    ) -> bool {
        self.report_due_at_us = 0;
        let account = match lender {
            Lender::Ledger => &mut self.ledger_account,
            Lender::Delegate(delegate) => self.delegate_accounts.entry(delegate).or_default(),
        };
        account.acknowledge(directive.last_applied_release);
        let lent = directive.lend.and_then(|lend| account.accept(lend));
        if let Some(share) = lent {
            self.rate_limiter.merge(share, now_us);
        }
        if let Some(recall) = directive.recall
            && account.may_release(directive.last_applied_release)
        {
            let wanted = recall.amount.min(account.held());
            let share = self.rate_limiter.split(wanted, recall.level_tokens, now_us);
            if !share.amount.is_zero() {
                account.open_release(share);
            }
        }
        lent.is_some()
    }

    /// Updates the demand: shortfall and level at once, the average of the
    /// offered rate after each sample.
    pub(super) fn update_demand(&mut self, now_us: u64) {
        let DemandSample {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.rate_limiter.sample_demand(now_us);
        self.demand.shortfall_tokens = shortfall_tokens;
        self.demand.level_tokens = level_tokens;
        self.sampled_tokens = self.sampled_tokens.saturating_add(offered_tokens);
        let elapsed_us = now_us.saturating_sub(self.sampled_at_us);
        if elapsed_us < SAMPLE_INTERVAL_US {
            return;
        }
        let newest_tokens_per_s = super::bucket::scale(self.sampled_tokens, US_PER_S, elapsed_us);
        let average = &mut self.demand.offered_tokens_per_s;
        // A long gap counts as several samples.
        let samples = (elapsed_us / SAMPLE_INTERVAL_US).min(SAMPLES_PER_AVERAGE);
        let kept = average.saturating_mul(SAMPLES_PER_AVERAGE - samples);
        *average =
            kept.saturating_add(newest_tokens_per_s.saturating_mul(samples)) / SAMPLES_PER_AVERAGE;
        self.sampled_at_us = now_us;
        self.sampled_tokens = 0;
    }

    /// Returns whether the ledger needs a report of this organisation.
    pub(super) fn is_report_due(&self, now_us: u64) -> bool {
        let is_idle =
            self.demand == HolderDemand::default() && self.ledger_account.held().is_zero();
        let has_changed = |new: u64, old: u64| new.abs_diff(old) > new.max(old) / CHANGE_DIVISOR;
        self.ledger_account.release().is_some()
            || self.demand.shortfall_tokens > 0
            || self.demand.shortfall_tokens != self.reported_demand.shortfall_tokens
            || has_changed(
                self.demand.offered_tokens_per_s,
                self.reported_demand.offered_tokens_per_s,
            )
            || has_changed(self.demand.level_tokens, self.reported_demand.level_tokens)
            || (self.report_due_at_us <= now_us && (!is_idle || self.report_due_at_us == 0))
    }

    /// Opens a release of everything held from the ledger.
    pub(super) fn release_all(&mut self, now_us: u64) {
        // The ledger lends nothing more to a holder without demand.
        self.demand = HolderDemand::default();
        if self.ledger_account.release().is_none() && !self.ledger_account.held().is_zero() {
            let share = self
                .rate_limiter
                .split(self.ledger_account.held(), 0, now_us);
            if !share.amount.is_zero() {
                self.ledger_account.open_release(share);
            }
        }
    }

    pub(super) fn report_to_ledger(&mut self, name: &Name, now_us: u64) -> AccountReport {
        self.report_due_at_us = now_us.saturating_add(REPORT_INTERVAL_US);
        self.reported_demand = self.demand;
        let granted = self.granted.values().map(LenderAccount::held);
        AccountReport {
            organisation: name.clone(),
            held: self.ledger_account.held(),
            last_applied_lend: self.ledger_account.last_applied_lend(),
            release: self.ledger_account.release(),
            demand: self.demand,
            granted_tokens: granted
                .fold(RateAndBurst::default(), RateAndBurst::plus)
                .burst_tokens,
        }
    }

    /// Returns the account for a report to a delegate; `None` when there is
    /// nothing to ask for or return.
    pub(super) fn report_to_delegate(
        &mut self,
        name: &Name,
        delegate: Incarnation,
        now_us: u64,
    ) -> Option<AccountReport> {
        let is_short = self.demand.shortfall_tokens > 0;
        if !is_short && !self.delegate_accounts.contains_key(&delegate) {
            return None;
        }
        let account = self.delegate_accounts.entry(delegate).or_default();
        // A grant is returned once no waiting request lacks tokens.
        if !is_short && account.release().is_none() && !account.held().is_zero() {
            let share = self.rate_limiter.split(account.held(), 0, now_us);
            if !share.amount.is_zero() {
                account.open_release(share);
            }
        }
        let report = AccountReport {
            organisation: name.clone(),
            held: account.held(),
            last_applied_lend: account.last_applied_lend(),
            release: account.release(),
            demand: self.demand,
            granted_tokens: 0,
        };
        // The account stays in the map: the numbers of its transfers must not start
        // again.
        let is_settled = !is_short && account.release().is_none() && account.held().is_zero();
        (!is_settled).then_some(report)
    }

    /// Applies a report of a borrower and grants what it lacks, as far as
    /// this process is a delegate and has tokens to spare.
    pub(super) fn answer_borrower(
        &mut self,
        borrower: &HolderId,
        account_report: &AccountReport,
        is_delegate: bool,
        now_us: u64,
    ) -> Option<AccountDirective> {
        if !is_delegate && !self.granted.contains_key(borrower) {
            return None;
        }
        let account = self.granted.entry(borrower.clone()).or_default();
        if let Some(share) = account.apply(account_report) {
            self.rate_limiter.merge(share, now_us);
        }
        let DemandSample {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.rate_limiter.sample_demand(now_us);
        self.sampled_tokens = self.sampled_tokens.saturating_add(offered_tokens);
        let wanted_tokens = account_report.demand.shortfall_tokens.min(level_tokens);
        let may_grant = is_delegate && shortfall_tokens == 0 && account.lend().is_none();
        if may_grant && wanted_tokens > 0 {
            let wanted = RateAndBurst {
                rate_tokens_per_s: 0,
                burst_tokens: wanted_tokens,
            };
            account.open_lend(self.rate_limiter.split(wanted, wanted_tokens, now_us));
        }
        Some(AccountDirective {
            organisation: account_report.organisation.clone(),
            lend: account.lend(),
            last_applied_release: account.last_applied_release(),
            recall: None,
        })
    }
}
