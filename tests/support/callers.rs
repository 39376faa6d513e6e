//! Callers that load a fleet while failures happen and check every answer.

use std::{
    collections::BTreeMap,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};

use super::{
    failures::spare_key,
    fleet::{
        ACME_KEY,
        Answer,
        completion,
        parse,
        post_request,
        reference,
        request,
        ticket, //
    },
};
use yuccalatch::version::{
    keys::digest_of,
    ticket::Ticket, //
};

/// Tokens of a generation; about a second at the rate of the engines in these
/// tests, so that failures meet running streams.
const TOKENS: u64 = 40;

/// Time after the first attempt of a keyed order in which its caller repeats it.
/// Half of the idempotency window of the tests, because a frozen process may hold
/// the last repetition for a while.
const REPEAT_WITHIN: Duration = Duration::from_secs(5);

/// Idempotency window, twice the time in which callers repeat a keyed order.
pub(crate) const WINDOW_MS: u64 = 10_000;

/// Rate of the limited organisation, less than its callers ask for.
const RATE_TOKENS_PER_S: u64 = 600;

const BURST_TOKENS: u64 = 2_000;

/// Repetitions of an order that was refused as not run.
const MAX_REPEATS: usize = 6;

const PAUSE: Duration = Duration::from_millis(30);

/// Three for streams, one for whole answers, six for orders without and six with
/// a key. Three ask for more than the limited organisation may have.
const CALLERS: usize = 19;

/// Prompt and output of one request of the limited organisation.
const LIMITED_COST_TOKENS: u64 = 410;

/// Key of the limited organisation.
pub(crate) const LIMITED_KEY: &str = "sk-mill-55aa55aa55aa55aa";

/// Longer than the deadline of any request in these tests.
const READ_WITHIN: Duration = Duration::from_secs(60);

/// Caller address of the entry in one slot.
pub(crate) struct Door {
    address: Mutex<SocketAddr>,
    /// Ends and starts of the process in the slot; odd while none runs.
    changes: AtomicU64,
}

impl Door {
    /// Notes that the process of the slot is about to end.
    pub(crate) fn close(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that a new process serves the slot.
    pub(crate) fn open(&self, address: SocketAddr) {
        *self.address.lock().unwrap() = address;
        self.changes.fetch_add(1, Ordering::SeqCst);
    }
}

/// What the caller of one order was told.
struct Order {
    body: String,
    has_key: bool,
    /// Whether an answer contained the result of an execution.
    is_served: bool,
    /// Whether every answer said that the order did not run.
    is_refused: bool,
    told: Vec<String>,
}

/// Background load with everything that its callers saw.
pub(crate) struct Callers {
    pub(crate) doors: Vec<Door>,
    is_over: AtomicBool,
    /// Answers that no failure excuses.
    pub(crate) violations: Mutex<Vec<String>>,
    orders: Mutex<Vec<Order>>,
    limited_tokens: AtomicU64,
    counts: Mutex<BTreeMap<String, u64>>,
}

/// One answer, and whether its entry ended or was down meanwhile.
struct Seen {
    answer: Answer,
    may_break: bool,
}

impl Callers {
    pub(crate) fn new(addresses: &[SocketAddr]) -> Self {
        let door = |address: &SocketAddr| Door {
            address: Mutex::new(*address),
            changes: AtomicU64::new(0),
        };
        Self {
            doors: addresses.iter().map(door).collect(),
            is_over: AtomicBool::new(false),
            violations: Mutex::default(),
            orders: Mutex::default(),
            limited_tokens: AtomicU64::new(0),
            counts: Mutex::default(),
        }
    }

