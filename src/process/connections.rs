//! Open connections of callers on one traffic thread of an entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
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

/// Interval between checks for unread answers.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a byte taken by the caller after which an answer counts as not read. An
/// answer that is longer than the buffers of the connection holds memory of the process.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that is open.
#[derive(Debug)]
struct Connection {
    /// Running requests.
    running: usize,
    /// When it was accepted or its last request ended.
    idle_since: Instant,
    /// Length of the unsent bytes, and since when it is the same.
    unsent: (usize, Instant),
}

impl Connection {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            running: 0,
            idle_since: now,
            unsent: (0, now),
        }
    }

    /// Returns whether the unsent bytes have not changed for too long.
    fn is_unread(&mut self, unsent_bytes: usize, now: Instant) -> bool {
        if unsent_bytes == 0 || unsent_bytes != self.unsent.0 {
            self.unsent = (unsent_bytes, now);
        }
        now >= self.unsent.1 + UNREAD_TIMEOUT
    }
}

/// Number of connections that were closed to keep the limits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClosedConnections {
    /// Closed because too many were open.
    pub(crate) surplus: u64,
    /// Closed because an answer was not read.
    pub(crate) unread: u64,
}

/// Open connections of one thread. Without a limit on them, only those that have carried
/// a request.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<HashMap<IoRef, Connection>>,
    /// Most open connections, 0 for no limit.
    max: usize,
    surplus: Cell<u64>,
}

/// Marks a connection as busy until the guard is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    connections: Rc<Connections>,
    io: IoRef,
}

impl Connections {
    /// Creates a table for at most `max` connections, 0 for no limit.
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            ..Self::default()
        })
    }

    /// Adds an accepted connection. When too many are open, closes the one that has been
    /// idle for longest, or the new one when none is idle.
    pub(crate) fn accept(&self, io: &IoRef) {
        if self.max == 0 {
            return;
        }
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max {
            open.retain(|io, _| !io.is_closed());
        }
        if open.len() >= self.max {
            self.surplus.set(self.surplus.get() + 1);
            let idle = open.iter().filter(|(_, each)| each.running == 0);
            let longest = idle.min_by_key(|(_, each)| each.idle_since);
            let Some(longest) = longest.map(|(io, _)| io.clone()) else {
                io.terminate();
                return;
            };
            open.remove(&longest);
            longest.terminate();
        }
        open.insert(io.clone(), Connection::new());
    }

    /// Marks the connection of a request as busy until the guard is dropped.
    /// Returns `None` when the connection is not known.
    pub(crate) fn enter(self: &Rc<Self>, io: Option<&IoRef>) -> Option<BusyGuard> {
        let io = io?.clone();
        let mut open = self.open.borrow_mut();
        let connection = open.entry(io.clone()).or_insert_with(Connection::new);
        connection.running += 1;
        drop(open);
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
                let idle = open.iter().filter(|(_, each)| each.running == 0);
                idle.for_each(|(io, _)| io.close());
            }
        }
    }

    /// Aborts connections whose callers do not read, in an endless loop. Reports at most
    /// once a second how many were closed to keep the limits.
    pub(crate) async fn enforce_limits(self: Rc<Self>, report: impl Fn(ClosedConnections)) {
        loop {
            tokio::time::sleep(UNREAD_CHECK_INTERVAL).await;
            let closed = ClosedConnections {
                surplus: self.surplus.take(),
                unread: self.abort_unread(Instant::now()),
            };
            if closed.surplus + closed.unread > 0 {
                report(closed);
            }
        }
    }

    /// Aborts the connections whose callers do not read their answers, without the end of
    /// the answer. Returns their number.
    fn abort_unread(&self, now: Instant) -> u64 {
        let mut open = self.open.borrow_mut();
        let unread = open.iter_mut().filter_map(|(io, connection)| {
            let unsent_bytes = io.with_write_dst_buf(|buffer| buffer.len());
            let is_unread = !io.is_closed() && connection.is_unread(unsent_bytes, now);
            is_unread.then(|| io.terminate())
        });
        unread.count() as u64
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
        if let Some(connection) = open.get_mut(&self.io) {
            connection.running -= 1;
            connection.idle_since = Instant::now();
        }
    }
}
