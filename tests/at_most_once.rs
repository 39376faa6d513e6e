//! No attempt and no idempotency key runs twice, and every "not run" is true.

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
    max_live: 3,
    max_records: 6,
    max_entries: 3,
};

/// One agent slot under late copies, bars, restarts and evictions.
struct Slot {
    incarnation: Incarnation,
    table: AttemptTable,
    queue: Vec<AttemptPermit<Queued>>,
    running: Vec<AttemptPermit<Running>>,
    /// Agent incarnation that all copies of an attempt name.
    addressed: HashMap<AttemptId, Incarnation>,
    ran: HashMap<AttemptId, u32>,
    claimed_not_run: HashSet<AttemptId>,
}

impl Slot {
    fn new() -> Self {
        Self {
            incarnation: Incarnation(1),
            table: AttemptTable::new(Incarnation(1), LIMITS),
            queue: Vec::new(),
            running: Vec::new(),
            addressed: HashMap::new(),
            ran: HashMap::new(),
            claimed_not_run: HashSet::new(),
        }
    }

    fn receive(&mut self, id: AttemptId) {
        let is_first = !self.addressed.contains_key(&id);
        let incarnation = *self.addressed.entry(id).or_insert(self.incarnation);
        match self.table.admit(incarnation, id) {
            Ok(attempt) => self.queue.push(attempt),
            Err(report) => {
                let kind = *report.current_context();
                // Entries send each attempt once, so nobody reads the answer of
                // another incarnation to a late copy.
                let is_read = is_first || kind != ErrorKind::WrongIncarnation;
                if kind.is_not_run() && is_read {
                    self.claimed_not_run.insert(id);
                }
            }
        }
    }

