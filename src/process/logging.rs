//! Log output of a process: JSON lines on standard output, or a terminal format
//! on standard error.

use slog::{
    Drain,
    Level,
    Logger,
    o, //
};

use crate::settings::{
    LogFormat,
    LogSettings, //
};

/// Records buffered while the output is slow; more are dropped and counted.
const CHANNEL_RECORDS: usize = 4_096;

/// Makes the root logger of a process.
///
/// Every record carries the program and the name of the process.
///
/// ```
/// use yuccalatch::{process::logging::logger, settings::LogSettings};
///
/// let log = logger("example", "a", LogSettings::default());
/// slog::debug!(log, "not shown");
/// ```
pub fn logger(program: &'static str, name: &str, settings: LogSettings) -> Logger {
    // Otherwise error reports would put colour codes into the log lines.
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let fields = o!("program" => program, "name" => name.to_owned());
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            build_root(drain, settings.level.into(), fields)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            build_root(
                slog_term::FullFormat::new(decorator).build().fuse(),
                settings.level.into(),
                fields,
            )
        }
    }
}

fn build_root<D>(
    drain: D,
    level: Level,
    fields: slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static>,
) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, fields)
}
