//! Relays event streams to callers and resumes broken ones at other targets.

use std::{
    rc::Rc,
    sync::Arc, //
};

use bytes::Bytes;
use futures_util::stream;
use ntex::http::{
    HeaderMap,
    Response,
    StatusCode, //
};
use slog::info;
use tokio::time::timeout_at;

use super::{
    answer::ForwardedStatus,
    attempt::{
        self,
        Answer,
        AttemptFailure,
        IncomingRequest, //
    },
    events::{
        EventBatch,
        EventSplitter,
        StreamPosition, //
    },
    platform::Platform,
    reply,
    request_attempts::RequestAttempts,
    request_log::us_to_seconds,
    stall::stalled_at_us,
    target::TargetRecord,
    worker::{
        RunningRequest,
        Worker, //
    },
};
use crate::{
    error::ErrorKind,
    event::Event,
    version::evidence::counts::Sample, //
};

/// Batches of events after the first one from which a stream shows the pace of its
/// target.
const MIN_PACE_BATCHES: u64 = 4;

/// An event stream that is relayed from a target to a caller.
pub(super) struct Relay<P: Platform> {
    worker: Rc<Worker<P>>,
    incoming: IncomingRequest,
    attempts: RequestAttempts,
    answer: Option<Answer<P>>,
    splitter: EventSplitter,
    position: StreamPosition,
    target: Arc<TargetRecord>,
    events_bytes: usize,
    /// Batches of events after the first one.
    batches: u64,
    /// Time at which the first batch was read.
    first_at_us: u64,
    /// When the present attempt was sent, `None` once its answer has begun.
    unbegun_sent_at_us: Option<u64>,
    /// Time at which the last event with an id was read, or another target was asked
    /// to continue the stream.
    event_at_us: u64,
    first_batch: Option<EventBatch>,
    /// Value for the log line that is written when the relay is dropped.
    outcome: &'static str,
    running: RunningRequest,
}

/// Reads until at least one whole event has arrived. Returns `None` at the regular
/// end of the stream.
pub(super) async fn read_events<P: Platform>(
    answer: &mut Answer<P>,
    splitter: &mut EventSplitter,
    until: tokio::time::Instant,
) -> Result<Option<EventBatch>, AttemptFailure> {
    let read = async {
        loop {
            if let Some(batch) = splitter.next_batch()? {
                return Ok(Some(batch));
            }
            match answer.next().await? {
                None if splitter.has_partial_event() => return Err(AttemptFailure::Broken),
                None => return Ok(None),
                Some(part) => splitter.push(&part),
            }
        }
    };
    timeout_at(until, read)
        .await
        .unwrap_or(Err(AttemptFailure::Silent))
}

impl<P: Platform> Relay<P> {
    /// Starts a relay with the first batch of events, `None` when the stream ended
    /// without one.
    pub(super) fn new(
        worker: &Rc<Worker<P>>,
        incoming: IncomingRequest,
        mut attempts: RequestAttempts,
        target: Arc<TargetRecord>,
        (answer, splitter, first_batch): (Answer<P>, EventSplitter, Option<EventBatch>),
        running: RunningRequest,
    ) -> Self {
        attempts.note_begun();
        let is_complete = first_batch.is_none();
        Self {
            first_at_us: worker.now_us(),
            event_at_us: worker.now_us(),
            unbegun_sent_at_us: None,
            worker: Rc::clone(worker),
            position: StreamPosition::new(incoming.head.last_event_id),
            incoming,
            attempts,
            answer: (!is_complete).then_some(answer),
            splitter,
            target,
            events_bytes: 0,
            batches: 0,
            first_batch,
            outcome: if is_complete {
                "complete"
            } else {
                "caller_left"
            },
            running,
        }
    }

