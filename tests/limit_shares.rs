//! Property tests with arbitrary schedules of messages and faults: the shares of an
//! organisation never exceed its limits, and none is lost for good.

mod limit_world;

use limit_world::{
    Message,
    SLOTS,
    Step,
    World, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::process::limits::message::RateAndBurst;

const GEN_SIZE: usize = 1_000;
const SCHEDULES: u64 = 1_000;

fn check(seed: u64, property: fn(Vec<Step>) -> bool) {
    let rng = Gen::from_size_and_seed(GEN_SIZE, seed);
    QuickCheck::new()
        .rng(rng)
        .tests(SCHEDULES)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against more tokens than `rate * time + burst` in any window, after
/// lost, repeated and reordered messages, paused and restarted processes, and
/// changes of the ledger.
#[test]
fn admits_no_token_over_the_limit() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new(false);
        world.run(&steps);
        world.settle();
        world.admit_all(5_000_000);
        true
    }
    check(1, property);
}

/// Guards against tokens above a lowered limit once it is reported in force, and
/// above the higher of the old and new limits before that.
#[test]
fn respects_changed_limits() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new(true);
        world.run(&steps);
        world.settle();
        true
    }
    check(2, property);
}

/// Guards against shares that stay lost after the faults have ended. A new epoch
/// has to account for all shares and bring the limits into force.
#[test]
fn recovers_all_shares() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new(true);
        world.run(&steps);
        world.settle();
        let organisation = world.organisation.clone();
        let ledger = world.participants[0].as_mut().unwrap().ledger().unwrap();
        ledger.is_recovered() && ledger.is_in_force(&organisation) && !ledger.needs_new_epoch()
    }
    check(3, property);
}

/// Guards against limits that are kept only because nothing is admitted.
#[test]
fn admits_traffic_without_faults() {
    let mut world = World::new(false);
    world.settle();
    world.admitted_tokens = 0;
    world.run_rounds(100, 20);
    // Offered: 800 tokens/s of 1,000 for 10 s. The first requests find empty
    // shares, because only the pool of the ledger has tokens then.
    assert!(world.admitted_tokens >= 7_500, "{}", world.admitted_tokens);
}

/// Guards against taking a late report of a stopped process for one of a newer
/// process, which would return the share of the running process to the pool.
#[test]
fn ignores_late_reports_of_stopped_processes() {
    let mut world = World::new(false);
    world.run_rounds(20, 20);
    let late = world.participants[2].as_mut().unwrap().holder();
    late.observe_epoch(&world.epoch);
    let mut late = late.next_report(world.now_us + 10_000_000).unwrap();
    late.sequence += 1_000;
    late.is_complete = true;
    late.accounts.clear();
    world.start(2);
    world.run_rounds(20, 20);
    let held = world.rate_limiter(2).unwrap().0.amount();
    assert!(!held.is_zero());
    world.messages.push(Message::Ledger(0, late));
    world.deliver_all();
    world.tick(0);
    world.check_shares();
}

/// Guards against a ledger that starts to lend without the share of a process
/// that started after its slot had answered, and that borrowed from an earlier
/// ledger.
#[test]
fn waits_for_processes_lent_to_by_an_earlier_ledger() {
    let mut world = World::new(false);
    world.become_ledger(2);
    world.tick(2);
    let (to_others, mut to_first): (Vec<_>, Vec<_>) = world
        .messages
        .drain(..)
        .partition(|message| !matches!(message, Message::Holder(0, _)));
    world.messages = to_others;
    world.deliver_all();
    for slot in 1..SLOTS {
        let report = world.participants[slot].as_mut().unwrap().holder();
        let report = report.next_report(world.now_us).unwrap();
        world.messages.push(Message::Ledger(2, report));
    }
    world.deliver_all();
    // Slot 1 restarts and has messages only of the earlier ledger in slot 0.
    world.start(1);
    for _ in 0..2 {
        world.admit(1, 100);
        let report = world.participants[1].as_mut().unwrap().holder();
        let report = report.next_report(world.now_us).unwrap();
        world.messages.push(Message::Ledger(0, report));
        world.deliver_all();
    }
    world.messages.append(&mut to_first);
    world.deliver_all();
    let report = world.participants[0].as_mut().unwrap().holder();
    let report = report.next_report(world.now_us).unwrap();
    world.messages.push(Message::Ledger(2, report));
    world.deliver_all();
    let ledger = world.participants[2].as_mut().unwrap().ledger().unwrap();
    assert!(!ledger.is_recovered());
    world.run_rounds(5, 20);
    world.check_shares();
    let ledger = world.participants[2].as_mut().unwrap().ledger().unwrap();
    assert!(ledger.is_recovered());
}

