//! A plain server fails part of its requests after it has run them, with a status that
//! to callers means "not run" and without the statement that it has not run them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{Case, client, store::Store, system};

const ENTRIES: usize = 2;
/// One of them is faulty: within the share 0.15 of the kind `srv_grey`.
const SERVERS: usize = 7;
const REQUESTS: u64 = 500;
const DEADLINE_MS: u64 = 4_000;

/// `status` is that of the failures.
pub fn run(case: &Case, status: u16) -> bool {
    let record = &case.record;
    let (store, store_address) = Store::start(&system::new_ip());
    store.put("config", "main", &client::configuration(7));
    let run_ids: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let id = format!("i-{at:02}");
        let address = system::free_address();
        let mut options: Vec<String> = ["slots=6", "work-ms=20"].map(str::to_owned).to_vec();
        if case.has_trouble && at == 0 {
            // The dose 0.4 of the kind `srv_grey`.
            options.push("fail-permille=400".to_owned());
            options.push(format!("fail-status={status}"));
        }
        let (owner, run_ids) = (Arc::clone(record), Arc::clone(&run_ids));
        let started = system::start_server("plain", &id, address, &options, move |line| {
            if let Some(id) = line.strip_prefix("run ").and_then(|rest| rest.split(' ').next()) {
                *run_ids.lock().unwrap().entry(id.to_owned()).or_default() += 1;
            }
            owner.add(format!("server: {line}"));
        });
        system::wait_until("a server listens", 5_000, || {
            crate::http::get_status(address, "/health") == 200
        });
        store.put("servers", &id, &client::server_entry("expediente", address, 6, "ready", 1 + at as u64));
        servers.push(started);
    }
    let entries = system::start_entries(&case.root, &case.scratch, store_address, ENTRIES);
    system::wait_ready(&entries);
    thread::sleep(Duration::from_millis(500));

    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let (record, refused) = (Arc::clone(record), Arc::clone(&refused));
        let front = entries[number as usize % ENTRIES].front;
        calls.push(thread::spawn(move || {
            let id = format!("c{number}");
            let body = format!("issue certificate {number}");
            let bytes = client::request(&id, "POST", "/cert/1", DEADLINE_MS, "", &body);
            let outcome = client::send(front, &bytes, DEADLINE_MS);
            record.add(format!("client: {id} answered {}", outcome.status));
            if matches!(outcome.status, 408 | 421 | 429 | 503) {
                refused.lock().unwrap().push(id);
            }
        }));
        thread::sleep(Duration::from_millis(40));
    }
    calls.into_iter().for_each(|call| { let _ = call.join(); });
    thread::sleep(Duration::from_millis(300));
    drop(servers);
    let run_ids = run_ids.lock().unwrap();
    let refused = refused.lock().unwrap();
    let broken: Vec<_> = refused.iter().filter(|id| run_ids.contains_key(*id)).collect();
    record.add(format!("{} requests have run, {} were refused", run_ids.len(), refused.len()));
    record.add(format!("REFUSED: {} were refused and have run: {broken:?}", broken.len()));
    let twice: Vec<_> = run_ids.iter().filter(|(_, runs)| **runs > 1).collect();
    record.add(format!("TWICE: {} ran more than once: {twice:?}", twice.len()));
    broken.is_empty() && twice.is_empty()
}
