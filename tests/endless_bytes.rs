//! Tests that a target which sends bytes without end is given up after a bounded
//! number of them, and that the call does not succeed.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::mpsc,
    thread,
    time::Duration, //
};

use bytes::Bytes;
use ntex::http::{
    HeaderMap,
    Method, //
};
use yuccalatch::direct::{
    call::{
        self,
        CallError,
        CallRequest, //
    },
    events::{
        EventSplitter,
        SplitError, //
    },
};

/// Most bytes that a target may get rid of without an answer: what the call reads, and
/// what fits into the socket buffers of both ends.
const MAX_SENT_BYTES: usize = 16 << 20;

/// Starts a target that answers with `start` and repeats `part` until the connection
/// ends, but at most for 64 MB. The receiver gets the number of bytes sent.
fn start_target(start: &'static str, part: &'static str) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sent_bytes, receiver) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
        let block = part.repeat((16 << 10) / part.len() + 1);
        let mut sent = start.len();
        let mut result = stream.write_all(start.as_bytes());
        while result.is_ok() && sent < 64 << 20 {
            sent += block.len();
            result = stream.write_all(block.as_bytes());
        }
        sent_bytes.send(sent).unwrap();
    });
    (address, receiver)
}

/// Calls a target and returns its error; the call must not get an answer.
fn call_target(address: SocketAddr) -> CallError {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let request = CallRequest {
            method: Method::POST,
            path_and_query: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"{}"),
        };
        let sent = call::send(address, request, Duration::from_secs(1)).await;
        sent.expect_err("the call got an answer")
    })
}

fn assert_bounded(start: &'static str, part: &'static str) {
    let (address, sent_bytes) = start_target(start, part);
    let error = call_target(address);
    // The request was sent, so it may have run.
    assert!(matches!(error, CallError::Broken(_)), "{error:?}");
    let sent = sent_bytes.recv_timeout(Duration::from_secs(30)).unwrap();
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes after {start:?}");
}

#[test]
fn interim_answers() {
    assert_bounded("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n");
    assert_bounded("", "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn status_line() {
    assert_bounded("HTTP/1.1 200 O", "K");
    assert_bounded("", "not an answer ");
    assert_bounded("", "\r\n");
}

#[test]
fn header_section() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-long: ", "a");
    assert_bounded("HTTP/1.1 200 OK\r\n", "x-many: a\r\n");
}

/// An answer whose head arrives together with a large body is not taken for one
/// without an answer.
#[test]
fn large_bodies_are_read() {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let (address, _sent_bytes) = start_target(head, "body ");
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let received = system.block_on(async move {
        let request = CallRequest {
            method: Method::GET,
            path_and_query: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let mut answer = call::send(address, request, Duration::from_secs(1))
            .await
            .unwrap();
        let mut received = 0;
        while received < 8 << 20 {
            received += answer.next().await.unwrap().unwrap().len();
        }
        received
    });
    assert!(received >= 8 << 20);
}

#[test]
fn comments_in_a_stream() {
    let mut splitter = EventSplitter::new(None);
    splitter.push(b"id: 0\ndata: a\n\n");
    assert!(splitter.next_batch().unwrap().is_some());
    let comment = ": still here\n\n";
    let failed_after = (0..100_000).find(|_| {
        splitter.push(comment.as_bytes());
        splitter.next_batch().is_err()
    });
    let bytes = failed_after.expect("comments are accepted without end") * comment.len();
    assert!(bytes <= 64 << 10, "{bytes}");
}

/// Comments between events are allowed.
#[test]
fn comments_between_events() {
    let mut splitter = EventSplitter::new(None);
    for id in 0..10_000 {
        let data = format!(": still here\n\nid: {id}\ndata: a\n\n");
        splitter.push(data.as_bytes());
        assert!(splitter.next_batch().unwrap().is_some());
    }
}

#[test]
fn an_event_that_grows_after_a_whole_one() {
    let mut splitter = EventSplitter::new(None);
    let mut data = b"id: 0\ndata: a\n\nid: 1\ndata: ".to_vec();
    data.resize(data.len() + (2 << 20), b'a');
    splitter.push(&data);
    assert!(splitter.next_batch().unwrap().is_some());
    assert_eq!(splitter.next_batch(), Err(SplitError::TooLong));
}
