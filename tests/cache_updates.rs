//! Tests that entries receive the changes of engines' caches, also after lost messages
//! and restarts.

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};
use yuccalatch::direct::{
    cache::{
        CacheLog,
        CachedParts,
        part_key, //
    },
    message::{
        CacheEvent,
        CacheEvents, //
    },
};

fn event(part: u64, tokens: u64) -> CacheEvent {
    CacheEvent {
        namespace: "1".into(),
        model: "m".into(),
        part,
        tokens,
    }
}

fn events(epoch: u64, events: Vec<CacheEvent>) -> CacheEvents {
    CacheEvents {
        epoch,
        next: 0,
        has_lost_events: false,
        events,
    }
}

fn cached_prefix_tokens(parts: &CachedParts, prompt_parts: &[(u64, u64)]) -> Option<u64> {
    let keys: Vec<(u64, u64)> = prompt_parts
        .iter()
        .map(|(part, tokens)| (part_key("1", "m", *part), *tokens))
        .collect();
    parts.leading_tokens(&keys)
}

#[test]
fn cached_tokens_are_unknown_before_the_first_update() {
    assert_eq!(
        cached_prefix_tokens(&CachedParts::default(), &[(1, 80)]),
        None
    );
}

#[test]
fn only_an_unbroken_prefix_of_cached_parts_counts() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 800), event(3, 160)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(None));
    assert_eq!(
        cached_prefix_tokens(&parts, &[(1, 800), (2, 400), (3, 160)]),
        Some(800)
    );
    assert_eq!(cached_prefix_tokens(&parts, &[(2, 400), (1, 800)]), Some(0));
    // The last, incomplete block of a part is not cached.
    log.apply(&events(1, vec![event(2, 400)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(
        cached_prefix_tokens(&parts, &[(1, 810), (2, 400)]),
        Some(1_200)
    );
    // Nothing after a part that is only partly cached can be used.
    log.apply(&events(1, vec![event(1, 320)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(
        cached_prefix_tokens(&parts, &[(1, 800), (2, 400)]),
        Some(320)
    );
}

#[test]
fn a_restart_of_the_engine_discards_its_parts() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 80)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(None));
    log.apply(&events(2, vec![event(2, 80)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(cached_prefix_tokens(&parts, &[(1, 80)]), Some(0));
    assert_eq!(cached_prefix_tokens(&parts, &[(2, 80)]), Some(80));
}

/// An update that follows on from changes which the entry never received would leave
/// it with an incomplete copy.
#[test]
fn an_update_after_a_gap_is_ignored() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 80)]));
    let missed = log.position();
    log.apply(&events(1, vec![event(2, 80)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(Some(missed)));
    assert_eq!(parts.position(), None);
}

/// Step of a random history.
#[derive(Clone, Debug)]
enum Action {
    /// A part now has a number of cached blocks.
    Change(u8, u8),
    /// The agent sends an update. It, or the entry's answer, may be lost.
    Update { is_answered: bool, is_lost: bool },
    /// The engine restarts.
    Restart,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0 => Self::Restart,
            1..=8 => Self::Change(u8::arbitrary(g) % 8, u8::arbitrary(g) % 3),
            _ => Self::Update {
                is_answered: bool::arbitrary(g),
                is_lost: bool::arbitrary(g),
            },
        }
    }
}

/// The copy of an entry that missed updates, or whose answers were lost, must in the
/// end equal one that is made from the complete state.
#[test]
fn copies_converge_after_lost_updates_and_answers() {
    fn converges(actions: Vec<Action>) -> bool {
        let mut log = CacheLog::default();
        let mut parts = CachedParts::default();
        let (mut epoch, mut confirmed) = (1, None);
        for action in actions {
            match action {
                Action::Change(part, blocks) => {
                    let tokens = u64::from(blocks) * 16;
                    log.apply(&events(epoch, vec![event(part.into(), tokens)]));
                }
                Action::Restart => {
                    epoch += 1;
                    log.apply(&events(epoch, vec![]));
                }
                Action::Update { is_lost: true, .. } => {}
                Action::Update { is_answered, .. } => {
                    parts.apply(&log.update_since(confirmed));
                    if is_answered {
                        confirmed = parts.position();
                    }
                }
            }
        }
        parts.apply(&log.update_since(confirmed));
        let mut complete = CachedParts::default();
        complete.apply(&log.update_since(None));
        (0..8).all(|part| {
            cached_prefix_tokens(&parts, &[(part, 32)])
                == cached_prefix_tokens(&complete, &[(part, 32)])
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(2_000)
        .quickcheck(converges as fn(Vec<Action>) -> bool);
}
