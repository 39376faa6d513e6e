//! Guards against non-idempotent requests that run twice, and against answers that
//! report "not run" although the request ran.

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

/// Window of idempotency keys in tests that replace an agent. Long enough that the
/// key is still in it when the new agent is asked.
const REPLACEMENT_WINDOW_MS: u64 = 10_000;

/// Starts two entries that soon trust the object API, and agents that keep keys for
/// their default window.
fn start_keyed() -> Fleet {
    start_keyed_with_window(100)
}

/// Starts two entries that keep the record of a key for a given time, and waits
/// until they trust the object API, which has to answer for as long first.
fn start_keyed_with_window(window_ms: u64) -> Fleet {
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

/// Returns the index of the target that ran an order.
fn target_that_ran(fleet: &Fleet, name: &str) -> usize {
    let body = order(name).to_string();
    let mut targets = fleet.targets.iter();
    let index = targets.position(|target| target.executions(&body) > 0);
    index.unwrap()
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

/// Returns how often all targets together ran an order.
fn executions(fleet: &Fleet, name: &str) -> u64 {
    let body = order(name).to_string();
    let targets = fleet.targets.iter();
    targets.map(|target| target.executions(&body)).sum()
}

/// Returns the requests that each target has received.
fn received_requests(fleet: &Fleet) -> Vec<Value> {
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

/// Guards against an order that is retried, and so runs twice, because the target
/// broke off its answer.
#[test]
fn order_retried_after_broken_answer() {
    let fleet = start(2, false);
    set_faults(&fleet, &json!({"break_after_execution": true}));
    let answer = send(&fleet, "a");
    assert_kind(&answer, "target_failed", false);
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Guards against an order that is retried or reported as not run, because the agent
/// that was running it was killed.
#[test]
fn order_retried_after_killed_agent() {
    let fleet = start(2, false);
    set_faults(&fleet, &json!({"hang_after_execution": true}));
    let call = Exchange::start(fleet.caller(0), &order_request("a"));
    eventually("the order runs", || executions(&fleet, "a") == 1);
    let body = order("a").to_string();
    let mut targets = fleet.targets.iter();
    let target = targets.find(|target| target.executions(&body) == 1);
    target.unwrap().agent.signal("KILL");
    assert_kind(&call.finish(), "outcome_unknown", false);
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Guards against an answer that is lost with the link to the agent and is not
/// fetched on a new connection.
#[test]
fn answer_lost_with_link() {
    let fleet = start(2, true);
    set_faults(&fleet, &json!({"slow_ms": 3_000}));
    let before = received_requests(&fleet);
    let call = Exchange::start(fleet.caller(0), &order_request("a"));
    eventually("the order runs", || received_requests(&fleet) != before);
    for target in &fleet.targets {
        target.relay().freeze_open();
    }
    let answer = call.finish();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Guards against a late copy of an order that runs although the order was repeated
/// on another target. The copy arrives when the frozen link works again.
#[test]
fn late_copy_runs() {
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

/// Returns the number of orders that the first target has received.
fn received_orders(fleet: &Fleet) -> usize {
    let received = fleet.targets[0].received();
    let lines = received.as_array().unwrap().iter();
    lines.filter(|line| **line == "/orders").count()
}

/// Guards against answers that reach the wrong caller when many of them are fetched
/// on new connections after a link was lost.
#[test]
fn answers_swapped_between_callers() {
    let fleet = start(1, true);
    set_faults(&fleet, &json!({"slow_ms": 3_000}));
    let before = received_orders(&fleet);
    let calls: Vec<Exchange> = (0..8)
        .map(|number| {
            let body = Value::from("x".repeat(number + 1));
            let request = post_request("/orders", ACME_KEY, &body);
            Exchange::start(fleet.caller(0), &request)
        })
        .collect();
    eventually("all orders run", || received_orders(&fleet) == before + 8);
    fleet.targets[0].relay().freeze_open();
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.finish();
        assert_eq!(answer.json()["body_bytes"], number + 3, "{}", answer.text());
        let body = Value::from("x".repeat(number + 1)).to_string();
        assert_eq!(fleet.targets[0].executions(&body), 1);
    }
}

/// Guards against an order that is not answered with "not run" although the refused
/// connection to the agent proves it.
#[test]
fn refused_connection_reported_as_run() {
    let mut fleet = start(1, false);
    fleet.targets[0].agent.signal("KILL");
    fleet.targets[0].agent.wait();
    let answer = send(&fleet, "a");
    assert_kind(&answer, "no_target", true);
    assert_eq!(executions(&fleet, "a"), 0);
}

/// Guards against a key that runs again when the caller repeats the order through
/// another entry, and against one that is accepted for another order.
#[test]
fn key_repeated_through_other_entry() {
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

/// Guards against a key that runs again when the order is repeated while it still
/// runs.
#[test]
fn key_repeated_while_running() {
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

/// Guards against a key that runs again on a restarted agent, which has lost its
/// table and needs the record in the object API.
#[test]
fn key_repeated_after_agent_restart() {
    let mut fleet = start_keyed_with_window(REPLACEMENT_WINDOW_MS);
    assert_eq!(send_keyed(&fleet, 0, "k", "a").status, 200);
    fleet.restart_agent(target_that_ran(&fleet, "a"));
    eventually("the new agent is asked", || {
        let answer = send_keyed(&fleet, 1, "k", "a");
        answer.json()["error"]["kind"] == "outcome_unknown"
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Guards against a key that runs again on its next owner, which needs the record in
/// the object API, after the agent that ran it was killed.
#[test]
fn key_repeated_after_agent_loss() {
    let fleet = start_keyed_with_window(REPLACEMENT_WINDOW_MS);
    assert_eq!(send_keyed(&fleet, 0, "k", "a").status, 200);
    fleet.targets[target_that_ran(&fleet, "a")]
        .agent
        .signal("KILL");
    eventually("another agent is asked", || {
        let answer = send_keyed(&fleet, 1, "k", "a");
        answer.json()["error"]["kind"] == "outcome_unknown"
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Makes the object API slower than any call may take; reads of the configuration have the
/// longest bound, two seconds. The entries hear each other, so that API keys do not become
/// stale during the test.
fn slow_down_platform(fleet: &Fleet) {
    let faults = json!({"slow_ms": 3_000});
    let answer = put(fleet.platform_address(), "/faults", &faults);
    assert_eq!(answer.status, 204, "{}", answer.text());
}

/// Guards against a key that runs unverified while the object API is silent, on an
/// agent that does not cover the window yet, and against a stored response that the
/// agent does not replay then.
#[test]
fn key_runs_unverified_while_platform_silent() {
    let fleet = start_keyed();
    assert_eq!(send_keyed(&fleet, 0, "old", "old").status, 200);
    slow_down_platform(&fleet);
    let answer = send_keyed(&fleet, 0, "k", "a");
    assert_kind(&answer, "idempotency_unverified", true);
    assert_eq!(executions(&fleet, "a"), 0);
    let again = send_keyed(&fleet, 0, "old", "old");
    assert_eq!(again.json()["execution"], 1, "{}", again.text());
    assert_eq!(executions(&fleet, "old"), 1);
}

/// Guards against keys that are refused throughout an outage of the object API. While
/// it is silent for all processes, an agent that covers the window can verify them.
/// The test needs two entries, as a single one has no peers and soon refuses all
/// API keys as stale.
#[test]
fn key_refused_while_platform_silent() {
    let fleet = start_plan(&Plan {
        entries: 2,
        engines: 0,
        plains: 2,
        agent: json!({"idempotency_window_ms": 100}),
        ..Plan::default()
    });
    // Limits need a ledger, which takes its epoch while the object API is up.
    assert_eq!(send(&fleet, "first").status, 200);
    slow_down_platform(&fleet);
    eventually("the agent covers the window", || {
        send_keyed(&fleet, 0, "k", "a").status == 200
    });
    assert_eq!(executions(&fleet, "a"), 1);
}

/// Guards against records that fill the object API because their entry does not
/// remove them after the window.
#[test]
fn own_key_records_left() {
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
fn key_records_of_restarted_entry_left() {
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
