//! Environment variables in the text of a settings file.

/// Replaces each `${NAME}` by the value of a variable and each `${NAME:-default}` by the
/// value or, when that is missing or empty, by the default. A default contains no brace.
///
/// ```
/// use yuccalatch::settings::expand_variables;
///
/// let value = |name: &str| (name == "PORT").then(|| "7400".to_owned());
/// let text = r#"{"port": ${PORT:-80}, "zone": ${ZONE:-"a"}}"#;
/// assert_eq!(expand_variables(text, value), r#"{"port": 7400, "zone": "a"}"#);
/// ```
pub fn expand_variables(text: &str, value: impl Fn(&str) -> Option<String>) -> String {
    let mut expanded = String::with_capacity(text.len());
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((reference, following)) = after.split_once('}') else {
            break;
        };
        let (name, default) = reference.split_once(":-").unwrap_or((reference, ""));
        expanded.push_str(before);
        match value(name).filter(|value| !value.is_empty()) {
            Some(value) => expanded.push_str(&value),
            None => expanded.push_str(default),
        }
        rest = following;
    }
    expanded + rest
}
