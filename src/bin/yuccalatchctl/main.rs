//! Checks and submits configuration tickets and shows the state of the fleet.

mod app;

use std::{
    fs,
    io::{
        self,
        Read,
        Write, //
    },
    net::SocketAddr,
    path::Path,
    process::ExitCode, //
};

use app::{
    Command,
    Config,
    ExplainOptions, //
};
use ntex::rt::{
    DefaultRuntime,
    System, //
};
use serde::Serialize;
use serde_json::json;
use yuccalatch::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    error::{
        ErrorKind,
        Report, //
    },
    operator::{
        command::{
            self,
            CommandError, //
        },
        remote,
        status::ExplainRequest,
        table, //
    },
    process::platform::Platform, //
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;

/// A failed command.
struct Failure {
    code: u8,
    kind: ErrorKind,
    message: String,
}

impl Failure {
    fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let code = match kind {
            ErrorKind::UsageInvalid => EXIT_USAGE,
            ErrorKind::PlatformUnavailable | ErrorKind::PeerUnavailable => EXIT_UNREACHABLE,
            _ => EXIT_FAILED,
        };
        Self {
            code,
            kind,
            message: message.into(),
        }
    }
}

impl From<CommandError> for Failure {
    fn from(error: CommandError) -> Self {
        Self::new(error.kind(), error.to_string())
    }
}

impl From<Report> for Failure {
    fn from(report: Report) -> Self {
        let frames: Vec<_> = report
            .frames()
            .filter_map(|frame| {
                let attached = frame.downcast_ref::<&str>().map(ToString::to_string);
                attached.or_else(|| frame.downcast_ref::<String>().cloned())
            })
            .collect();
        let kind = *report.current_context();
        let message = if frames.is_empty() {
            kind.to_string()
        } else {
            frames.join(": ")
        };
        Self::new(kind, message)
    }
}

/// What a command prints.
struct Output {
    text: String,
    json: serde_json::Value,
}

impl Output {
    fn new(text: impl Into<String>, json: impl Serialize) -> Self {
        Self {
            text: text.into(),
            // Serialising these types cannot fail: they have no maps with keys
            // that are not text.
            json: serde_json::to_value(json).unwrap_or_default(),
        }
    }
}

fn main() -> ExitCode {
    let config = match app::parse(lexopt::Parser::from_env()) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("yuccalatchctl: {error}\nTry `yuccalatchctl --help`.");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let json = config.json;
    let result = System::new("yuccalatchctl", DefaultRuntime).block_on(run(config));
    let printed = match result {
        Ok(output) if json => print(&format!("{:#}\n", output.json)),
        Ok(output) => print(&output.text),
        Err(failure) => return report(&failure, json),
    };
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

fn print(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}

fn report(failure: &Failure, json: bool) -> ExitCode {
    if json {
        let error = json!({"error": {"kind": failure.kind, "message": failure.message}});
        eprintln!("{error:#}");
    } else {
        eprintln!("yuccalatchctl: {}", failure.message);
    }
    ExitCode::from(failure.code)
}

async fn run(config: Config) -> Result<Output, Failure> {
    let timeout_ms = config.timeout_ms;
    match &config.command {
        Command::Help => Ok(Output::new(app::HELP, app::HELP)),
        Command::Version => {
            let version = env!("CARGO_PKG_VERSION");
            let text = format!("yuccalatchctl {version}\n");
            Ok(Output::new(text, json!({"version": version})))
        }
        Command::KeyDigest => {
            let digest = command::read_key_digest(io::stdin().lock())?;
            Ok(Output::new(
                format!("{digest}\n"),
                json!({"digest": digest}),
            ))
        }
        Command::Status => {
            let status = remote::status(entry(&config)?, timeout_ms).await?;
            Ok(Output::new(table::fleet(&status), &status))
        }
        Command::Explain(options) => {
            let request = explain_request(options)?;
            let reply = remote::explain(entry(&config)?, &request, timeout_ms).await?;
            Ok(Output::new(table::explanation(&reply), &reply))
        }
        Command::TicketCheck(_)
        | Command::TicketSubmit(_)
        | Command::TicketShow(_)
        | Command::TicketList => run_ticket(&config).await,
    }
}

async fn run_ticket(config: &Config) -> Result<Output, Failure> {
    let clock = Clock::start();
    let deadline_us = clock.now_us() + config.timeout_ms * US_PER_MS;
    let platform = Platform::new(platform(config)?, clock)
        .await
        .map_err(CommandError::from)?;
    match &config.command {
        Command::TicketCheck(path) => {
            let file = command::parse_ticket(&path.display().to_string(), &read(path)?)?;
            let revision = command::check_ticket(&platform, &file, deadline_us).await?;
            let text = format!("the ticket fits revision {revision}\n");
            Ok(Output::new(text, json!({"revision": revision})))
        }
        Command::TicketSubmit(path) => {
            let file = command::parse_ticket(&path.display().to_string(), &read(path)?)?;
            let accepted = command::submit_ticket(&platform, &file, deadline_us).await?;
            let ticket = file.ticket().ticket;
            let (revision, is_repeat) = (accepted.revision, accepted.is_repeat);
            let when = if is_repeat { " before" } else { "" };
            let text = format!("ticket {ticket} was accepted{when} as revision {revision}\n");
            let json = json!({"ticket": ticket, "revision": revision, "is_repeat": is_repeat});
            Ok(Output::new(text, json))
        }
        Command::TicketShow(number) => {
            let (filed, revision) = command::show_ticket(&platform, *number, deadline_us).await?;
            let json = json!({"ticket": filed.ticket, "revision": revision});
            Ok(Output::new(format!("{json:#}\n"), json))
        }
        _ => {
            let tickets = command::all_tickets(&platform, deadline_us)
                .await
                .map_err(CommandError::from)?;
            let rows: Vec<_> = tickets
                .iter()
                .map(|(filed, revision)| json!({"ticket": filed.ticket, "revision": revision}))
                .collect();
            Ok(Output::new(table::tickets(&tickets), rows))
        }
    }
}

fn platform(config: &Config) -> Result<SocketAddr, Failure> {
    let missing = || Failure::new(ErrorKind::UsageInvalid, "--platform is missing");
    config.platform.ok_or_else(missing)
}

fn entry(config: &Config) -> Result<SocketAddr, Failure> {
    let missing = || Failure::new(ErrorKind::UsageInvalid, "--entry is missing");
    config.entry.ok_or_else(missing)
}

fn explain_request(options: &ExplainOptions) -> Result<ExplainRequest, Failure> {
    let prompt = match &options.prompt_file {
        Some(path) => read(path)?,
        None => String::new(),
    };
    let or = |value: &Option<String>, default: &str| value.clone().unwrap_or(default.to_owned());
    Ok(ExplainRequest {
        method: or(&options.method, "POST"),
        path: or(&options.path, "/v1/chat/completions"),
        model: options.model.as_deref().map(Into::into),
        organisation: options.organisation.as_deref().map(Into::into),
        prompt,
    })
}

fn read(path: &Path) -> Result<String, Failure> {
    let result = if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    result.map_err(|error| Failure::new(ErrorKind::Io, format!("{}: {error}", path.display())))
}
