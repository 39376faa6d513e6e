//! Tests the choice between targets whose speeds differ and change, by entries that hear of
//! a target with their own answers and from each other, in virtual time.

use std::collections::VecDeque;

use yuccalatch::{
    direct::{
        capacity::{
            Capacity,
            OwnRequests, //
        },
        message::TargetLoad,
        placement::{
            Availability,
            CachedTokens,
            Candidate,
            rank, //
        },
        quota::exchange_interval_us,
        sampling::{
            draw_sample,
            sample_size, //
        },
    },
    names::Name,
};

const TARGETS: usize = 4;
const SLOTS: u32 = 6;
const REQUEST_MS: f64 = 60.0;
const GOAL_MS: u64 = 120;
const RUN_MS: u64 = 30_000;
/// Measured after the averages have formed.
const MEASURED_FROM_MS: u64 = 5_000;

/// A target with slots that its requests take in the order of their arrival.
#[derive(Default)]
struct Target {
    /// Entry, arrival and end of each running request.
    running: Vec<(usize, u64, u64)>,
    waiting: VecDeque<(usize, u64)>,
}

/// What an entry knows of the targets.
struct Entry {
    capacity: Capacity,
    loads: [(TargetLoad, Option<u64>); TARGETS],
    own: [OwnRequests; TARGETS],
}

/// Sends 88 requests a second through `entries` entries, of which the first third gets most,
/// to targets of the given speeds. Returns the share of the requests that miss their goal,
/// in percent.
fn late_percent(entries: usize, has_pace: bool, pace_at: impl Fn(usize, u64) -> u32) -> f64 {
    let ids: Vec<Name> = (0..TARGETS).map(|at| format!("t{at}").into()).collect();
    let service: Name = "s".into();
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let mut all: Vec<Entry> = (0..entries)
        .map(|_| Entry {
            capacity: Capacity::default(),
            loads: Default::default(),
            own: Default::default(),
        })
        .collect();
    let (mut late, mut measured, mut random) = (0_u32, 0_u32, 1_u64);
    let mut draw = move || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        random >> 33
    };
    for now_ms in 0..RUN_MS {
        let now_us = now_ms * 1_000;
        for (at, target) in targets.iter_mut().enumerate() {
            let pace = pace_at(at, now_ms);
            let (ended, running): (Vec<_>, Vec<_>) = target
                .running
                .iter()
                .partition(|(.., end_ms)| *end_ms <= now_ms);
            target.running = running;
            while target.running.len() < SLOTS as usize
                && let Some((entry, sent_ms)) = target.waiting.pop_front()
            {
                let spread = 0.6 + 0.8 * (draw() % 1_000) as f64 / 1_000.0;
                let took_ms = REQUEST_MS * spread * f64::from(pace) / 100.0;
                target
                    .running
                    .push((entry, sent_ms, now_ms + took_ms as u64));
            }
            for (entry, sent_ms, _) in ended {
                let load = TargetLoad {
                    running: target.running.len() as u32,
                    waiting: target.waiting.len() as u32,
                    slots: SLOTS,
                    pace_percent: has_pace.then_some(pace),
                };
                let entry = &mut all[entry];
                entry.loads[at] = (load, Some(now_ms));
                entry.own[at].running -= 1;
                entry.own[at].unreported = 0;
                entry
                    .capacity
                    .record_load(&service, &ids[at], &load, now_us);
                let took_us = (now_ms - sent_ms) * 1_000;
                entry
                    .capacity
                    .record_request(&service, &ids[at], took_us, now_us);
                if sent_ms >= MEASURED_FROM_MS {
                    measured += 1;
                    late += u32::from(now_ms - sent_ms > GOAL_MS);
                }
            }
        }
        // Each pair of entries exchanges its state twice in the time of an interval.
        let interval_ms = exchange_interval_us(entries) / 1_000;
        for at in 0..entries {
            if draw() % interval_ms < 2 * entries as u64 {
                let other = draw() as usize % entries;
                let statements = all[other].capacity.report(now_us);
                all[at].capacity.merge(&statements, now_us);
            }
        }
        if draw() % 1_000 < 88 {
            // Entries of three sizes get 4, 2 and 1 parts of the requests.
            let size = [0, 0, 0, 0, 1, 1, 2][draw() as usize % 7];
            let at = (draw() as usize % entries.div_ceil(3)) * 3 + size;
            let entry = &mut all[at.min(entries - 1)];
            let is_paced = entry.capacity.states_pace(&service, now_us);
            let size = if is_paced {
                sample_size(TARGETS, entries)
            } else {
                TARGETS
            };
            let is_sampled = draw_sample(ids.iter(), draw(), size);
            let candidate = |at: usize| {
                let (load, at_ms) = entry.loads[at];
                let is_fresh = at_ms.is_some_and(|at_ms| now_ms - at_ms < 500);
                let times = entry
                    .capacity
                    .plain_times(&service, &ids[at], entry.own[at], now_us);
                Candidate {
                    id: &ids[at],
                    load: if is_fresh {
                        load
                    } else {
                        TargetLoad {
                            slots: SLOTS,
                            ..TargetLoad::default()
                        }
                    },
                    own_running: entry.own[at].running,
                    own_prefill_tokens: 0,
                    failure_share: 0.0,
                    availability: Availability::Open,
                    is_cold: false,
                    is_outdated: false,
                    cached: CachedTokens::default(),
                    steering_cost_ms: 0.0,
                    expected_ms: times.map(|times| times.rank_ms),
                    engine_costs: None,
                    is_sampled: is_sampled[at],
                }
            };
            let candidates: Vec<_> = (0..TARGETS).map(candidate).collect();
            let chosen = rank(&candidates, None, 0, entries)[0];
            entry.own[chosen].running += 1;
            entry.own[chosen].unreported += 1;
            targets[chosen]
                .waiting
                .push_back((at.min(entries - 1), now_ms));
        }
    }
    f64::from(late) / f64::from(measured) * 100.0
}

/// Requests that go by load alone fill slow targets as full as fast ones and miss their goal
/// there.
#[test]
fn fast_targets_get_the_requests_that_slow_ones_would_delay() {
    let fixed = |at: usize, _| [70, 70, 170, 70][at];
    let (before, after) = (
        late_percent(31, false, fixed),
        late_percent(31, true, fixed),
    );
    println!("late: {before:.1}% by load, {after:.1}% by time");
    assert!(
        after < before / 3.0,
        "{after:.1}% late, {before:.1}% by load alone"
    );
}

/// Without the statements that other entries heard, a pace is about a second old, and wrong
/// as often as right here.
#[test]
fn speeds_that_change_within_a_second_are_followed() {
    let changing = |at: usize, now_ms: u64| {
        if (now_ms / 600 + at as u64) % 3 == 2 {
            170
        } else {
            70
        }
    };
    let (before, after) = (
        late_percent(31, false, changing),
        late_percent(31, true, changing),
    );
    println!("late: {before:.1}% by load, {after:.1}% by time");
    assert!(
        after < before * 0.7,
        "{after:.1}% late, {before:.1}% by load alone"
    );
}
