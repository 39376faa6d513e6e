//! Response stream of one attempt, shared by its writer and its readers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::BytesMut;
use futures_util::stream::{
    self,
    Stream, //
};
use ntex::util::Bytes;
use tokio::sync::Notify;

use crate::{
    connection::{
        frame::{
            self,
            Frame,
            ResponseHead, //
        },
        liveness::HEARTBEAT_US,
        retention::{
            Cursor,
            MAX_CHUNK_BYTES,
            ResumeRefusal,
            RetainedResponse, //
        },
    },
    error::{
        ErrorKind,
        Result, //
    },
};

/// Frames are joined up to this size before they are written to the connection.
const WRITE_BYTES: usize = 32 << 10;

/// Time without a reader after which a stream counts as abandoned. An entry that
/// resumes a stream does so within about five seconds of silence.
const ABANDONED_AFTER: Duration = Duration::from_secs(5);

/// Response stream of one attempt.
#[derive(Debug, Default)]
pub(super) struct Output {
    retention: RefCell<RetainedResponse>,
    readable: Notify,
    writable: Notify,
    reader_generation: Cell<u64>,
    readers: Cell<usize>,
    readers_changed: Notify,
    is_cancelled: Cell<bool>,
}

/// What a reader has seen; the newest reader of a stream replaces older ones.
#[derive(Debug)]
struct Reader {
    output: Rc<Output>,
    cursor: Cursor,
    generation: u64,
    done: bool,
}

impl Output {
    /// Records the target's status and headers.
    pub(super) fn set_head(&self, head: ResponseHead) {
        self.retention.borrow_mut().set_head(head);
        self.readable.notify_waiters();
    }

    /// Appends body bytes, waiting while the entry has not acknowledged enough.
    pub(super) async fn write(&self, data: bytes::Bytes) -> Result<()> {
        for part in data.chunks(MAX_CHUNK_BYTES) {
            self.wait_writable().await;
            let part = data.slice_ref(part);
            self.retention.borrow_mut().push(part)?;
            self.readable.notify_waiters();
        }
        Ok(())
    }

    async fn wait_writable(&self) {
        loop {
            let drained = self.writable.notified();
            if self.retention.borrow().can_push() {
                return;
            }
            drained.await;
        }
    }

    /// Marks the body as complete.
    pub(super) fn finish(&self) {
        self.retention.borrow_mut().finish();
        self.readable.notify_waiters();
    }

    /// Ends the stream with a failure.
    pub(super) fn fail(&self, kind: ErrorKind) {
        self.retention.borrow_mut().fail(kind);
        self.readable.notify_waiters();
    }

    /// Ends the wait in [`Self::abandoned`].
    pub(super) fn cancel(&self) {
        self.is_cancelled.set(true);
        self.readers_changed.notify_waiters();
    }

    /// Waits until the stream is cancelled or nobody has read it for a while.
    pub(super) async fn abandoned(&self) {
        loop {
            let changed = self.readers_changed.notified();
            if self.is_cancelled.get() {
                return;
            }
            if self.readers.get() > 0 {
                changed.await;
            } else if tokio::time::timeout(ABANDONED_AFTER, changed)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Releases chunks that the entry has received.
    pub(super) fn acknowledge(&self, next: u64) -> Result<()> {
        self.retention.borrow_mut().acknowledge(next)?;
        self.writable.notify_waiters();
        Ok(())
    }

    /// Returns whether everything was acknowledged.
    pub(super) fn is_delivered(&self) -> bool {
        self.retention.borrow().is_delivered()
    }

    /// Returns the encoded frames from a chunk on, with heartbeats between.
    pub(super) fn read(
        self: &Rc<Self>,
        from: u64,
    ) -> std::result::Result<
        impl Stream<Item = std::result::Result<Bytes, std::io::Error>> + Unpin + use<>,
        ResumeRefusal,
    > {
        let cursor = self.retention.borrow_mut().resume(from)?;
        self.writable.notify_waiters();
        let generation = self.reader_generation.get() + 1;
        self.reader_generation.set(generation);
        self.readable.notify_waiters();
        self.readers.set(self.readers.get() + 1);
        self.readers_changed.notify_waiters();
        let reader = Reader {
            output: Rc::clone(self),
            cursor,
            generation,
            done: false,
        };
        Ok(Box::pin(stream::unfold(reader, |mut reader| async move {
            let bytes = reader.next().await?;
            Some((Ok(bytes), reader))
        })))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.output.readers.set(self.output.readers.get() - 1);
        self.output.readers_changed.notify_waiters();
    }
}

impl Reader {
    async fn next(&mut self) -> Option<Bytes> {
        if self.done {
            return None;
        }
        loop {
            let output = Rc::clone(&self.output);
            let readable = output.readable.notified();
            let bytes = self.take_available();
            if !bytes.is_empty() {
                return Some(Bytes::copy_from_slice(&bytes));
            }
            if self.done {
                return None;
            }
            let heartbeat = Duration::from_micros(HEARTBEAT_US);
            if tokio::time::timeout(heartbeat, readable).await.is_err() {
                return Some(encode(&Frame::Heartbeat));
            }
        }
    }

    fn take_available(&mut self) -> BytesMut {
        let mut buffer = BytesMut::new();
        if self.generation != self.output.reader_generation.get() {
            self.done = true;
            return buffer;
        }
        let retention = self.output.retention.borrow();
        while buffer.len() < WRITE_BYTES {
            let Ok(Some(frame)) = retention.next_frame(&mut self.cursor) else {
                break;
            };
            self.done |= matches!(frame, Frame::End { .. } | Frame::Failed { .. });
            if frame::encode(&frame, &mut buffer).is_err() {
                self.done = true;
                break;
            }
        }
        buffer
    }
}

/// Encodes a frame that is known to be small.
pub(super) fn encode(frame: &Frame) -> Bytes {
    let mut buffer = BytesMut::new();
    // Only a frame above the size limit fails to encode.
    let _ = frame::encode(frame, &mut buffer);
    Bytes::copy_from_slice(&buffer)
}
