//! Routes, keys and services of a configuration on the direct path.

use std::sync::Arc;

use yuccalatch::direct::routing::{
    CallerLimits,
    Configuration,
    Organisation,
    Route,
    RoutingTable,
    TrafficShare, //
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        is_idempotent: false,
        is_stream: true,
        can_resume: false,
        timeout_ms: 1_000,
        goal_ms: 100,
        priority: 0,
        shares: vec![TrafficShare {
            service: "engines".into(),
            weight: 1,
        }],
        max_targets: 1,
        is_public: false,
    }
}

fn table() -> RoutingTable {
    RoutingTable::new(&Configuration {
        version: 7,
        routes: vec![route("a.example", "/x/"), route("a.example", "/x/y/")],
        services: vec![],
        organisations: vec![Organisation {
            name: "mill".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
            is_isolated: true,
            rate_per_s: 10,
            burst: 10,
            counts_tokens: true,
            default_tokens: 1,
        }],
        limits: CallerLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
    })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let found = |path| {
        let route = table.route("a.example", path);
        route.map(|route| Arc::clone(&route.prefix))
    };
    assert_eq!(found("/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(found("/x/yy").as_deref(), Some("/x/"));
    assert_eq!(found("/x"), None);
}

#[test]
fn hosts_match_without_port_and_case() {
    let table = table();
    assert!(table.route("A.Example:8080", "/x/").is_some());
    assert!(table.route("b.example", "/x/").is_none());
}

#[test]
fn every_key_belongs_to_its_organisation() {
    let table = table();
    assert_eq!(&*table.organisation_by_key("k2").unwrap().name, "mill");
    assert!(table.organisation_by_key("k3").is_none());
}

#[test]
fn only_repeatable_routes_may_repeat() {
    let mut stream = route("a.example", "/x/");
    assert!(!stream.may_repeat());
    stream.can_resume = true;
    assert!(stream.may_repeat());
    let mut order = route("a.example", "/x/");
    order.is_stream = false;
    order.can_resume = true;
    assert!(!order.may_repeat());
}
