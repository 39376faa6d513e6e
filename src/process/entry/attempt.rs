//! One attempt of a request at one agent, as the entry sees it.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::BytesMut;
use error_stack::Report;
use futures_util::StreamExt;
use ntex::{
    client::{
        ClientRequest,
        ClientResponse, //
    },
    http::{
        Payload,
        body::Body, //
    },
    util::Bytes, //
};
use slog::info;

use super::worker::Worker;
use crate::{
    connection::{
        attempt::{
            ATTEMPT_HEADER,
            AttemptHead,
            UPLOAD_HEADER, //
        },
        frame,
        liveness::{
            HEARTBEAT_US,
            MISSED_HEARTBEATS, //
        },
        reassembly::{
            Reassembly,
            ResponsePart, //
        },
    },
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    process::{
        agent::BarAnswer,
        client,
        upload::Upload, //
    },
};

/// Time without a frame after which a connection counts as silent.
const SILENCE: Duration = Duration::from_micros(HEARTBEAT_US * MISSED_HEARTBEATS);

/// New connections in a row that are tried for one stream before it is given
/// up. Three cover the silence of a link for about five seconds.
const MAX_RESUMES: u32 = 3;

/// Body of an attempt.
pub(super) enum Outgoing {
    /// One that can be sent again.
    Kept(Bytes),
    /// One that passes through.
    Upload(Rc<Upload>),
}

/// One attempt of a request at one agent.
pub(super) struct Attempt {
    worker: Rc<Worker>,
    address: SocketAddr,
    pub(super) head: AttemptHead,
    pub(super) sent_at_us: u64,
    payload: Option<Payload>,
    buffer: BytesMut,
    reassembly: Reassembly,
    resumes: u32,
    acknowledgement_lost: Rc<Cell<bool>>,
    /// Whether the connection was refused before a byte of the attempt was sent.
    pub(super) is_unsent: bool,
}

impl Attempt {
    /// Sends an attempt and returns when the agent has accepted the request. A
    /// retry opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::PeerUnavailable`] when the connection broke or went
    /// silent, in which case the attempt may have started.
    pub(super) async fn send(
        worker: &Rc<Worker>,
        address: SocketAddr,
        head: AttemptHead,
        headers: &[(String, String)],
        body: Outgoing,
        is_retry: bool,
    ) -> (Self, Result<()>) {
        let mut attempt = Self {
            worker: Rc::clone(worker),
            address,
            sent_at_us: worker.context.clock.now_us(),
            payload: None,
            buffer: BytesMut::new(),
            reassembly: Reassembly::new(),
            resumes: 0,
            acknowledgement_lost: Rc::default(),
            is_unsent: false,
            head,
        };
        let sent = attempt.post(headers, body, is_retry).await;
        (attempt, sent)
    }

    async fn post(
        &mut self,
        headers: &[(String, String)],
        body: Outgoing,
        is_retry: bool,
    ) -> Result<()> {
        let mut request = if is_retry {
            // Other kept connections may have gone silent like the first.
            self.fresh("POST", "/attempts")
        } else {
            self.worker
                .client
                .post(client::url(self.address, "/attempts"))
        };
        for (name, value) in headers {
            request = request.header(name.as_str(), value.as_str());
        }
        request = request.set_header(ATTEMPT_HEADER, self.head.encode()?);
        let lost = || Report::new(ErrorKind::PeerUnavailable);
        let (body, limit) = match body {
            Outgoing::Kept(body) => (body.into(), SILENCE),
            Outgoing::Upload(upload) => {
                request = request.set_header(UPLOAD_HEADER, "1");
                // The caller sets the pace; the request's deadline is the bound.
                let limit = Duration::from_millis(self.head.budget_ms) + SILENCE;
                (upload.body(), limit)
            }
        };
        let answer = tokio::time::timeout(limit, request.send_body::<Body>(body)).await;
        let response = answer.map_err(|_| lost())?.map_err(|error| {
            self.is_unsent = client::is_unsent(&error);
            lost()
        })?;
        self.use_response(&response)
    }

    fn use_response(&mut self, response: &ClientResponse) -> Result<()> {
        if !response.status().is_success() {
            return Err(Report::new(ErrorKind::PeerUnavailable));
        }
        self.payload = Some(response.take_payload());
        self.buffer.clear();
        Ok(())
    }

    /// Returns the next part of the answer, resuming on a new connection when
    /// the present one breaks or goes silent after the head.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::PeerUnavailable`] when the stream cannot be read,
    /// [`ErrorKind::StreamBroken`] when it violates the protocol.
    pub(super) async fn next(&mut self) -> Result<ResponsePart> {
        loop {
            match self.read_frame().await {
                Ok(ResponsePart::Nothing) => self.acknowledge(),
                Ok(accepted) => {
                    self.resumes = 0;
                    self.acknowledge();
                    return Ok(accepted);
                }
                Err(report) if *report.current_context() == ErrorKind::PeerUnavailable => {
                    self.resume().await?;
                }
                Err(report) => return Err(report),
            }
        }
    }

