//! Open connections of callers on one traffic thread of an entry.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use ntex::io::IoRef;
use tokio::time::Instant;

/// Interval between checks for a graceful stop and for closed connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks whether a connection's written bytes have been sent.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Longest time for which a connection is kept open to send what was written to it. A
/// caller that reads has received it by then.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Connections that have carried a request, each with the number of its running
/// requests.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<HashMap<IoRef, usize>>,
}

/// Marks a connection as busy until the guard is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    connections: Rc<Connections>,
    io: IoRef,
}

impl Connections {
    /// Marks the connection of a request as busy until the guard is dropped.
    /// Returns `None` when the connection is not known.
    pub(crate) fn enter(self: &Rc<Self>, io: Option<&IoRef>) -> Option<BusyGuard> {
        let io = io?.clone();
        *self.open.borrow_mut().entry(io.clone()).or_insert(0) += 1;
        Some(BusyGuard {
            connections: Rc::clone(self),
            io,
        })
    }

    /// Removes closed connections in an endless loop, and closes idle ones during a
    /// graceful stop. A caller that keeps one open would otherwise send its next
    /// request to a process that stops.
    pub(crate) async fn watch(self: Rc<Self>, is_leaving: impl Fn() -> bool) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let mut open = self.open.borrow_mut();
            open.retain(|io, _| !io.is_closed());
            if is_leaving() {
                let idle = open.iter().filter(|(_, running)| **running == 0);
                idle.for_each(|(io, _)| io.close());
            }
        }
    }
}

impl BusyGuard {
    /// Closes the connection without the end of its answer, so that a caller does not take
    /// a truncated answer for a complete one. The HTTP server would otherwise write an
    /// error answer into the body. What was written before is sent first, unless the
    /// caller does not read it in time.
    pub(crate) async fn cut(&self) {
        let until = Instant::now() + MAX_FLUSH_TIME;
        let has_unsent_bytes = || self.io.with_write_dst_buf(|buffer| !buffer.is_empty());
        while !self.io.is_closed() && has_unsent_bytes() && Instant::now() < until {
            tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        }
        self.io.terminate();
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut open = self.connections.open.borrow_mut();
        if let Some(running) = open.get_mut(&self.io) {
            *running -= 1;
        }
    }
}
