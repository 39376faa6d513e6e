//! Guards against planned stops that interrupt requests.

mod support;

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicUsize,
        Ordering, //
    },
    thread, //
};

use serde_json::json;
use support::fleet::{
    ACME_KEY,
    Answer,
    Exchange,
    Fleet,
    Plan,
    completion,
    eventually,
    exchange,
    post_request,
    reference, //
};

const PROMPT: &str = "summary of a quote";

const TOKENS: u64 = 30;

fn start(entries: usize, engines: usize, plains: usize) -> Fleet {
    Fleet::start(&Plan {
        entries,
        engines,
        plains,
        engine: json!({"decode_tokens_per_s": 100, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    })
}

fn stream_request() -> Vec<u8> {
    let body = completion(PROMPT, TOKENS, true);
    post_request("/v1/completions", ACME_KEY, &body)
}

fn order_request() -> Vec<u8> {
    post_request("/orders", ACME_KEY, &json!({"order": 1}))
}

/// What callers saw while a program stopped.
#[derive(Default)]
struct Seen {
    served: AtomicUsize,
    refused: AtomicUsize,
}

impl Seen {
    fn check(&self, answer: &Answer) {
        if answer.status == 503 {
            let error = &answer.json()["error"];
            assert_eq!(error["kind"], "stopping", "{}", answer.text());
            assert_eq!(error["not_run"], true);
            self.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(answer.is_complete, "{}", answer.text());
        if answer.header("content-type") == Some("text/event-stream") {
            assert_eq!(
                answer.streamed_text(),
                reference("v1", PROMPT, TOKENS),
                "{}",
                answer.text()
            );
        }
        self.served.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs callers of entry 0 while `stop` is called.
fn under_load(fleet: &Fleet, stop: impl FnOnce(&Seen)) -> Seen {
    let seen = Seen::default();
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..6 {
            let (seen, is_over) = (&seen, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let request = if caller % 2 == 0 {
                        stream_request()
                    } else {
                        order_request()
                    };
                    seen.check(&exchange(fleet.caller(0), &request));
                }
            });
        }
        stop(&seen);
        is_over.store(true, Ordering::Relaxed);
    });
    seen
}

fn wait_served(seen: &Seen, more: usize) {
    let goal = seen.served.load(Ordering::Relaxed) + more;
    eventually("requests are served", || {
        seen.served.load(Ordering::Relaxed) >= goal
    });
}

/// An agent that exits at once would break streams and lose orders.
#[test]
fn agents_stop() {
    let fleet = start(1, 2, 2);
    let order_arrives = || {
        let before = fleet.targets[2].received();
        eventually("an order arrives", || fleet.targets[2].received() != before);
    };
    // Longer than the HTTP server itself waits when it stops.
    for target in [2, 3] {
        fleet.targets[target].set_faults(&json!({"slow_ms": 1_500}));
    }
    let seen = under_load(&fleet, |seen| {
        wait_served(seen, 10);
        order_arrives();
        fleet.targets[0].agent.signal("TERM");
        fleet.targets[2].agent.signal("TERM");
        for target in [0, 2] {
            let agent = &fleet.targets[target].agent;
            eventually("the agent stops", || agent.log_contains("YL1003"));
        }
        wait_served(seen, 10);
    });
    assert_eq!(seen.refused.load(Ordering::Relaxed), 0);
}

/// An entry that exits at once would cut streams.
#[test]
fn entry_stops() {
    let mut fleet = start(1, 1, 1);
    let mut streams: Vec<Exchange> = (0..4)
        .map(|_| Exchange::start(fleet.caller(0), &stream_request()))
        .collect();
    for stream in &mut streams {
        stream.read_until("data: ", 2);
    }
    // Slow enough that the streams outlast the refusals.
    fleet.targets[0].set_faults(&json!({"slow_factor": 50}));
    fleet.entries[0].signal("TERM");
    let seen = Seen::default();
    eventually("new work is refused", || {
        seen.check(&exchange(fleet.caller(0), &order_request()));
        seen.refused.load(Ordering::Relaxed) > 0
    });
    fleet.targets[0].set_faults(&json!({}));
    for stream in streams {
        seen.check(&stream.finish());
    }
    assert!(fleet.entries[0].wait());
}

/// A caller that keeps its connection would send the next request to an entry
/// that is gone.
#[test]
fn connections_close() {
    let mut fleet = start(1, 1, 1);
    let keep = |request: Vec<u8>| {
        let text = String::from_utf8(request).unwrap();
        text.replace("connection: close", "connection: keep-alive")
            .into_bytes()
    };
    let mut idle = Exchange::start(fleet.caller(0), &keep(order_request()));
    idle.read_until("\"path\":\"/orders\"}", 1);
    fleet.targets[0].set_faults(&json!({"slow_factor": 50}));
    let body = completion(PROMPT, TOKENS, false);
    let whole = keep(post_request("/v1/completions", ACME_KEY, &body));
    let last = Exchange::start(fleet.caller(0), &whole);
    let engine = &fleet.targets[0];
    eventually("the request runs", || engine.received() != json!([]));
    fleet.entries[0].signal("TERM");
    assert_eq!(idle.finish().status, 200);
    assert!(!fleet.entries[0].log_contains("YL1003"), "not closed early");
    engine.set_faults(&json!({}));
    let answer = last.finish();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(fleet.entries[0].wait());
}
