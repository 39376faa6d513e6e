//! Compares policies in virtual time.

mod app;
mod traffic;

use std::{
    alloc::System,
    process::ExitCode, //
};

use cap::Cap;

/// Counts allocated memory for the slopes.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the bytes that are allocated now.
pub(crate) fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}

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
