//! Guards against bodies that are kept in memory or damaged on their way.

mod support;

use std::fs;

use support::fleet::{
    ACME_KEY,
    Exchange,
    Fleet,
    Plan,
    Process,
    Target,
    exchange,
    post_request,
    request, //
};
use yuccalatch::standin::plain::large_answer_byte;

const BODY_BYTES: usize = 48 << 20;

/// Far below the body, far above buffers and allocator noise.
const MAX_GROWTH_KB: u64 = 24 << 10;

fn start() -> Fleet {
    Fleet::start(&Plan {
        engines: 0,
        plains: 1,
        ..Plan::default()
    })
}

fn peak_kb(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

fn assert_growth(fleet: &Fleet, before: (u64, u64)) {
    let entry = peak_kb(&fleet.entries[0]);
    let agent = peak_kb(&fleet.targets[0].agent);
    assert!(
        entry < before.0 + MAX_GROWTH_KB,
        "entry {} kB",
        entry - before.0
    );
    assert!(
        agent < before.1 + MAX_GROWTH_KB,
        "agent {} kB",
        agent - before.1
    );
}

fn peaks(fleet: &Fleet) -> (u64, u64) {
    let agent = &fleet.targets[0].agent;
    (peak_kb(&fleet.entries[0]), peak_kb(agent))
}

/// A body that is kept would occupy its size in each process.
#[test]
fn upload() {
    let fleet = start();
    let before = peaks(&fleet);
    let body = serde_json::Value::from("x".repeat(BODY_BYTES));
    let answer = exchange(fleet.caller(0), &post_request("/orders", ACME_KEY, &body));
    assert_eq!(
        answer.json()["body_bytes"],
        BODY_BYTES + 2,
        "{}",
        answer.text()
    );
    assert_growth(&fleet, before);
}

/// An answer that is kept would occupy its size in each process.
#[test]
fn download() {
    let fleet = start();
    let before = peaks(&fleet);
    let path = format!("/files/a?answer_bytes={BODY_BYTES}");
    let answer = exchange(fleet.caller(0), &request("GET", &path, &[], ""));
    assert!(answer.is_complete);
    assert_eq!(answer.body.len(), BODY_BYTES);
    let mut bytes = answer.body.iter().enumerate();
    assert!(bytes.all(|(position, byte)| *byte == large_answer_byte(position)));
    assert_growth(&fleet, before);
}

/// A body that was sent in part cannot be sent again, so a retry would run a
/// damaged order.
#[test]
fn no_retry() {
    let fleet = Fleet::start(&Plan {
        engines: 0,
        plains: 2,
        relayed: true,
        ..Plan::default()
    });
    let body = serde_json::Value::from("x".repeat(1 << 20));
    let request = post_request("/orders", ACME_KEY, &body);
    let mut caller = Exchange::start(fleet.caller(0), &request[..300_000]);
    let answer = std::thread::spawn(move || {
        caller.read_until("\r\n\r\n", 1);
        caller.finish()
    });
    while !answer.is_finished() {
        for target in &fleet.targets {
            target.relay().cut();
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let answer = answer.join().unwrap();
    assert!(answer.status >= 500, "{}", answer.text());
    let executions = |target: &Target| target.executions(&body.to_string());
    assert_eq!(fleet.targets.iter().map(executions).sum::<u64>(), 0);
}

/// A connection that is closed with unread bytes would lose the answer.
#[test]
fn refusal_arrives() {
    let fleet = start();
    let body = serde_json::Value::from("x".repeat(1 << 20));
    let answer = exchange(fleet.caller(0), &post_request("/orders", "sk-wrong", &body));
    assert_eq!(answer.status, 401, "{}", answer.text());
}
