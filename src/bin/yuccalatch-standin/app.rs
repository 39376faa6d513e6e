//! Runs a stand-in.

use std::{
    ffi::OsString,
    path::PathBuf,
    process::ExitCode, //
};

use slog::{
    Logger,
    info, //
};
use yuccalatch::{
    daemon,
    error::Result,
    event::Event,
    process::{
        logging::logger,
        stop, //
    },
    settings::{
        StandinKind,
        StandinSettings, //
    },
    standin::{
        engine,
        kv_store,
        plain,
        platform, //
    },
};

const PROGRAM: &str = "yuccalatch-standin";
const ABOUT: &str = "Stands in for the object API, a model engine, a plain service or a KV store.";

/// Runs the program and returns its exit code.
pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    daemon::run(PROGRAM, ABOUT, args, serve)
}

fn serve(settings: StandinSettings, _path: PathBuf) -> Result<()> {
    let log = logger(PROGRAM, &settings.address.to_string(), settings.log);
    let system = ntex::rt::System::new(PROGRAM, ntex::rt::DefaultRuntime);
    system.block_on(serve_until_stopped(settings, log))
}

async fn serve_until_stopped(settings: StandinSettings, log: Logger) -> Result<()> {
    let listener = stop::bind(settings.address)?;
    info!(log, "stand-in listens";
        "event" => Event::Started, "address" => %stop::local(&listener)?);
    let server = match settings.kind {
        StandinKind::Platform => platform::serve(listener)?,
        StandinKind::Engine => engine::serve(settings.engine, listener)?,
        StandinKind::Plain => plain::serve(settings.work_ms, listener)?,
        StandinKind::KvStore => kv_store::serve(settings.kv_store_blocks, listener)?,
    };
    stop::requested().await?;
    server.stop(false).await;
    info!(log, "stand-in has stopped"; "event" => Event::Stopped);
    Ok(())
}
