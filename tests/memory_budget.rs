//! Tests of the decision which request bodies and answers an entry may hold.

use yuccalatch::direct::memory_budget::{
    ChargeId,
    Content,
    Holder,
    MemoryBudget, //
};

const MIB: u64 = 1 << 20;

/// Time after which a body without progress may be dropped, and more.
const LATER_US: u64 = 2_000_000;

fn organisation(name: &str) -> Holder {
    Holder::Organisation(name.into())
}

/// Adds arriving bodies of 4 MiB until one is refused.
fn fill(budget: &mut MemoryBudget, holder: &Holder) -> Vec<ChargeId> {
    let mut held = Vec::new();
    loop {
        let id = budget.begin(holder.clone());
        budget.note_progress(id, 0);
        if !budget.grow(id, Content::Request, 4 * MIB, 0).is_granted {
            budget.release(id);
            return held;
        }
        held.push(id);
    }
}

/// Guards against a budget too small for one body that stops all large requests.
#[test]
fn a_single_body_fits_whatever_the_budget() {
    for holder in [Holder::Keyless, organisation("mill")] {
        let mut budget = MemoryBudget::new(MIB);
        let id = budget.begin(holder);
        assert!(budget.grow(id, Content::Request, 4 * MIB, 0).is_granted);
    }
}

/// Guards against one organisation, or callers without a key, that take the place of all
/// others. Load: each sends bodies of 4 MiB without end.
#[test]
fn no_holder_takes_the_whole_budget() {
    let mut budget = MemoryBudget::new(64 * MIB);
    assert_eq!(fill(&mut budget, &Holder::Keyless).len(), 2);
    assert_eq!(fill(&mut budget, &organisation("mill")).len(), 12);
    let small = budget.begin(organisation("oak"));
    assert!(budget.grow(small, Content::Request, 64 << 10, 0).is_granted);
    assert!(budget.held_bytes() <= 64 * MIB);
}

/// Guards against callers who stop short of the end and keep out those who go on. Load: a
/// budget full of bodies, of which one goes on.
#[test]
fn only_bodies_that_have_stalled_are_dropped_for_others() {
    let mut budget = MemoryBudget::new(64 * MIB);
    let held = fill(&mut budget, &organisation("mill"));
    budget.note_progress(held[0], LATER_US);
    budget.complete(held[1]);
    let newcomer = budget.begin(organisation("mill"));
    let growth = budget.grow(newcomer, Content::Request, 8 * MIB, LATER_US);
    assert!(growth.is_granted);
    assert_eq!(growth.evicted, held[2..4]);
    assert_eq!(budget.held_bytes(), 48 * MIB);
}

/// Guards against requests that wait for memory for their answers until each other's
/// deadlines. Load: a budget full of bodies that were sent.
#[test]
fn small_answers_fit_beside_a_budget_full_of_bodies() {
    let mut budget = MemoryBudget::new(64 * MIB);
    let held = fill(&mut budget, &organisation("mill"));
    fill(&mut budget, &organisation("oak"));
    for id in held {
        budget.complete(id);
        assert!(
            budget
                .grow(id, Content::Answer, 4 * MIB + 4_096, 0)
                .is_granted
        );
    }
}

/// Guards against charges that are never released or released twice.
#[test]
fn releasing_all_charges_leaves_nothing_held() {
    let mut budget = MemoryBudget::new(64 * MIB);
    for id in fill(&mut budget, &organisation("mill")) {
        budget.release(id);
        budget.release(id);
    }
    assert_eq!(budget.held_bytes(), 0);
}
