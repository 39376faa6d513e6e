//! Requests with a part that crashes model servers come at once.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Case,
    client::{self, Outcome},
    store::Store,
    system::{self, Record, Server},
};

/// `stable-window-ms` of the site.
const STABLE_WINDOW_MS: u64 = 3_000;
const ENTRIES: usize = 4;
const ENGINES: usize = 12;
/// Sound requests a second; the site's sheet has 28.
const SOUND_PER_S: u64 = 28;
/// Requests with the deadly part that come within a quarter of a second. With those that
/// follow they are under 0.05 of the requests, the share of the kind `poison`.
const DEADLY: usize = 12;
/// Time between two of them.
const DEADLY_GAP_MS: u64 = 20;
/// Time until a crashed server is back.
const BACK_AFTER_MS: u64 = 3_000;
/// `heartbeat-ms` of the site; an entry goes after three.
const LAPSE_MS: u64 = 3 * 1_200;
const CALM_MS: u64 = 10_000;
/// Time between the ones that follow.
const LATER_GAP_MS: u64 = 1_500;
const TROUBLED_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 5_000;

struct Engines {
    store: Store,
    record: Arc<Record>,
    running: Mutex<Vec<Server>>,
    crashes_ms: Mutex<Vec<u64>>,
}

fn start_engine(engines: &Arc<Engines>, id: String, address: std::net::SocketAddr) {
    let options = ["slots=96".to_owned(), "first-ms=250".to_owned(), "events=10".to_owned(), "gap-ms=20".to_owned()];
    let owner = Arc::clone(engines);
    let own_id = id.clone();
    let server = system::start_server("engine", &id, address, &options, move |line| {
        owner.record.add(format!("server: {line}"));
        if line.starts_with("crash") {
            owner.crashes_ms.lock().unwrap().push(owner.record.now_ms());
            let owner = Arc::clone(&owner);
            let own_id = own_id.clone();
            thread::spawn(move || bring_back(&owner, &own_id, address));
        }
    });
    let born_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let entry = client::server_entry("redactor", address, 96, "ready", born_ms);
    system::wait_until("a server listens", 5_000, || {
        crate::http::get_status(address, "/health") == 200
    });
    engines.store.put("servers", &id, &entry);
    engines.running.lock().unwrap().push(server);
}

/// Starts a crashed server again under a new id, some seconds later.
fn bring_back(engines: &Arc<Engines>, id: &str, address: std::net::SocketAddr) {
    thread::sleep(Duration::from_millis(BACK_AFTER_MS));
    let dead = {
        let mut running = engines.running.lock().unwrap();
        let at = running.iter().position(|server| server.id == id);
        at.map(|at| running.remove(at))
    };
    drop(dead);
    let next = format!("{id}x");
    start_engine(engines, next.clone(), address);
    engines.record.add(format!("server: {next} is back at {address}"));
    thread::sleep(Duration::from_millis(LAPSE_MS - BACK_AFTER_MS));
    engines.store.remove("servers", id);
}

#[derive(Clone)]
struct Sent {
    at_ms: u64,
    is_deadly: bool,
    outcome: Outcome,
}

