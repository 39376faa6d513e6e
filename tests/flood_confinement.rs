//! Guards against an organisation far above its rate that evicts the cached
//! blocks of the others on every target.

mod support;

use support::fleet::{
    ACME_KEY,
    BRAZOS_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    post, //
};
use yuccalatch::version::ticket::Ticket;

/// A quarter of all rates: half of that share is one of six engines.
const RATE_TOKENS_PER_S: u64 = 2_000;

/// About 2,000 tokens; a prompt shorter than a block leaves nothing in a cache
/// and is not confined.
const PROMPT_CHARACTERS: usize = 8_000;

/// At 2,000 tokens each, several times what the rate allows at once.
const FLOOD_REQUESTS: usize = 40;

fn rates() -> Ticket {
    let organisation = |name: &str, rate_tokens_per_s: u64| {
        serde_json::json!({"organisation": {"name": name, "weight": 1,
            "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": 1_000_000}})
    };
    serde_json::from_value(serde_json::json!({
        "ticket": 2, "author": "test", "comment": "comparable rates",
        "set": [organisation("acme", RATE_TOKENS_PER_S),
            organisation("brazos", 3 * RATE_TOKENS_PER_S)],
        "remove": []
    }))
    .unwrap()
}

/// Sends prompts without a common prefix.
fn send(fleet: &Fleet, key: &str, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let prompt = format!("{number:04}{}", "p".repeat(PROMPT_CHARACTERS));
        let body = completion(&prompt, 2, false);
        let answer = post(fleet.caller(0), "/v1/completions", key, &body);
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

/// Returns on how many engines the requests of `send` arrive.
fn engines_used(fleet: &Fleet, key: &str, numbers: std::ops::Range<usize>) -> usize {
    let counts = || -> Vec<usize> {
        let received = fleet.targets.iter().map(|target| target.received());
        received.map(|value| value.to_string().len()).collect()
    };
    let before = counts();
    send(fleet, key, numbers);
    let after = counts();
    before.iter().zip(&after).filter(|(a, b)| a != b).count()
}

#[test]
fn flood_stays_on_few_engines() {
    let fleet = Fleet::start(&Plan {
        engines: 6,
        ..Plan::default()
    });
    send(&fleet, ACME_KEY, 0..1);
    fleet.submit(&rates());
    eventually("the entry has the ticket", || {
        fleet.entries[0].log_contains("\"revision\":2")
    });
    send(&fleet, ACME_KEY, 1..FLOOD_REQUESTS);
    let flooded = FLOOD_REQUESTS..FLOOD_REQUESTS + 20;
    assert_eq!(engines_used(&fleet, ACME_KEY, flooded), 1);
    assert!(engines_used(&fleet, BRAZOS_KEY, 0..20) > 1);
}
