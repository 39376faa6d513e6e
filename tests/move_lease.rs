//! Leases and fencing numbers of moves.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    names::{
        Incarnation,
        Name, //
    },
    version::{
        fence::{
            Admission,
            FenceTable, //
        },
        lease::{
            Held,
            Lease,
            LeaseRecord,
            Resolved,
            TERM_US,
            Watch, //
        },
        rollout::{
            Move,
            Phase,
            WriteOutcome,
            plan,
            step::Observation, //
        },
    },
};

/// Object with conditional updates, as the object API offers it.
struct Store {
    value: Move,
    version: u64,
}

impl Store {
    fn put(&mut self, value: Move, if_match: u64) -> bool {
        if if_match != self.version {
            return false;
        }
        self.value = value;
        self.version += 1;
        true
    }
}

fn store() -> Store {
    let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    let value = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    Store { value, version: 0 }
}

fn claim(store: &mut Store, holder: u64, now_us: u64) -> Lease<Held> {
    let record = store.value.lease;
    let lapsed = match Lease::watch(record, now_us) {
        Watch::Lapsed(lapsed) => lapsed,
        Watch::Live(watched) => match watched.read(record, now_us + TERM_US) {
            Watch::Lapsed(lapsed) => lapsed,
            Watch::Live(_) => panic!("the term has passed"),
        },
    };
    let claimed = lapsed.claim(Incarnation(holder), now_us + TERM_US);
    let next = store.value.with_lease(claimed.record());
    assert!(store.put(next, store.version));
    claimed.stored()
}

/// Guards against a holder that resumes after a pause and continues its move.
#[test]
fn paused_holder_changes_nothing() {
    let mut store = store();
    let paused = claim(&mut store, 1, 0);
    let (read, version) = (store.value.clone(), store.version);
    let mut fences = FenceTable::default();
    let target: Name = "engine-1".into();
    fences.learn(&target, read.lease.fencing);

    let current = claim(&mut store, 2, 1);
    assert!(current.record().fencing > paused.record().fencing);
    assert_eq!(
        fences.admit(&target, current.record().fencing),
        Admission::Execute
    );
    fences.finish(&target);

    let seen = Observation {
        now_unix_ms: u64::MAX / 2,
        ..Observation::default()
    };
    let step = read
        .advance(&paused, &seen)
        .expect("it believes to hold the move");
    assert!(
        !store.put(step, version),
        "the conditional update conflicts"
    );
    assert!(store.value.advance(&paused, &seen).is_none());
    assert_eq!(
        fences.admit(&target, paused.record().fencing),
        Admission::Refuse {
            highest: current.record().fencing
        }
    );
    assert_eq!(store.value.phase, Phase::Planned);
    assert!(store.value.advance(&current, &seen).is_some());
}

/// Guards against taking a lost answer for a lost write, and the reverse.
#[test]
fn lost_answers_are_resolved_by_reading() {
    let mut store = store();
    let lease = claim(&mut store, 1, 0);
    let base = store.value.clone();
    let proposed = Move {
        step: 1,
        phase: Phase::Loading,
        ..base.clone()
    };
    assert_eq!(proposed.outcome(&base, &store.value), WriteOutcome::Pending);
    let version = store.version;
    assert!(store.put(proposed.clone(), version));
    assert_eq!(proposed.outcome(&base, &store.value), WriteOutcome::Applied);
    assert!(
        !store.put(proposed.clone(), version),
        "a repetition conflicts"
    );
    claim(&mut store, 2, 10);
    assert_eq!(
        proposed.outcome(&base, &store.value),
        WriteOutcome::Superseded
    );

    let renewal = lease.renew(50);
    let pending = renewal.resolve(lease.record(), 60);
    assert!(matches!(pending, Resolved::Pending(_)));
    let held = renewal.resolve(renewal.record(), 60);
    assert!(matches!(held, Resolved::Held(held) if !held.may_act(50 + TERM_US)));
    let lost = renewal.resolve(store.value.lease, 60);
    assert!(matches!(lost, Resolved::Lost(_)));
}

/// Guards against a takeover from an observer that was paused itself, and
/// against one while the holder renews.
#[test]
fn only_an_unchanged_counter_lapses() {
    let record = LeaseRecord {
        holder: Some(Incarnation(1)),
        fencing: 1,
        renewal: 1,
    };
    let Watch::Live(watched) = Lease::watch(record, 0) else {
        panic!("held");
    };
    let renewed = LeaseRecord {
        renewal: 2,
        ..record
    };
    let Watch::Live(watched) = watched.read(renewed, 10 * TERM_US) else {
        panic!("a long pause of the observer proves nothing");
    };
    let Watch::Live(watched) = watched.read(renewed, 11 * TERM_US - 1) else {
        panic!("the term has not passed");
    };
    assert!(matches!(
        watched.read(renewed, 11 * TERM_US),
        Watch::Lapsed(_)
    ));
    let handed_back = Lease::watch(renewed.handed_back(), 0);
    assert!(matches!(handed_back, Watch::Lapsed(_)));
}

/// Guards against a restarted agent executing orders older than those before
/// its restart, for an engine that does not check numbers.
#[test]
fn restarted_agent_reads_before_it_executes() {
    let target: Name = "engine-1".into();
    let mut fences = FenceTable::default();
    assert_eq!(fences.highest(&target), None);
    for fencing in [3, 4, 9] {
        assert_eq!(fences.admit(&target, fencing), Admission::ReadFirst);
    }
    fences.learn(&target, 4);
    assert_eq!(fences.admit(&target, 3), Admission::Refuse { highest: 4 });
    assert_eq!(fences.admit(&target, 4), Admission::Execute);
    // The engine has not answered: a newer order waits, and the older one
    // cannot start again after it.
    assert_eq!(fences.admit(&target, 5), Admission::Wait);
    assert_eq!(fences.admit(&target, 4), Admission::Refuse { highest: 5 });
    fences.finish(&target);
    assert_eq!(fences.admit(&target, 5), Admission::Execute);
}

/// Guards against any order of messages that lets a number go down.
#[test]
fn executed_numbers_never_decrease() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let target: Name = "engine-1".into();
        let mut fences = FenceTable::default();
        let mut executed = 0;
        for (kind, number) in events {
            let number = u64::from(number);
            match kind % 3 {
                0 => fences.learn(&target, number),
                1 => fences.finish(&target),
                _ if fences.admit(&target, number) == Admission::Execute => {
                    if number < executed {
                        return false;
                    }
                    executed = number;
                }
                _ => {}
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
