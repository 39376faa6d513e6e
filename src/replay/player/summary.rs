//! Summary of a run for people and machines.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    names::Name,
    replay::outcome::{
        Outcome,
        Times,
        Violation, //
    },
};

/// Percentiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.50),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Figures of one organisation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrganisationSummary {
    /// Organisation, or `all`.
    pub organisation: Name,
    /// Answers.
    pub answers: u64,
    /// Answers that are errors.
    pub errors: u64,
    /// Prompt blocks found in a cache.
    pub matched_blocks: u64,
    /// Complete blocks of the prompts.
    pub prompt_blocks: u64,
    /// Time to the first part.
    pub first: Percentiles,
    /// Time between parts.
    pub between: Percentiles,
    /// Time to the end.
    pub total: Percentiles,
}

/// Figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// All organisations together, then each.
    pub organisations: Vec<OrganisationSummary>,
    /// Stated outcomes that did not occur.
    pub violations: Vec<Violation>,
}

/// Summarises a run.
///
/// ```
/// use yuccalatch::replay::{outcome::Outcome, player::summarise};
///
/// let summary = summarise(&Outcome::default());
/// assert_eq!(summary.organisations[0].answers, 0);
/// assert!(summary.to_table().starts_with("organisation"));
/// ```
pub fn summarise(outcome: &Outcome) -> Summary {
    let all = line("all".into(), &outcome.times(None));
    let each = outcome
        .organisations
        .iter()
        .map(|(name, times)| line(name.clone(), times));
    Summary {
        organisations: std::iter::once(all).chain(each).collect(),
        violations: outcome.violations.clone(),
    }
}

fn line(organisation: Name, times: &Times) -> OrganisationSummary {
    OrganisationSummary {
        organisation,
        answers: times.answers,
        errors: times.errors,
        matched_blocks: times.matched_blocks,
        prompt_blocks: times.prompt_blocks,
        first: Percentiles::of(&times.first_us),
        between: Percentiles::of(&times.between_us),
        total: Percentiles::of(&times.total_us),
    }
}

impl Summary {
    /// Formats the summary for a terminal.
    pub fn to_table(&self) -> String {
        let mut table = format!(
            "{:<16} {:>8} {:>7} {:>13} {:>10} {:>10} {:>12} {:>12}\n",
            "organisation",
            "answers",
            "errors",
            "cached/blocks",
            "first p50",
            "first p99",
            "between p50",
            "between p99"
        );
        for line in &self.organisations {
            let blocks = format!("{}/{}", line.matched_blocks, line.prompt_blocks);
            table.push_str(&format!(
                "{:<16} {:>8} {:>7} {:>13} {:>8}us {:>8}us {:>10}us {:>10}us\n",
                line.organisation,
                line.answers,
                line.errors,
                blocks,
                line.first.p50_us,
                line.first.p99_us,
                line.between.p50_us,
                line.between.p99_us
            ));
        }
        for violation in &self.violations {
            table.push_str(&format!(
                "FAILED {}: {}\n",
                violation.subject, violation.message
            ));
        }
        table
    }
}
