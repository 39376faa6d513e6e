//! One request of a trace and what is seen of its answer.

use std::net::SocketAddr;

use futures_util::StreamExt;
use ntex::client::{
    Client,
    ClientResponse, //
};
use serde_json::Value;

use super::ANSWER_WITHIN;
use crate::{
    clock::Clock,
    process::client,
    replay::{
        outcome::Observed,
        trace::TraceRequest, //
    },
    request::{
        headers::{
            MATCHED_BLOCKS,
            PROMPT_BLOCKS, //
        },
        openai::sse::SseParser, //
    },
};

/// Sends a request and reads its answer to the end.
pub(super) async fn call(
    client: &Client,
    clock: Clock,
    address: SocketAddr,
    request: &TraceRequest,
) -> Observed {
    let mut observed = Observed::default();
    let started_us = clock.now_us();
    let answer = read_answer(client, clock, address, request, &mut observed);
    // A timeout leaves the answer incomplete.
    let _ = tokio::time::timeout(ANSWER_WITHIN, answer).await;
    observed.total_us = clock.now_us() - started_us;
    observed
}

async fn read_answer(
    client: &Client,
    clock: Clock,
    address: SocketAddr,
    request: &TraceRequest,
    observed: &mut Observed,
) -> Option<()> {
    let started_us = clock.now_us();
    let method = request.method.parse().ok()?;
    let url = client::url(address, &request.path);
    let mut sent = client.request(method, url);
    if let Some(key) = &request.key {
        sent = sent.header("authorization", format!("Bearer {key}"));
    }
    let response = sent
        .header("content-type", "application/json")
        .send_body(request.body_text())
        .await
        .ok()?;
    observed.status = response.status().as_u16();
    observed.matched_blocks = number(&response, MATCHED_BLOCKS);
    observed.prompt_blocks = number(&response, PROMPT_BLOCKS);
    let mut body = Body::default();
    let mut payload = response.take_payload();
    let mut last_us = None;
    while let Some(part) = payload.next().await {
        let part = part.ok()?;
        let now_us = clock.now_us();
        match last_us.replace(now_us) {
            None => observed.first_us = Some(now_us - started_us),
            Some(last_us) => observed.between_us.push(now_us - last_us),
        }
        body.push(&part);
    }
    body.finish(&response, observed);
    Some(())
}

fn number(response: &ClientResponse, name: &str) -> u32 {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Body of an answer, as events or as a whole.
#[derive(Default)]
struct Body {
    raw: Vec<u8>,
    parser: SseParser,
    text: String,
    error: Option<String>,
    is_done: bool,
}

impl Body {
    fn push(&mut self, part: &[u8]) {
        self.raw.extend_from_slice(part);
        for event in self.parser.push(part).unwrap_or_default() {
            let Some(data) = event.data else {
                continue;
            };
            if data.trim_ascii() == b"[DONE]" {
                self.is_done = true;
            } else if let Ok(value) = serde_json::from_slice::<Value>(&data) {
                self.read(&value);
            }
        }
    }

    fn read(&mut self, value: &Value) {
        let choice = &value["choices"][0];
        let texts = [
            &choice["text"],
            &choice["delta"]["content"],
            &choice["message"]["content"],
        ];
        if let Some(text) = texts.into_iter().find_map(Value::as_str) {
            self.text.push_str(text);
        }
        if let Some(kind) = value["error"]["kind"].as_str() {
            self.error = Some(kind.to_owned());
        }
    }

    fn finish(mut self, response: &ClientResponse, observed: &mut Observed) {
        let content_type = response.headers().get("content-type");
        let is_events =
            content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event"));
        if !is_events && let Ok(value) = serde_json::from_slice::<Value>(&self.raw) {
            self.read(&value);
        }
        observed.complete = !is_events || (self.is_done && self.error.is_none());
        observed.text = self.text;
        observed.kind = self.error.map(|kind| kind.as_str().into());
    }
}
