//! Starts the programs as separate processes on loopback.

use std::net::SocketAddr;

pub(crate) use super::{
    http::{
        Answer,
        Exchange,
        completion,
        exchange,
        get,
        parse,
        post,
        post_request,
        put,
        reference,
        request, //
    },
    process::{
        Process,
        eventually, //
    },
};

use super::relay::Relay;
use ntex::rt::{
    DefaultRuntime,
    System, //
};
use serde_json::{
    Value,
    json, //
};
use yuccalatch::{
    clock::Clock,
    operator::{
        remote,
        status::FleetStatus, //
    },
    process::platform::{
        Platform,
        configuration::submit, //
    },
    version::{
        config::Fold,
        keys::digest_of,
        ticket::Ticket, //
    },
};

/// Key of the organisation `acme` in the tests.
pub(crate) const ACME_KEY: &str = "sk-acme-0123456789abcdef";

/// Key of the organisation `brazos` in the tests.
pub(crate) const BRAZOS_KEY: &str = "sk-brazos-fedcba9876543210";

/// Shape of a fleet.
pub(crate) struct Plan {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) plains: usize,
    /// Data centres, over which entries and targets are spread in turn.
    pub(crate) data_centres: usize,
    /// Whether a relay stands between the entries and each agent.
    pub(crate) relayed: bool,
    /// Fields that are added to the settings of the entries.
    pub(crate) entry: Value,
    /// Fields that are added to the settings of the agents.
    pub(crate) agent: Value,
    /// Fields that replace the defaults of the engines.
    pub(crate) engine: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 1,
            plains: 0,
            data_centres: 1,
            relayed: false,
            entry: json!({}),
            agent: json!({}),
            engine: json!({"decode_tokens_per_s": 500, "prefill_tokens_per_s": 100_000}),
        }
    }
}

/// A target with its agent.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) data_centre: String,
    pub(crate) standin: Process,
    pub(crate) agent: Process,
    pub(crate) relay: Option<Relay>,
}

/// A whole small deployment.
pub(crate) struct Fleet {
    pub(crate) platform: Process,
    pub(crate) targets: Vec<Target>,
    pub(crate) entries: Vec<Process>,
    data_centres: usize,
    relayed: bool,
    entry: Value,
    /// Names of the planned entries, for their settings.
    entry_slots: Vec<String>,
    agent: Value,
    engine: Value,
}

impl Target {
    fn data_address(&self) -> SocketAddr {
        let relay = self.relay.as_ref().map(|relay| relay.address);
        relay.unwrap_or_else(|| self.agent.address("data_address"))
    }

    pub(crate) fn relay(&self) -> &Relay {
        self.relay.as_ref().unwrap()
    }

    /// Returns how often a plain service has run a request body.
    pub(crate) fn executions(&self, body: &str) -> u64 {
        self.execution_counts()[body].as_u64().unwrap_or(0)
    }

    /// Returns the executions of a plain service by request body.
    pub(crate) fn execution_counts(&self) -> Value {
        get(self.standin.address("address"), "/executions").json()["by_body"].clone()
    }

    /// Sets faults of the stand-in.
    pub(crate) fn set_faults(&self, faults: &Value) {
        let answer = put(self.standin.address("address"), "/faults", faults);
        assert_eq!(answer.status, 204, "{}", answer.text());
    }

    /// Returns what the stand-in has received.
    pub(crate) fn received(&self) -> Value {
        get(self.standin.address("address"), "/received").json()
    }
}

fn extend(settings: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().unwrap() {
        settings[name] = value.clone();
    }
}

fn log() -> Value {
    json!({"format": "json", "level": "info"})
}

const ANY: &str = "127.0.0.1:0";

