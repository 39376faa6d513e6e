//! What a process knows of the platform's objects.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::{
    platform::{
        EntryRecord,
        ObjectChange,
        ObjectChanges,
        Topic, //
    },
    routing::{
        Configuration,
        RoutingTable, //
    },
    target::{
        TargetRecord,
        Targets,
        WantedWeights, //
    },
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::Name,
};

/// Time after an outage of the store in which the records of live targets come
/// back; stated by the platform.
pub const REFILL_US: u64 = 2 * US_PER_S;

/// Time by which the removal of a record is delayed at most after an outage. It
/// leaves a margin before a target that has really left must be avoided.
const KEEP_US: u64 = REFILL_US - 200 * US_PER_MS;

/// Weights that are wanted, and when this process learnt it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsRollout {
    /// Weights.
    pub weights: WantedWeights,
    /// Versions that were wanted, the latest last, and when this process learnt
    /// of each.
    pub seen: Vec<(u64, u64)>,
    /// Ready engines at that time, in the order of their turns.
    pub turns: Arc<[Name]>,
}

/// Versions of weights that are remembered for each model. All engines have
/// passed older ones long before.
const MAX_SEEN: usize = 16;

impl WeightsRollout {
    /// Returns when an engine with the given version became outdated.
    pub fn outdated_since_us(&self, version: u64) -> Option<u64> {
        let later = self.seen.iter().find(|(wanted, _)| *wanted > version);
        later.map(|(_, at_us)| *at_us)
    }
}

/// Objects of the platform, as of a revision for each topic.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// Configuration with the revision of the store.
    pub configuration: Option<Arc<Configuration>>,
    /// Lookups over the configuration.
    pub table: Option<Arc<RoutingTable>>,
    /// Targets by id.
    pub targets: Targets,
    /// Whether the list of targets was ever read.
    pub has_targets: bool,
    /// Wanted weights by model.
    pub rollouts: BTreeMap<Name, WeightsRollout>,
    /// Registered entries by name.
    pub entries: BTreeMap<Name, EntryRecord>,
    /// Revision of the list of targets.
    pub targets_revision: u64,
    /// Targets whose record has vanished around an outage, with the time until
    /// which they are kept.
    pub vanished: BTreeMap<Name, u64>,
    /// Targets whose address another target has, with their start. Their records
    /// stay in the store for seconds after they have ended.
    pub replaced: BTreeMap<Name, u64>,
}

impl PlatformState {
    /// Returns whether requests can be routed.
    pub const fn can_route(&self) -> bool {
        self.table.is_some() && self.has_targets
    }

    /// Takes a configuration unless a later one is known. Returns whether it was
    /// taken.
    pub fn adopt_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let known = self.configuration.as_ref().map(|known| known.version);
        if known.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.table = Some(Arc::new(RoutingTable::new(&configuration)));
        self.configuration = Some(configuration);
        true
    }

    /// Takes the wanted weights of a model unless later ones are known.
    pub fn adopt_weights(&mut self, weights: WantedWeights, now_us: u64) -> bool {
        let known = self.rollouts.get(&weights.model);
        if known.is_some_and(|known| known.weights.version >= weights.version) {
            return false;
        }
        let turns = super::turns::turn_order(&self.targets, &weights.model);
        let mut seen = known.map(|known| known.seen.clone()).unwrap_or_default();
        seen.push((weights.version, now_us));
        let surplus = seen.len().saturating_sub(MAX_SEEN);
        seen.drain(..surplus);
        let wanted = WeightsRollout {
            weights,
            seen,
            turns,
        };
        self.rollouts.insert(wanted.weights.model.clone(), wanted);
        true
    }

    /// Takes changes of a topic. `recovered_at_us` is when the store answered
    /// again after an outage.
    pub fn apply(
        &mut self,
        topic: Topic,
        changes: ObjectChanges,
        is_listing: bool,
        recovered_at_us: Option<u64>,
        now_us: u64,
    ) {
        if topic == Topic::Targets {
            self.has_targets |= is_listing;
            self.targets_revision = self.targets_revision.max(changes.revision);
        }
        if is_listing {
            self.remove_unlisted(topic, &changes, recovered_at_us, now_us);
        }
        for change in changes.changes {
            match change {
                ObjectChange::Configuration(configuration) => {
                    self.adopt_configuration(Arc::from(configuration));
                }
                ObjectChange::Target(record) => self.take_target(record, is_listing),
                ObjectChange::TargetRemoved(id) => self.remove_target(&id, recovered_at_us, now_us),
                ObjectChange::Weights(weights) => {
                    self.adopt_weights(weights, now_us);
                }
                ObjectChange::Entry(entry) => {
                    self.entries.insert(entry.name.clone(), entry);
                }
                ObjectChange::EntryRemoved(name) => {
                    self.entries.remove(&name);
                }
                ObjectChange::Unreadable(..) => {}
            }
        }
    }

    /// Takes the record of a target, and removes another one at its address: a
    /// server that starts there is the proof that the former one has ended.
    fn take_target(&mut self, record: TargetRecord, is_listing: bool) {
        if self.replaced.get(&record.id) == Some(&record.started_at_ms) {
            return;
        }
        self.vanished.remove(&record.id);
        let is_known = self.targets.contains_key(&record.id);
        let shares = |other: &&Arc<TargetRecord>| {
            other.address == record.address
                && other.service == record.service
                && other.id != record.id
        };
        let other = self.targets.values().find(shares).map(Arc::clone);
        if let Some(other) = other {
            // A listing is not in the order of the starts.
            let is_later = if is_listing {
                record.started_at_ms > other.started_at_ms
            } else {
                !is_known
            };
            let is_earlier = is_listing && record.started_at_ms < other.started_at_ms;
            if is_later {
                self.targets.remove(&other.id);
                self.vanished.remove(&other.id);
                self.replaced.insert(other.id.clone(), other.started_at_ms);
            } else if is_earlier {
                self.replaced.insert(record.id, record.started_at_ms);
                return;
            }
        }
        self.targets.insert(record.id.clone(), Arc::new(record));
    }

    fn remove_unlisted(
        &mut self,
        topic: Topic,
        changes: &ObjectChanges,
        recovered_at_us: Option<u64>,
        now_us: u64,
    ) {
        if topic != Topic::Targets {
            return;
        }
        let listed: std::collections::BTreeSet<&Name> = changes
            .changes
            .iter()
            .filter_map(|change| match change {
                ObjectChange::Target(record) => Some(&record.id),
                _ => None,
            })
            .collect();
        self.replaced.retain(|id, _| listed.contains(id));
        let missing: Vec<Name> = self
            .targets
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_target(&id, recovered_at_us, now_us);
        }
    }

    /// Removes a target, later when its record may only have lapsed during an
    /// outage of the store.
    fn remove_target(&mut self, id: &Name, recovered_at_us: Option<u64>, now_us: u64) {
        self.replaced.remove(id);
        match recovered_at_us {
            Some(at_us) if now_us < at_us + KEEP_US && self.targets.contains_key(id) => {
                self.vanished.insert(id.clone(), at_us + KEEP_US);
            }
            _ => {
                self.targets.remove(id);
            }
        }
    }

    /// Removes the targets that have not come back in time. Returns whether any
    /// was removed.
    pub fn expire(&mut self, now_us: u64) -> bool {
        let due: Vec<Name> = self
            .vanished
            .iter()
            .filter(|(_, until_us)| now_us >= **until_us)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.vanished.remove(id);
            self.targets.remove(id);
        }
        !due.is_empty()
    }
}
