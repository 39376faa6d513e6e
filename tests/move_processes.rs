//! Version moves with real processes.

mod support;

use std::net::SocketAddr;

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use serde_json::json;
use support::fleet::{
    Fleet,
    Plan,
    eventually,
    get, //
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
    let stored = Move::planned(2, "draft", ("v1", "v2"), accepted, fencing);
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
        client.order(request).await.map_err(rpc::call_failed)
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

/// Returns the versions that the engine itself reports.
fn versions(fleet: &Fleet) -> Vec<String> {
    let address = fleet.targets[0].standin.address("address");
    serde_json::from_value(get(address, "/load").json()["versions"].clone()).unwrap()
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
    assert!(fleet.targets[0].agent.log_contains("YL7003"));
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
