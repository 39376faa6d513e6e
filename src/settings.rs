//! Settings of the programs, in JSON with comments.
//!
//! Times are durations here, because an operator writes them; a process turns
//! them into deadlines when it uses them.

mod agent;
mod direct;
mod entry;
mod live;
mod shared;
mod standin;
mod variables;

pub use agent::{
    AgentSettings,
    QueueSettings, //
};
pub use direct::{
    DirectAgentSettings,
    DirectEntrySettings, //
};
pub use entry::EntrySettings;
pub use live::LiveSettings;
pub use shared::{
    LogFormat,
    LogLevel,
    LogSettings, //
};
pub use standin::{
    EngineSettings,
    StandinKind,
    StandinSettings, //
};
pub use variables::expand_variables;

use std::{
    env,
    fs,
    path::Path, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use serde::de::DeserializeOwned;

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    jsonc::{
        Document,
        PathStep,
        Problem, //
    },
};

/// A value that breaks a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    path: Vec<PathStep<'static>>,
    message: String,
    hint: &'static str,
}

/// Settings of one program.
pub trait Settings: DeserializeOwned {
    /// Commented example with the default of every field that has one.
    const DEFAULT_TEXT: &'static str;

    /// Returns the rules that the values break.
    fn check(&self) -> Vec<Finding>;
}

/// Returns the text that `--print-default-settings` prints.
///
/// ```
/// use yuccalatch::settings::{default_text, parse, EntrySettings};
///
/// let text = default_text::<EntrySettings>();
/// let settings: EntrySettings = parse("entry.json", text).unwrap();
/// assert_eq!(settings.drain_ms, 30_000);
/// ```
pub const fn default_text<T: Settings>() -> &'static str {
    T::DEFAULT_TEXT
}

/// Parses and checks settings.
///
/// # Errors
///
/// Returns a [`Problem`] for the first value that does not fit.
///
/// ```
/// use yuccalatch::settings::{parse, StandinSettings};
///
/// let text = r#"{"kind": "plan", "address": "127.0.0.1:7400"}"#;
/// let report = parse::<StandinSettings>("s.json", text).unwrap_err();
/// let problem = report.current_context();
/// assert_eq!(problem.hint.as_deref(), Some("did you mean `plain`?"));
/// ```
pub fn parse<T: Settings>(file: &str, text: &str) -> std::result::Result<T, Report<Problem>> {
    let document = Document::parse(file, text)?;
    let settings: T = document.deserialize()?;
    match settings.check().first() {
        None => Ok(settings),
        Some(finding) => Err(Report::new(document.problem_at_path(
            &finding.path,
            &finding.message,
            Some(finding.hint),
        ))),
    }
}

/// Reads settings from a file, which may refer to [environment variables](expand_variables).
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the file cannot be read, and
/// [`ErrorKind::SettingsInvalid`] over the [`Problem`] when it is invalid.
pub fn read<T: Settings>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .change_context(ErrorKind::Io)
        .attach_with(|| file.clone())?;
    let text = expand_variables(&text, |name| env::var(name).ok());
    parse(&file, &text).change_context(ErrorKind::SettingsInvalid)
}
