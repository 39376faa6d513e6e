//! Fleets whose moves take seconds, and traffic during them.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread, //
};

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use serde_json::{
    Value,
    json, //
};
use yuccalatch::{
    clock::{
        Clock,
        US_PER_S, //
    },
    process::platform::Platform,
    version::rollout::object_key, //
};

use super::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    get,
    post,
    ticket, //
};

/// Callers that send requests all the time.
const CALLERS: usize = 8;

/// Returns the versions that the first engine itself reports.
pub(crate) fn versions(fleet: &Fleet) -> Vec<String> {
    versions_of(fleet, 0)
}

/// Returns the versions that the engine of a target itself reports.
pub(crate) fn versions_of(fleet: &Fleet, target: usize) -> Vec<String> {
    let address = fleet.targets[target].standin.address("address");
    serde_json::from_value(get(address, "/load").json()["versions"].clone()).unwrap()
}

/// Reads the move object of the service.
pub(crate) fn stored_move(fleet: &Fleet) -> Value {
    let address = fleet.platform_address();
    System::new("read", DefaultRuntime).block_on(async move {
        let platform = Platform::new(address, Clock::start()).await.unwrap();
        let deadline_us = platform.clock().now_us() + 30 * US_PER_S;
        let key = object_key("draft");
        let stored = platform.get(&key, deadline_us).await.unwrap().unwrap();
        serde_json::from_slice(&stored.value).unwrap()
    })
}

/// A fleet with short times of moves, so that a move takes seconds.
pub(crate) fn moving_fleet(entries: usize) -> Fleet {
    Fleet::start(&Plan {
        entries,
        engines: 2,
        agent: json!({"checks_fencing": false}),
        engine: json!({"checks_fencing": false, "load_weights_ms": 50,
            "decode_tokens_per_s": 2_000, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    })
}

/// Submits a move to `v2` with short times. The requested time leaves room for
/// the longest request of the routes and the time until the move is planned.
pub(crate) fn submit_move(fleet: &Fleet) {
    let finish_by_unix_ms = Clock::start().unix_ms() + 80_000;
    let set = json!([
        {"version": {"name": "v2", "service": "draft", "weights": "oak/2"}},
        {"move": {"name": "to-v2", "service": "draft", "from": "v1", "to": "v2",
            "finish_by_unix_ms": finish_by_unix_ms, "quietest_requests_per_min": 1_000_000,
            "pace": {"shortest_step_ms": 300, "step_overhead_ms": 300, "settle_ms": 1_000}}},
    ]);
    fleet.submit(&ticket(2, &set, &json!([])));
}

/// Returns the state and share of the move at an entry.
pub(crate) fn state(fleet: &Fleet, entry: usize) -> (String, u32) {
    let moves = fleet.status(entry).moves;
    let status = moves.first();
    status.map_or_else(Default::default, |status| {
        (status.state.clone(), status.share_permille)
    })
}

/// Sends requests from several callers until told to stop. Every answer of a
/// good version has status 200.
pub(crate) struct Traffic {
    is_over: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<u64>>,
}

impl Traffic {
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS)
            .map(|number| {
                let is_over = Arc::clone(&is_over);
                let caller = fleet.caller(number % fleet.entries.len());
                thread::spawn(move || {
                    let body = completion(&format!("order {number}"), 2, false);
                    let mut failed = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let answer = post(caller, "/v1/completions", ACME_KEY, &body);
                        if answer.status != 200 {
                            eprintln!("caller {number}: {}", answer.text());
                            failed += 1;
                        }
                    }
                    failed
                })
            })
            .collect();
        Self { is_over, callers }
    }

    /// Stops and returns the number of failed requests.
    pub(crate) fn stop(self) -> u64 {
        self.is_over.store(true, Ordering::Relaxed);
        let failed = self
            .callers
            .into_iter()
            .map(|caller| caller.join().unwrap());
        failed.sum()
    }
}

pub(crate) fn break_new_version(fleet: &Fleet) {
    for target in &fleet.targets {
        target.set_faults(&json!({"error_percent": 100, "error_versions": ["v2"]}));
    }
}
