//! Runs the entry.

use std::{
    ffi::OsString,
    path::PathBuf,
    process::ExitCode, //
};

use yuccalatch::{
    daemon,
    error::Result,
    process::{
        entry,
        logging::logger, //
    },
    settings::EntrySettings, //
};

const PROGRAM: &str = "yuccalatch-entry";
const ABOUT: &str = "Accepts requests of callers and routes them to targets.";

/// Runs the program and returns its exit code.
pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    daemon::run(PROGRAM, ABOUT, args, serve)
}

fn serve(settings: EntrySettings, _path: PathBuf) -> Result<()> {
    let log = logger(PROGRAM, &settings.name, settings.log);
    entry::run(settings, &log)
}
