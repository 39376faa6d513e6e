//! Fencing numbers of orders.
//!
//! An agent stands between the holder of a move and its target, and refuses
//! orders with an old fencing number on behalf of engines that do not check.

use std::collections::BTreeMap;

use crate::names::Name;

/// What to do with an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Pass the order to the target, then call [`FenceTable::finish`].
    Execute,
    /// Refuse the order: a higher number has been seen.
    Refuse {
        /// Highest number known for the target.
        highest: u64,
    },
    /// Read the current number from the object API, call
    /// [`FenceTable::learn`], then submit the order again.
    ReadFirst,
    /// An order is still running on the target; submit this one again when it
    /// has finished.
    Wait,
}

#[derive(Clone, Copy, Debug, Default)]
struct Fence {
    highest: u64,
    is_read: bool,
    in_flight: Option<u64>,
}

/// Highest fencing number per target, as known to one agent incarnation.
///
/// ```
/// use yuccalatch::version::fence::{Admission, FenceTable};
///
/// let mut fences = FenceTable::default();
/// let target = "engine-1".into();
/// assert_eq!(fences.admit(&target, 9), Admission::ReadFirst);
/// fences.learn(&target, 5);
/// assert_eq!(fences.admit(&target, 4), Admission::Refuse { highest: 5 });
/// assert_eq!(fences.admit(&target, 6), Admission::Execute);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FenceTable {
    targets: BTreeMap<Name, Fence>,
}

impl FenceTable {
    /// Decides on an order.
    ///
    /// Without a read since the start of the agent even a high number proves
    /// nothing, because a higher one may have been executed before the restart.
    /// Orders to one target run one at a time, so that an old order cannot
    /// still be on its way to the engine when a newer one has been executed.
    pub fn admit(&mut self, target: &Name, fencing: u64) -> Admission {
        let fence = self.targets.entry(target.clone()).or_default();
        if fencing < fence.highest {
            return Admission::Refuse {
                highest: fence.highest,
            };
        }
        if !fence.is_read {
            return Admission::ReadFirst;
        }
        fence.highest = fencing;
        if fence.in_flight.is_some() {
            return Admission::Wait;
        }
        fence.in_flight = Some(fencing);
        Admission::Execute
    }

    /// Records that the running order ended: the target answered, or its
    /// engine restarted. A lost answer alone does not end it.
    ///
    /// ```
    /// use yuccalatch::version::fence::{Admission, FenceTable};
    ///
    /// let mut fences = FenceTable::default();
    /// let target = "engine-1".into();
    /// fences.learn(&target, 1);
    /// assert_eq!(fences.admit(&target, 1), Admission::Execute);
    /// assert_eq!(fences.admit(&target, 2), Admission::Wait);
    /// fences.finish(&target);
    /// assert_eq!(fences.admit(&target, 2), Admission::Execute);
    /// ```
    pub fn finish(&mut self, target: &Name) {
        if let Some(fence) = self.targets.get_mut(target) {
            fence.in_flight = None;
        }
    }

    /// Takes over a number that was read from the move object or announced by
    /// a newer holder.
    pub fn learn(&mut self, target: &Name, current: u64) {
        let fence = self.targets.entry(target.clone()).or_default();
        fence.highest = fence.highest.max(current);
        fence.is_read = true;
    }

    /// Returns the highest number for reports, or `None` before the first
    /// read.
    ///
    /// ```
    /// use yuccalatch::version::fence::FenceTable;
    ///
    /// assert_eq!(FenceTable::default().highest(&"engine-1".into()), None);
    /// ```
    pub fn highest(&self, target: &Name) -> Option<u64> {
        let fence = self.targets.get(target)?;
        fence.is_read.then_some(fence.highest)
    }
}
