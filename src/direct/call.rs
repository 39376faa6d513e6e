//! HTTP calls to targets, each on its own connection.
//!
//! Connections are never reused: one that was closed, is silent or carries late
//! bytes would leave the outcome of the next call uncertain. The calls use hyper,
//! because the client of ntex loses the end of answers without a length.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use ntex::http::{
    HeaderMap,
    Method,
    StatusCode, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::timeout,
};

/// Most bytes that are read before the head of the final answer is complete. Interim
/// answers (1xx) count, as a target may send them without end. Also the size of the buffer
/// for reading, which would otherwise grow to 400 KiB for each long answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request to a target.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// HTTP method, passed on as the caller sent it.
    pub method: Method,
    /// Path and query, as the request line carries them.
    pub path_and_query: String,
    /// Header fields, without those that state the length or encoding of the body.
    pub headers: HeaderMap,
    /// Whole body, sent with its length.
    pub body: Bytes,
}

/// Why a call gave no answer, or an incomplete one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No byte of the request was written to the connection, so it has not run.
    Unsent(String),
    /// The connection broke; the request may have run.
    Broken(String),
}

/// Answer whose body has not been read yet. Dropping it closes the connection.
#[derive(Debug)]
pub struct CallAnswer {
    /// Status that the target sent.
    pub status: StatusCode,
    /// Header fields that the target sent, unfiltered.
    pub headers: HeaderMap,
    body: Incoming,
    _connection: Connection,
}

impl CallAnswer {
    /// Returns whether the answer states its end, by a length or in chunks. Otherwise a
    /// connection that is lost looks like its end.
    pub fn states_end(&self) -> bool {
        let mut fields = ["content-length", "transfer-encoding"].into_iter();
        fields.any(|name| self.headers.contains_key(name))
    }

    /// Returns the next part of the body, or `None` at its regular end.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] when the connection ends before the body, or
    /// is reset.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(CallError::Broken(error.to_string())),
            }
        }
    }
}

/// Task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request and waits for the head of the answer. Must be called on the
/// local task set of an ntex system.
///
/// # Errors
///
/// Returns [`CallError`] when no answer arrives, or more than 64 KiB without one. Only
/// opening the connection has a time limit.
///
/// ```
/// use std::{io::{Read, Write}, net::TcpListener, thread, time::Duration};
/// use yuccalatch::direct::call::{send, CallRequest};
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = listener.local_addr().unwrap();
/// thread::spawn(move || {
///     let (mut stream, _) = listener.accept().unwrap();
///     stream.read(&mut [0; 1_024]).unwrap();
///     stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhello").unwrap();
/// });
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async move {
///     let request = CallRequest {
///         method: ntex::http::Method::GET,
///         path_and_query: "/".to_owned(),
///         headers: ntex::http::HeaderMap::new(),
///         body: bytes::Bytes::new(),
///     };
///     let mut answer = send(address, request, Duration::from_secs(1)).await.unwrap();
///     assert_eq!(answer.next().await.unwrap().unwrap(), "hello");
///     assert_eq!(answer.next().await, Ok(None));
/// });
/// ```
pub async fn send(
    address: SocketAddr,
    request: CallRequest,
    connect_timeout: Duration,
) -> Result<CallAnswer, CallError> {
    let unsent = |error: io::Error| CallError::Unsent(error.to_string());
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(unsent)?,
        Err(_) => return Err(unsent(io::ErrorKind::TimedOut.into())),
    };
    stream.set_nodelay(true).map_err(unsent)?;
    let request = build_request(address, request)
        .map_err(|error| CallError::Unsent(format!("request cannot be encoded: {error}")))?;
    let progress = Rc::new(Progress::default());
    let stream = TrackedStream {
        stream,
        progress: Rc::clone(&progress),
    };
    let to_call_error = |error: hyper::Error| {
        if progress.is_written.get() {
            CallError::Broken(error.to_string())
        } else {
            CallError::Unsent(error.to_string())
        }
    };
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(to_call_error)?;
    let connection = Connection(spawn_local(async move {
        // An error also ends the call or the body, which report it.
        let _ = connection.await;
    }));
    let response = sender.send_request(request).await.map_err(to_call_error)?;
    progress.has_head.set(true);
    let (head, body) = response.into_parts();
    Ok(CallAnswer {
        status: head.status,
        headers: head.headers.into(),
        body,
        _connection: connection,
    })
}

fn build_request(
    address: SocketAddr,
    request: CallRequest,
) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(request.path_and_query)
        .header("connection", "close");
    if !request.headers.contains_key("host") {
        builder = builder.header("host", address.to_string());
    }
    for (name, value) in &request.headers {
        builder = builder.header(name, value.as_bytes());
    }
    builder.body(Full::new(request.body))
}

/// How far a call has come on its connection.
#[derive(Default)]
struct Progress {
    /// Whether anything was written.
    is_written: Cell<bool>,
    /// Whether the head of the final answer was received.
    has_head: Cell<bool>,
    /// Bytes read before the head was complete.
    head_bytes: Cell<usize>,
}

/// TCP stream that records the progress of its call. Reading fails when a target sends
/// more than [`MAX_HEAD_BYTES`] without an answer.
struct TrackedStream {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl TrackedStream {
    fn track_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.progress.is_written.set(true);
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.has_head.get() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let head_bytes = self.progress.head_bytes.get();
        if head_bytes >= MAX_HEAD_BYTES {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes without an answer",
            )));
        }
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - filled;
        self.progress.head_bytes.set(head_bytes + received);
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.track_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.track_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
