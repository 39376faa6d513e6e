//! Import of KV cache blocks from the store and export to it, with real
//! processes.

mod support;

use serde_json::{
    Value,
    json, //
};
use support::fleet::{
    ACME_KEY,
    Answer,
    BRAZOS_KEY,
    Fleet,
    Plan,
    Process,
    completion,
    eventually,
    get,
    post,
    put,
    reference,
    ticket, //
};
use yuccalatch::{
    clock::Clock,
    request::prompt::Namespace, //
};

/// Whole blocks of [`prompt`].
const BLOCKS: u64 = 10;

/// Slow enough that an import is worthwhile, and fast enough for a test.
const PREFILL_TOKENS_PER_S: u32 = 50_000;

/// A store, engines that use it, and the entries.
struct Deployment {
    store: Process,
    fleet: Fleet,
}

/// Returns a prompt of ten blocks and a part of one.
fn prompt(number: usize) -> String {
    let text = format!("prompt {number} of the transfers ");
    let mut prompt = text.repeat(41_000 / text.len() + 1);
    prompt.truncate(41_000);
    prompt
}

impl Deployment {
    fn start(engines: usize) -> Self {
        let store = Process::start(
            env!("CARGO_BIN_EXE_yuccalatch-standin"),
            &json!({"kind": "kv_store", "address": "127.0.0.1:0",
                "log": {"format": "json", "level": "info"}}),
        );
        let fleet = Fleet::start(&Plan {
            engines,
            agent: json!({"kv_store_address": store.address("address"),
                "checks_fencing": false}),
            engine: json!({"decode_tokens_per_s": 2_000, "load_weights_ms": 50,
                "prefill_tokens_per_s": PREFILL_TOKENS_PER_S, "checks_fencing": false}),
            ..Plan::default()
        });
        Self { store, fleet }
    }

    fn send(&self, key: &str, prompt: &str) -> Answer {
        let body = completion(prompt, 4, false);
        post(self.fleet.caller(0), "/v1/completions", key, &body)
    }

    /// Sends a prompt and checks that the answer is that of the version.
    fn answered(&self, key: &str, prompt: &str, version: &str) {
        let answer = self.send(key, prompt);
        assert_eq!(answer.status, 200, "{}", answer.text());
        let text = &answer.json()["choices"][0]["text"];
        assert_eq!(*text, reference(version, prompt, 4));
    }

    /// Returns the namespaces of the blocks in the store.
    fn stored(&self) -> Vec<Namespace> {
        let blocks = get(self.store.address("address"), "/blocks").json();
        let namespace = |block: &Value| block["namespace"].as_str().unwrap().parse().unwrap();
        blocks.as_array().unwrap().iter().map(namespace).collect()
    }

    fn stored_of(&self, organisation: &str, version: &str) -> usize {
        let namespace = Namespace::derive(organisation, version);
        let stored = self.stored();
        stored.iter().filter(|stored| **stored == namespace).count()
    }

    /// Returns a counter of the agent of a target.
    fn counter(&self, target: usize, name: &str) -> u64 {
        let agent = &self.fleet.targets[target].agent;
        let metrics = get(agent.address("admin_address"), "/metrics").text();
        let line = metrics
            .lines()
            .find_map(|line| line.strip_prefix(&format!("yuccalatch_{name}_total ")));
        line.unwrap().parse().unwrap()
    }

    fn imported(&self) -> u64 {
        let targets = 0..self.fleet.targets.len();
        targets
            .map(|target| self.counter(target, "imported_blocks"))
            .sum()
    }

    fn failed_imports(&self) -> u64 {
        let targets = 0..self.fleet.targets.len();
        targets
            .map(|target| self.counter(target, "failed_imports"))
            .sum()
    }

    /// Returns the matched blocks of each request that a target has received with
    /// this prompt.
    fn matched(&self, target: usize, prompt: &str) -> Vec<u64> {
        let received = self.fleet.targets[target].received();
        let of_prompt = |request: &&Value| {
            let body = request["body"].as_str().unwrap();
            serde_json::from_str::<Value>(body).unwrap()["prompt"] == prompt
        };
        let requests = received.as_array().unwrap().iter().filter(of_prompt);
        requests
            .map(|request| request["matched_blocks"].as_u64().unwrap())
            .collect()
    }

    /// Uses a prompt until its blocks are in the store, and returns the target
    /// that computed them.
    fn export(&self, prompt: &str) -> usize {
        eventually("the prompt is exported", || {
            self.answered(ACME_KEY, prompt, "v1");
            self.stored_of("acme", "v1") as u64 == BLOCKS
        });
        let holds = |target: &usize| !self.matched(*target, prompt).is_empty();
        let targets: Vec<usize> = (0..self.fleet.targets.len()).filter(holds).collect();
        assert_eq!(targets.len(), 1, "the prompt has moved between targets");
        targets[0]
    }

    fn set_store_faults(&self, faults: &Value) {
        let answer = put(self.store.address("address"), "/faults", faults);
        assert_eq!(answer.status, 204, "{}", answer.text());
    }

