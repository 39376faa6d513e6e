//! Command line shared by the long-running programs.

use std::{
    ffi::OsString,
    path::PathBuf,
    process::ExitCode, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    settings::{
        self,
        Settings, //
    },
};

/// Exit code of a run that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// What a daemon was told to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Config {
    /// Run with the settings of a file.
    Run(PathBuf),
    /// Check the settings of a file.
    CheckSettings(PathBuf),
    /// Print commented default settings.
    PrintDefaultSettings,
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

impl Config {
    /// Turns arguments, without the program name, into a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UsageInvalid`] for an unknown or missing argument.
    ///
    /// ```
    /// use yuccalatch::daemon::Config;
    ///
    /// let config = Config::from_args(["--settings", "entry.json"]).unwrap();
    /// assert_eq!(config, Config::Run("entry.json".into()));
    /// ```
    pub fn from_args<I>(args: I) -> Result<Self>
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
    {
        let mut parser = Parser::from_args(args);
        let mut path: Option<PathBuf> = None;
        let mut check = false;
        while let Some(arg) = parser.next().change_context(ErrorKind::UsageInvalid)? {
            match arg {
                Arg::Long("settings") | Arg::Short('s') => {
                    let value = parser.value().change_context(ErrorKind::UsageInvalid)?;
                    path = Some(value.into());
                }
                Arg::Long("check-settings") => check = true,
                Arg::Long("print-default-settings") => return Ok(Self::PrintDefaultSettings),
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Self::Version),
                other => return Err(usage(other.unexpected().to_string())),
            }
        }
        let path = path.ok_or_else(|| usage("--settings FILE is missing".to_owned()))?;
        Ok(if check {
            Self::CheckSettings(path)
        } else {
            Self::Run(path)
        })
    }
}

fn usage(message: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::UsageInvalid).attach(message)
}

/// Runs a daemon from its arguments, without the program name, and returns its
/// exit code. `run` is given the settings and the path of their file.
///
/// ```
/// use yuccalatch::{daemon, settings::EntrySettings};
///
/// let run = |_: EntrySettings, _| Ok(());
/// let code = daemon::run("example", "explains settings", ["--version"], run);
/// assert_eq!(format!("{code:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
/// ```
pub fn run<S, I>(
    program: &str,
    about: &str,
    args: I,
    run: impl FnOnce(S, PathBuf) -> Result<()>,
) -> ExitCode
where
    S: Settings,
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    match Config::from_args(args) {
        Ok(config) => execute(program, about, config, run),
        Err(report) => failed(program, &report),
    }
}

/// Runs a daemon from its configuration and returns its exit code.
///
/// ```
/// use yuccalatch::{daemon::{self, Config}, settings::EntrySettings};
///
/// let run = |_: EntrySettings, _| Ok(());
/// let code = daemon::execute("example", "explains settings", Config::Version, run);
/// assert_eq!(format!("{code:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
/// ```
pub fn execute<S: Settings>(
    program: &str,
    about: &str,
    config: Config,
    run: impl FnOnce(S, PathBuf) -> Result<()>,
) -> ExitCode {
    let done = match config {
        Config::Help => {
            println!("{}", help(program, about));
            Ok(())
        }
        Config::Version => {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Config::PrintDefaultSettings => {
            print!("{}", settings::default_text::<S>());
            Ok(())
        }
        Config::CheckSettings(path) => settings::read::<S>(&path).map(|_| {
            println!("{}: settings are valid", path.display());
        }),
        Config::Run(path) => settings::read::<S>(&path).and_then(|settings| run(settings, path)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => failed(program, &report),
    }
}

/// Prints a failure and returns the exit code.
pub fn failed(program: &str, report: &Report<ErrorKind>) -> ExitCode {
    eprintln!("{program}: {report:?}");
    if *report.current_context() == ErrorKind::UsageInvalid {
        eprintln!("Try '{program} --help'.");
        return ExitCode::from(EXIT_USAGE);
    }
    ExitCode::from(EXIT_FAILED)
}

fn help(program: &str, about: &str) -> String {
    format!(
        "{program} {version}\n{about}\n\n\
         Usage: {program} --settings FILE [--check-settings]\n\n\
         Options:\n  \
         -s, --settings FILE          settings, JSON with comments\n      \
         --check-settings         check the settings and exit\n      \
         --print-default-settings print commented default settings\n  \
         -h, --help                   print this text\n  \
         -V, --version                print the version\n\n\
         Exit codes: 0 stopped as asked, 1 failed, 2 wrong command line.",
        version = env!("CARGO_PKG_VERSION"),
    )
}
