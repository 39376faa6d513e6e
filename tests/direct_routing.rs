//! Tests lookups of routes and API keys in a configuration of the direct path.

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
        gap_goal_ms: 0,
        priority: 0,
        shares: vec![TrafficShare {
            service: "engines".into(),
            weight: 1,
        }],
        max_targets: 1,
        is_public: false,
        allowed_regions: vec![],
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
            allowed_regions: vec![],
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
    let matched_prefix = |path| {
        let route = table.route("a.example", path);
        route.map(|route| Arc::clone(&route.prefix))
    };
    assert_eq!(matched_prefix("/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(matched_prefix("/x/yy").as_deref(), Some("/x/"));
    assert_eq!(matched_prefix("/x"), None);
}

#[test]
fn hosts_match_regardless_of_port_and_case() {
    let table = table();
    assert!(table.route("A.Example:8080", "/x/").is_some());
    assert!(table.route("b.example", "/x/").is_none());
}

/// The colons of an IPv6 address are no port.
#[test]
fn hosts_may_be_addresses() {
    let configuration = |host| Configuration {
        version: 1,
        routes: vec![route(host, "/x/")],
        services: vec![],
        organisations: vec![],
        limits: CallerLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
    };
    let table = RoutingTable::new(&configuration("[::1]"));
    assert!(table.route("[::1]", "/x/").is_some());
    assert!(table.route("[::1]:8080", "/x/").is_some());
    let table = RoutingTable::new(&configuration("127.0.0.1"));
    assert!(table.route("127.0.0.1:8080", "/x/").is_some());
}

#[test]
fn only_known_keys_give_an_organisation() {
    let table = table();
    assert_eq!(&*table.organisation_by_key("k2").unwrap().name, "mill");
    assert!(table.organisation_by_key("k3").is_none());
}

/// A request with an unknown outcome must not run twice on a route that does not allow
/// it. `can_resume` has no effect on a route whose answers are no streams.
#[test]
fn requests_repeat_only_on_idempotent_or_resumable_routes() {
    let mut stream = route("a.example", "/x/");
    assert!(!stream.may_repeat());
    stream.can_resume = true;
    assert!(stream.may_repeat());
    let mut plain = route("a.example", "/x/");
    plain.is_stream = false;
    plain.can_resume = true;
    assert!(!plain.may_repeat());
}
