//! Callers of the system.

use std::{
    io::{BufReader, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

pub const KEY: &str = "wu3fexd9dnn2ctnfzs98";
pub const HOST: &str = "jepu9.example";

/// Configuration of a small deployment: a streaming route that may be resumed, one that
/// may not, and two plain ones.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, goal_ms: u64, attempts: u64, can_resume: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"service\":\"{service}\",\"timeout-ms\":{timeout_ms},\"goal-ms\":{goal_ms},\
             \"gap-aim-ms\":250,\"attempts\":{attempts},\"priority\":1,\"public\":false,\
             \"sticky\":{},\"can-resume\":{can_resume}}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("verdict", "streaming", "redactor", 5_000, 600, 2, true),
        route("note", "streaming", "redactor", 15_000, 400, 1, false),
        route("cert", "non_idempotent", "expediente", 2_000, 300, 1, false),
        route("lookup", "idempotent", "expediente", 2_000, 300, 2, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"redactor\",\"health-path\":\"/health\",\"max-conns\":480,\
           \"engine\":{{\"capacity\":96,\"kv-capacity\":115023}}}},\
         {{\"name\":\"expediente\",\"health-path\":\"/health\",\"max-conns\":96}}],\
         \"limits\":{{\"max-header-bytes\":32768,\"max-body-bytes\":4194304,\
           \"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"sese880\",\"api-keys\":[\"{KEY}\"],\"unit\":\"tokens\",\
           \"uncached-tokens\":100,\"isolated\":false,\"rate-per-s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// Entry of a server in the store.
pub fn server_entry(service: &str, address: SocketAddr, slots: u32, state: &str, born_ms: u64) -> String {
    let models = match service {
        "redactor" => "[{\"name\":\"oak\",\"version\":1,\"adapters\":[]}]",
        _ => "[]",
    };
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"a\",\"version\":\"r1\",\
         \"capacity\":{slots},\"state\":\"{state}\",\"cold-left-ms\":0,\"sequence\":0,\
         \"born\":{born_ms},\"phase\":\"hybrid\",\"models\":{models}}}"
    )
}

/// A request of a caller, without its connection fields.
pub fn request(id: &str, method: &str, path: &str, deadline_ms: u64, fields: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nYuccalatch-Attempt-Id: {id}\r\n\
         Yuccalatch-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{fields}\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Fields of a prompt of the given parts (`ID:TOKENS`).
pub fn prompt_fields(parts: &str, output_tokens: u64) -> String {
    let tokens: u64 = parts
        .split(',')
        .filter_map(|part| part.split_once(':')?.1.parse::<u64>().ok())
        .sum();
    format!(
        "Yuccalatch-Model: oak\r\nYuccalatch-Token-Usage: {tokens},{output_tokens}\r\n\
         Yuccalatch-Prefix-Hash: {parts}\r\n"
    )
}

/// What a caller received.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub status: u16,
    pub is_whole: bool,
    pub body: String,
    pub headers: Vec<(String, String)>,
    pub took_ms: u64,
}

pub fn send(front: SocketAddr, bytes: &[u8], deadline_ms: u64) -> Outcome {
    let started = Instant::now();
    let answer = http::connect(front, deadline_ms + 500).and_then(|mut stream| {
        stream.write_all(bytes).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 500)));
        http::read_message(&mut BufReader::new(stream), true)
    });
    let answer = answer.unwrap_or_default();
    Outcome {
        status: Message::status(&answer),
        is_whole: answer.is_whole,
        body: answer.text(),
        headers: answer.headers,
        took_ms: started.elapsed().as_millis() as u64,
    }
}
