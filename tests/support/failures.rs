//! Failures that can be begun and ended on a running fleet.

use std::thread::{
    self,
    JoinHandle, //
};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{
    Value,
    json, //
};

use super::{
    callers::Callers,
    fleet::{
        ACME_KEY,
        BRAZOS_KEY,
        Fleet,
        Process,
        submit_at,
        ticket, //
    },
};

/// Key number `n` of those that are withdrawn in turn.
pub(crate) fn spare_key(number: usize) -> String {
    format!("sk-spare-{number}-77cc77cc77cc77cc")
}

/// One failure or change of a running fleet. A number names an entry or a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    EntryKilled(usize),
    EntryStopped(usize),
    EntryFrozen(usize),
    AgentKilled(usize),
    AgentStopped(usize),
    AgentFrozen(usize),
    EngineKilled(usize),
    /// The link between the entries and an agent.
    LinkCut(usize),
    LinkFrozen(usize),
    /// Frozen for the connections that are open.
    LinkHalfFrozen(usize),
    PlatformFrozen,
    PlatformDown,
    PlatformSlow,
    /// Every second write takes effect and is not answered.
    PlatformLosing,
    KeyWithdrawn,
    LimitChanged,
}

/// What a failure acts on; two failures at once act on different things.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Subject {
    Entry(usize),
    Agent(usize),
    Engine(usize),
    Link(usize),
    Platform,
    Configuration,
}

impl Failure {
    fn draw(random: &mut ChaCha8Rng, entries: usize, engines: usize, targets: usize) -> Self {
        let entry = random.random_range(0..entries);
        let engine = random.random_range(0..engines);
        let target = random.random_range(0..targets);
        match random.random_range(0..16) {
            0 => Self::EntryKilled(entry),
            1 => Self::EntryStopped(entry),
            2 => Self::EntryFrozen(entry),
            3 => Self::AgentKilled(target),
            4 => Self::AgentStopped(target),
            5 => Self::AgentFrozen(target),
            6 => Self::EngineKilled(engine),
            7 => Self::LinkCut(target),
            8 => Self::LinkFrozen(target),
            9 => Self::LinkHalfFrozen(target),
            10 => Self::PlatformFrozen,
            11 => Self::PlatformDown,
            12 => Self::PlatformSlow,
            13 => Self::PlatformLosing,
            14 => Self::KeyWithdrawn,
            _ => Self::LimitChanged,
        }
    }

    fn subject(self) -> Subject {
        match self {
            Self::EntryKilled(entry) | Self::EntryStopped(entry) | Self::EntryFrozen(entry) => {
                Subject::Entry(entry)
            }
            Self::AgentKilled(target) | Self::AgentStopped(target) | Self::AgentFrozen(target) => {
                Subject::Agent(target)
            }
            Self::EngineKilled(target) => Subject::Engine(target),
            Self::LinkCut(target) | Self::LinkFrozen(target) | Self::LinkHalfFrozen(target) => {
                Subject::Link(target)
            }
            Self::PlatformFrozen
            | Self::PlatformDown
            | Self::PlatformSlow
            | Self::PlatformLosing => Subject::Platform,
            Self::KeyWithdrawn | Self::LimitChanged => Subject::Configuration,
        }
    }

    /// Draws two failures of different things.
    pub(crate) fn draw_pair(random: &mut ChaCha8Rng, fleet: &Fleet) -> [Self; 2] {
        let targets = fleet.targets.len();
        let engines = fleet.targets.iter();
        let engines = engines.filter(|target| target.service == "draft").count();
        let entries = fleet.entries.len();
        loop {
            let first = Self::draw(random, entries, engines, targets);
            let second = Self::draw(random, entries, engines, targets);
            if first.subject() != second.subject() {
                return [first, second];
            }
        }
    }
}

/// A fleet under load with the failures brought about so far.
pub(crate) struct Drill<'a> {
    pub(crate) fleet: &'a mut Fleet,
    pub(crate) callers: &'a Callers,
    /// Number of the last ticket.
    pub(crate) tickets: u64,
    /// Keys that were withdrawn.
    pub(crate) withdrawn: Vec<String>,
    submissions: Vec<JoinHandle<u64>>,
}

impl<'a> Drill<'a> {
    pub(crate) fn new(fleet: &'a mut Fleet, callers: &'a Callers, tickets: u64) -> Self {
        Self {
            fleet,
            callers,
            tickets,
            withdrawn: Vec::new(),
            submissions: Vec::new(),
        }
    }

