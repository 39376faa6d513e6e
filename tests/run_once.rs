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
    get,
    post_request,
    put,
    request, //
};

fn start(plains: usize, relayed: bool) -> Fleet {
    start_plan(&Plan {
        engines: 0,
        plains,
        relayed,
        ..Plan::default()
    })
}

fn start_plan(plan: &Plan) -> Fleet {
    let fleet = Fleet::start(plan);
    fleet.wait_targets(plan.plains);
    fleet
}

/// Time in which an agent is replaced and asked again.
const REPLACEMENT_MS: u64 = 10_000;

/// Starts two entries that trust the object API soon, with agents that remember
/// keys for the whole window.
fn start_keyed() -> Fleet {
    start_keyed_within(100)
}

/// Starts entries that keep the record of a key for a given time. They trust the
/// object API only after it has answered for as long.
fn start_keyed_within(window_ms: u64) -> Fleet {
    let fleet = start_plan(&Plan {
        entries: 2,
        engines: 0,
        plains: 2,
        entry: json!({"idempotency_window_ms": window_ms}),
        ..Plan::default()
    });
    for entry in 0..2 {
        eventually("the entry trusts the object API", || {
            send_keyed(&fleet, entry, &format!("warm-{entry}"), "warm").status == 200
        });
    }
    fleet
}

fn send_keyed(fleet: &Fleet, entry: usize, key: &str, name: &str) -> Answer {
    let authorization = format!("Bearer {ACME_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("idempotency-key", key),
    ];
    let body = order(name).to_string();
    let request = request("POST", "/orders", &headers, &body);
    exchange(fleet.caller(entry), &request)
}

fn serving(fleet: &Fleet, name: &str) -> usize {
    let body = order(name).to_string();
    let mut targets = fleet.targets.iter();
    let found = targets.position(|target| target.executions(&body) > 0);
    found.unwrap()
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

fn arrived(fleet: &Fleet) -> usize {
    let received = fleet.targets[0].received();
    let lines = received.as_array().unwrap().iter();
    lines.filter(|line| **line == "/orders").count()
}

/// Answers that cross on the link would reach the wrong caller.
#[test]
fn answers_crossed() {
    let fleet = start(1, true);
    set_faults(&fleet, &json!({"slow_ms": 3_000}));
    let before = arrived(&fleet);
    let calls: Vec<Exchange> = (0..8)
        .map(|number| {
            let body = Value::from("x".repeat(number + 1));
            let request = post_request("/orders", ACME_KEY, &body);
            Exchange::start(fleet.caller(0), &request)
        })
        .collect();
    eventually("all orders run", || arrived(&fleet) == before + 8);
    fleet.targets[0].relay().freeze_open();
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

/// A caller that repeats an order through another entry would run it again.
#[test]
fn key_repeated() {
    let fleet = start_keyed();
    let first = send_keyed(&fleet, 0, "k", "a");
    assert_eq!(first.status, 200, "{}", first.text());
    let again = send_keyed(&fleet, 1, "k", "a");
    assert_eq!(again.body, first.body);
    let other = send_keyed(&fleet, 1, "k", "b");
    assert_kind(&other, "idempotency_conflict", true);
    assert_eq!(executions(&fleet, "a"), 1);
    assert_eq!(executions(&fleet, "b"), 0);
}

/// Repetitions that arrive while the order runs would run it as well.
#[test]
fn key_repeated_early() {
    let fleet = start_keyed();
    set_faults(&fleet, &json!({"slow_ms": 500}));
    std::thread::scope(|scope| {
        for entry in [0, 1, 0, 1] {
            let fleet = &fleet;
            scope.spawn(move || {
                let answer = send_keyed(fleet, entry, "k", "a");
                assert_eq!(answer.json()["execution"], 1, "{}", answer.text());
            });
        }
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Without the record in the object API, a new agent would run the order again.
#[test]
fn key_agent_restarted() {
    let mut fleet = start_keyed_within(REPLACEMENT_MS);
    assert_eq!(send_keyed(&fleet, 0, "k", "a").status, 200);
    fleet.restart_agent(serving(&fleet, "a"));
    eventually("the new agent is asked", || {
        let answer = send_keyed(&fleet, 1, "k", "a");
        answer.json()["error"]["kind"] == "outcome_unknown"
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Without the record, the next owner of the key would run the order again.
#[test]
fn key_agent_gone() {
    let fleet = start_keyed_within(REPLACEMENT_MS);
    assert_eq!(send_keyed(&fleet, 0, "k", "a").status, 200);
    fleet.targets[serving(&fleet, "a")].agent.signal("KILL");
    eventually("another agent is asked", || {
        let answer = send_keyed(&fleet, 1, "k", "a");
        answer.json()["error"]["kind"] == "outcome_unknown"
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Slower than any call may take, while the configuration can still be read, so
/// that keys do not become stale during the test.
fn silence_platform(fleet: &Fleet) {
    let faults = json!({"slow_ms": 2_000});
    let answer = put(fleet.platform_address(), "/faults", &faults);
    assert_eq!(answer.status, 204, "{}", answer.text());
}

/// A young agent cannot vouch for a key while the object API is silent, but it
/// still knows its own outcomes.
#[test]
fn key_platform_silent() {
    let fleet = start_keyed();
    assert_eq!(send_keyed(&fleet, 0, "old", "old").status, 200);
    silence_platform(&fleet);
    let answer = send_keyed(&fleet, 0, "k", "a");
    assert_kind(&answer, "idempotency_unverified", true);
    assert_eq!(executions(&fleet, "a"), 0);
    let again = send_keyed(&fleet, 0, "old", "old");
    assert_eq!(again.json()["execution"], 1, "{}", again.text());
    assert_eq!(executions(&fleet, "old"), 1);
}

/// An agent that covers the window is authority enough while the object API is
/// silent everywhere; otherwise every order would be refused during an outage. A
/// single entry would soon refuse all keys, because it hears nobody.
#[test]
fn key_agent_covers() {
    let fleet = start_plan(&Plan {
        entries: 2,
        engines: 0,
        plains: 2,
        agent: json!({"idempotency_window_ms": 100}),
        ..Plan::default()
    });
    // Limits need a ledger, which takes its epoch while the object API is up.
    assert_eq!(send(&fleet, "first").status, 200);
    silence_platform(&fleet);
    eventually("the agent covers the window", || {
        send_keyed(&fleet, 0, "k", "a").status == 200
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Records that stay would fill the object API.
#[test]
fn key_records_removed() {
    let fleet = start_keyed();
    for number in 0..10 {
        let key = format!("k-{number}");
        assert_eq!(send_keyed(&fleet, number % 2, &key, &key).status, 200);
    }
    eventually("the records are removed", || {
        let listing = get(
            fleet.platform_address(),
            "/objects?prefix=idempotency/&after=",
        );
        listing.json()["objects"] == json!([])
    });
    let counters = get(fleet.platform_address(), "/counters").text();
    println!("calls of the object API: {counters}");
}

/// Guards against records that stay in the object API because the entry that
/// created them has restarted.
#[test]
fn left_records_removed() {
    let fleet = start_keyed();
    for digit in ["0", "7", "f"] {
        let path = format!("/objects/idempotency/{}", digit.repeat(64));
        let request = request("PUT", &path, &[("if-none-match", "*")], "left");
        assert_eq!(exchange(fleet.platform_address(), &request).status, 200);
    }
    eventually("the records are removed", || {
        let listing = get(
            fleet.platform_address(),
            "/objects?prefix=idempotency/&after=",
        );
        listing.json()["objects"] == json!([])
    });
}
