//! Guards against an explanation that differs from what the entry would do.

mod support;

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    get,
    post, //
};
use yuccalatch::operator::{
    remote,
    status::{
        ExplainRequest,
        Explanation, //
    },
};

fn explain(fleet: &Fleet, organisation: Option<&str>, prompt: &str) -> Explanation {
    let address = fleet.entries[0].address("control_address");
    let request = ExplainRequest {
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        model: Some("oak".into()),
        organisation: organisation.map(Into::into),
        prompt: prompt.to_owned(),
    };
    System::new("explain", DefaultRuntime)
        .block_on(async move { remote::explain(address, &request, 10_000).await.unwrap() })
}

#[test]
fn an_explanation_names_the_decision_and_runs_nothing() {
    let fleet = Fleet::start(&Plan::default());
    let prompt = "spec sheet ".repeat(800);
    let body = completion(&prompt, 2, false);
    let answer = post(fleet.caller(0), "/v1/completions", ACME_KEY, &body);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let reply = explain(&fleet, Some("acme"), &prompt);
    assert_eq!(reply.refused, None);
    assert_eq!(reply.route.as_deref(), Some("text"));
    assert_eq!(reply.version.as_deref(), Some("v1"));
    assert_eq!(reply.prompt_blocks, 2);
    assert_eq!(reply.candidates.len(), 1);
    assert!(reply.candidates[0].is_chosen);
    assert_eq!(reply.candidates[0].matched_blocks, 2);
    let refused = explain(&fleet, None, &prompt).refused;
    assert_eq!(refused.as_deref(), Some("unknown_key"));
    let engine = fleet.targets[0].standin.address("address");
    assert_eq!(get(engine, "/received").json().as_array().unwrap().len(), 1);
}
