//! Guards against faults that only two failures at once bring out, on the running
//! system under load.

mod support;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use support::{
    callers::{
        Callers,
        LIMITED_KEY,
        order_request, //
    },
    failures::{
        Drill,
        Failure,
        assert_no_key,
        assert_revisions_grow,
        spare_key, //
    },
    fleet::{
        ACME_KEY,
        Fleet,
        Plan,
        completion,
        eventually,
        exchange,
        post,
        ticket, //
    },
};
use yuccalatch::version::keys::digest_of;

const SEED: u64 = 6;

const PAIRS: usize = 10;

/// Longer than three missed heartbeats, so that a silent connection is noticed.
const HOLD: Duration = Duration::from_millis(2_500);

/// Between two pairs, so that not every pair falls into a fleet that is still
/// electing and reporting.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Twice the time in which callers repeat a keyed order.
const WINDOW_MS: u64 = 10_000;

const RATE_TOKENS_PER_S: u64 = 600;

const BURST_TOKENS: u64 = 2_000;

fn start() -> Fleet {
    let fleet = Fleet::start(&Plan {
        entries: 3,
        engines: 3,
        plains: 2,
        data_centres: 2,
        relayed: true,
        entry: json!({"idempotency_window_ms": WINDOW_MS}),
        agent: json!({"idempotency_window_ms": WINDOW_MS}),
        engine: json!({"decode_tokens_per_s": 40, "prefill_tokens_per_s": 100_000}),
    });
    // Orders at one server are still running when a link counts as silent, those
    // at the other have ended by then.
    fleet.targets[4].set_faults(&json!({"slow_ms": 2_800}));
    fleet.targets[3].set_faults(&json!({"slow_ms": 100}));
    fleet.submit(&second_ticket());
    fleet.wait_in_force(2);
    fleet
}

/// Adds a limited organisation, keys to withdraw and shorter deadlines, so that
/// callers do not wait for the end of a failure.
fn second_ticket() -> yuccalatch::version::ticket::Ticket {
    let key = |name: &str, organisation: &str, text: &str| {
        json!({"key": {"name": name, "organisation": organisation,
            "digest": digest_of(text.as_bytes())}})
    };
    let mut set = vec![
        json!({"organisation": {"name": "mill", "rate_tokens_per_s": RATE_TOKENS_PER_S,
            "burst_tokens": BURST_TOKENS, "weight": 1}}),
        key("mill-1", "mill", LIMITED_KEY),
        json!({"route": {"name": "orders", "path_prefix": "/orders", "methods": ["POST"],
            "service": "files", "access": "keyed", "idempotent": false, "timeout_ms": 5_000}}),
        json!({"route": {"name": "text", "path_prefix": "/v1/completions",
            "methods": ["POST"], "model": "oak", "service": "draft", "access": "keyed",
            "idempotent": true, "timeout_ms": 10_000}}),
    ];
    for number in 0..2 * PAIRS {
        set.push(key(&format!("spare-{number}"), "acme", &spare_key(number)));
    }
    ticket(2, &json!(set), &json!([]))
}

/// The seed of this run; another one can be tried with `PAIRED_FAILURES_SEED`.
fn seed() -> u64 {
    let given = std::env::var("PAIRED_FAILURES_SEED").ok();
    given.map_or(SEED, |text| text.parse().unwrap())
}

fn bring_about(drill: &mut Drill<'_>, random: &mut ChaCha8Rng) {
    for number in 0..PAIRS {
        let [first, second] = Failure::draw_pair(random, drill.fleet);
        let lag = Duration::from_millis(random.random_range(0..3) * 700);
        println!("pair {number}: {first:?}, {lag:?} later {second:?}");
        drill.begin(first);
        thread::sleep(lag);
        drill.begin(second);
        thread::sleep(HOLD);
        drill.end(first);
        drill.end(second);
        drill.wait_tickets();
        thread::sleep(PAUSE);
    }
}

