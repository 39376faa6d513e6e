//! Guards against events and error kinds that differ from the pages that list them
//! for operators.

use yuccalatch::{
    error::{
        ErrorKind,
        Execution, //
    },
    event::Event, //
};

const EVENTS_PAGE: &str = include_str!("../docs/events.md");
const ERRORS_PAGE: &str = include_str!("../docs/errors.md");

/// Returns the given number of leading cells of each table row of a page, without
/// the header.
fn table_rows(page: &str, cells: usize) -> Vec<Vec<String>> {
    page.lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| ---"))
        .skip(1)
        .map(|line| {
            let row = line.trim_matches('|').split('|').take(cells);
            row.map(|cell| cell.trim().to_owned()).collect()
        })
        .collect()
}

#[test]
fn every_event_is_documented() {
    let expected: Vec<Vec<String>> = Event::ALL
        .iter()
        .map(|event| vec![event.to_string(), format!("`{}`", event.name())])
        .collect();
    assert_eq!(table_rows(EVENTS_PAGE, 2), expected);
}

#[test]
fn event_numbers_are_unique() {
    let mut codes: Vec<u16> = Event::ALL.iter().map(|event| event.code()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Event::ALL.len());
}

#[test]
fn every_error_kind_is_documented() {
    let expected: Vec<Vec<String>> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.answer();
            let execution = match answer.execution {
                Execution::NotRun => "not run",
                Execution::Started => "started",
                Execution::Unknown => "unknown",
            };
            let retry = answer.retry_after_s.map(|after_s| after_s.to_string());
            vec![
                format!("`{}`", answer.name),
                answer.status.to_string(),
                execution.to_owned(),
                retry.unwrap_or_else(|| "-".to_owned()),
            ]
        })
        .collect();
    assert_eq!(table_rows(ERRORS_PAGE, 4), expected);
}

#[test]
fn overload_answers_carry_retry_after() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if matches!(answer.status, 429 | 503) {
            assert!(answer.retry_after_s.is_some(), "{kind} lacks Retry-After");
        }
    }
}