    pub(crate) fn begin(&mut self, failure: Failure) {
        let targets = &mut self.fleet.targets;
        match failure {
            Failure::EntryKilled(entry) => {
                self.callers.doors[entry].close();
                let entry = &mut self.fleet.entries[entry];
                entry.signal("KILL");
                entry.wait();
            }
            Failure::EntryStopped(entry) => {
                self.callers.doors[entry].close();
                self.fleet.entries[entry].signal("TERM");
            }
            Failure::EntryFrozen(entry) => self.fleet.entries[entry].signal("STOP"),
            Failure::AgentKilled(target) => {
                targets[target].agent.signal("KILL");
                targets[target].agent.wait();
            }
            Failure::AgentStopped(target) => targets[target].agent.signal("TERM"),
            Failure::AgentFrozen(target) => targets[target].agent.signal("STOP"),
            Failure::EngineKilled(target) => {
                assert_no_key("engine", &targets[target].received().to_string());
                targets[target].standin.signal("KILL");
                targets[target].standin.wait();
            }
            Failure::LinkCut(target) => targets[target].relay().cut(),
            Failure::LinkFrozen(target) => targets[target].relay().freeze(),
            Failure::LinkHalfFrozen(target) => targets[target].relay().freeze_open(),
            Failure::PlatformFrozen => self.fleet.platform.signal("STOP"),
            Failure::PlatformDown => self.fleet.set_platform_faults(&json!({"down": true})),
            Failure::PlatformSlow => self.fleet.set_platform_faults(&json!({"slow_ms": 700})),
            Failure::PlatformLosing => {
                let faults = json!({"lose_answer_every": 2});
                self.fleet.set_platform_faults(&faults);
            }
            Failure::KeyWithdrawn => self.withdraw(),
            Failure::LimitChanged => self.change_limit(),
        }
    }

    /// Ends a failure; what was stopped is started again.
    pub(crate) fn end(&mut self, failure: Failure) {
        let targets = &mut self.fleet.targets;
        match failure {
            Failure::EntryKilled(entry) => self.start_entry(entry),
            Failure::EntryStopped(entry) => {
                assert!(self.fleet.entries[entry].wait(), "graceful stop failed");
                self.start_entry(entry);
            }
            Failure::EntryFrozen(entry) => self.fleet.entries[entry].signal("CONT"),
            Failure::AgentKilled(target) => self.start_agent(target),
            Failure::AgentStopped(target) => {
                assert!(targets[target].agent.wait(), "graceful stop failed");
                self.start_agent(target);
            }
            Failure::AgentFrozen(target) => targets[target].agent.signal("CONT"),
            Failure::EngineKilled(target) => self.fleet.start_engine_again(target),
            // The connections stay broken; new ones work.
            Failure::LinkCut(_) => {}
            Failure::LinkFrozen(target) | Failure::LinkHalfFrozen(target) => {
                targets[target].relay().thaw();
            }
            Failure::PlatformFrozen => self.fleet.platform.signal("CONT"),
            Failure::PlatformDown | Failure::PlatformSlow | Failure::PlatformLosing => {
                self.fleet.set_platform_faults(&json!({}));
            }
            // The ticket is waited for when all failures are over.
            Failure::KeyWithdrawn | Failure::LimitChanged => {}
        }
    }

    /// Waits until the tickets submitted so far are accepted.
    pub(crate) fn wait_tickets(&mut self) {
        for submission in self.submissions.drain(..) {
            submission.join().unwrap();
        }
    }

    fn start_entry(&mut self, entry: usize) {
        assert_revisions_grow(&self.fleet.entries[entry]);
        self.fleet.start_entry_again(entry);
        self.callers.doors[entry].open(self.fleet.caller(entry));
    }

    fn start_agent(&mut self, target: usize) {
        assert_revisions_grow(&self.fleet.targets[target].agent);
        self.fleet.start_agent_again(target);
    }

    fn submit(&mut self, set: &Value, remove: &Value) {
        self.tickets += 1;
        let ticket = ticket(self.tickets, set, remove);
        let address = self.fleet.platform_address();
        let submission = thread::spawn(move || submit_at(address, &ticket));
        self.submissions.push(submission);
    }

    fn withdraw(&mut self) {
        let number = self.withdrawn.len();
        let name = format!("spare-{number}");
        self.submit(&json!([]), &json!([{"kind": "key", "name": name}]));
        self.withdrawn.push(spare_key(number));
    }

    /// Changes the limit of an organisation that has no load.
    fn change_limit(&mut self) {
        let rate = 1_000_000 + self.tickets;
        let organisation = json!({"organisation": {"name": "brazos",
            "rate_tokens_per_s": rate, "burst_tokens": 1_000_000, "weight": 1}});
        self.submit(&json!([organisation]), &json!([]));
    }
}

/// No key of a caller may stand in what a target received.
pub(crate) fn assert_no_key(place: &str, text: &str) {
    for key in [
        ACME_KEY,
        BRAZOS_KEY,
        super::callers::LIMITED_KEY,
        "sk-spare",
    ] {
        assert!(!text.contains(key), "{place} received {key}");
    }
}

/// Every revision that a process applied has to be newer than the one before.
pub(crate) fn assert_revisions_grow(process: &Process) {
    let log = process.log.lock().unwrap();
    let revisions: Vec<u64> = log
        .iter()
        .filter(|line| line.contains("YL4001"))
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter_map(|record| record["revision"].as_u64())
        .collect();
    let grow = revisions.windows(2).all(|pair| pair[0] < pair[1]);
    assert!(grow, "revisions {revisions:?}");
    assert!(!log.iter().any(|line| line.contains("panicked")), "{log:?}");
}
