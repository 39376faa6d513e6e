//! Quarantine of prompt parts that crash the engines which answer them.

use yuccalatch::{
    clock::US_PER_S,
    direct::{
        blame::CRASH_LIMIT,
        quarantine::{
            Admission,
            Quarantine, //
        },
    },
};

const DEADLY: u64 = 0xdead;
const SHARED: u64 = 1;
const ENTRIES: usize = 28;

fn is_refused(quarantine: &Quarantine, part: u64, now_us: u64) -> bool {
    matches!(
        quarantine.admit(&[SHARED, part], now_us, ENTRIES),
        Admission::Refused { .. }
    )
}

/// Guards against a part that crashes one engine after the other, while requests with
/// the same other parts are answered in between.
#[test]
fn a_part_that_crashes_engines_is_refused_and_its_companions_are_not() {
    let mut quarantine = Quarantine::default();
    for crash in 0..CRASH_LIMIT as u64 {
        let now_us = crash * US_PER_S;
        assert!(!is_refused(&quarantine, DEADLY, now_us));
        quarantine.record_crash(&[SHARED, DEADLY], &format!("engine-{crash}"), now_us);
        quarantine.record_begun(&[SHARED, 7], now_us + 1);
    }
    assert!(is_refused(&quarantine, DEADLY, 3 * US_PER_S));
    assert_eq!(
        quarantine.admit(&[SHARED, 7], 3 * US_PER_S, ENTRIES),
        Admission::Open
    );
}

/// Guards against the refusal of all prompts with a common first part while little else
/// is sent: it was in all crashes, too.
#[test]
fn the_common_part_of_deadly_requests_is_not_refused() {
    let mut quarantine = Quarantine::default();
    quarantine.record_begun(&[SHARED, 7], 1);
    for crash in 1..=5 {
        let target = format!("engine-{crash}");
        quarantine.record_crash(&[SHARED, DEADLY], &target, crash * US_PER_S);
    }
    assert!(is_refused(&quarantine, DEADLY, 6 * US_PER_S));
    assert_eq!(
        quarantine.admit(&[SHARED, 7], 6 * US_PER_S, ENTRIES),
        Admission::Open
    );
}

/// Guards against a search that only finds new parts: one that was answered before may
/// crash engines from some moment on, under requests that are otherwise all different.
#[test]
fn a_part_that_was_answered_before_can_be_the_cause() {
    let mut quarantine = Quarantine::default();
    quarantine.record_begun(&[SHARED, DEADLY, 70], 1);
    quarantine.record_begun(&[SHARED, 7, 71], 2);
    for crash in 1..=CRASH_LIMIT as u64 {
        let parts = [SHARED, DEADLY, 100 + crash];
        quarantine.record_crash(&parts, &format!("engine-{crash}"), crash * US_PER_S);
    }
    assert!(is_refused(&quarantine, DEADLY, 6 * US_PER_S));
    assert!(!is_refused(&quarantine, 7, 6 * US_PER_S));
}

/// Guards against a quarantine of parts whose requests only ran on engines that crashed
/// for another reason: their answers had begun.
#[test]
fn a_begun_answer_clears_the_crashes_before_it() {
    let mut quarantine = Quarantine::default();
    for crash in 0..10 {
        let now_us = crash * US_PER_S;
        quarantine.record_crash(&[5], &format!("engine-{crash}"), now_us);
        if crash % 2 == 1 {
            quarantine.record_begun(&[5], now_us + 1);
        }
        assert!(!is_refused(&quarantine, 5, now_us));
    }
}

/// Guards against several broken requests at one engine that count as several crashes.
#[test]
fn one_crash_counts_once_however_many_requests_it_breaks() {
    let mut quarantine = Quarantine::default();
    for request in 0..20 {
        quarantine.record_crash(&[5], "engine-1", request);
    }
    assert!(!is_refused(&quarantine, 5, 21));
}

/// Guards against an attempt that was sent before the crashes and clears them when its
/// answer begins after them.
#[test]
fn an_attempt_from_before_the_crashes_does_not_clear_them() {
    let mut quarantine = Quarantine::default();
    for crash in 1..=CRASH_LIMIT as u64 {
        quarantine.record_crash(&[DEADLY], &format!("engine-{crash}"), crash * US_PER_S);
    }
    quarantine.record_begun(&[DEADLY], US_PER_S / 2);
    assert!(is_refused(&quarantine, DEADLY, 5 * US_PER_S));
}

/// Guards against requests that reach engines through entries which have seen no crash
/// or only one: they come at any entry, no two alike.
#[test]
fn entries_learn_crashes_and_begun_answers_from_each_other() {
    let mut entries: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (number, entry) in entries.iter_mut().enumerate() {
        let at_us = number as u64 * US_PER_S;
        entry.record_crash(&[DEADLY], &format!("engine-{number}"), at_us);
        entry.record_crash(&[9], &format!("engine-{number}"), at_us);
    }
    let now_us = 3 * US_PER_S;
    entries[0].record_begun(&[9], now_us);
    // Each entry sends its report to the next one and gets an answer, in two rounds, so
    // that reports are also passed on.
    for exchange in 0..6 {
        let (from, to) = (exchange % 3, (exchange + 1) % 3);
        let report = entries[from].report(now_us);
        entries[to].merge(&report, now_us);
        let mut reply = entries[to].report(now_us);
        reply.begun = entries[to].begun_answers(&report, now_us);
        entries[from].merge(&reply, now_us);
    }
    for entry in &entries {
        assert!(is_refused(entry, DEADLY, now_us));
        assert!(!is_refused(entry, 9, now_us));
    }
}

/// Guards against a report that has passed through other entries and counts as a new
/// crash.
#[test]
fn repeated_reports_add_no_crashes() {
    let mut observer = Quarantine::default();
    observer.record_crash(&[5], "engine-1", 0);
    let mut other = Quarantine::default();
    for exchange in 1..50 {
        let now_us = exchange * US_PER_S / 4;
        let report = observer.report(now_us);
        other.merge(&report, now_us + 3_000);
        let back = other.report(now_us + 3_000);
        observer.merge(&back, now_us + 6_000);
    }
    assert!(!is_refused(&other, 5, 13 * US_PER_S));
    assert!(!is_refused(&observer, 5, 13 * US_PER_S));
}

/// Guards against a part that stays refused for good after its engines were mended, and
/// against trials that keep crashing engines.
#[test]
fn trials_become_rarer_with_each_crash_and_end_the_quarantine_when_one_succeeds() {
    let mut quarantine = Quarantine::default();
    for crash in 0..CRASH_LIMIT as u64 {
        quarantine.record_crash(&[DEADLY], &format!("engine-{crash}"), crash);
    }
    let mut now_us = 0;
    let mut trials = Vec::new();
    while now_us < 100 * US_PER_S {
        now_us += US_PER_S;
        if quarantine.admit_with(&[DEADLY], now_us, || true) == Admission::Trial {
            trials.push(now_us);
            quarantine.record_crash(&[DEADLY], &format!("trial-{now_us}"), now_us);
        }
    }
    assert!((1..=3).contains(&trials.len()), "{trials:?}");
    quarantine.record_begun(&[DEADLY], now_us);
    assert_eq!(
        quarantine.admit(&[DEADLY], now_us + 1, ENTRIES),
        Admission::Open
    );
}
