//! Folded configuration: lookups, snapshots, and no return to older state.

mod support;

use quickcheck::{
    Gen,
    QuickCheck, //
};
use support::{
    base_text,
    organisation,
    organisation_id,
    ticket, //
};
use yuccalatch::version::{
    config::{
        Applied,
        Fold,
        Image,
        RouteMiss,
        Update, //
    },
    head::{
        MAX_PART_BYTES,
        join,
        split, //
    },
    keys::digest_of,
    ticket::{
        Ticket,
        TicketFile, //
    },
};

const SEED: u64 = 0x10_6d;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Builds tickets from random bytes; some of them break rules.
fn tickets(bytes: &[u8]) -> Vec<Ticket> {
    let number =
        |position: usize, byte: u8| (position as u64 + 1).saturating_sub(u64::from(byte % 3));
    bytes
        .iter()
        .enumerate()
        .map(|(position, byte)| {
            let name = NAMES[usize::from(byte / 4 % 4)];
            let (set, remove) = if byte % 4 == 0 {
                (vec![], vec![organisation_id(name)])
            } else {
                (vec![organisation(name, u64::from(*byte) + 1)], vec![])
            };
            ticket(number(position, byte / 16), set, remove)
        })
        .collect()
}

fn fold_of(tickets: &[Ticket]) -> Fold {
    let mut fold = Fold::default();
    for (revision, ticket) in (1..).zip(tickets) {
        fold.apply(revision, ticket);
    }
    fold
}

