//! Moves of a plain service with real processes.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread, //
};

use serde_json::{
    Value,
    json, //
};
use support::fleet::{
    Fleet,
    Plan,
    Target,
    eventually,
    get,
    ticket, //
};
use yuccalatch::clock::Clock;

/// Callers that send requests all the time.
const CALLERS: usize = 8;

/// Sends requests until told to stop.
struct Traffic {
    is_over: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<u64>>,
}

impl Traffic {
    fn start(address: SocketAddr) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|_| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut failed = 0;
                while !is_over.load(Ordering::Relaxed) {
                    failed += u64::from(get(address, "/files/a").status != 200);
                }
                failed
            })
        });
        Self {
            callers: callers.collect(),
            is_over,
        }
    }

    /// Stops and returns the number of failed requests.
    fn stop(self) -> u64 {
        self.is_over.store(true, Ordering::Relaxed);
        let failed = self.callers.into_iter();
        failed.map(|caller| caller.join().unwrap()).sum()
    }
}

/// Starts a server beside the old ones.
fn start_target(fleet: &mut Fleet, name: &str) {
    fleet.add_target("files", name, &Value::Null);
}

/// Submits a version with its target, and the move to it.
fn submit_move(fleet: &Fleet, number: u64, version: &str, target: &Target) {
    let finish_by_unix_ms = Clock::start().unix_ms() + 26_000;
    let set = json!([
        {"version": {"name": version, "service": "files", "weights": version}},
        {"target": {"name": target.name, "service": "files", "data_centre": "a",
            "version": version, "address": target.agent.address("data_address"),
            "control_address": target.agent.address("control_address")}},
        {"move": {"name": "files", "service": "files", "from": "files-1", "to": version,
            "finish_by_unix_ms": finish_by_unix_ms, "quietest_requests_per_min": 1_000_000,
            "pace": {"shortest_step_ms": 300, "step_overhead_ms": 300, "settle_ms": 1_000}}},
    ]);
    fleet.submit(&ticket(number, &set, &json!([])));
}

/// Waits for the end of the move at every entry and returns it.
fn wait_for(fleet: &Fleet, state: &str, version: &str) {
    for entry in 0..fleet.entries.len() {
        eventually(state, || {
            let moves = fleet.status(entry).moves;
            let found = moves.iter().find(|status| &*status.to == version);
            found.is_some_and(|status| status.state == state)
        });
    }
}

/// Requests that a server has run.
fn executions(target: &Target) -> u64 {
    let counts = get(target.standin.address("address"), "/executions").json();
    counts["total"].as_u64().unwrap()
}

/// Guards against a move that waits for ever for a plain server to load a
/// version, sends requests of one version to servers of the other, or leaves a
/// failing release in use.
#[test]
fn a_plain_service_is_moved() {
    let mut fleet = Fleet::start(&Plan {
        entries: 2,
        engines: 0,
        plains: 1,
        ..Plan::default()
    });
    start_target(&mut fleet, "bad");
    start_target(&mut fleet, "new");
    fleet.targets[1].set_faults(&json!({"refuse_status": 500}));

    let traffic = Traffic::start(fleet.caller(0));
    submit_move(&fleet, 2, "files-2", &fleet.targets[1]);
    wait_for(&fleet, "taken_back", "files-2");
    traffic.stop();
    assert!(
        fleet
            .entries
            .iter()
            .any(|entry| entry.log_contains("YL7002"))
    );
    assert_eq!(executions(&fleet.targets[1]), 0);

    let traffic = Traffic::start(fleet.caller(0));
    submit_move(&fleet, 3, "files-3", &fleet.targets[2]);
    wait_for(&fleet, "done", "files-3");
    assert_eq!(traffic.stop(), 0);
    let old = executions(&fleet.targets[0]);
    let new = executions(&fleet.targets[2]);
    for entry in 0..2 {
        assert_eq!(get(fleet.caller(entry), "/files/a").status, 200);
    }
    assert_eq!(executions(&fleet.targets[0]), old);
    assert_eq!(executions(&fleet.targets[2]), new + 2);
    for target in &fleet.targets {
        let received = target.received().to_string();
        assert!(!received.contains("/orders"), "{received}");
    }
}

/// Guards against a share for a release whose server does not accept
/// connections, and against a move that waits for it without end.
#[test]
fn a_server_that_does_not_start_is_taken_back() {
    let mut fleet = Fleet::start(&Plan {
        engines: 0,
        plains: 1,
        ..Plan::default()
    });
    start_target(&mut fleet, "dead");
    fleet.targets[1].standin.signal("KILL");
    fleet.targets[1].standin.wait();
    submit_move(&fleet, 2, "files-2", &fleet.targets[1]);
    let traffic = Traffic::start(fleet.caller(0));
    wait_for(&fleet, "taken_back", "files-2");
    assert_eq!(traffic.stop(), 0);
    assert!(fleet.status(0).moves[0].reason.contains("LoadFailed"));
}
