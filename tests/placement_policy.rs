//! Placement: candidates, decisions, hints and the comparison with baselines.

use std::num::NonZeroUsize;

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    names::Incarnation,
    process::hints::{
        Hints,
        Observation, //
    },
    replay::{
        evaluate::{
            Size,
            placement, //
        },
        report::Measurement, //
    },
    request::{
        placement::{
            PlacementSettings,
            Placer,
            ProbeResult,
            SkipReason,
            Target,
            TargetId,
            confine,
            rendezvous_seed, //
        },
        prompt::{
            BlockHash,
            BlockSize,
            Namespace,
            hash_prompt, //
        },
    },
};

const BLOCK_US: u64 = 30_000;

fn check<A: quickcheck::Testable>(property: A) {
    let gen_fixed = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(gen_fixed).quickcheck(property);
}

fn targets(count: u32) -> Vec<Target> {
    let target = |id| Target {
        id: TargetId(id),
        seed: rendezvous_seed(&format!("engine-{id}")),
        engine: Incarnation(1),
        queue_us: 0,
        block_us: BLOCK_US,
        network_us: 1_000,
    };
    (0..count).map(target).collect()
}

fn placer() -> Placer {
    Placer::new(
        PlacementSettings::default(),
        NonZeroUsize::new(1_000).unwrap(),
    )
}

fn blocks(values: &[u64]) -> Vec<BlockHash> {
    values.iter().copied().map(BlockHash).collect()
}

fn probe(target: u32, matched_blocks: u32, queue_us: u64) -> ProbeResult {
    ProbeResult {
        target: TargetId(target),
        engine: Incarnation(1),
        matched_blocks,
        queue_us,
    }
}

