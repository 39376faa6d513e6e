//! Counts of both versions on one route in blocks of four seconds.

use std::collections::VecDeque;

use super::{
    Pair, Side,
    counts::{
        Counts,
        Latency,
        Sample,
        bucket, //
    },
    sequential::{
        Strata,
        Tally, //
    },
};
use crate::clock::US_PER_S;

/// Length of a block. Entries number blocks by wall-clock time, so that their
/// blocks can be merged; a clock that is wrong only blurs the comparison. An outage of both versions is compared with itself when
/// it is longer than a block.
pub const BLOCK_US: u64 = 4 * US_PER_S;
/// Blocks that are kept one by one: 64 s.
pub const KEPT_BLOCKS: u64 = 16;

#[derive(Clone, Debug)]
struct Block {
    number: u64,
    pair: Pair,
}

/// Comparison of errors, time to first token and time between tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Comparison {
    /// Failed answers.
    pub errors: Strata,
    /// Answers with a slow first token.
    pub first_token: Strata,
    /// Answers with slow tokens.
    pub between_tokens: Strata,
}

impl Comparison {
    /// Adds another period or route.
    pub fn merge(&mut self, other: &Self) {
        self.errors.merge(&other.errors);
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
    }
}

/// Recent blocks, and sums of all time.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    blocks: VecDeque<Block>,
    total: Pair,
    closed: Comparison,
}

impl Blocks {
    /// Adds counts to a block.
    pub fn add(&mut self, side: Side, counts: &Counts, number: u64) {
        self.total.side_mut(side).merge(counts);
        if let Some(pair) = self.block_mut(number) {
            pair.side_mut(side).merge(counts);
        }
    }

    /// Adds one answer to the present block.
    ///
    /// ```
    /// use yuccalatch::version::evidence::{blocks::Blocks, counts::Sample, Side};
    ///
    /// let mut blocks = Blocks::default();
    /// blocks.record(Side::New, Sample::default(), 0);
    /// assert_eq!(blocks.total().new.answered, 1);
    /// ```
    pub fn record(&mut self, side: Side, sample: Sample, now_us: u64) {
        self.total.side_mut(side).record(sample);
        if let Some(pair) = self.block_mut(now_us / BLOCK_US) {
            pair.side_mut(side).record(sample);
        }
    }

    /// Returns the kept blocks from a number on.
    pub fn since(&self, first: u64) -> impl Iterator<Item = (u64, &Pair)> {
        self.blocks
            .iter()
            .filter(move |block| block.number >= first)
            .map(|block| (block.number, &block.pair))
    }

    /// Returns the counts of all time.
    pub fn total(&self) -> &Pair {
        &self.total
    }

    /// Compares both versions over several recent periods, each given as a
    /// number of blocks in ascending order.
    pub fn recent<const N: usize>(
        &self,
        usual: &Usual,
        periods: [u64; N],
        now_us: u64,
    ) -> [Comparison; N] {
        let present = now_us / BLOCK_US;
        let mut sums = [Comparison::default(); N];
        for block in &self.blocks {
            if block.pair.new.answered == 0 {
                continue;
            }
            let compared = usual.compare(&block.pair);
            for (period, sum) in periods.iter().zip(&mut sums) {
                if block.number + period > present {
                    sum.merge(&compared);
                }
            }
        }
        sums
    }

    /// Returns the comparison of all blocks that are no longer kept.
    pub fn closed(&self) -> &Comparison {
        &self.closed
    }

    /// Returns whether an answer failed or was slow.
    pub fn is_bad(&self, sample: Sample) -> bool {
        let usual = self.usual();
        let is_slow = |value_us: Option<u64>, limit: Option<usize>| {
            value_us
                .zip(limit)
                .is_some_and(|(value_us, limit)| bucket(value_us) > limit)
        };
        sample.failed
            || is_slow(sample.first_token_us, usual.first_token_limit)
            || is_slow(sample.between_tokens_us, usual.between_tokens_limit)
    }

    /// Returns what is usual for the old version.
    pub fn usual(&self) -> Usual {
        let mut recent = Counts::default();
        for block in &self.blocks {
            recent.merge(&block.pair.old);
        }
        Usual::new(&self.total.old, &recent)
    }

    /// Finds or inserts a block; a block that is no longer kept has been
    /// compared already.
    fn block_mut(&mut self, number: u64) -> Option<&mut Pair> {
        let newest = self.blocks.back().map_or(0, |block| block.number);
        if number + KEPT_BLOCKS <= newest {
            return None;
        }
        if number > newest {
            self.close_before((number + 1).saturating_sub(KEPT_BLOCKS));
        }
        let at = self.blocks.partition_point(|block| block.number < number);
        if self
            .blocks
            .get(at)
            .is_none_or(|block| block.number != number)
        {
            let pair = Pair::default();
            self.blocks.insert(at, Block { number, pair });
        }
        self.blocks.get_mut(at).map(|block| &mut block.pair)
    }

    fn close_before(&mut self, first: u64) {
        let usual = self.usual();
        while let Some(block) = self.blocks.pop_front_if(|block| block.number < first) {
            self.closed.merge(&usual.compare(&block.pair));
        }
    }
}

/// What is usual for the old version. A latency is slow above one bucket more
/// than the 95th percentile, of all time or recently, whichever is higher.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    first_token_limit: Option<usize>,
    between_tokens_limit: Option<usize>,
    errors: Tally,
    first_token: Tally,
    between_tokens: Tally,
}

impl Usual {
    fn new(total: &Counts, recent: &Counts) -> Self {
        let limit = |total: &Latency, recent: &Latency| {
            let usual = total.p95_bucket().max(recent.p95_bucket());
            usual.map(|bucket| bucket + 1)
        };
        let first_token_limit = limit(&total.first_token, &recent.first_token);
        let between_tokens_limit = limit(&total.between_tokens, &recent.between_tokens);
        Self {
            first_token_limit,
            between_tokens_limit,
            errors: total.errors(),
            first_token: slow(&total.first_token, first_token_limit),
            between_tokens: slow(&total.between_tokens, between_tokens_limit),
        }
    }

    /// Returns all answers of the old version, split by each symptom.
    pub fn base(&self) -> [Tally; 3] {
        [self.errors, self.first_token, self.between_tokens]
    }

    fn compare(&self, Pair { old, new }: &Pair) -> Comparison {
        let first = |counts: &Counts| slow(&counts.first_token, self.first_token_limit);
        let between = |counts: &Counts| slow(&counts.between_tokens, self.between_tokens_limit);
        Comparison {
            errors: Strata::of(old.errors(), new.errors(), self.errors),
            first_token: Strata::of(first(old), first(new), self.first_token),
            between_tokens: Strata::of(between(old), between(new), self.between_tokens),
        }
    }
}

fn slow(latency: &Latency, limit: Option<usize>) -> Tally {
    limit.map_or_else(Tally::default, |limit| latency.above(limit))
}
