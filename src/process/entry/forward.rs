//! Runs a request: attempts, retries and the stream that follows.

mod cost;
mod keyed;
mod settle;
mod stream;
mod target;

use std::rc::Rc;

use error_stack::Report;
use ntex::util::Bytes;
use slog::info;

use self::{
    stream::truthful_after_start,
    target::empty_prompt, //
};
use super::{
    attempt::{
        Attempt,
        Outgoing, //
    },
    moves::{
        Measure,
        VersionUse, //
    },
    request::Request,
    worker::{
        Answered,
        Worker, //
    },
};
use crate::{
    connection::{
        frame::ResponseHead,
        liveness::{
            HEARTBEAT_US,
            MISSED_HEARTBEATS, //
        },
        reassembly::ResponsePart, //
    },
    error::{
        ErrorKind,
        Execution,
        Result, //
    },
    event::Event,
    names::Name,
    process::fair_queue::RateStatus,
    request::{
        openai::stream::CompletionStream,
        prompt::HashedPrompt,
        retry::{
            AttemptPhase,
            Deadline,
            Recovery,
            RetryProperties,
            backoff,
            choose_recovery, //
        },
    },
    version::config::TargetKey, //
};

/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 4;

/// A request that is being run.
pub(super) struct Call {
    worker: Rc<Worker>,
    pub(super) request: Request,
    version: Option<Name>,
    usage: Option<VersionUse>,
    measure: Measure,
    /// Whether the target answered with a failure of its own.
    is_failed: bool,
    prompt: HashedPrompt,
    body: Bytes,
    tried: Vec<TargetKey>,
    attempt: Option<Attempt>,
    /// How the last attempt failed that may have run.
    loss: Option<ErrorKind>,
    /// Text of the stream so far, for a continuation elsewhere.
    stream: Option<CompletionStream>,
    /// Whether the last failure was one of a connection only.
    may_reuse: bool,
    rate_status: RateStatus,
    /// Whether the request uses only the targets of an organisation above its
    /// rate.
    is_confined: bool,
    /// Whether the end marker was passed in place of the target's own.
    is_over: bool,
}

/// Result of a step that may be repeated elsewhere.
enum Step {
    Headed(ResponseHead),
    Failed(ErrorKind, AttemptPhase),
}

impl Call {
    pub(super) fn new(worker: &Rc<Worker>, request: Request) -> Self {
        let body = request.body.clone();
        let stream = request.is_stream().then(CompletionStream::new);
        Self {
            worker: Rc::clone(worker),
            version: None,
            usage: None,
            measure: Measure::default(),
            is_failed: false,
            prompt: empty_prompt(),
            body,
            tried: Vec::new(),
            attempt: None,
            loss: None,
            stream,
            may_reuse: false,
            rate_status: RateStatus::default(),
            is_confined: false,
            is_over: false,
            request,
        }
    }

    pub(super) fn set_rate_status(&mut self, rate_status: RateStatus) {
        self.rate_status = rate_status;
        self.is_confined = rate_status.is_over_rate;
    }

    /// Sends attempts until one has a head.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller; its kind tells truthfully whether
    /// the request ran.
    pub(super) async fn start(&mut self) -> Result<ResponseHead> {
        self.worker.budget.borrow_mut().note_first_attempt();
        self.run_attempts().await
    }

    /// Starts again after a failure before anything was passed to the caller.
    ///
    /// # Errors
    ///
    /// Returns the same kinds as [`Self::start`].
    pub(super) async fn start_over(&mut self, kind: ErrorKind) -> Result<ResponseHead> {
        self.note_loss(kind, AttemptPhase::HeadReceived);
        self.recover(kind, AttemptPhase::HeadReceived)?;
        self.run_attempts().await
    }

    async fn run_attempts(&mut self) -> Result<ResponseHead> {
        let deadline = self.give_up_at();
        let head = tokio::time::timeout_at(deadline, self.try_all()).await;
        let head = head.unwrap_or_else(|_| Err(Report::new(ErrorKind::OutcomeUnknown)));
        head.map_err(|report| match self.loss {
            Some(loss) if report.current_context().is_not_run() => Report::new(loss),
            _ => report,
        })
    }

