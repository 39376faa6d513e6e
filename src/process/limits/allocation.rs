//! Division of the limits of one organisation by demand, planned by a ledger.

use std::collections::BTreeMap;

use super::{
    account::LenderAccount,
    bucket::{
        TokenBucket,
        scale, //
    },
    message::{
        RateAndBurst,
        Recall, //
    },
};
use crate::names::Name;

/// Part of the limits that stays in the ledger's pool for single grants, in
/// percent.
pub const POOL_PERCENT: u64 = 10;
/// Part of the limits that each delegate holds beyond its own demand, in
/// percent. With 10, the loss of a ledger in an outage made entries refuse up to
/// 0.98% of the requests within the rate, see `docs/limits.md`.
pub const DELEGATE_RESERVE_PERCENT: u64 = 15;
/// A standing share is changed if it differs from the wanted one by more than
/// this, in percent of the wanted one. Smaller changes cost messages and gain
/// nothing.
pub const SHARE_TOLERANCE_PERCENT: u64 = 15;
/// Holders with less than this part of the demand get only single grants, in
/// percent.
pub const MIN_SHARE_PERCENT: u64 = 1;

const PERCENT: u64 = 100;

/// Planned changes of the shares of one organisation, by slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharePlan {
    /// Shares to lend, with the tokens transferred with the burst.
    pub lends: BTreeMap<Name, Recall>,
    /// Shares to ask back.
    pub recalls: BTreeMap<Name, Recall>,
}

impl SharePlan {
    /// Plans recalls of what exceeds lowered limits, in proportion to the shares.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use yuccalatch::process::limits::{
    ///     account::LenderAccount,
    ///     allocation::SharePlan,
    ///     message::RateAndBurst,
    /// };
    ///
    /// let held = RateAndBurst { rate_tokens_per_s: 10, burst_tokens: 10 };
    /// let accounts = BTreeMap::from([("a".into(), LenderAccount::new(held))]);
    /// let excess = RateAndBurst { rate_tokens_per_s: 4, burst_tokens: 0 };
    /// let plan = SharePlan::for_excess(&accounts, held, excess);
    /// assert_eq!(plan.recalls["a"].amount, excess);
    /// ```
    pub fn for_excess(
        accounts: &BTreeMap<Name, LenderAccount>,
        held: RateAndBurst,
        excess: RateAndBurst,
    ) -> Self {
        let mut plan = Self::default();
        for (slot, account) in accounts {
            let part = RateAndBurst {
                rate_tokens_per_s: proportion_rounded_up(
                    excess.rate_tokens_per_s,
                    account.held().rate_tokens_per_s,
                    held.rate_tokens_per_s,
                ),
                burst_tokens: proportion_rounded_up(
                    excess.burst_tokens,
                    account.held().burst_tokens,
                    held.burst_tokens,
                ),
            };
            plan.recall(slot, part, 0);
        }
        plan
    }

    /// Plans single grants for waiting requests.
    ///
    /// What the pool lacks is recalled from holders without waiting requests,
    /// at most half of its level from each.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use yuccalatch::process::limits::{allocation::SharePlan, bucket::TokenBucket};
    ///
    /// let plan = SharePlan::for_shortfalls(&BTreeMap::new(), &mut TokenBucket::new(0), 0);
    /// assert_eq!(plan, SharePlan::default());
    /// ```
    pub fn for_shortfalls(
        accounts: &BTreeMap<Name, LenderAccount>,
        pool: &mut TokenBucket,
        now_us: u64,
    ) -> Self {
        let mut plan = Self::default();
        let mut free_tokens = pool.level_tokens(now_us);
        let mut missing_tokens = 0;
        for (slot, account) in accounts {
            let shortfall_tokens = account.demand().shortfall_tokens;
            if shortfall_tokens == 0 || account.lend().is_some() {
                continue;
            }
            let granted_tokens = shortfall_tokens.min(free_tokens);
            free_tokens -= granted_tokens;
            missing_tokens += shortfall_tokens - granted_tokens;
            plan.lend(slot, burst_only(granted_tokens), granted_tokens);
        }
        plan.recall_tokens(accounts, missing_tokens);
        plan
    }

