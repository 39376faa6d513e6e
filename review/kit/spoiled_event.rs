//! A model server hands out wrong bytes in a stream that may be resumed.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{Case, client, server, store::Store, system};

const ENTRIES: usize = 2;
const ENGINES: usize = 4;
/// Servers that spoil answers: the share 0.5 of the kind `garble`.
const SPOILING: usize = 2;
/// One answer in this many is spoiled: the dose 0.02 of the kind `garble`.
const SPOIL_EVERY: u64 = 50;
const EVENTS: u64 = 40;
const REQUESTS: u64 = 1_200;
const DEADLINE_MS: u64 = 5_000;

/// The wrong byte of a spoiled answer.
#[derive(Clone, Copy, PartialEq)]
pub enum Wrong {
    /// In the id of the last of four events that are written at once.
    LaterId,
    /// In the id of the first event. Each event is written by itself.
    FirstId,
}

pub fn run(case: &Case, wrong: Wrong) -> bool {
    let record = &case.record;
    let (store, store_address) = Store::start(&system::new_ip());
    store.put("versions", "oak", "{\"model\":\"oak\",\"version\":1}");
    store.put("config", "main", &client::configuration(7));
    let mut servers = Vec::new();
    for at in 0..ENGINES {
        let id = format!("i-{at:02}");
        let address = system::free_address();
        let mut options: Vec<String> =
            ["slots=96", "first-ms=100", "gap-ms=20"].map(str::to_owned).to_vec();
        options.push(format!("stride={}", if wrong == Wrong::LaterId { 4 } else { 1 }));
        options.push(format!("events={EVENTS}"));
        if case.has_trouble && at < SPOILING {
            options.push(format!("spoil-every={SPOIL_EVERY}"));
            let kind = if wrong == Wrong::LaterId { "spoil-id" } else { "spoil-first" };
            options.push(format!("{kind}=1"));
        }
        let owner = Arc::clone(record);
        let started = system::start_server("engine", &id, address, &options, move |line| {
            owner.add(format!("server: {line}"));
        });
        system::wait_until("a server listens", 5_000, || {
            crate::http::get_status(address, "/health") == 200
        });
        store.put("servers", &id, &client::server_entry("redactor", address, 96, "ready", 1 + at as u64));
        servers.push(started);
    }
    let entries = system::start_entries(&case.root, &case.scratch, store_address, ENTRIES);
    let agents: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| {
            let name = format!("side-{at}");
            system::start_agent(&case.root, &case.scratch, store_address, &name, server.address, &entries)
        })
        .collect();
    system::wait_ready(&entries);
    thread::sleep(Duration::from_millis(1_500));

    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<(u64, u64)>> = Arc::default();
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let (record, broken, counts) = (Arc::clone(record), Arc::clone(&broken), Arc::clone(&counts));
        let front = entries[number as usize % ENTRIES].front;
        calls.push(thread::spawn(move || {
            let id = format!("s{number}");
            let parts = format!("c0ffee:252,5b{:02x}:378,{:x}:289", number % 44, 0x1000_0000 + number);
            let fields = client::prompt_fields(&parts, EVENTS);
            let bytes = client::request(&id, "POST", "/verdict/1", DEADLINE_MS, &fields, "");
            let outcome = client::send(front, &bytes, DEADLINE_MS);
            let wanted: String = (1..=EVENTS).map(|number| server::event(&id, number)).collect();
            // The first event of a spoiled answer is passed on as the server sent it; only
            // the others are judged.
            let numbers: Vec<u64> = outcome
                .body
                .lines()
                .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
                .collect();
            let is_complete = outcome.status == 200 && outcome.is_whole;
            // A broken-off stream has to be a beginning of the whole one.
            let is_sound = match wrong {
                Wrong::LaterId if is_complete => outcome.body == wanted,
                Wrong::LaterId => wanted.starts_with(&outcome.body),
                Wrong::FirstId => {
                    let rest = numbers.get(1..).unwrap_or_default();
                    let has_gap = rest.iter().zip(2..).any(|(number, wanted)| *number != wanted);
                    !has_gap && (!is_complete || numbers.len() as u64 == EVENTS)
                }
            };
            let mut counts = counts.lock().unwrap();
            counts.0 += u64::from(is_complete);
            counts.1 += u64::from(outcome.status != 200 || !outcome.is_whole);
            if outcome.status == 200 && !is_sound {
                let line = format!("ORDER: {id} complete {is_complete}, events received: {numbers:?}");
                record.add(&line);
                broken.lock().unwrap().push(line);
            }
        }));
        thread::sleep(Duration::from_millis(20));
    }
    calls.into_iter().for_each(|call| { let _ = call.join(); });
    drop(agents);
    drop(servers);
    let (complete, others) = *counts.lock().unwrap();
    record.add(format!("{complete} of {REQUESTS} streams ended as complete, {others} did not"));
    let broken = broken.lock().unwrap();
    record.add(format!("{} streams have a piece missing or twice", broken.len()));
    if complete * 2 < REQUESTS {
        system::give_up("most streams fail");
    }
    broken.is_empty()
}