    /// Runs the callers while `work` is done and waits for their last answers.
    pub(crate) fn run_during<T>(&self, work: impl FnOnce() -> T) -> T {
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                scope.spawn(move || self.repeat(caller));
            }
            // Set on a panic as well, which would wait for the callers otherwise.
            let _stop = Stop(&self.is_over);
            work()
        })
    }

    /// Prints how many answers of each sort there were.
    pub(crate) fn print_counts(&self) {
        for (sort, count) in &*self.counts.lock().unwrap() {
            println!("  {sort}: {count}");
        }
    }

    pub(crate) fn count_of(&self, sort: &str) -> u64 {
        *self.counts.lock().unwrap().get(sort).unwrap_or(&0)
    }

    /// What callers were told of an order has to agree with its executions, which
    /// are given by service and body.
    pub(crate) fn check_orders(&self, counts: &[Value]) {
        let orders = self.orders.lock().unwrap();
        for order in &*orders {
            let each = counts.iter().map(|counts| &counts[&order.body]);
            let runs: u64 = each.map(|count| count.as_u64().unwrap_or(0)).sum();
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
            let all = of_kind().count();
            println!("orders, keyed {has_key}: {all} served {served} not run {refused}");
            assert!(served > 0);
        }
    }

    /// The limited organisation may never get more than its rate and burst.
    pub(crate) fn check_limit(&self, limited_for: Duration) {
        let used = self.limited_tokens.load(Ordering::SeqCst);
        let limit = RATE_TOKENS_PER_S as f64 * limited_for.as_secs_f64() + BURST_TOKENS as f64;
        println!("limited organisation: {used} of {limit:.0} tokens");
        assert!(used > 0 && used as f64 <= limit, "{used} of {limit}");
    }

    fn repeat(&self, caller: usize) {
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let name = format!("{caller}-{number}");
            let door = (caller + number) % self.doors.len();
            match caller {
                0..3 => self.stream(door, &name),
                3 => self.whole(door, &name),
                4..10 => self.order(door, &name),
                10..16 => self.keyed_order(door, &name),
                _ => self.limited(door, &name),
            }
            number += 1;
            thread::sleep(PAUSE);
        }
    }

    fn call(&self, door: usize, request: &[u8]) -> Seen {
        let door = &self.doors[door % self.doors.len()];
        let before = door.changes.load(Ordering::SeqCst);
        let address = *door.address.lock().unwrap();
        let answer = parse(&exchange_if_open(address, request));
        let after = door.changes.load(Ordering::SeqCst);
        Seen {
            answer,
            may_break: before != after || before % 2 == 1,
        }
    }

    fn count(&self, sort: &str) {
        let mut counts = self.counts.lock().unwrap();
        *counts.entry(sort.to_owned()).or_default() += 1;
    }

    fn violate(&self, what: &str, request: &str, answer: &Answer) {
        let text = format!("{what}: {request}: {} {}", answer.status, answer.text());
        println!("violation: {text}");
        self.violations.lock().unwrap().push(text);
    }

    fn stream(&self, door: usize, name: &str) {
        let prompt = format!("offer {name} for oak doors");
        let body = completion(&prompt, TOKENS, true);
        let seen = self.call(door, &post_request("/v1/completions", ACME_KEY, &body));
        self.check_stream("stream", &prompt, TOKENS, &seen);
    }

    fn check_stream(&self, what: &str, prompt: &str, tokens: u64, seen: &Seen) -> bool {
        let answer = &seen.answer;
        if answer.status != 200 {
            self.check_refusal(what, prompt, seen);
            return false;
        }
        let expected = reference("v1", prompt, tokens);
        let text = answer.streamed_text();
        let events = answer.text();
        let last = events.trim_end().rsplit("\n\n").next().unwrap_or_default();
        if !expected.starts_with(&text) {
            self.violate("text differs from the reference", prompt, answer);
        } else if !answer.is_complete {
            self.count(&format!("{what} broken with its entry"));
            if !seen.may_break {
                self.violate("ended in silence", prompt, answer);
            }
        } else if last.starts_with("event: error\n") {
            self.count(&format!("{what} ended in an error event"));
            if !last.contains("\"not_run\":false") {
                self.violate("error event is not truthful", prompt, answer);
            }
        } else if text != expected || !events.ends_with("data: [DONE]\n\n") {
            self.violate("incomplete without an error event", prompt, answer);
        } else {
            self.count(&format!("{what} complete"));
            return true;
        }
        false
    }

    fn whole(&self, door: usize, name: &str) {
        let prompt = format!("report {name} on fire doors");
        let body = completion(&prompt, TOKENS, false);
        let seen = self.call(door, &post_request("/v1/completions", ACME_KEY, &body));
        if seen.answer.status != 200 {
            self.check_refusal("whole answer", &prompt, &seen);
        } else if !seen.answer.is_complete {
            self.count("whole answer broken with its entry");
            if !seen.may_break {
                self.violate("cut off", &prompt, &seen.answer);
            }
        } else {
            self.count("whole answer complete");
            let text = &seen.answer.json()["choices"][0]["text"];
            if *text != reference("v1", &prompt, TOKENS).as_str() {
                self.violate("text differs from the reference", &prompt, &seen.answer);
            }
        }
    }

    fn limited(&self, door: usize, name: &str) {
        let prompt = format!("{name:x<1600}");
        let body = completion(&prompt, 10, true);
        let request = post_request("/v1/completions", LIMITED_KEY, &body);
        let seen = self.call(door, &request);
        if self.check_stream("limited stream", &prompt, 10, &seen) {
            let tokens = &self.limited_tokens;
            tokens.fetch_add(LIMITED_COST_TOKENS, Ordering::SeqCst);
        }
    }

    /// Checks an answer that is not a success and returns whether it says that
    /// the request did not run.
    fn check_refusal(&self, what: &str, request: &str, seen: &Seen) -> bool {
        let answer = &seen.answer;
        if answer.status == 0 {
            self.count(&format!("{what} without an answer"));
            if !seen.may_break {
                self.violate("no answer", request, answer);
            }
            return false;
        }
        let error = serde_json::from_slice::<Value>(&answer.body);
        let error = error.unwrap_or_default()["error"].clone();
        let kind = error["kind"].as_str().unwrap_or("no kind");
        self.count(&format!("{what} refused: {} {kind}", answer.status));
        if kind == "no kind" && !seen.may_break {
            self.violate("not an error of this system", request, answer);
        }
        // Nothing is wrong with any request of these callers.
        if answer.status < 500 && answer.status != 429 {
            self.violate("wrongly refused", request, answer);
        }
        error["not_run"] == true
    }

    fn order(&self, door: usize, name: &str) {
        self.place_order(door, name, None);
    }

    fn keyed_order(&self, door: usize, name: &str) {
        self.place_order(door, name, Some(name));
    }

    /// Places an order once. It is repeated through another entry after a refusal
    /// as not run; with a key also after an unknown outcome.
    fn place_order(&self, door: usize, name: &str, key: Option<&str>) {
        let body = json!({"order": name}).to_string();
        let bytes = order_request(&body, key);
        let what = if key.is_some() {
            "keyed order"
        } else {
            "order"
        };
        let started = Instant::now();
        let mut order = Order {
            body,
            has_key: key.is_some(),
            is_served: false,
            is_refused: true,
            told: Vec::new(),
        };
        for attempt in 0..MAX_REPEATS {
            let seen = self.call(door + attempt, &bytes);
            let answer = &seen.answer;
            order
                .told
                .push(format!("{} {}", answer.status, answer.text()));
            if answer.status == 200 {
                self.check_order(what, &order.body, &seen);
                order.is_served = true;
                order.is_refused = false;
                break;
            }
            let is_not_run = self.check_refusal(what, &order.body, &seen);
            order.is_refused &= is_not_run;
            let may_repeat = is_not_run || key.is_some();
            if !may_repeat || started.elapsed() > REPEAT_WITHIN {
                break;
            }
            thread::sleep(PAUSE * 5);
        }
        self.orders.lock().unwrap().push(order);
    }

    fn check_order(&self, what: &str, body: &str, seen: &Seen) {
        self.count(&format!("{what} answered"));
        if !seen.answer.is_complete {
            if !seen.may_break {
                self.violate("cut off", body, &seen.answer);
            }
            return;
        }
        let answer = seen.answer.json();
        if answer["body_bytes"] != body.len() || answer["execution"] != 1 {
            self.violate("not the answer to this order", body, &seen.answer);
        }
    }
}

/// Adds a limited organisation, keys to withdraw and shorter deadlines, so that
/// callers do not wait for the end of a failure.
pub(crate) fn second_ticket(spare_keys: usize) -> Ticket {
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
    for number in 0..spare_keys {
        set.push(key(&format!("spare-{number}"), "acme", &spare_key(number)));
    }
    ticket(2, &json!(set), &json!([]))
}

struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Formats an order, with an idempotency key if one is given.
pub(crate) fn order_request(body: &str, key: Option<&str>) -> Vec<u8> {
    let authorization = format!("Bearer {ACME_KEY}");
    let mut headers = vec![("authorization", authorization.as_str())];
    if let Some(key) = key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/orders", &headers, body)
}

/// Sends raw bytes and returns what arrives; nothing when nobody listens.
fn exchange_if_open(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut raw = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(READ_WITHIN)).unwrap();
        if stream.write_all(request).is_ok() {
            let _ = stream.read_to_end(&mut raw);
        }
    }
    raw
}
