//! Log output of a process: JSON lines or a terminal format on standard error.

use serde::{
    Deserialize,
    Serialize, //
};
use slog::{
    Drain,
    Level,
    Logger,
    o, //
};

/// Records kept while standard error is slow; more are dropped and counted.
const CHANNEL_RECORDS: usize = 4_096;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Human-readable lines.
    Terminal,
}

/// Lowest level that is written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// Failures and unusual conditions.
    Warning,
    /// The usual operation.
    #[default]
    Info,
    /// Details of decisions.
    Debug,
}

impl LogLevel {
    const fn level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }
}

/// Makes the root logger of a process.
///
/// Every record carries the program and the name of the process.
///
/// ```
/// use yuccalatch::process::logging::{LogFormat, LogLevel, logger};
///
/// let log = logger("example", "a", LogFormat::Terminal, LogLevel::Error);
/// slog::debug!(log, "not shown");
/// ```
pub fn logger(program: &'static str, name: &str, format: LogFormat, level: LogLevel) -> Logger {
    let fields = o!("program" => program, "name" => name.to_owned());
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            root(drain, level, fields)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(
                slog_term::FullFormat::new(decorator).build().fuse(),
                level,
                fields,
            )
        }
    }
}

fn root<D>(
    drain: D,
    level: LogLevel,
    fields: slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static>,
) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build();
    let drain = drain.filter_level(level.level()).fuse();
    Logger::root(drain, fields)
}
