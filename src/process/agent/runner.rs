//! Runs one attempt: waits for its turn, calls the target, relays the answer.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use futures_util::StreamExt;
use ntex::{
    client::ClientResponse,
    http::{
        Payload,
        body::Body, //
    },
    util::Bytes, //
};
use slog::info;

use super::{
    context::{
        Answered,
        VersionUse, //
    },
    keyed::{
        Recording,
        end, //
    },
    output::Output,
    traffic::Traffic, //
};
use crate::{
    clock::US_PER_MS,
    connection::{
        attempt::AttemptHead,
        frame::ResponseHead, //
    },
    error::ErrorKind,
    event::Event,
    names::Incarnation,
    process::{
        at_most_once::{
            AttemptPermit,
            Queued, //
        },
        cache_index::CacheReport,
        client,
        fair_queue::Priority,
        header_map,
        upload::Upload, //
    },
    request::headers::{
        CACHE_NAMESPACE,
        Direction,
        ENGINE_INCARNATION,
        MATCHED_BLOCKS,
        MODEL_VERSION,
        PRIORITY,
        REQUEST_ID, //
    },
};

/// Time between two tokens after which an engine counts as hung. Tokens are
/// expected within 50 ms; a pause of seconds only occurs in a hung engine.
const STALL: Duration = Duration::from_secs(5);

type PayloadPart = Result<Bytes, ntex::http::error::PayloadError>;

/// Body of an attempt.
pub(super) enum AttemptBody {
    Kept(Bytes),
    /// One that passes through.
    Upload(Rc<Upload>),
}

/// One attempt on its way through the agent.
pub(super) struct Runner {
    pub(super) traffic: Rc<Traffic>,
    pub(super) output: Rc<Output>,
    pub(super) head: AttemptHead,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: AttemptBody,
    pub(super) expires_at_us: u64,
    pub(super) recording: Recording,
    pub(super) _version: VersionUse,
}

/// Measures of an attempt that has started.
struct Progress {
    queued_us: u64,
    sent_at_us: u64,
}

/// An attempt whose target has not begun to answer. The fair queue is
/// notified once when that changes, also on a failure.
struct Starting {
    traffic: Rc<Traffic>,
    priority: Priority,
    is_notified: Cell<bool>,
}

impl Starting {
    fn new(traffic: &Rc<Traffic>, priority: Priority) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            priority,
            is_notified: Cell::new(false),
        }
    }

    fn first_token(&self) {
        if !self.is_notified.replace(true) {
            self.traffic.first_token(self.priority);
        }
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        self.first_token();
    }
}

impl Runner {
    /// Runs the attempt to its end.
    pub(super) async fn run(self, attempt: AttemptPermit<Queued>) {
        let traffic = Rc::clone(&self.traffic);
        let id = attempt.id();
        let arrived_at_us = traffic.context.clock.now_us();
        match self.claim().await {
            Ok(None) => {}
            Ok(Some(outcome)) => {
                self.replay(attempt, &outcome).await;
                traffic.close(id);
                return;
            }
            Err(kind) => {
                traffic.attempt_table.borrow_mut().cancel_queued(attempt);
                self.output.fail(kind);
                traffic.close(id);
                return;
            }
        }
        self.import().await;
        let turn = traffic
            .wait_turn(
                self.head.organisation.clone(),
                self.head.weight,
                self.head.cost_tokens,
                self.expires_at_us,
            )
            .await;
        match turn {
            Err(kind) => {
                traffic.attempt_table.borrow_mut().cancel_queued(attempt);
                self.release_key();
                self.output.fail(kind);
            }
            Ok(priority) => {
                let organisation = self.head.organisation.clone();
                let starting = Starting::new(&traffic, priority);
                self.start(attempt, &starting, arrived_at_us).await;
                drop(starting);
                traffic.leave(&organisation);
            }
        }
        traffic.close(id);
    }

    async fn start(self, attempt: AttemptPermit<Queued>, starting: &Starting, arrived_at_us: u64) {
        let started = self.traffic.attempt_table.borrow_mut().start(attempt);
        let running = match started {
            Ok(running) => running,
            Err(report) => {
                self.release_key();
                self.output.fail(*report.current_context());
                return;
            }
        };
        let now_us = self.traffic.context.clock.now_us();
        let progress = Progress {
            queued_us: now_us - arrived_at_us,
            sent_at_us: now_us,
        };
        let metrics = &self.traffic.context.metrics;
        let wait = &metrics.organisation(&self.head.organisation).queue_wait;
        wait.observe(progress.queued_us as f64 / 1e6);
        let failure = self.relay_until_deadline(starting, &progress).await.err();
        let ended_at_us = self.traffic.context.clock.now_us();
        self.traffic.context.load.note_service(ended_at_us - now_us);
        self.store_outcome(failure);
        end(&self.output, failure);
        metrics.count_answer(&self.head.organisation, failure);
        info!(self.traffic.context.log, "attempt ended";
            "event" => if failure.is_none() { Event::RequestDone } else { Event::RequestFailed },
            "request_id" => %self.head.request_id,
            "attempt" => %self.head.id,
            "kind" => failure.map(ErrorKind::name));
        let mut attempt_table = self.traffic.attempt_table.borrow_mut();
        attempt_table.finish(running, failure);
    }

