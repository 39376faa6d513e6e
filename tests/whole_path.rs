//! Guards against a path from caller to target that does not serve.

mod support;

use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    get,
    post,
    reference, //
};

#[test]
fn streamed_and_whole_completions_match_the_reference() {
    let fleet = Fleet::start(&Plan::default());
    let prompt = "spec sheet ".repeat(800);
    let expected = reference("v1", &prompt, 20);

    let streamed = post(
        fleet.caller(0),
        "/v1/completions",
        ACME_KEY,
        &completion(&prompt, 20, true),
    );
    assert_eq!(streamed.status, 200, "{}", streamed.text());
    assert_eq!(streamed.streamed_text(), expected);
    assert!(streamed.text().ends_with("data: [DONE]\n\n"));

    let whole = post(
        fleet.caller(0),
        "/v1/completions",
        ACME_KEY,
        &completion(&prompt, 20, false),
    );
    assert_eq!(whole.json()["choices"][0]["text"], expected);
    let metrics = get(fleet.entries[0].address("admin_address"), "/metrics").text();
    assert!(
        metrics.contains("yuccalatch_matched_blocks_total 2"),
        "the second request did not hit the cache:\n{metrics}"
    );
}