/// Guards against lending a raised rate before the holders have released the
/// burst that the same change lowered.
#[test]
fn raises_rate_only_after_burst_is_released() {
    let mut world = World::new(false);
    world.run_rounds(20, 20);
    let organisation = world.organisation.clone();
    let limits = RateAndBurst {
        rate_tokens_per_s: 3_000,
        burst_tokens: 500,
    };
    let now_us = world.now_us;
    let ledger = world.participants[0].as_mut().unwrap().ledger().unwrap();
    let before = ledger.unlent(&organisation);
    ledger.set_limits(&organisation, limits, 2, now_us);
    ledger.tick(now_us);
    let after = ledger.unlent(&organisation);
    assert_eq!(after.rate_tokens_per_s, before.rate_tokens_per_s);
    assert!(!ledger.is_in_force(&organisation));
    world.run_rounds(5, 0);
    let ledger = world.participants[0].as_mut().unwrap().ledger().unwrap();
    assert!(ledger.is_in_force(&organisation));
}

/// Guards against tokens above the limit when several processes become ledgers
/// without the object API, and afterwards with it.
#[test]
fn provisional_ledgers_keep_the_limit() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::in_outage();
        world.run(&steps);
        world.settle();
        world.admit_all(5_000_000);
        true
    }
    check(4, property);
}

/// Guards against shares that stay lost after provisional epochs, when the
/// object API works again.
#[test]
fn recovers_after_provisional_epochs() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::in_outage();
        world.run(&steps);
        world.is_api_down = false;
        world.settle();
        let organisation = world.organisation.clone();
        let ledger = world.participants[0].as_mut().unwrap().ledger().unwrap();
        ledger.is_recovered() && ledger.is_in_force(&organisation) && !ledger.needs_new_epoch()
    }
    check(5, property);
}

/// Guards against admitting nothing after all processes restart while the object
/// API is down.
#[test]
fn provisional_ledger_admits_traffic() {
    let mut world = World::in_outage();
    world.become_provisional_ledger(1);
    world.run_rounds(100, 20);
    // Offered: 800 tokens/s of 1,000 for 10 s; the first requests find empty
    // shares, as above.
    assert!(world.admitted_tokens >= 7_500, "{}", world.admitted_tokens);
}

/// Guards against a provisional ledger that lends before a silent slot has
/// answered: that slot may hold all shares.
#[test]
fn provisional_ledger_waits_for_every_slot() {
    let mut world = World::in_outage();
    world.become_provisional_ledger(1);
    world.run_rounds(20, 20);
    world.admitted_tokens = 0;
    world.paused[3] = true;
    world.become_provisional_ledger(2);
    world.run_rounds(20, 0);
    let ledger = world.participants[2].as_mut().unwrap().ledger().unwrap();
    assert!(!ledger.is_recovered());
    world.paused[3] = false;
    world.run_rounds(5, 0);
    world.check_shares();
    let ledger = world.participants[2].as_mut().unwrap().ledger().unwrap();
    assert!(ledger.is_recovered());
}

/// Guards against counting the answer of a process whose settings list other
/// slots: one of those may hold shares that the ledger would lend again.
#[test]
fn provisional_ledger_ignores_other_slot_lists() {
    let mut world = World::in_outage();
    world.participants[3]
        .as_mut()
        .unwrap()
        .holder()
        .set_slots_digest(2);
    world.become_provisional_ledger(1);
    world.run_rounds(20, 0);
    let ledger = world.participants[1].as_mut().unwrap().ledger().unwrap();
    assert!(!ledger.is_recovered());
}

/// Guards against equal epochs of two processes that run in the same slot one
/// after the other: messages of the first would count for the second.
#[test]
fn restarted_process_takes_another_epoch() {
    let mut world = World::in_outage();
    world.become_provisional_ledger(1);
    let ledger = world.participants[1].as_mut().unwrap().ledger().unwrap();
    let first = ledger.epoch().clone();
    world.start(1);
    world.become_provisional_ledger(1);
    let ledger = world.participants[1].as_mut().unwrap().ledger().unwrap();
    assert_ne!(first, *ledger.epoch());
}

/// Guards against a ledger that starts to lend after one answer of each slot.
/// Here slot 1 answers, restarts without an epoch and borrows from the earlier
/// ledger in slot 2, which crashes before it reports the share that it lent.
#[test]
fn counts_shares_of_a_crashed_earlier_ledger() {
    let mut world = World::in_outage();
    world.become_provisional_ledger(2);
    world.run_rounds(20, 0);
    world.become_provisional_ledger(3);
    for _ in 0..2 {
        world.tick(3);
        world.deliver_except(2);
        for slot in [0, 1, 3] {
            world.report_to(slot, 3);
        }
        world.deliver_except(2);
    }
    world.start(1);
    for _ in 0..3 {
        world.admit(1, 100);
        world.report_to(1, 2);
        world.deliver_all();
    }
    assert!(!world.rate_limiter(1).unwrap().0.amount().is_zero());
    world.start(2);
    world.tick(3);
    world.deliver_except(1);
    world.report_to(2, 3);
    world.deliver_except(1);
    world.check_shares();
    world.run_rounds(5, 0);
    world.check_shares();
    let ledger = world.participants[3].as_mut().unwrap().ledger().unwrap();
    assert!(ledger.is_recovered());
}
