//! Command line of `yuccalatch-replay`.

use std::process::ExitCode;

use crate::traffic::{
    self,
    TrafficConfig, //
};
use lexopt::prelude::*;
use yuccalatch::replay::{
    evaluate::{
        Size,
        fairness,
        limits,
        moves,
        placement, //
    },
    report::{
        Measurement,
        markdown, //
    },
    slopes,
    transport, //
};

/// Help text.
pub(crate) const USAGE: &str = "\
Usage: yuccalatch-replay evaluate [OPTIONS] [EVALUATION...]
       yuccalatch-replay play [OPTIONS] TRACE
       yuccalatch-replay load [OPTIONS]
       yuccalatch-replay slopes
       yuccalatch-replay transport

evaluate compares policies in virtual time and prints a table. Without a name,
all evaluations run: placement, fairness, limits, moves. play sends the requests of a trace to
running entries and checks the outcomes that it states. load sends completions
from a fixed number of streams. slopes measures how state, messages and processor
time grow. transport compares HTTP bodies with RPC subscriptions as carriers of
streams on loopback.

Options of play:
      --entry ADDRESS    entry to send to; may be repeated, requests alternate
      --speed-permille N speed of the trace (default 1000)
      --json             print JSON instead of a table

Options of load:
      --entry ADDRESS    entry or engine to send to
      --key KEY          key to present
      --model NAME       model to ask for (default oak)
      --streams N        streams at the same time (default 1)
      --requests N       requests of each stream (default 10)
      --prompt-tokens N  length of the prompt (default 2000)
      --output-tokens N  tokens to generate (default 50)
      --json             print JSON instead of a table

Options of evaluate:
      --seed N           seed of the generated traces (default 1)
      --size small|full  number of requests (default full)
      --json             print JSON instead of a table
  -h, --help             print this text
  -V, --version          print the version

Exit status: 0 when all targets and stated outcomes are met, 1 when one is
missed, 2 for a wrong command line.";

/// Exit status for a wrong command line.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Chunks of a stream in `transport`: 10 s at 50 chunks/s.
const TRANSPORT_CHUNKS: usize = 500;

/// One comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evaluation {
    Placement,
    Fairness,
    Limits,
    Moves,
}

const EVALUATIONS: [Evaluation; 4] = [
    Evaluation::Placement,
    Evaluation::Fairness,
    Evaluation::Limits,
    Evaluation::Moves,
];

impl Evaluation {
    fn name(self) -> &'static str {
        match self {
            Self::Placement => "placement",
            Self::Fairness => "fairness",
            Self::Limits => "limits",
            Self::Moves => "moves",
        }
    }

    fn run(self, seed: u64, size: Size) -> Vec<Measurement> {
        match self {
            Self::Placement => placement::run(seed, size),
            Self::Fairness => fairness::run(seed, size),
            Self::Limits => limits::run(seed, size),
            Self::Moves => moves::run(seed, size),
        }
    }
}

/// Parsed arguments of `evaluate`.
#[derive(Clone, Debug)]
pub(crate) struct EvaluateConfig {
    seed: u64,
    size: Size,
    is_json: bool,
    evaluations: Vec<Evaluation>,
}

/// Parsed arguments.
#[derive(Clone, Debug)]
pub(crate) enum Config {
    Evaluate(EvaluateConfig),
    Traffic(TrafficConfig),
    Slopes,
    Transport,
    Help,
    Version,
}

impl Config {
    /// Parses the command line.
    pub(crate) fn from_args(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        match parser.next()? {
            Some(Short('h') | Long("help")) => Ok(Self::Help),
            Some(Short('V') | Long("version")) => Ok(Self::Version),
            Some(Value(command)) if command == "evaluate" => parse_evaluate(parser),
            Some(Value(command)) if command == "slopes" => alone(Self::Slopes, parser),
            Some(Value(command)) if command == "transport" => alone(Self::Transport, parser),
            Some(Value(command)) if command == "play" => traffic::parse_play(parser),
            Some(Value(command)) if command == "load" => traffic::parse_load(parser),
            Some(Value(command)) => {
                Err(format!("unknown command {:?}", command.to_string_lossy()).into())
            }
            Some(other) => Err(other.unexpected()),
            None => Err("a command is missing".into()),
        }
    }
}

/// Accepts a command without arguments.
fn alone(config: Config, mut parser: lexopt::Parser) -> Result<Config, lexopt::Error> {
    match parser.next()? {
        None => Ok(config),
        Some(other) => Err(other.unexpected()),
    }
}

fn parse_evaluate(mut parser: lexopt::Parser) -> Result<Config, lexopt::Error> {
    let mut config = EvaluateConfig {
        seed: 1,
        size: Size::Full,
        is_json: false,
        evaluations: Vec::new(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => config.seed = parser.value()?.parse()?,
            Long("size") => config.size = parser.value()?.parse_with(parse_size)?,
            Long("json") => config.is_json = true,
            Short('h') | Long("help") => return Ok(Config::Help),
            Value(name) => config.evaluations.push(name.parse_with(parse_evaluation)?),
            other => return Err(other.unexpected()),
        }
    }
    if config.evaluations.is_empty() {
        config.evaluations = EVALUATIONS.to_vec();
    }
    Ok(Config::Evaluate(config))
}

fn parse_size(text: &str) -> Result<Size, String> {
    match text {
        "small" => Ok(Size::Small),
        "full" => Ok(Size::Full),
        _ => Err("expected small or full".to_owned()),
    }
}

fn parse_evaluation(text: &str) -> Result<Evaluation, String> {
    let found = EVALUATIONS.into_iter().find(|known| known.name() == text);
    found.ok_or_else(|| {
        let names = EVALUATIONS.map(Evaluation::name).join(", ");
        format!("unknown evaluation, expected one of: {names}")
    })
}

/// Runs the command.
pub(crate) fn run(config: &Config) -> ExitCode {
    match config {
        Config::Help => println!("{USAGE}"),
        Config::Version => println!("yuccalatch-replay {}", env!("CARGO_PKG_VERSION")),
        Config::Evaluate(config) => return evaluate(config),
        Config::Traffic(config) => return traffic::run(config),
        Config::Slopes => print!(
            "{}",
            slopes::markdown(&slopes::measure(crate::allocated_bytes))
        ),
        Config::Transport => return compare_transports(),
    }
    ExitCode::SUCCESS
}

fn compare_transports() -> ExitCode {
    match transport::compare(TRANSPORT_CHUNKS) {
        Ok(figures) => print!("{}", markdown(&figures)),
        Err(report) => {
            eprintln!("yuccalatch-replay: {report:?}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn evaluate(config: &EvaluateConfig) -> ExitCode {
    let measurements: Vec<Measurement> = config
        .evaluations
        .iter()
        .flat_map(|evaluation| evaluation.run(config.seed, config.size))
        .collect();
    if config.is_json {
        match serde_json::to_string_pretty(&measurements) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("yuccalatch-replay: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{}", markdown(&measurements));
    }
    if measurements.iter().all(Measurement::is_met) {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