pub fn run(case: &Case) -> bool {
    let record = &case.record;
    let (store, store_address) = system_store();
    store.put("versions", "oak", "{\"model\":\"oak\",\"version\":1}");
    store.put("config", "main", &client::configuration(7));
    let engines = Arc::new(Engines {
        store: store.clone(),
        record: Arc::clone(record),
        running: Mutex::default(),
        crashes_ms: Mutex::default(),
    });
    for at in 0..ENGINES {
        start_engine(&engines, format!("i-{at:02}"), system::free_address());
    }
    let entries = system::start_entries(&case.root, &case.scratch, store_address, ENTRIES);
    let addresses: Vec<_> = engines.running.lock().unwrap().iter().map(|server| server.address).collect();
    let agents: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(at, address)| {
            let name = format!("side-{at}");
            system::start_agent(&case.root, &case.scratch, store_address, &name, *address, &entries)
        })
        .collect();
    system::wait_ready(&entries);
    system::wait_until("all entries are registered", 5_000, || store.count("entries") == ENTRIES);
    thread::sleep(Duration::from_millis(2_000));

    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let send = {
        let (record, sent) = (Arc::clone(record), Arc::clone(&sent));
        move |id: String, entry: usize, is_deadly: bool| {
            let (record, sent) = (Arc::clone(&record), Arc::clone(&sent));
            let front = fronts[entry % fronts.len()];
            thread::spawn(move || {
                let number = id[1..].parse::<u64>().unwrap_or(0);
                // The first part is common; the last is the request's own.
                let subject = match is_deadly {
                    true => "dead:3780".to_owned(),
                    false => format!("5b{:02x}:3780", number * 7 % 44),
                };
                let parts = format!("c0ffee:2520,{subject},{:x}:2890", 0x1000_0000 + number * 2 + u64::from(is_deadly));
                let fields = client::prompt_fields(&parts, 10);
                let bytes = client::request(&id, "POST", "/verdict/1", DEADLINE_MS, &fields, "");
                let at_ms = record.now_ms();
                let outcome = client::send(front, &bytes, DEADLINE_MS);
                let kind = if is_deadly { "deadly" } else { "sound" };
                record.add(format!(
                    "{kind} {id} sent at {at_ms} to entry {entry}: {} after {} ms, {} bytes, whole {}",
                    outcome.status, outcome.took_ms, outcome.body.len(), outcome.is_whole
                ));
                sent.lock().unwrap().push(Sent { at_ms, is_deadly, outcome });
            })
        }
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = {
        let (send, is_over) = (send.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut number = 0;
            let mut calls = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                calls.push(send(format!("s{number}"), number as usize, false));
                number += 1;
                thread::sleep(Duration::from_millis(1_000 / SOUND_PER_S));
            }
            calls.into_iter().for_each(|call| { let _ = call.join(); });
        })
    };
    thread::sleep(Duration::from_millis(CALM_MS));
    let trouble_ms = record.now_ms();
    let mut calls = Vec::new();
    if case.has_trouble {
        record.add(format!("{DEADLY} requests with the deadly part come"));
        for number in 0..DEADLY {
            calls.push(send(format!("d{number}"), number, true));
            thread::sleep(Duration::from_millis(DEADLY_GAP_MS));
        }
    }
    let until_ms = trouble_ms + TROUBLED_MS;
    let mut number = DEADLY;
    while record.now_ms() < until_ms {
        thread::sleep(Duration::from_millis(LATER_GAP_MS));
        if case.has_trouble {
            calls.push(send(format!("d{number}"), number, true));
            number += 1;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    calls.into_iter().for_each(|call| { let _ = call.join(); });
    let _ = sound.join();
    drop(agents);

    let crashes_ms = engines.crashes_ms.lock().unwrap().clone();
    engines.running.lock().unwrap().clear();
    judge(record, &sent.lock().unwrap(), &crashes_ms, trouble_ms, until_ms)
}

fn system_store() -> (Store, std::net::SocketAddr) {
    Store::start(&system::new_ip())
}

fn judge(record: &Record, sent: &[Sent], crashes_ms: &[u64], trouble_ms: u64, until_ms: u64) -> bool {
    let begun = |from_ms: u64, to_ms: u64| {
        let asked: Vec<_> = sent
            .iter()
            .filter(|each| !each.is_deadly && each.at_ms >= from_ms && each.at_ms < to_ms)
            .collect();
        let begun = asked.iter().filter(|each| each.outcome.status == 200 && !each.outcome.body.is_empty());
        (begun.count(), asked.len())
    };
    let fifth_ms = crashes_ms.iter().take(5).last().copied().unwrap_or(trouble_ms);
    // Outside the disruption: up to its begin, less the time of a request.
    let (calm_begun, calm) = begun(0, trouble_ms.saturating_sub(1_000));
    let (late_begun, late) = begun(fifth_ms + 2 * STABLE_WINDOW_MS, until_ms);
    let mut by_status: HashMap<u16, usize> = HashMap::new();
    for each in sent.iter().filter(|each| !each.is_deadly && each.at_ms >= trouble_ms) {
        *by_status.entry(each.outcome.status).or_default() += 1;
    }
    record.add(format!("servers crashed at {crashes_ms:?} ms"));
    record.add(format!("sound requests after the trouble began, by status: {by_status:?}"));
    record.add(format!("before: {calm_begun} of {calm} sound requests begin at the first attempt"));
    record.add(format!("from two stable windows after the fifth crash: {late_begun} of {late}"));
    if calm < 20 || late < 20 {
        system::give_up("too few requests");
    }
    // Less than half as often breaks the rule.
    late_begun * calm * 2 >= calm_begun * late
}
