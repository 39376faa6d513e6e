//! Guards against streams that lose, repeat or reorder text, or end without an error,
//! when an engine, an agent or a link fails.

mod support;

use serde_json::{
    Value,
    json, //
};
use support::fleet::{
    ACME_KEY,
    Answer,
    Exchange,
    Fleet,
    Plan,
    completion,
    eventually,
    post_request,
    reference, //
};

const TOKENS: u64 = 60;

const PROMPT: &str = "offer for twelve oak doors";

fn start(engines: usize, relayed: bool) -> Fleet {
    Fleet::start(&Plan {
        engines,
        relayed,
        engine: json!({"decode_tokens_per_s": 40, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    })
}

/// Starts a stream and returns it with the index of the target that serves it.
fn start_stream(fleet: &Fleet) -> (Exchange, usize) {
    let body = completion(PROMPT, TOKENS, true);
    let request = post_request("/v1/completions", ACME_KEY, &body);
    let mut stream = Exchange::start(fleet.caller(0), &request);
    stream.read_until("data: ", 4);
    let mut targets = fleet.targets.iter();
    let serving = targets.position(|target| target.received() != Value::Array(Vec::new()));
    (stream, serving.unwrap())
}

fn assert_reference(answer: &Answer) {
    assert_eq!(
        answer.streamed_text(),
        reference("v1", PROMPT, TOKENS),
        "{}",
        answer.text()
    );
    assert!(answer.text().ends_with("data: [DONE]\n\n"));
    assert!(answer.is_complete);
}

fn assert_explicit_error(answer: &Answer) {
    let text = answer.text();
    let expected = reference("v1", PROMPT, TOKENS);
    assert!(expected.starts_with(&answer.streamed_text()), "{text}");
    let last = text.trim_end().rsplit("\n\n").next().unwrap();
    assert!(last.starts_with("event: error\n"), "{text}");
    assert!(last.contains("\"not_run\":false"), "{text}");
    assert!(answer.is_complete);
}

/// Guards against text that ends early because its engine was killed: another target
/// has to continue it.
#[test]
fn killed_engine_keeps_text_complete() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].standin.signal("KILL");
    assert_reference(&stream.finish());
}

/// Guards against an incomplete stream that looks complete: without another engine to
/// continue it, it has to end in an error event.
#[test]
fn loss_of_only_engine_is_reported() {
    let fleet = start(1, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].standin.signal("KILL");
    assert_explicit_error(&stream.finish());
}

/// Guards against a stream that waits for its deadline because the engine stops
/// generating: the time between two tokens is bounded.
#[test]
fn hung_engine_does_not_stall_stream() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].set_faults(&json!({"hang_after_tokens": 1}));
    assert_reference(&stream.finish());
}

/// Guards against text that ends early because its agent was killed: when resuming
/// fails, another target has to continue it.
#[test]
fn killed_agent_keeps_text_complete() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].agent.signal("KILL");
    assert_reference(&stream.finish());
}

/// Guards against a stream that hangs because its connection carries no more data:
/// missed heartbeats reveal this, and a new connection resumes the stream.
#[test]
fn silent_connection_is_resumed() {
    let fleet = start(1, true);
    let (stream, _) = start_stream(&fleet);
    fleet.targets[0].relay().freeze_open();
    assert_reference(&stream.finish());
    // Another thread writes the log.
    eventually("the resumption is logged", || {
        fleet.entries[0].log_contains("YL3001")
    });
    assert!(!fleet.entries[0].log_contains("YL3002"));
}

/// Guards against a stream that hangs because new connections carry no data either:
/// the number of resumptions is bounded.
#[test]
fn link_that_stays_silent_is_reported() {
    let fleet = start(1, true);
    let (stream, _) = start_stream(&fleet);
    fleet.targets[0].relay().freeze();
    assert_explicit_error(&stream.finish());
}

/// Guards against text that is lost or repeated when a stream is resumed: chunks are
/// numbered.
#[test]
fn repeated_link_cuts_keep_text_exact() {
    let fleet = start(1, true);
    let (mut stream, _) = start_stream(&fleet);
    for events in [8, 12, 16, 20, 24, 28] {
        fleet.targets[0].relay().cut();
        stream.read_until("data: ", events);
    }
    assert_reference(&stream.finish());
}

/// Guards against an engine that goes on generating after the caller has
/// disconnected.
#[test]
fn disconnected_caller_cancels_generation() {
    let fleet = start(1, false);
    let (stream, _) = start_stream(&fleet);
    drop(stream);
    let agent = &fleet.targets[0].agent;
    eventually("the attempt is cancelled", || {
        agent.log_contains("outcome_unknown")
    });
}
