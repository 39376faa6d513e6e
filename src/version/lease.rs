//! Leases observed on the monotonic clock of the observer.
//!
//! The stored record carries no time. A lease lapses for an observer when two
//! reads at least a full term apart, on its own monotonic clock, show the same
//! renewal counter. Safety never depends on this: a holder that resumes after
//! its lease was taken fails its next conditional update, and its orders carry
//! an old fencing number.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::US_PER_S,
    names::Incarnation, //
};

/// Time without a renewal after which a lease lapses.
pub const TERM_US: u64 = 4 * US_PER_S;
/// Time between renewals; three may fail before the lease lapses.
pub const RENEWAL_US: u64 = US_PER_S;

/// The part of a lease that is stored in the object it protects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Entry that holds the lease; `None` after it was handed back.
    pub holder: Option<Incarnation>,
    /// Grows with every change of the holder.
    pub fencing: u64,
    /// Grows with every renewal.
    pub renewal: u64,
}

impl LeaseRecord {
    fn claimed_by(self, holder: Incarnation) -> Self {
        Self {
            holder: Some(holder),
            fencing: self.fencing + 1,
            renewal: self.renewal + 1,
        }
    }

    /// Returns the record that hands the lease back, for a planned stop.
    ///
    /// ```
    /// use yuccalatch::version::lease::LeaseRecord;
    ///
    /// assert_eq!(LeaseRecord::default().handed_back().holder, None);
    /// ```
    pub fn handed_back(self) -> Self {
        Self {
            holder: None,
            renewal: self.renewal + 1,
            ..self
        }
    }
}

/// Another entry holds the lease, as far as the observer knows.
#[derive(Clone, Copy, Debug)]
pub struct Watched {
    expires_at_us: u64,
}

/// The lease has lapsed and may be claimed.
#[derive(Clone, Copy, Debug)]
pub struct Lapsed;

/// A claim was sent to the object API; its outcome is not known yet.
#[derive(Clone, Copy, Debug)]
pub struct Claimed {
    sent_at_us: u64,
}

/// This entry holds the lease.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    expires_at_us: u64,
    renew_at_us: u64,
}

/// A lease in one of the states [`Watched`], [`Lapsed`], [`Claimed`] and
/// [`Held`].
///
/// ```
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::version::lease::{Lease, LeaseRecord, Watch, TERM_US};
///
/// let stored = LeaseRecord::default();
/// let Watch::Lapsed(lapsed) = Lease::watch(stored, 0) else {
///     panic!("a lease without a holder can be claimed at once");
/// };
/// let claimed = lapsed.claim(Incarnation(7), 10);
/// let held = claimed.stored();
/// assert_eq!(held.record().fencing, 1);
/// assert!(held.may_act(10));
/// assert!(!held.may_act(10 + TERM_US));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Lease<State> {
    record: LeaseRecord,
    state: State,
}

/// What a read of the stored record shows.
#[derive(Clone, Copy, Debug)]
pub enum Watch {
    /// The lease is, or may be, renewed by its holder.
    Live(Lease<Watched>),
    /// Nobody renewed the lease for a full term.
    Lapsed(Lease<Lapsed>),
}

/// What is known about a claim or renewal after reading the record back.
#[derive(Clone, Copy, Debug)]
pub enum Resolved {
    /// The write took effect.
    Held(Lease<Held>),
    /// Somebody else's write took effect.
    Lost(Watch),
    /// The write has not taken effect; the same conditional update may be sent
    /// again.
    Pending(Lease<Claimed>),
}

impl<State> Lease<State> {
    /// Returns the record as it was last read, or as it will be written.
    pub fn record(&self) -> LeaseRecord {
        self.record
    }
}

impl Lease<Watched> {
    /// Starts to observe a record that was just read.
    pub fn watch(record: LeaseRecord, now_us: u64) -> Watch {
        if record.holder.is_none() {
            return Watch::Lapsed(Lease {
                record,
                state: Lapsed,
            });
        }
        let expires_at_us = now_us.saturating_add(TERM_US);
        Watch::Live(Lease {
            record,
            state: Watched { expires_at_us },
        })
    }

    /// Takes a fresh read of the record into account.
    ///
    /// The lease only lapses on a read, so an observer that was paused or cut
    /// off does not take its own silence for that of the holder.
    pub fn read(self, record: LeaseRecord, now_us: u64) -> Watch {
        if record != self.record {
            return Lease::watch(record, now_us);
        }
        if now_us < self.state.expires_at_us {
            return Watch::Live(self);
        }
        Watch::Lapsed(Lease {
            record,
            state: Lapsed,
        })
    }
}

impl Lease<Lapsed> {
    /// Makes the record of a new holder, to be stored by a conditional update
    /// on the version of the object that was read.
    pub fn claim(self, holder: Incarnation, sent_at_us: u64) -> Lease<Claimed> {
        Lease {
            record: self.record.claimed_by(holder),
            state: Claimed { sent_at_us },
        }
    }
}

impl Lease<Claimed> {
    /// The object API confirmed the conditional update.
    pub fn stored(self) -> Lease<Held> {
        // The term counts from before the write, so the holder stops no later
        // than any observer lets the lease lapse.
        Lease {
            record: self.record,
            state: Held {
                expires_at_us: self.state.sent_at_us.saturating_add(TERM_US),
                renew_at_us: self.state.sent_at_us.saturating_add(RENEWAL_US),
            },
        }
    }

    /// The answer was lost or reported a conflict, and the record was read
    /// back.
    pub fn resolve(self, read: LeaseRecord, now_us: u64) -> Resolved {
        if read == self.record {
            return Resolved::Held(self.stored());
        }
        // Within one holder only the renewal grows, so an older renewal of the
        // same or the previous fencing number means the write is outstanding.
        if read.renewal < self.record.renewal {
            return Resolved::Pending(self);
        }
        Resolved::Lost(Lease::watch(read, now_us))
    }
}

impl Lease<Held> {
    /// Returns whether the holder may still issue orders and updates.
    pub fn may_act(&self, now_us: u64) -> bool {
        now_us < self.state.expires_at_us
    }

    /// Returns whether the next renewal is due.
    pub fn is_renewal_due(&self, now_us: u64) -> bool {
        now_us >= self.state.renew_at_us
    }

    /// Makes the next renewal. Until it is confirmed the lease is only
    /// claimed, but the caller may keep a copy of the held lease, which still
    /// ends at its own time.
    pub fn renew(self, sent_at_us: u64) -> Lease<Claimed> {
        Lease {
            record: LeaseRecord {
                renewal: self.record.renewal + 1,
                ..self.record
            },
            state: Claimed { sent_at_us },
        }
    }
}
