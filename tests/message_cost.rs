//! Guards against control messages that exceed the budget of bytes that a node may
//! send in a second, and against batches that lack reports or repeat them needlessly.

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
/// Entries and targets in one of nine data centres.
const ENTRIES: usize = 45;
const TARGETS: usize = 589;
const DATA_CENTRES: usize = 9;
/// Limit of loads in one digest, as an entry of such a data centre sets it.
const MAX_LOADS: usize = 6;
/// JSON-RPC around the packed text. The sums below add the header of the WebSocket
/// frame: 8 bytes for a request, 4 for an answer.
const REQUEST: &str = r#"{"jsonrpc":"2.0","id":123456,"method":"peer_exchange","params":[]}"#;
const ANSWER: &str = r#"{"jsonrpc":"2.0","id":123456,"result":}"#;
const REQUEST_BYTES: usize = REQUEST.len() + 8;
const ANSWER_BYTES: usize = ANSWER.len() + 4;
/// Bytes of a connection's pings in a second, and of the answers to them.
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

/// An entry is the first collector of half the targets that report to it.
fn is_first() -> impl Iterator<Item = bool> {
    [true, false].into_iter().cycle()
}

/// Fails when what an agent sends in a second exceeds the budget, or what an entry
/// sends while its targets are idle or while the load of every target changes.
#[test]
fn messages_of_an_entry_and_an_agent_fit_the_budget() {
    let collected = 2 * TARGETS / ENTRIES;
    let targets: Vec<Report> = (0..collected)
        .map(|number| report(&format!("engine-{number:04}"), Role::Target, 1))
        .collect();
    let mut delta_sender = DeltaSender::default();
    let first = delta_sender.next_batch(targets.iter().zip(is_first()), MAX_LOADS);
    let complete = bytes_of(&Packed(digest(first)));
    let steady = bytes_of(&Packed(digest(
        delta_sender.next_batch(targets.iter().zip(is_first()), MAX_LOADS),
    )));
    // The load of every target changes all the time.
    let mut busy = targets.clone();
    for target in &mut busy {
        target.queue_us *= 2;
    }
    let changed = bytes_of(&Packed(digest(
        delta_sender.next_batch(busy.iter().zip(is_first()), MAX_LOADS),
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

    // Each second, every entry calls two parents and is called by eight children. With
    // all other entries of its data centre and one entry of each other data centre, it
    // exchanges digests every eight seconds. Either side of a call sends a digest.
    let rounds = ENTRIES.div_ceil(6);
    let pairs = ENTRIES - 1 + DATA_CENTRES - 1;
    let other_exchanges = (pairs - 10).div_ceil(rounds);
    let envelopes = 2 * REQUEST_BYTES + 8 * ANSWER_BYTES + other_exchanges * REQUEST_BYTES;
    let pings = pairs / 2 * (PING_BYTES + PONG_BYTES) + collected * PONG_BYTES;
    let answers = collected * (answer + ANSWER_BYTES);
    let fixed = envelopes + pings + answers;
    let idle = (10 + other_exchanges) * steady + fixed;
    let loaded = (10 + other_exchanges) * changed + fixed;
    let agent_sends = 2 * (agent + REQUEST_BYTES + PING_BYTES);
    println!("entry sends {idle} bytes/s idle, {loaded} under load; agent {agent_sends}");
    assert!(agent_sends <= BUDGET_BYTES);
    assert!(idle <= BUDGET_BYTES);
    assert!(loaded <= BUDGET_BYTES);
}

/// Fails when a batch repeats the reports of entries of which only the configuration
/// revision has changed, or when the receiver does not apply that revision.
#[test]
fn a_new_revision_repeats_no_report() {
    let mut members = Membership::default();
    let mut delta_sender = DeltaSender::default();
    let mut delta_receiver = DeltaReceiver::default();
    let mut entries: Vec<Report> = (0..3)
        .map(|number| report(&format!("entry-{number}"), Role::Entry, 1))
        .collect();
    let mut send_batch = |entries: &[Report]| {
        let batch = delta_sender.next_batch(entries.iter().map(|entry| (entry, false)), 0);
        delta_receiver.apply(&batch, &mut members, 0, 9);
        assert!(!delta_receiver.has_missed_batch());
        let revision_of = |entry: &Report| members.get(&entry.name).unwrap().revision;
        assert!(
            entries
                .iter()
                .all(|entry| revision_of(entry) == entry.revision)
        );
        batch.changed.len()
    };
    assert_eq!(send_batch(&entries), 3);
    entries[0].revision += 1;
    entries[2].revision += 1;
    assert_eq!(send_batch(&entries), 0);
    entries[1].revision += 1;
    assert_eq!(send_batch(&entries), 0);
}

/// Fails when a receiver does not detect that a batch was lost, or when a complete
/// batch afterwards does not bring it up to date.
#[test]
fn a_lost_batch_is_detected_and_replaced() {
    let mut members = Membership::default();
    let mut delta_sender = DeltaSender::default();
    let mut delta_receiver = DeltaReceiver::default();
    let mut target = report("engine-1", Role::Target, 1);
    delta_receiver.apply(
        &delta_sender.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        0,
        9,
    );
    assert!(!delta_receiver.has_missed_batch());
    target.is_leaving = true;
    target.sequence = 2;
    target.revision += 1;
    let _lost = delta_sender.next_batch([(&target, true)].into_iter(), MAX_LOADS);
    delta_receiver.apply(
        &delta_sender.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        1,
        9,
    );
    assert!(delta_receiver.has_missed_batch());
    delta_sender.restart();
    delta_receiver.apply(
        &delta_sender.next_batch([(&target, true)].into_iter(), MAX_LOADS),
        &mut members,
        2,
        9,
    );
    assert!(!delta_receiver.has_missed_batch());
    assert!(members.get("engine-1").unwrap().is_leaving);
    assert_eq!(members.get("engine-1").unwrap().revision, 1_000_001);
}
