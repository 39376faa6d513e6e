//! Tests that streams are passed on in complete events and in order, however the bytes
//! are cut. Otherwise a resumed stream would repeat or lose events.

use quickcheck::quickcheck;
use yuccalatch::direct::events::{
    EventSplitter,
    SplitError,
    StreamPosition, //
};

/// Passes on the events that are complete and in order. Returns their bytes and why no
/// more follow, `None` when more bytes are needed.
fn pass_on(
    splitter: &mut EventSplitter,
    position: &mut StreamPosition,
) -> (Vec<u8>, Option<SplitError>) {
    let mut passed = Vec::new();
    loop {
        match splitter.next_batch() {
            Ok(Some(batch)) => passed.extend_from_slice(&position.pass_on(batch)),
            Ok(None) => return (passed, None),
            Err(error) => return (passed, Some(error)),
        }
    }
}

/// Splits bytes that arrive in one read, after the event with the given id. Returns the
/// bytes that are passed on, the last id among them, and the error, if any.
fn split(last_id: Option<u64>, data: &[u8]) -> (Vec<u8>, Option<u64>, Option<SplitError>) {
    let mut splitter = EventSplitter::new(last_id);
    let mut position = StreamPosition::new(last_id);
    splitter.push(data);
    let (passed, error) = pass_on(&mut splitter, &mut position);
    (passed, position.last_id(), error)
}

fn stream(count: u64) -> Vec<u8> {
    (0..count)
        .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 7)).into_bytes())
        .collect()
}

quickcheck! {
    fn cuts_do_not_change_the_events(cuts: Vec<u8>) -> bool {
        let whole = stream(20);
        let mut splitter = EventSplitter::new(None);
        let mut position = StreamPosition::new(None);
        let mut passed = Vec::new();
        let mut rest = whole.as_slice();
        let mut cuts = cuts.into_iter();
        while !rest.is_empty() {
            let length = usize::from(cuts.next().unwrap_or(u8::MAX)).clamp(1, rest.len());
            let (part, after) = rest.split_at(length);
            rest = after;
            splitter.push(part);
            let (events, error) = pass_on(&mut splitter, &mut position);
            assert_eq!(error, None);
            passed.extend_from_slice(&events);
        }
        passed == whole && position.last_id() == Some(19) && !splitter.has_partial_event()
    }
}

