//! Runs the agent.

use std::{
    ffi::OsString,
    path::PathBuf,
    process::ExitCode, //
};

use yuccalatch::{
    daemon,
    error::Result,
    process::{
        agent,
        logging::logger, //
    },
    settings::AgentSettings, //
};

const PROGRAM: &str = "yuccalatch-agent";
const ABOUT: &str = "Stands beside one target and is the only way to it.";

/// Runs the program and returns its exit code.
pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    daemon::run(PROGRAM, ABOUT, args, serve)
}

fn serve(settings: AgentSettings, _path: PathBuf) -> Result<()> {
    let log = logger(PROGRAM, &settings.name, settings.log);
    agent::run(settings, &log)
}
