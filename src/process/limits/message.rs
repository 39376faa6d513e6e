//! Messages between holders and lenders of shares.
//!
//! Every message may be lost, duplicated or reordered. Transfers carry numbers
//! that grow within one epoch between one lender and one holder, and only one
//! transfer per direction is open at a time, so a repeated transfer is applied
//! once and a late one is ignored.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::{
    Incarnation,
    Name, //
};

/// Microtokens in a token. Levels are kept in microtokens, because a rate of `n`
/// tokens per second earns exactly `n` microtokens per microsecond.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Rate and burst, either of a whole organisation or of a share of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateAndBurst {
    /// Rate at which buckets refill.
    pub rate_tokens_per_s: u64,
    /// Largest level of a bucket: tokens that can be saved up while unused.
    pub burst_tokens: u64,
}

impl RateAndBurst {
    /// Adds rate to rate and burst to burst; a field stops at the largest `u64`.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::RateAndBurst;
    ///
    /// let one = RateAndBurst { rate_tokens_per_s: 1, burst_tokens: 2 };
    /// assert_eq!(one.plus(one).burst_tokens, 4);
    /// ```
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate_tokens_per_s: self
                .rate_tokens_per_s
                .saturating_add(other.rate_tokens_per_s),
            burst_tokens: self.burst_tokens.saturating_add(other.burst_tokens),
        }
    }

    /// Subtracts rate and burst; a field does not go below zero.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::RateAndBurst;
    ///
    /// let one = RateAndBurst { rate_tokens_per_s: 1, burst_tokens: 2 };
    /// assert_eq!(one.minus(one), RateAndBurst::default());
    /// ```
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            rate_tokens_per_s: self
                .rate_tokens_per_s
                .saturating_sub(other.rate_tokens_per_s),
            burst_tokens: self.burst_tokens.saturating_sub(other.burst_tokens),
        }
    }

    /// Returns the smaller of the two rates and the smaller of the two bursts.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::RateAndBurst;
    ///
    /// let one = RateAndBurst { rate_tokens_per_s: 1, burst_tokens: 9 };
    /// let two = RateAndBurst { rate_tokens_per_s: 5, burst_tokens: 2 };
    /// assert_eq!(one.min(two), RateAndBurst { rate_tokens_per_s: 1, burst_tokens: 2 });
    /// ```
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate_tokens_per_s: self.rate_tokens_per_s.min(other.rate_tokens_per_s),
            burst_tokens: self.burst_tokens.min(other.burst_tokens),
        }
    }

    /// Returns whether both fields are zero.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::RateAndBurst;
    ///
    /// assert!(RateAndBurst::default().is_zero());
    /// ```
    pub const fn is_zero(self) -> bool {
        self.rate_tokens_per_s == 0 && self.burst_tokens == 0
    }
}

/// A part of an organisation's limits, with the tokens saved up in its burst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Part of the organisation's rate and burst.
    pub amount: RateAndBurst,
    /// Level of the bucket that goes with the share; at most its burst.
    pub level_microtokens: u64,
}

/// A share that is sent; the receiver applies it at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// Counts from one for each lender, holder, organisation, direction and
    /// epoch.
    pub number: u64,
    /// Share that the sender no longer has.
    pub share: Share,
}

/// Identifies a process that can hold shares.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HolderId {
    /// Name of an entry, under which at most one process runs at a time.
    pub slot: Name,
    /// Distinguishes the processes that run in the slot one after the other.
    pub incarnation: Incarnation,
}

/// Term of one ledger; a higher epoch replaces a lower one.
///
/// A provisional epoch is taken while the object API cannot be reached. The
/// ledger is part of the epoch, so that two processes never use equal epochs,
/// even if they run in the same slot one after the other.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Epoch {
    /// Number acquired by a conditional update in the object API; zero before the
    /// first one.
    pub acquired: u64,
    /// Counts the provisional epochs that followed the acquired one; zero for the
    /// acquired one itself.
    pub provisional: u32,
    /// Process that acts as the ledger in this epoch.
    pub ledger: HolderId,
}

impl Epoch {
    /// Creates an epoch from a number that a process has acquired.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::{Epoch, HolderId};
    ///
    /// let first = Epoch::acquired(1, HolderId::default());
    /// assert!(first < Epoch::acquired(2, HolderId::default()));
    /// ```
    pub const fn acquired(number: u64, ledger: HolderId) -> Self {
        Self {
            acquired: number,
            provisional: 0,
            ledger,
        }
    }

