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
pub const DEFAULT_IDEMPOTENCY_WINDOW_US: u64 = 600 * US_PER_S;

/// Identifies a key of one organisation on one route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct IdempotencyKeyId(pub Digest);

impl IdempotencyKeyId {
    /// Derives the id. Each part is preceded by its length, so that parts cannot
    /// be shifted against each other.
    ///
    /// ```
    /// use yuccalatch::process::at_most_once::idempotency::IdempotencyKeyId;
    ///
    /// assert_ne!(IdempotencyKeyId::new("ab", "c", b"k"), IdempotencyKeyId::new("a", "bc", b"k"));
    /// ```
    pub fn new(organisation: &str, route: &str, key: &[u8]) -> Self {
        Self(digest(&[organisation.as_bytes(), route.as_bytes(), key]))
    }
}

/// Digests the parts of a request that have to be the same in a repetition.
///
/// ```
/// use yuccalatch::process::at_most_once::idempotency::request_digest;
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
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed to the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl StoredResponse {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers_bytes + self.body.len()
    }
}

/// What the object API says about a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyVerification {
    /// The record was created just now, so no recorded run precedes. A record
    /// that this incarnation created earlier counts as well, because the table
    /// still knows the key unless it was released or has expired.
    ///
    /// The caller must report [`KeyVerification::AgentTable`] instead when the object API
    /// was unavailable at any time in the past window: an agent that has gone
    /// since may then have run the key without a record.
    RecordCreated,
    /// Another incarnation or agent has created the record.
    ForeignRecord,
    /// The object API gives no reliable answer, and no entry relies on its records.
    AgentTable,
    /// The object API gives no reliable answer here, but another entry may rely on
    /// its records.
    Unverified,
}

/// Answer to a request with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// It has not run: run it, then call [`IdempotencyTable::store`] or
    /// [`IdempotencyTable::release`].
    Run,
    /// The same request is under way; wait for its outcome.
    Running,
    /// It has run; send the outcome again.
    Replay(Arc<StoredResponse>),
}

/// Bounds of a [`IdempotencyTable`].
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// Keys in the window, about 150 bytes each.
    pub max_keys: usize,
    /// Stored outcomes together.
    pub max_outcome_bytes: usize,
    /// Time for which a key is remembered.
    pub window_us: u64,
}

impl Default for IdempotencyLimits {
    fn default() -> Self {
        Self {
            max_keys: 32_768,
            max_outcome_bytes: 16 << 20,
            window_us: DEFAULT_IDEMPOTENCY_WINDOW_US,
        }
    }
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Stored(Arc<StoredResponse>),
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
    key: IdempotencyKeyId,
    expires_at_us: u64,
}

/// Idempotency keys of one agent incarnation.
#[derive(Debug)]
pub struct IdempotencyTable {
    limits: IdempotencyLimits,
    records: HashMap<IdempotencyKeyId, Record>,
    /// Ended keys by the time of their expiry.
    ended: VecDeque<Expiry>,
    /// Position in `ended` before which no outcome is stored any more.
    stripped: usize,
    outcome_bytes: usize,
    covers_at_us: u64,
}

impl IdempotencyTable {
    /// Makes the table of an agent incarnation that starts now.
    ///
    /// ```
    /// use yuccalatch::process::at_most_once::idempotency::{
    ///     request_digest, KeyVerification, ClaimDecision, IdempotencyKeyId, IdempotencyLimits, IdempotencyTable, DEFAULT_IDEMPOTENCY_WINDOW_US,
    /// };
    ///
    /// let mut table = IdempotencyTable::new(IdempotencyLimits::default(), 0);
    /// let key = IdempotencyKeyId::new("mill", "orders", b"k1");
    /// let request = request_digest("POST", "/orders", b"1");
    /// assert!(table.claim(key, request, KeyVerification::AgentTable, 0).is_err());
    /// let claim = table.claim(key, request, KeyVerification::AgentTable, DEFAULT_IDEMPOTENCY_WINDOW_US).unwrap();
    /// assert_eq!(claim, ClaimDecision::Run);
    /// let claim = table.claim(key, request, KeyVerification::AgentTable, DEFAULT_IDEMPOTENCY_WINDOW_US).unwrap();
    /// assert_eq!(claim, ClaimDecision::Running);
    /// ```
    pub fn new(limits: IdempotencyLimits, now_us: u64) -> Self {
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
    pub fn note_members_changed(&mut self, now_us: u64) {
        let covers_at_us = now_us.saturating_add(self.limits.window_us);
        self.covers_at_us = self.covers_at_us.max(covers_at_us);
    }

    /// Returns whether [`IdempotencyTable::claim`] needs to hear the object API. Saves the
    /// call for keys that are known here.
    pub fn is_known(&mut self, key: IdempotencyKeyId, now_us: u64) -> bool {
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
        key: IdempotencyKeyId,
        request: Digest,
        authority: KeyVerification,
        now_us: u64,
    ) -> Result<ClaimDecision> {
        self.expire(now_us);
        if let Some(record) = self.records.get(&key) {
            return record.repeat(request);
        }
        match authority {
            KeyVerification::ForeignRecord => return Err(Report::new(ErrorKind::OutcomeUnknown)),
            KeyVerification::Unverified => {
                return Err(Report::new(ErrorKind::IdempotencyUnverified));
            }
            KeyVerification::AgentTable if !self.covers_window(now_us) => {
                return Err(Report::new(ErrorKind::IdempotencyUnverified));
            }
            KeyVerification::RecordCreated | KeyVerification::AgentTable => {}
        }
        if self.records.len() >= self.limits.max_keys {
            return Err(Report::new(ErrorKind::IdempotencyUnverified).attach("key table is full"));
        }
        let state = State::Running;
        self.records.insert(key, Record { request, state });
        Ok(ClaimDecision::Run)
    }

    /// Stores the outcome of a claimed key, or `None` when it is not known.
    pub fn store(&mut self, key: IdempotencyKeyId, outcome: Option<StoredResponse>, now_us: u64) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let size_bytes = outcome.as_ref().map_or(0, StoredResponse::size_bytes);
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
    pub fn release(&mut self, key: IdempotencyKeyId) {
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
    fn repeat(&self, request: Digest) -> Result<ClaimDecision> {
        if self.request != request {
            return Err(Report::new(ErrorKind::IdempotencyConflict));
        }
        match &self.state {
            State::Running => Ok(ClaimDecision::Running),
            State::Stored(outcome) => Ok(ClaimDecision::Replay(Arc::clone(outcome))),
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
