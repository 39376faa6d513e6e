//! Guards against data centres that stop serving, or exceed a limit, when another
//! one is lost as a whole.

mod support;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use support::{
    callers::{
        Callers,
        WINDOW_MS,
        second_ticket, //
    },
    failures::spare_key,
    fleet::{
        ACME_KEY,
        Fleet,
        Plan,
        Process,
        Target,
        completion,
        eventually,
        post,
        revision,
        ticket, //
    },
};

const CENTRES: usize = 3;

/// Number of the data centre that is lost, and of its entry.
const LOST: usize = 2;

/// Longer than the 10 s after which members that do not report are gone.
const AFTERWARDS: Duration = Duration::from_secs(13);

/// With the start of the fleet longer than the window, so that keyed orders run.
const BEFORE: Duration = Duration::from_secs(9);

/// What has to go on in the other data centres.
const SORTS: [&str; 5] = [
    "stream complete",
    "whole answer complete",
    "order answered",
    "keyed order answered",
    "limited stream complete",
];

fn start() -> Fleet {
    let fleet = Fleet::start(&Plan {
        entries: CENTRES,
        engines: CENTRES,
        plains: CENTRES,
        data_centres: CENTRES,
        entry: json!({"idempotency_window_ms": WINDOW_MS}),
        agent: json!({"idempotency_window_ms": WINDOW_MS}),
        engine: json!({"decode_tokens_per_s": 40, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    });
    fleet.submit(&second_ticket(2));
    fleet.wait_in_force(2);
    fleet
}

fn is_lost(target: &Target) -> bool {
    target.data_centre == "c"
}

fn kill(process: &mut Process) {
    process.signal("KILL");
    process.wait();
}

/// Kills every process of one data centre and returns the executions at its plain
/// service, which are read when nothing can reach it any more.
fn lose_centre(fleet: &mut Fleet, callers: &Callers) -> Vec<Value> {
    callers.doors[LOST].close();
    fleet.entries[LOST].signal("KILL");
    for target in fleet.targets.iter().filter(|target| is_lost(target)) {
        target.agent.signal("KILL");
    }
    fleet.entries[LOST].wait();
    let mut counts = Vec::new();
    for target in fleet.targets.iter_mut().filter(|target| is_lost(target)) {
        target.agent.wait();
        if target.service == "files" {
            counts.push(target.execution_counts());
        }
        kill(&mut target.standin);
    }
    counts
}

/// Callers of the other data centres have to be served on, within the limits.
#[test]
fn centre_killed() {
    let limited_since = Instant::now();
    let mut fleet = start();
    let addresses: Vec<_> = (0..CENTRES).map(|entry| fleet.caller(entry)).collect();
    let callers = Callers::new(&addresses);
    let counts_of = || SORTS.map(|sort| callers.count_of(sort));
    let (lost_counts, before, at_once, after) = callers.run_during(|| {
        thread::sleep(BEFORE);
        let before = counts_of();
        let lost_counts = lose_centre(&mut fleet, &callers);
        thread::sleep(AFTERWARDS / 2);
        let at_once = counts_of();
        thread::sleep(AFTERWARDS / 2);
        (lost_counts, before, at_once, counts_of())
    });
    let limited_for = limited_since.elapsed();
    callers.print_counts();
    println!("{SORTS:?}: {before:?}, {at_once:?}, {after:?}");
    for (number, sort) in SORTS.iter().enumerate() {
        assert!(before[number] < at_once[number], "no {sort} after the loss");
        assert!(at_once[number] < after[number], "no {sort} in the end");
    }
    fleet.targets.retain(|target| !is_lost(target));
    fleet.entries.truncate(LOST);
    let mut counts = fleet.execution_counts();
    counts.extend(lost_counts);
    callers.check_orders(&counts);
    callers.check_limit(limited_for);
    check_ticket(&fleet);
    let violations = callers.violations.lock().unwrap();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// A key that is withdrawn after the loss has to be refused by all that are left.
fn check_ticket(fleet: &Fleet) {
    let remove = json!([{"kind": "key", "name": "spare-0"}]);
    fleet.submit(&ticket(3, &json!([]), &remove));
    let text = completion("door", 2, false);
    for entry in 0..LOST {
        eventually("the entry has the ticket", || {
            revision(&fleet.entries[entry]) == 3
        });
        let ask = |key: &str| post(fleet.caller(entry), "/v1/completions", key, &text).status;
        assert_eq!(ask(&spare_key(0)), 401);
        assert_eq!(ask(&spare_key(1)), 200);
        assert_eq!(ask(ACME_KEY), 200);
    }
}