    fn bar(&mut self, id: AttemptId) {
        let incarnation = *self.addressed.entry(id).or_insert(self.incarnation);
        if let Ok(AttemptState::Cancelled) = self.table.cancel_unless_started(incarnation, id) {
            self.claimed_not_run.insert(id);
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
                *self.ran.entry(id).or_default() += 1;
                self.running.push(attempt);
            }
            Err(_) => drop(self.claimed_not_run.insert(id)),
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
            11..=12 => self.bar(id),
            13 => {
                if let Some(attempt) = self.queue.pop() {
                    self.claimed_not_run.insert(attempt.id());
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

    fn is_sound(&self) -> bool {
        self.ran.values().all(|runs| *runs == 1)
            && !self
                .claimed_not_run
                .iter()
                .any(|id| self.ran.contains_key(id))
            && self.table.records() <= LIMITS.max_records
            && self.table.live() <= LIMITS.max_live
    }
}

/// Guards against a late copy that runs after a bar, a refusal, an eviction or a
/// restart.
#[test]
fn schedules_run_once() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut slot = Slot::new();
        steps.into_iter().all(|(action, entry, sequence)| {
            slot.step(action, entry, sequence);
            slot.is_sound()
        })
    }
    let random = Gen::from_size_and_seed(500, 41);
    QuickCheck::new()
        .tests(1_000)
        .rng(random)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against refusals of attempts that the table has room for, and against
/// "not run" for attempts whose record was dropped.
#[test]
fn evictions_forget_explicitly() {
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

/// Two agents that take turns as the owner of all keys, and an object API.
struct Service {
    now_us: u64,
    tables: [(u64, IdempotencyTable); 2],
    owner: usize,
    next_incarnation: u64,
    api_up: bool,
    api_steady_from_us: u64,
    api_records: HashMap<IdempotencyKeyId, u64>,
    under_way: Vec<(usize, u64, IdempotencyKeyId)>,
    /// Last start on any agent; the window counts from here.
    last_start_us: HashMap<IdempotencyKeyId, u64>,
    /// Last end on one agent incarnation, which remembers the window from there.
    last_end_us: HashMap<(u64, IdempotencyKeyId), u64>,
}

const KEY_LIMITS: IdempotencyLimits = IdempotencyLimits {
    max_keys: 3,
    max_outcome_bytes: 10,
    window_us: DEFAULT_IDEMPOTENCY_WINDOW_US,
};

impl Service {
    fn new() -> Self {
        let table = || IdempotencyTable::new(KEY_LIMITS, 0);
        Self {
            now_us: 0,
            tables: [(1, table()), (2, table())],
            owner: 0,
            next_incarnation: 3,
            api_up: true,
            api_steady_from_us: 0,
            api_records: HashMap::new(),
            under_way: Vec::new(),
            last_start_us: HashMap::new(),
            last_end_us: HashMap::new(),
        }
    }

    fn authority(&mut self, key: IdempotencyKeyId) -> KeyVerification {
        if !self.api_up {
            return KeyVerification::AgentTable;
        }
        let incarnation = self.tables[self.owner].0;
        let creator = *self.api_records.entry(key).or_insert(incarnation);
        if creator != incarnation {
            KeyVerification::ForeignRecord
        } else if self.now_us < self.api_steady_from_us {
            KeyVerification::AgentTable
        } else {
            KeyVerification::RecordCreated
        }
    }

    /// Sends a request and returns whether its answer is sound.
    fn request(&mut self, key: IdempotencyKeyId, content: u8) -> bool {
        let authority = self.authority(key);
        let request = request_digest("POST", "/orders", &[content]);
        let now_us = self.now_us;
        let (incarnation, table) = &mut self.tables[self.owner];
        let Ok(ClaimDecision::Run) = table.claim(key, request, authority, now_us) else {
            return true;
        };
        let incarnation = *incarnation;
        let overlaps = self
            .under_way
            .iter()
            .any(|(_, other, running)| (*other, *running) == (incarnation, key));
        self.under_way.push((self.owner, incarnation, key));
        let start_us = self.last_start_us.insert(key, now_us);
        let end_us = self.last_end_us.get(&(incarnation, key)).copied();
        let is_past = |earlier_us| now_us >= earlier_us + DEFAULT_IDEMPOTENCY_WINDOW_US;
        !overlaps && start_us.is_none_or(is_past) && end_us.is_none_or(is_past)
    }

    fn end(&mut self, value: u8) {
        let Some((owner, incarnation, key)) = self.under_way.pop() else {
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
        let outcome = StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(vec![0; usize::from(value % 16)]),
        };
        table.store(key, Some(outcome), self.now_us);
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
                self.api_up = !self.api_up;
                self.api_steady_from_us = self.now_us + DEFAULT_IDEMPOTENCY_WINDOW_US;
            }
        }
        self.tables
            .iter()
            .all(|(_, table)| table.outcome_bytes() <= KEY_LIMITS.max_outcome_bytes)
    }
}

/// Guards against a second run of a key within its window through restarts,
/// changes of members, outages of the object API and evicted outcomes.
#[test]
fn keys_run_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let mut service = Service::new();
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

/// Guards against keys that are refused, replayed or forgotten wrongly.
#[test]
fn keys_replay_and_conflict() {
    let mut table = IdempotencyTable::new(KEY_LIMITS, 0);
    let key = IdempotencyKeyId::new("mill", "orders", b"k");
    let request = request_digest("POST", "/orders", b"1");
    let other = request_digest("POST", "/orders", b"2");
    let claim = |table: &mut IdempotencyTable, request, authority, now_us| {
        let claim = table.claim(key, request, authority, now_us);
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
    let outcome = StoredResponse {
        status: 201,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    };
    table.store(key, Some(outcome.clone()), 2);
    let replay = claim(
        &mut table,
        request,
        KeyVerification::AgentTable,
        DEFAULT_IDEMPOTENCY_WINDOW_US + 1,
    );
    assert_eq!(replay, Ok(ClaimDecision::Replay(outcome.into())));
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
