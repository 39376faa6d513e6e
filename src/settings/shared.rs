//! Parts that several programs share, and checks of single values.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};
use serde_with::{
    DeserializeAs,
    SerializeAs, //
};

use super::Finding;
use crate::{
    clock::US_PER_MS,
    jsonc::PathStep,
    names::Name,
    process::at_most_once::idempotency::DEFAULT_IDEMPOTENCY_WINDOW_US, //
};

/// A drain longer than an hour points to a wrong unit.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Whole number that may be written with a fraction, which is dropped. Bounds that a
/// platform divides among instances have fractions.
pub(super) struct Floor;

impl<T: Copy + Into<u64>> SerializeAs<T> for Floor {
    fn serialize_as<S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64((*value).into())
    }
}

impl<'de, T: TryFrom<u64>> DeserializeAs<'de, T> for Floor {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
        let value = f64::deserialize(deserializer)?;
        let whole = (0.0..u64::MAX as f64)
            .contains(&value)
            .then_some(value as u64);
        let whole = whole.and_then(|whole| T::try_from(whole).ok());
        whole.ok_or_else(|| {
            D::Error::custom(format!(
                "{value} does not fit (hint: write a number in that range)"
            ))
        })
    }
}

/// Milliseconds that are written as seconds, with or without a fraction. Parts of a
/// millisecond count as a whole one.
pub(super) struct Seconds;

impl SerializeAs<u64> for Seconds {
    fn serialize_as<S: Serializer>(value_ms: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(*value_ms as f64 / 1e3)
    }
}

impl<'de> DeserializeAs<'de, u64> for Seconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let value_s = f64::deserialize(deserializer)?;
        if (0.0..=MAX_DURATION_S as f64).contains(&value_s) {
            return Ok((value_s * 1e3).ceil() as u64);
        }
        Err(D::Error::custom(format!(
            "{value_s} is not a number of seconds (hint: write a number from 0 to {MAX_DURATION_S})"
        )))
    }
}

/// Thousandths of a factor that is written with a fraction.
pub(super) struct Thousandths;

impl SerializeAs<u64> for Thousandths {
    fn serialize_as<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(*value as f64 / 1e3)
    }
}

impl<'de> DeserializeAs<'de, u64> for Thousandths {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let value = f64::deserialize(deserializer)?;
        if (0.0..=1e6).contains(&value) {
            return Ok((value * 1e3) as u64);
        }
        Err(D::Error::custom(format!(
            "{value} is not a factor (hint: write a number from 0 to 1000000)"
        )))
    }
}

/// Longest duration in seconds.
const MAX_DURATION_S: u64 = MAX_DURATION_MS / 1_000;

/// Default of `drain_ms` of entry and agent.
pub(super) const fn default_drain_ms() -> u64 {
    30_000
}

/// Default of `idempotency_window_ms` of entry and agent.
pub(super) const fn default_idempotency_window_ms() -> u64 {
    DEFAULT_IDEMPOTENCY_WINDOW_US / US_PER_MS
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Terminal,
    /// One JSON object in a line.
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// The process cannot go on.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs attention.
    Warning,
    /// Normal operation.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// Everything.
    Trace,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Critical => Self::Critical,
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level.
    pub level: LogLevel,
}

/// Collects the findings of one file.
#[derive(Debug, Default)]
pub(super) struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    /// Adds a finding at a field.
    pub(super) fn add(&mut self, path: &[&'static str], message: String, hint: &'static str) {
        self.findings.push(Finding {
            path: path.iter().copied().map(PathStep::Field).collect(),
            message,
            hint,
        });
    }

    /// Checks a name that occurs in tickets and messages.
    pub(super) fn name(&mut self, field: &'static str, name: &str) {
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if name.is_empty() || name.len() > 64 || !name.chars().all(is_valid) {
            let message = format!("`{name}` is not a valid name");
            let hint = "use 1 to 64 letters, digits, dots, dashes or underscores";
            self.add(&[field], message, hint);
        }
    }

    /// Checks a list of slots, which may be empty: valid names, none twice, the
    /// own name among them.
    pub(super) fn slots(&mut self, field: &'static str, slots: &[Name], own: &Name) {
        for (position, slot) in slots.iter().enumerate() {
            self.name(field, slot);
            if slots[..position].contains(slot) {
                let message = format!("`{field}` names `{slot}` twice");
                self.add(&[field], message, "name every entry once");
            }
        }
        if !slots.is_empty() && !slots.contains(own) {
            let message = format!("`{field}` does not contain the own name `{own}`");
            self.add(&[field], message, "name all entries of the fleet");
        }
    }

    /// Checks that a number lies in a range.
    pub(super) fn range(
        &mut self,
        path: &[&'static str],
        value: u64,
        (min, max): (u64, u64),
        hint: &'static str,
    ) {
        if value < min || value > max {
            let field = path.last().copied().unwrap_or_default();
            let message = format!("`{field}` is {value}, but must be between {min} and {max}");
            self.add(path, message, hint);
        }
    }

    /// Checks that a count lies in a range.
    pub(super) fn count(
        &mut self,
        path: &[&'static str],
        value: usize,
        range: (u64, u64),
        hint: &'static str,
    ) {
        let value = u64::try_from(value).unwrap_or(u64::MAX);
        self.range(path, value, range, hint);
    }

    /// Checks a duration in milliseconds.
    pub(super) fn duration_ms(&mut self, path: &[&'static str], value: u64, min: u64) {
        self.range(path, value, (min, MAX_DURATION_MS), "state milliseconds");
    }

    /// Checks that all listeners have different addresses. Port 0 takes a free
    /// port and never collides.
    pub(super) fn listeners(&mut self, listeners: &[(&'static str, SocketAddr)]) {
        for (position, (field, address)) in listeners.iter().enumerate() {
            let earlier = &listeners[..position];
            let twin = earlier.iter().find(|(_, other)| other == address);
            if let Some((other, _)) = twin.filter(|_| address.port() != 0) {
                let message = format!("`{field}` and `{other}` are the same");
                self.add(&[field], message, "use a different port for every listener");
            }
        }
    }

    /// Checks what an entry and an agent have in common.
    pub(super) fn instance(
        &mut self,
        name: &str,
        data_centre: &str,
        addresses: &[(&'static str, SocketAddr)],
    ) {
        self.name("name", name);
        self.name("data_centre", data_centre);
        self.listeners(addresses);
    }

    /// Returns the findings.
    pub(super) fn finish(self) -> Vec<Finding> {
        self.findings
    }
}
