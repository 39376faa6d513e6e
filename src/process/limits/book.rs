//! Accounts and pool of one organisation at its ledger.

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

/// Instructions per slot.
pub(super) type Outgoing = BTreeMap<Name, Vec<AccountDirective>>;

/// What the ledger knows of one organisation in its epoch.
#[derive(Debug)]
pub(super) struct Book {
    revision: u64,
    /// Limits that the configuration asks for.
    wanted: RateAndBurst,
    /// Limits that the shares may add up to now.
    limits: RateAndBurst,
    accounts: BTreeMap<Name, LenderAccount>,
    /// Shares of gone deputies, whose grants may still be in use.
    reserved: RateAndBurst,
    pool: TokenBucket,
}

impl Book {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            revision: 0,
            wanted: RateAndBurst::default(),
            limits: RateAndBurst::default(),
            accounts: BTreeMap::new(),
            reserved: RateAndBurst::default(),
            pool: TokenBucket::new(now_us),
        }
    }

    /// Returns whether the revision was new.
    pub(super) fn set_limits(&mut self, limits: RateAndBurst, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        // Before the first revision nothing was lent in this epoch.
        self.limits = match self.revision {
            0 => limits,
            _ => self.limits.min(limits),
        };
        self.revision = revision;
        self.wanted = limits;
        true
    }

    pub(super) fn is_in_force(&self) -> bool {
        self.limits == self.wanted && self.held().minus(self.limits).is_zero()
    }

    pub(super) fn open_account(&mut self, slot: &Name, held: RateAndBurst) {
        self.accounts.insert(slot.clone(), LenderAccount::new(held));
    }

    /// Takes the share of a gone holder; returns whether it had one.
    pub(super) fn reclaim(&mut self, slot: &Name, was_deputy: bool) -> bool {
        let Some(account) = self.accounts.remove(slot) else {
            return false;
        };
        if was_deputy {
            self.reserved = self.reserved.plus(account.held());
        }
        !account.held().is_zero()
    }

    pub(super) const fn unlent(&self) -> RateAndBurst {
        self.pool.amount()
    }

    fn held(&self) -> RateAndBurst {
        let accounts = self.accounts.values().map(LenderAccount::held);
        accounts.fold(self.reserved, RateAndBurst::plus)
    }

    /// Sets the pool to what nobody may hold.
    ///
    /// Deriving it from the whole keeps the sum within the limits even where a
    /// share is counted twice during a recovery.
    pub(super) fn settle(&mut self, now_us: u64) {
        let held = self.held();
        if held.minus(self.limits).is_zero() {
            self.limits = self.wanted;
        }
        self.pool.resize(self.limits.minus(held), now_us);
    }

    pub(super) fn apply(
        &mut self,
        slot: &Name,
        answer: &AccountReport,
        is_recovered: bool,
        now_us: u64,
    ) {
        let account = self.accounts.entry(slot.clone()).or_default();
        let released = account.apply(answer);
        if !is_recovered {
            return;
        }
        self.settle(now_us);
        if let Some(share) = released {
            self.pool
                .put_back_microtokens(share.level_microtokens, now_us);
        }
    }

    pub(super) fn plan_shortfalls(&mut self, now_us: u64) -> BTreeMap<Name, Recall> {
        // Without limits from the configuration nothing is asked back either.
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

    pub(super) fn plan_standing(
        &mut self,
        deputies: &[Name],
        now_us: u64,
    ) -> BTreeMap<Name, Recall> {
        if self.revision == 0 || !self.held().minus(self.limits).is_zero() {
            return BTreeMap::new();
        }
        let free = self.pool.amount();
        let plan = SharePlan::for_demand(&self.accounts, deputies, self.limits, free);
        self.lend(plan, now_us)
    }

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

    pub(super) fn collect_directives(
        &self,
        name: &Name,
        recalls: &BTreeMap<Name, Recall>,
        acknowledged: Option<&Name>,
        outgoing: &mut Outgoing,
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
