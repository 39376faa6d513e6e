//! Idempotency keys: the response to a request is stored and replayed when the
//! request is repeated.

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

/// Default time for which a key is kept, in microseconds.
///
/// Across agents it counts from the start of the request, because a new owner of
/// the key cannot know when a request on the old owner ends. Within one agent
/// incarnation, a key is kept while its request runs and for this time after its
/// end.
pub const DEFAULT_IDEMPOTENCY_WINDOW_US: u64 = 600 * US_PER_S;

/// Digest that identifies an idempotency key of one organisation on one route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct IdempotencyKeyId(pub Digest);

impl IdempotencyKeyId {
    /// Derives the id from the organisation, the route and the caller's key. The
    /// length of each part is hashed before it, so that moving bytes from one part
    /// to the next gives another id.
    ///
    /// ```
    /// use yuccalatch::process::at_most_once::idempotency::IdempotencyKeyId;
    ///
    /// assert_ne!(IdempotencyKeyId::new("ab", "c", b"k"), IdempotencyKeyId::new("a", "bc", b"k"));
    /// ```
    pub fn new(organisation: &str, route: &str, key: &[u8]) -> Self {
        Self(digest_of_parts(&[
            organisation.as_bytes(),
            route.as_bytes(),
            key,
        ]))
    }
}

/// Returns the digest of those parts of a request that must be the same when it is
/// repeated with the same key.
///
/// ```
/// use yuccalatch::process::at_most_once::idempotency::request_digest;
///
/// let first = request_digest("POST", "/orders", b"1");
/// assert_ne!(first, request_digest("POST", "/orders", b"2"));
/// ```
pub fn request_digest(method: &str, path_and_query: &str, body: &[u8]) -> Digest {
    digest_of_parts(&[method.as_bytes(), path_and_query.as_bytes(), body])
}

fn digest_of_parts(parts: &[&[u8]]) -> Digest {
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
    /// Names and values of the headers that are passed to the caller.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl StoredResponse {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers_bytes + self.body.len()
    }
}

/// What can verify that a key has not run before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyVerification {
    /// The record was created for this agent incarnation, so no other one has a
    /// recorded run of the key. It may have been created by an earlier claim,
    /// because the table still has the key then, unless it was released or has
    /// expired.
    ///
    /// The caller must pass [`KeyVerification::AgentTable`] instead if the object
    /// API was unavailable at any time in the past window: an agent that has since
    /// gone may have run the key without a record.
    RecordCreated,
    /// The record belongs to another agent or agent incarnation, which may have run
    /// the key.
    ForeignRecord,
    /// The object API gives no reliable answer, and no entry relies on its records,
    /// so the table decides, provided that it covers the window.
    AgentTable,
    /// The object API gives no reliable answer here, but another entry may rely on
    /// its records, so nothing can verify the key.
    Unverified,
}

/// What to do with a request that claims an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Run it, as it has not run before, then call [`IdempotencyTable::store`] or
    /// [`IdempotencyTable::release`].
    Run,
    /// Wait for the same request, which is still running, and claim again.
    Running,
    /// Send the stored response, as the request has run before.
    Replay(Arc<StoredResponse>),
}

/// Bounds of an [`IdempotencyTable`].
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyLimits {
    /// Keys that are running or still in the window, about 150 bytes each.
    pub max_keys: usize,
    /// Total size of the stored responses.
    pub max_response_bytes: usize,
    /// Time for which a key is kept after its request has ended.
    pub window_us: u64,
}

impl Default for IdempotencyLimits {
    fn default() -> Self {
        Self {
            max_keys: 32_768,
            max_response_bytes: 16 << 20,
            window_us: DEFAULT_IDEMPOTENCY_WINDOW_US,
        }
    }
}

#[derive(Clone, Debug)]
enum KeyState {
    Running,
    Stored(Arc<StoredResponse>),
    /// It has run, but its response is unknown, was too large to keep or has been
    /// dropped.
    RanWithoutResponse,
}

#[derive(Clone, Debug)]
struct KeyRecord {
    request: Digest,
    state: KeyState,
}

#[derive(Clone, Copy, Debug)]
struct KeyExpiry {
    key: IdempotencyKeyId,
    expires_at_us: u64,
}

/// Idempotency keys of one agent incarnation.
#[derive(Debug)]
pub struct IdempotencyTable {
    limits: IdempotencyLimits,
    records: HashMap<IdempotencyKeyId, KeyRecord>,
    /// Keys whose requests have ended, in the order of their expiry.
    ended: VecDeque<KeyExpiry>,
    /// Number of keys at the front of `ended` whose responses were dropped.
    dropped_responses: usize,
    response_bytes: usize,
    covers_window_at_us: u64,
}

