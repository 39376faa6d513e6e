//! Histograms and tables of a run.

use std::fmt;

use serde::Serialize;

/// Limit that a measured value has to respect.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value must not exceed this.
    AtMost(f64),
    /// The value must reach this.
    AtLeast(f64),
}

impl Bound {
    /// Returns whether a value respects the bound.
    ///
    /// ```
    /// use yuccalatch::replay::report::Bound;
    ///
    /// assert!(Bound::AtMost(2.0).is_met(2.0));
    /// assert!(!Bound::AtLeast(2.0).is_met(1.0));
    /// ```
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "<= {limit:.4}"),
            Self::AtLeast(limit) => write!(f, ">= {limit:.4}"),
        }
    }
}

/// One figure of an evaluation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// Trace or scenario that was run.
    pub scenario: String,
    /// Policy that was in use.
    pub policy: String,
    /// What was measured, with its unit as a suffix.
    pub measure: String,
    /// The figure.
    pub value: f64,
    /// Stated target, where there is one.
    pub bound: Option<Bound>,
}

impl Measurement {
    /// Returns whether the target is met; true where there is none.
    ///
    /// ```
    /// use yuccalatch::replay::report::{Bound, Measurement};
    ///
    /// let measurement = Measurement {
    ///     scenario: "steady".to_owned(),
    ///     policy: "random".to_owned(),
    ///     measure: "hit_rate".to_owned(),
    ///     value: 0.4,
    ///     bound: Some(Bound::AtLeast(0.5)),
    /// };
    /// assert!(!measurement.is_met());
    /// ```
    pub fn is_met(&self) -> bool {
        self.bound.is_none_or(|bound| bound.is_met(self.value))
    }
}

/// Formats measurements as a Markdown table.
///
/// ```
/// assert!(yuccalatch::replay::report::markdown(&[]).starts_with("| scenario"));
/// ```
pub fn markdown(measurements: &[Measurement]) -> String {
    let mut out = String::from(
        "| scenario | policy | measure | value | target | met |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for measurement in measurements {
        let Measurement {
            scenario,
            policy,
            measure,
            value,
            bound,
        } = measurement;
        let target = bound.map_or_else(|| "-".to_owned(), |bound| bound.to_string());
        let met = match bound {
            None => "-",
            Some(_) if measurement.is_met() => "yes",
            Some(_) => "NO",
        };
        out.push_str(&format!(
            "| {scenario} | {policy} | {measure} | {value:.4} | {target} | {met} |\n"
        ));
    }
    out
}
