//! Tests learned speeds of engines: forecasts of the first token, and the choice between
//! engines for long prompts.

use yuccalatch::{
    direct::{
        capacity::{
            Capacity,
            EngineWork,
            memory_wait_ms, //
        },
        message::{
            EngineMemory,
            Prompt,
            PromptPart,
            TargetLoad, //
        },
        placement::{
            Availability,
            CachedTokens,
            Candidate,
            rank, //
        },
    },
    names::Name,
};

fn load(pace_percent: Option<u32>) -> TargetLoad {
    TargetLoad {
        running: 4,
        slots: 48,
        pace_percent,
        ..TargetLoad::default()
    }
}

fn long_prompt() -> Prompt {
    Prompt {
        model: "m".into(),
        input_tokens: 9_200,
        max_output_tokens: 7,
        expected_output_tokens: 7,
        parts: vec![PromptPart {
            id: 1,
            tokens: 6_300,
        }],
    }
}

/// Returns the engine that a long prompt goes to when all have the same load, and each has
/// its shared part cached.
fn choose(capacity: &Capacity, service: &Name, ids: &[Name], now_us: u64) -> usize {
    let candidate = |id| Candidate {
        id,
        load: load(None),
        own_running: 0,
        own_prefill_tokens: 0,
        failure_share: 0.0,
        availability: Availability::Open,
        is_cold: false,
        is_outdated: false,
        cached: CachedTokens {
            leading_tokens: Some(6_300),
            importable_tokens: 0,
        },
        steering_cost_ms: 0.0,
        expected_ms: None,
        engine_costs: capacity.engine_costs(service, id, now_us),
        is_sampled: true,
    };
    let candidates: Vec<_> = ids.iter().map(candidate).collect();
    rank(&candidates, Some(&long_prompt()), 0, 31)[0]
}

/// Engines that read at 40.8 tokens per ms were forecast at 50, and slow ones at the same
/// time as fast ones.
#[test]
fn forecasts_follow_engines_that_turn_slower_every_600_ms() {
    let mut capacity = Capacity::default();
    let (service, engine): (Name, Name) = ("s".into(), "e".into());
    let measured_ms = |work: &EngineWork, pace: u32| {
        let ms = work.tokens as f64 / 40.8 + f64::from(work.running) * 6.0 + 15.0;
        ms * f64::from(pace) / 100.0
    };
    for step in 0..400_u64 {
        let now_us = step * 50_000;
        let pace = if now_us / 600_000 % 2 == 0 { 80 } else { 200 };
        capacity.record_load(&service, &engine, &load(Some(pace)), now_us);
        let work = EngineWork {
            tokens: [300, 2_900, 9_200][step as usize % 3],
            running: step as u32 * 7 % 20,
            waiting: 0,
        };
        let costs = capacity.engine_costs(&service, &engine, now_us).unwrap();
        let expected_ms = measured_ms(&work, pace);
        let error_ms = (costs.first_token_ms(&work) - expected_ms).abs();
        assert!(
            step < 200 || error_ms < 25.0_f64.max(expected_ms * 0.2),
            "{error_ms:.0} of {expected_ms:.0} ms"
        );
        let took_us = (expected_ms * 1_000.0) as u64;
        capacity.record_first_token(&service, &engine, &work, took_us, now_us);
    }
    let tokens_per_ms = capacity.tokens_per_ms(&service, 20_000_000);
    assert!((25.0..36.0).contains(&tokens_per_ms), "{tokens_per_ms:.1}");
}

/// A slow engine reads a long prompt 2.4 times slower, whether it states so or not.
#[test]
fn long_prompts_avoid_slow_engines() {
    let ids: Vec<Name> = ["e0".into(), "e1".into(), "e2".into()].into();
    let service: Name = "s".into();
    for slow in 0..3 {
        for is_stated in [true, false] {
            let mut capacity = Capacity::default();
            for now_us in (0..3_000_000).step_by(200_000) {
                for (at, id) in ids.iter().enumerate() {
                    let duration = if at == slow { 170 } else { 70 };
                    let pace = if is_stated { duration } else { 100 };
                    capacity.record_load(&service, id, &load(Some(pace)), now_us);
                    let work = EngineWork {
                        tokens: 2_900,
                        ..EngineWork::default()
                    };
                    let took_us = u64::from(duration) * 780;
                    capacity.record_first_token(&service, id, &work, took_us, now_us);
                }
            }
            assert_ne!(choose(&capacity, &service, &ids, 3_000_000), slow);
        }
    }
}

/// An engine with 32 slots whose memory holds ten prompts of 9,700 tokens would get the
/// eleventh, and compute one of them twice.
#[test]
fn an_engine_whose_memory_holds_ten_prompts_has_no_room_for_more() {
    let needed_tokens = 9_700;
    let wait_ms = |running: u64, sent: u64| {
        let memory = EngineMemory {
            used_tokens: running * needed_tokens,
            total_tokens: 97_317,
        };
        memory_wait_ms(&memory, sent * needed_tokens, needed_tokens, 300.0)
    };
    assert_eq!(wait_ms(9, 0), 0.0);
    assert!((20.0..40.0).contains(&wait_ms(10, 0)));
    // What this entry has sent since the report counts as well.
    assert_eq!(wait_ms(9, 1), wait_ms(10, 0));
    assert!(wait_ms(9, 4) > wait_ms(9, 1) * 3.0);
}

/// Learned times must not move the requests of services whose engines state no pace.
#[test]
fn engines_without_a_pace_have_no_learned_costs() {
    let mut capacity = Capacity::default();
    let (service, engine): (Name, Name) = ("s".into(), "e".into());
    capacity.record_load(&service, &engine, &load(None), 0);
    let work = EngineWork::default();
    capacity.record_first_token(&service, &engine, &work, 900_000, 0);
    assert_eq!(capacity.engine_costs(&service, &engine, 0), None);
    assert_eq!(capacity.tokens_per_ms(&service, 0), 50.0);
}
