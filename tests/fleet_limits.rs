//! Guards against organisations that exceed their rate and burst across several
//! entries, and against refusals within the rate.

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

/// Burst of the organisation `acme`; its rate of one token per second adds
/// nothing that matters.
const BURST_TOKENS: u64 = 10_000;

/// Tokens that one request of `acme` reserves and uses.
const COST_TOKENS: u64 = 1_000;

/// Limits of the organisation whose callers ask for more than its rate while an
/// entry is frozen. The burst is small, so that a share that two entries use at
/// once soon exceeds it.
const CEDAR_RATE_TOKENS_PER_S: u64 = 10_000;
const CEDAR_BURST_TOKENS: u64 = 5_000;

/// Tokens of one request of this organisation. Much less than the burst, because
/// an entry with a small share may wait long for a large request.
const CEDAR_COST_TOKENS: u64 = 200;

const CEDAR_KEY: &str = "sk-cedar-0011223344556677";

/// Callers of each entry; enough that requests always wait.
const CALLERS_PER_ENTRY: usize = 6;

/// How long the entry is frozen: long enough that it is suspected of failure and
/// that the other entry lacks its share.
const FREEZE_DURATION: Duration = Duration::from_millis(3_500);

/// Duration of traffic before and after the freeze.
const TRAFFIC_DURATION: Duration = Duration::from_millis(2_500);

fn small_burst_ticket() -> Ticket {
    serde_json::from_value(serde_json::json!({
        "ticket": 2, "author": "test", "comment": "small burst",
        "set": [{"organisation": {"name": "acme", "rate_tokens_per_s": 1,
            "burst_tokens": BURST_TOKENS, "weight": 1}}],
        "remove": []
    }))
    .unwrap()
}

fn start_fleet(entries: usize) -> Fleet {
    Fleet::start(&Plan {
        entries,
        ..Plan::default()
    })
}

/// Returns a ticket for a new organisation, which has never had other limits.
fn new_organisation_ticket() -> Ticket {
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

fn send_acme(fleet: &Fleet, entry: usize) -> u16 {
    send_tokens(fleet, entry, ACME_KEY, COST_TOKENS)
}

/// Guards against a refusal on an entry although the organisation is within its
/// limits.
#[test]
fn requests_within_the_limits_are_served_on_every_entry() {
    let fleet = start_fleet(2);
    for entry in [0, 1, 0, 1] {
        assert_eq!(send_acme(&fleet, entry), 200);
    }
}

/// Guards against each entry granting the whole burst by itself: two entries get
/// requests for three times the burst.
#[test]
fn burst_is_shared_by_all_entries() {
    let mut fleet = start_fleet(2);
    fleet.submit(&small_burst_ticket());
    for entry in 0..2 {
        eventually("the entry applies revision 2", || {
            fleet.entries[entry].log_contains("\"revision\":2")
        });
    }
    fleet.targets[0].agent.signal("CONT");
    let shared_fleet = &fleet;
    let served: u64 = thread::scope(|scope| {
        let senders: Vec<_> = (0..2)
            .map(|entry| {
                scope.spawn(move || {
                    (0..15)
                        .filter(|_| send_acme(shared_fleet, entry) == 200)
                        .count() as u64
                })
            })
            .collect();
        senders
            .into_iter()
            .map(|sender| sender.join().unwrap())
            .sum()
    });
    assert!(
        served * COST_TOKENS <= BURST_TOKENS,
        "{served} requests of {COST_TOKENS} tokens were served, burst {BURST_TOKENS}"
    );
    fleet.entries.clear();
}

/// Times at which a served request was sent and answered, since a common start.
#[derive(Clone, Copy)]
struct ServedRequest {
    entry: usize,
    sent_us: u64,
    answered_us: u64,
}

/// Panics if the requests sent and answered within some window cost more than
/// the rate and burst allow in it.
fn check_windows(mut served: Vec<ServedRequest>) {
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
                "{count} requests in {window_us} us cost more than {allowed_tokens} tokens"
            );
        }
    }
}

/// Guards against a share that is used twice: by the other entry, which has taken
/// it over while this one was frozen, and by this one after it continues.
#[test]
fn frozen_first_entry_does_not_reuse_its_share() {
    freeze_busy_entry(0, 1);
}

/// Guards against the same for the other entry: one of the two is the ledger.
#[test]
fn frozen_second_entry_does_not_reuse_its_share() {
    freeze_busy_entry(1, 0);
}

/// Freezes the entry that has all callers, and therefore most of the limits; then
/// the other one gets callers too.
fn freeze_busy_entry(busy: usize, other: usize) {
    let fleet = start_fleet(2);
    let started = Instant::now();
    let elapsed_us = || u64::try_from(started.elapsed().as_micros()).unwrap();
    let served: Mutex<Vec<ServedRequest>> = Mutex::default();
    let is_finished = AtomicBool::new(false);
    fleet.submit(&new_organisation_ticket());
    let send_cedar = |entry: usize| {
        let sent_us = elapsed_us();
        let is_served = send_tokens(&fleet, entry, CEDAR_KEY, CEDAR_COST_TOKENS) == 200;
        if is_served {
            served.lock().unwrap().push(ServedRequest {
                entry,
                sent_us,
                answered_us: elapsed_us(),
            });
        }
        is_served
    };
    let served_by = |entry: usize| {
        let served = served.lock().unwrap();
        served
            .iter()
            .filter(|request| request.entry == entry)
            .count()
    };
    // The ledger acquires its epoch while the object API is up.
    for entry in 0..2 {
        eventually("the entry serves the organisation", || send_cedar(entry));
    }
    fleet.platform.signal("STOP");
    let mut served_before_thaw = 0;
    thread::scope(|scope| {
        let send_to = |entry: usize| {
            for _ in 0..CALLERS_PER_ENTRY {
                let (send_cedar, is_finished) = (&send_cedar, &is_finished);
                scope.spawn(move || {
                    while !is_finished.load(Ordering::Relaxed) {
                        if !send_cedar(entry) {
                            thread::sleep(Duration::from_millis(20));
                        }
                    }
                });
            }
        };
        send_to(busy);
        thread::sleep(TRAFFIC_DURATION);
        fleet.entries[busy].signal("STOP");
        send_to(other);
        thread::sleep(FREEZE_DURATION);
        served_before_thaw = served_by(busy);
        fleet.entries[busy].signal("CONT");
        thread::sleep(TRAFFIC_DURATION);
        is_finished.store(true, Ordering::Relaxed);
    });
    println!(
        "requests served by entry 0: {}, by entry 1: {}",
        served_by(0),
        served_by(1)
    );
    assert!(
        served_by(busy) > served_before_thaw,
        "entry {busy} served no request after it was continued"
    );
    check_windows(served.into_inner().unwrap());
}
