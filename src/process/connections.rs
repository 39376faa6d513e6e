//! Open connections of callers on one traffic thread of an entry.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use ntex::io::IoRef;

/// Interval between checks for a graceful stop and for closed connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that have carried a request, with the number of requests that
/// are running.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<HashMap<IoRef, usize>>,
}

/// Marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    connections: Rc<Connections>,
    io: IoRef,
}

impl Connections {
    /// Marks the connection of a request as busy.
    pub(crate) fn enter(self: &Rc<Self>, io: Option<&IoRef>) -> Option<BusyGuard> {
        let io = io?.clone();
        *self.open.borrow_mut().entry(io.clone()).or_insert(0) += 1;
        Some(BusyGuard {
            connections: Rc::clone(self),
            io,
        })
    }

    /// Closes idle connections during a graceful stop. A caller that keeps one
    /// open would otherwise send its next request to a process that stops.
    pub(crate) async fn watch(self: Rc<Self>, is_leaving: impl Fn() -> bool) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let mut open = self.open.borrow_mut();
            open.retain(|io, _| !io.is_closed());
            if is_leaving() {
                let idle = open.iter().filter(|(_, busy)| **busy == 0);
                idle.for_each(|(io, _)| io.close());
            }
        }
    }
}

impl BusyGuard {
    /// Cuts the connection, so that a caller does not take a broken answer for a
    /// whole one. The HTTP server would write an error answer into the body.
    pub(crate) fn cut(&self) {
        self.io.terminate();
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut open = self.connections.open.borrow_mut();
        if let Some(busy) = open.get_mut(&self.io) {
            *busy -= 1;
        }
    }
}
