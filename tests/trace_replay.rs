//! Guards against recorded traces whose stated outcomes no longer occur, and
//! against a player that does not notice it.

mod support;

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    },
};

use support::fleet::{
    ACME_KEY,
    BRAZOS_KEY,
    Fleet,
    Plan,
    completion,
    eventually,
    post, //
};

/// Waits until both organisations have shares at both entries: the first request
/// waits for the first ledger, and the next one of the trace would overtake it.
fn wait_for_shares(fleet: &Fleet) {
    for entry in 0..2 {
        for key in [ACME_KEY, BRAZOS_KEY] {
            let body = completion("warm", 1, false);
            eventually("the organisation is served", || {
                post(fleet.caller(entry), "/v1/completions", key, &body).status == 200
            });
        }
    }
}

fn play(fleet: &Fleet, trace: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccalatch-replay"))
        .arg("play")
        .args(["--entry", &fleet.caller(0).to_string()])
        .args(["--entry", &fleet.caller(1).to_string()])
        .arg("--json")
        .arg(trace)
        .output()
        .unwrap()
}

#[test]
fn stated_outcomes_occur() {
    let fleet = Fleet::start(&Plan {
        entries: 2,
        engines: 2,
        ..Plan::default()
    });
    wait_for_shares(&fleet);
    let output = play(&fleet, Path::new("traces/nested_prefixes.jsonl"));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(summary["organisations"][0]["answers"], 6, "{text}");
}

#[test]
fn missed_outcomes_fail_the_run() {
    let fleet = Fleet::start(&Plan {
        entries: 2,
        ..Plan::default()
    });
    let path = std::env::temp_dir().join(format!("yuccalatch-trace-{}", std::process::id()));
    let trace = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/x", "expect": {"status": 200}}}"#;
    std::fs::write(&path, trace).unwrap();
    let output = play(&fleet, &path);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("status 200 was stated, 404 was seen"),
        "{text}"
    );
}
