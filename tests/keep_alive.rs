//! Guards against servers that close a connection after a long answer, which
//! makes the outcome of the next request on it uncertain.

mod support;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
};

use serde_json::json;
use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion, //
};

/// Last chunk of a chunked body, with the line end of the chunk before it. A
/// header block may end in `0\r\n\r\n` as well, when its last value does.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Sends two requests on one connection and returns the end of each answer.
fn two_answers(address: SocketAddr) -> Vec<String> {
    let body = completion("spec sheet", 25, true).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {ACME_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).unwrap();
    let mut ends = Vec::new();
    for _ in 0..2 {
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = Vec::new();
        let mut part = [0; 4096];
        while !answer.ends_with(LAST_CHUNK) {
            match stream.read(&mut part) {
                Ok(length) if length > 0 => answer.extend_from_slice(&part[..length]),
                _ => break,
            }
        }
        let text = String::from_utf8_lossy(&answer).into_owned();
        ends.push(text.lines().rev().take(5).collect());
    }
    ends
}

#[test]
fn connection_serves_again_after_a_long_answer() {
    // 25 tokens at 10 tokens/s take longer than the 1 s that the server allows
    // by default for reading headers.
    let engine = json!({"decode_tokens_per_s": 10, "prefill_tokens_per_s": 100_000});
    let fleet = Fleet::start(&Plan {
        engine,
        ..Plan::default()
    });
    for address in [fleet.targets[0].standin.address("address"), fleet.caller(0)] {
        for end in two_answers(address) {
            assert!(end.contains("[DONE]"), "{address}: {end:?}");
        }
    }
}
