//! Turns arguments into a configuration and runs the agent.

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
        agent,
        logging::logger, //
    },
    settings::AgentSettings, //
};

const PROGRAM: &str = "yuccalatch-agent";
const ABOUT: &str = "Stands beside one target and is the only way to it.";

/// Runs the program and returns its exit code.
pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    match Config::from_args(args) {
        Ok(config) => daemon::execute(PROGRAM, ABOUT, config, serve),
        Err(report) => daemon::failed(PROGRAM, &report),
    }
}

fn serve(settings: AgentSettings) -> Result<()> {
    let log = logger(PROGRAM, &settings.name, settings.log);
    agent::run(settings, &log)
}