    /// Returns the provisional epoch that follows this one, with the given
    /// process as its ledger.
    ///
    /// It is higher than this one and lower than every epoch that is acquired
    /// later.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::{Epoch, HolderId};
    ///
    /// let first = Epoch::acquired(1, HolderId::default());
    /// let next = first.next_provisional(HolderId::default());
    /// assert!(first < next && next < Epoch::acquired(2, HolderId::default()));
    /// ```
    #[must_use]
    pub const fn next_provisional(&self, ledger: HolderId) -> Self {
        Self {
            acquired: self.acquired,
            provisional: self.provisional.saturating_add(1),
            ledger,
        }
    }

    /// Returns whether the epoch was taken without the object API.
    ///
    /// ```
    /// use yuccalatch::process::limits::message::{Epoch, HolderId};
    ///
    /// let first = Epoch::acquired(1, HolderId::default());
    /// assert!(!first.is_provisional());
    /// assert!(first.next_provisional(HolderId::default()).is_provisional());
    /// ```
    pub const fn is_provisional(&self) -> bool {
        self.provisional > 0
    }
}

/// Tokens that the callers of a holder ask for, and those it has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderDemand {
    /// Recent rate at which callers asked for tokens, whether admitted or not.
    pub offered_tokens_per_s: u64,
    /// Tokens that waiting requests lack.
    pub shortfall_tokens: u64,
    /// Whole tokens in the bucket of the holder.
    pub level_tokens: u64,
}

/// State of one organisation at a holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountReport {
    /// Organisation that the shares belong to.
    pub organisation: Name,
    /// Sum of the shares borrowed from this lender, without the open release.
    pub held: RateAndBurst,
    /// Number of the last lend that was applied.
    pub last_applied_lend: u64,
    /// Release that the lender has not acknowledged yet.
    pub release: Option<Transfer>,
    /// Tokens that the callers of the holder ask for.
    pub demand: HolderDemand,
    /// Burst that the holder, as a delegate, has granted to others.
    pub granted_tokens: u64,
}

/// Message from a holder to the ledger or to a delegate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HolderReport {
    /// Process that sends the report.
    pub from: HolderId,
    /// Group of organisations that share a ledger.
    pub group: u16,
    /// Highest epoch that the holder has seen.
    pub epoch: Epoch,
    /// Digest of the slots that the settings of the sender list; zero if they
    /// list none.
    pub slots_digest: u64,
    /// Highest sequence number received from the ledger of the epoch. It proves
    /// that the sender was running after the ledger had sent that message.
    pub last_received_sequence: u64,
    /// Counts the reports of the sender.
    pub sequence: u64,
    /// Whether `accounts` lists every organisation of which the sender has a
    /// share.
    pub is_complete: bool,
    /// State of organisations with a share, a demand or an open transfer.
    pub accounts: Vec<AccountReport>,
    /// Processes to which the sender, as ledger or delegate of an earlier epoch,
    /// may have sent a share that has not arrived yet.
    pub borrowers: Vec<HolderId>,
}

/// Who sends a [`Directive`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Lender {
    /// The ledger of the epoch.
    Ledger,
    /// A holder that grants from its own share while the ledger is silent.
    Delegate(Incarnation),
}

/// A request to give back part of a share.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recall {
    /// Rate and burst to release; the holder may release less.
    pub amount: RateAndBurst,
    /// Tokens to release with the burst, as far as the bucket has them.
    pub level_tokens: u64,
}

/// Instructions to a holder for one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountDirective {
    /// Organisation that the shares belong to.
    pub organisation: Name,
    /// Standing share (with a rate), or single grant (a burst and its tokens);
    /// repeated until it is acknowledged.
    pub lend: Option<Transfer>,
    /// Number of the last release that was applied.
    pub last_applied_release: u64,
    /// Part of the share to release; absent when nothing is asked back.
    pub recall: Option<Recall>,
}

/// Message from the ledger or from a delegate to a holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Directive {
    /// Role in which the sender lends.
    pub lender: Lender,
    /// Incarnation of the receiver; `None` addresses any process in the slot.
    pub to: Option<Incarnation>,
    /// Slot of the receiver.
    pub slot: Name,
    /// Group of organisations that share a ledger.
    pub group: u16,
    /// Epoch that the sender follows.
    pub epoch: Epoch,
    /// Counts the messages of the ledger in its epoch, or those of a delegate.
    pub sequence: u64,
    /// Whether the ledger asks for a complete report.
    pub is_recovery_request: bool,
    /// Whether the holder may grant to others in this epoch.
    pub is_delegate: bool,
    /// Organisations whose shares change or whose transfers are acknowledged.
    pub accounts: Vec<AccountDirective>,
}
