//! Request bodies that a process forwards without storing them whole.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    error::Error,
    io,
    rc::Rc,
    time::Duration, //
};

use futures_util::{
    StreamExt,
    stream, //
};
use ntex::{
    http::{
        Payload,
        body::{
            Body,
            BodyStream,
            SizedStream, //
        },
    },
    util::Bytes, //
};

/// Limit of the bytes that are read from a discarded body.
const MAX_DISCARDED_BYTES: usize = 2 << 20;

/// Longest time for which a discarded body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads and drops the rest of a body before an error is answered. A connection
/// that is closed with unread bytes is reset, and the caller may lose the answer.
pub(crate) async fn discard(payload: &mut Payload) {
    let read = async {
        let mut left_bytes = MAX_DISCARDED_BYTES;
        while let Some(Ok(part)) = payload.next().await
            && part.len() < left_bytes
        {
            left_bytes -= part.len();
        }
    };
    // A slow caller gets its answer before its body has been read.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Request body that is sent on while it arrives, and only once.
pub(crate) struct Upload {
    source: RefCell<Option<Source>>,
    is_started: Cell<bool>,
    length_bytes: Option<u64>,
    /// Longest wait for the next part.
    idle_timeout: Duration,
}

/// Rest of a body that has not been sent.
struct Source {
    /// Part that was already read; empty once it has been sent.
    prefix: Bytes,
    payload: Payload,
}

impl Upload {
    /// Creates a body from a part that was read and the rest of a payload.
    pub(crate) fn new(
        prefix: Bytes,
        payload: Payload,
        length_bytes: Option<u64>,
        idle_timeout: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            source: RefCell::new(Some(Source { prefix, payload })),
            is_started: Cell::new(false),
            length_bytes,
            idle_timeout,
        })
    }

    /// Returns whether sending has begun, so that the body cannot be sent again.
    pub(crate) fn is_started(&self) -> bool {
        self.is_started.get()
    }

    /// Returns the length of the whole body if it was announced.
    pub(crate) const fn length_bytes(&self) -> Option<u64> {
        self.length_bytes
    }

    /// Returns the body of the outgoing request. Parts are read only as fast as
    /// they are sent.
    pub(crate) fn body(self: &Rc<Self>) -> Body {
        let parts = stream::unfold(Rc::clone(self), |upload| async move {
            let part = upload.next_part().await?;
            Some((part, upload))
        });
        match self.length_bytes {
            Some(length_bytes) => {
                // `SizedStream` requires a shared error type.
                let parts = parts.map(|part| part.map_err(|error| Rc::new(error) as Rc<dyn Error>));
                Body::from_message(SizedStream::new(length_bytes, Box::pin(parts)))
            }
            None => Body::from_message(BodyStream::new(Box::pin(parts))),
        }
    }

    /// Discards what is left, as the function [`discard`] does.
    pub(crate) async fn discard(&self) {
        if let Some(mut source) = self.source.take() {
            discard(&mut source.payload).await;
        }
    }

    async fn next_part(&self) -> Option<Result<Bytes, io::Error>> {
        self.is_started.set(true);
        let mut source = self.source.take()?;
        if !source.prefix.is_empty() {
            let prefix = std::mem::take(&mut source.prefix);
            self.source.replace(Some(source));
            return Some(Ok(prefix));
        }
        let part = tokio::time::timeout(self.idle_timeout, source.payload.next()).await;
        let part = match part {
            Ok(part) => part?.map_err(io::Error::other),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        };
        if part.is_ok() {
            self.source.replace(Some(source));
        }
        Some(part)
    }
}