fn check(property: fn(Vec<u8>, Vec<(u8, u8)>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(property);
}

/// Guards against a state that depends on the snapshot it started from.
#[test]
fn snapshot_and_log() {
    fn property(bytes: Vec<u8>, _: Vec<(u8, u8)>) -> bool {
        let tickets = tickets(&bytes);
        let whole = fold_of(&tickets);
        (0..=tickets.len()).all(|cut| {
            let mut fold = Fold::default();
            let (pointer, parts) = split(&fold_of(&tickets[..cut]).image()).unwrap();
            fold.replace(join(&pointer, &parts).unwrap());
            for (position, ticket) in tickets.iter().enumerate().skip(cut) {
                fold.apply(position as u64 + 1, ticket);
            }
            fold.image() == whole.image() && fold.digest() == whole.digest()
        })
    }
    check(property);
}

/// Guards against a return to an older revision when peers or outdated reads
/// offer one, in any order.
#[test]
fn offers_never_revert() {
    fn property(bytes: Vec<u8>, offers: Vec<(u8, u8)>) -> bool {
        let tickets = tickets(&bytes);
        let states: Vec<_> = (0..=tickets.len())
            .map(|n| fold_of(&tickets[..n]))
            .collect();
        let mut fold = Fold::default();
        for (kind, place) in offers {
            let before = fold.revision();
            let offered = usize::from(place) % states.len();
            let peer = &states[offered];
            match kind % 3 {
                0 => fold.replace(peer.image()),
                1 => fold.receive(peer.since(u64::from(kind / 3) % (peer.revision() + 1))),
                _ => match tickets.get(offered) {
                    Some(ticket) => fold.apply(offered as u64 + 1, ticket),
                    None => Applied::Stale,
                },
            };
            let state = &states[usize::try_from(fold.revision()).unwrap()];
            if fold.revision() < before || fold.image() != state.image() {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against objects whose last ticket number ever decreases.
#[test]
fn numbers_never_decrease() {
    fn property(bytes: Vec<u8>, _: Vec<(u8, u8)>) -> bool {
        let tickets = tickets(&bytes);
        let mut fold = Fold::default();
        (1..).zip(&tickets).all(|(revision, ticket)| {
            let last = |fold: &Fold| NAMES.map(|name| fold.last_ticket(&organisation_id(name)));
            let before = last(&fold);
            fold.apply(revision, ticket);
            let after = last(&fold);
            before.iter().zip(after).all(|(old, new)| *old <= new)
        })
    }
    check(property);
}

/// Guards against an old number that recreates a removed object.
#[test]
fn removed_objects() {
    let created = ticket(5, vec![organisation("a", 1)], vec![]);
    let removed = ticket(7, vec![], vec![organisation_id("a")]);
    let mut fold = fold_of(&[created, removed]);
    let late = ticket(6, vec![organisation("a", 1)], vec![]);
    assert!(matches!(fold.apply(3, &late), Applied::Refused(_)));
    assert_eq!(fold.revision(), 3);
    assert!(fold.publish().organisation_by_name("a").is_none());
}

/// Guards against lookups that mix up organisations, keys or routes.
#[test]
fn lookups() {
    let file = TicketFile::parse("base.json", base_text()).unwrap();
    let config = fold_of(&[file.ticket().clone()]).publish();
    let acme = config.organisation_by_name("acme").unwrap();
    let brazos = config.organisation_by_name("brazos").unwrap();
    assert_eq!(config.organisation_of_key(&digest_of(b"abc")), Some(acme));
    assert_eq!(config.organisation_of_key(&digest_of(b"abd")), None);
    let mut near = digest_of(b"abc");
    near.0[31] ^= 1;
    assert_eq!(config.organisation_of_key(&near), None);

    let chat = config.find_route("POST", "/v1/chat/completions", Some("oak"));
    let chat = config.route(chat.unwrap()).unwrap();
    assert!(chat.admits(acme) && !chat.admits(brazos));
    assert_eq!(config.targets_of(chat.service).len(), 1);
    let files = config.find_route("GET", "/files/a/b/", None);
    assert_eq!(files, Ok(config.route_by_name("files").unwrap()));
    let miss = |method, path, model| config.find_route(method, path, model).unwrap_err();
    assert_eq!(miss("GET", "/filesystem", None), RouteMiss::NotFound);
    assert_eq!(miss("PUT", "/files", None), RouteMiss::MethodNotAllowed);
    let other = miss("POST", "/v1/chat/completions", Some("elm"));
    assert_eq!(other, RouteMiss::NotFound);
}

/// Guards against keys of tables that change when an image replaces the state.
#[test]
fn stable_keys() {
    let first = ticket(1, vec![organisation("a", 1), organisation("b", 1)], vec![]);
    let second = ticket(2, vec![organisation("a", 2)], vec![organisation_id("b")]);
    let mut fold = fold_of(std::slice::from_ref(&first));
    let old = fold.publish();
    let newer = fold_of(&[first, second]);
    fold.replace(newer.image());
    let new = fold.publish();
    let a = old.organisation_by_name("a").unwrap();
    assert_eq!(new.organisation(a).unwrap().rate_tokens_per_s, 2);
    assert_eq!(old.organisation(a).unwrap().rate_tokens_per_s, 1);
    let b = old.organisation_by_name("b").unwrap();
    assert!(new.organisation(b).is_none());
}

/// Guards against snapshot parts that the object API does not store.
#[test]
fn large_snapshot() {
    let mut fold = Fold::default();
    for batch in 0..20_u64 {
        let set = (0..1_000).map(|n| organisation(&format!("organisation-{batch}-{n}"), 1));
        fold.apply(batch + 1, &ticket(batch + 1, set.collect(), vec![]));
    }
    let image = fold.image();
    let (pointer, mut parts) = split(&image).unwrap();
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|part| part.len() <= MAX_PART_BYTES));
    assert_eq!(join(&pointer, &parts).unwrap(), image);
    parts.swap(0, 1);
    assert!(join(&pointer, &parts).is_err());
}

/// Guards against a peer that lags far behind and receives a gap.
#[test]
fn lagging_peers() {
    let tickets: Vec<_> = (1..=300)
        .map(|n| ticket(n, vec![organisation("a", n)], vec![]))
        .collect();
    let fold = fold_of(&tickets);
    assert!(matches!(
        fold.since(0),
        Update::Image(Image { revision: 300, .. })
    ));
    assert!(matches!(
        fold.since(290),
        Update::Tickets {
            first_revision: 291,
            ..
        }
    ));
    assert_eq!(fold.since(301), Update::Current);
    let mut peer = fold_of(&tickets[..290]);
    peer.receive(fold.since(290));
    assert_eq!(peer.image(), fold.image());
}
