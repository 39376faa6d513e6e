//! Tests of the agent's index of its engine's cache.

use std::num::NonZeroUsize;

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    names::Incarnation,
    process::cache_index::{
        CacheChange,
        CacheEvent,
        CacheIndex,
        CacheReport,
        EventOutcome,
        PrefixMatch, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

const ENGINE: Incarnation = Incarnation(1);
const NAMESPACE: Namespace = Namespace(5);
const PROMPT: [BlockHash; 3] = [BlockHash(1), BlockHash(2), BlockHash(3)];

fn index(capacity: usize) -> CacheIndex {
    CacheIndex::new(ENGINE, NonZeroUsize::new(capacity).unwrap())
}

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent {
        engine: ENGINE,
        sequence,
        namespace: NAMESPACE,
        change,
    }
}

fn report(matched_blocks: u32, sent_at_us: u64) -> CacheReport {
    CacheReport {
        engine: ENGINE,
        namespace: NAMESPACE,
        matched_blocks,
        sent_at_us,
    }
}

fn likely(index: &CacheIndex) -> u32 {
    index.lookup(NAMESPACE, &PROMPT).likely_blocks
}

/// Guards against an eviction that overrides a later store because its event
/// arrives late.
#[test]
fn late_eviction_overrides_store() {
    let mut index = index(10);
    let stored = event(1, CacheChange::Stored(PROMPT.to_vec()));
    let evicted = event(0, CacheChange::Evicted(PROMPT.to_vec()));
    assert_eq!(
        index.apply(&stored, 1),
        EventOutcome::AfterGap { missing: 1 }
    );
    assert_eq!(index.apply(&evicted, 2), EventOutcome::Late);
    assert_eq!(likely(&index), 3);
}

/// Guards against blocks that stay confirmed after a gap in the event stream: a
/// missing event may have evicted them, so they are only likely.
#[test]
fn blocks_confirmed_despite_gap() {
    let mut index = index(10);
    index.apply(&event(0, CacheChange::Stored(PROMPT[..2].to_vec())), 1);
    index.apply(&event(5, CacheChange::Stored(PROMPT[2..].to_vec())), 2);
    let prefix = index.lookup(NAMESPACE, &PROMPT);
    assert_eq!(
        prefix,
        PrefixMatch {
            likely_blocks: 3,
            confirmed_blocks: 0
        }
    );
    index.apply_report(report(3, 3), &PROMPT, 4);
    assert_eq!(index.lookup(NAMESPACE, &PROMPT).confirmed_blocks, 3);
}

/// Guards against blocks that stay likely although the event of their eviction was
/// lost and an answer shows that older blocks are gone, and against counting
/// blocks as evicted that the answered request itself stored.
#[test]
fn lost_eviction_not_corrected() {
    let old = [BlockHash(8)];
    let mut index = index(10);
    index.apply_report(report(0, 0), &old, 10);
    index.apply_report(report(0, 0), &PROMPT, 20);
    index.apply_report(report(0, 15), &PROMPT, 30);
    assert_eq!(index.lookup(NAMESPACE, &old).likely_blocks, 1);
    index.apply_report(report(0, 40), &PROMPT, 50);
    assert_eq!(likely(&index), 3);
    assert_eq!(index.lookup(NAMESPACE, &old).likely_blocks, 0);
}

/// Guards against blocks of a former engine process in the index, also from events
/// and answers that arrive after the restart.
#[test]
fn blocks_kept_over_restart() {
    let mut index = index(10);
    index.apply_report(report(0, 0), &PROMPT, 1);
    index.set_engine(Incarnation(2));
    let late = event(0, CacheChange::Stored(PROMPT.to_vec()));
    assert_eq!(index.apply(&late, 2), EventOutcome::OtherIncarnation);
    index.apply_report(report(3, 2), &PROMPT, 3);
    assert!(index.is_empty());
    assert_eq!(index.engine(), Incarnation(2));
}

/// Guards against blocks of unanswered requests that are not counted as likely, and
/// against those that are still counted after the last such request ended.
#[test]
fn expected_blocks_lost_or_kept() {
    let mut index = index(10);
    index.add_expected(NAMESPACE, &PROMPT);
    index.add_expected(NAMESPACE, &PROMPT[..1]);
    assert_eq!(likely(&index), 3);
    assert_eq!(index.lookup(Namespace(6), &PROMPT).likely_blocks, 0);
    index.remove_expected(NAMESPACE, &PROMPT);
    assert_eq!(likely(&index), 1);
    index.remove_expected(NAMESPACE, &PROMPT[..1]);
    assert_eq!(likely(&index), 0);
}

/// Guards against a final state that depends on the order in which events arrive,
/// and against an index that exceeds its capacity.
#[test]
fn state_depends_on_arrival_order() {
    fn property(changes: Vec<(u8, bool)>, rotation: usize) -> bool {
        let events: Vec<CacheEvent> = (0..)
            .zip(&changes)
            .map(|(sequence, &(block, is_stored))| {
                let blocks = vec![BlockHash(u64::from(block % 8))];
                let change = if is_stored {
                    CacheChange::Stored(blocks)
                } else {
                    CacheChange::Evicted(blocks)
                };
                event(sequence, change)
            })
            .collect();
        let mut shuffled = events.clone();
        shuffled.rotate_left(rotation % events.len().max(1));
        let (mut ordered, mut disordered) = (index(8), index(8));
        for (first, second) in events.iter().zip(&shuffled) {
            ordered.apply(first, 1);
            disordered.apply(second, 1);
        }
        let same = |block: u64| {
            let blocks = [BlockHash(block)];
            let likely = |index: &CacheIndex| index.lookup(NAMESPACE, &blocks).likely_blocks;
            likely(&ordered) == likely(&disordered)
        };
        ordered.len() <= 8 && (0..8).all(same)
    }
    let gen_fixed = Gen::from_size_and_seed(60, 11);
    QuickCheck::new()
        .rng(gen_fixed)
        .quickcheck(property as fn(Vec<(u8, bool)>, usize) -> bool);
}
