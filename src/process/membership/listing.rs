//! The platform's list of instances, and the times from which dropped instances
//! count as gone.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::REMOVAL_GRACE_US;
use crate::names::Name;

/// Latest list, and the instances that were dropped from it.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformList {
    names: BTreeSet<Name>,
    gone_at_us: BTreeMap<Name, u64>,
}

impl PlatformList {
    /// Replaces the list. Names that only the previous list had count as gone
    /// after [`REMOVAL_GRACE_US`].
    pub(super) fn replace(&mut self, names: BTreeSet<Name>, now_us: u64) {
        for removed in self.names.difference(&names) {
            self.gone_at_us
                .entry(removed.clone())
                .or_insert(now_us + REMOVAL_GRACE_US);
        }
        for name in &names {
            self.gone_at_us.remove(name);
        }
        self.names = names;
    }

    /// Returns the names on the list.
    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.names.iter()
    }

    /// Returns whether a name is on the list.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the time from which a dropped instance counts as gone.
    pub(super) fn gone_at_us(&self, name: &str) -> Option<u64> {
        self.gone_at_us.get(name).copied()
    }

    /// Returns whether an instance was dropped and the grace period has passed.
    pub(super) fn is_gone(&self, name: &str, now_us: u64) -> bool {
        self.gone_at_us(name)
            .is_some_and(|gone_at_us| now_us >= gone_at_us)
    }
}
