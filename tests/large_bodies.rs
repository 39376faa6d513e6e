//! Guards against bodies that are kept in memory or damaged on their way.

mod support;

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    thread,
    time::Duration, //
};

use support::fleet::{
    ACME_KEY,
    Exchange,
    Fleet,
    Plan,
    Process,
    eventually,
    exchange,
    parse,
    post_request,
    request, //
};
use yuccalatch::standin::plain::large_answer_byte;

const BODY_BYTES: usize = 48 << 20;

/// Far below the body, far above buffers and allocator noise.
const MAX_GROWTH_KB: u64 = 24 << 10;

/// Time for which a caller does not read; enough for the stand-in to send the whole
/// body, and less than the 5 s after which an unread stream is given up.
const UNREAD: Duration = Duration::from_secs(3);

/// More than the head of an attempt, so that bytes of the body are among them.
const MAX_HEAD_BYTES: usize = 8 << 10;

fn start() -> Fleet {
    Fleet::start(&Plan {
        engines: 0,
        plains: 1,
        ..Plan::default()
    })
}

fn peak_kb(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

fn assert_growth(fleet: &Fleet, before: (u64, u64)) {
    let entry = peak_kb(&fleet.entries[0]);
    let agent = peak_kb(&fleet.targets[0].agent);
    assert!(
        entry < before.0 + MAX_GROWTH_KB,
        "entry {} kB",
        entry - before.0
    );
    assert!(
        agent < before.1 + MAX_GROWTH_KB,
        "agent {} kB",
        agent - before.1
    );
}

fn peaks(fleet: &Fleet) -> (u64, u64) {
    let agent = &fleet.targets[0].agent;
    (peak_kb(&fleet.entries[0]), peak_kb(agent))
}

/// A body that is kept would occupy its size in each process.
#[test]
fn upload() {
    let fleet = start();
    let before = peaks(&fleet);
    let body = serde_json::Value::from("x".repeat(BODY_BYTES));
    let answer = exchange(fleet.caller(0), &post_request("/orders", ACME_KEY, &body));
    assert_eq!(
        answer.json()["body_bytes"],
        BODY_BYTES + 2,
        "{}",
        answer.text()
    );
    assert_growth(&fleet, before);
}

/// An answer that is kept would occupy its size in each process. The caller stops
/// reading for a while, so that what it does not take piles up where no bound
/// applies.
#[test]
fn download() {
    let fleet = start();
    let before = peaks(&fleet);
    let path = format!("/files/a?answer_bytes={BODY_BYTES}");
    let mut caller = Exchange::start(fleet.caller(0), &request("GET", &path, &[], ""));
    caller.read_until("\r\n\r\n", 1);
    thread::sleep(UNREAD);
    let answer = caller.finish();
    assert!(answer.is_complete);
    assert_eq!(answer.body.len(), BODY_BYTES);
    let mut bytes = answer.body.iter().enumerate();
    assert!(bytes.all(|(position, byte)| *byte == large_answer_byte(position)));
    assert_growth(&fleet, before);
}

fn start_relayed() -> Fleet {
    Fleet::start(&Plan {
        engines: 0,
        plains: 2,
        relayed: true,
        ..Plan::default()
    })
}

/// No target may have run anything, not even a part of an order.
fn assert_nothing_ran(fleet: &Fleet) {
    for target in &fleet.targets {
        let counts = target.execution_counts();
        assert_eq!(counts, serde_json::json!({}), "{}", target.name);
    }
}

/// A body that was sent in part cannot be sent again, so a retry would run a
/// damaged order. Without an announced length the rest of a body would pass for a
/// whole one.
#[test]
fn no_retry() {
    let fleet = start_relayed();
    for target in &fleet.targets {
        target.relay().freeze();
    }
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-api-key: {ACME_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let part = format!("{:x}\r\n{}\r\n", 150_000, "x".repeat(150_000));
    let mut caller = Exchange::start(fleet.caller(0), format!("{head}{part}").as_bytes());
    eventually("a link holds a part of the order", || {
        let mut targets = fleet.targets.iter();
        targets.any(|target| target.relay().held_bytes() > MAX_HEAD_BYTES)
    });
    for target in &fleet.targets {
        target.relay().cut();
        target.relay().thaw();
    }
    caller.send(format!("{part}0\r\n\r\n").as_bytes());
    let answer = caller.finish();
    assert_eq!(answer.json()["error"]["not_run"], true, "{}", answer.text());
    assert_nothing_ran(&fleet);
}

/// An order whose links break again and again must not run in part.
#[test]
fn upload_cut() {
    let fleet = start_relayed();
    let body = serde_json::Value::from("x".repeat(1 << 20));
    let request = post_request("/orders", ACME_KEY, &body);
    let mut caller = Exchange::start(fleet.caller(0), &request[..300_000]);
    let answer = thread::spawn(move || {
        caller.read_until("\r\n\r\n", 1);
        caller.finish()
    });
    while !answer.is_finished() {
        for target in &fleet.targets {
            target.relay().cut();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let answer = answer.join().unwrap();
    assert!(answer.status >= 500, "{}", answer.text());
    assert_nothing_ran(&fleet);
}

/// A connection that is closed before the body has arrived breaks the sending of
/// it, and a caller that has not read by then loses the answer.
#[test]
fn refusal_arrives() {
    let fleet = start();
    let body = serde_json::Value::from("x".repeat(1 << 20));
    let request = post_request("/orders", "sk-wrong", &body);
    let mut caller = TcpStream::connect(fleet.caller(0)).unwrap();
    for part in request.chunks(128 << 10) {
        caller.write_all(part).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
    let mut raw = Vec::new();
    caller.read_to_end(&mut raw).unwrap();
    let answer = parse(&raw);
    assert_eq!(answer.status, 401, "{}", answer.text());
    assert!(answer.is_complete);
}
