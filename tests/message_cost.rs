//! Guards against control messages that outgrow the budget of a node.

use std::net::SocketAddr;

use yuccalatch::{
    names::Incarnation,
    process::{
        membership::{
            Membership, Report, Role,
            digest::{
                Batch,
                DeltaReceiver,
                DeltaSender,
                Digest, //
            },
        },
        rpc::{
            AgentReport,
            Packed,
            ReportAnswer, //
        },
    },
};

/// Bytes that a node may send in a second.
const BUDGET_BYTES: usize = 6_000;
/// Entries and targets of one of nine data centres.
const ENTRIES: usize = 45;
const TARGETS: usize = 589;
const DATA_CENTRES: usize = 9;
/// Loads in one digest, as an entry of such a data centre limits them.
const MAX_LOADS: usize = 6;
/// JSON-RPC around the packed text, and the header of the WebSocket frame.
const REQUEST: &str = r#"{"jsonrpc":"2.0","id":123456,"method":"peer_exchange","params":[]}"#;
const ANSWER: &str = r#"{"jsonrpc":"2.0","id":123456,"result":}"#;
const REQUEST_BYTES: usize = REQUEST.len() + 8;
const ANSWER_BYTES: usize = ANSWER.len() + 4;
/// Pings of a connection in a second, and the answers to them.
const PING_BYTES: usize = 6;
const PONG_BYTES: usize = 2;

fn report(name: &str, role: Role, sequence: u64) -> Report {
    let is_target = role == Role::Target;
    Report {
        name: name.into(),
        role,
        data_centre: "es-norte-1".into(),
        service: if is_target { "drafting" } else { "" }.into(),
        control_address: SocketAddr::from(([10, 20, 30, 40], 7_100)),
        incarnation: Incarnation(u64::MAX),
        sequence,
        is_leaving: false,
        revision: 1_000_000,
        running: 12,
        queued: 3,
        queue_us: 150_000,
        engine: Incarnation(u64::MAX),
        versions: if is_target {
            vec!["oak-2026-12".into()]
        } else {
            Vec::new()
        },
    }
}

fn digest(batch: Batch) -> Digest {
    Digest {
        sender: report("entry-123", Role::Entry, 100_000),
        batch,
        valid_ms: 8_000,
        wants_complete: false,
        sums: Default::default(),
        api_answer_age_ms: Some(1_000),
        entries_checksum: u64::MAX,
        introduced: Vec::new(),
    }
}

fn bytes_of(message: &impl serde::Serialize) -> usize {
    serde_json::to_vec(message).unwrap().len()
}

/// Each entry is the first collector of half its targets.
fn is_first() -> impl Iterator<Item = bool> {
    [true, false].into_iter().cycle()
}

#[test]
fn steady_messages_of_an_entry_fit_the_budget() {
    let collected = 2 * TARGETS / ENTRIES;
    let targets: Vec<Report> = (0..collected)
        .map(|number| report(&format!("engine-{number:04}"), Role::Target, 1))
        .collect();
    let mut outbox = DeltaSender::default();
    let first = outbox.next_batch(targets.iter().zip(is_first()), MAX_LOADS);
    let complete = bytes_of(&Packed(digest(first)));
    let steady = bytes_of(&Packed(digest(
        outbox.next_batch(targets.iter().zip(is_first()), MAX_LOADS),
    )));
    // The load of every target changes all the time.
    let mut busy = targets.clone();
    for target in &mut busy {
        target.queue_us *= 2;
    }
    let changed = bytes_of(&Packed(digest(
        outbox.next_batch(busy.iter().zip(is_first()), MAX_LOADS),
    )));
    let agent = bytes_of(&Packed(AgentReport {
        report: targets[0].clone(),
        is_first: true,
        entries_checksum: u64::MAX,
        api_answer_age_ms: Some(1_000),
        moves_checksum: Some(u64::MAX),
    }));
    let answer = bytes_of(&Packed(ReportAnswer {
        revision: 1_000_000,
        api_answer_age_ms: Some(1_000),
        entries: None,
        moves: None,
    }));
    println!("digest: complete {complete}, steady {steady}, changed {changed} bytes");
    println!("report {agent}, answer {answer} bytes");

    // Every entry calls two parents and is called by eight children each second.
    // Pairs of the data centre, and one entry of every other, follow every eight
    // seconds. Either side of a call sends a digest.
    let rounds = ENTRIES.div_ceil(6);
    let pairs = ENTRIES - 1 + DATA_CENTRES - 1;
    let late_pairs = (pairs - 10).div_ceil(rounds);
    let envelopes = 2 * REQUEST_BYTES + 8 * ANSWER_BYTES + late_pairs * REQUEST_BYTES;
    let pings = pairs / 2 * (PING_BYTES + PONG_BYTES) + collected * PONG_BYTES;
    let answers = collected * (answer + ANSWER_BYTES);
    let fixed = envelopes + pings + answers;
    let idle = (10 + late_pairs) * steady + fixed;
    let loaded = (10 + late_pairs) * changed + fixed;
    let agent_sends = 2 * (agent + REQUEST_BYTES + PING_BYTES);
    println!("entry sends {idle} bytes/s idle, {loaded} under load; agent {agent_sends}");
    assert!(agent_sends <= BUDGET_BYTES);
    assert!(idle <= BUDGET_BYTES);
    assert!(loaded <= BUDGET_BYTES);
}

#[test]
fn a_new_revision_repeats_no_report() {
    let mut members = Membership::default();
    let mut outbox = DeltaSender::default();
    let mut inbox = DeltaReceiver::default();
    let mut entries: Vec<Report> = (0..3)
        .map(|number| report(&format!("entry-{number}"), Role::Entry, 1))
        .collect();
    let mut pass = |entries: &[Report]| {
        let batch = outbox.next_batch(entries.iter().map(|entry| (entry, false)), 0);
        inbox.apply(&batch, &mut members, 0, 9);
        assert!(!inbox.has_missed_batch());
        let revision_of = |entry: &Report| members.get(&entry.name).unwrap().revision;
        assert!(
            entries
                .iter()
                .all(|entry| revision_of(entry) == entry.revision)
        );
        batch.changed.len()
    };
    assert_eq!(pass(&entries), 3);
    entries[0].revision += 1;
    entries[2].revision += 1;
    assert_eq!(pass(&entries), 0);
    entries[1].revision += 1;
    assert_eq!(pass(&entries), 0);
}

#[test]
fn a_lost_batch_is_noticed() {
    let mut members = Membership::default();
    let mut outbox = DeltaSender::default();
    let mut inbox = DeltaReceiver::default();
    let mut target = report("engine-1", Role::Target, 1);
    inbox.apply(
        &outbox.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        0,
        9,
    );
    assert!(!inbox.has_missed_batch());
    target.is_leaving = true;
    target.sequence = 2;
    target.revision += 1;
    let _lost = outbox.next_batch([(&target, true)].into_iter(), MAX_LOADS);
    inbox.apply(
        &outbox.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        1,
        9,
    );
    assert!(inbox.has_missed_batch());
    outbox.restart();
    inbox.apply(
        &outbox.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        2,
        9,
    );
    assert!(!inbox.has_missed_batch());
    assert!(members.get("engine-1").unwrap().is_leaving);
    assert_eq!(members.get("engine-1").unwrap().revision, 1_000_001);
}
