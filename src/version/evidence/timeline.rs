//! Counts of one version in slots of one second.

use std::collections::VecDeque;

use super::counts::{
    Counts,
    Sample, //
};
use crate::clock::US_PER_S;

/// Seconds for which slots are kept.
pub const KEPT_S: u64 = 64;

#[derive(Clone, Debug)]
struct Slot {
    second: u64,
    counts: Counts,
}

/// Recent slots and the total of all time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    slots: VecDeque<Slot>,
    total: Counts,
}

impl Timeline {
    /// Adds counts to the slot of the present second.
    pub fn add(&mut self, counts: &Counts, now_us: u64) {
        if counts.answered == 0 {
            return;
        }
        self.total.merge(counts);
        self.current(now_us).merge(counts);
    }

    /// Adds one answer to the slot of the present second.
    ///
    /// ```
    /// use yuccalatch::version::evidence::counts::Sample;
    /// use yuccalatch::version::evidence::timeline::Timeline;
    ///
    /// let mut timeline = Timeline::default();
    /// timeline.record(Sample::default(), 0);
    /// assert_eq!(timeline.window(4, 3_000_000).answered, 1);
    /// assert_eq!(timeline.window(4, 4_000_000).answered, 0);
    /// assert_eq!(timeline.total().answered, 1);
    /// ```
    pub fn record(&mut self, sample: Sample, now_us: u64) {
        self.total.record(sample);
        self.current(now_us).record(sample);
    }

    /// Returns the sum of the last seconds, the present one included.
    pub fn window(&self, window_s: u64, now_us: u64) -> Counts {
        let first = (now_us / US_PER_S + 1).saturating_sub(window_s);
        let mut sum = Counts::default();
        self.slots
            .iter()
            .rev()
            .take_while(|slot| slot.second >= first)
            .for_each(|slot| sum.merge(&slot.counts));
        sum
    }

    /// Returns the counts of all time.
    pub fn total(&self) -> &Counts {
        &self.total
    }

    fn current(&mut self, now_us: u64) -> &mut Counts {
        let second = now_us / US_PER_S;
        if self.slots.back().is_none_or(|slot| slot.second < second) {
            let counts = Counts::default();
            self.slots.push_back(Slot { second, counts });
        }
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.second + KEPT_S <= second)
        {
            self.slots.pop_front();
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last].counts
    }
}
