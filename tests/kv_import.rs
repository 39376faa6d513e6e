//! Decisions about imports from the KV cache store and exports to it.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    process::kv_import::{
        ImportOutcome,
        KvTransferPolicy,
        KvTransferSettings, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

const SETTINGS: fn() -> KvTransferSettings = KvTransferSettings::default;

fn hashes(count: u64) -> Vec<BlockHash> {
    (0..count).map(BlockHash).collect()
}

fn mill_a() -> Namespace {
    Namespace::derive("mill-a", "v1")
}

/// Guards against imports that take longer than computing the blocks, because
/// each block transfers slowly, the transfer takes long to start, the store holds
/// few of the blocks, or nothing is missing.
#[test]
fn import_slower_than_computing() {
    let slow = KvTransferSettings {
        import_block_us: SETTINGS().recompute_block_us,
        ..SETTINGS()
    };
    assert_eq!(KvTransferPolicy::new(slow).reserve(0, 5, 0), None);
    let slow_setup = KvTransferSettings {
        setup_us: 3 * SETTINGS().recompute_block_us,
        ..SETTINGS()
    };
    let mut policy = KvTransferPolicy::new(slow_setup);
    assert_eq!(policy.reserve(0, 3, 0), None);
    let reserved = policy.reserve(0, 30, 0).unwrap();
    assert_eq!(policy.narrow(reserved, 3), None);
    assert!(policy.narrow(reserved, 20).is_some());
    assert_eq!(KvTransferPolicy::new(SETTINGS()).reserve(4, 4, 0), None);
}

/// Guards against imports beyond the blocks that the store holds or that the
/// prompt has.
#[test]
fn import_beyond_stored_blocks() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    let reserved = policy.reserve(2, 9, 0).unwrap();
    let narrowed = policy.narrow(reserved, 3).unwrap();
    assert_eq!((narrowed.first, narrowed.end), (2, 5));
    assert_eq!(policy.narrow(reserved, 100), Some(reserved));
    assert_eq!(policy.narrow(reserved, 0), None);
}

/// Guards against too many concurrent imports at a target: they share its link,
/// and a store that does not answer delays all their prompts.
#[test]
fn too_many_concurrent_imports() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    for _ in 0..SETTINGS().max_imports {
        assert!(policy.reserve(0, 10, 0).is_some());
    }
    assert_eq!(policy.reserve(0, 10, 0), None);
    policy.end_import(ImportOutcome::Imported, 1);
    assert!(policy.reserve(0, 10, 1).is_some());
}

/// Guards against prompts that wait for a store that has just failed, and
/// against waits longer than computing the blocks.
#[test]
fn prompts_wait_for_failed_store() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    let import = policy.reserve(2, 6, 10).unwrap();
    let recompute_us = 4 * SETTINGS().recompute_block_us;
    assert_eq!(import.expires_at_us, 10 + recompute_us);
    policy.end_import(ImportOutcome::Failed, 20);
    let mut now_us = 20 + SETTINGS().pause_us;
    assert_eq!(policy.reserve(0, 10, now_us - 1), None);
    // Only one import tries the store again; the others are refused.
    assert!(policy.reserve(0, 10, now_us).is_some());
    assert_eq!(policy.reserve(0, 10, now_us), None);
    policy.end_import(ImportOutcome::Failed, now_us);
    now_us += 2 * SETTINGS().pause_us;
    assert_eq!(policy.reserve(0, 10, now_us - 1), None);
    let long = policy.reserve(0, 1_000, now_us).unwrap();
    assert_eq!(long.expires_at_us, now_us + SETTINGS().max_wait_us);
    policy.end_import(ImportOutcome::Imported, now_us);
    for _ in 0..SETTINGS().max_imports {
        assert!(policy.reserve(0, 10, now_us).is_some());
    }
}

/// Guards against a pause that grows without bound, because it doubles with each
/// failed import.
#[test]
fn unbounded_pause() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    let mut now_us = 0;
    for _ in 0..100 {
        assert!(policy.reserve(0, 10, now_us).is_some());
        policy.end_import(ImportOutcome::Failed, now_us);
        now_us += SETTINGS().max_pause_us;
    }
}

/// Guards against exports of blocks that were used only once, and against
/// repeated exports of a block that the store still holds.
#[test]
fn needless_exports() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    let long = hashes(6);
    assert!(policy.choose_exports(mill_a(), &long, 0).is_empty());
    assert_eq!(policy.choose_exports(mill_a(), &long[..3], 1), long[..3]);
    assert!(policy.choose_exports(mill_a(), &long[..3], 2).is_empty());
    policy.note_export_failure(mill_a(), &long[1..2]);
    assert_eq!(policy.choose_exports(mill_a(), &long[..3], 3), long[1..2]);
    let later_us = 4 + SETTINGS().export_again_after_us;
    assert_eq!(
        policy.choose_exports(mill_a(), &long[..3], later_us),
        long[..3]
    );
}

/// Guards against uses by one organisation, or with one version, that export
/// the blocks of another.
#[test]
fn uses_counted_across_namespaces() {
    let mut policy = KvTransferPolicy::new(SETTINGS());
    let blocks = hashes(3);
    let others = [("mill-b", "v1"), ("mill-a", "v2")];
    assert!(policy.choose_exports(mill_a(), &blocks, 0).is_empty());
    for (organisation, version) in others {
        let other = Namespace::derive(organisation, version);
        assert!(policy.choose_exports(other, &blocks, 1).is_empty());
    }
    assert_eq!(policy.choose_exports(mill_a(), &blocks, 2), blocks);
}

/// Guards against exports above the rate limit, and against exported blocks whose
/// predecessors are not exported.
#[test]
fn exports_above_rate() {
    fn property(gaps_ms: Vec<u8>) -> bool {
        let settings = KvTransferSettings {
            export_after_uses: 1,
            export_blocks_per_s: 10,
            export_burst_blocks: 5,
            ..SETTINGS()
        };
        let mut policy = KvTransferPolicy::new(settings);
        let mut now_us = 0;
        let mut exported = 0;
        for (round, gap_ms) in (0_u64..).zip(gaps_ms) {
            now_us += u64::from(gap_ms) * 1_000;
            let blocks: Vec<_> = (0..4).map(|i| BlockHash(round << 8 | i)).collect();
            let exports = policy.choose_exports(mill_a(), &blocks, now_us);
            assert!(blocks.starts_with(&exports));
            exported += exports.len();
        }
        exported as f64 <= 5.0 + now_us as f64 / 1e6 * 10.0 + 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
