//! Guards against requests that are cut, or sent to a target that is leaving.

mod support;

use std::thread;

use serde_json::json;
use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    get,
    post,
    reference, //
};

const STREAMS: usize = 12;
const TOKENS: u64 = 400;

/// Returns the number of requests that an engine has received.
fn received(fleet: &Fleet, target: usize) -> usize {
    let answer = get(
        fleet.targets[target].standin.address("address"),
        "/received",
    );
    answer.json().as_array().unwrap().len()
}

fn prompt(number: usize) -> String {
    format!("order {number} of lumber")
}

#[test]
fn a_leaving_target_gets_nothing_new_and_cuts_nothing() {
    let mut fleet = Fleet::start(&Plan {
        entries: 2,
        engines: 2,
        engine: json!({"decode_tokens_per_s": 100, "prefill_tokens_per_s": 100_000}),
        ..Plan::default()
    });
    for entry in 0..2 {
        eventually("the entry knows both targets", || {
            fleet.status(entry).targets.len() == 2
        });
    }
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let caller = fleet.caller(number % 2);
            thread::spawn(move || {
                let body = completion(&prompt(number), TOKENS, true);
                post(caller, "/v1/completions", ACME_KEY, &body)
            })
        })
        .collect();
    eventually("all streams have started", || {
        received(&fleet, 0) + received(&fleet, 1) == STREAMS
    });
    assert!(received(&fleet, 0) > 0, "no stream runs on the target");

    fleet.targets[0].agent.signal("TERM");
    for entry in 0..2 {
        eventually("the entry knows that the target leaves", || {
            let status = fleet.status(entry);
            let mut targets = status.targets.iter();
            targets.any(|target| &*target.name == "engine-0" && target.leaving)
        });
    }
    let before = received(&fleet, 0);
    for number in 0..20 {
        let body = completion(&prompt(100 + number), 2, false);
        let answer = post(fleet.caller(number % 2), "/v1/completions", ACME_KEY, &body);
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(received(&fleet, 0), before);

    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream.join().unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        let expected = reference("v1", &prompt(number), TOKENS);
        assert_eq!(answer.streamed_text(), expected);
        assert!(answer.text().ends_with("data: [DONE]\n\n"));
    }
    assert!(fleet.targets[0].agent.wait(), "the agent failed");
}
