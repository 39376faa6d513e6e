//! HTTP/1.1 messages over plain sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        fields.find(|(each, _)| each == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    match reader.read_until(b'\n', &mut line) {
        Ok(1..) if line.ends_with(b"\n") => {
            Some(String::from_utf8_lossy(&line).trim_end().to_owned())
        }
        _ => None,
    }
}

/// Reads the head of a message; `None` when the connection ends before it is complete.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message {
        line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(field);
    }
}

/// Reads a message. An answer without a length or chunks has no body here unless
/// `to_end` is set; then its body ends with the connection.
pub fn read_message(reader: &mut impl BufRead, to_end: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    if let Some(length) = message.header("content-length") {
        let length = length.parse().ok()?;
        let mut left = reader.take(length);
        let read = left.read_to_end(&mut message.body);
        message.is_whole = read.is_ok() && message.body.len() as u64 == length;
    } else if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(reader, &mut message.body);
    } else if to_end {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Some(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(line) = read_line(reader) else {
            return false;
        };
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return false;
        };
        if size == 0 {
            return read_line(reader).is_some_and(|line| line.is_empty());
        }
        let mut chunk = Vec::new();
        let read = reader.take(size as u64).read_to_end(&mut chunk);
        body.extend_from_slice(&chunk);
        if read.is_err() || chunk.len() != size || read_line(reader).is_none() {
            return false;
        }
    }
}

/// A request with its connection, on which the handler writes the answer.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
}

impl Exchange {
    pub fn answer(&mut self, status: &str, fields: &[(&str, String)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("content-length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Serves a listener; each connection has a thread. A handler returns whether the
/// connection carries a further request.
pub fn serve(listener: TcpListener, handle: impl Fn(Exchange) -> bool + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Some(request) = read_message(&mut reader, false) {
                    if !request.is_whole {
                        return;
                    }
                    let Ok(stream) = stream.try_clone() else { return };
                    if !handle(Exchange { request, stream }) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn connect(address: SocketAddr, timeout_ms: u64) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)));
    Some(stream)
}

/// Sends a request on a new connection and reads the answer, `None` without one.
pub fn call(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Option<Message> {
    let mut stream = connect(address, timeout_ms)?;
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream), true)
}

pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    call(address, text.as_bytes(), 1_000).map_or(0, |answer| answer.status())
}
