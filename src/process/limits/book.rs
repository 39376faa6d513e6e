//! Limits, accounts and unlent shares of one organisation at its ledger.

use std::collections::BTreeMap;

use super::{
    account::LenderAccount,
    allocation::SharePlan,
    bucket::TokenBucket,
    message::{
        AccountDirective,
        AccountReport,
        RateAndBurst,
        Recall, //
    },
};
use crate::names::Name;

/// Instructions to send, by the slot of their receiver.
pub(super) type DirectivesBySlot = BTreeMap<Name, Vec<AccountDirective>>;

/// State of one organisation at the ledger in its epoch.
#[derive(Debug)]
pub(super) struct OrganisationBook {
    revision: u64,
    /// Limits of the configuration revision.
    configured: RateAndBurst,
    /// Limits that the sum of the shares has to fit now. They are lowered at once,
    /// and raised to the configured ones when the held shares fit.
    limits: RateAndBurst,
    accounts: BTreeMap<Name, LenderAccount>,
    /// Shares of delegates that are gone; their grants may still be in use.
    reserved: RateAndBurst,
    pool: TokenBucket,
}

impl OrganisationBook {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            revision: 0,
            configured: RateAndBurst::default(),
            limits: RateAndBurst::default(),
            accounts: BTreeMap::new(),
            reserved: RateAndBurst::default(),
            pool: TokenBucket::new(now_us),
        }
    }

    /// Sets the limits of a configuration revision; returns whether it was new.
    pub(super) fn set_limits(&mut self, limits: RateAndBurst, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        // Nothing was lent in this epoch before the first revision.
        self.limits = match self.revision {
            0 => limits,
            _ => self.limits.min(limits),
        };
        self.revision = revision;
        self.configured = limits;
        true
    }

    pub(super) fn is_in_force(&self) -> bool {
        self.limits == self.configured && self.held().minus(self.limits).is_zero()
    }

    pub(super) fn open_account(&mut self, slot: &Name, held: RateAndBurst) {
        self.accounts.insert(slot.clone(), LenderAccount::new(held));
    }

    /// Closes the account of a holder that is gone; returns whether it had a share.
    ///
    /// The share of a delegate stays reserved.
    pub(super) fn reclaim(&mut self, slot: &Name, was_delegate: bool) -> bool {
        let Some(account) = self.accounts.remove(slot) else {
            return false;
        };
        if was_delegate {
            self.reserved = self.reserved.plus(account.held());
        }
        !account.held().is_zero()
    }

    pub(super) const fn unlent(&self) -> RateAndBurst {
        self.pool.amount()
    }

    /// Returns the most that holders may have, with the reserved shares.
    fn held(&self) -> RateAndBurst {
        let accounts = self.accounts.values().map(LenderAccount::held);
        accounts.fold(self.reserved, RateAndBurst::plus)
    }

    /// Sets the pool to the part of the limits that no holder may have.
    ///
    /// Computing it from the limits keeps the sum of the shares within them even
    /// if a share is counted twice during a recovery.
    pub(super) fn update_pool(&mut self, now_us: u64) {
        let held = self.held();
        if held.minus(self.limits).is_zero() {
            self.limits = self.configured;
        }
        self.pool.resize(self.limits.minus(held), now_us);
    }

    /// Applies a report of the holder in a slot; the tokens of a released share
    /// return to the pool once the ledger is recovered.
    pub(super) fn apply(
        &mut self,
        slot: &Name,
        report: &AccountReport,
        is_recovered: bool,
        now_us: u64,
    ) {
        let account = self.accounts.entry(slot.clone()).or_default();
        let released = account.apply(report);
        if !is_recovered {
            return;
        }
        self.update_pool(now_us);
        if let Some(share) = released {
            self.pool
                .put_back_microtokens(share.level_microtokens, now_us);
        }
    }

    /// Lends single grants to holders with waiting requests and returns recalls.
    ///
    /// While holders have more than the limits, it only recalls the excess.
    pub(super) fn plan_shortfalls(&mut self, now_us: u64) -> BTreeMap<Name, Recall> {
        // Until the configuration sets limits, shares are not recalled either.
        if self.revision == 0 {
            return BTreeMap::new();
        }
        let held = self.held();
        let excess = held.minus(self.limits);
        if !excess.is_zero() {
            return SharePlan::for_excess(&self.accounts, held, excess).recalls;
        }
        let plan = SharePlan::for_shortfalls(&self.accounts, &mut self.pool, now_us);
        self.lend(plan, now_us)
    }

    /// Lends standing shares by demand and returns recalls.
    pub(super) fn plan_standing_shares(
        &mut self,
        delegates: &[Name],
        now_us: u64,
    ) -> BTreeMap<Name, Recall> {
        if self.revision == 0 || !self.held().minus(self.limits).is_zero() {
            return BTreeMap::new();
        }
        let free = self.pool.amount();
        let plan = SharePlan::for_demand(&self.accounts, delegates, self.limits, free);
        self.lend(plan, now_us)
    }

    /// Opens the lends of a plan and returns its recalls.
    fn lend(&mut self, plan: SharePlan, now_us: u64) -> BTreeMap<Name, Recall> {
        for (slot, lend) in plan.lends {
            let share = self.pool.split(lend.amount, lend.level_tokens, now_us);
            if let Some(account) = self.accounts.get_mut(&slot)
                && !share.amount.is_zero()
            {
                account.open_lend(share);
            }
        }
        plan.recalls
    }

    /// Adds a directive for each account that has an open lend or a recall, and
    /// for the slot whose release is acknowledged.
    pub(super) fn collect_directives(
        &self,
        name: &Name,
        recalls: &BTreeMap<Name, Recall>,
        acknowledged: Option<&Name>,
        outgoing: &mut DirectivesBySlot,
    ) {
        for (slot, account) in &self.accounts {
            let recall = recalls.get(slot).copied();
            let is_needed =
                account.lend().is_some() || recall.is_some() || acknowledged == Some(slot);
            if is_needed {
                let directive = AccountDirective {
                    organisation: name.clone(),
                    lend: account.lend(),
                    last_applied_release: account.last_applied_release(),
                    recall,
                };
                outgoing.entry(slot.clone()).or_default().push(directive);
            }
        }
    }
}
