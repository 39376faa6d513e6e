//! Guards against callers' keys that reach a target, a log, a metric, an error
//! body or the object API.

mod support;

use serde_json::json;
use support::fleet::{
    ACME_KEY,
    BRAZOS_KEY,
    Fleet,
    Plan,
    completion,
    exchange,
    get,
    post,
    request, //
};

const UNKNOWN_KEY: &str = "sk-nobody-1122334455667788";

const SECRETS: [&str; 4] = [ACME_KEY, BRAZOS_KEY, UNKNOWN_KEY, "c00kie-s3cret"];

fn assert_clean(place: &str, text: &str) {
    for secret in SECRETS {
        let lower = text.to_ascii_lowercase();
        assert!(
            !lower.contains(&secret.to_ascii_lowercase()),
            "{place}: {text}"
        );
    }
}

/// Ways to present a key, with whether the request is accepted.
fn presentations() -> Vec<(Vec<(&'static str, String)>, bool)> {
    let bearer = |key: &str| format!("Bearer {key}");
    vec![
        (vec![("authorization", bearer(ACME_KEY))], true),
        (vec![("AuThOrIzAtIoN", format!("bEaReR {ACME_KEY}"))], true),
        (vec![("X-API-Key", ACME_KEY.to_owned())], true),
        (vec![("api-key", ACME_KEY.to_owned())], true),
        (vec![("authorization", bearer(UNKNOWN_KEY))], false),
        (
            vec![("authorization", format!("Basic {UNKNOWN_KEY}"))],
            false,
        ),
        (
            vec![
                ("x-api-key", ACME_KEY.to_owned()),
                ("api-key", BRAZOS_KEY.to_owned()),
            ],
            false,
        ),
        (
            vec![
                ("x-api-key", ACME_KEY.to_owned()),
                ("proxy-authorization", bearer(BRAZOS_KEY)),
                ("Cookie", "session=c00kie-s3cret".to_owned()),
            ],
            true,
        ),
    ]
}

/// Every way to present a key has to be removed before the request is forwarded.
#[test]
fn no_key_leaks() {
    let fleet = Fleet::start(&Plan {
        plains: 1,
        ..Plan::default()
    });
    let caller = fleet.caller(0);
    for (headers, is_accepted) in presentations() {
        let headers: Vec<(&str, &str)> = headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let path = format!("/orders?KEY={BRAZOS_KEY}&a=1&api%5Fkey={BRAZOS_KEY}");
        let answer = exchange(caller, &request("POST", &path, &headers, "{}"));
        assert_eq!(
            answer.status == 200,
            is_accepted,
            "{headers:?}: {}",
            answer.text()
        );
        assert_clean("answer", &answer.text());
    }
    let body = completion("a prompt", 3, true);
    assert_eq!(post(caller, "/v1/completions", ACME_KEY, &body).status, 200);
    send_trailers(&fleet);

    for target in &fleet.targets {
        let received = target.received();
        assert_ne!(received, json!([]));
        assert_clean("stand-in", &received.to_string());
    }
    check_processes(&fleet);
}

/// A trailer section may name a key after the body.
fn send_trailers(fleet: &Fleet) {
    let text = format!(
        "POST /orders HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-api-key: {ACME_KEY}\r\n\
         transfer-encoding: chunked\r\ntrailer: authorization\r\n\r\n\
         2\r\n{{}}\r\n0\r\nauthorization: Bearer {BRAZOS_KEY}\r\n\r\n"
    );
    let answer = exchange(fleet.caller(0), text.as_bytes());
    assert_clean("answer", &answer.text());
}

fn check_processes(fleet: &Fleet) {
    let objects = get(fleet.platform_address(), "/objects?prefix=&after=");
    assert_clean("object API", &objects.text());
    let agents = fleet.targets.iter().map(|target| &target.agent);
    for process in agents.chain(&fleet.entries) {
        let metrics = get(process.address("admin_address"), "/metrics");
        assert_clean("metrics", &metrics.text());
        assert_clean("log", &process.log.lock().unwrap().join("\n"));
    }
    for target in &fleet.targets {
        assert_clean("log", &target.standin.log.lock().unwrap().join("\n"));
    }
}
