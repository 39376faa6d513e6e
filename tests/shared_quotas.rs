//! Rates of organisations that several entries share.
//!
//! Load pattern: an organisation sends eight times its rate, most of it through
//! one of four entries.

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
    })
}

/// Plays a load in virtual time and returns the tokens that were admitted in
/// each step. `shares` are tokens per second that reach each entry.
fn play(shares: &[u64], exchange_us: u64, hears: impl Fn(usize, usize, u64) -> bool) -> Vec<u64> {
    play_requests(1_000, shares, exchange_us, hears)
}

/// Plays a load of requests that cost so many tokens each.
fn play_requests(
    cost: u64,
    shares: &[u64],
    exchange_us: u64,
    hears: impl Fn(usize, usize, u64) -> bool,
) -> Vec<u64> {
    let names: Vec<Name> = (0..shares.len())
        .map(|at| format!("e{at}").into())
        .collect();
    let mut entries: Vec<Quotas> = shares.iter().map(|_| Quotas::default()).collect();
    for quotas in &mut entries {
        quotas.configure(&[organisation(RATE_PER_S)], 0, 0);
    }
    let mut owed = vec![0; shares.len()];
    let mut urgent_at_us = vec![0; shares.len()];
    let mut admitted = Vec::new();
    for step in 0..3_000 {
        let now_us = step * STEP_US;
        let mut sum = 0;
        for (at, quotas) in entries.iter_mut().enumerate() {
            owed[at] += shares[at] * STEP_US / US_PER_S;
            while owed[at] >= cost {
                owed[at] -= cost;
                if quotas.take("mill", cost, now_us).is_ok() {
                    sum += cost;
                }
            }
            quotas.charge_assumed_use(now_us);
        }
        admitted.push(sum);
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
                if from != to && hears(to, from, now_us) {
                    let incarnation = Incarnation(from as u64);
                    quotas.charge_reported_use(&names[from], incarnation, &used, now_us);
                }
            }
        }
    }
    admitted
}

/// Plays a load of long prompts over entries that are all killed after ten seconds
/// and know nothing of the use before. Returns what was admitted in each step.
fn play_with_restart(shares: &[u64]) -> Vec<u64> {
    const COST: u64 = 10_000;
    let mut admitted = play_requests(COST, shares, 240_000, |_, _, _| true);
    admitted.truncate(1_000);
    // The processes are away for half a second.
    admitted.extend([0; 50]);
    admitted.extend(play_requests(COST, shares, 240_000, |_, _, _| true));
    admitted
}

/// Returns the most that was admitted in any window of eight seconds.
fn worst_window(admitted: &[u64]) -> u64 {
    let steps = usize::try_from(8 * US_PER_S / STEP_US).unwrap();
    admitted
        .windows(steps)
        .map(|window| window.iter().sum())
        .max()
        .unwrap()
}

/// The platform's bound: rate and burst of the window, a tenth over, and slack.
const BOUND: u64 = (RATE_PER_S * 8 + RATE_PER_S) * 11 / 10 + 72_000;

#[test]
fn a_flood_gets_its_rate_and_no_more() {
    let admitted = play(&[600_000, 100_000, 50_000, 50_000], 240_000, |_, _, _| true);
    let worst = worst_window(&admitted);
    assert!(worst <= BOUND, "{worst} of {BOUND}");
    let total: u64 = admitted.iter().sum();
    assert!(total >= RATE_PER_S * 30 * 9 / 10, "{total}");
}

#[test]
fn nothing_inside_the_rate_is_refused() {
    let admitted = play(&[70_000, 10_000, 5_000, 5_000], 240_000, |_, _, _| true);
    let total: u64 = admitted.iter().sum();
    // Requests of the last step may still be owed.
    assert!(total >= 90_000 * 30 - 4 * 1_000, "{total}");
}

/// Load pattern: an organisation floods all entries, which are killed at once.
#[test]
fn a_restart_of_all_entries_gives_no_second_burst() {
    let admitted = play_with_restart(&[400_000, 200_000, 100_000, 100_000]);
    let worst = worst_window(&admitted);
    assert!(worst <= BOUND, "{worst} of {BOUND}");
}

/// Load pattern: an organisation inside its rate; all entries are killed at once.
#[test]
fn a_restart_of_all_entries_refuses_little() {
    let shares = [30_000, 10_000, 20_000, 20_000];
    let admitted = play_with_restart(&shares);
    let after: u64 = admitted[1_050..1_450].iter().sum();
    let owed = shares.iter().sum::<u64>() * 4;
    // Four requests of 10,000 tokens are still to come at the end.
    assert!(after >= owed - 40_000, "{after} of {owed}");
}

/// Load pattern: as many entries as the grown deployments have, each with a little
/// of an organisation's load.
#[test]
fn a_large_fleet_refuses_nothing_inside_the_rate() {
    let shares = [RATE_PER_S * 9 / 10 / 25; 25];
    let interval_us = exchange_interval_us(shares.len()) / STEP_US * STEP_US;
    let admitted = play(&shares, interval_us, |_, _, _| true);
    let total: u64 = admitted.iter().sum();
    assert!(total >= 90_000 * 30 - 25 * 1_000, "{total}");
}

#[test]
fn a_flood_over_a_large_fleet_gets_its_rate_and_no_more() {
    let shares = [RATE_PER_S * 8 / 25; 25];
    let interval_us = exchange_interval_us(shares.len()) / STEP_US * STEP_US;
    let admitted = play(&shares, interval_us, |_, _, _| true);
    let worst = worst_window(&admitted);
    assert!(worst <= BOUND, "{worst} of {BOUND}");
}

#[test]
fn an_entry_that_is_not_heard_does_not_double_the_rate() {
    let hears = |to: usize, from: usize, now_us: u64| now_us < 10 * US_PER_S || to.min(from) != 0;
    let admitted = play(&[400_000, 400_000, 0, 0], 240_000, hears);
    let late = &admitted[1_300..];
    let per_s = late.iter().sum::<u64>() * 100 / late.len() as u64;
    // Two halves of the fleet that do not hear each other admit one rate and a
    // half at most: each assumes that the other uses its part.
    assert!(per_s <= RATE_PER_S * 3 / 2, "{per_s}");
}

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
