//! Runs a request: attempts, retries and the stream that follows.

use std::rc::Rc;

use error_stack::Report;
use ntex::util::Bytes;
use slog::info;

use super::{
    attempt::Attempt,
    request::Request,
    worker::{
        Answered,
        Worker, //
    },
};
use crate::{
    clock::US_PER_MS,
    connection::{
        attempt::{
            AttemptHead,
            MAX_HEAD_BLOCKS, //
        },
        frame::Head,
        liveness::{
            HEARTBEAT_US,
            MISSED_HEARTBEATS, //
        },
        reassembly::Accepted,
    },
    error::{
        ErrorKind,
        Execution,
        Result, //
    },
    event::Event,
    names::Name,
    process::agent::BarAnswer,
    request::{
        openai::{
            continuation::Continuation,
            stream::{
                CompletionStream,
                StreamEnd, //
            },
        },
        prompt::{
            BlockSize,
            Namespace,
            Prompt,
            cut, //
        },
        retry::{
            Phase,
            Recovery,
            Retryable,
            recovery, //
        },
    },
    version::config::TargetKey,
};

/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 4;

/// Bytes in an assumed token of a plain request.
const BYTES_PER_TOKEN: u64 = 4;

/// Output bound of a completion that states none.
const DEFAULT_OUTPUT_TOKENS: u32 = 1_024;

/// Last event of a stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// A request that is being run.
pub(super) struct Call {
    worker: Rc<Worker>,
    pub(super) request: Request,
    version: Option<Name>,
    prompt: Prompt,
    body: Bytes,
    tried: Vec<TargetKey>,
    attempt: Option<Attempt>,
    /// How the last attempt failed that may have run.
    loss: Option<ErrorKind>,
    /// Text of the stream so far, for a continuation elsewhere.
    stream: Option<CompletionStream>,
    /// Whether the end marker was passed in place of the target's own.
    is_over: bool,
}

/// Result of a step that may be repeated elsewhere.
enum Step {
    Headed(Head),
    Failed(ErrorKind, Phase),
}

impl Call {
    pub(super) fn new(worker: &Rc<Worker>, request: Request) -> Self {
        let body = request.body.clone();
        let stream = request.is_stream().then(CompletionStream::new);
        Self {
            worker: Rc::clone(worker),
            version: None,
            prompt: empty_prompt(),
            body,
            tried: Vec::new(),
            attempt: None,
            loss: None,
            stream,
            is_over: false,
            request,
        }
    }

    /// Returns the tokens that the request may use at most.
    pub(super) fn cost_tokens(&self) -> u64 {
        match &self.request.completion {
            Some(completion) => {
                completion.prompt_tokens() + completion.output_tokens(DEFAULT_OUTPUT_TOKENS)
            }
            None => 1 + self.request.body.len() as u64 / BYTES_PER_TOKEN,
        }
    }

    /// Sends attempts until one has a head.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller; its kind tells truthfully whether
    /// the request ran.
    pub(super) async fn start(&mut self) -> Result<Head> {
        self.worker.budget.borrow_mut().note_first_attempt();
        self.run_attempts().await
    }

    /// Starts again after a failure before anything was passed to the caller.
    ///
    /// # Errors
    ///
    /// Returns the same kinds as [`Self::start`].
    pub(super) async fn start_over(&mut self, kind: ErrorKind) -> Result<Head> {
        self.note_loss(kind, Phase::Headed);
        self.recover(kind, Phase::Headed)?;
        self.run_attempts().await
    }

    async fn run_attempts(&mut self) -> Result<Head> {
        let deadline = self.give_up_at();
        let head = tokio::time::timeout_at(deadline, self.try_all()).await;
        let head = head.unwrap_or_else(|_| Err(Report::new(ErrorKind::OutcomeUnknown)));
        head.map_err(|report| match self.loss {
            Some(loss) if report.current_context().is_not_run() => Report::new(loss),
            _ => report,
        })
    }

