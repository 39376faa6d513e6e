//! Restarts of engines after the end of a move.

mod support;

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
