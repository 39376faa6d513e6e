//! Guards against accepted configuration that does not reach a live entry, is
//! reported in force too early, or is replaced by an older one.

mod support;

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use serde_json::json;
use support::fleet::{
    Fleet,
    Plan,
    eventually,
    get,
    organisation_ticket,
    revision,
    ticket, //
};

fn plan() -> Plan {
    Plan {
        entries: 3,
        engines: 1,
        ..Plan::default()
    }
}

#[test]
fn tickets_are_in_force_everywhere_across_restarts() {
    let mut fleet = Fleet::start(&plan());
    for number in 2..=12 {
        let accepted = fleet.submit(&organisation_ticket(number));
        if number % 4 == 0 {
            fleet.replace_entry(usize::try_from(number / 4 - 1).unwrap());
        }
        eventually("every entry has the revision", || {
            fleet
                .entries
                .iter()
                .all(|entry| revision(entry) == accepted)
        });
    }
    fleet.wait_in_force(12);
}

#[test]
fn status_names_a_frozen_entry() {
    let fleet = Fleet::start(&plan());
    fleet.wait_in_force(1);
    fleet.entries[2].signal("STOP");
    fleet.submit(&organisation_ticket(2));
    eventually("the frozen entry is named", || {
        let config = fleet.status(0).config;
        config.revision == 2 && config.waiting_for == ["entry-2".into()]
    });
    eventually("the others miss the entry", || {
        let log = fleet.entries[0].log.lock().unwrap();
        let missed = |line: &&String| line.contains("YL6003") && line.contains("entry-2");
        log.iter().filter(missed).count() >= 2
    });
    // Silence does not prove that it is gone.
    let config = fleet.status(0).config;
    assert_eq!(config.waiting_for, ["entry-2".into()]);
    assert_eq!(config.in_force_revision, 1);
    fleet.entries[2].signal("CONT");
    fleet.wait_in_force(2);
    assert!(fleet.status(0).config.waiting_for.is_empty());
}

// The agent was paused at revision 1 and is the first peer that a new entry
// hears of.
#[test]
fn an_older_state_of_a_peer_changes_nothing() {
    let mut fleet = Fleet::start(&plan());
    let agent = fleet.targets[0].agent.address("control_address");
    eventually("the agent has revision 1", || {
        fleet.targets[0].agent.log_contains("YL4001")
    });
    fleet.targets[0].agent.signal("STOP");
    fleet.submit(&organisation_ticket(2));
    fleet.submit(&organisation_ticket(3));
    eventually("the others have revision 3", || {
        fleet.entries.iter().all(|entry| revision(entry) == 3)
    });
    let has_reverted = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    let admin = fleet.entries[0].address("admin_address");
    let watcher = {
        let (reverted, over) = (Arc::clone(&has_reverted), Arc::clone(&is_over));
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let metrics = get(admin, "/metrics").text();
                if !metrics.contains("yuccalatch_revision 3\n") {
                    reverted.store(true, Ordering::Relaxed);
                }
            }
        })
    };
    fleet.targets[0].agent.signal("CONT");
    let peers = [agent, fleet.entries[0].address("control_address")];
    fleet.add_entry_with_peers("entry-3", &peers);
    fleet.wait_in_force(3);
    eventually("the agent has caught up", || {
        fleet.targets[0].agent.log_contains("\"revision\":3")
    });
    is_over.store(true, Ordering::Relaxed);
    watcher.join().unwrap();
    assert!(!has_reverted.load(Ordering::Relaxed));
}

// One message holds 4 MB.
#[test]
fn a_large_state_reaches_an_entry_without_the_platform() {
    let mut fleet = Fleet::start(&plan());
    let organisations: Vec<_> = (0..4_000)
        .map(|number| {
            json!({"organisation": {"name": format!("{:0>60}", number),
                "rate_tokens_per_s": 1, "burst_tokens": 1, "weight": 1}})
        })
        .collect();
    let mut last = 1;
    for part in organisations.chunks(1_000) {
        last += 1;
        fleet.submit(&ticket(last, &json!(part), &json!([])));
    }
    // The log of recent tickets is exceeded, so that the state is sent whole.
    while last < 300 {
        last += 1;
        fleet.submit(&organisation_ticket(last));
    }
    fleet.wait_in_force(last);
    fleet.platform.signal("STOP");
    fleet.replace_entry(2);
    fleet.wait_in_force(last);
}
