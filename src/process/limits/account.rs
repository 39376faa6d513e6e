//! Both sides of the transfers between one lender and one holder.
//!
//! Each direction has at most one open transfer. The sender subtracts a share
//! before it sends the transfer, and repeats the transfer until it is
//! acknowledged; the receiver applies each number once. A share can therefore
//! never be used by two processes, whichever messages are lost, repeated or
//! reordered.

use super::message::{
    AccountReport,
    HolderDemand,
    RateAndBurst,
    Share,
    Transfer, //
};

/// Holder's side: shares borrowed from one lender in the current epoch.
#[derive(Clone, Debug, Default)]
pub struct BorrowerAccount {
    held: RateAndBurst,
    last_applied_lend: u64,
    release: Option<Transfer>,
    releases: u64,
}

impl BorrowerAccount {
    /// Creates an account with the shares that the process had before the epoch.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::BorrowerAccount, message::RateAndBurst};
    ///
    /// assert!(BorrowerAccount::new(RateAndBurst::default()).held().is_zero());
    /// ```
    pub fn new(held: RateAndBurst) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Returns the sum of the shares held, without the open release.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::BorrowerAccount;
    ///
    /// assert!(BorrowerAccount::default().held().is_zero());
    /// ```
    pub const fn held(&self) -> RateAndBurst {
        self.held
    }

    /// Returns the number of the last lend that was applied.
    ///
    /// ```
    /// assert_eq!(yuccalatch::process::limits::account::BorrowerAccount::default().last_applied_lend(), 0);
    /// ```
    pub const fn last_applied_lend(&self) -> u64 {
        self.last_applied_lend
    }

    /// Returns the release that is not acknowledged yet.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::BorrowerAccount::default().release().is_none());
    /// ```
    pub const fn release(&self) -> Option<Transfer> {
        self.release
    }

    /// Applies a lend and returns its share; `None` when it was applied before.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::BorrowerAccount, message::*};
    ///
    /// let mut account = BorrowerAccount::default();
    /// let lend = Transfer { number: 1, share: Share::default() };
    /// assert!(account.accept(lend).is_some());
    /// assert!(account.accept(lend).is_none());
    /// ```
    pub fn accept(&mut self, lend: Transfer) -> Option<Share> {
        if lend.number <= self.last_applied_lend {
            return None;
        }
        self.last_applied_lend = lend.number;
        self.held = self.held.plus(lend.share.amount);
        Some(lend.share)
    }

    /// Returns whether a recall may be followed that the lender sent after it
    /// had applied the given release; an older recall was followed already.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::BorrowerAccount::default().may_release(0));
    /// ```
    pub const fn may_release(&self, last_applied_release: u64) -> bool {
        self.release.is_none() && self.releases == last_applied_release
    }

    /// Opens the release of a share that was already split off the bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::BorrowerAccount, message::Share};
    ///
    /// let mut account = BorrowerAccount::default();
    /// account.open_release(Share::default());
    /// assert!(!account.may_release(0));
    /// ```
    pub fn open_release(&mut self, share: Share) {
        self.releases += 1;
        self.held = self.held.minus(share.amount);
        self.release = Some(Transfer {
            number: self.releases,
            share,
        });
    }

    /// Closes the open release if the lender has applied it.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::BorrowerAccount, message::Share};
    ///
    /// let mut account = BorrowerAccount::default();
    /// account.open_release(Share::default());
    /// account.acknowledge(1);
    /// assert!(account.release().is_none());
    /// ```
    pub fn acknowledge(&mut self, last_applied_release: u64) {
        if self.releases <= last_applied_release {
            self.release = None;
        }
    }
}

/// Lender's side: shares lent to one holder in the current epoch.
#[derive(Clone, Debug, Default)]
pub struct LenderAccount {
    held: RateAndBurst,
    lend: Option<Transfer>,
    lends: u64,
    last_applied_release: u64,
    demand: HolderDemand,
}

impl LenderAccount {
    /// Creates an account with the shares of a holder's first answer in the epoch.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::LenderAccount, message::RateAndBurst};
    ///
    /// assert!(LenderAccount::new(RateAndBurst::default()).held().is_zero());
    /// ```
    pub fn new(held: RateAndBurst) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Returns the most that the holder may have, including an open lend.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::LenderAccount;
    ///
    /// assert!(LenderAccount::default().held().is_zero());
    /// ```
    pub const fn held(&self) -> RateAndBurst {
        self.held
    }

    /// Returns the lend that is not acknowledged yet.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::LenderAccount::default().lend().is_none());
    /// ```
    pub const fn lend(&self) -> Option<Transfer> {
        self.lend
    }

    /// Returns the number of the last release that was applied.
    ///
    /// ```
    /// assert_eq!(yuccalatch::process::limits::account::LenderAccount::default().last_applied_release(), 0);
    /// ```
    pub const fn last_applied_release(&self) -> u64 {
        self.last_applied_release
    }

    /// Returns the demand in the last report of the holder.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::LenderAccount;
    ///
    /// assert_eq!(LenderAccount::default().demand().shortfall_tokens, 0);
    /// ```
    pub const fn demand(&self) -> HolderDemand {
        self.demand
    }

    /// Opens the lend of a share that was already split off the lender's bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::LenderAccount, message::Share};
    ///
    /// let mut account = LenderAccount::default();
    /// account.open_lend(Share::default());
    /// assert!(account.lend().is_some());
    /// ```
    pub fn open_lend(&mut self, share: Share) {
        self.lends += 1;
        self.held = self.held.plus(share.amount);
        self.lend = Some(Transfer {
            number: self.lends,
            share,
        });
    }

    /// Applies a report and returns the share that it releases; `None` when that
    /// release was applied before.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::LenderAccount, message::*};
    ///
    /// let mut account = LenderAccount::default();
    /// let report = AccountReport {
    ///     organisation: "acme".into(),
    ///     held: RateAndBurst::default(),
    ///     last_applied_lend: 0,
    ///     release: Some(Transfer { number: 1, share: Share::default() }),
    ///     demand: HolderDemand::default(),
    ///     granted_tokens: 0,
    /// };
    /// assert!(account.apply(&report).is_some());
    /// assert!(account.apply(&report).is_none());
    /// ```
    pub fn apply(&mut self, report: &AccountReport) -> Option<Share> {
        self.demand = report.demand;
        if report.last_applied_lend >= self.lends {
            self.lend = None;
        }
        let release = report.release?;
        if release.number <= self.last_applied_release {
            return None;
        }
        self.last_applied_release = release.number;
        self.held = self.held.minus(release.share.amount);
        Some(release.share)
    }
}
