//! Guards against a withdrawn key that still works somewhere.

mod support;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
};

use serde_json::json;
use support::fleet::{
    ACME_KEY,
    Answer,
    BRAZOS_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    organisation_ticket,
    parse,
    post,
    ticket, //
};

fn plan() -> Plan {
    Plan {
        entries: 3,
        engines: 1,
        ..Plan::default()
    }
}

fn withdraw(fleet: &Fleet, number: u64) {
    let remove = json!([{"kind": "key", "name": "acme-1"}]);
    fleet.submit(&ticket(number, &json!([]), &remove));
}

fn ask(caller: SocketAddr, key: &str) -> u16 {
    post(
        caller,
        "/v1/completions",
        key,
        &completion("door", 2, false),
    )
    .status
}

/// A connection that stays open between requests.
struct Open(TcpStream);

impl Open {
    fn new(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).unwrap())
    }

    fn ask(&mut self, key: &str) -> Answer {
        let body = completion("door", 2, false).to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {key}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.0.write_all(head.as_bytes()).unwrap();
        let mut raw = Vec::new();
        loop {
            let answer = parse(&raw);
            if answer.status != 0 && answer.is_complete {
                return answer;
            }
            let mut part = [0; 4_096];
            let count = self.0.read(&mut part).unwrap();
            assert_ne!(count, 0, "the connection was closed");
            raw.extend_from_slice(&part[..count]);
        }
    }
}

#[test]
fn a_withdrawn_key_is_refused_on_every_entry_and_open_connection() {
    let fleet = Fleet::start(&plan());
    let callers: Vec<SocketAddr> = (0..3).map(|entry| fleet.caller(entry)).collect();
    let mut open: Vec<Open> = callers.iter().map(|caller| Open::new(*caller)).collect();
    for connection in &mut open {
        eventually("the key works", || connection.ask(ACME_KEY).status == 200);
    }
    withdraw(&fleet, 2);
    for (connection, caller) in open.iter_mut().zip(callers) {
        eventually("the key is refused", || {
            connection.ask(ACME_KEY).status == 401
        });
        assert_eq!(ask(caller, ACME_KEY), 401);
        assert_eq!(ask(caller, BRAZOS_KEY), 200);
    }
}

#[test]
fn a_silent_watch_does_not_delay_a_withdrawal() {
    let fleet = Fleet::start(&plan());
    fleet.set_platform_faults(&json!({"silent_watch": true}));
    // Ends the watches that were pending before.
    fleet.submit(&organisation_ticket(2));
    fleet.wait_in_force(2);
    withdraw(&fleet, 3);
    for entry in 0..3 {
        let caller = fleet.caller(entry);
        eventually("the key is refused", || ask(caller, ACME_KEY) == 401);
        assert_eq!(ask(caller, BRAZOS_KEY), 200);
    }
}

// A paused entry missed the withdrawal. It must not serve the key when it
// resumes, not even before it has heard anybody.
#[test]
fn a_paused_entry_refuses_the_key_when_it_resumes() {
    let fleet = Fleet::start(&plan());
    let mut open = Open::new(fleet.caller(1));
    eventually("the key works", || open.ask(ACME_KEY).status == 200);
    fleet.entries[1].signal("STOP");
    withdraw(&fleet, 2);
    eventually("the others miss the entry", || {
        let log = fleet.entries[0].log.lock().unwrap();
        let missed = |line: &&String| line.contains("YL6003") && line.contains("entry-1");
        // Suspected after 3 s, gone after 10 s.
        log.iter().filter(missed).count() >= 2
    });
    let agents = fleet.targets.iter().map(|target| &target.agent);
    let others = [&fleet.entries[0], &fleet.entries[2], &fleet.platform];
    let others: Vec<_> = agents.chain(others).collect();
    for process in &others {
        process.signal("STOP");
    }
    fleet.entries[1].signal("CONT");
    let answer = open.ask(ACME_KEY);
    assert_eq!(answer.json()["error"]["kind"], "keys_stale");
    for process in &others {
        process.signal("CONT");
    }
    let caller = fleet.caller(1);
    eventually("the entry has caught up", || ask(caller, BRAZOS_KEY) == 200);
    assert_eq!(ask(caller, ACME_KEY), 401);
}

#[test]
fn an_entry_that_hears_nobody_refuses_keys_and_says_not_run() {
    let fleet = Fleet::start(&plan());
    let caller = fleet.caller(0);
    eventually("the key works", || ask(caller, ACME_KEY) == 200);
    let agents = fleet.targets.iter().map(|target| &target.agent);
    let others: Vec<_> = agents
        .chain(&fleet.entries[1..])
        .chain([&fleet.platform])
        .collect();
    for process in &others {
        process.signal("STOP");
    }
    let body = completion("door", 2, false);
    eventually("keyed requests are refused", || {
        let answer = post(caller, "/v1/completions", ACME_KEY, &body);
        let error = &answer.json()["error"];
        answer.status == 503 && error["kind"] == "keys_stale" && error["not_run"] == true
    });
    for process in &others {
        process.signal("CONT");
    }
    eventually("the key works again", || ask(caller, ACME_KEY) == 200);
}
