//! Idempotency keys: the outcome of a request is stored and replayed.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc, //
};

use bytes::Bytes;
use error_stack::Report;

use crate::{
    clock::US_PER_S,
    error::{
        ErrorKind,
        Result, //
    },
    names::Digest, //
};

/// Time for which a key is remembered unless the settings state another, in
/// microseconds.
///
/// Across agents it counts from the start of the request, because a new owner
/// cannot know when a request on the old one ends. Within one incarnation, a key
/// is remembered while its request runs and for this time after its end.
pub const WINDOW_US: u64 = 600 * US_PER_S;

/// Identifies a key of one organisation on one route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct KeyId(pub Digest);

impl KeyId {
    /// Derives the id. Each part is preceded by its length, so that parts cannot
    /// be shifted against each other.
    ///
    /// ```
    /// use yuccalatch::process::fate::idempotency::KeyId;
    ///
    /// assert_ne!(KeyId::new("ab", "c", b"k"), KeyId::new("a", "bc", b"k"));
    /// ```
    pub fn new(organisation: &str, route: &str, key: &[u8]) -> Self {
        Self(digest(&[organisation.as_bytes(), route.as_bytes(), key]))
    }
}

/// Digests the parts of a request that have to be the same in a repetition.
///
/// ```
/// use yuccalatch::process::fate::idempotency::request_digest;
///
/// let first = request_digest("POST", "/orders", b"1");
/// assert_ne!(first, request_digest("POST", "/orders", b"2"));
/// ```
pub fn request_digest(method: &str, path_and_query: &str, body: &[u8]) -> Digest {
    digest(&[method.as_bytes(), path_and_query.as_bytes(), body])
}

fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}

/// A complete response that can be sent again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed to the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Outcome {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers_bytes + self.body.len()
    }
}

/// What the object API says about a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authority {
    /// The record was created just now, so no recorded run precedes. A record
    /// that this incarnation created earlier counts as well, because the table
    /// still knows the key unless it was released or has expired.
    ///
    /// The caller must report [`Authority::Silent`] instead when the object API
    /// was unavailable at any time in the past window: an agent that has gone
    /// since may then have run the key without a record.
    Created,
    /// Another incarnation or agent has created the record.
    Foreign,
    /// The object API gives no reliable answer, and no entry relies on its records.
    Silent,
    /// The object API gives no reliable answer here, but another entry may rely on
    /// its records.
    Nobody,
}

/// Answer to a request with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It has not run: run it, then call [`KeyTable::store`] or
    /// [`KeyTable::release`].
    Run,
    /// The same request is under way; wait for its outcome.
    Running,
    /// It has run; send the outcome again.
    Replay(Arc<Outcome>),
}

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Keys in the window, about 150 bytes each.
    pub max_keys: usize,
    /// Stored outcomes together.
    pub max_outcome_bytes: usize,
    /// Time for which a key is remembered.
    pub window_us: u64,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            max_keys: 32_768,
            max_outcome_bytes: 16 << 20,
            window_us: WINDOW_US,
        }
    }
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Stored(Arc<Outcome>),
    /// It has run, but its outcome is unknown or was too large to keep.
    Spent,
}

#[derive(Clone, Debug)]
struct Record {
    request: Digest,
    state: State,
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    key: KeyId,
    expires_at_us: u64,
}

/// Idempotency keys of one agent incarnation.
#[derive(Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    records: HashMap<KeyId, Record>,
    /// Ended keys by the time of their expiry.
    ended: VecDeque<Expiry>,
    /// Position in `ended` before which no outcome is stored any more.
    stripped: usize,
    outcome_bytes: usize,
    covers_at_us: u64,
}

impl KeyTable {
    /// Makes the table of an agent incarnation that starts now.
    ///
    /// ```
    /// use yuccalatch::process::fate::idempotency::{
    ///     request_digest, Authority, Claim, KeyId, KeyLimits, KeyTable, WINDOW_US,
    /// };
    ///
    /// let mut table = KeyTable::new(KeyLimits::default(), 0);
    /// let key = KeyId::new("mill", "orders", b"k1");
    /// let request = request_digest("POST", "/orders", b"1");
    /// assert!(table.claim(key, request, Authority::Silent, 0).is_err());
    /// let claim = table.claim(key, request, Authority::Silent, WINDOW_US).unwrap();
    /// assert_eq!(claim, Claim::Run);
    /// let claim = table.claim(key, request, Authority::Silent, WINDOW_US).unwrap();
    /// assert_eq!(claim, Claim::Running);
    /// ```
    pub fn new(limits: KeyLimits, now_us: u64) -> Self {
        Self {
            limits,
            records: HashMap::new(),
            ended: VecDeque::new(),
            stripped: 0,
            outcome_bytes: 0,
            covers_at_us: now_us.saturating_add(limits.window_us),
        }
    }

