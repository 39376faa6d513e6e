//! Counters of answers, mergeable over entries.

use serde::{
    Deserialize,
    Serialize, //
};

use super::sequential::Tally;

/// Buckets of a latency histogram.
pub const BUCKETS: usize = 32;
/// Upper edge of the first bucket. Each further bucket is wider by the square
/// root of two, so the last one starts at 33 s.
const FIRST_EDGE_US: u64 = 1_000;

/// One answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Whether the target failed; refusals of callers are not failures.
    pub failed: bool,
    /// Time to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Mean time between tokens of this answer, in microseconds. The gaps of
    /// one stream depend on each other, so a stream counts once.
    pub between_tokens_us: Option<u64>,
}

impl Sample {
    /// An answer that failed.
    pub const FAILURE: Self = Self {
        failed: true,
        first_token_us: None,
        between_tokens_us: None,
    };
}

/// Histogram of a latency in half octaves.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Latency {
    buckets: [u32; BUCKETS],
}

impl Latency {
    /// Adds one value.
    ///
    /// ```
    /// use yuccalatch::version::evidence::counts::Latency;
    ///
    /// let mut latency = Latency::default();
    /// latency.record(2_500);
    /// assert_eq!(latency.count(), 1);
    /// ```
    pub fn record(&mut self, value_us: u64) {
        self.buckets[bucket(value_us)] += 1;
    }

    /// Returns the number of values.
    pub fn count(&self) -> u64 {
        self.buckets.iter().copied().map(u64::from).sum()
    }

    /// Returns the bucket below which at least 95 in 100 values lie, or `None`
    /// without values.
    pub fn p95_bucket(&self) -> Option<usize> {
        let rank = (self.count() * 95).div_ceil(100);
        if rank == 0 {
            return None;
        }
        let mut seen = 0;
        self.buckets.iter().position(|count| {
            seen += u64::from(*count);
            seen >= rank
        })
    }

    /// Splits the values into those above a bucket and the others.
    pub fn above(&self, bucket: usize) -> Tally {
        let above: u64 = self
            .buckets
            .iter()
            .skip(bucket + 1)
            .copied()
            .map(u64::from)
            .sum();
        Tally {
            bad: above,
            good: self.count() - above,
        }
    }
}

pub(super) fn bucket(value_us: u64) -> usize {
    let mut edge = FIRST_EDGE_US;
    for octave in 0..BUCKETS / 2 {
        if value_us < edge {
            return octave * 2;
        }
        // 1.414 as a ratio of integers.
        if value_us < edge * 1_414 / 1_000 {
            return octave * 2 + 1;
        }
        edge *= 2;
    }
    BUCKETS - 1
}

/// Counts of one version on one route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Answers, failed or not.
    pub answered: u64,
    /// Answers that failed.
    pub failed: u64,
    /// Time to the first token.
    pub first_token: Latency,
    /// Mean time between tokens per answer.
    pub between_tokens: Latency,
}

impl Counts {
    /// Adds one answer.
    ///
    /// ```
    /// use yuccalatch::version::evidence::counts::{Counts, Sample};
    ///
    /// let mut counts = Counts::default();
    /// counts.record(Sample { failed: true, ..Sample::default() });
    /// assert_eq!((counts.answered, counts.failed), (1, 1));
    /// ```
    pub fn record(&mut self, sample: Sample) {
        self.answered += 1;
        self.failed += u64::from(sample.failed);
        if let Some(value_us) = sample.first_token_us {
            self.first_token.record(value_us);
        }
        if let Some(value_us) = sample.between_tokens_us {
            self.between_tokens.record(value_us);
        }
    }

    /// Adds the counts of another entry or period.
    pub fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        combine(
            &mut self.first_token,
            &other.first_token,
            u32::saturating_add,
        );
        combine(
            &mut self.between_tokens,
            &other.between_tokens,
            u32::saturating_add,
        );
    }

    /// Returns what was added since an earlier state of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        difference.answered = self.answered.saturating_sub(earlier.answered);
        difference.failed = self.failed.saturating_sub(earlier.failed);
        combine(
            &mut difference.first_token,
            &earlier.first_token,
            u32::saturating_sub,
        );
        combine(
            &mut difference.between_tokens,
            &earlier.between_tokens,
            u32::saturating_sub,
        );
        difference
    }

    /// Splits the answers into failed and good ones.
    pub fn errors(&self) -> Tally {
        Tally {
            bad: self.failed,
            good: self.answered - self.failed,
        }
    }
}

fn combine(into: &mut Latency, from: &Latency, operation: fn(u32, u32) -> u32) {
    for (into, from) in into.buckets.iter_mut().zip(&from.buckets) {
        *into = operation(*into, *from);
    }
}
