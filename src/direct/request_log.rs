//! The log line and the metrics that each request leaves at its end.

use std::rc::Rc;

use slog::info;

use super::{
    attempt::{
        IncomingRequest,
        PUBLIC_LABEL, //
    },
    platform::Platform,
    worker::Worker,
};
use crate::{
    clock::US_PER_S,
    error::ErrorKind,
    event::Event,
    names::Name, //
};

/// Logs the end of a request when dropped, which includes a caller that leaves early.
pub(super) struct RequestLog<P: Platform> {
    worker: Rc<Worker<P>>,
    request_id: Name,
    organisation: Option<Name>,
    route: Name,
    pub(super) target: Option<Name>,
    pub(super) attempts: u32,
    pub(super) status: u16,
    kind: Option<ErrorKind>,
    arrived_at_us: u64,
    /// Whether a [`Relay`](super::relay::Relay) streams the answer and logs its end instead.
    pub(super) is_relayed: bool,
}

impl<P: Platform> RequestLog<P> {
    pub(super) fn new(worker: &Rc<Worker<P>>, incoming: &IncomingRequest) -> Self {
        Self {
            worker: Rc::clone(worker),
            request_id: incoming.id().into(),
            organisation: incoming.organisation_name().cloned(),
            route: incoming.route.name.clone(),
            target: None,
            attempts: 0,
            status: 0,
            kind: None,
            arrived_at_us: incoming.arrived_at_us,
            is_relayed: false,
        }
    }
}

impl<P: Platform> RequestLog<P> {
    /// Records the error kind that the request ends with.
    pub(super) const fn end(&mut self, kind: ErrorKind) {
        self.status = kind.answer().status;
        self.kind = Some(kind);
    }
}

impl<P: Platform> Drop for RequestLog<P> {
    fn drop(&mut self) {
        if self.is_relayed {
            return;
        }
        let total_us = self.worker.now_us().saturating_sub(self.arrived_at_us);
        let metrics = &self.worker.context.metrics;
        let label = self.organisation.as_deref().unwrap_or(PUBLIC_LABEL);
        metrics.count_answer(label, self.kind);
        metrics
            .organisation(label)
            .total
            .observe(us_to_seconds(total_us));
        let outcome = match self.status {
            0 => "caller_left",
            200..400 => "complete",
            _ => "failed",
        };
        let event = if outcome == "complete" {
            Event::RequestDone
        } else {
            Event::RequestFailed
        };
        info!(self.worker.context.log, "request ended";
            "event" => event,
            "request_id" => &*self.request_id,
            "organisation" => self.organisation.as_deref(),
            "route" => &*self.route,
            "target" => self.target.as_deref(),
            "tries" => self.attempts,
            "outcome" => outcome,
            "status" => self.status,
            "kind" => self.kind.map(ErrorKind::name),
            "total_us" => total_us);
    }
}

/// Converts a time into seconds, the unit of the histograms.
pub(super) fn us_to_seconds(time_us: u64) -> f64 {
    time_us as f64 / US_PER_S as f64
}
