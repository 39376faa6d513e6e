//! New weights of two models are named while servers hold both.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{Case, client, store::Store, system};

const ENGINES: usize = 3;
/// Time between the two names.
const GAP_MS: u64 = 300;
const WATCH_MS: u64 = 14_000;

pub fn run(case: &Case) -> bool {
    let record = &case.record;
    let (store, store_address) = Store::start(&system::new_ip());
    let name_weights = |model: &str, version: u64| {
        let spec = format!("{{\"model\":\"{model}\",\"version\":{version}}}");
        let rev = store.put("versions", model, &spec);
        record.add(format!("operator: version {version} of {model} is named, revision {rev}"));
    };
    name_weights("elm", 1);
    name_weights("oak", 1);
    store.put("config", "main", &client::configuration(7));
    // Fencing tokens of the orders that each server received, in their order.
    let fences: Arc<Mutex<BTreeMap<String, Vec<u64>>>> = Arc::default();
    let mut servers = Vec::new();
    for at in 0..ENGINES {
        let id = format!("i-{at:02}");
        let address = system::free_address();
        let (owner, fences) = (Arc::clone(record), Arc::clone(&fences));
        let options = ["slots=96".to_owned(), "models=elm,oak".to_owned()];
        let started = system::start_server("engine", &id, address, &options, move |line| {
            let mut words = line.split(' ');
            if let (Some("order"), Some(id), Some(fence)) = (words.next(), words.next(), words.next()) {
                let mut fences = fences.lock().unwrap();
                fences.entry(id.to_owned()).or_default().push(fence.parse().unwrap_or(0));
            }
            owner.add(format!("server: {line}"));
        });
        system::wait_until("a server listens", 5_000, || {
            crate::http::get_status(address, "/health") == 200
        });
        let entry = client::server_entry("redactor", address, 96, "ready", 1 + at as u64).replace(
            "[{\"name\":\"oak\",\"version\":1,\"adapters\":[]}]",
            "[{\"name\":\"elm\",\"version\":1,\"adapters\":[]},{\"name\":\"oak\",\"version\":1,\"adapters\":[]}]",
        );
        store.put("servers", &id, &entry);
        servers.push(started);
    }
    let entries = system::start_entries(&case.root, &case.scratch, store_address, 2);
    let agents: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| {
            let name = format!("side-{at}");
            system::start_agent(&case.root, &case.scratch, store_address, &name, server.address, &entries)
        })
        .collect();
    system::wait_ready(&entries);
    thread::sleep(Duration::from_millis(2_000));
    name_weights("oak", 2);
    if case.has_trouble {
        thread::sleep(Duration::from_millis(GAP_MS));
        name_weights("elm", 2);
    }
    thread::sleep(Duration::from_millis(WATCH_MS));
    drop(agents);
    drop(servers);
    let fences = fences.lock().unwrap();
    if fences.len() < ENGINES {
        system::give_up("not all servers got an order");
    }
    let mut is_kept = true;
    for (id, fences) in fences.iter() {
        let is_lower = fences.windows(2).any(|pair| pair[1] < pair[0]);
        is_kept &= !is_lower;
        let result = if is_lower { "ONE: a lower one after a higher one" } else { "in order" };
        record.add(format!("fencing tokens of the orders to {id}: {fences:?}: {result}"));
    }
    is_kept
}
