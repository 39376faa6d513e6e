//! Object API: conditional writes, listings, watches, instances and faults.

mod support;

use support::{
    deadline_us,
    get_json,
    set_faults,
    with_platform, //
};
use yuccalatch::{
    process::platform::{
        Condition,
        InstanceRecord,
        InstanceRole,
        MAX_VALUE_BYTES,
        ObjectVersion,
        PlatformError, //
    },
    standin::{
        fault::PlatformFaults,
        platform::CallCounters, //
    },
};

/// Guards against a write that takes effect although its condition fails.
#[test]
fn conditional_writes() {
    with_platform(async |platform| {
        let deadline_us = deadline_us(&platform);
        let put = async |value: &'static str, condition| {
            platform
                .put("a/b", value.into(), condition, deadline_us)
                .await
        };
        let first = put("1", Condition::Absent).await.unwrap();
        let conflict = PlatformError::Conflict {
            current: Some(first),
        };
        assert_eq!(put("2", Condition::Absent).await, Err(conflict.clone()));
        let wrong = Condition::Version(ObjectVersion(first.0 + 7));
        assert_eq!(put("2", wrong).await, Err(conflict));
        let second = put("2", Condition::Version(first)).await.unwrap();
        let stored = platform.get("a/b", deadline_us).await.unwrap().unwrap();
        assert_eq!((stored.value.as_ref(), stored.version), (&b"2"[..], second));
        platform.delete("a/b", second, deadline_us).await.unwrap();
        assert_eq!(platform.get("a/b", deadline_us).await, Ok(None));
        let gone = PlatformError::Conflict { current: None };
        assert_eq!(put("3", Condition::Version(second)).await, Err(gone));
    });
}

/// Guards against values near the limit being cut or refused.
#[test]
fn largest_value() {
    with_platform(async |platform| {
        let deadline_us = deadline_us(&platform);
        let value = vec![7; MAX_VALUE_BYTES];
        platform
            .put("big", value.clone().into(), Condition::Absent, deadline_us)
            .await
            .unwrap();
        let stored = platform.get("big", deadline_us).await.unwrap().unwrap();
        assert_eq!(stored.value, value);
        let larger = vec![7; MAX_VALUE_BYTES + 1];
        let refused = platform.put("big", larger.into(), Condition::Absent, deadline_us);
        assert_eq!(refused.await, Err(PlatformError::TooLarge));
    });
}

/// Guards against listings and watches that miss or invent changes.
#[test]
fn listings_and_watches() {
    with_platform(async |platform| {
        let deadline_us = deadline_us(&platform);
        for key in ["x/1", "x/2", "y/1"] {
            let put = platform.put(key, key.into(), Condition::Absent, deadline_us);
            put.await.unwrap();
        }
        let listing = platform.list("x/", "", deadline_us).await.unwrap();
        let keys: Vec<_> = listing.objects.iter().map(|o| o.key.as_ref()).collect();
        assert_eq!((keys, listing.more), (vec!["x/1", "x/2"], false));
        let rest = platform.list("x/", "x/1", deadline_us).await.unwrap();
        assert_eq!(rest.objects.len(), 1);

        let quiet = platform.watch("x/", listing.revision, 0, deadline_us).await;
        assert!(quiet.unwrap().changes.is_empty());
        let write = platform.put("x/3", "3".into(), Condition::Absent, deadline_us);
        let watch = platform.watch("x/", listing.revision, 60_000, deadline_us);
        let (watched, written) = tokio::join!(watch, write);
        let changes = watched.unwrap().changes;
        assert_eq!(changes[0].key.as_ref(), "x/3");
        assert_eq!(changes[0].revision, written.unwrap().0);
        let counters: CallCounters = get_json(platform.address(), "/counters").await;
        assert_eq!((counters.put, counters.list, counters.watch), (4, 2, 2));
    });
}

/// Guards against a list of instances that shows a change before its lag.
#[test]
fn lagging_instances() {
    with_platform(async |platform| {
        let record = InstanceRecord {
            name: "entry-1".into(),
            role: InstanceRole::Entry,
            data_centre: "a".into(),
            control_address: "127.0.0.1:7100".parse().unwrap(),
            leaving: false,
        };
        let client = ntex::client::Client::new().await;
        let put = client.put(format!("http://{}/instances", platform.address()));
        put.send_json(&vec![record.clone()]).await.unwrap();
        let deadline_us = deadline_us(&platform);
        assert_eq!(platform.instances(deadline_us).await, Ok(vec![record]));
        let faults = PlatformFaults {
            instances_lag_ms: 3_600_000,
            ..PlatformFaults::default()
        };
        set_faults(platform.address(), &faults).await;
        assert_eq!(platform.instances(deadline_us).await, Ok(vec![]));
    });
}

/// Guards against a lost answer that looks like a refusal, and the reverse.
#[test]
fn typed_failures() {
    with_platform(async |platform| {
        let address = platform.address();
        let deadline_us = deadline_us(&platform);
        let put = async |key| {
            platform
                .put(key, "1".into(), Condition::Absent, deadline_us)
                .await
                .unwrap_err()
        };
        let lose = PlatformFaults {
            lose_answer_once: true,
            ..PlatformFaults::default()
        };
        set_faults(address, &lose).await;
        assert!(put("lost").await.is_outcome_unknown());
        assert!(matches!(put("lost").await, PlatformError::Conflict { .. }));
        let garbage = PlatformFaults {
            garbage: true,
            ..PlatformFaults::default()
        };
        set_faults(address, &garbage).await;
        assert!(put("garbage").await.is_outcome_unknown());
        let listing = platform.list("", "", deadline_us).await;
        assert!(matches!(listing, Err(PlatformError::Malformed(_))));
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        set_faults(address, &down).await;
        let read = platform.get("lost", deadline_us).await;
        assert!(matches!(read, Err(PlatformError::Unavailable(_))));
        assert!(put("down").await.is_outcome_unknown());
        let late = platform.put("late", "1".into(), Condition::Absent, 0).await;
        assert!(matches!(late, Err(PlatformError::Unavailable(_))));
        set_faults(address, &PlatformFaults::default()).await;
        assert_eq!(platform.get("down", deadline_us).await, Ok(None));
        assert!(
            platform
                .get("garbage", deadline_us)
                .await
                .unwrap()
                .is_some()
        );
    });
}
