//! Tests the order in which an engine runs requests by their urgency, in virtual time.

use quickcheck::{
    QuickCheck,
    TestResult, //
};
use yuccalatch::direct::urgency::{
    Timing,
    urgency, //
};

const MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Request {
    rank: u8,
    arrived_ms: u64,
    goal_ms: u64,
    work_ms: u64,
}

impl Request {
    fn urgency(&self, now_ms: u64) -> u8 {
        let timing = Timing {
            arrived_at_us: self.arrived_ms * MS,
            goal_at_us: (self.arrived_ms + self.goal_ms) * MS,
            work_us: self.work_ms * MS,
        };
        urgency(self.rank, timing, now_ms * MS)
    }
}

/// Returns the times to the first token at an engine that reads one prompt after the
/// other in pieces of 30 ms. An urgency is set when the request is sent.
fn run(requests: &[Request], by_urgency: bool) -> Vec<u64> {
    let mut left: Vec<u64> = requests.iter().map(|request| request.work_ms).collect();
    let mut first_ms = vec![0; requests.len()];
    let mut now_ms = 0;
    while left.iter().any(|left| *left > 0) {
        let key = |at: &usize| {
            let request = &requests[*at];
            let urgency = request.urgency(request.arrived_ms);
            (
                if by_urgency { urgency } else { 0 },
                request.arrived_ms,
                *at,
            )
        };
        let next = (0..requests.len())
            .filter(|at| left[*at] > 0 && requests[*at].arrived_ms <= now_ms)
            .min_by_key(key);
        let Some(at) = next else {
            now_ms += 1;
            continue;
        };
        let piece_ms = left[at].min(30);
        now_ms += piece_ms;
        left[at] -= piece_ms;
        first_ms[at] = now_ms - requests[at].arrived_ms;
    }
    first_ms
}

/// Guards against short prompts that are late behind one long one, which has time: it
/// takes 400 ms, as a long prompt without cached parts does beside running streams.
#[test]
fn ten_short_prompts_pass_one_long_prompt() {
    let long = Request {
        rank: 2,
        arrived_ms: 0,
        goal_ms: 1_200,
        work_ms: 400,
    };
    let short = |number: u64| Request {
        rank: 0,
        arrived_ms: 5 + number,
        goal_ms: 400,
        work_ms: 12,
    };
    let mut requests = vec![long];
    requests.extend((0..10).map(short));
    let in_turn = run(&requests, false);
    let by_urgency = run(&requests, true);
    assert!(in_turn[1..].iter().any(|first_ms| *first_ms > 400));
    assert!(by_urgency[1..].iter().all(|first_ms| *first_ms <= 200));
    assert!(by_urgency[0] <= long.goal_ms, "{by_urgency:?}");
}

/// Guards against a request of the same rank that waits behind others which have time,
/// and against urgencies that decide while all have the same goal.
#[test]
fn tight_goals_go_first_and_equal_ones_in_turn() {
    let request = |number: u64, goal_ms| Request {
        rank: 1,
        arrived_ms: number,
        goal_ms,
        work_ms: 60,
    };
    let mut requests: Vec<Request> = (0..10).map(|number| request(number, 1_200)).collect();
    let equal = run(&requests, true);
    assert_eq!(equal, run(&requests, false));
    requests.push(request(10, 400));
    let first_ms = run(&requests, true)[10];
    assert!(first_ms <= 120, "{first_ms}");
}

/// Guards, for any times, against urgencies that the wire does not allow, against a lower
/// rank that goes before a higher one, and against a request that never becomes as urgent
/// as any other of its rank.
#[test]
fn ranks_decide_first_and_age_ends_a_wait() {
    fn holds(ranks: (u8, u8), times: Vec<u32>) -> TestResult {
        let [arrived, goal, work, other, now] = times[..] else {
            return TestResult::discard();
        };
        let request = |rank, arrived_ms: u32| Request {
            rank,
            arrived_ms: u64::from(arrived_ms),
            goal_ms: u64::from(goal),
            work_ms: u64::from(work),
        };
        let now_ms = u64::from(now);
        let (low, high) = (ranks.0.max(ranks.1), ranks.0.min(ranks.1));
        let later = request(low, arrived).urgency(now_ms);
        let sooner = request(high, other).urgency(now_ms);
        let aged_ms = u64::from(arrived) + 3 * u64::from(goal);
        let aged = request(low, arrived).urgency(aged_ms);
        let is_in_order = low.min(2) == high.min(2) || sooner < later;
        TestResult::from_bool(later <= 9 && is_in_order && aged <= later)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn((u8, u8), Vec<u32>) -> TestResult);
}
