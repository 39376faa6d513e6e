//! Guards against an entry that does not ask agents and sends a prompt to a target
//! without its prefix.

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
    eventually,
    exchange,
    post,
    request, //
};
use yuccalatch::{
    process::rpc::{
        AgentApiClient,
        ProbeRequest,
        connect, //
    },
    request::prompt::{
        BlockSize,
        Namespace,
        hash_prompt, //
    },
};

/// So many that chance does not find all of them.
const PROMPTS: usize = 12;

fn prompt(round: usize, number: usize) -> String {
    format!("round {round} prompt {number} of the probes ").repeat(300)
}

/// Puts a prompt into the cache of one engine behind the back of the entry.
fn warm(fleet: &Fleet, target: usize, prompt: &str) {
    let namespace = Namespace::derive("acme", "v1").to_string();
    let headers = [
        ("x-cache-namespace", namespace.as_str()),
        ("content-type", "application/json"),
    ];
    let body = completion(prompt, 1, false).to_string();
    let address = fleet.targets[target].standin.address("address");
    let answer = exchange(
        address,
        &request("POST", "/v1/completions", &headers, &body),
    );
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn wait_indexed(fleet: &Fleet, target: usize, prompt: &str) {
    let namespace = Namespace::derive("acme", "v1");
    let size = BlockSize {
        tokens: 1_000,
        ..BlockSize::default()
    };
    let question = ProbeRequest {
        organisation: "acme".into(),
        weight: 1,
        namespace,
        blocks: hash_prompt(namespace, size, &[prompt.as_bytes()]).blocks,
    };
    let address = fleet.targets[target].agent.address("control_address");
    eventually("the agent has seen the cache events", || {
        let question = question.clone();
        System::new("probe", DefaultRuntime).block_on(async move {
            let client = connect(address).await.unwrap();
            client.probe(question).await.unwrap().matched_blocks > 0
        })
    });
}

fn hits(fleet: &Fleet) -> usize {
    let mut hits = 0;
    for target in &fleet.targets {
        let received = target.received();
        let requests = received.as_array().unwrap().iter();
        hits += requests.filter(|one| one["matched_blocks"] != 0).count();
    }
    hits
}

#[test]
fn cached_prefix_found() {
    let fleet = Fleet::start(&Plan {
        engines: 2,
        ..Plan::default()
    });
    let mut round = 0;
    // An answer may miss its bound of a few milliseconds on a busy machine.
    eventually("every cached prompt is found", || {
        round += 1;
        for number in 0..PROMPTS {
            warm(&fleet, number % 2, &prompt(round, number));
        }
        for number in 0..PROMPTS {
            wait_indexed(&fleet, number % 2, &prompt(round, number));
        }
        let before = hits(&fleet);
        for number in 0..PROMPTS {
            let body = completion(&prompt(round, number), 1, false);
            let answer = post(fleet.caller(0), "/v1/completions", ACME_KEY, &body);
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        hits(&fleet) == before + PROMPTS
    });
}