    async fn try_all(&mut self) -> Result<Head> {
        loop {
            let (kind, phase) = match self.try_once().await? {
                Step::Headed(head) => {
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
    fn note_loss(&mut self, kind: ErrorKind, phase: Phase) {
        if kind.is_not_run() || phase == Phase::Unsent {
            return;
        }
        self.loss = Some(match kind.answer().execution {
            Execution::Started => kind,
            Execution::NotRun | Execution::Unknown => ErrorKind::OutcomeUnknown,
        });
    }

    /// Decides whether the request may be tried again.
    fn recover(&self, kind: ErrorKind, phase: Phase) -> Result<()> {
        match recovery(kind, phase, self.retryable()) {
            Recovery::Answer => Err(Report::new(kind)),
            Recovery::AnswerUnknown => Err(Report::new(ErrorKind::OutcomeUnknown)),
            Recovery::OtherTarget if phase == Phase::Unsent => {
                self.spend_retry(ErrorKind::NoTarget)
            }
            Recovery::OtherTarget | Recovery::Continue => self.spend_retry(kind),
            // The attempt has already been settled and resumed.
            Recovery::Settle | Recovery::Resume => Err(Report::new(ErrorKind::OutcomeUnknown)),
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

    fn retryable(&self) -> Retryable {
        let route = self.request.config.route(self.request.route);
        Retryable {
            idempotent: route.is_some_and(|entry| entry.route.idempotent),
            continuable: self.stream.is_some(),
        }
    }

    async fn try_once(&mut self) -> Result<Step> {
        let target = self.next_target()?;
        self.tried.push(target);
        let (address, head) = self.attempt_head(target)?;
        let (attempt, sent) = Attempt::send(
            &self.worker,
            address,
            head,
            &self.request.headers,
            self.body.clone(),
        )
        .await;
        let is_unsent = attempt.is_unsent;
        self.attempt = Some(attempt);
        if is_unsent {
            return Ok(Step::Failed(ErrorKind::PeerUnavailable, Phase::Unsent));
        }
        let accepted = match sent {
            Ok(()) => self.read_first().await,
            Err(report) => Err(report),
        };
        match accepted {
            Ok(Accepted::Head(head)) => Ok(Step::Headed(head)),
            Ok(Accepted::Failed(ErrorKind::DuplicateAttempt)) => {
                self.settle(ErrorKind::DuplicateAttempt).await
            }
            Ok(Accepted::Failed(kind)) => Ok(Step::Failed(kind, Phase::Sent)),
            Ok(_) => Ok(Step::Failed(ErrorKind::StreamBroken, Phase::Headed)),
            Err(report) => self.settle(*report.current_context()).await,
        }
    }

    /// Finds out whether an attempt without an answer has started.
    async fn settle(&mut self, kind: ErrorKind) -> Result<Step> {
        let Some(attempt) = &mut self.attempt else {
            return Err(Report::new(ErrorKind::Internal));
        };
        let answer = match attempt.bar().await {
            Ok(answer) => answer,
            Err(_) => return Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled)),
        };
        match answer {
            BarAnswer::Barred => Ok(Step::Failed(ErrorKind::Barred, Phase::Settled)),
            BarAnswer::Unknown => Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled)),
            BarAnswer::Running | BarAnswer::Done => {
                if attempt.resume().await.is_err() {
                    return Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled));
                }
                // From here on the stream is resumed like any other.
                match attempt.next().await {
                    Ok(Accepted::Head(head)) => {
                        self.note_head(&head);
                        Ok(Step::Headed(head))
                    }
                    Ok(Accepted::Failed(kind)) => Ok(Step::Failed(kind, Phase::Settled)),
                    _ => Ok(Step::Failed(kind, Phase::Settled)),
                }
            }
        }
    }

