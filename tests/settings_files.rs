//! Settings files: defaults, positions of problems, and unreadable files.

use std::path::Path;

use yuccalatch::{
    error::ErrorKind,
    settings::{
        AgentSettings,
        DirectEntrySettings,
        EngineSettings,
        EntrySettings,
        LogSettings,
        QueueSettings,
        Settings,
        StandinSettings,
        default_text,
        parse,
        read, //
    },
};

fn problem<T: Settings + std::fmt::Debug>(text: &str) -> String {
    let report = parse::<T>("s.json", text).unwrap_err();
    report.current_context().to_string()
}

/// Removes fields from a commented text.
fn shortened(text: &str, fields: &[&str]) -> String {
    let value: serde_json::Value = yuccalatch::jsonc::Document::parse("s.json", text)
        .unwrap()
        .deserialize()
        .unwrap();
    let mut object = value.as_object().unwrap().clone();
    for field in fields {
        object.remove(*field).unwrap();
    }
    serde_json::to_string(&object).unwrap()
}

/// Guards against printed defaults that differ from those in force.
#[test]
fn printed_defaults() {
    let text = default_text::<EntrySettings>();
    let printed: EntrySettings = parse("s.json", text).unwrap();
    let optional = [
        "peers",
        "traffic_threads",
        "drain_ms",
        "body_limit_bytes",
        "body_timeout_ms",
        "idempotency_window_ms",
        "log",
    ];
    let short = parse("s.json", &shortened(text, &optional)).unwrap();
    assert_eq!(printed, short);

    let text = default_text::<AgentSettings>();
    let printed: AgentSettings = parse("s.json", text).unwrap();
    let optional = [
        "checks_fencing",
        "peers",
        "queue",
        "idempotency_window_ms",
        "drain_ms",
        "log",
    ];
    let short = parse("s.json", &shortened(text, &optional)).unwrap();
    assert_eq!(printed, short);
    assert_eq!(printed.queue, QueueSettings::default());

    let text = default_text::<StandinSettings>();
    let printed: StandinSettings = parse("s.json", text).unwrap();
    let short = parse("s.json", &shortened(text, &["engine", "log"])).unwrap();
    assert_eq!(printed, short);
    assert_eq!(printed.engine, EngineSettings::default());
    assert_eq!(printed.log, LogSettings::default());
}

/// Guards against problems without the place or the advice.
#[test]
fn positions_and_hints() {
    let entry = default_text::<EntrySettings>();
    let zero = entry.replace("\"traffic_threads\": 2", "\"traffic_threads\": 0");
    assert_eq!(
        problem::<EntrySettings>(&zero),
        "s.json:18:22: `traffic_threads` is 0, but must be between 1 and 256 \
         (hint: use one thread for each core)"
    );
    let unit = entry.replace("drain_ms", "drain_s");
    assert!(problem::<EntrySettings>(&unit).contains("unit of `drain_ms`"));
    let text = entry.replace("30000", "\"30 s\"");
    assert!(problem::<EntrySettings>(&text).contains("write a plain number"));
    let same = entry.replace("127.0.0.1:9100", "127.0.0.1:8080");
    assert!(problem::<EntrySettings>(&same).starts_with("s.json:11:20: `admin_address` and"));
    let address = entry.replace("127.0.0.1:9100", "localhost");
    assert!(problem::<EntrySettings>(&address).contains("s.json:11:"));
    let name = entry.replace("entry-1", "entry 1");
    assert!(problem::<EntrySettings>(&name).starts_with("s.json:3:11:"));

    let listed = |names: &str| entry.replace("\"entry_slots\": []", names);
    let other = listed("\"entry_slots\": [\"entry-2\"]");
    let found = problem::<EntrySettings>(&other);
    assert!(
        found.contains("`entry_slots` does not contain the own name `entry-1`"),
        "{found}"
    );
    let twice = listed("\"entry_slots\": [\"entry-1\", \"entry-1\"]");
    let found = problem::<EntrySettings>(&twice);
    assert!(
        found.contains("`entry_slots` names `entry-1` twice"),
        "{found}"
    );
    let valid = listed("\"entry_slots\": [\"entry-2\", \"entry-1\"]");
    assert_eq!(
        parse::<EntrySettings>("s.json", &valid)
            .unwrap()
            .entry_slots
            .len(),
        2
    );

    let agent = default_text::<AgentSettings>();
    let queue = agent.replace("\"max_wait_ms\": 10000", "\"max_wait_ms\": 0");
    assert!(problem::<AgentSettings>(&queue).contains("`max_wait_ms` is 0"));
    let kind = agent.replace("\"model\",", "\"models\",");
    assert!(problem::<AgentSettings>(&kind).contains("did you mean `model`?"));
    let standin = default_text::<StandinSettings>();
    let batch = standin.replace("\"batch_size\": 32", "\"batch_size\": 0");
    assert!(problem::<StandinSettings>(&batch).starts_with("s.json:18:19:"));
}

/// Guards against a crash on text that is not JSON.
#[test]
fn malformed_text() {
    for text in [
        "",
        "[",
        "{\"name\": }",
        "\u{feff}{",
        "{\"kind\": \"\\ud800\"}",
        "nul",
    ] {
        assert!(
            problem::<StandinSettings>(text).starts_with("s.json:1:"),
            "{text}"
        );
    }
}

/// Guards against a missing file that counts as an invalid one.
#[test]
fn unreadable_files() {
    let missing = read::<EntrySettings>(Path::new("tests/no-such-file.json")).unwrap_err();
    assert_eq!(*missing.current_context(), ErrorKind::Io);
    let invalid = read::<EntrySettings>(Path::new("Cargo.toml")).unwrap_err();
    assert_eq!(*invalid.current_context(), ErrorKind::SettingsInvalid);
}

/// Guards against an entry that does not start because a bound has a fraction. Bounds that
/// a platform divides among instances have them.
#[test]
fn fractions_of_bounds_are_accepted() {
    let text = default_text::<DirectEntrySettings>()
        .replace(
            "\"spare_retries\": 50",
            "\"spare_retries\": 38.2608695652174",
        )
        .replace("\"retry_window_s\": 10", "\"retry_window_s\": 10.5")
        .replace("\"apply_ms\": 2000", "\"apply_ms\": 2173.9")
        .replace("\"memory_mb\": 0", "\"memory_mb\": 88.5")
        .replace("\"max_descriptors\": 0", "\"max_descriptors\": 4100.5");
    let settings: DirectEntrySettings = parse("s.json", &text).unwrap();
    assert_eq!(settings.spare_retries, 38);
    assert_eq!(settings.retry_window_ms, 10_500);
    assert_eq!(settings.apply_ms, 2_173);
    assert_eq!(settings.memory_mb, 88);
    assert_eq!(settings.max_descriptors, 4_100);

    let text = text.replace("38.2608695652174", "-1");
    assert!(problem::<DirectEntrySettings>(&text).contains("write a number in that range"));
}
