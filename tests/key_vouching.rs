//! Guards against idempotency keys that run twice because an entry or an agent
//! vouches for runs that it cannot know.

mod support;

use std::thread;

use serde_json::json;
use support::{
    callers::order_request,
    fleet::{
        Answer,
        Fleet,
        Plan,
        eventually,
        exchange,
        ticket, //
    },
    relay::Relay,
};

/// Keys of one test; enough that each agent owns some of them.
const KEYS: usize = 8;

/// Long enough for the orders of a test after a change of members.
const WINDOW_MS: u64 = 10_000;

fn send(fleet: &Fleet, entry: usize, name: &str) -> Answer {
    let body = json!({"order": name}).to_string();
    exchange(fleet.caller(entry), &order_request(&body, Some(name)))
}

fn executions(fleet: &Fleet, name: &str) -> u64 {
    let body = json!({"order": name}).to_string();
    let targets = fleet.targets.iter();
    targets.map(|target| target.executions(&body)).sum()
}

fn is_unverified(answer: &Answer) -> bool {
    let error = &answer.json()["error"];
    error["kind"] == "idempotency_unverified" && error["not_run"] == true
}

fn serves_keys(fleet: &Fleet, entry: usize, prefix: &str) {
    for number in 0..KEYS {
        let mut tries = 0;
        eventually("the key is served", || {
            tries += 1;
            send(fleet, entry, &format!("{prefix}-{number}-{tries}")).status == 200
        });
    }
}

/// Agents that go on vouching for all keys after a change of members would run
/// orders again that ran on the member that has gone.
#[test]
fn members_changed() {
    let fleet = Fleet::start(&Plan {
        engines: 0,
        plains: 3,
        agent: json!({"idempotency_window_ms": WINDOW_MS}),
        ..Plan::default()
    });
    fleet.wait_targets(3);
    // The entry does not trust the records before its own window has passed.
    serves_keys(&fleet, 0, "before");
    let last = &fleet.targets[2].name;
    let remove = json!([{"kind": "target", "name": last}]);
    fleet.submit(&ticket(2, &json!([]), &remove));
    let agents = fleet.targets[..2].iter().map(|target| &target.agent);
    for process in agents.chain(&fleet.entries) {
        eventually("the ticket is applied", || {
            process.log_contains("\"revision\":2")
        });
    }
    for number in 0..KEYS {
        let name = format!("after-{number}");
        let answer = send(&fleet, 0, &name);
        assert!(is_unverified(&answer), "{}", answer.text());
        assert_eq!(executions(&fleet, &name), 0);
    }
    serves_keys(&fleet, 0, "later");
}

/// An entry that alone cannot reach the object API leaves no record, so an entry
/// that can would let the next owner run the order again.
#[test]
fn entry_cut_off() {
    let mut fleet = Fleet::start(&Plan {
        engines: 0,
        plains: 2,
        agent: json!({"idempotency_window_ms": WINDOW_MS}),
        ..Plan::default()
    });
    let link = Relay::start(fleet.platform_address());
    let short = json!({"idempotency_window_ms": 100});
    let mut cut_off = short.clone();
    cut_off["platform_address"] = json!(link.address);
    fleet.add_entry_with("entry-1", &cut_off);
    fleet.add_entry_with("entry-2", &short);
    fleet.wait_ready();
    fleet.wait_targets(2);
    // Entry 0 does not trust the records yet, so it is served when agents vouch.
    for entry in 0..3 {
        serves_keys(&fleet, entry, &format!("warm-{entry}"));
    }
    link.freeze();
    let first: Vec<Answer> = thread::scope(|scope| {
        let fleet = &fleet;
        let each = (0..KEYS).map(|number| format!("k-{number}"));
        let calls: Vec<_> = each
            .map(|name| scope.spawn(move || send(fleet, 1, &name)))
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    // The keys of this agent pass to the other one.
    fleet.targets[0].agent.signal("KILL");
    fleet.targets[0].agent.wait();
    for (number, answer) in first.iter().enumerate() {
        let name = format!("k-{number}");
        let is_served = answer.status == 200;
        assert!(is_served || is_unverified(answer), "{}", answer.text());
        eventually("the other agent is asked", || {
            let answer = send(&fleet, 2, &name);
            let kind = answer.json()["error"]["kind"].clone();
            // The record may name the agent that has gone.
            answer.status == 200 || kind == "outcome_unknown"
        });
        let runs = executions(&fleet, &name);
        assert!(runs <= 1, "{name} ran {runs} times");
    }
    drop(link);
}