quickcheck! {
    /// Guards against sound events that are lost because a later event of the same read is
    /// not in order, and against a position behind events that were not passed on.
    fn events_before_one_out_of_order_are_passed_on(cuts: Vec<u8>, sound: u8, wrong: u64) -> bool {
        let sound = u64::from(sound % 20);
        // The first id alone proves nothing.
        if wrong == sound || sound < 2 {
            return true;
        }
        let mut whole = stream(sound);
        whole.extend(format!("id: {wrong}\ndata: a\n\n").into_bytes());
        let mut splitter = EventSplitter::new(None);
        let mut position = StreamPosition::new(None);
        let mut passed = Vec::new();
        let mut rest = whole.as_slice();
        let mut cuts = cuts.into_iter();
        let mut last_error = None;
        while !rest.is_empty() && last_error.is_none() {
            let length = usize::from(cuts.next().unwrap_or(u8::MAX)).clamp(1, rest.len());
            let (part, after) = rest.split_at(length);
            rest = after;
            splitter.push(part);
            let (events, error) = pass_on(&mut splitter, &mut position);
            passed.extend_from_slice(&events);
            last_error = error;
        }
        // The error stays.
        passed == stream(sound)
            && position.last_id() == Some(sound - 1)
            && last_error == Some(SplitError::OutOfOrder)
            && splitter.next_batch() == Err(SplitError::OutOfOrder)
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::new(None);
    let mut position = StreamPosition::new(None);
    splitter.push(b"id: 4\ndata: a\n\nid: 5\ndata");
    let (passed, error) = pass_on(&mut splitter, &mut position);
    assert_eq!((&passed[..], error), (&b"id: 4\ndata: a\n\n"[..], None));
    assert_eq!(position.last_id(), Some(4));
    assert!(splitter.has_partial_event());
}

#[test]
fn a_missing_or_repeated_event_is_an_error() {
    for wrong in [3, 5, 4] {
        let event = format!("id: {wrong}\ndata: a\n\n");
        let (_, _, error) = split(Some(4), event.as_bytes());
        assert_eq!(error.is_some(), wrong != 5, "event {wrong}");
    }
    let data = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 3\ndata: c\n\n";
    let (passed, last_id, error) = split(None, data);
    assert_eq!(passed, b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    assert_eq!(last_id, Some(1));
    assert_eq!(error, Some(SplitError::OutOfOrder));
    let (_, _, error) = split(Some(u64::MAX), b"id: 0\ndata: a\n\n");
    assert_eq!(error, Some(SplitError::OutOfOrder));
}

/// Guards against blank lines between events that pass for the start of another event, so
/// that a whole stream seems to end inside one.
#[test]
fn blank_lines_between_events_belong_to_no_event() {
    for blank in ["\n", "\n\n", "\r\n"] {
        let data = format!("id: 1\ndata: a\n\n{blank}id: 2\ndata: b\n\n{blank}");
        for cut in 0..data.len() {
            let mut splitter = EventSplitter::new(None);
            let mut position = StreamPosition::new(None);
            let mut passed = Vec::new();
            for part in [&data[..cut], &data[cut..]] {
                splitter.push(part.as_bytes());
                let (events, error) = pass_on(&mut splitter, &mut position);
                assert_eq!(error, None);
                passed.extend_from_slice(&events);
            }
            assert_eq!(passed, data.as_bytes(), "{blank:?}, {cut}");
            assert!(!splitter.has_partial_event());
            assert_eq!(position.last_id(), Some(2));
        }
    }
}

/// Guards against content whose place in the stream is not known and that is passed on
/// between events with ids: a resumed stream would repeat it, and text that is no event
/// would pass for a part of the stream.
#[test]
fn content_without_a_readable_id_ends_a_numbered_stream() {
    let malformed = [
        "id: 5x\ndata: a\n\n",
        "id: -5\ndata: a\n\n",
        "id\ndata: a\n\n",
        "id: 5\nid: 6\ndata: a\n\n",
        "id: 99999999999999999999\ndata: a\n\n",
        "ie: 5\ndata: a\n\n",
        "data: a\n\n",
        "event: error\ndata: a\n\n",
        "no saw\n\n",
        "HTTP/1.1 500 Broken\r\ncontent-length: 0\r\n\r\n",
    ];
    for event in malformed {
        let data = format!("id: 4\ndata: a\n\n{event}id: 5\ndata: b\n\n");
        let (passed, last_id, error) = split(Some(3), data.as_bytes());
        assert_eq!(passed, b"id: 4\ndata: a\n\n", "{event:?}");
        assert_eq!((last_id, error), (Some(4), Some(SplitError::Malformed)));
    }
    for event in [
        ": wait\n\n",
        "retry: 10\n\n",
        "\n",
        "id:5\ndata: a\n\n",
        "x: y\nid: 5\n\n",
    ] {
        let (passed, _, error) = split(Some(4), event.as_bytes());
        assert_eq!((&passed[..], error), (event.as_bytes(), None));
    }
}

/// Guards against resuming a stream whose caller has received content without an id.
#[test]
fn a_stream_without_ids_has_no_place_to_resume_from() {
    let mut splitter = EventSplitter::new(None);
    let mut position = StreamPosition::new(None);
    splitter.push(b": wait\n\n");
    pass_on(&mut splitter, &mut position);
    assert!(position.resume_point(false).is_some());
    splitter.push(b"data: a\n\n");
    pass_on(&mut splitter, &mut position);
    assert_eq!(position.resume_point(false), None);
    splitter.push(b": wait\n\n");
    pass_on(&mut splitter, &mut position);
    assert_eq!(position.resume_point(false), None);
}

/// Guards against resuming a stream from a first id that the next one contradicts: events
/// between them would be lost or repeated.
#[test]
fn a_first_id_that_the_next_one_contradicts_is_no_position() {
    let (first, next) = (b"id: 9\ndata: a\n\n", b"id: 2\ndata: b\n\n");
    // In one read, nothing is passed on.
    let both = [&first[..], next].concat();
    let (passed, last_id, error) = split(None, &both);
    assert_eq!((passed.len(), last_id), (0, None));
    assert_eq!(error, Some(SplitError::OutOfOrder));

    let mut splitter = EventSplitter::new(None);
    let mut position = StreamPosition::new(None);
    splitter.push(first);
    assert_eq!(pass_on(&mut splitter, &mut position).1, None);
    splitter.push(next);
    let (_, error) = pass_on(&mut splitter, &mut position);
    assert_eq!(error, Some(SplitError::OutOfOrder));
    assert_eq!(position.resume_point(true), None);
    // A connection that breaks contradicts nothing.
    assert_eq!(position.resume_point(false).unwrap().last_id, Some(9));
}

/// Guards against giving up streams whose position several ids confirm.
#[test]
fn a_position_that_ids_confirm_stands_against_a_wrong_one() {
    for start in [None, Some(0)] {
        let mut splitter = EventSplitter::new(start);
        let mut position = StreamPosition::new(start);
        splitter.push(b"id: 1\ndata: a\n\n");
        pass_on(&mut splitter, &mut position);
        splitter.push(b"id: 2\ndata: b\n\nid: 12\ndata: c\n\n");
        let (_, error) = pass_on(&mut splitter, &mut position);
        assert_eq!(error, Some(SplitError::OutOfOrder));
        assert_eq!(position.resume_point(true).unwrap().last_id, Some(2));
    }
}
