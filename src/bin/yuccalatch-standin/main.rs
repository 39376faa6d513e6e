//! Stand-ins of the served systems, for tests and the quick start.

mod app;

use std::process::ExitCode;

fn main() -> ExitCode {
    app::run(std::env::args_os().skip(1))
}
