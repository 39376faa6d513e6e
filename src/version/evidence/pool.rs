//! Totals over all entries.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Evidence,
    Pair,
    Side,
    blocks::BLOCK_US, //
};
use crate::names::{
    Incarnation,
    Name, //
};

/// Blocks in one message. A block is sent in several exchanges, so that a lost
/// message loses no answers.
const SENT_BLOCKS: u64 = 3;

/// Counts of one block on one route at one entry; they only grow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockCounts {
    /// Route.
    pub route: Name,
    /// Number of the block.
    pub block: u64,
    /// Counts so far.
    pub counts: Pair,
}

impl Evidence {
    /// Returns the latest blocks, to be sent to peers.
    ///
    /// ```
    /// use yuccalatch::version::evidence::Evidence;
    ///
    /// assert!(Evidence::default().message(0).is_empty());
    /// ```
    pub fn message(&self, now_us: u64) -> Vec<BlockCounts> {
        let first = (now_us / BLOCK_US + 1).saturating_sub(SENT_BLOCKS);
        self.routes
            .iter()
            .flat_map(|(route, evidence)| {
                evidence
                    .blocks
                    .since(first)
                    .map(|(block, counts)| BlockCounts {
                        route: route.clone(),
                        block,
                        counts: counts.clone(),
                    })
            })
            .collect()
    }
}

/// Evidence of the fleet, fed with the messages of every entry.
///
/// Only the growth of a block since the highest counts seen is added, so the
/// exchange is insensitive to repetition and reordering. Answers keep the block
/// in which their entry counted them: sorted by arrival, the new version's
/// answers met too few old ones, and cuts came seconds later.
///
/// ```
/// use yuccalatch::names::Incarnation;
/// use yuccalatch::version::evidence::{Evidence, Side};
/// use yuccalatch::version::evidence::counts::Sample;
/// use yuccalatch::version::evidence::pool::Pool;
///
/// let mut local = Evidence::default();
/// let route = "chat".into();
/// local.route(&route).record(Side::New, Sample::default(), 0);
/// let mut pool = Pool::default();
/// pool.absorb(Incarnation(1), &local.message(0));
/// pool.absorb(Incarnation(1), &local.message(0));
/// assert_eq!(pool.evidence().route(&route).totals().new.answered, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    seen: BTreeMap<(u64, Name, Incarnation), Pair>,
    evidence: Evidence,
}

impl Pool {
    /// Adds what an entry has counted since its last message.
    pub fn absorb(&mut self, entry: Incarnation, message: &[BlockCounts]) {
        for BlockCounts {
            route,
            block,
            counts,
        } in message
        {
            if self.is_forgotten(*block) {
                continue;
            }
            let seen = self.seen.entry((*block, route.clone(), entry)).or_default();
            let blocks = &mut self.evidence.route(route).blocks;
            if counts.old.answered > seen.old.answered {
                blocks.add(Side::Old, &counts.old.since(&seen.old), *block);
                seen.old = counts.old.clone();
            }
            if counts.new.answered > seen.new.answered {
                blocks.add(Side::New, &counts.new.since(&seen.new), *block);
                seen.new = counts.new.clone();
            }
        }
        self.forget();
    }

    /// Returns the merged evidence.
    pub fn evidence(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    fn newest(&self) -> u64 {
        self.seen
            .last_key_value()
            .map_or(0, |((block, ..), _)| *block)
    }

    /// Twice the sent blocks, so that a late message is still recognised.
    fn is_forgotten(&self, block: u64) -> bool {
        block + 2 * SENT_BLOCKS <= self.newest()
    }

    fn forget(&mut self) {
        let newest = self.newest();
        while let Some(first) = self.seen.first_entry() {
            if first.key().0 + 2 * SENT_BLOCKS > newest {
                break;
            }
            first.remove();
        }
    }
}
