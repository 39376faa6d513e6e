//! Open connections of callers on one traffic thread.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use ntex::{
    io::IoRef,
    web::HttpRequest, //
};

use super::context::Context;

/// Interval between checks for a graceful stop and for closed connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that have carried a request, with the number of requests that
/// are running.
#[derive(Debug, Default)]
pub(super) struct Connections {
    open: RefCell<HashMap<IoRef, usize>>,
}

/// Marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(super) struct BusyGuard {
    connections: Rc<Connections>,
    io: IoRef,
}

impl Connections {
    /// Marks the connection of a request as busy.
    pub(super) fn enter(self: &Rc<Self>, request: &HttpRequest) -> Option<BusyGuard> {
        let io = request.io()?.clone();
        *self.open.borrow_mut().entry(io.clone()).or_insert(0) += 1;
        Some(BusyGuard {
            connections: Rc::clone(self),
            io,
        })
    }

    /// Closes idle connections during a graceful stop. A caller that keeps one
    /// open would otherwise send its next request to a process that stops.
    pub(super) async fn watch(self: Rc<Self>, context: std::sync::Arc<Context>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let mut open = self.open.borrow_mut();
            open.retain(|io, _| !io.is_closed());
            if context.is_leaving() {
                let idle = open.iter().filter(|(_, busy)| **busy == 0);
                idle.for_each(|(io, _)| io.close());
            }
        }
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