    /// Returns the first part of the answer. A broken connection is reported,
    /// because the attempt has to be settled before it is resumed.
    ///
    /// # Errors
    ///
    /// Returns the same kinds as [`Self::next`].
    pub(super) async fn next_unresumed(&mut self) -> Result<ResponsePart> {
        loop {
            match self.read_frame().await? {
                ResponsePart::Nothing => {}
                accepted => {
                    self.acknowledge();
                    return Ok(accepted);
                }
            }
        }
    }

    async fn read_frame(&mut self) -> Result<ResponsePart> {
        loop {
            if let Some(frame) = frame::decode(&mut self.buffer)? {
                return self.reassembly.accept(frame);
            }
            let lost = || Report::new(ErrorKind::PeerUnavailable);
            let payload = self.payload.as_mut().ok_or_else(lost)?;
            let part = tokio::time::timeout(SILENCE, payload.next()).await;
            let part = part.ok().flatten().ok_or_else(lost)?;
            self.buffer.extend_from_slice(&part.map_err(|_| lost())?);
        }
    }

    /// Continues the stream on a new connection.
    pub(super) async fn resume(&mut self) -> Result<()> {
        self.payload = None;
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let (id, from) = (self.head.id, self.reassembly.next_sequence());
            info!(self.worker.context.log, "stream is resumed";
                "event" => Event::StreamResumed,
                "request_id" => %self.head.request_id,
                "attempt" => %id, "from" => from);
            self.worker.context.metrics.resumed_streams.inc();
            let path = format!("/attempts/{id}/frames?from={from}");
            let request = self.fresh("GET", &path);
            match within(SILENCE, request.send()).await {
                Ok(response) => return self.use_response(&response),
                Err(_) => tokio::time::sleep(Duration::from_micros(HEARTBEAT_US)).await,
            }
        }
        Err(Report::new(ErrorKind::OutcomeUnknown))
    }

    /// Asks the agent to make sure that the attempt does not start.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::OutcomeUnknown`] when the agent cannot be reached.
    pub(super) async fn bar(&self) -> Result<BarAnswer> {
        let path = format!("/attempts/{}/bar?agent={}", self.head.id, self.head.agent);
        for _ in 0..MAX_RESUMES {
            let request = self.fresh("POST", &path);
            if let Ok(response) = within(SILENCE, request.send()).await
                && let Ok(answer) = client::read_json(&response).await
            {
                return Ok(answer);
            }
            tokio::time::sleep(Duration::from_micros(HEARTBEAT_US)).await;
        }
        Err(Report::new(ErrorKind::OutcomeUnknown))
    }

    fn fresh(&self, method: &str, path: &str) -> ClientRequest {
        let url = client::url(self.address, path);
        let client = &self.worker.fresh_client;
        if method == "GET" {
            client.get(url)
        } else {
            client.post(url)
        }
    }

    fn acknowledge(&mut self) {
        let was_lost = self.acknowledgement_lost.take();
        if was_lost {
            self.reassembly.record_lost_acknowledgement();
        }
        let Some(next) = self.reassembly.take_acknowledgement() else {
            return;
        };
        let path = format!("/attempts/{}/ack?next={next}", self.head.id);
        let request = if was_lost {
            self.fresh("POST", &path)
        } else {
            self.worker.client.post(client::url(self.address, &path))
        };
        let lost = Rc::clone(&self.acknowledgement_lost);
        ntex::rt::spawn(async move {
            // The agent stops reading from the target until it hears this, so a
            // lost one is sent again with the next frame or heartbeat.
            let answer = within(SILENCE, request.send()).await;
            lost.set(lost.get() || answer.is_err());
        });
    }
}

/// An attempt that nobody reads any more is cancelled if the route allows it to
/// run again; any other runs to its end.
impl Drop for Attempt {
    fn drop(&mut self) {
        if self.head.idempotent && !self.is_unsent && !self.reassembly.is_ended() {
            let path = format!("/attempts/{}/cancel", self.head.id);
            self.worker.cancel(client::url(self.address, &path));
        }
    }
}

async fn within<T, E>(
    limit: Duration,
    call: impl Future<Output = std::result::Result<T, E>>,
) -> Result<T> {
    let answer = tokio::time::timeout(limit, call).await;
    let lost = || Report::new(ErrorKind::PeerUnavailable);
    answer.map_err(|_| lost())?.map_err(|_| lost())
}
