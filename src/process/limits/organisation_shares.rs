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
const SAMPLE_US: u64 = 200_000;
/// An account without changes is reported this often, because an earlier
/// report may have been lost.
const REFRESH_US: u64 = 5_000_000;

/// Weight of the newest sample is one in this many, which averages requests of
/// thousands of tokens over about 1.6 s.
const SAMPLE_WEIGHT: u64 = 8;
/// A demand or level that changed by one part in this many is reported.
const CHANGE_PARTS: u64 = 4;

/// Shares and demand of one organisation at one holder.
#[derive(Debug)]
pub(super) struct OrganisationShares {
    rate_limiter: Arc<RateLimiter>,
    own: BorrowerAccount,
    borrowed: BTreeMap<Incarnation, BorrowerAccount>,
    granted: BTreeMap<HolderId, LenderAccount>,
    demand: HolderDemand,
    reported: HolderDemand,
    report_due_at_us: u64,
    sampled_at_us: u64,
    sampled_tokens: u64,
}

impl OrganisationShares {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            rate_limiter: Arc::new(RateLimiter::new(now_us)),
            own: BorrowerAccount::default(),
            borrowed: BTreeMap::new(),
            granted: BTreeMap::new(),
            demand: HolderDemand::default(),
            reported: HolderDemand::default(),
            report_due_at_us: 0,
            sampled_at_us: now_us,
            sampled_tokens: 0,
        }
    }

    pub(super) fn rate_limiter(&self) -> Arc<RateLimiter> {
        Arc::clone(&self.rate_limiter)
    }

    pub(super) fn is_returned(&self) -> bool {
        self.own.held().is_zero() && self.own.release().is_none()
    }

    /// Abandons the transfers of the earlier epoch; returns who may still
    /// receive a grant of it.
    pub(super) fn follow_epoch(&mut self) -> impl Iterator<Item = HolderId> + use<> {
        self.borrowed.clear();
        // The bucket has exactly what is neither granted nor on its way.
        self.own = BorrowerAccount::new(self.rate_limiter.amount());
        std::mem::take(&mut self.granted).into_keys()
    }

    /// Applies an instruction; returns whether a share arrived.
    pub(super) fn apply(
        &mut self,
        lender: Lender,
        account: &AccountDirective,
        now_us: u64,
    ) -> bool {
        self.report_due_at_us = 0;
        let loan = match lender {
            Lender::Ledger => &mut self.own,
            Lender::Delegate(deputy) => self.borrowed.entry(deputy).or_default(),
        };
        loan.acknowledge(account.last_applied_release);
        let lent = account.lend.and_then(|lend| loan.accept(lend));
        if let Some(share) = lent {
            self.rate_limiter.merge(share, now_us);
        }
        if let Some(recall) = account.recall
            && loan.may_release(account.last_applied_release)
        {
            let wanted = recall.amount.min(loan.held());
            let share = self.rate_limiter.split(wanted, recall.level_tokens, now_us);
            if !share.amount.is_zero() {
                loan.open_release(share);
            }
        }
        lent.is_some()
    }

    pub(super) fn sample(&mut self, now_us: u64) {
        let DemandSample {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.rate_limiter.sample_demand(now_us);
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

    pub(super) fn is_due(&self, now_us: u64) -> bool {
        let is_idle = self.demand == HolderDemand::default() && self.own.held().is_zero();
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

    pub(super) fn hand_back(&mut self, now_us: u64) {
        // Without a demand the ledger lends nothing new.
        self.demand = HolderDemand::default();
        if self.own.release().is_none() && !self.own.held().is_zero() {
            let share = self.rate_limiter.split(self.own.held(), 0, now_us);
            if !share.amount.is_zero() {
                self.own.open_release(share);
            }
        }
    }

    pub(super) fn own_report(&mut self, name: &Name, now_us: u64) -> AccountReport {
        self.report_due_at_us = now_us.saturating_add(REFRESH_US);
        self.reported = self.demand;
        let granted = self.granted.values().map(LenderAccount::held);
        AccountReport {
            organisation: name.clone(),
            held: self.own.held(),
            last_applied_lend: self.own.last_applied_lend(),
            release: self.own.release(),
            demand: self.demand,
            granted_tokens: granted
                .fold(RateAndBurst::default(), RateAndBurst::plus)
                .burst_tokens,
        }
    }

    pub(super) fn deputy_report(
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
            let share = self.rate_limiter.split(loan.held(), 0, now_us);
            if !share.amount.is_zero() {
                loan.open_release(share);
            }
        }
        let report = AccountReport {
            organisation: name.clone(),
            held: loan.held(),
            last_applied_lend: loan.last_applied_lend(),
            release: loan.release(),
            demand: self.demand,
            granted_tokens: 0,
        };
        // The entry stays for its numbers: they must not start again.
        let is_settled = !is_short && loan.release().is_none() && loan.held().is_zero();
        (!is_settled).then_some(report)
    }

    pub(super) fn grant(
        &mut self,
        borrower: &HolderId,
        asked: &AccountReport,
        is_delegate: bool,
        now_us: u64,
    ) -> Option<AccountDirective> {
        if !is_delegate && !self.granted.contains_key(borrower) {
            return None;
        }
        let account = self.granted.entry(borrower.clone()).or_default();
        if let Some(share) = account.apply(asked) {
            self.rate_limiter.merge(share, now_us);
        }
        let DemandSample {
            offered_tokens,
            shortfall_tokens,
            level_tokens,
        } = self.rate_limiter.sample_demand(now_us);
        self.sampled_tokens = self.sampled_tokens.saturating_add(offered_tokens);
        let wanted_tokens = asked.demand.shortfall_tokens.min(level_tokens);
        let may_grant = is_delegate && shortfall_tokens == 0 && account.lend().is_none();
        if may_grant && wanted_tokens > 0 {
            let wanted = RateAndBurst {
                rate_tokens_per_s: 0,
                burst_tokens: wanted_tokens,
            };
            account.open_lend(self.rate_limiter.split(wanted, wanted_tokens, now_us));
        }
        Some(AccountDirective {
            organisation: asked.organisation.clone(),
            lend: account.lend(),
            last_applied_release: account.last_applied_release(),
            recall: None,
        })
    }
}
