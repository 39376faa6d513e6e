//! Checks of the outcomes that a trace states.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trace::{
    Expectation,
    Trace,
    TraceCheck,
    TraceRequest, //
};
use crate::{
    clock::US_PER_MS,
    names::Name,
    standin::engine::next_token, //
};

/// Largest time that a histogram records; longer ones count as this.
const MAX_US: u64 = 600_000_000;

/// What was seen of one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Status, zero without an answer.
    pub status: u16,
    /// Error kind in the body or in an error event.
    pub kind: Option<Name>,
    /// Whether the body had its proper end.
    pub complete: bool,
    /// Text of a completion.
    pub text: String,
    /// Prompt blocks found in a cache.
    pub matched_blocks: u32,
    /// Complete blocks of the prompt.
    pub prompt_blocks: u32,
    /// Time to the first part of the body.
    pub first_us: Option<u64>,
    /// Times between parts of the body.
    pub between_us: Vec<u64>,
    /// Time to the end of the body.
    pub total_us: u64,
}

impl Observed {
    fn is_error(&self) -> bool {
        !(200..300).contains(&self.status) || self.kind.is_some() || !self.complete
    }
}

/// Times of one organisation.
#[derive(Clone, Debug)]
pub struct Times {
    /// Answers.
    pub answers: u64,
    /// Answers that are errors.
    pub errors: u64,
    /// Prompt blocks found in a cache.
    pub matched_blocks: u64,
    /// Complete blocks of the prompts.
    pub prompt_blocks: u64,
    /// Time to the first part, in microseconds.
    pub first_us: Histogram<u64>,
    /// Time between parts, in microseconds.
    pub between_us: Histogram<u64>,
    /// Time to the end, in microseconds.
    pub total_us: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            answers: 0,
            errors: 0,
            matched_blocks: 0,
            prompt_blocks: 0,
            first_us: histogram(),
            between_us: histogram(),
            total_us: histogram(),
        }
    }
}

/// Three digits keep the error of a percentile below 0.1%.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are constant")
}

impl Times {
    /// Adds one answer.
    ///
    /// ```
    /// use yuccalatch::replay::outcome::{Observed, Times};
    ///
    /// let mut times = Times::default();
    /// times.add(&Observed { status: 503, ..Observed::default() });
    /// assert_eq!((times.answers, times.errors), (1, 1));
    /// ```
    pub fn add(&mut self, observed: &Observed) {
        self.answers += 1;
        self.errors += u64::from(observed.is_error());
        self.matched_blocks += u64::from(observed.matched_blocks);
        self.prompt_blocks += u64::from(observed.prompt_blocks);
        if let Some(first_us) = observed.first_us {
            self.first_us.saturating_record(first_us);
        }
        for &between_us in &observed.between_us {
            self.between_us.saturating_record(between_us);
        }
        self.total_us.saturating_record(observed.total_us);
    }

    fn merge(&mut self, other: &Self) {
        self.answers += other.answers;
        self.errors += other.errors;
        self.matched_blocks += other.matched_blocks;
        self.prompt_blocks += other.prompt_blocks;
        let pairs = [
            (&mut self.first_us, &other.first_us),
            (&mut self.between_us, &other.between_us),
            (&mut self.total_us, &other.total_us),
        ];
        for (own, added) in pairs {
            // Both have the same bounds.
            let _ = own.add(added);
        }
    }

    fn hit_permille(&self) -> u64 {
        self.matched_blocks * 1_000 / self.prompt_blocks.max(1)
    }
}

/// A stated outcome that did not occur.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// Request by its position in the trace, or the check of the run.
    pub subject: String,
    /// What was stated and what was seen.
    pub message: String,
}

