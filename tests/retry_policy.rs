//! Retries run a request twice only where this is allowed, and stay within the
//! retry budget and the deadline.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccalatch::{
    error::ErrorKind,
    request::retry::{
        AttemptPhase,
        BACKOFF_MAX_US,
        Deadline,
        Recovery,
        RetryBudget,
        RetryProperties,
        RetryRate,
        backoff,
        choose_recovery, //
    },
};

const PHASES: [AttemptPhase; 5] = [
    AttemptPhase::Unsent,
    AttemptPhase::Sent,
    AttemptPhase::CancelRequested,
    AttemptPhase::HeadReceived,
    AttemptPhase::Streaming,
];

fn is_certainly_not_run(kind: ErrorKind, phase: AttemptPhase) -> bool {
    match phase {
        AttemptPhase::Unsent => true,
        AttemptPhase::Sent => kind.is_not_run(),
        AttemptPhase::CancelRequested => kind == ErrorKind::Barred,
        AttemptPhase::HeadReceived | AttemptPhase::Streaming => false,
    }
}

/// Guards against a request that runs twice on a route that is not idempotent.
#[test]
fn non_idempotent_requests_run_once() {
    for kind in ErrorKind::ALL {
        for phase in PHASES {
            for continuable in [false, true] {
                let request = RetryProperties {
                    idempotent: false,
                    continuable,
                };
                let chosen = choose_recovery(*kind, phase, request);
                assert_ne!(chosen, Recovery::Continue, "{kind} {phase:?}");
                if !is_certainly_not_run(*kind, phase) {
                    assert_ne!(chosen, Recovery::OtherTarget, "{kind} {phase:?}");
                }
            }
        }
    }
}

/// Guards against a response that starts again after the caller has received a part
/// of it, and against an answer "not run" after the attempt may have run.
#[test]
fn started_attempts_are_not_answered_as_not_run() {
    for kind in ErrorKind::ALL {
        for phase in PHASES {
            for bits in 0..4 {
                let request = RetryProperties {
                    idempotent: bits & 1 != 0,
                    continuable: bits & 2 != 0,
                };
                let chosen = choose_recovery(*kind, phase, request);
                if phase == AttemptPhase::Streaming {
                    assert_ne!(chosen, Recovery::OtherTarget, "{kind}");
                }
                if chosen == Recovery::Answer && kind.is_not_run() {
                    assert!(is_certainly_not_run(*kind, phase), "{kind} {phase:?}");
                }
            }
        }
    }
}

/// Guards against failures that are reported to the caller although a retry is safe,
/// and against a retry after the organisation's rate is used up.
#[test]
fn safe_retries_happen() {
    let completion = RetryProperties {
        idempotent: true,
        continuable: true,
    };
    let cases = [
        (
            ErrorKind::Overloaded,
            AttemptPhase::Sent,
            Recovery::OtherTarget,
        ),
        (
            ErrorKind::TargetFailed,
            AttemptPhase::Sent,
            Recovery::OtherTarget,
        ),
        (
            ErrorKind::PeerUnavailable,
            AttemptPhase::HeadReceived,
            Recovery::Resume,
        ),
        (
            ErrorKind::TargetFailed,
            AttemptPhase::Streaming,
            Recovery::Continue,
        ),
        (ErrorKind::RateLimited, AttemptPhase::Sent, Recovery::Answer),
    ];
    for (kind, phase, expected) in cases {
        assert_eq!(choose_recovery(kind, phase, completion), expected, "{kind}");
    }
}

/// Guards against more retries than the budget allows, which would multiply the
/// load during an overload.
#[test]
fn retries_stay_in_budget() {
    fn property(steps: Vec<(bool, u16)>) -> bool {
        let rate = RetryRate::default();
        let mut budget = RetryBudget::new(rate, 0);
        let (mut now_us, mut first, mut retries) = (0, 0_u64, 0_u64);
        let burst = u64::from(rate.burst);
        for (is_first, pause_us) in steps {
            now_us += u64::from(pause_us) * 100;
            if is_first {
                budget.note_first_attempt();
                first += 1;
                continue;
            }
            let at_once = (0..2 * burst).filter(|_| budget.try_retry(now_us)).count() as u64;
            retries += at_once;
            if at_once > burst {
                return false;
            }
        }
        let floor = now_us * u64::from(rate.floor_milli_per_s) / 1_000_000_000;
        retries <= burst + floor + first * u64::from(rate.per_thousand) / 1_000 + 1
    }
    let random = Gen::from_size_and_seed(400, 11);
    QuickCheck::new()
        .rng(random)
        .quickcheck(property as fn(Vec<(bool, u16)>) -> bool);
}

/// Guards against a retry after the deadline, and against a deadline that moves to a
/// later time when it is sent to the next process.
#[test]
fn deadlines_never_grow() {
    fn property(now_us: u32, retries: u32, budget_ms: u16, seed: u64) -> bool {
        let now_us = u64::from(now_us);
        let deadline = Deadline::from_budget_ms(now_us, u64::from(budget_ms));
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let retry_at_us = backoff(now_us, retries, deadline, &mut random);
        let in_time = retry_at_us.is_none_or(|at_us| {
            at_us >= now_us && at_us < deadline.expires_at_us && at_us <= now_us + BACKOFF_MAX_US
        });
        let later_us = now_us + 1_500;
        let hop = deadline.remaining_ms(later_us).is_none_or(|budget_ms| {
            Deadline::from_budget_ms(later_us, budget_ms).expires_at_us <= deadline.expires_at_us
        });
        in_time && hop
    }
    let random = Gen::from_size_and_seed(100, 12);
    QuickCheck::new()
        .rng(random)
        .quickcheck(property as fn(u32, u32, u16, u64) -> bool);
}