impl Fleet {
    /// Starts everything, submits the first ticket and waits until it serves.
    pub(crate) fn start(plan: &Plan) -> Self {
        let platform = Process::start(
            env!("CARGO_BIN_EXE_yuccalatch-standin"),
            &json!({"kind": "platform", "address": ANY, "log": log()}),
        );
        let mut fleet = Self {
            platform,
            targets: Vec::new(),
            entries: Vec::new(),
            data_centres: plan.data_centres,
            relayed: plan.relayed,
            entry: plan.entry.clone(),
            entry_slots: (0..plan.entries)
                .map(|number| format!("entry-{number}"))
                .collect(),
            agent: plan.agent.clone(),
            engine: plan.engine.clone(),
        };
        for number in 0..plan.engines {
            fleet.add_target("draft", &format!("engine-{number}"), &plan.engine);
        }
        for number in 0..plan.plains {
            fleet.add_target("files", &format!("plain-{number}"), &Value::Null);
        }
        for number in 0..plan.entries {
            fleet.add_entry(&format!("entry-{number}"));
        }
        let ticket = fleet.first_ticket();
        fleet.submit(&ticket);
        fleet.wait_ready();
        fleet
    }

    pub(crate) fn platform_address(&self) -> SocketAddr {
        self.platform.address("address")
    }

    pub(crate) fn add_target(&mut self, service: &'static str, name: &str, engine: &Value) {
        let kind = if service == "draft" {
            "engine"
        } else {
            "plain"
        };
        let mut settings = json!({"kind": kind, "address": ANY, "work_ms": 5, "log": log()});
        if !engine.is_null() {
            settings["engine"] = engine.clone();
        }
        let same_service = self.targets.iter().filter(|known| known.service == service);
        let data_centre = self.data_centre(same_service.count());
        let standin = Process::start(env!("CARGO_BIN_EXE_yuccalatch-standin"), &settings);
        let address = standin.address("address");
        let agent = self.start_agent(service, name, &data_centre, address, None);
        let data_address = agent.address("data_address");
        let relay = self.relayed.then(|| Relay::start(data_address));
        self.targets.push(Target {
            relay,
            name: name.to_owned(),
            service,
            data_centre,
            standin,
            agent,
        });
    }

    /// Data centre of the entry or target with a number: `a`, `b` and so on.
    fn data_centre(&self, number: usize) -> String {
        let letter = b'a' + u8::try_from(number % self.data_centres).unwrap();
        char::from(letter).to_string()
    }

    /// Starts an agent, on the addresses of an earlier one where given.
    fn start_agent(
        &self,
        service: &str,
        name: &str,
        data_centre: &str,
        target: SocketAddr,
        former: Option<&Process>,
    ) -> Process {
        let address = |field| former.map_or(json!(ANY), |former| json!(former.address(field)));
        let mut settings = json!({
            "name": name,
            "data_centre": data_centre,
            "data_address": address("data_address"),
            "control_address": address("control_address"),
            "admin_address": ANY,
            "target_address": target,
            "target_kind": if service == "draft" { "model" } else { "plain" },
            "checks_fencing": true,
            "platform_address": self.platform_address(),
            "log": log(),
        });
        extend(&mut settings, &self.agent);
        Process::start(env!("CARGO_BIN_EXE_yuccalatch-agent"), &settings)
    }

    /// Kills an agent and starts it again on the same addresses.
    pub(crate) fn restart_agent(&mut self, target: usize) {
        let old = &mut self.targets[target];
        old.agent.signal("KILL");
        old.agent.wait();
        self.start_agent_again(target);
    }

    /// Starts an engine that has ended on the same address.
    pub(crate) fn start_engine_again(&mut self, target: usize) {
        let address = self.targets[target].standin.address("address");
        let settings = json!({"kind": "engine", "address": address, "log": log(),
            "engine": self.engine});
        let engine = Process::start(env!("CARGO_BIN_EXE_yuccalatch-standin"), &settings);
        self.targets[target].standin = engine;
    }

    /// Starts an agent that has ended on the same addresses.
    pub(crate) fn start_agent_again(&mut self, target: usize) {
        let old = &self.targets[target];
        let standin = old.standin.address("address");
        let (name, data_centre) = (&old.name, &old.data_centre);
        let agent = self.start_agent(old.service, name, data_centre, standin, Some(&old.agent));
        self.targets[target].agent = agent;
    }

    /// Kills an engine and starts it again on the same address with a version.
    pub(crate) fn restart_engine(&mut self, target: usize, version: &str) {
        let old = &mut self.targets[target].standin;
        let mut settings = old.settings();
        settings["address"] = json!(old.address("address"));
        settings["engine"]["version"] = json!(version);
        old.signal("KILL");
        old.wait();
        let program = env!("CARGO_BIN_EXE_yuccalatch-standin");
        self.targets[target].standin = Process::start(program, &settings);
    }

