//! Guards against streams that lose, repeat or reorder text, or end in silence,
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

/// Starts a stream and returns it with the number of the target that serves it.
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

/// Without continuations the text would end early.
#[test]
fn engine_killed() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].standin.signal("KILL");
    assert_reference(&stream.finish());
}

/// Without an error event a cut stream would look complete.
#[test]
fn only_engine_killed() {
    let fleet = start(1, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].standin.signal("KILL");
    assert_explicit_error(&stream.finish());
}

/// Without a bound between tokens the stream would wait for the deadline.
#[test]
fn engine_hangs() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].set_faults(&json!({"hang_after_tokens": 1}));
    assert_reference(&stream.finish());
}

/// Without a continuation after failed resumptions the text would end early.
#[test]
fn agent_killed() {
    let fleet = start(2, false);
    let (stream, serving) = start_stream(&fleet);
    fleet.targets[serving].agent.signal("KILL");
    assert_reference(&stream.finish());
}

/// Without heartbeats and resumption a silent connection would hang the stream.
#[test]
fn link_silent() {
    let fleet = start(1, true);
    let (stream, _) = start_stream(&fleet);
    fleet.targets[0].relay().freeze_open();
    assert_reference(&stream.finish());
    assert!(fleet.entries[0].log_contains("YL3001"));
    assert!(!fleet.entries[0].log_contains("YL3002"));
}

/// Without a bound on resumptions a link that stays silent would hang the stream.
#[test]
fn link_stays_silent() {
    let fleet = start(1, true);
    let (stream, _) = start_stream(&fleet);
    fleet.targets[0].relay().freeze();
    assert_explicit_error(&stream.finish());
}

/// Without numbered chunks a resumption would lose or repeat text.
#[test]
fn link_cut_often() {
    let fleet = start(1, true);
    let (mut stream, _) = start_stream(&fleet);
    for events in [8, 12, 16, 20, 24, 28] {
        fleet.targets[0].relay().cut();
        stream.read_until("data: ", events);
    }
    assert_reference(&stream.finish());
}

/// Without cancellation an engine would generate for a caller that has gone.
#[test]
fn caller_gone() {
    let fleet = start(1, false);
    let (stream, _) = start_stream(&fleet);
    drop(stream);
    let agent = &fleet.targets[0].agent;
    eventually("the attempt is cancelled", || {
        agent.log_contains("outcome_unknown")
    });
}
