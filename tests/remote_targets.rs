//! Guards against entries that know only the targets of their own data centre,
//! so that a prefix is computed once in each of them and a move loads its
//! version only beside its holder.

mod support;

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;
use support::{
    fleet::{
        ACME_KEY,
        Fleet,
        Plan,
        completion,
        eventually,
        post, //
    },
    moves::{
        submit_move,
        versions_of, //
    },
};

/// Several times the validity of a report.
const SETTLED: Duration = Duration::from_secs(10);

/// One engine and one entry in each of two data centres.
fn start() -> Fleet {
    let fleet = Fleet::start(&Plan {
        entries: 2,
        engines: 2,
        data_centres: 2,
        // Entries learn of agents from the object API and from each other.
        entry: json!({"peers": []}),
        agent: json!({"checks_fencing": false}),
        engine: json!({"checks_fencing": false, "load_weights_ms": 50,
            "decode_tokens_per_s": 2_000, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    });
    // Targets heard of at the start only would be forgotten by then.
    thread::sleep(SETTLED);
    for entry in 0..2 {
        eventually("the entry knows both targets", || {
            fleet.status(entry).targets.len() == 2
        });
    }
    fleet
}

#[test]
fn prefix_is_shared() {
    let fleet = start();
    let received = |target: usize| fleet.targets[target].received().as_array().unwrap().len();
    for number in 0..6 {
        let prompt = format!("{number}{}", "p".repeat(12_000));
        let body = completion(&prompt, 2, false);
        let before = [received(0), received(1)];
        for entry in 0..2 {
            let answer = post(fleet.caller(entry), "/v1/completions", ACME_KEY, &body);
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        let grown = [received(0) - before[0], received(1) - before[1]];
        assert!(grown == [2, 0] || grown == [0, 2], "{number}: {grown:?}");
    }
}

#[test]
fn move_reaches_all() {
    let fleet = start();
    submit_move(&fleet);
    for target in 0..2 {
        eventually("the target has the new version", || {
            versions_of(&fleet, target).contains(&"v2".to_owned())
        });
    }
}
