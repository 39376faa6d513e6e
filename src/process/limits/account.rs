//! Both sides of the transfers between one lender and one holder.
//!
//! Each direction has at most one open transfer. The sender subtracts a share
//! before it is sent and repeats the transfer until it is acknowledged; the
//! receiver applies each number once. No share is therefore usable at two
//! places, whatever is lost, repeated or reordered.

use super::message::{
    AccountReport,
    Amount,
    Demand,
    Share,
    Transfer, //
};

/// Holder's side: what was borrowed from one lender in the current epoch.
#[derive(Clone, Debug, Default)]
pub struct Loan {
    held: Amount,
    lend_seen: u64,
    release: Option<Transfer>,
    releases: u64,
}

impl Loan {
    /// Creates a loan with shares that were held before the epoch.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Loan, message::Amount};
    ///
    /// assert!(Loan::new(Amount::default()).held().is_zero());
    /// ```
    pub fn new(held: Amount) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Returns the shares held, without the open release.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::Loan;
    ///
    /// assert!(Loan::default().held().is_zero());
    /// ```
    pub const fn held(&self) -> Amount {
        self.held
    }

    /// Returns the number of the last lend that was applied.
    ///
    /// ```
    /// assert_eq!(yuccalatch::process::limits::account::Loan::default().lend_seen(), 0);
    /// ```
    pub const fn lend_seen(&self) -> u64 {
        self.lend_seen
    }

    /// Returns the release that is not acknowledged yet.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::Loan::default().release().is_none());
    /// ```
    pub const fn release(&self) -> Option<Transfer> {
        self.release
    }

    /// Accepts a lend; `None` when it was applied before.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Loan, message::*};
    ///
    /// let mut loan = Loan::default();
    /// let lend = Transfer { number: 1, share: Share::default() };
    /// assert!(loan.accept(lend).is_some());
    /// assert!(loan.accept(lend).is_none());
    /// ```
    pub fn accept(&mut self, lend: Transfer) -> Option<Share> {
        if lend.number <= self.lend_seen {
            return None;
        }
        self.lend_seen = lend.number;
        self.held = self.held.plus(lend.share.amount);
        Some(lend.share)
    }

    /// Returns whether a request to release that follows the given
    /// acknowledged release is current; an older one was fulfilled already.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::Loan::default().may_release(0));
    /// ```
    pub const fn may_release(&self, release_seen: u64) -> bool {
        self.release.is_none() && self.releases == release_seen
    }

    /// Opens a release of a share that was already split off the bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Loan, message::Share};
    ///
    /// let mut loan = Loan::default();
    /// loan.open_release(Share::default());
    /// assert!(!loan.may_release(0));
    /// ```
    pub fn open_release(&mut self, share: Share) {
        self.releases += 1;
        self.held = self.held.minus(share.amount);
        self.release = Some(Transfer {
            number: self.releases,
            share,
        });
    }

    /// Closes the open release when the lender has applied it.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Loan, message::Share};
    ///
    /// let mut loan = Loan::default();
    /// loan.open_release(Share::default());
    /// loan.acknowledge(1);
    /// assert!(loan.release().is_none());
    /// ```
    pub fn acknowledge(&mut self, release_seen: u64) {
        if self.releases <= release_seen {
            self.release = None;
        }
    }
}

/// Lender's side: what was lent to one holder in the current epoch.
#[derive(Clone, Debug, Default)]
pub struct Account {
    held: Amount,
    lend: Option<Transfer>,
    lends: u64,
    release_seen: u64,
    demand: Demand,
}

impl Account {
    /// Creates an account from the first answer of a holder in an epoch.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Account, message::Amount};
    ///
    /// assert!(Account::new(Amount::default()).held().is_zero());
    /// ```
    pub fn new(held: Amount) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Returns what the holder may have, including an open lend.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::Account;
    ///
    /// assert!(Account::default().held().is_zero());
    /// ```
    pub const fn held(&self) -> Amount {
        self.held
    }

    /// Returns the lend that is not acknowledged yet.
    ///
    /// ```
    /// assert!(yuccalatch::process::limits::account::Account::default().lend().is_none());
    /// ```
    pub const fn lend(&self) -> Option<Transfer> {
        self.lend
    }

    /// Returns the number of the last release that was applied.
    ///
    /// ```
    /// assert_eq!(yuccalatch::process::limits::account::Account::default().release_seen(), 0);
    /// ```
    pub const fn release_seen(&self) -> u64 {
        self.release_seen
    }

    /// Returns what the holder last said it needs.
    ///
    /// ```
    /// use yuccalatch::process::limits::account::Account;
    ///
    /// assert_eq!(Account::default().demand().shortfall_tokens, 0);
    /// ```
    pub const fn demand(&self) -> Demand {
        self.demand
    }

    /// Opens a lend of a share that was already split off the lender's bucket.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Account, message::Share};
    ///
    /// let mut account = Account::default();
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

    /// Applies a report; returns a share that was released by it, once.
    ///
    /// ```
    /// use yuccalatch::process::limits::{account::Account, message::*};
    ///
    /// let mut account = Account::default();
    /// let report = AccountReport {
    ///     organisation: "acme".into(),
    ///     held: Amount::default(),
    ///     lend_seen: 0,
    ///     release: Some(Transfer { number: 1, share: Share::default() }),
    ///     demand: Demand::default(),
    ///     granted_tokens: 0,
    /// };
    /// assert!(account.apply(&report).is_some());
    /// assert!(account.apply(&report).is_none());
    /// ```
    pub fn apply(&mut self, report: &AccountReport) -> Option<Share> {
        self.demand = report.demand;
        if report.lend_seen >= self.lends {
            self.lend = None;
        }
        let release = report.release?;
        if release.number <= self.release_seen {
            return None;
        }
        self.release_seen = release.number;
        self.held = self.held.minus(release.share.amount);
        Some(release.share)
    }
}
