//! Guards against input that crashes or hangs an entry, occupies memory without
//! bound or is not answered with its error kind.

mod support;

use quickcheck::{
    Arbitrary,
    Gen, //
};
use support::fleet::{
    ACME_KEY,
    Answer,
    Exchange,
    Fleet,
    Plan,
    completion,
    exchange,
    parse,
    post,
    post_request,
    request, //
};

fn start() -> Fleet {
    Fleet::start(&Plan {
        plains: 1,
        entry: serde_json::json!({"body_timeout_ms": 300, "body_limit_bytes": 65_536}),
        ..Plan::default()
    })
}

/// Checks that the entry still answers a valid request.
fn assert_serves(fleet: &Fleet) {
    let body = completion("still there", 2, false);
    let answer = post(fleet.caller(0), "/v1/completions", ACME_KEY, &body);
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn send(fleet: &Fleet, body: &str) -> (u16, serde_json::Value) {
    let authorization = format!("Bearer {ACME_KEY}");
    let headers = [("authorization", authorization.as_str())];
    let request = request("POST", "/v1/completions", &headers, body);
    let answer = exchange(fleet.caller(0), &request);
    (answer.status, answer.json()["error"]["kind"].clone())
}

/// Guards against malformed or oversized bodies that are accepted, or refused with
/// another error kind.
#[test]
fn bad_bodies() {
    let fleet = start();
    let deep = format!("{{\"model\":{}", "[".repeat(20_000));
    for body in ["", "{", "[]", "null", "{\"model\":1}", "\u{0}", &deep] {
        assert_eq!(
            send(&fleet, body),
            (400, "bad_request".into()),
            "{body:.40}"
        );
    }
    let long = format!(
        "{{\"model\":\"oak\",\"prompt\":\"{}\"}}",
        "x".repeat(70_000)
    );
    assert_eq!(send(&fleet, &long), (413, "body_too_large".into()));

    let text = b"POST /v1/completions HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
        x-api-key: sk-acme-0123456789abcdef\r\ncontent-length: 29\r\n\r\n\
        {\"model\":\"oak\",\"prompt\":\"\xff\xfe\"}";
    let answer = exchange(fleet.caller(0), text);
    assert_eq!(answer.status, 400, "{}", answer.text());
    assert_serves(&fleet);
}

/// Guards against a chunked body that exceeds the limit. It announces no length, so
/// its bytes must be counted as they arrive.
#[test]
fn chunked_body_above_limit() {
    let fleet = start();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: t\r\nx-api-key: {ACME_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    for _ in 0..80 {
        bytes.extend_from_slice(b"400\r\n");
        bytes.extend_from_slice(&[b'x'; 1024]);
        bytes.extend_from_slice(b"\r\n");
    }
    let answer = Exchange::start(fleet.caller(0), &bytes).finish();
    assert_eq!(answer.json()["error"]["kind"], "body_too_large");
    assert_eq!(answer.header("connection"), Some("close"));
    assert_serves(&fleet);
}

/// Guards against a body that never ends and occupies its connection forever.
#[test]
fn unfinished_body() {
    let fleet = start();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: t\r\nx-api-key: {ACME_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let answer = Exchange::start(fleet.caller(0), text.as_bytes()).finish();
    assert_eq!(answer.status, 408);
    assert_eq!(answer.json()["error"]["kind"], "body_timeout");
    assert_serves(&fleet);
}

/// Guards against headers that never end and occupy their connection and memory
/// forever, and against headers with two different body lengths.
#[test]
fn bad_headers() {
    let fleet = start();
    let slow = Exchange::start(fleet.caller(0), b"GET /files HTTP/1.1\r\nhost: ");
    let large = format!(
        "GET /files HTTP/1.1\r\nhost: t\r\nx-a: {}",
        "x".repeat(200_000)
    );
    let answer = Exchange::start(fleet.caller(0), large.as_bytes()).finish();
    assert_parser_refusal(&answer, 431, "headers_too_large", true);
    let many = format!("GET /files HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(10_000));
    let answer = exchange(fleet.caller(0), many.as_bytes());
    assert_parser_refusal(&answer, 431, "headers_too_large", true);
    let smuggled = "POST /orders HTTP/1.1\r\nhost: t\r\ncontent-length: 2\r\n\
        content-length: 3\r\nconnection: close\r\n\r\n{}x";
    let answer = exchange(fleet.caller(0), smuggled.as_bytes());
    assert_parser_refusal(&answer, 400, "bad_request", true);
    assert_parser_refusal(&slow.finish(), 408, "headers_timeout", true);
    assert_serves(&fleet);
}

/// Guards against a body with a malformed chunk that is answered with "not run",
/// although its first part may have been forwarded.
#[test]
fn malformed_chunk_reported_not_run() {
    let fleet = start();
    let text = format!(
        "POST /orders HTTP/1.1\r\nhost: t\r\nx-api-key: {ACME_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\nnonsense\r\n"
    );
    let answer = Exchange::start(fleet.caller(0), text.as_bytes()).finish();
    assert_parser_refusal(&answer, 400, "body_malformed", false);
    assert_serves(&fleet);
}

/// Checks the answer to a request that the HTTP parser refused.
fn assert_parser_refusal(answer: &Answer, status: u16, kind: &str, not_run: bool) {
    assert_eq!(answer.status, status);
    let error = &answer.json()["error"];
    assert_eq!(error["kind"], kind);
    assert_eq!(error["not_run"], not_run);
    assert_eq!(answer.header("x-request-id"), error["request_id"].as_str());
    assert_eq!(answer.header("connection"), Some("close"));
}

/// Guards against request smuggling: the entry refuses a request before it has read
/// the body, and then parses the body as the next request.
#[test]
fn refused_body_parsed_as_request() {
    let fleet = start();
    let inner = "GET /files/smuggled HTTP/1.1\r\nhost: t\r\n\r\n";
    let text = format!(
        "POST /orders HTTP/1.1\r\nhost: t\r\nx-api-key: sk-wrong\r\ncontent-length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let mut exchange = Exchange::start(fleet.caller(0), text.as_bytes());
    exchange.read_until("unknown_key", 2);
    exchange.send(b"GET /files/next HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n");
    let text = exchange.finish().text();
    assert!(text.contains("\"path\":\"/files/next\""), "{text}");
    assert!(!text.contains("smuggled"), "{text}");
    let received = fleet.targets[1].received().to_string();
    assert!(!received.contains("smuggled"), "{received}");
}

/// Guards against answers to pipelined requests that are incomplete or out of order.
#[test]
fn pipelined_answers_out_of_order() {
    let fleet = start();
    let mut bytes = Vec::new();
    for number in 0..5 {
        let text = format!("GET /files/{number} HTTP/1.1\r\nhost: t\r\n\r\n");
        bytes.extend_from_slice(text.as_bytes());
    }
    let mut exchange = Exchange::start(fleet.caller(0), &bytes);
    exchange.read_until("\"path\":\"/files/4\"", 1);
    exchange.send(b"GET /files/last HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n");
    let text = exchange.finish().text();
    let positions: Vec<Option<usize>> = ["1", "2", "3", "4", "last"]
        .iter()
        .map(|name| text.find(&format!("\"path\":\"/files/{name}\"")))
        .collect();
    assert!(positions.is_sorted() && positions[0].is_some(), "{text}");
}

/// Guards against randomly corrupted requests that crash the entry or get an invalid
/// answer.
#[test]
fn corrupted_requests() {
    let fleet = start();
    let mut random = Gen::from_size_and_seed(64, 7);
    let body = completion("p", 1, false);
    for _ in 0..300 {
        let mut bytes = post_request("/v1/completions", ACME_KEY, &body);
        for _ in 0..1 + usize::arbitrary(&mut random) % 4 {
            let at = usize::arbitrary(&mut random) % bytes.len();
            match u8::arbitrary(&mut random) % 3 {
                0 => bytes[at] = u8::arbitrary(&mut random),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, u8::arbitrary(&mut random)),
            }
        }
        let mut caller = std::net::TcpStream::connect(fleet.caller(0)).unwrap();
        std::io::Write::write_all(&mut caller, &bytes).unwrap();
        caller.shutdown(std::net::Shutdown::Write).unwrap();
        let mut raw = Vec::new();
        // The entry may close the connection before it has read everything.
        let _ = std::io::Read::read_to_end(&mut caller, &mut raw);
        let answer = parse(&raw);
        assert!(raw.is_empty() || (200..600).contains(&answer.status));
    }
    assert_serves(&fleet);
}
