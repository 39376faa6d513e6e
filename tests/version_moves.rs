//! Version moves: plan, steps, evidence, cuts, status.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    error::ErrorKind,
    names::Incarnation,
    replay::evaluate::{
        Size,
        moves, //
    },
    version::{
        evidence::{
            Evidence,
            Side,
            Verdict,
            counts::Sample,
            pool::Pool,
            sequential::Symptom, //
        },
        lease::{
            Held,
            Lease,
            Watch, //
        },
        rollout::{
            Move, Phase, Reason,
            cut::LocalMove,
            order::{
                Action,
                LoadState,
                Part,
                TargetView, //
            },
            plan::{
                self,
                LoadEstimate,
                PlanRequest, //
            },
            status::State,
            step::{
                EntryView,
                Observation,
                RouteView, //
            },
        },
    },
};

const CLEAR: RouteView = RouteView {
    verdict: Verdict::Clear,
    new_answers: plan::STEP_ANSWERS,
};

fn held_move() -> (Move, Lease<Held>) {
    let plan = plan::accept(&PlanRequest::example()).unwrap();
    let planned = Move::planned((7, "m"), "chat", ("v1", "v2"), plan, 3);
    let Watch::Lapsed(lapsed) = Lease::watch(planned.lease, 0) else {
        panic!("no holder yet");
    };
    let lease = lapsed.claim(Incarnation(1), 0).stored();
    (planned.with_lease(lease.record()), lease)
}

fn target(name: &str, load: LoadState) -> TargetView {
    TargetView {
        name: name.into(),
        data_centre: "a".into(),
        is_leaving: false,
        part: Part::Both,
        load,
        fencing: Some(4),
        running_from: 0,
        running_to: 0,
    }
}

fn entry(name: &str, step: u64) -> EntryView {
    EntryView {
        name: name.into(),
        incarnation: Incarnation(1),
        is_live: true,
        step: Some(step),
        running_from: 0,
        running_to: 0,
    }
}

fn seen(now_unix_ms: u64, step: u64) -> Observation {
    Observation {
        now_unix_ms,
        entries: vec![entry("e1", step), entry("e2", step)],
        targets: vec![target("t1", LoadState::Loaded)],
        routes: vec![CLEAR],
        take_back: None,
    }
}

/// Advances under good evidence until `stop` or the end.
fn advance_until(stop: fn(&Phase) -> bool) -> (Move, Lease<Held>, u64) {
    let (mut current, lease) = held_move();
    let mut now_ms = 0;
    while !stop(&current.phase) {
        now_ms += 1_000;
        assert!(now_ms < 10_000_000, "the move stands still");
        if let Some(next) = current.advance(&lease, &seen(now_ms, current.step)) {
            current = next;
        }
    }
    (current, lease, now_ms)
}

/// Guards against a report of "done" before every entry, a silent one too, has
/// acknowledged and the last request of the old version has ended.
#[test]
fn done_is_reported_truthfully() {
    let (finishing, lease, now_ms) = advance_until(|phase| *phase == Phase::Finishing);
    let ready = seen(now_ms, finishing.step);
    let mut silent = ready.clone();
    silent.entries[1].is_live = false;
    silent.entries[1].step = Some(finishing.step - 1);
    assert!(finishing.advance(&lease, &silent).is_none());
    assert_eq!(finishing.status(&silent).waiting_for, ["e2".into()]);
    let mut running = ready.clone();
    running.targets[0].running_from = 1;
    assert!(finishing.advance(&lease, &running).is_none());
    running.targets[0].running_from = 0;
    running.entries[0].running_from = 1;
    assert!(finishing.advance(&lease, &running).is_none());
    let done = finishing.advance(&lease, &ready).unwrap();
    assert_eq!(done.status(&ready).state, State::Done);
    assert!(now_ms <= done.plan.finish_at_unix_ms);
}

/// Guards against late faults that are ignored once the last step is made, and
/// against a premature "taken back".
#[test]
fn late_fault_in_settling_is_taken_back() {
    let settling = |phase: &Phase| matches!(phase, Phase::Settling { .. });
    let (settling, lease, now_ms) = advance_until(settling);
    let mut suspect = seen(now_ms + 1_000_000, settling.step);
    suspect.routes[0].verdict = Verdict::Suspect(Symptom::Errors);
    assert!(
        settling.advance(&lease, &suspect).is_none(),
        "a suspect version stays"
    );
    let mut cut = seen(now_ms, settling.step);
    cut.take_back = Some(Reason::Withdrawn);
    let back = settling.advance(&lease, &cut).unwrap();
    assert_eq!(
        (back.share_permille(), back.status(&cut).state),
        (0, State::TakingBack)
    );
    assert!(
        back.orders(&cut.targets).is_empty(),
        "both versions stay loaded"
    );
    let mut running = seen(now_ms, back.step);
    running.targets[0].running_to = 1;
    assert!(back.advance(&lease, &running).is_none());
    let taken = back.advance(&lease, &seen(now_ms, back.step)).unwrap();
    assert_eq!(taken.status(&running).state, State::TakenBack);
    assert_eq!(taken.orders(&running.targets)[0].action, Action::UnloadNew);
}

