//! Restarts of engines and entries during and after moves.

mod support;

use serde_json::json;
use support::{
    fleet::{
        ACME_KEY,
        Fleet,
        completion,
        eventually,
        post,
        reference, //
    },
    moves::{
        Traffic,
        break_new_version,
        moving_fleet,
        state,
        stored_move,
        submit_move,
        versions,
        versions_of, //
    },
};

fn wait_for(fleet: &Fleet, expected: &str, version: &str) {
    eventually(expected, || state(fleet, 0).0 == expected);
    eventually("the holder has finished", || {
        stored_move(fleet)["lease"]["holder"].is_null()
    });
    for target in 0..2 {
        assert_eq!(versions_of(fleet, target), [version]);
    }
}

/// Guards against an engine that restarts after a move with the weights that it
/// starts with, and serves nothing from then on.
#[test]
fn a_restarted_engine_gets_the_new_version() {
    let mut fleet = moving_fleet(2);
    submit_move(&fleet);
    wait_for(&fleet, "done", "v2");
    let fencing = stored_move(&fleet)["lease"]["fencing"].clone();
    for target in 0..2 {
        fleet.restart_engine(target, "v1");
    }
    for target in 0..2 {
        eventually("the version is restored", || {
            versions_of(&fleet, target) == ["v2"]
        });
    }
    eventually("the service answers", || {
        let body = completion("order", 8, false);
        let answer = post(fleet.caller(0), "/v1/completions", ACME_KEY, &body);
        answer.status == 200
            && answer.json()["choices"][0]["text"] == reference("v2", "order", 8).as_str()
    });
    assert_eq!(stored_move(&fleet)["lease"]["fencing"], fencing);
    assert!(
        fleet
            .entries
            .iter()
            .any(|entry| entry.log_contains("YL7004"))
    );
}

/// Guards against an engine that comes back with a version that was taken back.
#[test]
fn a_restarted_engine_gets_the_old_version() {
    let mut fleet = moving_fleet(2);
    break_new_version(&fleet);
    let traffic = Traffic::start(&fleet);
    submit_move(&fleet);
    wait_for(&fleet, "taken_back", "v1");
    traffic.stop();
    fleet.restart_engine(0, "v2");
    eventually("the version is restored", || versions(&fleet) == ["v1"]);
}

/// The share that decides about requests, in thousandths.
fn share(fleet: &Fleet, entry: usize) -> u32 {
    state(fleet, entry).1
}

/// Guards against an entry that starts during an outage of the object API and
/// uses the version that the move replaces, although its peers know the share.
#[test]
fn a_restarted_entry_gets_the_share_of_its_peers() {
    let mut fleet = moving_fleet(3);
    submit_move(&fleet);
    eventually("the version has a share", || {
        (0..2).all(|entry| share(&fleet, entry) >= 60)
    });
    fleet.set_platform_faults(&json!({"down": true}));
    let present = share(&fleet, 1);
    fleet.entries.remove(0);
    let peers = [fleet.entries[0].address("control_address")];
    fleet.add_entry_with_peers("entry-0", &peers);
    fleet.wait_ready();
    let learned = share(&fleet, 2);
    assert!(learned >= present, "{learned} after {present}");
}

/// Guards against entries that forget a finished move when all of them start
/// during an outage of the object API: they would use the version that is not
/// loaded any more. Only the agents know the move then.
#[test]
fn restarted_entries_get_the_move_of_the_agents() {
    let mut fleet = moving_fleet(2);
    submit_move(&fleet);
    wait_for(&fleet, "done", "v2");
    let step = format!("\"step\":{}", stored_move(&fleet)["step"]);
    for target in &fleet.targets {
        eventually("the agent holds the move", || {
            let log = target.agent.log.lock().unwrap();
            log.iter()
                .any(|line| line.contains("YL7001") && line.contains(&step))
        });
    }
    fleet.set_platform_faults(&json!({"down": true}));
    fleet.replace_all_entries();
    fleet.wait_ready();
    for entry in 0..2 {
        assert_eq!(state(&fleet, entry), ("done".to_owned(), 1_000));
    }
}
