//! Answers without a length end with their connection; a reset one is not whole.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener, //
    },
    thread,
    time::Duration, //
};

use futures_util::StreamExt;
use ntex::{
    http::error::PayloadError,
    time::Millis, //
};
use socket2::SockRef;
use yuccalatch::process::client;

/// Starts a target that sends half an answer without a length and then ends the
/// connection, by a reset or regularly.
fn target(is_reset: bool, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf")
            .unwrap();
        thread::sleep(pause);
        if is_reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        } else {
            stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    address
}

/// Returns the body and how it ended.
fn read(address: SocketAddr) -> (Vec<u8>, Option<PayloadError>) {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let client = client::build_direct("test", Millis(1_000)).await.unwrap();
        let request = client.get(client::url(address, "/")).force_close();
        let response = request.send().await.unwrap();
        let mut payload = response.take_payload();
        let mut body = Vec::new();
        loop {
            match payload.next().await {
                Some(Ok(part)) => body.extend_from_slice(&part),
                Some(Err(error)) => return (body, Some(error)),
                None => return (body, None),
            }
        }
    })
}

#[test]
fn a_regular_end_is_told_from_a_reset() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let (body, end) = read(target(false, pause));
        assert_eq!(body, b"half");
        assert!(
            matches!(end, None | Some(PayloadError::Incomplete(None))),
            "{end:?}"
        );
        let (_, end) = read(target(true, pause));
        assert!(
            matches!(end, Some(PayloadError::Incomplete(Some(_)))),
            "{end:?}"
        );
    }
}
