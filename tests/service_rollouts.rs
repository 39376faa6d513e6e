//! Shares and outcomes of moving a service to another release.

use yuccalatch::{
    clock::US_PER_S,
    direct::service_rollout::{
        RolloutOrder,
        RolloutState,
        ServiceRollouts, //
    },
    names::{
        Incarnation,
        Name, //
    },
    version::evidence::{
        Side,
        counts::Sample, //
    },
};

const DURATION_S: u64 = 15;
const REQUESTS_PER_S: u64 = 100;
const TICKS_PER_S: u64 = 10;

/// Largest share of the requests during the rollout that a bad release may get, and the
/// number of requests beyond it.
const MAX_BAD_SHARE: f64 = 0.1;
const BAD_SLACK: f64 = 50.0;

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "app".into(),
        release: "v2".into(),
        duration_ms: DURATION_S * 1_000,
        revision: 1,
        state: None,
    }
}

fn answer(time_us: u64) -> Sample {
    Sample {
        first_token_us: Some(time_us),
        ..Sample::default()
    }
}

struct Outcome {
    new_requests: u64,
    state: RolloutState,
    decided_at_s: f64,
}

/// Plays a rollout over two entries that exchange their reports. `new_answer` says how
/// the new release answers a request of a second.
fn play(new_answer: impl Fn(u64, u64) -> Sample) -> Outcome {
    let route: Name = "read".into();
    let mut entries = [ServiceRollouts::default(), ServiceRollouts::default()];
    let mut new_requests = 0;
    let mut decided = (RolloutState::Running, DURATION_S as f64);
    for tick in 0..DURATION_S * TICKS_PER_S {
        let now_us = tick * US_PER_S / TICKS_PER_S;
        for (number, entry) in entries.iter_mut().enumerate() {
            entry.sync([&order()].into_iter(), now_us);
            for request in 0..REQUESTS_PER_S / TICKS_PER_S / 2 {
                let point = (tick * 37 + request * 211 + number as u64 * 503) % 1_000;
                let choice = entry.choose("app", point).unwrap();
                let (release, sample) = if choice.side == Side::New {
                    new_requests += 1;
                    ("v2", new_answer(tick / TICKS_PER_S, point))
                } else {
                    ("v1", answer(50_000 + point * 20))
                };
                entry.record("app", &release.into(), &route, sample, now_us);
            }
            entry.advance(Incarnation(number as u64), now_us, now_us);
        }
        let reports = entries.each_ref().map(|entry| entry.report(now_us, now_us));
        entries[0].merge(Incarnation(1), &reports[1], now_us);
        entries[1].merge(Incarnation(0), &reports[0], now_us);
        let writes = entries[0].due_writes(now_us);
        if let Some((_, state)) = writes.first()
            && decided.0 == RolloutState::Running
            && state.is_final()
        {
            decided = (*state, tick as f64 / TICKS_PER_S as f64);
        }
    }
    Outcome {
        new_requests,
        state: decided.0,
        decided_at_s: decided.1,
    }
}

fn assert_taken_back(outcome: &Outcome) {
    assert_eq!(outcome.state, RolloutState::RolledBack);
    let total = (DURATION_S * REQUESTS_PER_S) as f64;
    let allowed = total * MAX_BAD_SHARE + BAD_SLACK;
    let new_requests = outcome.new_requests;
    assert!((new_requests as f64) <= allowed, "{new_requests} requests");
}

/// Guards against a release that answers several times slower and gets all traffic.
#[test]
fn a_slow_release_is_taken_back() {
    assert_taken_back(&play(|_, point| answer(300_000 + point * 20)));
}

/// Guards against a release that fails some of its requests and gets all traffic.
#[test]
fn a_failing_release_is_taken_back() {
    assert_taken_back(&play(|_, point| Sample {
        failed: point % 2 == 0,
        ..Sample::default()
    }));
}

/// Guards against a release that becomes slow when its share has grown.
#[test]
fn a_release_that_becomes_slow_late_is_taken_back() {
    let outcome = play(|second, point| {
        let slow_us = if second >= 11 { 300_000 } else { 50_000 };
        answer(slow_us + point * 20)
    });
    assert_taken_back(&outcome);
}

/// Guards against a good release that is taken back, or not done by the deadline.
#[test]
fn a_good_release_is_done_by_the_deadline() {
    let outcome = play(|_, point| answer(50_000 + point * 20));
    assert_eq!(outcome.state, RolloutState::Done);
    assert!(outcome.decided_at_s < DURATION_S as f64);
}

/// Guards against a short rollout that is done late because the new release keeps all
/// requests for a fixed time before.
#[test]
fn a_short_rollout_is_done_by_the_deadline() {
    let short = RolloutOrder {
        duration_ms: 4_000,
        ..order()
    };
    let mut rollouts = ServiceRollouts::default();
    let mut now_us = 0;
    while now_us < 4 * US_PER_S {
        rollouts.sync([&short].into_iter(), 0);
        rollouts.advance(Incarnation(0), now_us, now_us);
        if rollouts.due_writes(now_us)[0].1 == RolloutState::Done {
            return;
        }
        now_us += US_PER_S / 20;
    }
    panic!("not done by the deadline");
}

/// Guards against requests that are tried again at old targets which have stopped.
#[test]
fn retries_go_to_the_release_that_stays() {
    let mut rollouts = ServiceRollouts::default();
    rollouts.sync([&order()].into_iter(), 0);
    assert_eq!(rollouts.choose("app", 0).unwrap().retry_side, Side::Old);
    let done = RolloutOrder {
        state: Some(RolloutState::Done),
        ..order()
    };
    rollouts.sync([&done].into_iter(), 1);
    rollouts.advance(Incarnation(0), 2, 2);
    assert_eq!(rollouts.choose("app", 0).unwrap().retry_side, Side::New);
}

/// Guards against an entry that goes on with a release which another one has taken back,
/// and against one that starts late and gives the release a share of its own.
#[test]
fn entries_follow_each_other() {
    let mut first = ServiceRollouts::default();
    first.sync([&order()].into_iter(), 0);
    first.advance(Incarnation(0), 14 * US_PER_S, 14 * US_PER_S);
    let mut late = ServiceRollouts::default();
    late.sync([&order()].into_iter(), 14 * US_PER_S);
    let report = first.report(14 * US_PER_S, 14 * US_PER_S);
    late.merge(Incarnation(0), &report, 14 * US_PER_S);
    late.advance(Incarnation(1), 14 * US_PER_S, 14 * US_PER_S);
    assert_eq!(late.choose("app", 999).unwrap().side, Side::New);

    let mut cut = first.report(14 * US_PER_S, 14 * US_PER_S);
    cut[0].is_cut = true;
    late.merge(Incarnation(0), &cut, 14 * US_PER_S);
    let choice = late.choose("app", 0).unwrap();
    assert_eq!((choice.side, choice.has_fallback), (Side::Old, false));
}

/// Guards against a stored outcome that is written again, or that an entry contradicts.
#[test]
fn a_stored_outcome_is_final() {
    let mut rollouts = ServiceRollouts::default();
    let stored = RolloutOrder {
        state: Some(RolloutState::RolledBack),
        ..order()
    };
    rollouts.sync([&stored].into_iter(), 0);
    rollouts.advance(Incarnation(0), 60 * US_PER_S, 60 * US_PER_S);
    assert!(rollouts.due_writes(60 * US_PER_S).is_empty());
    assert_eq!(rollouts.choose("app", 0).unwrap().side, Side::Old);
}
