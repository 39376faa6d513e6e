//! Tests that streams are passed on in complete events and in order, however the bytes
//! are cut. Otherwise a resumed stream would repeat or lose events.

use quickcheck::quickcheck;
use yuccalatch::direct::events::{
    EventSplitter,
    SplitError, //
};

fn stream(count: u64) -> Vec<u8> {
    (0..count)
        .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 7)).into_bytes())
        .collect()
}

quickcheck! {
    fn cuts_do_not_change_the_events(cuts: Vec<u8>) -> bool {
        let whole = stream(20);
        let mut splitter = EventSplitter::new(None);
        let mut passed = Vec::new();
        let mut rest = whole.as_slice();
        let mut cuts = cuts.into_iter();
        while !rest.is_empty() {
            let length = usize::from(cuts.next().unwrap_or(u8::MAX)).clamp(1, rest.len());
            let (part, after) = rest.split_at(length);
            rest = after;
            if let Some(batch) = splitter.push(part).unwrap() {
                passed.extend_from_slice(&batch.data);
            }
        }
        passed == whole && splitter.last_id() == Some(19) && !splitter.has_partial_event()
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::new(None);
    let batch = splitter.push(b"id: 4\ndata: a\n\nid: 5\ndata").unwrap();
    assert_eq!(&batch.unwrap().data[..], b"id: 4\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(4));
    assert!(splitter.has_partial_event());
}

#[test]
fn a_missing_or_repeated_event_is_an_error() {
    for wrong in [3, 5, 4] {
        let mut splitter = EventSplitter::new(Some(4));
        let event = format!("id: {wrong}\ndata: a\n\n");
        let result = splitter.push(event.as_bytes());
        assert_eq!(result.is_err(), wrong != 5, "event {wrong}");
    }
    let mut splitter = EventSplitter::new(None);
    let result = splitter.push(b"id: 1\ndata: a\n\nid: 3\ndata: b\n\n");
    assert_eq!(result, Err(SplitError::OutOfOrder));
}