    async fn try_all(&mut self) -> Result<ResponseHead> {
        loop {
            let (kind, phase) = match self.try_once().await? {
                Step::Headed(head) => {
                    if head.status >= 500 {
                        self.note_answer_of_version(true);
                    }
                    self.is_failed = head.status >= 500;
                    if head.status != 200 {
                        // The answer is no event stream.
                        self.stream = None;
                    }
                    return Ok(head);
                }
                Step::Failed(kind, phase) => (kind, phase),
            };
            self.note_loss(kind, phase);
            self.recover(kind, phase)?;
            // A failed target may leave no other to a confined request; a full
            // queue is the effect of the flood itself.
            self.is_confined &= kind == ErrorKind::Overloaded;
        }
    }

    /// The agent reports an expired deadline itself; this bound is for an agent
    /// that cannot be heard.
    fn give_up_at(&self) -> tokio::time::Instant {
        let expires_at_us = self.request.expires_at_us;
        let give_up_at_us = expires_at_us + HEARTBEAT_US * MISSED_HEARTBEATS;
        self.worker.context.clock.instant(give_up_at_us).into()
    }

    /// Remembers that an attempt may have run, so that no later failure claims
    /// that the request did not.
    fn note_loss(&mut self, kind: ErrorKind, phase: AttemptPhase) {
        self.may_reuse = kind == ErrorKind::Barred;
        if kind.is_not_run() || phase == AttemptPhase::Unsent {
            return;
        }
        self.note_answer_of_version(true);
        self.loss = Some(match kind.answer().execution {
            Execution::Started => kind,
            Execution::NotRun | Execution::Unknown => ErrorKind::OutcomeUnknown,
        });
    }

    /// Decides whether the request may be tried again.
    fn recover(&self, kind: ErrorKind, phase: AttemptPhase) -> Result<()> {
        let is_refused = kind.is_not_run() && kind != ErrorKind::Barred;
        // Another agent cannot vouch for an idempotency key.
        let is_bound = self.request.keyed.is_some() && is_refused;
        let upload = self.request.upload.as_ref();
        let is_consumed = upload.is_some_and(|upload| upload.is_started());
        if is_bound || (is_consumed && kind.is_not_run()) {
            return Err(Report::new(truthful(kind)));
        }
        if is_consumed {
            return Err(Report::new(truthful_after_start(kind)));
        }
        match choose_recovery(kind, phase, self.retryable()) {
            Recovery::Answer => Err(Report::new(kind)),
            Recovery::AnswerUnknown => Err(Report::new(ErrorKind::OutcomeUnknown)),
            Recovery::OtherTarget if phase == AttemptPhase::Unsent => {
                self.spend_retry(ErrorKind::NoTarget)
            }
            Recovery::OtherTarget | Recovery::Continue => self.spend_retry(kind),
            // The attempt has already been settled and resumed.
            Recovery::CancelUnlessStarted | Recovery::Resume => {
                Err(Report::new(ErrorKind::OutcomeUnknown))
            }
        }
    }

    fn spend_retry(&self, kind: ErrorKind) -> Result<()> {
        let now_us = self.worker.context.clock.now_us();
        let allowed = self.tried.len() < MAX_ATTEMPTS
            && now_us < self.request.expires_at_us
            && self.worker.budget.borrow_mut().try_retry(now_us);
        if !allowed {
            return Err(Report::new(truthful(kind)));
        }
        info!(self.worker.context.log, "request is tried again";
            "event" => Event::AttemptRetried,
            "request_id" => %self.request.id,
            "kind" => kind.name());
        self.worker.context.metrics.retries.inc();
        Ok(())
    }

