//! Totals over all entries.

use std::collections::BTreeMap;

use super::{
    Evidence,
    Pair,
    Side, //
};
use crate::names::{
    Incarnation,
    Name, //
};

/// Evidence of the fleet, fed with the cumulative counts of every entry.
///
/// Cumulative counts make the exchange insensitive to loss, repetition and
/// reordering: only the growth since the highest counts seen is added.
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
/// pool.absorb(Incarnation(1), &local.totals(), 0);
/// pool.absorb(Incarnation(1), &local.totals(), 0);
/// assert_eq!(pool.evidence().route(&route).totals().new.answered, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    seen: BTreeMap<(Incarnation, Name), Pair>,
    evidence: Evidence,
}

impl Pool {
    /// Adds what an entry has counted since its last message.
    pub fn absorb(&mut self, entry: Incarnation, totals: &BTreeMap<Name, Pair>, now_us: u64) {
        for (route, pair) in totals {
            let seen = self.seen.entry((entry, route.clone())).or_default();
            let evidence = self.evidence.route(route);
            if pair.old.answered > seen.old.answered {
                evidence.add(Side::Old, &pair.old.since(&seen.old), now_us);
                seen.old = pair.old.clone();
            }
            if pair.new.answered > seen.new.answered {
                evidence.add(Side::New, &pair.new.since(&seen.new), now_us);
                seen.new = pair.new.clone();
            }
        }
    }

    /// Returns the merged evidence.
    pub fn evidence(&mut self) -> &mut Evidence {
        &mut self.evidence
    }
}
