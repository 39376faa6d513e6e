//! Turns in which engines load weights, and how agents act on them.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use yuccalatch::{
    direct::{
        message::EngineReport,
        order::{
            LoadStep,
            MAX_DRAIN_US,
            next_step, //
        },
        platform_state::{
            PlatformState,
            WeightsRollout, //
        },
        target::{
            TargetRecord,
            TargetState,
            Targets,
            WantedWeights, //
        },
        turns::{
            SPREAD_US,
            loads_at_once,
            offset_us,
            turn_order, //
        },
    },
    names::Name,
};

fn engine(id: &str, state: TargetState) -> Arc<TargetRecord> {
    Arc::new(TargetRecord {
        id: id.into(),
        service: "engines".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        release: "v1".into(),
        slots: 8,
        state,
        started_at_ms: 0,
        weights: BTreeMap::from([("m".into(), 1)]),
        cold_left_ms: 0,
        revision: 1,
    })
}

fn engines(count: usize) -> Targets {
    (0..count)
        .map(|number| engine(&format!("e{number}"), TargetState::Ready))
        .map(|record| (record.id.clone(), record))
        .collect()
}

fn report(version: u64, running: u32, is_busy: bool) -> EngineReport {
    EngineReport {
        weights: vec![("m".into(), version)],
        is_busy,
        running,
        ..EngineReport::default()
    }
}

fn weights(version: u64) -> WantedWeights {
    WantedWeights {
        model: "m".into(),
        version,
        fence: version * 10,
    }
}

/// Guards against turns that come too late for the time limit of a rollout, and
/// against more concurrent loads than the weight store serves without delay.
#[test]
fn turns_stay_within_the_spread_and_the_number_of_concurrent_loads() {
    for count in [1, 3, 12, 18, 46, 50] {
        let turns = turn_order(&engines(count), "m");
        let mut loads_by_offset: BTreeMap<u64, usize> = BTreeMap::new();
        for id in turns.iter() {
            *loads_by_offset.entry(offset_us(&turns, id)).or_default() += 1;
        }
        assert!(
            loads_by_offset.keys().all(|offset| *offset < SPREAD_US),
            "{count}"
        );
        assert!(
            loads_by_offset
                .values()
                .all(|loads| *loads <= loads_at_once(count))
        );
    }
}

/// Guards against turns that are spent on engines that are about to leave.
#[test]
fn draining_engines_have_no_turn() {
    let mut targets = engines(2);
    let leaving = engine("leaving", TargetState::Draining);
    targets.insert(leaving.id.clone(), leaving);
    assert!(!turn_order(&targets, "m").contains(&Name::from("leaving")));
}

/// Guards against an engine that never loads because each new version moves its turn
/// later: its turn counts from the first version that it lacks.
#[test]
fn versions_in_quick_succession_do_not_delay_an_outdated_engine() {
    let mut platform_state = PlatformState {
        targets: engines(12),
        ..PlatformState::default()
    };
    for (version, at_us) in [(2, 0), (3, 3_200_000), (4, 6_400_000)] {
        assert!(platform_state.adopt_weights(weights(version), at_us));
    }
    let rollout = &platform_state.rollouts["m"];
    let last = rollout.turns.last().unwrap();
    let step = next_step(rollout, &report(1, 0, false), last, SPREAD_US);
    assert_eq!(step, LoadStep::Order);
    let step = next_step(rollout, &report(3, 0, false), last, SPREAD_US);
    assert!(matches!(step, LoadStep::WaitUntil(at_us) if at_us > 6_400_000));
}

/// Guards against a return to an older version when messages arrive late or twice.
#[test]
fn an_older_version_is_not_adopted() {
    let mut platform_state = PlatformState::default();
    assert!(platform_state.adopt_weights(weights(3), 0));
    assert!(!platform_state.adopt_weights(weights(3), 1));
    assert!(!platform_state.adopt_weights(weights(2), 1));
    assert_eq!(platform_state.rollouts["m"].weights.version, 3);
}

/// Guards against an order while an engine still runs many requests, and against one
/// that never comes because they do not end.
#[test]
fn an_engine_drains_before_the_order_but_not_for_ever() {
    let rollout = WeightsRollout {
        weights: weights(2),
        wanted_versions: vec![(2, 0)],
        turns: Arc::new(["e0".into()]),
    };
    let id = "e0".into();
    assert_eq!(
        next_step(&rollout, &report(1, 30, false), &id, 0),
        LoadStep::Drain
    );
    assert_eq!(
        next_step(&rollout, &report(1, 30, false), &id, MAX_DRAIN_US),
        LoadStep::Order
    );
    assert_eq!(
        next_step(&rollout, &report(1, 30, true), &id, MAX_DRAIN_US),
        LoadStep::Busy
    );
    assert_eq!(
        next_step(&rollout, &report(2, 30, false), &id, MAX_DRAIN_US),
        LoadStep::Done
    );
}
