//! Guards against organisations that get more than their rate and burst over
//! several entries, and against refusals within the rate.

mod support;

use std::{
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    post, //
};
use yuccalatch::version::{
    keys::digest_of,
    ticket::Ticket, //
};

/// Burst of the organisation in these tests; the rate is too small to matter.
const BURST_TOKENS: u64 = 10_000;

/// Tokens that one request reserves and uses.
const COST_TOKENS: u64 = 1_000;

/// Limits of the organisation that is sent more than its rate while an entry is
/// frozen. The burst is small, so that a share in use twice exceeds it soon.
const CEDAR_RATE_TOKENS_PER_S: u64 = 10_000;
const CEDAR_BURST_TOKENS: u64 = 5_000;

/// Tokens of one request of this organisation. Much less than the burst: with
/// large requests an entry with a small share may wait for long.
const CEDAR_COST_TOKENS: u64 = 200;

const CEDAR_KEY: &str = "sk-cedar-0011223344556677";

/// Callers of an entry, so that it always has requests waiting.
const SENDERS: usize = 6;

/// Long enough that the frozen entry is suspected and its share is missed.
const FROZEN: Duration = Duration::from_millis(3_500);

/// Time of traffic before and after the freeze.
const PHASE: Duration = Duration::from_millis(2_500);

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

/// A new organisation, which has never had other limits.
fn cedar() -> Ticket {
    serde_json::from_value(serde_json::json!({
        "ticket": 2, "author": "test", "comment": "new organisation",
        "set": [
            {"organisation": {"name": "cedar", "rate_tokens_per_s": CEDAR_RATE_TOKENS_PER_S,
                "burst_tokens": CEDAR_BURST_TOKENS, "weight": 1}},
            {"key": {"name": "cedar-1", "organisation": "cedar",
                "digest": digest_of(CEDAR_KEY.as_bytes())}},
        ],
        "remove": []
    }))
    .unwrap()
}

fn send_tokens(fleet: &Fleet, entry: usize, key: &str, cost_tokens: u64) -> u16 {
    let output_tokens = 10;
    // Four characters of the prompt count as one token.
    let characters = usize::try_from(4 * (cost_tokens - output_tokens)).unwrap();
    let body = completion(&"p".repeat(characters), output_tokens, true);
    post(fleet.caller(entry), "/v1/completions", key, &body).status
}

fn send(fleet: &Fleet, entry: usize) -> u16 {
    send_tokens(fleet, entry, ACME_KEY, COST_TOKENS)
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

/// Times at which a request was sent and answered, after a common start.
#[derive(Clone, Copy)]
struct Served {
    entry: usize,
    sent_us: u64,
    answered_us: u64,
}

/// Panics when the requests sent and answered within some window cost more than
/// the rate and burst allow for it.
fn check_windows(mut served: Vec<Served>) {
    served.sort_by_key(|request| request.answered_us);
    for first in &served {
        let inside = served
            .iter()
            .filter(|request| request.sent_us >= first.sent_us);
        for (count, last) in (1..).zip(inside) {
            let window_us = last.answered_us - first.sent_us;
            let allowed_tokens =
                CEDAR_RATE_TOKENS_PER_S * window_us / 1_000_000 + CEDAR_BURST_TOKENS;
            assert!(
                count * CEDAR_COST_TOKENS <= allowed_tokens,
                "{count} requests in {window_us} us, {allowed_tokens} tokens allowed"
            );
        }
    }
}

/// Guards against an entry that uses its share twice: once itself after it was
/// frozen, and once through the other entry that has taken it over meanwhile.
#[test]
fn frozen_first_entry() {
    freeze_busy_entry(0, 1);
}

/// Guards against the same; one of the two entries is the ledger.
#[test]
fn frozen_second_entry() {
    freeze_busy_entry(1, 0);
}

/// Freezes the entry that has all callers, and so most of the limits; then the
/// other one gets callers too.
fn freeze_busy_entry(busy: usize, other: usize) {
    let fleet = fleet(2);
    let started = Instant::now();
    let elapsed_us = || u64::try_from(started.elapsed().as_micros()).unwrap();
    let served: Mutex<Vec<Served>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    fleet.submit(&cedar());
    let send_cedar = |entry: usize| {
        let sent_us = elapsed_us();
        let is_served = send_tokens(&fleet, entry, CEDAR_KEY, CEDAR_COST_TOKENS) == 200;
        if is_served {
            served.lock().unwrap().push(Served {
                entry,
                sent_us,
                answered_us: elapsed_us(),
            });
        }
        is_served
    };
    let count = |entry: usize| {
        let served = served.lock().unwrap();
        served
            .iter()
            .filter(|request| request.entry == entry)
            .count()
    };
    // The ledger takes its epoch while the object API is up.
    for entry in 0..2 {
        eventually("the entry serves the organisation", || send_cedar(entry));
    }
    fleet.platform.signal("STOP");
    let mut before_thaw = 0;
    thread::scope(|scope| {
        let send_to = |entry: usize| {
            for _ in 0..SENDERS {
                let (send_cedar, is_over) = (&send_cedar, &is_over);
                scope.spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        if !send_cedar(entry) {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                });
            }
        };
        send_to(busy);
        thread::sleep(PHASE);
        fleet.entries[busy].signal("STOP");
        send_to(other);
        thread::sleep(FROZEN);
        before_thaw = count(busy);
        fleet.entries[busy].signal("CONT");
        thread::sleep(PHASE);
        is_over.store(true, Ordering::Relaxed);
    });
    println!("served {} and {} requests", count(0), count(1));
    assert!(count(busy) > before_thaw, "the thawed entry serves nothing");
    check_windows(served.into_inner().unwrap());
}
