//! Rate limits of organisations that several entries enforce together.
//!
//! Usual load: an organisation sends eight times its rate, most of it through one of
//! four entries.

use std::sync::Arc;

use yuccalatch::{
    direct::{
        quota::{
            Quotas,
            URGENT_INTERVAL_US,
            exchange_interval_us, //
        },
        routing::Organisation, //
    },
    names::{
        Incarnation,
        Name, //
    },
};

const RATE_PER_S: u64 = 100_000;
const US_PER_S: u64 = 1_000_000;
const STEP_US: u64 = 10_000;

fn organisation(rate_per_s: u64) -> Arc<Organisation> {
    Arc::new(Organisation {
        name: "mill".into(),
        keys: vec![],
        priority: None,
        is_isolated: false,
        rate_per_s,
        burst: rate_per_s,
        counts_tokens: true,
        default_tokens: 1,
        allowed_regions: vec![],
    })
}

/// Simulates 30 seconds of load in virtual time and returns the tokens that were
/// admitted in each step. `offered_per_s` are the tokens per second that reach each
/// entry, `is_delivered` whether a report reaches an entry, by the positions of the
/// receiver and the sender and the time.
fn simulate(
    offered_per_s: &[u64],
    exchange_us: u64,
    is_delivered: impl Fn(usize, usize, u64) -> bool,
) -> Vec<u64> {
    simulate_requests(1_000, offered_per_s, exchange_us, is_delivered)
}

/// Simulates a load of requests that cost `cost` tokens each.
fn simulate_requests(
    cost: u64,
    offered_per_s: &[u64],
    exchange_us: u64,
    is_delivered: impl Fn(usize, usize, u64) -> bool,
) -> Vec<u64> {
    let names: Vec<Name> = (0..offered_per_s.len())
        .map(|entry| format!("e{entry}").into())
        .collect();
    let mut entries: Vec<Quotas> = offered_per_s.iter().map(|_| Quotas::default()).collect();
    for quotas in &mut entries {
        quotas.configure(&[organisation(RATE_PER_S)], 0, 0);
    }
    // Offered tokens that no request has used yet.
    let mut unsent = vec![0; offered_per_s.len()];
    let mut urgent_at_us = vec![0; offered_per_s.len()];
    let mut admitted = Vec::new();
    for step in 0..3_000 {
        let now_us = step * STEP_US;
        let mut admitted_in_step = 0;
        for (entry, quotas) in entries.iter_mut().enumerate() {
            unsent[entry] += offered_per_s[entry] * STEP_US / US_PER_S;
            while unsent[entry] >= cost {
                unsent[entry] -= cost;
                if quotas.take("mill", cost, now_us).is_ok() {
                    admitted_in_step += cost;
                }
            }
            quotas.charge_assumed_use(now_us);
        }
        admitted.push(admitted_in_step);
        for from in 0..entries.len() {
            let is_urgent = now_us >= urgent_at_us[from] && entries[from].take_urgent_report();
            if is_urgent {
                urgent_at_us[from] = now_us + URGENT_INTERVAL_US;
            }
            if !is_urgent && !now_us.is_multiple_of(exchange_us) {
                continue;
            }
            let used = entries[from].used();
            for (to, quotas) in entries.iter_mut().enumerate() {
                if from != to && is_delivered(to, from, now_us) {
                    let incarnation = Incarnation(from as u64);
                    quotas.charge_reported_use(&names[from], incarnation, &used, now_us);
                }
            }
        }
    }
    admitted
}

/// Simulates a load of long prompts at entries that are all killed after ten seconds
/// and have lost all record of the use before. Returns the tokens that were admitted
/// in each step.
fn simulate_restart(offered_per_s: &[u64]) -> Vec<u64> {
    const COST: u64 = 10_000;
    let mut admitted = simulate_requests(COST, offered_per_s, 240_000, |_, _, _| true);
    admitted.truncate(1_000);
    // No process runs for half a second.
    admitted.extend([0; 50]);
    admitted.extend(simulate_requests(
        COST,
        offered_per_s,
        240_000,
        |_, _, _| true,
    ));
    admitted
}

/// Returns the most tokens that were admitted in any window of eight seconds.
fn worst_window(admitted: &[u64]) -> u64 {
    let steps = usize::try_from(8 * US_PER_S / STEP_US).unwrap();
    admitted
        .windows(steps)
        .map(|window| window.iter().sum())
        .max()
        .unwrap()
}

/// The platform's bound for a window of eight seconds: rate and burst, a tenth more,
/// and slack.
const WINDOW_BOUND: u64 = (RATE_PER_S * 8 + RATE_PER_S) * 11 / 10 + 72_000;

