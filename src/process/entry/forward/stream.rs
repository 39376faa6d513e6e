//! Passes the stream of a request on and continues it after a failure.

use error_stack::Report;
use ntex::util::Bytes;
use slog::info;

use super::{
    Call,
    Step, //
};
use crate::{
    connection::{
        frame::ResponseHead,
        reassembly::ResponsePart, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    request::{
        openai::{
            continuation::Continuation,
            stream::{
                CompletionStream,
                StreamEnd, //
            },
        },
        retry::{
            AttemptPhase,
            Recovery,
            choose_recovery, //
        },
    },
};

/// Last event of a stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

impl Call {
    /// Returns the next body bytes; `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns the failure when the stream cannot be completed.
    pub(in crate::process::entry) async fn next(&mut self) -> Result<Option<Bytes>> {
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
                Ok(ResponsePart::Data(data)) => {
                    let events = self.pass(&data)?;
                    if events.is_empty() {
                        // An empty chunk would end the response.
                        continue;
                    }
                    self.note_part();
                    return Ok(Some(events));
                }
                Ok(ResponsePart::End) if self.stream.is_none() => {
                    self.note_answer_of_version(false);
                    return Ok(None);
                }
                Ok(ResponsePart::End) => ErrorKind::TargetFailed,
                Ok(ResponsePart::Failed(kind)) => kind,
                Ok(ResponsePart::Head(_) | ResponsePart::Nothing) => continue,
                Err(report) => *report.current_context(),
            };
            // A generation that has ended needs only its end marker.
            let end = self.stream.as_ref().map(CompletionStream::end_state);
            match end {
                Some(StreamEnd::Complete) => {
                    self.note_answer_of_version(false);
                    return Ok(None);
                }
                Some(StreamEnd::DoneMissing) => {
                    self.note_answer_of_version(false);
                    return Ok(Some(self.end_marker()));
                }
                _ => {}
            }
            if !kind.is_not_run() {
                self.note_answer_of_version(true);
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

    fn note_part(&mut self) {
        let Some(stream) = &self.stream else {
            return;
        };
        let now_us = self.worker.context.clock.now_us();
        self.measure.note_part(now_us, stream.emitted_tokens());
    }

    fn end_marker(&mut self) -> Bytes {
        self.is_over = true;
        Bytes::from_static(END_MARKER)
    }

    /// Continues a generation on another target of the same version. Returns
    /// false when nothing is left to generate.
    async fn continue_elsewhere(&mut self, kind: ErrorKind) -> Result<bool> {
        let answer = choose_recovery(kind, AttemptPhase::Streaming, self.retryable());
        if answer != Recovery::Continue {
            return Err(Report::new(truthful_after_start(kind)));
        }
        self.spend_retry(truthful_after_start(kind))?;
        let (Some(stream), Some(completion)) = (&self.stream, &self.request.completion) else {
            return Err(Report::new(truthful_after_start(kind)));
        };
        match completion.build_continuation(stream.emitted_text(), stream.emitted_tokens())? {
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
    fn continues(&self, head: &ResponseHead) -> bool {
        head.status == 200 && self.version.as_ref() == Some(&head.version)
    }
}

/// After the caller has received a part, no kind may claim "not run".
pub(super) const fn truthful_after_start(kind: ErrorKind) -> ErrorKind {
    if kind.is_not_run() {
        ErrorKind::StreamBroken
    } else {
        kind
    }
}
