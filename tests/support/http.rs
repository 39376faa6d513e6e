//! HTTP calls of callers, byte by byte.

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

use serde_json::{
    Value,
    json, //
};

use super::process::PATIENCE;

/// Answer of a server.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body had its proper end.
    pub(crate) is_complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Text that a stream of completion events carries.
    pub(crate) fn streamed_text(&self) -> String {
        let text = self.text();
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        events
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| {
                let choice = &event["choices"][0];
                let part = choice["delta"]["content"]
                    .as_str()
                    .or(choice["text"].as_str());
                part.map(str::to_owned)
            })
            .collect()
    }
}

/// Sends raw bytes and reads until the server closes the connection.
pub(crate) fn exchange(address: SocketAddr, request: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(request).unwrap();
    let mut raw = Vec::new();
    let _ = stream.read_to_end(&mut raw);
    parse(&raw)
}

/// A request whose answer is read in parts.
pub(crate) struct Exchange {
    stream: TcpStream,
    raw: Vec<u8>,
}

impl Exchange {
    pub(crate) fn start(address: SocketAddr, request: &[u8]) -> Self {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(request).unwrap();
        Self {
            stream,
            raw: Vec::new(),
        }
    }

    /// Reads until a text occurs this many times.
    pub(crate) fn read_until(&mut self, text: &str, count: usize) {
        let mut buffer = [0; 4096];
        while String::from_utf8_lossy(&self.raw).matches(text).count() < count {
            let length = self.stream.read(&mut buffer).unwrap();
            assert!(length > 0, "ended: {}", String::from_utf8_lossy(&self.raw));
            self.raw.extend_from_slice(&buffer[..length]);
        }
    }

    /// Sends more bytes.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads to the end of the connection.
    pub(crate) fn finish(mut self) -> Answer {
        let _ = self.stream.read_to_end(&mut self.raw);
        parse(&self.raw)
    }
}

/// Parses an answer that was read to the end of the connection.
pub(crate) fn parse(raw: &[u8]) -> Answer {
    let split = raw.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(split) = split else {
        return Answer {
            status: 0,
            headers: Vec::new(),
            body: raw.to_vec(),
            is_complete: false,
        };
    };
    let head = String::from_utf8_lossy(&raw[..split]).into_owned();
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let rest = &raw[split + 4..];
    let is_chunked = headers
        .iter()
        .any(|(name, value)| name == "transfer-encoding" && value.contains("chunked"));
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .and_then(|(_, value)| value.parse::<usize>().ok());
    let (body, is_complete) = if is_chunked {
        join_chunks(rest)
    } else {
        (
            rest.to_vec(),
            length.is_none_or(|length| rest.len() == length),
        )
    };
    Answer {
        status: status.and_then(|status| status.parse().ok()).unwrap_or(0),
        headers,
        body,
        is_complete,
    }
}

fn join_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let line = String::from_utf8_lossy(&rest[..end]);
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if length == 0 {
            return (body, true);
        }
        if rest.len() < length + 2 {
            body.extend_from_slice(rest);
            return (body, false);
        }
        body.extend_from_slice(&rest[..length]);
        rest = &rest[length + 2..];
    }
}

/// Formats a request that closes its connection.
pub(crate) fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Answer {
    exchange(address, &request("GET", path, &[], ""))
}

pub(crate) fn put(address: SocketAddr, path: &str, body: &Value) -> Answer {
    let headers = [("content-type", "application/json")];
    exchange(address, &request("PUT", path, &headers, &body.to_string()))
}

/// Formats a POST of a JSON body with a key.
pub(crate) fn post_request(path: &str, key: &str, body: &Value) -> Vec<u8> {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    request("POST", path, &headers, &body.to_string())
}

/// Posts a JSON body with a key.
pub(crate) fn post(address: SocketAddr, path: &str, key: &str, body: &Value) -> Answer {
    exchange(address, &post_request(path, key, body))
}

/// Body of a text completion.
pub(crate) fn completion(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({"model": "oak", "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
}

/// Text that an uninterrupted generation yields.
pub(crate) fn reference(version: &str, prompt: &str, tokens: u64) -> String {
    let mut text = prompt.to_owned();
    for _ in 0..tokens {
        let token = yuccalatch::standin::engine::next_token(version, &text);
        text.push_str(&token);
    }
    text[prompt.len()..].to_owned()
}
