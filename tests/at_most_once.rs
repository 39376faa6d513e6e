//! Guards against attempts and idempotency keys that run twice, and against reports
//! that an attempt did not run although it did.

use std::collections::{
    HashMap,
    HashSet, //
};

use bytes::Bytes;
use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    error::ErrorKind,
    names::{
        AttemptId,
        Incarnation, //
    },
    process::at_most_once::{
        AttemptPermit, AttemptState, AttemptTable, AttemptTableLimits, Queued, Running,
        idempotency::{
            ClaimDecision,
            DEFAULT_IDEMPOTENCY_WINDOW_US,
            IdempotencyKeyId,
            IdempotencyLimits,
            IdempotencyTable,
            KeyVerification,
            StoredResponse,
            request_digest, //
        },
    },
};

const LIMITS: AttemptTableLimits = AttemptTableLimits {
    max_active: 3,
    max_records: 6,
    max_entry_incarnations: 3,
};

/// Agent that may restart, and the attempts that are sent to it.
struct AgentModel {
    incarnation: Incarnation,
    table: AttemptTable,
    queue: Vec<AttemptPermit<Queued>>,
    running: Vec<AttemptPermit<Running>>,
    /// Agent incarnation to which all copies of an attempt are addressed.
    addressed: HashMap<AttemptId, Incarnation>,
    run_counts: HashMap<AttemptId, u32>,
    reported_not_run: HashSet<AttemptId>,
}

impl AgentModel {
    fn new() -> Self {
        Self {
            incarnation: Incarnation(1),
            table: AttemptTable::new(Incarnation(1), LIMITS),
            queue: Vec::new(),
            running: Vec::new(),
            addressed: HashMap::new(),
            run_counts: HashMap::new(),
            reported_not_run: HashSet::new(),
        }
    }

    fn receive(&mut self, id: AttemptId) {
        let is_first = !self.addressed.contains_key(&id);
        let incarnation = *self.addressed.entry(id).or_insert(self.incarnation);
        match self.table.admit(incarnation, id) {
            Ok(attempt) => self.queue.push(attempt),
            Err(report) => {
                let kind = *report.current_context();
                // Entries send each attempt once, so no entry reads the answer to a
                // late copy that another incarnation receives.
                let is_read = is_first || kind != ErrorKind::WrongIncarnation;
                if kind.is_not_run() && is_read {
                    self.reported_not_run.insert(id);
                }
            }
        }
    }

    fn cancel_unless_started(&mut self, id: AttemptId) {
        let incarnation = *self.addressed.entry(id).or_insert(self.incarnation);
        if let Ok(AttemptState::Cancelled) = self.table.cancel_unless_started(incarnation, id) {
            self.reported_not_run.insert(id);
        }
    }

    fn start(&mut self, position: usize) {
        if self.queue.is_empty() {
            return;
        }
        let attempt = self.queue.swap_remove(position % self.queue.len());
        let id = attempt.id();
        match self.table.start(attempt) {
            Ok(attempt) => {
                *self.run_counts.entry(id).or_default() += 1;
                self.running.push(attempt);
            }
            Err(_) => drop(self.reported_not_run.insert(id)),
        }
    }

    fn step(&mut self, action: u8, entry: u8, sequence: u8) {
        let id = AttemptId {
            entry: Incarnation(u64::from(entry % 4)),
            sequence: u64::from(sequence % 16),
        };
        match action % 16 {
            0..=5 => self.receive(id),
            6..=8 => self.start(usize::from(sequence)),
            9..=10 => drop(self.running.pop().map(|run| self.table.finish(run, None))),
            11..=12 => self.cancel_unless_started(id),
            13 => {
                if let Some(attempt) = self.queue.pop() {
                    self.reported_not_run.insert(attempt.id());
                    self.table.cancel_queued(attempt);
                }
            }
            14 if entry == 0 => {
                self.incarnation.0 += 1;
                self.table = AttemptTable::new(self.incarnation, LIMITS);
                self.queue.clear();
                self.running.clear();
            }
            _ => {}
        }
    }

    /// Returns whether no attempt ran twice, none of those reported as not run has
    /// run, and the table is within its bounds.
    fn is_correct(&self) -> bool {
        self.run_counts.values().all(|runs| *runs == 1)
            && !self
                .reported_not_run
                .iter()
                .any(|id| self.run_counts.contains_key(id))
            && self.table.record_count() <= LIMITS.max_records
            && self.table.active_count() <= LIMITS.max_active
    }
}

