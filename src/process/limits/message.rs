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

/// Microtokens in a token; levels are kept in microtokens, because a rate in
/// tokens per second yields exactly that many microtokens per microsecond.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Rate and burst, either of a whole organisation or of a share of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateAndBurst {
    /// Sustained rate.
    pub rate_tokens_per_s: u64,
    /// Most tokens that can be kept for later.
    pub burst_tokens: u64,
}

impl RateAndBurst {
    /// Adds two amounts.
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

    /// Subtracts an amount; a field does not go below zero.
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

    /// Returns the smaller value of each field.
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

/// A transferable part of an organisation's limits, with the tokens in it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Rate and burst of the share.
    pub amount: RateAndBurst,
    /// Level that is transferred with the burst.
    pub level_microtokens: u64,
}

/// A share on its way, applied at most once by the receiver.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// Position in the transfers of one lender, holder, organisation, direction
    /// and epoch, from one.
    pub number: u64,
    /// What is transferred.
    pub share: Share,
}

/// One process that can hold shares.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HolderId {
    /// Place that runs at most one process at a time.
    pub slot: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Period of one ledger; the higher one replaces the lower one.
///
/// A provisional epoch is taken while the object API cannot be reached. Its
/// ledger is part of it: two processes, also two that run in the same slot one
/// after the other, never use equal epochs.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Epoch {
    /// Number acquired with a conditional update; zero before the first one.
    pub acquired: u64,
    /// Position among the provisional epochs after the acquired one; zero for
    /// the acquired one itself.
    pub provisional: u32,
    /// Process that is the ledger.
    pub ledger: HolderId,
}

impl Epoch {
    /// Creates the epoch of a number that a process has acquired.
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

    /// Returns the next provisional epoch for a process that knows this one.
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

/// What a holder needs for its callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderDemand {
    /// Recent rate of tokens that callers asked for.
    pub offered_tokens_per_s: u64,
    /// Tokens that waiting requests lack.
    pub shortfall_tokens: u64,
    /// Tokens in the bucket.
    pub level_tokens: u64,
}

/// State of one organisation at a holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountReport {
    /// Organisation that the shares belong to.
    pub organisation: Name,
    /// Shares of this lender that the holder has, without the open release.
    pub held: RateAndBurst,
    /// Number of the last lend that was applied.
    pub last_applied_lend: u64,
    /// Release that the lender has not acknowledged yet.
    pub release: Option<Transfer>,
    /// What the callers of the holder need.
    pub demand: HolderDemand,
    /// Burst that the holder, as a deputy, has granted to others.
    pub granted_tokens: u64,
}

/// Message from a holder to the ledger or to a deputy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HolderReport {
    /// Sender.
    pub from: HolderId,
    /// Ledger group.
    pub group: u16,
    /// Highest epoch that the holder has seen.
    pub epoch: Epoch,
    /// Digest of the slots that the settings of the sender name; zero without.
    pub slots_digest: u64,
    /// Highest sequence that the holder has received from the ledger of the
    /// epoch; proves that the sender was alive after the ledger sent it.
    pub last_received_sequence: u64,
    /// Position in the messages of the sender.
    pub sequence: u64,
    /// Whether every organisation with a share is listed.
    pub is_complete: bool,
    /// Organisations with a share, a demand or an open transfer.
    pub accounts: Vec<AccountReport>,
    /// Processes to which the sender, as ledger or deputy of an earlier epoch,
    /// may have sent a share that is still on its way.
    pub borrowers: Vec<HolderId>,
}

/// Who sends a [`Directive`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Lender {
    /// The ledger of the epoch.
    Ledger,
    /// A deputy that grants from its own share.
    Delegate(Incarnation),
}

/// A request to give back part of a share.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recall {
    /// Most that should be released.
    pub amount: RateAndBurst,
    /// Tokens that should come with the burst, as far as the bucket has them.
    pub level_tokens: u64,
}

/// Instructions for one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountDirective {
    /// Organisation that the shares belong to.
    pub organisation: Name,
    /// Standing share (with a rate) or single grant (burst with its tokens).
    pub lend: Option<Transfer>,
    /// Number of the last release that was applied.
    pub last_applied_release: u64,
    /// Part to give back.
    pub recall: Option<Recall>,
}

/// Message from the ledger or from a deputy to a holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Directive {
    /// Sender.
    pub lender: Lender,
    /// Receiver; `None` asks whichever process runs in the slot.
    pub to: Option<Incarnation>,
    /// Slot of the receiver.
    pub slot: Name,
    /// Ledger group.
    pub group: u16,
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Position in the messages of the sender within the epoch.
    pub sequence: u64,
    /// Whether the holder should answer with a complete report.
    pub is_recovery_request: bool,
    /// Whether the holder may grant to others in this epoch.
    pub is_delegate: bool,
    /// Instructions per organisation.
    pub accounts: Vec<AccountDirective>,
}