/// Two failures at once must not break any promise to callers or operators.
#[test]
fn pairs() {
    let mut random = ChaCha8Rng::seed_from_u64(seed());
    println!("seed {}", seed());
    let limited_since = Instant::now();
    let mut fleet = start();
    let addresses: Vec<_> = (0..3).map(|entry| fleet.caller(entry)).collect();
    let callers = Callers::new(&addresses);
    let mut drill = Drill::new(&mut fleet, &callers, 2);
    callers.run_during(|| bring_about(&mut drill, &mut random));
    let limited_for = limited_since.elapsed();
    callers.print_counts();
    check_recovery(&drill);
    check_orders(&drill);
    check_limit(&callers, limited_for);
    check_configuration(&drill);
    for target in &drill.fleet.targets {
        assert_no_key(&target.name, &target.received().to_string());
    }
    let violations = callers.violations.lock().unwrap();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// After the failures every entry has to serve again.
fn check_recovery(drill: &Drill<'_>) {
    let fleet = &drill.fleet;
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry);
        let text = completion("door", 2, false);
        eventually("the entry serves completions", || {
            post(caller, "/v1/completions", ACME_KEY, &text).status == 200
        });
        for key in [None, Some("recovery")] {
            let body = json!({"recovery": entry, "keyed": key}).to_string();
            let key = key.map(|key| format!("{key}-{entry}"));
            let order = order_request(&body, key.as_deref());
            eventually("the entry serves orders", || {
                exchange(caller, &order).status == 200
            });
        }
    }
}

/// What callers were told of an order has to agree with its executions.
fn check_orders(drill: &Drill<'_>) {
    let orders = drill.callers.orders.lock().unwrap();
    let plains = drill.fleet.targets.iter();
    let plains: Vec<_> = plains.filter(|target| target.service == "files").collect();
    let counts: Vec<_> = plains
        .iter()
        .map(|plain| plain.execution_counts())
        .collect();
    for order in &*orders {
        let runs: u64 = counts
            .iter()
            .map(|counts| counts[&order.body].as_u64().unwrap_or(0))
            .sum();
        let (body, told) = (&order.body, &order.told);
        assert!(runs <= 1, "{body} ran {runs} times: {told:#?}");
        assert!(
            runs == 1 || !order.is_served,
            "{body} did not run: {told:#?}"
        );
        assert!(runs == 0 || !order.is_refused, "{body} ran: {told:#?}");
    }
    for has_key in [false, true] {
        let of_kind = || orders.iter().filter(|order| order.has_key == has_key);
        let served = of_kind().filter(|order| order.is_served).count();
        let refused = of_kind().filter(|order| order.is_refused).count();
        println!(
            "orders, keyed {has_key}: {} served {served} not run {refused}",
            of_kind().count()
        );
        assert!(served > 0);
    }
}

/// The organisation may never get more than its rate and burst.
fn check_limit(callers: &Callers, limited_for: Duration) {
    let used = callers
        .limited_tokens
        .load(std::sync::atomic::Ordering::SeqCst);
    let limit = RATE_TOKENS_PER_S as f64 * limited_for.as_secs_f64() + BURST_TOKENS as f64;
    println!("limited organisation: {used} of {limit:.0} tokens");
    assert!(used > 0 && used as f64 <= limit, "{used} of {limit}");
}

/// The accepted configuration has to be in force everywhere, and no process may
/// have gone back to an older one.
fn check_configuration(drill: &Drill<'_>) {
    let fleet = &drill.fleet;
    fleet.wait_in_force(drill.tickets);
    let agents = fleet.targets.iter().map(|target| &target.agent);
    for process in agents.chain(&fleet.entries) {
        assert_revisions_grow(process);
    }
    let text = completion("door", 2, false);
    for entry in 0..fleet.entries.len() {
        for key in &drill.withdrawn {
            let status = post(fleet.caller(entry), "/v1/completions", key, &text).status;
            assert_eq!(status, 401, "withdrawn key at entry {entry}");
        }
        let valid = spare_key(drill.withdrawn.len());
        let status = post(fleet.caller(entry), "/v1/completions", &valid, &text).status;
        assert_eq!(status, 200, "valid key at entry {entry}");
    }
    println!(
        "tickets {}, withdrawn keys {}",
        drill.tickets,
        drill.withdrawn.len()
    );
}
