//! What entries learn of the parts that engines have cached.

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

fn leading(parts: &CachedParts, wanted: &[(u64, u64)]) -> Option<u64> {
    let keys: Vec<(u64, u64)> = wanted
        .iter()
        .map(|(part, tokens)| (part_key("1", "m", *part), *tokens))
        .collect();
    parts.leading_tokens(&keys)
}

#[test]
fn nothing_is_known_before_the_first_news() {
    assert_eq!(leading(&CachedParts::default(), &[(1, 80)]), None);
}

#[test]
fn parts_count_from_the_start_of_the_prompt() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 800), event(3, 160)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(None));
    assert_eq!(leading(&parts, &[(1, 800), (2, 400), (3, 160)]), Some(800));
    assert_eq!(leading(&parts, &[(2, 400), (1, 800)]), Some(0));
    // The last, incomplete block of a part is not cached.
    log.apply(&events(1, vec![event(2, 400)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(leading(&parts, &[(1, 810), (2, 400)]), Some(1_200));
    // A part that has shrunk ends what can be used.
    log.apply(&events(1, vec![event(1, 320)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(leading(&parts, &[(1, 800), (2, 400)]), Some(320));
}

#[test]
fn a_restarted_engine_has_nothing() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 80)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(None));
    log.apply(&events(2, vec![event(2, 80)]));
    parts.apply(&log.update_since(parts.position()));
    assert_eq!(leading(&parts, &[(1, 80)]), Some(0));
    assert_eq!(leading(&parts, &[(2, 80)]), Some(80));
}

#[test]
fn news_after_a_gap_changes_nothing() {
    let mut log = CacheLog::default();
    log.apply(&events(1, vec![event(1, 80)]));
    let first = log.position();
    log.apply(&events(1, vec![event(2, 80)]));
    let mut parts = CachedParts::default();
    parts.apply(&log.update_since(Some(first)));
    assert_eq!(parts.position(), None);
}

/// A history: changes of parts, and after which of them news is sent, answered
/// or lost.
#[derive(Clone, Debug)]
enum Action {
    Change(u8, u8),
    News { is_answered: bool, is_lost: bool },
    Restart,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0 => Self::Restart,
            1..=8 => Self::Change(u8::arbitrary(g) % 8, u8::arbitrary(g) % 3),
            _ => Self::News {
                is_answered: bool::arbitrary(g),
                is_lost: bool::arbitrary(g),
            },
        }
    }
}

#[test]
fn lost_news_and_answers_leave_no_difference() {
    fn agrees(actions: Vec<Action>) -> bool {
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
                Action::News { is_lost: true, .. } => {}
                Action::News { is_answered, .. } => {
                    parts.apply(&log.update_since(confirmed));
                    if is_answered {
                        confirmed = parts.position();
                    }
                }
            }
        }
        parts.apply(&log.update_since(confirmed));
        let mut whole = CachedParts::default();
        whole.apply(&log.update_since(None));
        (0..8).all(|part| leading(&parts, &[(part, 32)]) == leading(&whole, &[(part, 32)]))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(2_000)
        .quickcheck(agrees as fn(Vec<Action>) -> bool);
}