    /// Plans standing shares in proportion to the demand.
    ///
    /// The plan is empty without demand.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use yuccalatch::process::limits::{allocation::SharePlan, message::RateAndBurst};
    ///
    /// let none = RateAndBurst::default();
    /// let plan = SharePlan::for_demand(&BTreeMap::new(), &[], none, none);
    /// assert_eq!(plan, SharePlan::default());
    /// ```
    pub fn for_demand(
        accounts: &BTreeMap<Name, LenderAccount>,
        delegates: &[Name],
        limits: RateAndBurst,
        free: RateAndBurst,
    ) -> Self {
        let mut plan = Self::default();
        let offered = |account: &LenderAccount| account.demand().offered_tokens_per_s;
        let total_tokens_per_s: u64 = accounts.values().map(offered).sum();
        if total_tokens_per_s == 0 {
            return plan;
        }
        let reserve = percent(limits, DELEGATE_RESERVE_PERCENT);
        let delegate_count = delegates
            .iter()
            .filter(|&slot| accounts.contains_key(slot))
            .count();
        let mut shared = limits.minus(percent(limits, POOL_PERCENT));
        for _ in 0..delegate_count {
            shared = shared.minus(reserve);
        }
        let mut free = free;
        for (slot, account) in accounts {
            let demand_tokens_per_s = offered(account);
            let mut wanted = RateAndBurst::default();
            if demand_tokens_per_s * PERCENT >= total_tokens_per_s * MIN_SHARE_PERCENT {
                wanted = proportion(shared, demand_tokens_per_s, total_tokens_per_s);
            }
            if delegates.contains(slot) {
                wanted = wanted.plus(reserve);
            }
            free = plan.change_share(slot, account, wanted, free);
        }
        plan
    }

    /// Plans the change from the held to the wanted share and returns what
    /// remains free.
    fn change_share(
        &mut self,
        slot: &Name,
        account: &LenderAccount,
        wanted: RateAndBurst,
        free: RateAndBurst,
    ) -> RateAndBurst {
        let held = account.held();
        let tolerance = percent(wanted, SHARE_TOLERANCE_PERCENT);
        let excess = held.minus(wanted);
        let lacking = wanted.minus(held);
        if exceeds(excess, tolerance) {
            self.recall(slot, releasable(account, wanted, excess), 0);
        }
        if !exceeds(lacking, tolerance) || account.lend().is_some() {
            return free;
        }
        let lent = lacking.min(free);
        self.lend(slot, lent, 0);
        free.minus(lent)
    }

    fn recall_tokens(&mut self, accounts: &BTreeMap<Name, LenderAccount>, missing_tokens: u64) {
        let spare_of = |account: &LenderAccount| match account.demand() {
            demand if demand.shortfall_tokens > 0 => 0,
            demand => (demand.level_tokens / 2).min(account.held().burst_tokens),
        };
        let spare_tokens: u64 = accounts.values().map(spare_of).sum();
        let recalled_tokens = missing_tokens.min(spare_tokens);
        for (slot, account) in accounts {
            let part_tokens =
                proportion_rounded_up(recalled_tokens, spare_of(account), spare_tokens);
            self.recall(slot, burst_only(part_tokens), part_tokens);
        }
    }

    fn lend(&mut self, slot: &Name, amount: RateAndBurst, level_tokens: u64) {
        if !amount.is_zero() {
            let lend = Recall {
                amount,
                level_tokens,
            };
            self.lends.insert(slot.clone(), lend);
        }
    }

    fn recall(&mut self, slot: &Name, amount: RateAndBurst, level_tokens: u64) {
        if !amount.is_zero() {
            let recall = Recall {
                amount,
                level_tokens,
            };
            self.recalls.insert(slot.clone(), recall);
        }
    }
}

/// Returns the part of an excess that waiting requests do not need.
///
/// A granted burst whose tokens are used up has to return to the pool even while
/// requests wait, because the pool cannot keep tokens without burst.
fn releasable(account: &LenderAccount, wanted: RateAndBurst, excess: RateAndBurst) -> RateAndBurst {
    let demand = account.demand();
    let needed_tokens = match demand.shortfall_tokens {
        0 => 0,
        shortfall_tokens => demand.level_tokens + shortfall_tokens.min(wanted.burst_tokens),
    };
    let unneeded_tokens = account.held().burst_tokens.saturating_sub(needed_tokens);
    RateAndBurst {
        rate_tokens_per_s: excess.rate_tokens_per_s,
        burst_tokens: excess.burst_tokens.min(unneeded_tokens),
    }
}

const fn burst_only(burst_tokens: u64) -> RateAndBurst {
    RateAndBurst {
        rate_tokens_per_s: 0,
        burst_tokens,
    }
}

fn percent(amount: RateAndBurst, percent: u64) -> RateAndBurst {
    proportion(amount, percent, PERCENT)
}

fn proportion(amount: RateAndBurst, part: u64, whole: u64) -> RateAndBurst {
    RateAndBurst {
        rate_tokens_per_s: scale(amount.rate_tokens_per_s, part, whole),
        burst_tokens: scale(amount.burst_tokens, part, whole),
    }
}

fn proportion_rounded_up(value: u64, part: u64, whole: u64) -> u64 {
    let rounded_down = scale(value, part, whole);
    // Rounding up lets the results add up to `value`; none exceeds `part`.
    (rounded_down + 1).min(value).min(part)
}

const fn exceeds(amount: RateAndBurst, tolerance: RateAndBurst) -> bool {
    amount.rate_tokens_per_s > tolerance.rate_tokens_per_s
        || amount.burst_tokens > tolerance.burst_tokens
}
