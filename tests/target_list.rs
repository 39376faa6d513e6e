//! Updates of the list of targets around an outage of the store.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use yuccalatch::direct::{
    platform::{
        ObjectChange,
        ObjectChanges,
        Topic, //
    },
    platform_state::{
        PlatformState,
        RECORD_RETURN_US, //
    },
    target::{
        TargetRecord,
        TargetState, //
    },
};

/// Returns the address of a target. All targets besides `a` and `b` share one.
fn address(id: &str) -> SocketAddr {
    let port = match id {
        "a" => 1,
        "b" => 2,
        _ => 3,
    };
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(id: &str) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        service: "engines".into(),
        address: address(id),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 8,
        state: TargetState::Ready,
        started_at_ms: 0,
        weights: BTreeMap::new(),
        cold_left_ms: 0,
        revision: 1,
    }
}

fn listing(ids: &[&str], revision: u64) -> ObjectChanges {
    ObjectChanges {
        changes: ids
            .iter()
            .map(|id| ObjectChange::Target(record(id)))
            .collect(),
        revision,
    }
}

/// Guards against requests to a target that is no longer listed, when there was no
/// outage that explains it.
#[test]
fn an_unlisted_target_is_removed_at_once_without_an_outage() {
    let mut platform_state = PlatformState::default();
    platform_state.apply(Topic::Targets, listing(&["a", "b"], 1), true, None, 0);
    platform_state.apply(Topic::Targets, listing(&["a"], 2), true, None, 10);
    assert!(!platform_state.targets.contains_key("b"));
}

/// Guards against the loss of live targets whose records expired during an outage of
/// the store, and against keeping those that do not return after it.
#[test]
fn targets_with_expired_records_are_kept_until_the_records_can_return() {
    let mut platform_state = PlatformState::default();
    platform_state.apply(Topic::Targets, listing(&["a", "b"], 1), true, None, 0);
    let recovered_at_us = 1_000_000;
    let empty = listing(&[], 2);
    platform_state.apply(
        Topic::Targets,
        empty,
        true,
        Some(recovered_at_us),
        recovered_at_us,
    );
    assert_eq!(platform_state.targets.len(), 2);
    let back = listing(&["a"], 3);
    let now_us = recovered_at_us + RECORD_RETURN_US / 2;
    platform_state.apply(Topic::Targets, back, false, Some(recovered_at_us), now_us);
    assert!(platform_state.expire(recovered_at_us + RECORD_RETURN_US));
    assert!(platform_state.targets.contains_key("a"));
    assert!(!platform_state.targets.contains_key("b"));
}

/// Guards against requests to targets that have ended: all instances lose power, the
/// engines return under new ids at their old addresses, and their old records expire
/// only seconds later.
#[test]
fn a_new_target_replaces_the_one_at_its_address() {
    let mut platform_state = PlatformState::default();
    platform_state.apply(Topic::Targets, listing(&["old"], 1), true, None, 0);
    platform_state.apply(Topic::Targets, listing(&["new"], 2), false, None, 1);
    assert!(!platform_state.targets.contains_key("old"));
    // A listing that still has the old record does not restore the old target.
    platform_state.apply(Topic::Targets, listing(&["new", "old"], 3), true, None, 2);
    assert!(platform_state.targets.contains_key("new"));
    assert!(!platform_state.targets.contains_key("old"));
    // A target that starts at the address later replaces this one as well.
    platform_state.apply(Topic::Targets, listing(&["newest"], 4), false, None, 3);
    assert_eq!(platform_state.targets.len(), 1);
    assert!(platform_state.targets.contains_key("newest"));
}

/// Guards against an ended target in place of the live one at its address: a listing
/// is not in the order of the starts.
#[test]
fn a_listing_keeps_the_latest_start_at_an_address() {
    let mut platform_state = PlatformState::default();
    let mut changes = listing(&["first", "latest", "other"], 1);
    if let ObjectChange::Target(record) = &mut changes.changes[1] {
        record.started_at_ms = 5;
    }
    platform_state.apply(Topic::Targets, changes, true, None, 0);
    assert_eq!(platform_state.targets.len(), 1);
    assert!(platform_state.targets.contains_key("latest"));
}

/// Guards against requests to a target whose record was overwritten by another writer
/// and cannot be read; the store client reports such a target as gone.
#[test]
fn a_target_with_an_unreadable_record_is_removed() {
    let mut platform_state = PlatformState::default();
    platform_state.apply(Topic::Targets, listing(&["a"], 1), true, None, 0);
    let unreadable = ObjectChanges {
        changes: vec![ObjectChange::TargetRemoved("a".into())],
        revision: 2,
    };
    platform_state.apply(Topic::Targets, unreadable, false, None, 1);
    assert!(platform_state.targets.is_empty());
}