/// Compares one answer with its stated outcome.
///
/// ```
/// use yuccalatch::replay::outcome::{check_answer, Observed};
/// use yuccalatch::replay::trace::Trace;
///
/// let text = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/x",
///     "expect": {"status": 200}}}"#.replace('\n', " ");
/// let trace = Trace::parse(&text).unwrap();
/// let refused = Observed { status: 429, ..Observed::default() };
/// assert_eq!(check_answer(0, &trace.requests[0], &refused).len(), 1);
/// ```
pub fn check_answer(
    position: usize,
    request: &TraceRequest,
    observed: &Observed,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut expect = |holds: bool, message: String| {
        if !holds {
            violations.push(Violation {
                subject: format!("request {position}"),
                message,
            });
        }
    };
    let Expectation {
        status,
        kind,
        complete,
        min_matched_blocks,
        reference_version,
    } = &request.expect;
    if let Some(status) = status {
        let message = format!("status {status} was stated, {} was seen", observed.status);
        expect(observed.status == *status, message);
    }
    if let Some(kind) = kind {
        let message = format!("kind {kind} was stated, {:?} was seen", observed.kind);
        expect(observed.kind.as_ref() == Some(kind), message);
    }
    if let Some(complete) = complete {
        let message = format!("complete is {}", observed.complete);
        expect(observed.complete == *complete, message);
    }
    if let Some(least) = min_matched_blocks {
        let message = format!("{} of {least} blocks matched", observed.matched_blocks);
        expect(observed.matched_blocks >= *least, message);
    }
    if let Some(version) = reference_version {
        let text = reference_text(version, request);
        expect(observed.text == text, "the text differs".to_owned());
    }
    violations
}

/// Text that an uninterrupted generation of the stand-in engine yields.
fn reference_text(version: &str, request: &TraceRequest) -> String {
    let prompt = request.prompt().unwrap_or_default();
    let mut text = prompt.clone();
    for _ in 0..request.max_tokens() {
        let token = next_token(version, &text);
        text.push_str(&token);
    }
    text.split_off(prompt.len())
}

/// Result of a whole run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times by organisation.
    pub organisations: BTreeMap<Name, Times>,
    /// Stated outcomes that did not occur.
    pub violations: Vec<Violation>,
}

impl Outcome {
    /// Adds one answer.
    ///
    /// ```
    /// use yuccalatch::replay::outcome::{Observed, Outcome};
    /// use yuccalatch::replay::trace::Trace;
    ///
    /// let text = r#"{"request": {"at_ms": 0, "organisation": "a", "path": "/x"}}"#;
    /// let trace = Trace::parse(text).unwrap();
    /// let mut outcome = Outcome::default();
    /// outcome.add(0, &trace.requests[0], &Observed::default());
    /// assert_eq!(outcome.organisations["a"].answers, 1);
    /// ```
    pub fn add(&mut self, position: usize, request: &TraceRequest, observed: &Observed) {
        let times = self.organisations.entry(request.organisation.clone());
        times.or_default().add(observed);
        let violations = check_answer(position, request, observed);
        self.violations.extend(violations);
    }

    /// Evaluates the checks of the run.
    ///
    /// ```
    /// use yuccalatch::replay::{outcome::Outcome, trace::Trace};
    ///
    /// let trace = Trace::parse(r#"{"check": {"min_errors": 1}}"#).unwrap();
    /// let mut outcome = Outcome::default();
    /// outcome.finish(&trace);
    /// assert_eq!(outcome.violations.len(), 1);
    /// ```
    pub fn finish(&mut self, trace: &Trace) {
        for check in &trace.checks {
            let found = self.check_run(check);
            self.violations.extend(found);
        }
    }

    /// Returns the sum over all organisations, or the times of one.
    pub(super) fn times(&self, organisation: Option<&Name>) -> Times {
        let mut sum = Times::default();
        for (name, times) in &self.organisations {
            if organisation.is_none_or(|wanted| wanted == name) {
                sum.merge(times);
            }
        }
        sum
    }

    fn check_run(&self, check: &TraceCheck) -> Vec<Violation> {
        let times = self.times(check.organisation.as_ref());
        let p99_ms = times.first_us.value_at_quantile(0.99) / US_PER_MS;
        let at_most = [
            ("errors", times.errors, check.max_errors),
            ("first token p99 ms", p99_ms, check.max_first_token_p99_ms),
        ];
        let at_least = [
            ("errors", times.errors, check.min_errors),
            ("hit permille", times.hit_permille(), check.min_hit_permille),
        ];
        let above = at_most.into_iter().filter_map(|(name, seen, bound)| {
            let bound = bound.filter(|bound| seen > *bound)?;
            Some(format!("{name}: {seen} is above {bound}"))
        });
        let below = at_least.into_iter().filter_map(|(name, seen, bound)| {
            let bound = bound.filter(|bound| seen < *bound)?;
            Some(format!("{name}: {seen} is below {bound}"))
        });
        let subject = match &check.organisation {
            Some(organisation) => format!("organisation {organisation}"),
            None => "all organisations".to_owned(),
        };
        above
            .chain(below)
            .map(|message| Violation {
                subject: subject.clone(),
                message,
            })
            .collect()
    }
}
