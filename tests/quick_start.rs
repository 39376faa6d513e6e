//! Guards against a quick start that no longer works.

use std::process::Command;

#[test]
fn quickstart_serves_and_hits_the_cache() {
    let programs = std::path::Path::new(env!("CARGO_BIN_EXE_yuccalatch-entry"));
    let output = Command::new("bash")
        .arg("scripts/quickstart.sh")
        .env("PROFILE_DIR", programs.parent().unwrap())
        // Below the range from which the system picks ports for other tests.
        .env("BASE_PORT", "20700")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(
        text.contains("prompt blocks 3, found in the cache 3"),
        "{text}"
    );
    assert!(text.contains("unknown_key"), "{text}");
    assert!(text.contains("\"path\":\"/files/door-17\""), "{text}");
    assert_eq!(text.matches("[DONE]").count(), 2, "{text}");
    assert!(text.contains("stopped"), "{text}");
}
