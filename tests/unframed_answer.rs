//! Guards against truncated answers that pass as complete.
//!
//! An answer without a length ends with its connection. When the connection is
//! reset in the middle, the call has to fail instead of reporting a regular end.

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

use bytes::Bytes;
use ntex::http::{
    HeaderMap,
    Method, //
};
use socket2::SockRef;
use yuccalatch::direct::call::{
    self,
    CallError,
    CallRequest, //
};

/// Starts a target that sends an answer without a length and then, after a pause,
/// resets the connection or closes it regularly.
fn start_target(is_reset: bool, pause: Duration) -> SocketAddr {
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

/// Returns the body and the error that ended it, `None` at a regular end.
fn read_answer(address: SocketAddr) -> (Vec<u8>, Option<CallError>) {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let request = CallRequest {
            method: Method::GET,
            path_and_query: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let connect_timeout = Duration::from_secs(1);
        let mut answer = call::send(address, request, connect_timeout).await.unwrap();
        let mut body = Vec::new();
        loop {
            match answer.next().await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => return (body, None),
                Err(error) => return (body, Some(error)),
            }
        }
    })
}

#[test]
fn a_reset_connection_does_not_pass_as_a_complete_answer() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let (body, error) = read_answer(start_target(false, pause));
        assert_eq!(body, b"half");
        assert_eq!(error, None);
        let (_, error) = read_answer(start_target(true, pause));
        assert!(matches!(error, Some(CallError::Broken(_))), "{error:?}");
    }
}
