//! Live entries and targets from reports and digests.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    names::{
        Incarnation,
        Name, //
    },
    process::membership::{
        Change, GONE_AFTER_US, Liveness, Membership, REMOVAL_GRACE_US, Report, Role,
        SUSPECT_AFTER_US,
        digest::{
            Batch,
            Digest,
            RemoteSums,
            SUMS_MAX_AGE_US, //
        },
        rendezvous::{
            COLLECTORS_PER_AGENT,
            choose, //
        },
    },
};

fn report(name: &str, role: Role, incarnation: u64, sequence: u64) -> Report {
    Report {
        name: name.into(),
        role,
        data_centre: "a".into(),
        service: "chat".into(),
        control_address: ([10, 0, 0, 1], 7_000).into(),
        incarnation: Incarnation(incarnation),
        sequence,
        is_leaving: false,
        revision: 1,
        running: 3,
        queued: 2,
        queue_us: 0,
        engine: Incarnation(0),
        versions: Vec::new(),
    }
}

/// Guards against new work for a target that announced its stop, also when an
/// older report or digest arrives after the announcement.
#[test]
fn leaving_targets_get_no_work() {
    let mut membership = Membership::default();
    membership.apply_report(report("t1", Role::Target, 1, 1), 0);
    assert_eq!(membership.serving(Role::Target).count(), 1);
    let changes = membership.mark_leaving(&"t1".into(), Incarnation(1));
    assert_eq!(changes, [Change::Leaving("t1".into())]);
    assert_eq!(membership.serving(Role::Target).count(), 0);
    membership.apply_report(report("t1", Role::Target, 1, 2), 1);
    assert_eq!(membership.serving(Role::Target).count(), 0);
    membership.apply_report(report("t1", Role::Target, 2, 1), 2);
    assert_eq!(
        membership.serving(Role::Target).count(),
        1,
        "a new process serves"
    );
    membership.mark_leaving(&"t1".into(), Incarnation(1));
    assert_eq!(
        membership.serving(Role::Target).count(),
        1,
        "a late notice of the old one"
    );
}

/// Guards against repeated reports in digests that keep a silent member alive,
/// and against late reports of a former process.
#[test]
fn repeated_reports_keep_no_member_alive() {
    let mut membership = Membership::default();
    membership.apply_report(report("t1", Role::Target, 1, 5), 0);
    let repeated = report("t1", Role::Target, 1, 5);
    assert!(
        membership
            .apply_report(repeated, SUSPECT_AFTER_US - 1)
            .is_empty()
    );
    assert_eq!(
        membership.tick(SUSPECT_AFTER_US),
        [Change::Suspected("t1".into())]
    );
    assert!(membership.sums("a").is_empty());
    assert_eq!(membership.tick(GONE_AFTER_US), [Change::Gone("t1".into())]);

    let restarted = membership.apply_report(report("t1", Role::Target, 2, 1), GONE_AFTER_US);
    assert_eq!(restarted, [Change::Restarted("t1".into())]);
    assert!(
        membership
            .apply_report(report("t1", Role::Target, 1, 9), GONE_AFTER_US)
            .is_empty()
    );
    assert!(membership.is_proven_gone("t1", Incarnation(1), GONE_AFTER_US));
    assert!(!membership.is_proven_gone("t1", Incarnation(2), GONE_AFTER_US));
}

/// Guards against treating the platform's lagging list as membership, and
/// silence as proof.
#[test]
fn platform_list_only_adds_candidates() {
    let mut membership = Membership::default();
    membership.apply_report(report("e1", Role::Entry, 1, 1), 0);
    membership.set_platform_list(["e1".into(), "e2".into()].into(), 0);
    let candidates: Vec<&Name> = membership.candidates().collect();
    assert_eq!(candidates, [&Name::from("e2")]);
    assert_eq!(membership.serving(Role::Entry).count(), 1);

    membership.set_platform_list(["e2".into()].into(), 10);
    assert_eq!(membership.liveness("e1"), Some(Liveness::Live));
    assert!(!membership.is_proven_gone("e1", Incarnation(1), 10 + REMOVAL_GRACE_US - 1));
    assert!(membership.is_proven_gone("e1", Incarnation(1), 10 + REMOVAL_GRACE_US));
    membership.tick(GONE_AFTER_US);
    assert!(!membership.is_proven_gone("e2", Incarnation(7), 100 * REMOVAL_GRACE_US));
    membership.set_platform_list(["e1".into(), "e2".into()].into(), 20);
    assert!(!membership.is_proven_gone("e1", Incarnation(1), 10 + REMOVAL_GRACE_US));
}

/// Guards against digests between data centres that grow with the targets, and
/// against the use of old sums.
#[test]
fn remote_sums_stay_small_and_expire() {
    let mut membership = Membership::default();
    for number in 0..600 {
        let name = format!("t{number}");
        membership.apply_report(report(&name, Role::Target, 1, 1), 0);
    }
    membership.mark_leaving(&"t0".into(), Incarnation(1));
    let digest = Digest {
        sender: report("e1", Role::Entry, 1, 1),
        batch: Batch::default(),
        valid_ms: 1_000,
        wants_complete: false,
        sums: membership.sums("a"),
        api_answer_age_ms: None,
        entries_checksum: 0,
        introduced: Vec::new(),
    };
    let encoded = postcard::to_stdvec(&digest).expect("serialises");
    assert!(
        encoded.len() < 300,
        "{} bytes for 600 targets",
        encoded.len()
    );
    let mut sums = RemoteSums::default();
    sums.update(&digest, 5);
    sums.update(&digest, 5);
    let sum = sums.get("a", "chat", 5).expect("just received");
    assert_eq!(
        (sum.serving, sum.leaving, sum.running, sum.queued),
        (599, 1, 1_800, 1_200)
    );
    assert_eq!(sums.get("a", "chat", 5 + SUMS_MAX_AGE_US), None);
}

/// Guards against agents that lose both collectors when one entry goes.
#[test]
fn collectors_move_only_with_their_entry() {
    fn property(entries: Vec<u16>, agent: u16) -> bool {
        let entries: std::collections::BTreeSet<Name> = entries
            .iter()
            .map(|number| Name::from(format!("e{number}")))
            .collect();
        let agent = format!("t{agent}");
        let chosen = choose(&agent, entries.iter(), COLLECTORS_PER_AGENT);
        let Some(lost) = chosen.first() else {
            return entries.is_empty();
        };
        let left = entries.iter().filter(|name| *name != lost);
        let again = choose(&agent, left, COLLECTORS_PER_AGENT);
        chosen.len() == entries.len().min(COLLECTORS_PER_AGENT)
            && chosen.iter().skip(1).all(|name| again.contains(name))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(500)
        .quickcheck(property as fn(Vec<u16>, u16) -> bool);
}

/// Guards against reports to suspect, leaving or distant entries.
#[test]
fn collectors_are_live_and_local() {
    let mut membership = Membership::default();
    for number in 0..6 {
        let mut entry = report(&format!("e{number}"), Role::Entry, 1, 1);
        entry.data_centre = if number < 4 { "a" } else { "b" }.into();
        membership.apply_report(entry, 0);
    }
    let first = membership.collectors("t1", "a");
    membership.mark_leaving(&first[0], Incarnation(1));
    let second = membership.collectors("t1", "a");
    assert!(!second.contains(&first[0]) && second.contains(&first[1]));
    assert_eq!(membership.collectors("t1", "c").len(), COLLECTORS_PER_AGENT);
    membership.tick(SUSPECT_AFTER_US);
    assert!(membership.collectors("t1", "a").is_empty());
}