    /// Returns the answer to the caller, whose body is the stream.
    pub(super) fn into_response(self, status: ForwardedStatus, headers: &HeaderMap) -> Response {
        let is_leaving = self.worker.context.is_leaving();
        let mut builder = reply::forwarded_builder(status, headers, is_leaving);
        let body = stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item.map(reply::to_ntex_bytes), relay))
        });
        builder.streaming(Box::pin(body))
    }

    /// Returns the next batch of events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(first_batch) = self.first_batch.take() {
            return Some(Ok(self.pass_on(first_batch)));
        }
        loop {
            let stalled_at_us = stalled_at_us(&self.incoming.route, self.event_at_us);
            let deadline_us = self.incoming.deadline_us;
            let until_us = stalled_at_us.map_or(deadline_us, |at_us| at_us.min(deadline_us));
            let until = attempt::timer_instant(&self.worker, until_us);
            let answer = self.answer.as_mut()?;
            match read_events(answer, &mut self.splitter, until).await {
                Ok(Some(batch)) => {
                    if let Some(sent_at_us) = self.unbegun_sent_at_us.take() {
                        self.worker.note_begun_answer(&self.incoming, sent_at_us);
                    }
                    let last_id = self.position.last_id();
                    let data = self.pass_on(batch);
                    if self.position.last_id() != last_id {
                        self.event_at_us = self.worker.now_us();
                    }
                    self.batches += 1;
                    return Some(Ok(data));
                }
                Ok(None) if self.is_cut_before_event() => {
                    if !self.recover(AttemptFailure::NotContinued).await {
                        return Some(self.fail(AttemptFailure::NotContinued).await);
                    }
                }
                Ok(None) => {
                    self.record_pace();
                    self.answer = None;
                    self.outcome = "complete";
                    return None;
                }
                Err(failure) => {
                    if !self.recover(failure).await {
                        return Some(self.fail(failure).await);
                    }
                }
            }
        }
    }

    /// Returns whether an answer that was to continue the stream has ended with its
    /// connection before its first event. That is no statement that no events are left.
    fn is_cut_before_event(&self) -> bool {
        let states_end = self.answer.as_ref().is_some_and(Answer::states_end);
        self.unbegun_sent_at_us.is_some() && !states_end
    }

    /// Continues the stream at another target after the present one has failed. Returns
    /// whether one accepted it.
    async fn recover(&mut self, failure: AttemptFailure) -> bool {
        self.answer = None;
        if self.unbegun_sent_at_us.is_some() {
            self.worker
                .note_unbegun_answer(&self.incoming, &self.target.id, failure);
        }
        if self.worker.now_us() >= self.incoming.deadline_us {
            return false;
        }
        self.worker
            .record_failed_sample(&self.incoming, &self.target, failure);
        self.worker.observe_failure(&self.target.id, failure);
        let is_resumed = self.resume(failure).await;
        if is_resumed {
            self.event_at_us = self.worker.now_us();
        }
        is_resumed
    }

    /// Ends the stream without its end.
    async fn fail(&mut self, failure: AttemptFailure) -> Result<Bytes, std::io::Error> {
        self.outcome = failure.name();
        self.running.abort_connection().await;
        Err(std::io::Error::other(failure.name()))
    }

    fn pass_on(&mut self, batch: EventBatch) -> Bytes {
        self.events_bytes += batch.size_bytes();
        self.position.pass_on(batch)
    }

    /// Records the time between the events of a stream that one target sent whole. Its
    /// first event was recorded when it came.
    fn record_pace(&self) {
        let is_resumed = self.attempts.count() > 1;
        if is_resumed || self.batches < MIN_PACE_BATCHES {
            return;
        }
        let total_us = self.event_at_us.saturating_sub(self.first_at_us);
        let sample = Sample {
            between_tokens_us: Some(total_us / self.batches),
            ..Sample::default()
        };
        self.worker
            .record_sample(&self.incoming, &self.target, sample);
    }

    /// Continues the stream at another target after the last event that was passed on. Returns
    /// whether one accepted it.
    async fn resume(&mut self, mut failure: AttemptFailure) -> bool {
        if !self.incoming.route.can_resume {
            return false;
        }
        let is_contradicted = failure == AttemptFailure::OutOfOrder;
        let Some(point) = self.position.resume_point(is_contradicted) else {
            return false;
        };
        loop {
            let Some(choice) = self
                .attempts
                .next_target(&self.worker, &mut self.incoming, true)
                .await
            else {
                return false;
            };
            let target = &choice.target;
            self.worker.context.metrics.resumed_streams.inc();
            info!(self.worker.context.log, "resuming stream at another target";
                "event" => Event::StreamContinued,
                "request_id" => self.incoming.id(),
                "failed_target" => &*self.target.id,
                "target" => &*target.id,
                "last_event_id" => point.last_id,
                "cause" => failure.name());
            let until_us = self.incoming.deadline_us;
            let sent_at_us = self.worker.now_us();
            let sent = attempt::send(
                &self.worker,
                &self.incoming,
                &choice,
                point.last_id,
                until_us,
            )
            .await;
            match sent {
                Ok(answer) if answer.status.code() == StatusCode::OK => {
                    self.splitter = EventSplitter::new(point.last_id);
                    self.target = Arc::clone(target);
                    self.answer = Some(answer);
                    self.unbegun_sent_at_us = Some(sent_at_us);
                    return true;
                }
                Ok(_) => failure = AttemptFailure::NotContinued,
                Err(cause) => {
                    failure = cause;
                    self.worker
                        .note_unbegun_answer(&self.incoming, &target.id, failure);
                    self.attempts.record_failure(failure);
                }
            }
        }
    }
}

impl<P: Platform> Drop for Relay<P> {
    fn drop(&mut self) {
        let now_us = self.worker.now_us();
        let first_us = self.first_at_us.saturating_sub(self.incoming.arrived_at_us);
        let total_us = now_us.saturating_sub(self.incoming.arrived_at_us);
        let metrics = &self.worker.context.metrics;
        let label = self.incoming.label();
        let (event, kind) = match self.outcome {
            "complete" => (Event::RequestDone, None),
            _ => (Event::RequestFailed, Some(ErrorKind::StreamBroken)),
        };
        metrics.count_answer(label, kind);
        let histograms = metrics.organisation(label);
        histograms.first_token.observe(us_to_seconds(first_us));
        histograms.total.observe(us_to_seconds(total_us));
        info!(self.worker.context.log, "stream ended";
            "event" => event,
            "request_id" => self.incoming.id(),
            "organisation" => self.incoming.organisation_name().map(|name| &**name),
            "route" => &*self.incoming.route.name,
            "target" => &*self.target.id,
            "tries" => self.attempts.count(),
            "outcome" => self.outcome,
            "bytes" => self.events_bytes,
            "last_event_id" => self.position.last_id(),
            "first_us" => first_us,
            "total_us" => total_us);
    }
}
