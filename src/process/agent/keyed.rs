//! Requests with an idempotency key: claims, stored outcomes, replays.

use std::{
    cell::RefCell,
    sync::Arc, //
};

use bytes::BytesMut;

use super::{
    output::Output,
    runner::Runner, //
};
use crate::{
    connection::frame::ResponseHead,
    error::ErrorKind,
    process::at_most_once::{
        AttemptPermit, Queued,
        idempotency::{
            ClaimDecision,
            IdempotencyKeyId,
            StoredResponse, //
        },
        key_verification::verify_key,
    },
};

/// Largest answer that is stored; the key of a larger one is only remembered.
const MAX_STORED_BYTES: usize = 256 << 10;

/// Copy of an answer while it passes.
#[derive(Debug, Default)]
pub(super) struct Recording {
    answer: RefCell<Option<Recorded>>,
}

#[derive(Debug)]
struct Recorded {
    head: ResponseHead,
    body: BytesMut,
}

impl Recording {
    pub(super) fn start(&self, head: &ResponseHead) {
        *self.answer.borrow_mut() = Some(Recorded {
            head: head.clone(),
            body: BytesMut::new(),
        });
    }

    pub(super) fn append(&self, data: &[u8]) {
        let mut answer = self.answer.borrow_mut();
        if let Some(recorded) = &mut *answer {
            if recorded.body.len() + data.len() > MAX_STORED_BYTES {
                *answer = None;
            } else {
                recorded.body.extend_from_slice(data);
            }
        }
    }

    fn take(&self) -> Option<StoredResponse> {
        let recorded = self.answer.borrow_mut().take()?;
        Some(StoredResponse {
            status: recorded.head.status,
            headers: recorded.head.headers,
            body: recorded.body.freeze(),
        })
    }
}

impl Runner {
    /// Returns the stored outcome of the key, or `None` when the request has to
    /// run. Waits while another attempt runs the same request.
    pub(super) async fn claim(&self) -> Result<Option<Arc<StoredResponse>>, ErrorKind> {
        let Some(claim) = self.head.idempotency else {
            return Ok(None);
        };
        let traffic = &self.traffic;
        let deadline = traffic.context.clock.instant(self.expires_at_us);
        loop {
            let changed = traffic.keys_changed.notified();
            let now_us = traffic.context.clock.now_us();
            let verification = verify_key(&claim, traffic.context.claim_context());
            let claimed = {
                let mut keys = traffic.keys.borrow_mut();
                if traffic.context.members_changed_at_us() > 0 {
                    keys.note_members_changed(traffic.context.members_changed_at_us());
                }
                keys.claim(
                    IdempotencyKeyId(claim.key),
                    claim.request,
                    verification,
                    now_us,
                )
            };
            match claimed.map_err(|report| *report.current_context())? {
                ClaimDecision::Run => return Ok(None),
                ClaimDecision::Replay(outcome) => return Ok(Some(outcome)),
                ClaimDecision::Running => {}
            }
            let waited = tokio::time::timeout_at(deadline.into(), changed).await;
            // The other attempt runs the request, so this is no true "not run".
            waited.map_err(|_| ErrorKind::OutcomeUnknown)?;
        }
    }

    /// Answers with a stored outcome.
    pub(super) async fn replay(&self, attempt: AttemptPermit<Queued>, outcome: &StoredResponse) {
        let started = self.traffic.attempt_table.borrow_mut().start(attempt);
        let Ok(running) = started else {
            self.output.fail(ErrorKind::Barred);
            return;
        };
        self.output.set_head(self.replayed_head(outcome));
        let written = self.output.write(outcome.body.clone()).await;
        let failure = written.err().map(|report| *report.current_context());
        end(&self.output, failure);
        self.traffic
            .attempt_table
            .borrow_mut()
            .finish(running, failure);
    }

    fn replayed_head(&self, outcome: &StoredResponse) -> ResponseHead {
        ResponseHead {
            status: outcome.status,
            headers: outcome.headers.clone(),
            matched_blocks: 0,
            prompt_blocks: 0,
            engine_incarnation: self.traffic.context.engine(),
            queued_us: 0,
            version: self.head.version.clone(),
            leaving: self.traffic.context.is_leaving(),
        }
    }

    /// Gives the key back, because the attempt did not run.
    pub(super) fn release_key(&self) {
        if let Some(claim) = self.head.idempotency {
            self.traffic
                .keys
                .borrow_mut()
                .release(IdempotencyKeyId(claim.key));
            self.traffic.keys_changed.notify_waiters();
        }
    }

    /// Stores the outcome of the attempt, which has run.
    pub(super) fn store_outcome(&self, failure: Option<ErrorKind>) {
        let Some(claim) = self.head.idempotency else {
            return;
        };
        let outcome = match failure {
            None => self.recording.take(),
            Some(_) => None,
        };
        let now_us = self.traffic.context.clock.now_us();
        let mut keys = self.traffic.keys.borrow_mut();
        keys.store(IdempotencyKeyId(claim.key), outcome, now_us);
        drop(keys);
        self.traffic.keys_changed.notify_waiters();
    }
}

/// Ends a stream.
pub(super) fn end(output: &Output, failure: Option<ErrorKind>) {
    match failure {
        None => output.finish(),
        Some(kind) => output.fail(kind),
    }
}
