//! Command line of `yuccalatchctl`.

use std::{
    ffi::OsString,
    net::SocketAddr,
    path::PathBuf, //
};

use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};

/// Text of `--help`.
pub(crate) const HELP: &str = "\
Checks and submits configuration tickets and shows the state of the fleet.

Usage: yuccalatchctl [OPTIONS] COMMAND

Commands:
  ticket check FILE    Check a ticket against the present configuration
  ticket submit FILE   Submit a ticket; repeating a submission is harmless
  ticket show N        Show a ticket and the revision that accepted it
  ticket list          List all tickets
  status               Show configuration, entries, targets and moves
  explain              Show how a request would be treated
  key digest           Read a key from standard input and print its digest

Options:
  --platform ADDRESS   Object API, for the ticket commands
  --entry ADDRESS      Control listener of an entry, for status and explain
  --timeout-ms N       Longest time for a command (default 10000)
  --json               Print JSON instead of tables
  --method METHOD      Method of the request to explain (default POST)
  --path PATH          Path of the request (default /v1/chat/completions)
  --model MODEL        Model of the request
  --organisation NAME  Organisation that sends the request
  --prompt-file FILE   File with the prompt of the request
  --help               Print this text
  --version            Print the version

FILE may be - for standard input.

Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  object API or entry not reachable
";

const DEFAULT_TIMEOUT_MS: u64 = 10_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A command with its operands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the ticket in a file.
    TicketCheck(PathBuf),
    /// Submit the ticket in a file.
    TicketSubmit(PathBuf),
    /// Show the ticket with a number.
    TicketShow(u64),
    /// List all tickets.
    TicketList,
    /// Show the fleet.
    Status,
    /// Explain a request.
    Explain(ExplainOptions),
    /// Print the digest of a key.
    KeyDigest,
}

impl Command {
    const fn needs_platform(&self) -> bool {
        matches!(
            self,
            Self::TicketCheck(_) | Self::TicketSubmit(_) | Self::TicketShow(_) | Self::TicketList
        )
    }

    const fn needs_entry(&self) -> bool {
        matches!(self, Self::Status | Self::Explain(_))
    }
}

/// Request to explain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ExplainOptions {
    pub(crate) method: Option<String>,
    pub(crate) path: Option<String>,
    pub(crate) model: Option<String>,
    pub(crate) organisation: Option<String>,
    pub(crate) prompt_file: Option<PathBuf>,
}

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Config {
    pub(crate) command: Command,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) entry: Option<SocketAddr>,
    pub(crate) timeout_ms: u64,
    pub(crate) json: bool,
}

#[derive(Debug, Default)]
struct Options {
    platform: Option<SocketAddr>,
    entry: Option<SocketAddr>,
    timeout_ms: Option<u64>,
    json: bool,
    explain: ExplainOptions,
    words: Vec<OsString>,
    shortcut: Option<Command>,
}

/// Parses the arguments after the program name.
pub(crate) fn parse(parser: Parser) -> Result<Config, lexopt::Error> {
    let options = collect(parser)?;
    let config = Config {
        command: match options.shortcut {
            Some(command) => command,
            None => command(&options.words, &options.explain)?,
        },
        platform: options.platform,
        entry: options.entry,
        timeout_ms: options.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS),
        json: options.json,
    };
    if config.command.needs_platform() && config.platform.is_none() {
        return Err("this command needs --platform ADDRESS".into());
    }
    if config.command.needs_entry() && config.entry.is_none() {
        return Err("this command needs --entry ADDRESS".into());
    }
    if config.timeout_ms == 0 || config.timeout_ms > MAX_TIMEOUT_MS {
        return Err(format!("--timeout-ms must be between 1 and {MAX_TIMEOUT_MS}").into());
    }
    if options.explain != ExplainOptions::default()
        && !matches!(
            config.command,
            Command::Explain(_) | Command::Help | Command::Version
        )
    {
        return Err("options of a request belong to explain only".into());
    }
    Ok(config)
}

fn collect(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Arg::Long("entry") => options.entry = Some(parser.value()?.parse()?),
            Arg::Long("timeout-ms") => options.timeout_ms = Some(parser.value()?.parse()?),
            Arg::Long("json") => options.json = true,
            Arg::Long("method") => options.explain.method = Some(parser.value()?.string()?),
            Arg::Long("path") => options.explain.path = Some(parser.value()?.string()?),
            Arg::Long("model") => options.explain.model = Some(parser.value()?.string()?),
            Arg::Long("organisation") => {
                options.explain.organisation = Some(parser.value()?.string()?);
            }
            Arg::Long("prompt-file") => {
                options.explain.prompt_file = Some(parser.value()?.into());
            }
            Arg::Short('h') | Arg::Long("help") => options.shortcut = Some(Command::Help),
            Arg::Short('V') | Arg::Long("version") => options.shortcut = Some(Command::Version),
            Arg::Value(word) => options.words.push(word),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn command(words: &[OsString], explain: &ExplainOptions) -> Result<Command, lexopt::Error> {
    let texts: Vec<_> = words.iter().map(|word| word.to_string_lossy()).collect();
    let texts: Vec<&str> = texts.iter().map(AsRef::as_ref).collect();
    match texts.as_slice() {
        ["ticket", "check", _] => Ok(Command::TicketCheck(words[2].clone().into())),
        ["ticket", "submit", _] => Ok(Command::TicketSubmit(words[2].clone().into())),
        ["ticket", "show", number] => number
            .parse()
            .map(Command::TicketShow)
            .map_err(|_| format!("`{number}` is not a ticket number").into()),
        ["ticket", "list"] => Ok(Command::TicketList),
        ["status"] => Ok(Command::Status),
        ["explain"] => Ok(Command::Explain(explain.clone())),
        ["key", "digest"] => Ok(Command::KeyDigest),
        [] => Err("a command is missing".into()),
        _ => Err(format!("unknown command `{}`", texts.join(" ")).into()),
    }
}
