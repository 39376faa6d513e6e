//! Ticket submission against the object API, with races and lost answers.

mod support;

use std::collections::BTreeSet;

use support::{
    deadline_us,
    get_json,
    organisation,
    organisation_id,
    set_faults,
    ticket,
    with_platform, //
};
use yuccalatch::{
    clock::US_PER_S,
    error::ErrorKind,
    process::platform::{
        Platform,
        configuration::{
            Accepted,
            SubmitError,
            advance,
            compact,
            read_head,
            submit, //
        },
    },
    standin::fault::PlatformFaults,
    version::{
        config::Fold,
        head::{
            MAX_LOG_ENTRIES,
            SNAPSHOT_PREFIX, //
        },
        ticket::Ticket, //
    },
};

async fn send(platform: &Platform, ticket: &Ticket) -> Result<Accepted, SubmitError> {
    submit(
        platform,
        &mut Fold::default(),
        ticket,
        deadline_us(platform),
    )
    .await
}

async fn state(platform: &Platform) -> Fold {
    let mut fold = Fold::default();
    advance(platform, &mut fold, deadline_us(platform))
        .await
        .unwrap();
    fold
}

fn create(number: u64, name: &str) -> Ticket {
    ticket(number, vec![organisation(name, number)], vec![])
}

const fn accepted(revision: u64, is_repeat: bool) -> Result<Accepted, SubmitError> {
    Ok(Accepted {
        revision,
        is_repeat,
    })
}

/// Guards against concurrent operators that overwrite each other's tickets.
#[test]
fn racing_operators() {
    with_platform(async |platform| {
        let tickets: Vec<_> = (1..=4).map(|n| create(n, &format!("o{n}"))).collect();
        let results = tokio::join!(
            send(&platform, &tickets[0]),
            send(&platform, &tickets[1]),
            send(&platform, &tickets[2]),
            send(&platform, &tickets[3]),
        );
        let results = [results.0, results.1, results.2, results.3];
        let revisions: BTreeSet<_> = results.map(|r| r.unwrap().revision).into();
        assert_eq!(revisions, BTreeSet::from([1, 2, 3, 4]));
        assert_eq!(state(&platform).await.publish().organisations().len(), 4);
    });
}

/// Guards against a lower number that wins over a higher one on one object.
#[test]
fn racing_on_one_object() {
    with_platform(async |platform| {
        let (low, high) = (create(5, "o"), create(9, "o"));
        let (low, high) = tokio::join!(send(&platform, &low), send(&platform, &high));
        assert!(high.is_ok());
        if let Err(error) = low {
            assert_eq!(error.kind(), ErrorKind::TicketOutdated);
        }
        let fold = state(&platform).await;
        assert_eq!(fold.last_ticket(&organisation_id("o")), 9);
    });
}

/// Guards against two operators who use one number for different changes.
#[test]
fn racing_on_one_number() {
    with_platform(async |platform| {
        let (left, right) = (create(1, "left"), create(1, "right"));
        let (left, right) = tokio::join!(send(&platform, &left), send(&platform, &right));
        let lost: Vec<_> = [left, right].into_iter().filter_map(Result::err).collect();
        assert_eq!(lost, [SubmitError::OtherContent]);
        assert_eq!(state(&platform).await.publish().organisations().len(), 1);
    });
}

/// Guards against a ticket that is lost or accepted twice when answers of its
/// writes are lost.
#[test]
fn lost_answers() {
    with_platform(async |platform| {
        for every in 1..=3 {
            let faults = PlatformFaults {
                lose_answer_every: every,
                ..PlatformFaults::default()
            };
            set_faults(platform.address(), &faults).await;
            let result = send(&platform, &create(every, "o")).await;
            assert_eq!(result, accepted(every, false));
        }
        assert_eq!(state(&platform).await.revision(), 3);
    });
}

/// Guards against repeated submissions that fail or count twice, also after
/// the log entry became part of a snapshot.
#[test]
fn repeated_numbers() {
    with_platform(async |platform| {
        let first = create(3, "o");
        assert_eq!(send(&platform, &first).await, accepted(1, false));
        assert_eq!(send(&platform, &first).await, accepted(1, true));
        let other = create(3, "p");
        assert_eq!(
            send(&platform, &other).await,
            Err(SubmitError::OtherContent)
        );
        let second = create(4, "o");
        assert_eq!(send(&platform, &second).await, accepted(2, false));
        let older = create(2, "o");
        let refused = send(&platform, &older).await.unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::TicketOutdated);

        let deadline_us = deadline_us(&platform);
        let done = compact(&platform, &mut Fold::default(), deadline_us).await;
        assert_eq!(done, Ok(true));
        assert!(
            read_head(&platform, deadline_us)
                .await
                .unwrap()
                .log
                .is_empty()
        );
        assert_eq!(send(&platform, &first).await, accepted(1, true));
        assert_eq!(
            send(&platform, &other).await,
            Err(SubmitError::OtherContent)
        );
        assert_eq!(send(&platform, &create(5, "p")).await, accepted(3, false));
    });
}