    /// Returns whether every run of the past window happened in this table.
    pub const fn covers_window(&self, now_us: u64) -> bool {
        now_us >= self.covers_at_us
    }

    /// Notes that the members of the service have changed, so that keys of this
    /// agent may have run on another one until now.
    pub fn members_changed(&mut self, now_us: u64) {
        let covers_at_us = now_us.saturating_add(self.limits.window_us);
        self.covers_at_us = self.covers_at_us.max(covers_at_us);
    }

    /// Returns whether [`KeyTable::claim`] needs to hear the object API. Saves the
    /// call for keys that are known here.
    pub fn is_known(&mut self, key: KeyId, now_us: u64) -> bool {
        self.expire(now_us);
        self.records.contains_key(&key)
    }

    /// Claims the key for a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::IdempotencyConflict`]: the key belongs to another request.
    /// [`ErrorKind::IdempotencyUnverified`]: nobody can vouch that it has not run
    /// before, or the table is full; this copy does not run.
    /// [`ErrorKind::OutcomeUnknown`]: it may have run, and its outcome is not
    /// available.
    pub fn claim(
        &mut self,
        key: KeyId,
        request: Digest,
        authority: Authority,
        now_us: u64,
    ) -> Result<Claim> {
        self.expire(now_us);
        if let Some(record) = self.records.get(&key) {
            return record.repeat(request);
        }
        match authority {
            Authority::Foreign => return Err(Report::new(ErrorKind::OutcomeUnknown)),
            Authority::Nobody => return Err(Report::new(ErrorKind::IdempotencyUnverified)),
            Authority::Silent if !self.covers_window(now_us) => {
                return Err(Report::new(ErrorKind::IdempotencyUnverified));
            }
            Authority::Created | Authority::Silent => {}
        }
        if self.records.len() >= self.limits.max_keys {
            return Err(Report::new(ErrorKind::IdempotencyUnverified).attach("key table is full"));
        }
        let state = State::Running;
        self.records.insert(key, Record { request, state });
        Ok(Claim::Run)
    }

    /// Stores the outcome of a claimed key, or `None` when it is not known.
    pub fn store(&mut self, key: KeyId, outcome: Option<Outcome>, now_us: u64) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let size_bytes = outcome.as_ref().map_or(0, Outcome::size_bytes);
        record.state = match outcome {
            Some(outcome) if size_bytes <= self.limits.max_outcome_bytes => {
                self.outcome_bytes += size_bytes;
                State::Stored(Arc::new(outcome))
            }
            _ => State::Spent,
        };
        self.ended.push_back(Expiry {
            key,
            expires_at_us: now_us.saturating_add(self.limits.window_us),
        });
        self.strip_outcomes();
    }

    /// Gives up a claimed key because its attempt certainly did not run.
    pub fn release(&mut self, key: KeyId) {
        let record = self.records.get(&key);
        if record.is_some_and(|record| matches!(record.state, State::Running)) {
            self.records.remove(&key);
        }
    }

    /// Returns the bytes of all stored outcomes.
    pub const fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    /// Drops the oldest outcomes above the bound. The keys stay, because a
    /// repetition must not run.
    fn strip_outcomes(&mut self) {
        while self.outcome_bytes > self.limits.max_outcome_bytes
            && let Some(expiry) = self.ended.get(self.stripped)
        {
            self.stripped += 1;
            if let Some(record) = self.records.get_mut(&expiry.key) {
                self.outcome_bytes -= record.stored_bytes();
                record.state = State::Spent;
            }
        }
    }

    fn expire(&mut self, now_us: u64) {
        while let Some(expiry) = self.ended.front().copied()
            && expiry.expires_at_us <= now_us
        {
            self.ended.pop_front();
            self.stripped = self.stripped.saturating_sub(1);
            if let Some(record) = self.records.remove(&expiry.key) {
                self.outcome_bytes -= record.stored_bytes();
            }
        }
    }
}

impl Record {
    fn repeat(&self, request: Digest) -> Result<Claim> {
        if self.request != request {
            return Err(Report::new(ErrorKind::IdempotencyConflict));
        }
        match &self.state {
            State::Running => Ok(Claim::Running),
            State::Stored(outcome) => Ok(Claim::Replay(Arc::clone(outcome))),
            State::Spent => Err(Report::new(ErrorKind::OutcomeUnknown)),
        }
    }

    fn stored_bytes(&self) -> usize {
        match &self.state {
            State::Stored(outcome) => outcome.size_bytes(),
            State::Running | State::Spent => 0,
        }
    }
}
