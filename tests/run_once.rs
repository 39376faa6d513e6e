//! Guards against non-idempotent requests that run twice and against answers
//! that say "not run" although the request ran.

mod support;

use serde_json::{
    Value,
    json, //
};
use support::fleet::{
    ACME_KEY,
    Answer,
    Exchange,
    Fleet,
    Plan,
    eventually,
    exchange,
    post_request, //
};

fn start(plains: usize, relayed: bool) -> Fleet {
    let fleet = Fleet::start(&Plan {
        engines: 0,
        plains,
        relayed,
        ..Plan::default()
    });
    fleet.wait_targets(plains);
    fleet
}

fn order(name: &str) -> Value {
    json!({"order": name})
}

fn order_request(name: &str) -> Vec<u8> {
    post_request("/orders", ACME_KEY, &order(name))
}

fn send(fleet: &Fleet, name: &str) -> Answer {
    exchange(fleet.caller(0), &order_request(name))
}

fn executions(fleet: &Fleet, name: &str) -> u64 {
    let body = order(name).to_string();
    let targets = fleet.targets.iter();
    targets.map(|target| target.executions(&body)).sum()
}

fn received(fleet: &Fleet) -> Vec<Value> {
    let targets = fleet.targets.iter();
    targets.map(|target| target.received()).collect()
}

fn set_faults(fleet: &Fleet, faults: &Value) {
    for target in &fleet.targets {
        target.set_faults(faults);
    }
}

fn assert_kind(answer: &Answer, kind: &str, not_run: bool) {
    let error = &answer.json()["error"];
    assert_eq!(error["kind"], kind, "{}", answer.text());
    assert_eq!(error["not_run"], not_run, "{}", answer.text());
}

/// A retry after a broken answer would run the order again.
#[test]
fn answer_broken() {
    let fleet = start(2, false);
    set_faults(&fleet, &json!({"break_after_execution": true}));
    let answer = send(&fleet, "a");
    assert_kind(&answer, "target_failed", false);
    assert_eq!(executions(&fleet, "a"), 1);
}

/// A dead agent proves nothing about the order that it was running.
#[test]
fn agent_killed() {
    let fleet = start(2, false);
    set_faults(&fleet, &json!({"hang_after_execution": true}));
    let call = Exchange::start(fleet.caller(0), &order_request("a"));
    eventually("the order runs", || executions(&fleet, "a") == 1);
    let body = order("a").to_string();
    let mut targets = fleet.targets.iter();
    let serving = targets.find(|target| target.executions(&body) == 1);
    serving.unwrap().agent.signal("KILL");
    assert_kind(&call.finish(), "outcome_unknown", false);
    assert_eq!(executions(&fleet, "a"), 1);
}

/// A lost link would lose the answer if it could not be fetched again.
#[test]
fn answer_late() {
    let fleet = start(2, true);
    set_faults(&fleet, &json!({"slow_ms": 3_000}));
    let before = received(&fleet);
    let call = Exchange::start(fleet.caller(0), &order_request("a"));
    eventually("the order runs", || received(&fleet) != before);
    for target in &fleet.targets {
        target.relay().freeze_open();
    }
    let answer = call.finish();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(executions(&fleet, "a"), 1);
}

/// A copy that arrives after the order was repeated elsewhere would run as well.
#[test]
fn copy_late() {
    let fleet = start(2, true);
    assert_eq!(send(&fleet, "warm").status, 200);
    for target in &fleet.targets {
        target.relay().freeze_open();
    }
    let answer = send(&fleet, "a");
    assert_eq!(answer.status, 200, "{}", answer.text());
    for target in &fleet.targets {
        target.relay().thaw();
    }
    for number in 0..20 {
        assert_eq!(send(&fleet, &format!("later-{number}")).status, 200);
    }
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Answers that cross on the link would reach the wrong caller.
#[test]
fn answers_crossed() {
    let fleet = start(1, true);
    set_faults(&fleet, &json!({"slow_ms": 300}));
    let calls: Vec<Exchange> = (0..8)
        .map(|number| {
            let body = Value::from("x".repeat(number + 1));
            let request = post_request("/orders", ACME_KEY, &body);
            Exchange::start(fleet.caller(0), &request)
        })
        .collect();
    fleet.targets[0].relay().freeze_open();
    set_faults(&fleet, &json!({}));
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.finish();
        assert_eq!(answer.json()["body_bytes"], number + 3, "{}", answer.text());
        let body = Value::from("x".repeat(number + 1)).to_string();
        assert_eq!(fleet.targets[0].executions(&body), 1);
    }
}

/// A refused connection proves that the order did not run, and it is answered so.
#[test]
fn agents_gone() {
    let mut fleet = start(1, false);
    fleet.targets[0].agent.signal("KILL");
    fleet.targets[0].agent.wait();
    let answer = send(&fleet, "a");
    assert_kind(&answer, "no_target", true);
    assert_eq!(executions(&fleet, "a"), 0);
}