    pub(crate) fn add_entry(&mut self, name: &str) {
        let settings = self.entry_settings(name, self.entries.len());
        let entry = Process::start(env!("CARGO_BIN_EXE_yuccalatch-entry"), &settings);
        self.entries.push(entry);
    }

    fn entry_settings(&self, name: &str, number: usize) -> Value {
        let mut peers: Vec<SocketAddr> = Vec::new();
        let agents = self.targets.iter().map(|target| &target.agent);
        for process in agents.chain(&self.entries) {
            peers.push(process.address("control_address"));
        }
        let mut settings = json!({
            "name": name,
            "data_centre": self.data_centre(number),
            "caller_address": ANY,
            "control_address": ANY,
            "admin_address": ANY,
            "platform_address": self.platform_address(),
            "peers": peers,
            "log": log(),
        });
        // An entry that a test adds under a new name has no list; the others then
        // use no provisional epoch.
        if self.entry_slots.iter().any(|slot| slot == name) {
            settings["entry_slots"] = json!(self.entry_slots);
        }
        extend(&mut settings, &self.entry);
        settings
    }

    /// Returns the ticket that creates every object of the fleet.
    pub(crate) fn first_ticket(&self) -> Ticket {
        let key = |name: &str, organisation: &str, text: &str| {
            json!({"key": {"name": name, "organisation": organisation,
                "digest": digest_of(text.as_bytes())}})
        };
        let organisation = |name: &str| {
            json!({"organisation": {"name": name, "rate_tokens_per_s": 1_000_000_000,
                "burst_tokens": 1_000_000_000, "weight": 1}})
        };
        let mut set = vec![
            organisation("acme"),
            organisation("brazos"),
            key("acme-1", "acme", ACME_KEY),
            key("brazos-1", "brazos", BRAZOS_KEY),
            json!({"service": {"name": "draft", "kind": "model", "model": "oak",
                "block_tokens": 1000, "parallel_loads": 2, "load_ms": 500}}),
            json!({"version": {"name": "v1", "service": "draft", "weights": "oak/1"}}),
        ];
        for (path, name) in [
            ("/v1/chat/completions", "chat"),
            ("/v1/completions", "text"),
        ] {
            set.push(
                json!({"route": {"name": name, "path_prefix": path, "methods": ["POST"],
                "model": "oak", "service": "draft", "access": "keyed", "idempotent": true,
                "timeout_ms": 60_000}}),
            );
        }
        if self.targets.iter().any(|target| target.service == "files") {
            set.extend([
                json!({"service": {"name": "files", "kind": "plain", "block_tokens": 0,
                    "parallel_loads": 1, "load_ms": 0}}),
                json!({"version": {"name": "files-1", "service": "files", "weights": "r1"}}),
                json!({"route": {"name": "files", "path_prefix": "/files", "methods": ["GET"],
                    "service": "files", "access": "public", "idempotent": true,
                    "timeout_ms": 10_000}}),
                json!({"route": {"name": "orders", "path_prefix": "/orders",
                    "methods": ["POST"], "service": "files", "access": "keyed",
                    "idempotent": false, "timeout_ms": 10_000}}),
            ]);
        }
        for target in &self.targets {
            let version = if target.service == "draft" {
                "v1"
            } else {
                "files-1"
            };
            set.push(
                json!({"target": {"name": target.name, "service": target.service,
                "data_centre": target.data_centre, "version": version,
                "address": target.data_address(),
                "control_address": target.agent.address("control_address")}}),
            );
        }
        let ticket = json!({"ticket": 1, "author": "test", "comment": "first",
            "set": set, "remove": []});
        serde_json::from_value(ticket).unwrap()
    }

    /// Submits a ticket and returns its revision.
    pub(crate) fn submit(&self, ticket: &Ticket) -> u64 {
        submit_at(self.platform_address(), ticket)
    }

    /// Waits until every target of every entry serves.
    pub(crate) fn wait_ready(&self) {
        for entry in &self.entries {
            let admin = entry.address("admin_address");
            eventually("the entry is ready", || get(admin, "/readyz").status == 200);
        }
    }

