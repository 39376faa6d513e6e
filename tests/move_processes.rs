//! Version moves with real processes.

mod support;

use std::net::SocketAddr;

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use serde_json::json;
use support::{
    fleet::{
        ACME_KEY,
        Fleet,
        Plan,
        completion,
        eventually,
        post,
        reference,
        ticket, //
    },
    moves::{
        Traffic,
        break_new_version,
        moving_fleet,
        state,
        stored_move,
        submit_move,
        versions, //
    },
};
use yuccalatch::{
    clock::{
        Clock,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    process::{
        platform::{
            Condition,
            Platform, //
        },
        rpc::{
            self,
            AgentApiClient,
            OrderAction,
            OrderAnswer,
            OrderRequest, //
        },
    },
    version::rollout::{
        Move,
        object_key,
        plan, //
    },
};

/// Stores the move object of the service with a fencing number.
fn store_move(address: SocketAddr, fencing: u64) {
    let accepted = plan::accept(&plan::PlanRequest::example()).unwrap();
    let stored = Move::planned((2, "m"), "draft", ("v1", "v2"), accepted, fencing);
    let value = serde_json::to_vec(&stored).unwrap();
    System::new("store", DefaultRuntime).block_on(async move {
        let platform = Platform::new(address, Clock::start()).await.unwrap();
        let deadline_us = platform.clock().now_us() + 30 * US_PER_S;
        let key = object_key("draft");
        let present = platform.get(&key, deadline_us).await.unwrap();
        let condition = present.map_or(Condition::Absent, |present| {
            Condition::Version(present.version)
        });
        let put = platform.put(&key, value.into(), condition, deadline_us);
        put.await.unwrap();
    });
}

/// Sends an order to the agent of the first target.
fn order(fleet: &Fleet, fencing: u64, action: OrderAction) -> Result<OrderAnswer> {
    let address = fleet.targets[0].agent.address("control_address");
    let request = OrderRequest {
        service: "draft".into(),
        fencing,
        action,
    };
    System::new("order", DefaultRuntime).block_on(async move {
        let client = rpc::connect(address).await.unwrap();
        client.order(request).await.map_err(rpc::call_error_report)
    })
}

fn kind(answer: Result<OrderAnswer>) -> Option<ErrorKind> {
    answer.err().map(|report| *report.current_context())
}

fn load(version: &str) -> OrderAction {
    OrderAction::Load {
        version: version.into(),
    }
}

fn unload(version: &str) -> OrderAction {
    OrderAction::Unload {
        version: version.into(),
    }
}

/// A fleet whose engines execute every order, whatever its number.
fn unfenced_fleet() -> Fleet {
    Fleet::start(&Plan {
        agent: json!({"checks_fencing": false}),
        engine: json!({"checks_fencing": false, "load_weights_ms": 50}),
        ..Plan::default()
    })
}

/// Guards against an outdated holder whose order is executed after that of its
/// successor.
#[test]
fn an_agent_refuses_an_old_number() {
    let fleet = unfenced_fleet();
    store_move(fleet.platform_address(), 5);
    assert!(order(&fleet, 5, load("v2")).is_ok());
    eventually("the version is loaded", || {
        versions(&fleet).contains(&"v2".to_owned())
    });
    eventually("the holder learns of it", || {
        let answer = order(&fleet, 6, OrderAction::Fence).unwrap();
        answer.loading.is_none() && answer.versions.iter().any(|version| &**version == "v2")
    });
    let refused = order(&fleet, 5, unload("v2"));
    assert_eq!(kind(refused), Some(ErrorKind::OrderFenced));
    assert!(versions(&fleet).contains(&"v2".to_owned()));
    // Another thread writes the log.
    eventually("the refusal is logged", || {
        fleet.targets[0].agent.log_contains("YL7003")
    });
}

/// Guards against an agent that forgets the fencing number when it restarts, and
/// then executes the order of an outdated holder.
#[test]
fn a_restarted_agent_refuses_an_old_number() {
    let mut fleet = unfenced_fleet();
    store_move(fleet.platform_address(), 5);
    assert!(order(&fleet, 5, load("v2")).is_ok());
    eventually("the version is loaded", || {
        versions(&fleet).contains(&"v2".to_owned())
    });
    store_move(fleet.platform_address(), 6);
    fleet.restart_agent(0);
    let refused = order(&fleet, 5, unload("v2"));
    assert_eq!(kind(refused), Some(ErrorKind::OrderFenced));
    assert!(versions(&fleet).contains(&"v2".to_owned()));
    // The order of the present holder still takes effect.
    eventually("the order is accepted", || {
        order(&fleet, 6, unload("v2")).is_ok()
    });
    eventually("the version is unloaded", || {
        !versions(&fleet).contains(&"v2".to_owned())
    });
}

/// Guards against an agent that takes the silence of the object API for
/// permission to execute an order after its restart.
#[test]
fn a_restarted_agent_reads_before_it_executes() {
    let mut fleet = unfenced_fleet();
    store_move(fleet.platform_address(), 5);
    fleet.set_platform_faults(&json!({"down": true}));
    fleet.restart_agent(0);
    let refused = order(&fleet, 5, load("v2"));
    assert_eq!(kind(refused), Some(ErrorKind::PlatformUnavailable));
    assert_eq!(versions(&fleet), ["v1"]);
    fleet.set_platform_faults(&json!({"down": false}));
    assert!(order(&fleet, 5, load("v2")).is_ok());
    eventually("the version is loaded", || {
        versions(&fleet).contains(&"v2".to_owned())
    });
}

/// Guards against an order for a plain service, whose path of orders belongs to
/// its callers: a purchase would be placed.
#[test]
fn a_plain_service_gets_no_order() {
    let mut fleet = Fleet::start(&Plan {
        engines: 0,
        plains: 1,
        ..Plan::default()
    });
    store_move(fleet.platform_address(), 5);
    let refused = order(&fleet, 5, load("v2"));
    assert_eq!(kind(refused), Some(ErrorKind::BadRequest));
    assert!(order(&fleet, 5, OrderAction::Fence).is_ok());
    let received = fleet.targets.remove(0).received();
    assert_eq!(received, json!([]));
}

/// Guards against a move that never ends, ends without its traffic, breaks
/// requests, or unloads the old version before late faults could show.
#[test]
fn a_good_version_is_moved_to() {
    let fleet = moving_fleet(2);
    let traffic = Traffic::start(&fleet);
    submit_move(&fleet);
    eventually("the settling period begins", || {
        let (state, _) = state(&fleet, 0);
        let is_over = state == "finishing" || state == "done";
        assert!(!is_over, "the settling period was left out");
        state == "settling"
    });
    for entry in 0..2 {
        eventually("the move is done", || {
            // The engine is read first: an old version that is missing while
            // the state read later is "settling" was unloaded too early.
            let loaded = versions(&fleet);
            let (state, _) = state(&fleet, entry);
            assert!(state == "done" || loaded.contains(&"v1".to_owned()));
            state == "done"
        });
    }
    eventually("the old version is unloaded", || versions(&fleet) == ["v2"]);
    let answer = post(
        fleet.caller(0),
        "/v1/completions",
        ACME_KEY,
        &completion("order", 8, false),
    );
    let text = &answer.json()["choices"][0]["text"];
    assert_eq!(*text, reference("v2", "order", 8));
    assert_eq!(traffic.stop(), 0);
}

/// Guards against a bad version that keeps its traffic, and against a status
/// that says "taken back" too early or never.
#[test]
fn a_failing_version_is_taken_back() {
    let fleet = moving_fleet(2);
    break_new_version(&fleet);
    let traffic = Traffic::start(&fleet);
    submit_move(&fleet);
    for entry in 0..2 {
        eventually("the move is taken back", || {
            let (state, share) = state(&fleet, entry);
            assert_ne!(state, "done");
            state == "taken_back" && share == 0
        });
        eventually("the cut is logged", || {
            fleet.entries[entry].log_contains("YL7002")
        });
    }
    eventually("the new version is unloaded", || versions(&fleet) == ["v1"]);
    traffic.stop();
}

/// Guards against a cut that needs the object API.
#[test]
fn a_failing_version_is_cut_without_the_object_api() {
    let fleet = moving_fleet(2);
    submit_move(&fleet);
    eventually("the version has a share", || state(&fleet, 0).1 > 0);
    fleet.set_platform_faults(&json!({"down": true}));
    break_new_version(&fleet);
    let traffic = Traffic::start(&fleet);
    for entry in 0..2 {
        eventually("the version is cut", || {
            fleet.entries[entry].log_contains("YL7002")
        });
        let (state, share) = state(&fleet, entry);
        assert_ne!(state, "taken_back", "nothing was recorded");
        assert_eq!(share, 0);
    }
    fleet.set_platform_faults(&json!({"down": false}));
    for entry in 0..2 {
        eventually("the move is taken back", || {
            state(&fleet, entry).0 == "taken_back"
        });
    }
    traffic.stop();
}

/// Guards against a withdrawal that only entries notice which saw the move
/// configured: all entries start after the ticket that removes it.
#[test]
fn a_withdrawn_move_is_taken_back_by_new_entries() {
    let mut fleet = moving_fleet(2);
    submit_move(&fleet);
    eventually("the version has a share", || state(&fleet, 0).1 > 0);
    fleet.entries.clear();
    let withdrawal = json!([{"kind": "move", "name": "to-v2"}]);
    fleet.submit(&ticket(3, &json!([]), &withdrawal));
    for entry in 0..2 {
        fleet.add_entry(&format!("late-{entry}"));
    }
    eventually("the new version is unloaded", || versions(&fleet) == ["v1"]);
    let stored = stored_move(&fleet);
    assert_eq!(
        stored["phase"],
        json!({"taken_back": {"reason": "withdrawn"}})
    );
}