    fn retryable(&self) -> RetryProperties {
        let route = self.request.config.route(self.request.route);
        RetryProperties {
            idempotent: route.is_some_and(|entry| entry.route.idempotent),
            continuable: self.stream.is_some(),
        }
    }

    async fn try_once(&mut self) -> Result<Step> {
        let target = self.next_target().await?;
        if self.tried.contains(&target) {
            self.back_off().await?;
        }
        let is_retry = !self.tried.is_empty();
        self.tried.push(target);
        let (address, mut head) = self.attempt_head(target)?;
        head.idempotency = self.claim_key(target, head.agent).await?;
        let agent = head.agent;
        let (attempt, sent) = Attempt::send(
            &self.worker,
            address,
            head,
            &self.request.headers,
            self.outgoing(),
            is_retry,
        )
        .await;
        let is_unsent = attempt.is_unsent;
        self.attempt = Some(attempt);
        if is_unsent {
            return Ok(Step::Failed(
                ErrorKind::PeerUnavailable,
                AttemptPhase::Unsent,
            ));
        }
        let accepted = match sent {
            Ok(()) => self.read_first().await,
            Err(report) => Err(report),
        };
        match accepted {
            Ok(ResponsePart::Head(head)) => Ok(Step::Headed(head)),
            Ok(ResponsePart::Failed(ErrorKind::DuplicateAttempt)) => {
                self.settle(ErrorKind::DuplicateAttempt).await
            }
            Ok(ResponsePart::Failed(kind)) => {
                if kind == ErrorKind::Stopping {
                    self.worker.note_stopping(agent);
                }
                Ok(Step::Failed(kind, AttemptPhase::Sent))
            }
            Ok(_) => Ok(Step::Failed(
                ErrorKind::StreamBroken,
                AttemptPhase::HeadReceived,
            )),
            Err(report) => self.settle(*report.current_context()).await,
        }
    }

    fn outgoing(&self) -> Outgoing {
        match &self.request.upload {
            Some(upload) => Outgoing::Upload(Rc::clone(upload)),
            None => Outgoing::Kept(self.body.clone()),
        }
    }

    /// Waits before the same target is asked again.
    async fn back_off(&self) -> Result<()> {
        let clock = self.worker.context.clock;
        let retries = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let deadline = Deadline {
            expires_at_us: self.request.expires_at_us,
        };
        let retry_at_us = backoff(clock.now_us(), retries, deadline, &mut rand::rng());
        let retry_at_us = retry_at_us.ok_or_else(|| Report::new(ErrorKind::DeadlineBeforeStart))?;
        tokio::time::sleep_until(clock.instant(retry_at_us).into()).await;
        Ok(())
    }

    async fn read_first(&mut self) -> Result<ResponsePart> {
        let Some(attempt) = &mut self.attempt else {
            return Err(Report::new(ErrorKind::Internal));
        };
        let accepted = attempt.next_unresumed().await?;
        if let ResponsePart::Head(head) = &accepted {
            self.note_head(head);
        }
        Ok(accepted)
    }

    fn note_head(&self, head: &ResponseHead) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if head.leaving {
            self.worker.note_stopping(attempt.head.agent);
        }
        let seen = Answered {
            engine: head.engine_incarnation,
            matched_blocks: head.matched_blocks,
            sent_at_us: attempt.sent_at_us,
        };
        let metrics = &self.worker.context.metrics;
        metrics
            .matched_blocks
            .inc_by(u64::from(head.matched_blocks));
        metrics.prompt_blocks.inc_by(u64::from(head.prompt_blocks));
        let target = self.tried.last().copied();
        let entry = target.and_then(|target| self.request.config.target(target));
        if let Some(entry) = entry {
            let name = &entry.target.name;
            self.worker.note_answer(name, &self.prompt.blocks, seen);
        }
    }
}

/// A barred attempt shows to the caller as an overload, which is not run either.
const fn truthful(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::Barred | ErrorKind::WrongIncarnation | ErrorKind::WrongVersion => {
            ErrorKind::Overloaded
        }
        other => other,
    }
}
