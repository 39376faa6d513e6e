//! Turns arguments into a configuration and runs the entry.

use std::{
    ffi::OsString,
    process::ExitCode, //
};

use yuccalatch::{
    daemon::{
        self,
        Config, //
    },
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
    match Config::from_args(args) {
        Ok(config) => daemon::execute(PROGRAM, ABOUT, config, serve),
        Err(report) => daemon::failed(PROGRAM, &report),
    }
}

fn serve(settings: EntrySettings) -> Result<()> {
    let log = logger(PROGRAM, &settings.name, settings.log);
    entry::run(settings, &log)
}