impl IdempotencyTable {
    /// Creates the table of an agent incarnation that starts now.
    ///
    /// ```
    /// use yuccalatch::process::at_most_once::idempotency::{
    ///     request_digest, ClaimDecision, IdempotencyKeyId, IdempotencyLimits, IdempotencyTable,
    ///     KeyVerification, DEFAULT_IDEMPOTENCY_WINDOW_US,
    /// };
    ///
    /// let mut table = IdempotencyTable::new(IdempotencyLimits::default(), 0);
    /// let key = IdempotencyKeyId::new("mill", "orders", b"k1");
    /// let request = request_digest("POST", "/orders", b"1");
    /// let by_table = KeyVerification::AgentTable;
    /// assert!(table.claim(key, request, by_table, 0).is_err());
    /// let claim = table.claim(key, request, by_table, DEFAULT_IDEMPOTENCY_WINDOW_US).unwrap();
    /// assert_eq!(claim, ClaimDecision::Run);
    /// let claim = table.claim(key, request, by_table, DEFAULT_IDEMPOTENCY_WINDOW_US).unwrap();
    /// assert_eq!(claim, ClaimDecision::Running);
    /// ```
    pub fn new(limits: IdempotencyLimits, now_us: u64) -> Self {
        Self {
            limits,
            records: HashMap::new(),
            ended: VecDeque::new(),
            dropped_responses: 0,
            response_bytes: 0,
            covers_window_at_us: now_us.saturating_add(limits.window_us),
        }
    }

    /// Returns whether all runs of this agent's keys in the past window are recorded
    /// in this table.
    pub const fn covers_window(&self, now_us: u64) -> bool {
        now_us >= self.covers_window_at_us
    }

    /// Notes that the members of the service changed at the given time, so that
    /// keys that this agent owns may have run on another one until then.
    pub fn note_members_changed(&mut self, now_us: u64) {
        let covers_window_at_us = now_us.saturating_add(self.limits.window_us);
        self.covers_window_at_us = self.covers_window_at_us.max(covers_window_at_us);
    }

    /// Returns whether the key is in the table. [`IdempotencyTable::claim`] then
    /// ignores its record in the object API, so that the call for it can be saved.
    pub fn has_key(&mut self, key: IdempotencyKeyId, now_us: u64) -> bool {
        self.expire(now_us);
        self.records.contains_key(&key)
    }

    /// Claims the key for a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::IdempotencyConflict`]: the key was used with another request.
    /// [`ErrorKind::IdempotencyUnverified`]: nothing can verify that the key has not
    /// run before, or the table is full; this copy does not run.
    /// [`ErrorKind::OutcomeUnknown`]: it may have run, and its response is not
    /// available.
    pub fn claim(
        &mut self,
        key: IdempotencyKeyId,
        request: Digest,
        verification: KeyVerification,
        now_us: u64,
    ) -> Result<ClaimDecision> {
        self.expire(now_us);
        if let Some(record) = self.records.get(&key) {
            return record.decide_repetition(request);
        }
        match verification {
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
        let state = KeyState::Running;
        self.records.insert(key, KeyRecord { request, state });
        Ok(ClaimDecision::Run)
    }

    /// Ends a claimed key with its response, or with `None` if the response is
    /// unknown.
    pub fn store(&mut self, key: IdempotencyKeyId, response: Option<StoredResponse>, now_us: u64) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if !matches!(record.state, KeyState::Running) {
            return;
        }
        let size_bytes = response.as_ref().map_or(0, StoredResponse::size_bytes);
        record.state = match response {
            Some(response) if size_bytes <= self.limits.max_response_bytes => {
                self.response_bytes += size_bytes;
                KeyState::Stored(Arc::new(response))
            }
            _ => KeyState::RanWithoutResponse,
        };
        self.ended.push_back(KeyExpiry {
            key,
            expires_at_us: now_us.saturating_add(self.limits.window_us),
        });
        self.drop_oldest_responses();
    }

    /// Removes a claimed key whose attempt certainly did not run.
    pub fn release(&mut self, key: IdempotencyKeyId) {
        let record = self.records.get(&key);
        if record.is_some_and(|record| matches!(record.state, KeyState::Running)) {
            self.records.remove(&key);
        }
    }

    /// Returns the total size of the stored responses.
    pub const fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Drops the oldest responses until the rest fits into the bound. Their keys
    /// stay, because a repetition must not run.
    fn drop_oldest_responses(&mut self) {
        while self.response_bytes > self.limits.max_response_bytes
            && let Some(expiry) = self.ended.get(self.dropped_responses)
        {
            self.dropped_responses += 1;
            if let Some(record) = self.records.get_mut(&expiry.key) {
                self.response_bytes -= record.stored_bytes();
                record.state = KeyState::RanWithoutResponse;
            }
        }
    }

    /// Removes the keys whose window has passed.
    fn expire(&mut self, now_us: u64) {
        while let Some(expiry) = self.ended.front().copied()
            && expiry.expires_at_us <= now_us
        {
            self.ended.pop_front();
            self.dropped_responses = self.dropped_responses.saturating_sub(1);
            if let Some(record) = self.records.remove(&expiry.key) {
                self.response_bytes -= record.stored_bytes();
            }
        }
    }
}

impl KeyRecord {
    /// Decides what to do with a request that claims a key of the table.
    fn decide_repetition(&self, request: Digest) -> Result<ClaimDecision> {
        if self.request != request {
            return Err(Report::new(ErrorKind::IdempotencyConflict));
        }
        match &self.state {
            KeyState::Running => Ok(ClaimDecision::Running),
            KeyState::Stored(response) => Ok(ClaimDecision::Replay(Arc::clone(response))),
            KeyState::RanWithoutResponse => Err(Report::new(ErrorKind::OutcomeUnknown)),
        }
    }

    fn stored_bytes(&self) -> usize {
        match &self.state {
            KeyState::Stored(response) => response.size_bytes(),
            KeyState::Running | KeyState::RanWithoutResponse => 0,
        }
    }
}