    /// Waits until agents have served this many requests of a public route.
    pub(crate) fn wait_targets(&self, plains: usize) {
        let serves = |target: &Target| target.received() != json!([]);
        for entry in 0..self.entries.len() {
            eventually("every plain service is used", || {
                get(self.caller(entry), "/files/a");
                self.targets.iter().filter(|target| serves(target)).count() == plains
            });
        }
    }

    /// Returns the executions of every plain service by request body.
    pub(crate) fn execution_counts(&self) -> Vec<Value> {
        let plains = self.targets.iter();
        let plains = plains.filter(|target| target.service == "files");
        plains.map(Target::execution_counts).collect()
    }

    pub(crate) fn caller(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("caller_address")
    }
}

/// Submits a ticket at an object API and returns its revision.
pub(crate) fn submit_at(address: SocketAddr, ticket: &Ticket) -> u64 {
    let ticket = ticket.clone();
    System::new("submit", DefaultRuntime).block_on(async move {
        let platform = Platform::new(address, Clock::start()).await.unwrap();
        let mut fold = Fold::default();
        let deadline_us = platform.clock().now_us() + 30_000_000;
        let accepted = submit(&platform, &mut fold, &ticket, deadline_us).await;
        accepted.unwrap().revision
    })
}

impl Fleet {
    /// Kills an entry and starts another process in its slot.
    pub(crate) fn replace_entry(&mut self, entry: usize) {
        self.entries[entry].signal("KILL");
        self.start_entry_again(entry);
    }

    /// Starts another process in the slot of an entry that has ended.
    pub(crate) fn start_entry_again(&mut self, entry: usize) {
        let settings = self.entry_settings(&format!("entry-{entry}"), entry);
        let program = env!("CARGO_BIN_EXE_yuccalatch-entry");
        self.entries[entry] = Process::start(program, &settings);
    }

    /// Kills all entries, then starts a process in each slot.
    pub(crate) fn replace_all_entries(&mut self) {
        let count = self.entries.len();
        self.entries.clear();
        for entry in 0..count {
            self.add_entry(&format!("entry-{entry}"));
        }
    }

    /// Starts an entry that knows certain peers only.
    pub(crate) fn add_entry_with_peers(&mut self, name: &str, peers: &[SocketAddr]) {
        self.add_entry_with(name, &json!({"peers": peers}));
    }

    /// Starts an entry some of whose settings are given.
    pub(crate) fn add_entry_with(&mut self, name: &str, fields: &Value) {
        let mut settings = self.entry_settings(name, self.entries.len());
        extend(&mut settings, fields);
        let program = env!("CARGO_BIN_EXE_yuccalatch-entry");
        self.entries.push(Process::start(program, &settings));
    }

    /// Returns the status of the fleet as an entry sees it.
    pub(crate) fn status(&self, entry: usize) -> FleetStatus {
        let address = self.entries[entry].address("control_address");
        System::new("status", DefaultRuntime)
            .block_on(async move { remote::status(address, 10_000).await.unwrap() })
    }

    /// Waits until a revision is in force on every entry.
    pub(crate) fn wait_in_force(&self, revision: u64) {
        for entry in 0..self.entries.len() {
            eventually("the revision is in force", || {
                self.status(entry).config.in_force_revision == revision
            });
        }
    }

    /// Sets the faults of the object API.
    pub(crate) fn set_platform_faults(&self, faults: &Value) {
        let answer = put(self.platform_address(), "/faults", faults);
        assert!(answer.status < 300, "{}", answer.text());
    }
}

/// Builds a ticket.
pub(crate) fn ticket(number: u64, set: &Value, remove: &Value) -> Ticket {
    let ticket = json!({"ticket": number, "author": "test", "comment": "test",
        "set": set, "remove": remove});
    serde_json::from_value(ticket).unwrap()
}

/// A ticket that changes an organisation.
pub(crate) fn organisation_ticket(number: u64) -> Ticket {
    let organisation = json!({"organisation": {"name": "acme",
        "rate_tokens_per_s": 1_000_000 + number, "burst_tokens": 10_000_000, "weight": 1}});
    ticket(number, &json!([organisation]), &json!([]))
}

/// Returns the revision that an entry shows in its metrics.
pub(crate) fn revision(entry: &Process) -> u64 {
    let metrics = get(entry.address("admin_address"), "/metrics").text();
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("yuccalatch_revision "));
    line.unwrap().parse().unwrap()
}