/// Guards against block hashes that depend on anything behind the block.
#[test]
fn shared_prefix() {
    fn property(prefix: Vec<u8>, first: Vec<u8>, second: Vec<u8>) -> bool {
        let size = BlockSize {
            tokens: 2,
            bytes_per_token: 2,
        };
        let namespace = Namespace::derive("mill-a", "draft-7");
        let one = hash_prompt(namespace, size, &[&[&prefix[..], &first].concat()]);
        let two = hash_prompt(namespace, size, &[&[&prefix[..], &second].concat()]);
        let shared = prefix.len() / size.bytes();
        one.blocks[..shared] == two.blocks[..shared]
    }
    check(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against blocks shared across organisations or versions.
#[test]
fn separate_namespaces() {
    let size = BlockSize::default();
    let text = vec![b'x'; 40_000];
    let of = |organisation, version| {
        let namespace = Namespace::derive(organisation, version);
        hash_prompt(namespace, size, &[&text]).blocks
    };
    let base = of("mill-a", "draft-7");
    for other in [of("mill-b", "draft-7"), of("mill-a", "draft-8")] {
        assert!(base.iter().all(|block| !other.contains(block)));
    }
}

/// Guards against entries that disagree because they list targets in another
/// order, and against a lost target moving the prefixes of the others.
#[test]
fn stable_candidates() {
    fn property(values: Vec<u64>, lost: u32) -> bool {
        let all = targets(12);
        let mut reversed = all.clone();
        reversed.reverse();
        let prompt = blocks(&values);
        let base = placer().candidates(&prompt, &all, 0);
        let same = placer().candidates(&prompt, &reversed, 0);
        let lost = TargetId(lost % 12);
        let mut fewer = all;
        fewer.retain(|target| target.id != lost);
        let after = placer().candidates(&prompt, &fewer, 0);
        let kept = base.preferred.iter().filter(|id| **id != lost);
        prompt.is_empty()
            || base.preferred == same.preferred
                && kept.into_iter().all(|id| after.preferred.contains(id))
    }
    check(property as fn(Vec<u64>, u32) -> bool);
}

/// Guards against a hot prefix that stays on one target, and against children
/// of a hot prefix that leave the targets which hold it.
#[test]
fn adaptive_level() {
    let all = targets(16);
    let mut placer = placer();
    for child in 0..400 {
        placer.plan(&blocks(&[1, 100 + child]), &all, &[], child * 1_000);
    }
    let hot = placer.candidates(&blocks(&[1]), &all, 400_000);
    let cold = placer.candidates(&blocks(&[2]), &all, 400_000);
    let child = placer.candidates(&blocks(&[1, 9_999]), &all, 400_000);
    assert_eq!(hot.preferred.len(), 16);
    assert_eq!(cold.preferred.len(), 2);
    assert_eq!(child.preferred.len(), 2);
    assert_eq!(child.level_blocks, 2);
}

/// Guards against a choice that ignores queue or cache, and against an
/// overloaded target that is chosen because of its cache.
#[test]
fn earliest_token() {
    let all = targets(2);
    let mut placer = placer();
    let prompt = blocks(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let plan = placer.plan(&prompt, &all, &[], 0);
    let choose = |probes: &[ProbeResult]| placer.decide(&plan, &prompt, &all, probes).unwrap();
    let cached = choose(&[probe(0, 8, 100_000), probe(1, 0, 0)]);
    assert_eq!(cached.target, TargetId(0));
    let queued = choose(&[probe(0, 8, 490_000), probe(1, 7, 0)]);
    assert_eq!(queued.target, TargetId(1));
    let overloaded = choose(&[probe(0, 8, 510_000), probe(1, 0, 499_000)]);
    assert_eq!(overloaded.target, TargetId(1));
    assert_eq!(overloaded.choices[1].skip, Some(SkipReason::Overloaded));
    assert!(
        serde_json::to_string(&overloaded)
            .unwrap()
            .contains("overloaded")
    );
}

/// Guards against probes that are sent although the answer is known, and
/// against a poor answer that is accepted without asking further.
#[test]
fn probe_rounds() {
    let all = targets(12);
    let mut placer = placer();
    let prompt = blocks(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let plan = placer.plan(&prompt, &all, &[], 0);
    assert_eq!(plan.probes.len(), 3);
    let good: Vec<ProbeResult> = plan.probes.iter().map(|id| probe(id.0, 8, 0)).collect();
    assert!(
        placer
            .choose_more_probes(&plan, &prompt, &all, &good)
            .is_empty()
    );
    let poor: Vec<ProbeResult> = plan.probes.iter().map(|id| probe(id.0, 0, 0)).collect();
    let more = placer.choose_more_probes(&plan, &prompt, &all, &poor);
    assert!(more.iter().all(|id| !plan.probes.contains(id)));
    assert!(placer.plan(&[], &all, &[], 0).probes.is_empty());
}

/// Guards against hints of a dead engine and against unbounded memory.
#[test]
fn bounded_hints() {
    fn property(answers: Vec<(u64, u32, u64)>) -> bool {
        let mut hints = Hints::new(NonZeroUsize::new(16).unwrap());
        for (now_us, (first, target, engine)) in (0..).zip(answers) {
            let prompt = blocks(&[first % 20, 100 + first % 20]);
            let seen = Observation {
                target: TargetId(target % 5),
                engine: Incarnation(engine % 2),
                matched_blocks: target % 3,
                sent_at_us: now_us,
            };
            hints.answered(&prompt, seen, now_us);
            let alive = hints.lookup(&prompt, |_| Some(Incarnation(engine % 2)));
            let known = alive.iter().any(|hint| hint.target == seen.target);
            let dead = hints.lookup(&prompt, |_| Some(Incarnation(7)));
            if hints.len() > 16 || !known || !dead.is_empty() {
                return false;
            }
        }
        hints.forget(TargetId(0));
        true
    }
    check(property as fn(Vec<(u64, u32, u64)>) -> bool);
}

/// Guards against entries that confine an organisation to different targets.
#[test]
fn equal_confinement() {
    let mut all = targets(18);
    let names = |list: Vec<Target>| -> Vec<u32> { list.iter().map(|t| t.id.0).collect() };
    let first = names(confine(&all, "mill-a", 0.4));
    all.reverse();
    assert_eq!(first, names(confine(&all, "mill-a", 0.4)));
    assert_eq!(first.len(), 4);
}

/// Guards the targets of `docs/design.md` section 2.3 on the small traces, with
/// and without a KV store for all policies.
#[test]
fn small_comparison() {
    let measurements = placement::run(1, Size::Small);
    let missed: Vec<&Measurement> = measurements.iter().filter(|m| !m.is_met()).collect();
    assert!(missed.is_empty(), "{missed:#?}");
    assert_eq!(
        measurements.iter().filter(|m| m.bound.is_some()).count(),
        60
    );
}
