//! Tests the order in which targets are tried, for prompts that share a subject, a
//! subject with many requests, engines that load weights, and targets that are no
//! engines.

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
            CachedTokens,
            Candidate,
            rank,
            rendezvous_order, //
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
            ..TargetLoad::default()
        },
        own_running: 0,
        own_prefill_tokens: 0,
        failure_share: 0.0,
        availability: Availability::Open,
        is_outdated: false,
        is_cold: false,
        cached: CachedTokens::default(),
        steering_cost_ms: 0.0,
        expected_ms: None,
        engine_costs: None,
        is_sampled: true,
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

/// Requests that share a subject would compute it at several engines if the order of
/// idle engines did not depend on the subject alone.
#[test]
fn a_subject_goes_to_its_first_home_when_all_are_idle() {
    let ids = ids(12);
    let candidates: Vec<_> = ids.iter().map(candidate).collect();
    for subject in 0..50 {
        let prompt = prompt(subject);
        let home = rendezvous_order(ids.iter(), &prompt, 0)[0];
        assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], home);
    }
}

#[test]
fn subjects_spread_over_the_preferred_engines_of_their_preamble() {
    let ids = ids(12);
    let mut homes = [0; 12];
    for subject in 0..1_200 {
        homes[rendezvous_order(ids.iter(), &prompt(subject), 0)[0]] += 1;
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
        homes[rendezvous_order(ids.iter(), &prompt, 0)[0]] += 1;
    }
    assert!(
        homes.iter().all(|count| (60..=150).contains(count)),
        "{homes:?}"
    );
}

#[test]
fn loss_of_an_engine_moves_few_subjects_of_other_engines() {
    let all = ids(12);
    let rest: Vec<Name> = all[1..].to_vec();
    let mut moved = 0;
    for subject in 0..200 {
        let prompt = prompt(subject);
        let before = &all[rendezvous_order(all.iter(), &prompt, 0)[0]];
        let after = &rest[rendezvous_order(rest.iter(), &prompt, 0)[0]];
        moved += u32::from(before != after && *before != all[0]);
    }
    // One engine may join the six preferred ones of the preamble, and takes a sixth of
    // the subjects.
    assert!(moved <= 200 / 6 + 20, "{moved}");
}

#[test]
fn a_subject_goes_to_its_second_home_when_the_first_is_busy() {
    let ids = ids(12);
    let prompt = prompt(7);
    let homes = rendezvous_order(ids.iter(), &prompt, 0);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    candidates[homes[0]].own_prefill_tokens = 6_000;
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], homes[1]);
}

fn cached(leading: u64, importable: u64) -> CachedTokens {
    CachedTokens {
        leading_tokens: Some(leading),
        importable_tokens: importable,
    }
}

/// After a change of weights, few engines have the parts of a subject cached, and its
/// homes may not be among them. A request that goes to a home nevertheless computes
/// the parts again.
#[test]
fn a_subject_goes_to_the_engine_that_has_it_cached() {
    let ids = ids(12);
    let prompt = prompt(7);
    let homes = rendezvous_order(ids.iter(), &prompt, 0);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for candidate in &mut candidates {
        candidate.cached = cached(0, 6_300);
    }
    let holder = homes[9];
    candidates[holder].cached = cached(6_300, 2_500);
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], holder);
    // When the holder is busy, another engine imports the parts from it.
    candidates[holder].load.waiting = 8;
    assert_ne!(rank(&candidates, Some(&prompt), 0, 4)[0], holder);
}

/// When several entries get the first requests of a subject on new weights at the same
/// time, they must choose the same engine, although they see different loads.
/// Otherwise several engines compute the same parts.
#[test]
fn a_subject_that_is_cached_nowhere_goes_to_its_first_home() {
    let ids = ids(12);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    for (at, candidate) in candidates.iter_mut().enumerate() {
        candidate.cached = cached(0, 0);
        // The loads differ, as they do between entries.
        candidate.load.running = u32::try_from(at % 5).unwrap();
    }
    for subject in 0..50 {
        let prompt = prompt(subject);
        let home = rendezvous_order(ids.iter(), &prompt, 0)[0];
        assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], home);
    }
}

#[test]
fn paused_engines_come_after_busy_and_avoided_ones() {
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

/// Weights change on all engines within five seconds, and answers take two seconds. A
/// request would thus still run at the pause of every engine that has not changed yet.
/// The few engines that have changed must not get all requests for that.
#[test]
fn engines_with_new_weights_do_not_get_all_requests() {
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
    // An equal share is ten; no engine gets more than four times that.
    assert!(running.iter().all(|count| *count <= 40), "{running:?}");
    assert!(running[2..].iter().sum::<u32>() >= 40, "{running:?}");
}

#[test]
fn targets_that_are_no_engines_are_ordered_by_load() {
    let ids = ids(3);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    candidates[0].load.running = 6;
    candidates[1].load.running = 3;
    assert_eq!(rank(&candidates, None, 0, 4), [2, 1, 0]);
}

#[test]
fn a_failing_target_is_avoided_for_a_bounded_time() {
    let mut outlier = OutlierDetector::default();
    let mut avoided_us = 0;
    for _ in 0..10 {
        outlier.record_unreachable(avoided_us);
        while outlier.is_avoided(avoided_us) {
            avoided_us += 10_000;
        }
    }
    // Ten failures in a row avoid the target for at most twenty seconds in all.
    assert!(avoided_us <= 20_000_000, "{avoided_us}");
    assert!(outlier.failure_share() > 0.5);
    outlier.record_answer(true);
    assert!(!outlier.is_avoided(avoided_us));
}

/// Few tokens are computed faster than they are imported. An engine that would import
/// them must not cost more than one that computes them, or all requests would go to the
/// first engine that has the preamble.
#[test]
fn an_import_never_costs_more_than_computing() {
    let ids = ids(12);
    let mut candidates: Vec<_> = ids.iter().map(candidate).collect();
    let prompt = prompt(3);
    let home = rendezvous_order(ids.iter(), &prompt, 0)[0];
    let holder = (home + 1) % 12;
    for (at, candidate) in candidates.iter_mut().enumerate() {
        candidate.cached = CachedTokens {
            leading_tokens: Some(if at == holder { 2_500 } else { 0 }),
            importable_tokens: if at == holder { 0 } else { 2_500 },
        };
    }
    assert_eq!(rank(&candidates, Some(&prompt), 0, 4)[0], home);
}
