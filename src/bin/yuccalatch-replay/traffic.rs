//! Commands that send requests to running processes.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode, //
};

use lexopt::prelude::*;
use yuccalatch::{
    error::{
        ErrorKind,
        Result as ReportResult, //
    },
    names::Name,
    replay::{
        outcome::Outcome,
        player::{
            LoadPlan,
            PlayPlan,
            play,
            run_load,
            summarise, //
        },
        trace::Trace, //
    },
};

use crate::app::{
    Config,
    EXIT_USAGE, //
};

/// Parsed arguments of `play` and `load`.
#[derive(Clone, Debug)]
pub(crate) enum TrafficConfig {
    Play {
        trace: PathBuf,
        plan: PlayPlan,
        is_json: bool,
    },
    Load {
        plan: LoadPlan,
        is_json: bool,
    },
}

/// Parses the arguments of `play`.
pub(crate) fn parse_play(mut parser: lexopt::Parser) -> Result<Config, lexopt::Error> {
    let mut plan = PlayPlan {
        entries: Vec::new(),
        speed_permille: 1_000,
    };
    let mut trace = None;
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("entry") => plan.entries.push(parser.value()?.parse()?),
            Long("speed-permille") => plan.speed_permille = parser.value()?.parse()?,
            Long("json") => is_json = true,
            Short('h') | Long("help") => return Ok(Config::Help),
            Value(path) if trace.is_none() => trace = Some(PathBuf::from(path)),
            other => return Err(other.unexpected()),
        }
    }
    if plan.entries.is_empty() {
        return Err("--entry is missing".into());
    }
    Ok(Config::Traffic(TrafficConfig::Play {
        trace: trace.ok_or("TRACE is missing")?,
        plan,
        is_json,
    }))
}

/// Parses the arguments of `load`.
pub(crate) fn parse_load(mut parser: lexopt::Parser) -> Result<Config, lexopt::Error> {
    let mut address: Option<SocketAddr> = None;
    let mut key: Option<Name> = None;
    let mut model: Name = "oak".into();
    let (mut streams, mut requests) = (1, 10);
    let (mut prompt_tokens, mut output_tokens) = (2_000, 50);
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("entry") => address = Some(parser.value()?.parse()?),
            Long("key") => key = Some(parser.value()?.string()?.into()),
            Long("model") => model = parser.value()?.string()?.into(),
            Long("streams") => streams = parser.value()?.parse()?,
            Long("requests") => requests = parser.value()?.parse()?,
            Long("prompt-tokens") => prompt_tokens = parser.value()?.parse()?,
            Long("output-tokens") => output_tokens = parser.value()?.parse()?,
            Long("json") => is_json = true,
            Short('h') | Long("help") => return Ok(Config::Help),
            other => return Err(other.unexpected()),
        }
    }
    let plan = LoadPlan {
        address: address.ok_or("--entry is missing")?,
        key,
        model,
        streams,
        requests,
        prompt_tokens,
        output_tokens,
    };
    Ok(Config::Traffic(TrafficConfig::Load { plan, is_json }))
}

/// Runs the command.
pub(crate) fn run(config: &TrafficConfig) -> ExitCode {
    let result = match config {
        TrafficConfig::Play {
            trace,
            plan,
            is_json,
        } => play_file(trace, plan).map(|outcome| show(&outcome, *is_json)),
        TrafficConfig::Load { plan, is_json } => load(plan, *is_json),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("yuccalatch-replay: {report:?}");
            match report.current_context() {
                ErrorKind::UsageInvalid => ExitCode::from(EXIT_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn play_file(path: &std::path::Path, plan: &PlayPlan) -> ReportResult<Outcome> {
    play(&Trace::read(path)?, plan)
}

fn load(plan: &LoadPlan, is_json: bool) -> ReportResult<bool> {
    let (outcome, elapsed_us) = run_load(plan)?;
    let is_met = show(&outcome, is_json);
    if !is_json {
        let all = plan.streams as u64 * plan.requests as u64 * plan.output_tokens;
        let tokens_per_s = all * 1_000_000 / elapsed_us.max(1);
        println!("{tokens_per_s} tokens/s over {} ms", elapsed_us / 1_000);
    }
    Ok(is_met)
}

/// Prints a summary and returns whether all stated outcomes occurred.
fn show(outcome: &Outcome, is_json: bool) -> bool {
    let summary = summarise(outcome);
    if is_json {
        // Numbers and strings always serialise.
        println!("{}", serde_json::to_string(&summary).unwrap_or_default());
    } else {
        print!("{}", summary.to_table());
    }
    summary.violations.is_empty()
}
