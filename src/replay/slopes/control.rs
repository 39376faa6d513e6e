//! Slopes of the control state: configuration, members, limits.

use std::hint::black_box;

use super::{
    Allocated,
    Slope,
    bytes,
    memory,
    time, //
};
use crate::{
    names::{
        Digest,
        Incarnation,
        Name, //
    },
    process::{
        limits::{
            ledger::Ledger,
            message::{
                AccountReport,
                Epoch,
                HolderDemand,
                HolderId,
                HolderReport as LimitReport,
                RateAndBurst, //
            },
            participant::Participant, //
        },
        membership::{
            Membership,
            Report,
            Role, //
        },
    },
    version::{
        config::{
            Fold,
            Key,
            Object,
            Organisation, //
        },
        head::Head,
        keys::digest_of,
        ticket::Ticket, //
    },
};

const ORGANISATIONS: [usize; 3] = [2_000, 8_000, 28_000];
const TARGETS: [usize; 3] = [500, 1_500, 5_300];
const LOG_ENTRIES: [usize; 3] = [8, 16, 64];
/// Rounds of holders and ledgers.
const ROUND_US: usize = 100_000;
/// Long enough for both questions of a new ledger.
const SETTLED_AT_US: u64 = 2_000_000;
const ACCOUNTS: [usize; 3] = [1, 8, 64];

/// Organisations in one ticket, which keeps it below the limit of its size.
const TICKET_ORGANISATIONS: usize = 1_000;

/// Measures all slopes of the control state.
pub(super) fn measure(allocated: Allocated) -> Vec<Slope> {
    vec![
        memory(
            allocated,
            "configuration and snapshot, bytes",
            "organisation with a key",
            &ORGANISATIONS,
            |n| {
                let fold = configuration(n);
                let config = fold.publish();
                (fold, config)
            },
        ),
        time(
            "ticket with one key: fold and publish, us",
            "organisation with a key",
            &ORGANISATIONS,
            |n| (configuration(n), next_ticket(n)),
            |(fold, next)| {
                let ticket = ticket(*next, vec![key(0, *next)]);
                fold.apply(*next, &ticket);
                *next += 1;
                std::hint::black_box(fold.publish());
            },
        ),
        bytes(
            "head object, bytes",
            "ticket in the log",
            &LOG_ENTRIES,
            |n| {
                let head = (0..n as u64).fold(Head::default(), |head, number| {
                    head.with(number + 1, digest_of(b"content"))
                });
                serde_json::to_vec(&head).map_or(0, |json| json.len())
            },
        ),
        memory(allocated, "members, bytes", "target", &TARGETS, members),
        time(
            "report of a known target, us",
            "target",
            &TARGETS,
            members,
            |members| {
                members.apply_report(report(7), 1);
            },
        ),
        bytes("report of an agent, bytes", "report", &[1, 2, 4], |n| {
            n * postcard::to_stdvec(&report(1)).map_or(0, |bytes| bytes.len())
        }),
        memory(
            allocated,
            "limit shares of a holder, bytes",
            "organisation",
            &ORGANISATIONS,
            holder,
        ),
        time(
            "round of a holder without traffic, us",
            "organisation",
            &ORGANISATIONS,
            settled_ledger,
            |participant| drop(black_box(participant.holder().next_report(SETTLED_AT_US))),
        ),
        time(
            "round of a ledger without traffic, us",
            "organisation",
            &ORGANISATIONS,
            settled_ledger,
            |participant| {
                let ledger = participant.ledger();
                drop(black_box(ledger.map(|ledger| ledger.tick(SETTLED_AT_US))));
            },
        ),
        bytes(
            "limit report, bytes",
            "organisation with news",
            &ACCOUNTS,
            |n| postcard::to_stdvec(&limit_report(n)).map_or(0, |bytes| bytes.len()),
        ),
    ]
}

fn organisation(number: usize) -> Object {
    Object::Organisation(Organisation {
        name: name("organisation", number),
        rate_tokens_per_s: 1_000,
        burst_tokens: 10_000,
        weight: 1,
    })
}

