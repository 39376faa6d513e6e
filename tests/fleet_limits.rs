//! Guards against organisations that get more than their rate and burst over
//! several entries, and against refusals within the rate.

mod support;

use std::thread;

use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    post, //
};
use yuccalatch::version::ticket::Ticket;

/// Burst of the organisation in these tests; the rate is too small to matter.
const BURST_TOKENS: u64 = 10_000;

/// Tokens that one request reserves and uses.
const COST_TOKENS: u64 = 1_000;

fn small_burst() -> Ticket {
    serde_json::from_value(serde_json::json!({
        "ticket": 2, "author": "test", "comment": "small burst",
        "set": [{"organisation": {"name": "acme", "rate_tokens_per_s": 1,
            "burst_tokens": BURST_TOKENS, "weight": 1}}],
        "remove": []
    }))
    .unwrap()
}

fn fleet(entries: usize) -> Fleet {
    Fleet::start(&Plan {
        entries,
        ..Plan::default()
    })
}

fn send(fleet: &Fleet, entry: usize) -> u16 {
    let prompt = "p".repeat(3_960);
    let body = completion(&prompt, 10, true);
    post(fleet.caller(entry), "/v1/completions", ACME_KEY, &body).status
}

#[test]
fn requests_within_the_limits_are_served_on_every_entry() {
    let fleet = fleet(2);
    for entry in [0, 1, 0, 1] {
        assert_eq!(send(&fleet, entry), 200);
    }
}

#[test]
fn burst_is_shared_by_all_entries() {
    let mut fleet = fleet(2);
    fleet.submit(&small_burst());
    for entry in 0..2 {
        eventually("the entry has the ticket", || {
            fleet.entries[entry].log_contains("\"revision\":2")
        });
    }
    fleet.targets[0].agent.signal("CONT");
    let shared = &fleet;
    let served: u64 = thread::scope(|scope| {
        let senders: Vec<_> = (0..2)
            .map(|entry| {
                scope.spawn(move || (0..15).filter(|_| send(shared, entry) == 200).count() as u64)
            })
            .collect();
        senders
            .into_iter()
            .map(|sender| sender.join().unwrap())
            .sum()
    });
    assert!(
        served * COST_TOKENS <= BURST_TOKENS,
        "{served} requests were served"
    );
    fleet.entries.clear();
}
