//! Order in which targets are tried.
//!
//! Load patterns: prompts that share a subject, a hot subject, engines that load
//! weights, and plain targets with few slots.

use yuccalatch::{
    direct::{
        message::{
            Prompt,
            PromptPart,
            TargetLoad, //
        },
        outlier::OutlierDetector,
        placement::{
            Availability,
            Cached,
            Candidate,
            by_weight,
            rank, //
        },
    },
    names::Name,
};

fn ids(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("e{at}").into()).collect()
}

fn candidate(id: &Name) -> Candidate<'_> {
    Candidate {
        id,
        load: TargetLoad {
            running: 0,
            waiting: 0,
            slots: 6,
        },
        own_running: 0,
        own_prefill_tokens: 0,
        failure_share: 0.0,
        availability: Availability::Open,
        is_outdated: false,
        cached: Cached::default(),
    }
}

fn prompt(subject: u64) -> Prompt {
    Prompt {
        model: "m".into(),
        input_tokens: 9_000,
        max_output_tokens: 50,
        expected_output_tokens: 50,
        parts: vec![
            PromptPart {
                id: 1,
                tokens: 2_500,
            },
            PromptPart {
                id: subject,
                tokens: 3_800,
            },
        ],
    }
}

#[test]
fn a_subject_stays_at_its_home() {
    let ids = ids(12);
    let candidates: Vec<_> = ids.iter().map(candidate).collect();
    for subject in 0..50 {
        let prompt = prompt(subject);
        let home = by_weight(ids.iter(), &prompt, 0)[0];
        assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], home);
    }
}

#[test]
fn subjects_spread_over_the_engines_of_their_preamble() {
    let ids = ids(12);
    let mut homes = [0; 12];
    for subject in 0..1_200 {
        homes[by_weight(ids.iter(), &prompt(subject), 0)[0]] += 1;
    }
    let used: Vec<u32> = homes.into_iter().filter(|count| *count > 0).collect();
    assert_eq!(used.len(), 6, "{homes:?}");
    assert!(used.iter().all(|count| (120..=300).contains(count)));
}

#[test]
fn preambles_spread_over_all_engines() {
    let ids = ids(12);
    let mut homes = [0; 12];
    for subject in 0..1_200 {
        let mut prompt = prompt(subject);
        prompt.parts[0].id = subject / 10;
        homes[by_weight(ids.iter(), &prompt, 0)[0]] += 1;
    }
    assert!(
        homes.iter().all(|count| (60..=150).contains(count)),
        "{homes:?}"
    );
}

#[test]
fn a_lost_engine_moves_its_own_subjects_and_few_others() {
    let all = ids(12);
    let rest: Vec<Name> = all[1..].to_vec();
    let mut moved = 0;
    for subject in 0..200 {
        let prompt = prompt(subject);
        let before = &all[by_weight(all.iter(), &prompt, 0)[0]];
        let after = &rest[by_weight(rest.iter(), &prompt, 0)[0]];
        moved += u32::from(before != after && *before != all[0]);
    }
    // One engine may join the six of the preamble; it takes its share.
    assert!(moved <= 200 / 6 + 20, "{moved}");
}

#[test]
fn a_hot_subject_goes_to_its_second_home() {
    let ids = ids(12);
    let prompt = prompt(7);
    let homes = by_weight(ids.iter(), &prompt, 0);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    candidates[homes[0]].own_prefill_tokens = 6_000;
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], homes[1]);
}

fn cached(leading: u64, importable: u64) -> Cached {
    Cached {
        leading_tokens: Some(leading),
        importable_tokens: importable,
    }
}

/// Load pattern: weights have changed, so few engines hold the parts of a
/// subject, and its home is not among them.
#[test]
fn a_subject_goes_where_it_is_cached() {
    let ids = ids(12);
    let prompt = prompt(7);
    let homes = by_weight(ids.iter(), &prompt, 0);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for candidate in &mut candidates {
        candidate.cached = cached(0, 6_300);
    }
    let holder = homes[9];
    candidates[holder].cached = cached(6_300, 2_500);
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], holder);
    // A busy holder gives the parts away instead.
    candidates[holder].load.waiting = 8;
    assert_ne!(rank(&candidates, Some(&prompt), 0, 4)[0], holder);
}

/// Load pattern: several entries get the first requests of a subject under new
/// weights at the same time.
#[test]
fn a_subject_that_nobody_holds_is_computed_at_its_home() {
    let ids = ids(12);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for (at, candidate) in candidates.iter_mut().enumerate() {
        candidate.cached = cached(0, 0);
        // Entries see different loads.
        candidate.load.running = u32::try_from(at % 5).unwrap();
    }
    for subject in 0..50 {
        let prompt = prompt(subject);
        let home = by_weight(ids.iter(), &prompt, 0)[0];
        assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], home);
    }
}

#[test]
fn paused_engines_come_last() {
    let ids = ids(4);
    let prompt = prompt(7);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for (candidate, availability) in candidates.iter_mut().zip([
        Availability::Paused,
        Availability::Avoided,
        Availability::ClosingSoon,
        Availability::Open,
    ]) {
        candidate.availability = availability;
    }
    // Load does not outweigh a failure or a pause.
    candidates[3].load.running = 50;
    candidates[2].load.running = 50;
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[2..], [1, 0]);
}

/// Load pattern: weights change on all engines in five seconds, and answers of
/// two seconds would outlast the pause of all but the engines that are done.
#[test]
fn engines_that_are_done_do_not_get_all_requests() {
    let ids = ids(12);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for candidate in &mut candidates[2..] {
        candidate.availability = Availability::ClosingSoon;
        candidate.is_outdated = true;
    }
    let mut running = [0; 12];
    for subject in 0..120 {
        let best = rank(&candidates, Some(&prompt(subject)), 0, 1)[0];
        running[best] += 1;
        candidates[best].load.running += 1;
    }
    // A fair share is ten; nobody gets more than four times that.
    assert!(running.iter().all(|count| *count <= 40), "{running:?}");
    assert!(running[2..].iter().sum::<u32>() >= 40, "{running:?}");
}

#[test]
fn plain_targets_share_by_load() {
    let ids = ids(3);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    candidates[0].load.running = 6;
    candidates[1].load.running = 3;
    assert_eq!(rank(&candidates, None, 0, 4), [2, 1, 0]);
}

#[test]
fn a_failing_target_is_left_and_taken_back() {
    let mut outlier = OutlierDetector::default();
    let mut avoided_us = 0;
    for _ in 0..10 {
        outlier.record_unreachable(avoided_us);
        while outlier.is_avoided(avoided_us) {
            avoided_us += 10_000;
        }
    }
    // Ten failures in a row cost less than twenty seconds without a try.
    assert!(avoided_us <= 20_000_000, "{avoided_us}");
    assert!(outlier.failure_share() > 0.5);
    outlier.record_answer(true);
    assert!(!outlier.is_avoided(avoided_us));
}