fn key(number: usize, salt: u64) -> Object {
    Object::Key(Key {
        name: name("key", number),
        organisation: name("organisation", number),
        digest: Digest(digest_of(format!("{number}/{salt}").as_bytes()).0),
    })
}

fn ticket(number: u64, set: Vec<Object>) -> Ticket {
    Ticket {
        ticket: number,
        author: "slopes".into(),
        comment: String::new(),
        set,
        remove: Vec::new(),
    }
}

fn next_ticket(organisations: usize) -> u64 {
    organisations.div_ceil(TICKET_ORGANISATIONS) as u64 + 1
}

fn configuration(organisations: usize) -> Fold {
    let mut fold = Fold::default();
    let numbers: Vec<usize> = (0..organisations).collect();
    for (number, part) in (1..).zip(numbers.chunks(TICKET_ORGANISATIONS)) {
        let set = part
            .iter()
            .flat_map(|&own| [organisation(own), key(own, 0)]);
        fold.apply(number, &ticket(number, set.collect()));
    }
    fold
}

fn name(kind: &str, number: usize) -> Name {
    format!("{kind}-{number:05}").into()
}

fn report(number: usize) -> Report {
    Report {
        name: name("engine", number),
        role: Role::Target,
        data_centre: "es-norte-a".into(),
        service: "draft".into(),
        control_address: ([10, 0, 0, 1], 7_000).into(),
        incarnation: Incarnation(number as u64),
        sequence: 1,
        is_leaving: false,
        revision: 14_000,
        running: 12,
        queued: 3,
        queue_us: 40_000,
        engine: Incarnation(7),
        versions: vec!["2026-12-a".into()],
    }
}

fn members(targets: usize) -> Membership {
    let mut members = Membership::default();
    for number in 0..targets {
        members.apply_report(report(number), 0);
    }
    members
}

fn holder(organisations: usize) -> Participant {
    let mut participant = Participant::new(holder_id(), 0);
    for number in 0..organisations {
        participant
            .holder()
            .rate_limiter(&name("organisation", number), 0);
    }
    participant
}

/// A process that is its own ledger, after the exchange that settles them.
fn settled_ledger(organisations: usize) -> Participant {
    let mut participant = holder(organisations);
    let epoch = Epoch::acquired(1, holder_id());
    let mut ledger = Ledger::new(0, epoch, vec![holder_id().slot]);
    let limits = RateAndBurst {
        rate_tokens_per_s: 1_000,
        burst_tokens: 10_000,
    };
    for number in 0..organisations {
        ledger.set_limits(&name("organisation", number), limits, 1, 0);
    }
    participant.become_ledger(ledger);
    for now_us in (0..SETTLED_AT_US).step_by(ROUND_US) {
        let mut directives = participant
            .ledger()
            .map_or_else(Vec::new, |ledger| ledger.tick(now_us));
        if let Some(report) = participant.holder().next_report(now_us) {
            directives.extend(participant.on_ledger_report(&report, now_us));
        }
        for directive in &directives {
            participant.on_directive(directive, now_us);
        }
    }
    participant
}

fn holder_id() -> HolderId {
    HolderId {
        slot: "entry-001".into(),
        incarnation: Incarnation(1),
    }
}

fn limit_report(accounts: usize) -> LimitReport {
    let account = |number| AccountReport {
        organisation: name("organisation", number),
        held: RateAndBurst {
            rate_tokens_per_s: 1_000,
            burst_tokens: 10_000,
        },
        last_applied_lend: 12,
        release: None,
        demand: HolderDemand {
            offered_tokens_per_s: 900,
            shortfall_tokens: 0,
            level_tokens: 8_000,
        },
        granted_tokens: 0,
    };
    LimitReport {
        from: holder_id(),
        group: 17,
        epoch: Epoch::acquired(3, holder_id()),
        slots_digest: 0,
        last_received_sequence: 900,
        sequence: 1_200,
        is_complete: false,
        accounts: (0..accounts).map(account).collect(),
        borrowers: Vec::new(),
    }
}
