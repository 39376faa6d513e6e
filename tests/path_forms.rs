//! Guards against a path that the router and a target interpret differently, so that
//! a request on a public route reaches a resource that requires an API key.

mod support;

use support::fleet::{
    Fleet,
    Plan,
    get, //
};

/// Guards against dot segments, empty segments and encoded separators, which a target
/// may resolve to another path.
#[test]
fn ambiguous_paths_are_refused() {
    let fleet = Fleet::start(&Plan {
        plains: 1,
        ..Plan::default()
    });
    let caller = fleet.caller(0);
    assert_eq!(get(caller, "/files/door-17").status, 200);
    for path in [
        "/files/../orders",
        "/files//door",
        "/files/./door",
        "/files/%2e%2e/orders",
        "/files%2Fdoor",
        "/files/..%5corders",
    ] {
        let answer = get(caller, path);
        assert_eq!(answer.status, 400, "{path}: {}", answer.text());
        assert_eq!(answer.json()["error"]["kind"], "bad_request", "{path}");
        assert_eq!(answer.json()["error"]["not_run"], true, "{path}");
    }
}