/// Guards against steps without evidence, and against broken deadlines on a
/// route that gives none.
#[test]
fn steps_need_evidence_or_the_deadline() {
    let shifting = |phase: &Phase| matches!(phase, Phase::Shifting { .. });
    let (shifting, lease, now_ms) = advance_until(shifting);
    let held_ms = now_ms + plan::Pace::default().shortest_step_ms;
    let mut few = seen(held_ms, shifting.step);
    few.routes[0].new_answers = plan::STEP_ANSWERS - 1;
    assert!(shifting.advance(&lease, &few).is_none());
    assert!(
        shifting
            .advance(&lease, &seen(held_ms - 1, shifting.step))
            .is_none()
    );
    assert!(
        shifting
            .advance(&lease, &seen(held_ms, shifting.step))
            .is_some()
    );
    assert!(
        shifting
            .advance(&lease, &seen(held_ms, shifting.step - 1))
            .is_none()
    );
    few.now_unix_ms = shifting.plan.leave_by_unix_ms(0);
    assert!(shifting.advance(&lease, &few).is_some());
    few.routes[0].verdict = Verdict::Suspect(Symptom::FirstToken);
    assert!(shifting.advance(&lease, &few).is_none());
}

/// Guards against more loads at once than a data centre allows, orders to
/// leaving targets, and shifts before the agents know the fencing number.
#[test]
fn loads_are_limited_and_skip_leaving_targets() {
    let (loading, lease, now_ms) = advance_until(|phase| *phase == Phase::Loading);
    let mut targets: Vec<TargetView> = (0..6)
        .map(|number| target(&format!("t{number}"), LoadState::Absent))
        .collect();
    targets[0].is_leaving = true;
    targets[1].load = LoadState::Failed;
    targets[5].load = LoadState::Loading;
    let names = |targets: &[TargetView]| -> Vec<String> {
        let orders = loading.orders(targets);
        orders
            .iter()
            .map(|order| order.target.to_string())
            .collect()
    };
    assert_eq!(names(&targets), ["t5", "t2"]);
    assert_eq!(
        names(&targets),
        ["t5", "t2"],
        "a repetition starts no more loads"
    );

    let mut stale = seen(now_ms, loading.step);
    stale.targets[0].fencing = Some(3);
    assert!(loading.advance(&lease, &stale).is_none());
    assert_eq!(loading.orders(&stale.targets)[0].action, Action::Fence);
    let mut failed = seen(loading.plan.finish_at_unix_ms, loading.step);
    failed.targets[0].load = LoadState::Failed;
    let back = loading.advance(&lease, &failed).unwrap();
    assert!(matches!(back.phase, Phase::TakingBack { .. }));
}

/// Guards against plans that miss their own times or accept what cannot work.
#[test]
fn plans_are_feasible_or_refused() {
    fn property(targets: u16, parallel: u8, rate: u16, settle_s: u8, slack_s: u16) -> bool {
        let mut request = PlanRequest::example();
        request.loads.push(LoadEstimate {
            data_centre: "b".into(),
            targets: u32::from(targets),
            parallel_loads: u32::from(parallel) + 1,
            load_ms: 400,
        });
        request.now_unix_ms = 1_000_000;
        request.routes[0].requests_per_s = f64::from(rate);
        request.pace.settle_ms = u64::from(settle_s) * 1_000;
        let earliest = request.now_unix_ms + plan::needed_ms(&request);
        request.finish_at_unix_ms = earliest - 1;
        let refused = plan::accept(&request)
            .is_err_and(|report| *report.current_context() == ErrorKind::MoveInfeasible);
        request.finish_at_unix_ms = earliest + u64::from(slack_s) * 1_000;
        let plan = plan::accept(&request).unwrap();
        let times: Vec<u64> = std::iter::once(plan.load_at_unix_ms)
            .chain(plan.steps.iter().map(|step| step.start_by_unix_ms))
            .chain([
                plan.settle_by_unix_ms,
                plan.full_by_unix_ms,
                plan.finish_at_unix_ms,
            ])
            .collect();
        refused && times.is_sorted() && times[0] >= request.now_unix_ms
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 3))
        .tests(300)
        .quickcheck(property as fn(u16, u8, u16, u8, u16) -> bool);
}

/// Guards against shares above the step, also for the first requests.
#[test]
fn shares_hold_from_the_first_request() {
    let shifting = |phase: &Phase| matches!(phase, Phase::Shifting { .. });
    let (shifting, ..) = advance_until(shifting);
    let mut entries: Vec<LocalMove> = (0..4)
        .map(|rank| LocalMove::new(shifting.clone(), rank, 4))
        .collect();
    let route = "chat".into();
    let mut new = 0;
    for request in 1..=4_000_u64 {
        let entry = usize::try_from(request).unwrap() % entries.len();
        new += u64::from(entries[entry].choose(&route) == Side::New);
        // The order of the entries within one round is arbitrary.
        assert!(new * 100 <= request + 4, "{new} of {request}");
    }
    assert_eq!(new, 40);
}

