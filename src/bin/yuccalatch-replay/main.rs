//! Compares policies in virtual time.

mod app;
mod traffic;

use std::process::ExitCode;

fn main() -> ExitCode {
    match app::Config::from_args(lexopt::Parser::from_env()) {
        Ok(config) => app::run(&config),
        Err(error) => {
            eprintln!("yuccalatch-replay: {error}");
            eprintln!("{}", app::USAGE);
            ExitCode::from(app::EXIT_USAGE)
        }
    }
}