    /// Moves the service to `v2` and waits until it is done.
    fn move_to_v2(&self) {
        let finish_by_unix_ms = Clock::start().unix_ms() + 80_000;
        let set = json!([
            {"version": {"name": "v2", "service": "draft", "weights": "oak/2"}},
            {"move": {"name": "to-v2", "service": "draft", "from": "v1", "to": "v2",
                "finish_by_unix_ms": finish_by_unix_ms, "quietest_requests_per_min": 1_000_000,
                "pace": {"shortest_step_ms": 300, "step_overhead_ms": 300, "settle_ms": 1_000}}},
        ]);
        self.fleet.submit(&ticket(2, &set, &json!([])));
        eventually("the move is done", || {
            self.send(ACME_KEY, "a short prompt");
            let status = self.fleet.status(0);
            status
                .moves
                .first()
                .is_some_and(|status| status.state == "done")
        });
    }
}

/// Guards against a prefix that is computed again after the death of the engine
/// that had it, and against blocks that reach another organisation.
#[test]
fn dead_engine() {
    let mut deployment = Deployment::start(2);
    let prompt = prompt(0);
    let dead = deployment.export(&prompt);
    assert_eq!(deployment.imported(), 0);
    let standin = &mut deployment.fleet.targets[dead].standin;
    standin.signal("KILL");
    standin.wait();
    let imported = |deployment: &Deployment| deployment.counter(1 - dead, "imported_blocks");

    deployment.answered(BRAZOS_KEY, &prompt, "v1");
    assert_eq!(imported(&deployment), 0);
    deployment.answered(ACME_KEY, &prompt, "v1");
    assert_eq!(imported(&deployment), BLOCKS);
}

/// Guards against blocks of the older weights in the cache of the newer ones.
#[test]
fn older_weights() {
    let deployment = Deployment::start(1);
    let prompt = prompt(1);
    deployment.export(&prompt);
    deployment.move_to_v2();
    let before = deployment.matched(0, &prompt).len();
    deployment.answered(ACME_KEY, &prompt, "v2");
    assert_eq!(deployment.matched(0, &prompt)[before], 0);
    assert_eq!(deployment.imported(), 0);
    assert_eq!(deployment.stored_of("acme", "v1") as u64, BLOCKS);
}

/// Guards against requests that fail because the store is gone.
#[test]
fn dead_store() {
    let mut deployment = Deployment::start(1);
    deployment.export(&prompt(2));
    deployment.store.signal("KILL");
    deployment.store.wait();
    for number in 0..4 {
        deployment.answered(ACME_KEY, &prompt(10 + number), "v1");
        deployment.answered(ACME_KEY, &prompt(10 + number), "v1");
    }
    assert!(deployment.failed_imports() > 0);
    assert_eq!(deployment.imported(), 0);
    eventually("the failed export is counted", || {
        deployment.counter(0, "failed_exports") > 0
    });
}

/// Guards against requests that wait for a store that does not answer.
#[test]
fn silent_store() {
    let deployment = Deployment::start(1);
    deployment.set_store_faults(&json!({"hang": true}));
    for number in 0..4 {
        deployment.answered(ACME_KEY, &prompt(20 + number), "v1");
    }
    assert!(deployment.failed_imports() > 0);
    assert_eq!(deployment.imported(), 0);
}

/// Guards against the use of blocks whose data is not whole.
#[test]
fn damaged_block() {
    let mut deployment = Deployment::start(2);
    let prompt = prompt(3);
    let dead = deployment.export(&prompt);
    let standin = &mut deployment.fleet.targets[dead].standin;
    standin.signal("KILL");
    standin.wait();
    deployment.set_store_faults(&json!({"cut_data": true}));
    deployment.answered(ACME_KEY, &prompt, "v1");
    assert_eq!(deployment.matched(1 - dead, &prompt), [0]);
    assert_eq!(deployment.counter(1 - dead, "imported_blocks"), 0);
    assert!(deployment.counter(1 - dead, "failed_imports") > 0);
}

/// Guards against blocks of an export that the death of the engine has cut short.
#[test]
fn cut_export() {
    let mut deployment = Deployment::start(2);
    let prompt = prompt(4);
    deployment.set_store_faults(&json!({"slow_ms": 200}));
    eventually("the export has begun", || {
        deployment.answered(ACME_KEY, &prompt, "v1");
        deployment.stored_of("acme", "v1") > 0
    });
    let dead = usize::from(deployment.matched(0, &prompt).is_empty());
    let standin = &mut deployment.fleet.targets[dead].standin;
    standin.signal("KILL");
    standin.wait();
    deployment.set_store_faults(&json!({}));
    deployment.answered(ACME_KEY, &prompt, "v1");
    let imported = deployment.counter(1 - dead, "imported_blocks");
    assert!(imported > 0);
    assert!(imported <= deployment.stored_of("acme", "v1") as u64);
    assert_eq!(deployment.matched(1 - dead, &prompt), [imported]);
}