/// Guards against an operator who cannot learn what became of a ticket when
/// the platform goes down between the write and its answer.
#[test]
fn down_after_write() {
    with_platform(async |platform| {
        // The first write files the ticket, the second one extends the head.
        let faults = PlatformFaults {
            down_after_writes: 2,
            ..PlatformFaults::default()
        };
        set_faults(platform.address(), &faults).await;
        let ticket = create(1, "o");
        let deadline_us = platform.clock().now_us() + 5 * US_PER_S;
        let result = submit(&platform, &mut Fold::default(), &ticket, deadline_us).await;
        assert!(matches!(result, Err(SubmitError::OutcomeUnknown(_))));
        let in_force: PlatformFaults = get_json(platform.address(), "/faults").await;
        assert!(in_force.down);
        set_faults(platform.address(), &PlatformFaults::default()).await;
        assert_eq!(send(&platform, &ticket).await, accepted(1, true));
    });
}

/// Guards against a filed but unaccepted ticket that blocks its own repetition.
#[test]
fn down_before_commit() {
    with_platform(async |platform| {
        let faults = PlatformFaults {
            down_after_writes: 1,
            ..PlatformFaults::default()
        };
        set_faults(platform.address(), &faults).await;
        let ticket = create(1, "o");
        let deadline_us = platform.clock().now_us() + 5 * US_PER_S;
        let result = submit(&platform, &mut Fold::default(), &ticket, deadline_us).await;
        assert!(matches!(result, Err(SubmitError::Failed(_))));
        set_faults(platform.address(), &PlatformFaults::default()).await;
        assert_eq!(state(&platform).await.revision(), 0);
        assert_eq!(send(&platform, &ticket).await, accepted(1, false));
    });
}

/// Guards against a log without bound and against snapshots that pile up.
#[test]
fn compaction() {
    with_platform(async |platform| {
        let tickets = 2 * MAX_LOG_ENTRIES as u64 + 10;
        let mut writer = Fold::default();
        for number in 1..=tickets {
            let ticket = create(number, &format!("o{}", number % 7));
            let deadline_us = deadline_us(&platform);
            let result = submit(&platform, &mut writer, &ticket, deadline_us).await;
            assert_eq!(result, accepted(number, false));
        }
        let head = read_head(&platform, deadline_us(&platform)).await.unwrap();
        assert!(head.log.len() < MAX_LOG_ENTRIES);
        assert_eq!(head.revision(), tickets);
        let reader = state(&platform).await;
        assert_eq!(reader.image(), writer.image());
        let parts = platform.list(SNAPSHOT_PREFIX, "", deadline_us(&platform));
        assert_eq!(parts.await.unwrap().objects.len(), 1);
    });
}

/// Guards against parts of an old snapshot that stay because one listing does
/// not hold them all.
#[test]
fn large_snapshots() {
    with_platform(async |platform| {
        let mut fold = Fold::default();
        for batch in 1..=12 {
            let set = (0..4_000).map(|n| organisation(&format!("o{batch}-{n}"), 1));
            let ticket = ticket(batch, set.collect(), vec![]);
            let deadline_us = deadline_us(&platform);
            let result = submit(&platform, &mut fold, &ticket, deadline_us).await;
            assert_eq!(result, accepted(batch, false));
            if batch >= 11 {
                let done = compact(&platform, &mut fold, deadline_us).await;
                assert_eq!(done, Ok(true));
            }
        }
        assert_eq!(state(&platform).await.image(), fold.image());
        let deadline_us = deadline_us(&platform);
        let head = read_head(&platform, deadline_us).await.unwrap();
        let pointer = head.snapshot.unwrap();
        assert!(pointer.parts > 4);
        let first = platform.list(SNAPSHOT_PREFIX, "", deadline_us).await;
        assert_eq!(*first.unwrap().objects[0].key, *pointer.part_key(0));
    });
}