    async fn read_first(&mut self) -> Result<Accepted> {
        let Some(attempt) = &mut self.attempt else {
            return Err(Report::new(ErrorKind::Internal));
        };
        let accepted = attempt.next_unresumed().await?;
        if let Accepted::Head(head) = &accepted {
            self.note_head(head);
        }
        Ok(accepted)
    }

    fn note_head(&self, head: &Head) {
        let Some(attempt) = &self.attempt else {
            return;
        };
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

    /// Returns the next body bytes; `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns the failure when the stream cannot be completed.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>> {
        let deadline = self.give_up_at();
        let part = tokio::time::timeout_at(deadline, self.next_part()).await;
        let part = part.unwrap_or_else(|_| Err(Report::new(ErrorKind::DeadlineExceeded)));
        part.map_err(|report| Report::new(truthful_after_start(*report.current_context())))
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>> {
        if self.is_over {
            return Ok(None);
        }
        loop {
            let accepted = match &mut self.attempt {
                Some(attempt) => attempt.next().await,
                None => Err(Report::new(ErrorKind::Internal)),
            };
            let kind = match accepted {
                Ok(Accepted::Data(data)) => {
                    let events = self.pass(&data)?;
                    if events.is_empty() {
                        // An empty chunk would end the response.
                        continue;
                    }
                    return Ok(Some(events));
                }
                Ok(Accepted::End) if self.stream.is_none() => return Ok(None),
                Ok(Accepted::End) => ErrorKind::TargetFailed,
                Ok(Accepted::Failed(kind)) => kind,
                Ok(Accepted::Head(_) | Accepted::Nothing) => continue,
                Err(report) => *report.current_context(),
            };
            // A generation that has ended needs only its end marker.
            let end = self.stream.as_ref().map(CompletionStream::end);
            match end {
                Some(StreamEnd::Complete) => return Ok(None),
                Some(StreamEnd::Unmarked) => return Ok(Some(self.end_marker())),
                _ => {}
            }
            if !self.continue_elsewhere(kind).await? {
                return Ok(Some(self.end_marker()));
            }
        }
    }

    /// Remembers the text that is passed on.
    fn pass(&mut self, data: &[u8]) -> Result<Bytes> {
        let Some(stream) = &mut self.stream else {
            return Ok(Bytes::copy_from_slice(data));
        };
        // Only whole events are passed, so that a continuation starts at an
        // event boundary.
        let events = stream.push(data)?;
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        Ok(Bytes::from(raw))
    }

    fn end_marker(&mut self) -> Bytes {
        self.is_over = true;
        Bytes::from_static(END_MARKER)
    }

    /// Continues a generation on another target of the same version. Returns
    /// false when nothing is left to generate.
    async fn continue_elsewhere(&mut self, kind: ErrorKind) -> Result<bool> {
        let answer = recovery(kind, Phase::Streaming, self.retryable());
        if answer != Recovery::Continue {
            return Err(Report::new(truthful_after_start(kind)));
        }
        self.spend_retry(truthful_after_start(kind))?;
        let (Some(stream), Some(completion)) = (&self.stream, &self.request.completion) else {
            return Err(Report::new(truthful_after_start(kind)));
        };
        match completion.continuation(stream.emitted(), stream.emitted_tokens())? {
            Continuation::Exhausted => return Ok(false),
            Continuation::Body(body) => self.body = Bytes::copy_from_slice(&body),
        }
        if let Some(stream) = &mut self.stream {
            stream.discard_partial_event();
        }
        info!(self.worker.context.log, "stream continues on another target";
            "event" => Event::StreamContinued,
            "request_id" => %self.request.id,
            "kind" => kind.name());
        self.start_continuation().await?;
        Ok(true)
    }

    async fn start_continuation(&mut self) -> Result<()> {
        loop {
            match self.try_once().await? {
                Step::Headed(head) if self.continues(&head) => return Ok(()),
                Step::Headed(_) => return Err(Report::new(ErrorKind::TargetFailed)),
                Step::Failed(kind, _) => self.spend_retry(truthful_after_start(kind))?,
            }
        }
    }

    /// A continuation on another version would mix the output of two.
    fn continues(&self, head: &Head) -> bool {
        head.status == 200 && self.version.as_ref() == Some(&head.version)
    }

    fn next_target(&mut self) -> Result<TargetKey> {
        let config = &self.request.config;
        let route = config.route(self.request.route);
        let service = route.map(|entry| entry.service);
        let service = service.ok_or_else(|| Report::new(ErrorKind::NoTarget))?;
        let version = match &self.version {
            Some(version) => Some(version.clone()),
            None => self.choose_version(),
        };
        if let Some(version) = &version {
            self.prompt = self.cut_prompt(version);
        }
        let placement = self
            .worker
            .place(config, service, version.as_deref(), &self.prompt.blocks);
        let untried = placement
            .ordered
            .into_iter()
            .find(|target| !self.tried.contains(target));
        let target = untried.ok_or_else(|| Report::new(ErrorKind::NoTarget))?;
        // All attempts of a request use one version, so that a stream never
        // mixes the output of two.
        self.version = version;
        Ok(target)
    }

    fn choose_version(&self) -> Option<Name> {
        let config = &self.request.config;
        let service = config.route(self.request.route)?.service;
        let target = config.targets_of(service).first()?;
        let version = config.target(*target)?.version;
        config.version(version).map(|version| version.name.clone())
    }

    fn cut_prompt(&self, version: &str) -> Prompt {
        let Some(completion) = &self.request.completion else {
            return empty_prompt();
        };
        let config = &self.request.config;
        let route = config.route(self.request.route);
        let service = route.and_then(|entry| config.service(entry.service));
        let size = BlockSize {
            tokens: service.map_or(1_000, |service| service.block_tokens),
            ..BlockSize::default()
        };
        let namespace = Namespace::derive(&self.request.organisation_name, version);
        let mut prompt = cut(namespace, size, &[&completion.prompt]);
        prompt.blocks.truncate(MAX_HEAD_BLOCKS);
        prompt
    }

    fn attempt_head(&self, target: TargetKey) -> Result<(std::net::SocketAddr, AttemptHead)> {
        let lost = || Report::new(ErrorKind::NoTarget);
        let context = &self.worker.context;
        let request = &self.request;
        let entry = request.config.target(target).ok_or_else(lost)?;
        let views = context.targets.load();
        let view = views.get(&entry.target.name).ok_or_else(lost)?;
        let now_us = context.clock.now_us();
        let left_us = request.expires_at_us.saturating_sub(now_us);
        if left_us < US_PER_MS {
            return Err(Report::new(ErrorKind::DeadlineBeforeStart));
        }
        let organisation = request.organisation;
        let weight = organisation.and_then(|key| request.config.organisation(key));
        let head = AttemptHead {
            id: context.next_attempt(),
            agent: view.agent,
            request_id: request.id.clone(),
            organisation: request.organisation_name.clone(),
            weight: weight.map_or(1, |organisation| organisation.weight),
            cost_tokens: self.cost_tokens(),
            version: self.version.clone().unwrap_or_else(|| "".into()),
            namespace: self.prompt.namespace,
            blocks: self.prompt.blocks.clone(),
            budget_ms: left_us / US_PER_MS,
            idempotent: self.retryable().idempotent,
            idempotency: None,
            method: request.method.clone(),
            path: request.path.clone(),
        };
        Ok((entry.target.address, head))
    }
}

fn empty_prompt() -> Prompt {
    Prompt {
        namespace: Namespace(0),
        blocks: Vec::new(),
        tokens: 0,
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

/// After the caller has received a part, no kind may claim "not run".
const fn truthful_after_start(kind: ErrorKind) -> ErrorKind {
    if kind.is_not_run() {
        ErrorKind::StreamBroken
    } else {
        kind
    }
}
