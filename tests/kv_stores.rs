//! Tests which KV cache store entries name when there are several.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use yuccalatch::direct::{
    kv_store::{
        select_source,
        select_store, //
    },
    message::{
        Prompt,
        PromptPart, //
    },
    routing::{
        CallerLimits,
        Configuration,
        RoutingTable,
        Service, //
    },
};

/// Age of weights under which all subjects were computed.
const OLD_US: u64 = 60_000_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([172, 20, 0, number], 8_342))
}

fn table_with_stores(numbers: &[u8]) -> RoutingTable {
    let service = |number: &u8| Service {
        name: format!("store-{number}").into(),
        engine: None,
        kv_store_address: Some(address(*number)),
        kv_store_data_centre: None,
        cold_start_ms: 0,
        cold_milli_per_s: 0,
    };
    RoutingTable::new(&Configuration {
        version: 1,
        routes: vec![],
        services: numbers.iter().map(service).collect(),
        organisations: vec![],
        limits: CallerLimits {
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
    })
}

fn prompt(subject: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: "m".into(),
        input_tokens: 9_000,
        max_output_tokens: 10,
        expected_output_tokens: 10,
        parts: vec![part(1, 2_500), part(subject, 3_800)],
    }
}

/// Parts that one entry exports are lost to the others if they name another store.
/// Each table has its own hash seed, as each entry has.
#[test]
fn all_entries_name_the_same_store_for_a_subject() {
    let tables: Vec<_> = (0..16).map(|_| table_with_stores(&[2, 4, 6])).collect();
    for subject in 0..50 {
        let store = |table: &RoutingTable| select_store(table.kv_stores(), &[], &prompt(subject));
        let first = store(&tables[0]).unwrap();
        assert!(tables.iter().all(|table| store(table) == Some(first)));
    }
}

#[test]
fn subjects_spread_over_all_stores() {
    let table = table_with_stores(&[2, 4, 6]);
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for subject in 0..300 {
        let store = select_store(table.kv_stores(), &[], &prompt(subject)).unwrap();
        *counts.entry(store).or_default() += 1;
    }
    assert_eq!(counts.len(), 3);
    assert!(counts.values().all(|count| *count >= 60), "{counts:?}");
}

#[test]
fn a_store_that_is_down_moves_only_its_own_subjects() {
    let stores = [address(2), address(4), address(6)];
    for subject in 0..100 {
        let before = select_store(&stores, &[], &prompt(subject));
        let after = select_store(&stores, &[address(4)], &prompt(subject));
        assert_ne!(after, Some(address(4)));
        assert!(before == after || before == Some(address(4)));
    }
}

/// Engines that have only the preamble are many. If they were the source, each engine
/// would compute the subject again, though the store has it.
#[test]
fn a_subject_is_imported_from_the_store_while_engines_have_only_the_preamble() {
    let (engine, store) = (Some(address(9)), Some(address(2)));
    let prompt = prompt(7);
    assert_eq!(
        select_source((engine, 2_500), store, &prompt, OLD_US),
        store
    );
    assert_eq!(
        select_source((engine, 6_300), store, &prompt, OLD_US),
        engine
    );
    assert_eq!(select_source((None, 0), store, &prompt, OLD_US), store);
}

#[test]
fn without_a_store_the_best_engine_is_the_source() {
    let engine = Some(address(9));
    assert_eq!(
        select_source((engine, 2_500), None, &prompt(7), OLD_US),
        engine
    );
    assert_eq!(select_source((None, 0), None, &prompt(7), OLD_US), None);
}

/// The store has nothing of new weights yet, while the first engines have the preamble.
#[test]
fn engines_come_before_the_store_while_weights_are_new() {
    let (engine, store) = (Some(address(9)), Some(address(2)));
    assert_eq!(select_source((engine, 2_500), store, &prompt(7), 0), engine);
    assert_eq!(select_source((None, 0), store, &prompt(7), 0), store);
}
