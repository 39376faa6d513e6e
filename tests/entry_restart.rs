//! Guards against entries that cannot serve after a restart because the object
//! API is down.

mod support;

use support::fleet::{
    ACME_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    post,
    reference, //
};

const PROMPT: &str = "inspection report";

fn plan() -> Plan {
    Plan {
        entries: 3,
        engines: 2,
        ..Plan::default()
    }
}

fn expect_service(fleet: &Fleet) {
    let expected = reference("v1", PROMPT, 5);
    let body = completion(PROMPT, 5, false);
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry);
        eventually("the entry serves a keyed request", || {
            let answer = post(caller, "/v1/completions", ACME_KEY, &body);
            answer.status == 200 && answer.json()["choices"][0]["text"] == expected.as_str()
        });
    }
}

#[test]
fn one_killed_entry_serves_again() {
    let mut fleet = Fleet::start(&plan());
    fleet.replace_entry(1);
    fleet.wait_ready();
    expect_service(&fleet);
}

#[test]
fn all_killed_entries_serve_again() {
    let mut fleet = Fleet::start(&plan());
    fleet.replace_all_entries();
    fleet.wait_ready();
    expect_service(&fleet);
}

// The configuration is left on the agents only.
#[test]
fn all_killed_entries_serve_while_the_platform_is_stopped() {
    let mut fleet = Fleet::start(&plan());
    fleet.wait_in_force(1);
    wait_for_agents(&fleet, 1);
    expect_service(&fleet);
    fleet.platform.signal("STOP");
    fleet.replace_all_entries();
    fleet.wait_ready();
    expect_service(&fleet);
}

// The peers in the settings are the other entries, not the agents.
#[test]
fn a_killed_entry_gets_the_configuration_of_its_peers() {
    let mut fleet = Fleet::start(&plan());
    // Limits need a ledger, which takes its epoch while the object API is up.
    expect_service(&fleet);
    fleet.platform.signal("KILL");
    fleet.entries.remove(2);
    let peers = [fleet.entries[0].address("control_address")];
    fleet.add_entry_with_peers("entry-2", &peers);
    fleet.wait_ready();
    expect_service(&fleet);
}

fn wait_for_agents(fleet: &Fleet, revision: u64) {
    let applied = format!("\"revision\":{revision}");
    for target in &fleet.targets {
        eventually("the agent has the configuration", || {
            target.agent.log_contains("YL4001") && target.agent.log_contains(&applied)
        });
    }
}