/// Guards against an organisation over its rate that gets more or less than its rate,
/// because the entries do not add up its use.
#[test]
fn a_flood_gets_its_rate_and_no_more() {
    let admitted = simulate(&[600_000, 100_000, 50_000, 50_000], 240_000, |_, _, _| true);
    let worst = worst_window(&admitted);
    assert!(worst <= WINDOW_BOUND, "{worst} of {WINDOW_BOUND}");
    let total: u64 = admitted.iter().sum();
    assert!(total >= RATE_PER_S * 30 * 9 / 10, "{total}");
}

/// Guards against refusals of an organisation within its rate whose load is uneven
/// over the entries.
#[test]
fn nothing_within_the_rate_is_refused() {
    let admitted = simulate(&[70_000, 10_000, 5_000, 5_000], 240_000, |_, _, _| true);
    let total: u64 = admitted.iter().sum();
    // Each entry may have up to one request still to send at the end.
    assert!(total >= 90_000 * 30 - 4 * 1_000, "{total}");
}

/// Guards against a second burst for an organisation over its rate when all entries
/// are killed at once and start with new buckets.
#[test]
fn a_restart_of_all_entries_gives_no_second_burst() {
    let admitted = simulate_restart(&[400_000, 200_000, 100_000, 100_000]);
    let worst = worst_window(&admitted);
    assert!(worst <= WINDOW_BOUND, "{worst} of {WINDOW_BOUND}");
}

/// Guards against refusals of an organisation within its rate after all entries were
/// killed at once, because new buckets start nearly empty.
#[test]
fn a_restart_of_all_entries_refuses_little() {
    let offered_per_s = [30_000, 10_000, 20_000, 20_000];
    let admitted = simulate_restart(&offered_per_s);
    let after: u64 = admitted[1_050..1_450].iter().sum();
    let offered = offered_per_s.iter().sum::<u64>() * 4;
    // Four requests of 10,000 tokens may still be to send at the end.
    assert!(after >= offered - 40_000, "{after} of {offered}");
}

/// Guards against refusals within the rate at a fleet of 25 entries, as many as the
/// large deployments have, each with a small part of an organisation's load.
#[test]
fn a_large_fleet_refuses_nothing_within_the_rate() {
    let offered_per_s = [RATE_PER_S * 9 / 10 / 25; 25];
    let interval_us = exchange_interval_us(offered_per_s.len()) / STEP_US * STEP_US;
    let admitted = simulate(&offered_per_s, interval_us, |_, _, _| true);
    let total: u64 = admitted.iter().sum();
    assert!(total >= 90_000 * 30 - 25 * 1_000, "{total}");
}

/// Guards against more than the rate for a flood that is spread over 25 entries,
/// whose exchanges are less frequent.
#[test]
fn a_flood_over_a_large_fleet_gets_no_more_than_its_rate() {
    let offered_per_s = [RATE_PER_S * 8 / 25; 25];
    let interval_us = exchange_interval_us(offered_per_s.len()) / STEP_US * STEP_US;
    let admitted = simulate(&offered_per_s, interval_us, |_, _, _| true);
    let worst = worst_window(&admitted);
    assert!(worst <= WINDOW_BOUND, "{worst} of {WINDOW_BOUND}");
}

/// Guards against twice the rate for an organisation when an entry and the others do
/// not receive each other's reports. This begins after ten seconds.
#[test]
fn a_partition_does_not_double_the_rate() {
    let is_delivered =
        |to: usize, from: usize, now_us: u64| now_us < 10 * US_PER_S || to.min(from) != 0;
    let admitted = simulate(&[400_000, 400_000, 0, 0], 240_000, is_delivered);
    let late = &admitted[1_300..];
    let per_s = late.iter().sum::<u64>() * 100 / late.len() as u64;
    // Two parts of the fleet without reports of each other admit at most one and a
    // half times the rate, as each assumes that the other uses its share.
    assert!(per_s <= RATE_PER_S * 3 / 2, "{per_s}");
}

/// Guards against a burst at the old rate after an organisation's rate was lowered,
/// because its bucket still has the old level.
#[test]
fn a_lowered_rate_holds_at_once() {
    let mut quotas = Quotas::default();
    quotas.configure(&[organisation(RATE_PER_S)], 0, 0);
    quotas.take("mill", 1, 10 * US_PER_S).unwrap();
    quotas.configure(&[organisation(1_000)], 0, 10 * US_PER_S);
    let mut admitted = 0;
    while quotas.take("mill", 100, 10 * US_PER_S).is_ok() {
        admitted += 100;
    }
    assert!(admitted <= 1_000, "{admitted}");
}
