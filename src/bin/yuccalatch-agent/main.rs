//! The agent program.

mod app;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run(std::env::args_os().skip(1))
}