/// Guards against a late copy that runs after its attempt was cancelled or refused,
/// after the record was evicted or after the agent has restarted.
#[test]
fn attempts_run_at_most_once() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut agent = AgentModel::new();
        steps.into_iter().all(|(action, entry, sequence)| {
            agent.step(action, entry, sequence);
            agent.is_correct()
        })
    }
    let random = Gen::from_size_and_seed(500, 41);
    QuickCheck::new()
        .tests(1_000)
        .rng(random)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a full table that refuses attempts instead of evicting ended ones,
/// and against an evicted attempt that is reported as not run.
#[test]
fn evicted_attempts_are_unknown() {
    let agent = Incarnation(1);
    let mut table = AttemptTable::new(agent, LIMITS);
    let id = |sequence| AttemptId {
        entry: Incarnation(2),
        sequence,
    };
    for sequence in 0..100 {
        let queued = table.admit(agent, id(sequence)).unwrap();
        let running = table.start(queued).unwrap();
        table.finish(running, None);
    }
    assert_eq!(
        table.cancel_unless_started(agent, id(0)).unwrap(),
        AttemptState::Unknown
    );
    assert_eq!(
        table.cancel_unless_started(agent, id(99)).unwrap(),
        AttemptState::Done(None)
    );
    let refusal = table.admit(agent, id(0)).unwrap_err();
    assert_eq!(*refusal.current_context(), ErrorKind::DuplicateAttempt);
    let other = table
        .cancel_unless_started(Incarnation(9), id(0))
        .unwrap_err();
    assert_eq!(*other.current_context(), ErrorKind::OutcomeUnknown);
}

/// Two agents that take turns as the owner of all keys, and the object API.
struct ServiceModel {
    now_us: u64,
    tables: [(u64, IdempotencyTable); 2],
    owner: usize,
    next_incarnation: u64,
    is_api_up: bool,
    /// Time from which the object API has answered throughout the window, unless
    /// it fails again.
    api_covers_window_at_us: u64,
    api_records: HashMap<IdempotencyKeyId, u64>,
    /// Agent, its incarnation and the key of each running request.
    running: Vec<(usize, u64, IdempotencyKeyId)>,
    /// Last start on any agent, from which the window counts across agents.
    last_start_us: HashMap<IdempotencyKeyId, u64>,
    /// Last end on one agent incarnation, from which the window counts there.
    last_end_us: HashMap<(u64, IdempotencyKeyId), u64>,
}

const KEY_LIMITS: IdempotencyLimits = IdempotencyLimits {
    max_keys: 3,
    max_response_bytes: 10,
    window_us: DEFAULT_IDEMPOTENCY_WINDOW_US,
};

impl ServiceModel {
    fn new() -> Self {
        let table = || IdempotencyTable::new(KEY_LIMITS, 0);
        Self {
            now_us: 0,
            tables: [(1, table()), (2, table())],
            owner: 0,
            next_incarnation: 3,
            is_api_up: true,
            api_covers_window_at_us: 0,
            api_records: HashMap::new(),
            running: Vec::new(),
            last_start_us: HashMap::new(),
            last_end_us: HashMap::new(),
        }
    }

    /// Creates the record of a key if there is none, and returns what can verify the
    /// key.
    fn verify_key(&mut self, key: IdempotencyKeyId) -> KeyVerification {
        if !self.is_api_up {
            return KeyVerification::AgentTable;
        }
        let incarnation = self.tables[self.owner].0;
        let creator = *self.api_records.entry(key).or_insert(incarnation);
        if creator != incarnation {
            KeyVerification::ForeignRecord
        } else if self.now_us < self.api_covers_window_at_us {
            KeyVerification::AgentTable
        } else {
            KeyVerification::RecordCreated
        }
    }

