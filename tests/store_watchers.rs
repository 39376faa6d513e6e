//! Selection of the entries that watch the object store for the others.

use std::collections::BTreeMap;

use yuccalatch::{
    direct::{
        platform::{
            ObjectChange,
            ObjectChanges,
            Topic, //
        },
        platform_state::PlatformState,
        routing::{
            CallerLimits,
            Configuration, //
        },
        watchers::{
            MAX_WATCHERS,
            sources,
            watchers, //
        },
    },
    names::Name,
};

fn entries(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("entry-{number}").into())
        .collect()
}

/// Guards against fewer watchers than a small fleet can have.
#[test]
fn all_entries_of_a_small_fleet_watch() {
    for count in 0..=MAX_WATCHERS {
        let entries = entries(count);
        assert_eq!(watchers(entries.iter()).len(), count);
        assert!(
            entries
                .iter()
                .all(|own| sources(own, entries.iter()).is_empty())
        );
    }
}

/// Guards against watchers in proportion to the fleet, at a store whose rate limits
/// do not grow with it, and against a watcher that gets most of the requests.
#[test]
fn the_number_of_watchers_does_not_grow() {
    for count in [25, 100, 400] {
        let entries = entries(count);
        let mut requesters: BTreeMap<&Name, usize> = BTreeMap::new();
        for own in &entries {
            for source in sources(own, entries.iter()) {
                assert_ne!(source, own);
                *requesters.entry(source).or_default() += 1;
            }
        }
        assert_eq!(requesters.len(), MAX_WATCHERS);
        // Each entry has two of six as sources; none gets over three times its fair
        // share.
        let fair = (count - MAX_WATCHERS) * 2 / MAX_WATCHERS;
        assert!(
            requesters.values().all(|count| *count <= fair * 3),
            "{requesters:?}"
        );
    }
}

/// Guards against an entry that relies on watchers before it is registered, when the
/// other entries do not have it in their lists yet.
#[test]
fn an_entry_that_is_not_registered_watches() {
    let entries = entries(25);
    assert!(sources(&"entry-99".into(), entries.iter()).is_empty());
}

/// Guards against new watchers throughout the fleet whenever an entry joins.
#[test]
fn a_new_entry_replaces_at_most_one_watcher() {
    let before = entries(25);
    let after = entries(26);
    let kept = watchers(before.iter());
    let lost = watchers(after.iter())
        .into_iter()
        .filter(|name| !kept.contains(name));
    assert!(lost.count() <= 1);
}

/// Guards against a whole fleet that watches the store until the first weights are
/// wanted, which may take all day.
#[test]
fn an_entry_without_wanted_weights_needs_only_changes() {
    let configuration = Configuration {
        version: 1,
        routes: vec![],
        services: vec![],
        organisations: vec![],
        limits: CallerLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
    };
    let mut platform_state = PlatformState::default();
    let listing = |changes| ObjectChanges {
        changes,
        revision: 1,
    };
    let change = ObjectChange::Configuration(Box::new(configuration));
    platform_state.apply(Topic::Configuration, listing(vec![change]), true, None, 0);
    platform_state.apply(Topic::Targets, listing(vec![]), true, None, 0);
    assert!(!platform_state.has_initial_state());
    platform_state.apply(Topic::Weights, listing(vec![]), true, None, 0);
    assert!(platform_state.has_initial_state());
}
