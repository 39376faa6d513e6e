//! Requests to cold targets, over all entries of a fleet.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use yuccalatch::{
    direct::{
        routing::{
            CallerLimits,
            Configuration,
            RoutingTable,
            Service, //
        },
        target::{
            TargetRecord,
            TargetState,
            Targets, //
        },
        warmup::{
            ColdBounds,
            Sharers,
            Warmup, //
        },
    },
    names::Name,
};

const BOUNDS: ColdBounds = ColdBounds {
    over_permille: 1_500,
    slack: 5,
};

const START_MS: u64 = 1_700_000_000_000;

const COLD_MS: u64 = 20_000;

fn table(cold_milli_per_s: u64) -> RoutingTable {
    RoutingTable::new(&Configuration {
        version: 1,
        routes: vec![],
        services: vec![Service {
            name: "app".into(),
            engine: None,
            kv_store_address: None,
            kv_store_data_centre: None,
            cold_start_ms: COLD_MS,
            cold_milli_per_s,
        }],
        organisations: vec![],
        limits: CallerLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
    })
}

fn targets(cold_left_ms: u64, revision: u64) -> Targets {
    let record = TargetRecord {
        id: "t-1".into(),
        service: "app".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 8,
        state: TargetState::Ready,
        started_at_ms: START_MS,
        weights: BTreeMap::new(),
        cold_left_ms,
        revision,
    };
    Targets::from([(record.id.clone(), Arc::new(record))])
}

/// Sends as many requests as allowed from each of `alive` of `count` entries, every
/// five milliseconds for five seconds. The clock of every other entry is `skew_us` ahead. Returns the times.
fn send_all(count: usize, alive: usize, cold_milli_per_s: u64, skew_us: u64) -> Vec<u64> {
    let names: Vec<Name> = (0..count).map(|at| format!("entry-{at}").into()).collect();
    let registered: BTreeSet<&Name> = names.iter().collect();
    let mut fleet: Vec<Warmup> = (0..alive).map(|_| Warmup::default()).collect();
    let start_us = START_MS * 1_000;
    for warmup in &mut fleet {
        warmup.sync(&table(cold_milli_per_s), &targets(0, 1), start_us);
    }
    let mut sent_us = Vec::new();
    for at_us in (0..5_000_000).step_by(5_000) {
        for (at, warmup) in fleet.iter_mut().enumerate() {
            let sharers = Sharers {
                own: &names[at],
                registered: &registered,
                now_us: at_us,
            };
            let skew_us = if at % 2 == 0 { 0 } else { skew_us };
            if warmup.take(&"t-1".into(), BOUNDS, sharers, start_us + at_us + skew_us) {
                sent_us.push(at_us);
            }
        }
    }
    sent_us
}

fn most_in_a_second(sent_us: &[u64]) -> usize {
    let in_second = |from: &u64| {
        let window = sent_us
            .iter()
            .filter(|at| (*from..from + 1_000_000).contains(at));
        window.count()
    };
    sent_us.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against more requests at a cold target than it tolerates, in any one second:
/// all entries of both deployments' sizes have traffic without pause, and clocks differ.
#[test]
fn all_entries_together_keep_the_bound_and_use_the_rate() {
    for (entries, per_s) in [(1, 3), (4, 12), (28, 2), (28, 12), (31, 60)] {
        for skew_us in [0, 50_000] {
            let sent_us = send_all(entries, entries, per_s * 1_000, skew_us);
            let most = most_in_a_second(&sent_us);
            let allowed = per_s as usize * 3 / 2 + 5;
            assert!(most <= allowed, "{entries} entries: {most} over {allowed}");
            let expected = per_s as usize * 5;
            assert!(
                sent_us.len() + 2 >= expected,
                "{} of {expected}",
                sent_us.len()
            );
        }
    }
}

/// Guards against shares that grow when half of the entries are gone, as those that are
/// only cut off still send.
#[test]
fn the_share_of_an_entry_that_is_gone_is_unused() {
    let sent_us = send_all(28, 14, 12_000, 0);
    let all_us = send_all(28, 28, 12_000, 0);
    let share = sent_us.len() as f64 / all_us.len() as f64;
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against tokens for an entry that does not know how many others there are, and
/// against those of an entry that was heard of and is not registered.
#[test]
fn only_registered_entries_take_tokens() {
    let own: Name = "entry-1".into();
    let mut warmup = Warmup::default();
    warmup.sync(&table(1_000_000), &targets(0, 1), START_MS * 1_000);
    let count_taken = |warmup: &mut Warmup, registered: &BTreeSet<&Name>| {
        let sharers = Sharers {
            own: &own,
            registered,
            now_us: 0,
        };
        let times = (0..1_000).map(|ms| (START_MS + ms) * 1_000);
        let taken = times.filter(|at_us| warmup.take(&"t-1".into(), BOUNDS, sharers, *at_us));
        taken.count()
    };
    assert_eq!(count_taken(&mut warmup, &BTreeSet::new()), 0);
    warmup.merge(&"entry-2".into(), &[], 0, START_MS * 1_000);
    let taken = count_taken(&mut warmup, &BTreeSet::from([&own]));
    assert!((400..=600).contains(&taken), "{taken}");
}

/// Guards against a cold period that ends too early when sources differ, or that grows
/// whenever a record is listed again or entries repeat to each other what they know.
#[test]
fn the_latest_end_of_the_cold_period_counts() {
    let id: Name = "t-1".into();
    let at_us = |ms: u64| (START_MS + ms) * 1_000;
    let mut warmup = Warmup::default();
    warmup.sync(&table(1_000), &targets(100, 1), at_us(0));
    assert!(warmup.is_cold(&id, at_us(COLD_MS - 1)));
    assert!(!warmup.is_cold(&id, at_us(COLD_MS)));
    warmup.sync(&table(1_000), &targets(100, 1), at_us(COLD_MS));
    assert!(!warmup.is_cold(&id, at_us(COLD_MS)));
    // The target is cold again, as a later record and then a response state.
    warmup.sync(&table(1_000), &targets(700, 2), at_us(COLD_MS));
    assert!(warmup.is_cold(&id, at_us(COLD_MS + 699)));
    warmup.report(&id, 900, at_us(COLD_MS));
    assert!(warmup.is_cold(&id, at_us(COLD_MS + 899)));
    let ends = warmup.cold_ends(at_us(COLD_MS));
    warmup.merge(&"entry-2".into(), &ends, 0, at_us(COLD_MS + 500));
    assert!(!warmup.is_cold(&id, at_us(COLD_MS + 900)));
    // Without a stated rate, no target is cold.
    warmup.sync(&table(0), &targets(9_000, 3), at_us(COLD_MS));
    assert!(!warmup.is_cold(&id, at_us(COLD_MS)));
}
