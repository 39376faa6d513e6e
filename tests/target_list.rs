//! The list of targets around an outage of the store.

use std::collections::BTreeMap;

use yuccalatch::direct::{
    knowledge::{
        Knowledge,
        REFILL_US, //
    },
    port::{
        Change,
        Changes,
        Topic, //
    },
    target::{
        TargetRecord,
        TargetState, //
    },
};

fn record(id: &str) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        service: "engines".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 8,
        state: TargetState::Ready,
        started_at_ms: 0,
        weights: BTreeMap::new(),
    }
}

fn listing(ids: &[&str], revision: u64) -> Changes {
    Changes {
        changes: ids.iter().map(|id| Change::Target(record(id))).collect(),
        revision,
    }
}

#[test]
fn a_missing_target_is_gone_at_once_without_an_outage() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(Topic::Targets, listing(&["a", "b"], 1), true, None, 0);
    knowledge.apply(Topic::Targets, listing(&["a"], 2), true, None, 10);
    assert!(!knowledge.targets.contains_key("b"));
}

#[test]
fn lapsed_records_are_kept_until_they_can_be_back() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(Topic::Targets, listing(&["a", "b"], 1), true, None, 0);
    let regained_at_us = 1_000_000;
    let empty = listing(&[], 2);
    knowledge.apply(
        Topic::Targets,
        empty,
        true,
        Some(regained_at_us),
        regained_at_us,
    );
    assert_eq!(knowledge.targets.len(), 2);
    let back = listing(&["a"], 3);
    let now_us = regained_at_us + REFILL_US / 2;
    knowledge.apply(Topic::Targets, back, false, Some(regained_at_us), now_us);
    assert!(knowledge.expire(regained_at_us + REFILL_US));
    assert!(knowledge.targets.contains_key("a"));
    assert!(!knowledge.targets.contains_key("b"));
}

#[test]
fn a_record_of_another_writer_names_no_target() {
    let mut knowledge = Knowledge::default();
    knowledge.apply(Topic::Targets, listing(&["a"], 1), true, None, 0);
    let unreadable = Changes {
        changes: vec![Change::TargetGone("a".into())],
        revision: 2,
    };
    knowledge.apply(Topic::Targets, unreadable, false, None, 1);
    assert!(knowledge.targets.is_empty());
}