    async fn relay_until_deadline(
        &self,
        starting: &Starting,
        progress: &Progress,
    ) -> Result<(), ErrorKind> {
        let deadline = self.traffic.context.clock.instant(self.expires_at_us);
        tokio::select! {
            result = self.relay(starting, progress) => result,
            () = tokio::time::sleep_until(deadline.into()) => Err(ErrorKind::DeadlineExceeded),
            // Without this, a target would work for nobody.
            () = self.output.abandoned(), if self.head.idempotent => {
                Err(ErrorKind::OutcomeUnknown)
            }
        }
    }

    async fn relay(&self, starting: &Starting, progress: &Progress) -> Result<(), ErrorKind> {
        let response = self.call_target(starting.priority).await?;
        starting.first_token();
        self.note_answer(&response, progress);
        if response.status().is_success() {
            self.export();
        }
        let head = self.response_head(&response, progress);
        if self.head.idempotency.is_some() {
            self.recording.start(&head);
        }
        self.output.set_head(head);
        let content_type = response.headers().get("content-type");
        let is_event_stream =
            content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let stall = is_event_stream.then_some(STALL);
        let mut payload = response.take_payload();
        self.copy_body(&mut payload, stall).await
    }

    async fn call_target(&self, priority: Priority) -> Result<ClientResponse, ErrorKind> {
        let settings = &self.traffic.context.settings;
        let method = self
            .head
            .method
            .parse()
            .map_err(|_| ErrorKind::BadRequest)?;
        let url = client::url(settings.target_address, &self.head.path);
        let mut request = self.traffic.client.request(method, url);
        for (name, value) in &self.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        request = request
            .set_header(REQUEST_ID, &*self.head.request_id)
            .set_header(CACHE_NAMESPACE, self.head.namespace.to_string())
            .set_header(MODEL_VERSION, &*self.head.version)
            .set_header(PRIORITY, priority_value(priority).to_string());
        let body = match &self.body {
            AttemptBody::Kept(body) => body.clone().into(),
            AttemptBody::Upload(upload) => upload.body(),
        };
        let response = request.send_body::<Body>(body).await;
        response.map_err(|_| ErrorKind::TargetFailed)
    }

    fn note_answer(&self, response: &ClientResponse, progress: &Progress) {
        let context = &self.traffic.context;
        let Some(engine) = engine_incarnation(response) else {
            return;
        };
        context.set_engine(engine);
        let answer = CacheReport {
            engine,
            namespace: self.head.namespace,
            matched_blocks: matched_blocks(response),
            sent_at_us: progress.sent_at_us,
        };
        let blocks = self.head.blocks.clone();
        // A full channel loses only a refinement of the cache index.
        let _ = context.answered.try_send(Answered { answer, blocks });
    }

    fn response_head(&self, response: &ClientResponse, progress: &Progress) -> ResponseHead {
        ResponseHead {
            status: response.status().as_u16(),
            headers: header_map::forwarded(response.headers(), Direction::ToCaller),
            matched_blocks: matched_blocks(response),
            prompt_blocks: u32::try_from(self.head.blocks.len()).unwrap_or(u32::MAX),
            engine_incarnation: self.traffic.context.engine(),
            queued_us: progress.queued_us,
            version: self.head.version.clone(),
            leaving: self.traffic.context.is_leaving(),
        }
    }

    async fn copy_body(
        &self,
        payload: &mut Payload,
        stall: Option<Duration>,
    ) -> Result<(), ErrorKind> {
        while let Some(part) = next_part(payload, stall).await? {
            let part = part.map_err(|_| ErrorKind::TargetFailed)?;
            self.recording.append(&part);
            let data = bytes::Bytes::copy_from_slice(&part);
            let written = self.output.write(data).await;
            written.map_err(|report| *report.current_context())?;
        }
        Ok(())
    }
}

/// Returns the next part of a body; a stalled one counts as a failed target.
async fn next_part(
    payload: &mut Payload,
    stall: Option<Duration>,
) -> Result<Option<PayloadPart>, ErrorKind> {
    let Some(stall) = stall else {
        return Ok(payload.next().await);
    };
    let part = tokio::time::timeout(stall, payload.next()).await;
    part.map_err(|_| ErrorKind::TargetFailed)
}

/// Engines commonly run lower values first.
const fn priority_value(priority: Priority) -> u8 {
    Priority::HIGHEST.0.saturating_sub(priority.0)
}

fn engine_incarnation(response: &ClientResponse) -> Option<Incarnation> {
    let value = response.headers().get(ENGINE_INCARNATION)?.to_str().ok()?;
    u64::from_str_radix(value, 16).ok().map(Incarnation)
}

fn matched_blocks(response: &ClientResponse) -> u32 {
    let blocks = header_map::parsed::<u64>(response.headers(), MATCHED_BLOCKS).unwrap_or(0);
    u32::try_from(blocks).unwrap_or(u32::MAX)
}

/// Returns the deadline of an attempt that arrives now.
pub(super) fn expires_at_us(now_us: u64, budget_ms: u64) -> u64 {
    now_us.saturating_add(budget_ms.saturating_mul(US_PER_MS))
}