    /// Sends a request and returns whether it did not run, or ran outside the window
    /// of every earlier run of its key.
    fn request(&mut self, key: IdempotencyKeyId, content: u8) -> bool {
        let verification = self.verify_key(key);
        let request = request_digest("POST", "/orders", &[content]);
        let now_us = self.now_us;
        let (incarnation, table) = &mut self.tables[self.owner];
        let Ok(ClaimDecision::Run) = table.claim(key, request, verification, now_us) else {
            return true;
        };
        let incarnation = *incarnation;
        let overlaps = self
            .running
            .iter()
            .any(|(_, other, other_key)| (*other, *other_key) == (incarnation, key));
        self.running.push((self.owner, incarnation, key));
        let start_us = self.last_start_us.insert(key, now_us);
        let end_us = self.last_end_us.get(&(incarnation, key)).copied();
        let is_past = |earlier_us| now_us >= earlier_us + DEFAULT_IDEMPOTENCY_WINDOW_US;
        !overlaps && start_us.is_none_or(is_past) && end_us.is_none_or(is_past)
    }

    fn end(&mut self, value: u8) {
        let Some((owner, incarnation, key)) = self.running.pop() else {
            return;
        };
        let (current, table) = &mut self.tables[owner];
        if *current != incarnation {
            return;
        }
        if value.is_multiple_of(4) {
            table.release(key);
            self.last_start_us.remove(&key);
            return;
        }
        let response = StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(vec![0; usize::from(value % 16)]),
        };
        table.store(key, Some(response), self.now_us);
        self.last_end_us.insert((incarnation, key), self.now_us);
    }

    fn step(&mut self, action: u8, value: u8) -> bool {
        let key = IdempotencyKeyId::new("mill", "orders", &[value % 5]);
        match action % 16 {
            0..=7 => return self.request(key, action % 2),
            8..=10 => self.end(value),
            11 | 12 => self.now_us += u64::from(value) * 1_000_000,
            13 => {
                self.owner = 1 - self.owner;
                for (_, table) in &mut self.tables {
                    table.note_members_changed(self.now_us);
                }
            }
            14 => {
                self.tables[self.owner] = (
                    self.next_incarnation,
                    IdempotencyTable::new(KEY_LIMITS, self.now_us),
                );
                self.next_incarnation += 1;
            }
            _ => {
                self.is_api_up = !self.is_api_up;
                self.api_covers_window_at_us = self.now_us + DEFAULT_IDEMPOTENCY_WINDOW_US;
            }
        }
        self.tables
            .iter()
            .all(|(_, table)| table.response_bytes() <= KEY_LIMITS.max_response_bytes)
    }
}

/// Guards against a second run of a key within its window after restarts, changes of
/// members, outages of the object API and dropped responses.
#[test]
fn keys_run_at_most_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut service = ServiceModel::new();
        steps
            .into_iter()
            .all(|(action, value)| service.step(action, value))
    }
    let random = Gen::from_size_and_seed(400, 42);
    QuickCheck::new()
        .tests(1_000)
        .rng(random)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a key that runs unverified, is not replayed to the same request, is
/// replayed to another request, or is still refused after its window.
#[test]
fn keys_replay_and_conflict() {
    let mut table = IdempotencyTable::new(KEY_LIMITS, 0);
    let key = IdempotencyKeyId::new("mill", "orders", b"k");
    let request = request_digest("POST", "/orders", b"1");
    let other = request_digest("POST", "/orders", b"2");
    let claim = |table: &mut IdempotencyTable, request, verification, now_us| {
        let claim = table.claim(key, request, verification, now_us);
        claim.map_err(|report| *report.current_context())
    };
    let unverified = Err(ErrorKind::IdempotencyUnverified);
    assert_eq!(
        claim(&mut table, request, KeyVerification::AgentTable, 1),
        unverified
    );
    let foreign = claim(&mut table, request, KeyVerification::ForeignRecord, 1);
    assert_eq!(foreign, Err(ErrorKind::OutcomeUnknown));
    assert_eq!(
        claim(&mut table, request, KeyVerification::RecordCreated, 1),
        Ok(ClaimDecision::Run)
    );
    let response = StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    };
    table.store(key, Some(response.clone()), 2);
    let replay = claim(
        &mut table,
        request,
        KeyVerification::AgentTable,
        DEFAULT_IDEMPOTENCY_WINDOW_US + 1,
    );
    assert_eq!(replay, Ok(ClaimDecision::Replay(response.into())));
    let conflict = claim(&mut table, other, KeyVerification::AgentTable, 3);
    assert_eq!(conflict, Err(ErrorKind::IdempotencyConflict));
    let expired = claim(
        &mut table,
        other,
        KeyVerification::AgentTable,
        DEFAULT_IDEMPOTENCY_WINDOW_US + 2,
    );
    assert_eq!(expired, Ok(ClaimDecision::Run));
}
