//! Hints for errors of the deserialiser.

/// Suffixes of field names that state a unit. A suffix precedes the shorter ones
/// that it ends with.
const UNIT_SUFFIXES: &[&str] = &[
    "_tokens_per_min",
    "_tokens_per_s",
    "_unix_ms",
    "_unix_s",
    "_per_min",
    "_per_s",
    "_milliseconds",
    "_seconds",
    "_minutes",
    "_hours",
    "_tokens",
    "_blocks",
    "_bytes",
    "_mins",
    "_min",
    "_kib",
    "_mib",
    "_kb",
    "_mb",
    "_us",
    "_ms",
    "_ns",
    "_s",
    "_h",
];

/// Largest edit distance between an unknown name and the name suggested for it.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the unknown field or variant that a message names.
pub(super) fn unknown_name(message: &str) -> Option<&str> {
    let rest = message
        .strip_prefix("unknown field `")
        .or_else(|| message.strip_prefix("unknown variant `"))?;
    rest.split('`').next()
}

/// Returns the hint for a message of the deserialiser, if there is one.
pub(super) fn hint_for(message: &str) -> Option<String> {
    if let Some(name) = unknown_name(message) {
        return suggestion(name, &expected_names(message));
    }
    if let Some(rest) = message.strip_prefix("missing field `") {
        let name = rest.split('`').next()?;
        return Some(format!("add `{name}`"));
    }
    let expects_number = ["expected u64", "expected u32", "expected usize"]
        .iter()
        .any(|number| message.ends_with(number));
    if expects_number && message.starts_with("invalid type: string") {
        return Some("write a plain number; the name of the field states its unit".to_owned());
    }
    if expects_number {
        return Some("write a whole number from 0 up".to_owned());
    }
    None
}

/// Returns the valid names that a message lists in backticks.
fn expected_names(message: &str) -> Vec<&str> {
    let Some((_, expected)) = message.split_once("expected ") else {
        return Vec::new();
    };
    expected.split('`').skip(1).step_by(2).collect()
}

/// Suggests an expected name that differs from the unknown one only in its unit, or
/// else the most similar one.
fn suggestion(name: &str, expected: &[&str]) -> Option<String> {
    let other_unit = expected
        .iter()
        .find(|other| **other != name && without_unit(other) == without_unit(name));
    if let Some(other) = other_unit {
        return Some(format!("state the value in the unit of `{other}`"));
    }
    expected
        .iter()
        .map(|other| (edit_distance(name, other), other))
        .min()
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE)
        .map(|(_, other)| format!("did you mean `{other}`?"))
}

fn without_unit(name: &str) -> &str {
    UNIT_SUFFIXES
        .iter()
        .find_map(|unit| name.strip_suffix(unit))
        .unwrap_or(name)
}

/// Returns the Levenshtein distance of two names.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for (row, a) in left.bytes().enumerate() {
        let mut current = vec![row + 1];
        for (column, b) in right.bytes().enumerate() {
            let substituted = previous[column] + usize::from(a != b);
            let inserted_or_deleted = previous[column + 1].min(current[column]) + 1;
            current.push(substituted.min(inserted_or_deleted));
        }
        previous = current;
    }
    previous.last().copied().unwrap_or(0)
}