/// Guards against cuts that wait for the holder, get lost among peers, or
/// outlive their move.
#[test]
fn cuts_work_without_the_platform() {
    let shifting = |phase: &Phase| matches!(phase, Phase::Shifting { .. });
    let (shifting, ..) = advance_until(shifting);
    let mut first = LocalMove::new(shifting.clone(), 0, 2);
    let mut second = LocalMove::new(shifting.clone(), 1, 2);
    let mut evidence = Evidence::default();
    let route = "chat".into();
    record(&mut evidence, Side::Old, 0, 400, 0);
    assert!(first.judge(&evidence, Incarnation(1), 0).is_none());
    record(&mut evidence, Side::New, 10, 10, 0);
    let cut = first
        .judge(&evidence, Incarnation(1), 0)
        .expect("strong evidence");
    assert!(
        first.judge(&evidence, Incarnation(1), 0).is_none(),
        "one notice only"
    );
    assert!(second.receive(&cut) && !second.receive(&cut));
    second.apply(Move {
        step: shifting.step + 1,
        ..shifting.clone()
    });
    assert!((0..500).all(|_| second.choose(&route) == Side::Old));
    second.apply(Move {
        ticket: shifting.ticket + 1,
        ..shifting
    });
    assert!(second.cut().is_none() && !second.receive(&cut));
}

fn record(evidence: &mut Evidence, side: Side, failed: u64, answers: u64, now_us: u64) {
    for number in 0..answers {
        let sample = Sample {
            failed: number < failed,
            ..Sample::default()
        };
        evidence.route(&"chat".into()).record(side, sample, now_us);
    }
}

fn verdict(evidence: &Evidence, now_us: u64) -> Verdict {
    evidence.worst(now_us).unwrap().1.verdict()
}

/// Guards against taking an outage of both versions for a fault of the new one,
/// and against missing the fault that looks the same without the comparison.
#[test]
fn outages_of_both_versions_are_no_fault() {
    let outage_us = 400_000_000;
    let mut outage = Evidence::default();
    record(&mut outage, Side::Old, 3, 20_000, 0);
    record(&mut outage, Side::New, 3, 1_000, 0);
    let mut fault = outage.clone();
    let mut few_old = outage.clone();
    record(&mut outage, Side::Old, 30, 100, outage_us);
    record(&mut outage, Side::New, 30, 100, outage_us);
    assert_eq!(verdict(&outage, outage_us), Verdict::Clear);
    record(&mut fault, Side::Old, 0, 100, outage_us);
    record(&mut fault, Side::New, 30, 100, outage_us);
    assert_eq!(verdict(&fault, outage_us), Verdict::Strong(Symptom::Errors));
    record(&mut few_old, Side::Old, 0, 2, outage_us);
    record(&mut few_old, Side::New, 60, 100, outage_us);
    assert_eq!(
        verdict(&few_old, outage_us),
        Verdict::Unpaired(Symptom::Errors)
    );
}

/// Guards against slow versions that answer without errors.
#[test]
fn slow_versions_are_recognised() {
    for (first_token_us, between_tokens_us, expected) in [
        (800_000, 20_000, Verdict::Strong(Symptom::FirstToken)),
        (200_000, 80_000, Verdict::Strong(Symptom::BetweenTokens)),
        (220_000, 22_000, Verdict::Clear),
    ] {
        let mut evidence = Evidence::default();
        for (side, first, between, count) in [
            (Side::Old, 200_000, 20_000, 400),
            (Side::New, first_token_us, between_tokens_us, 12),
        ] {
            for _ in 0..count {
                let sample = Sample {
                    failed: false,
                    first_token_us: Some(first),
                    between_tokens_us: Some(between),
                };
                evidence.route(&"chat".into()).record(side, sample, 0);
            }
        }
        assert_eq!(verdict(&evidence, 0), expected);
    }
}

/// Guards against counts that depend on lost, repeated or reordered messages.
#[test]
fn pooled_counts_ignore_repetition_and_order() {
    fn property(order: Vec<u8>) -> bool {
        let mut local = Evidence::default();
        let messages: Vec<_> = (0..8)
            .map(|number| {
                let now_us = number * 1_000_000;
                record(&mut local, Side::New, number % 2, number, now_us);
                record(&mut local, Side::Old, 0, 5, now_us);
                local.message(now_us)
            })
            .collect();
        let mut pool = Pool::default();
        for index in order {
            pool.absorb(Incarnation(1), &messages[usize::from(index) % 8]);
        }
        pool.absorb(Incarnation(1), &messages[7]);
        let route = "chat".into();
        let last_us = 7_000_000;
        let pooled = pool.evidence().route(&route);
        let local = local.route(&route);
        pooled.totals() == local.totals() && pooled.score(last_us) == local.score(last_us)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(300)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against good versions taken back, missed deadlines and bad versions
/// above their share, over the small evaluation.
#[test]
fn evaluation_meets_its_targets() {
    let missed: Vec<_> = moves::run(1, Size::Small)
        .into_iter()
        .filter(|measurement| !measurement.is_met())
        .collect();
    assert!(missed.is_empty(), "{missed:#?}");
}
