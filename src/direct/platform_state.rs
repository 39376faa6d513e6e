//! A process's copy of the objects in the platform's store.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc, //
};

use super::{
    constraint::Evacuations,
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
    service_rollout::RolloutOrder,
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

/// Time after an outage of the store within which the records of live targets are
/// back in it; stated by the platform.
pub const RECORD_RETURN_US: u64 = 2 * US_PER_S;

/// Time after an outage of the store up to which the removal of targets is
/// deferred. It leaves a margin before a target that has really left must be
/// avoided.
const REMOVAL_DEFERRAL_US: u64 = RECORD_RETURN_US - 200 * US_PER_MS;

/// Rollout of new weights to the engines of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsRollout {
    /// Latest weights that the operator wants.
    pub weights: WantedWeights,
    /// Wanted versions, the latest last, each with the time at which this process
    /// received it.
    pub wanted_versions: Vec<(u64, u64)>,
    /// Ready engines of the model in the order of their turns, as of the receipt of
    /// the latest version. An agent derives them again when objects change.
    pub turns: Arc<[Name]>,
}

/// Wanted versions that are kept per model. All engines have passed older ones
/// long before.
const MAX_WANTED_VERSIONS: usize = 16;

impl WeightsRollout {
    /// Returns when this process first received a later version than the given one,
    /// `None` when there is none.
    pub fn outdated_since_us(&self, version: u64) -> Option<u64> {
        let later = self
            .wanted_versions
            .iter()
            .find(|(wanted_version, _)| *wanted_version > version);
        later.map(|(_, at_us)| *at_us)
    }
}

/// Objects of the platform's store that a process has received.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// Configuration; its version is a revision of the store.
    pub configuration: Option<Arc<Configuration>>,
    /// Lookup tables built from the configuration.
    pub table: Option<Arc<RoutingTable>>,
    /// Targets by id.
    pub targets: Targets,
    /// Whether a complete list of targets was ever received.
    pub has_targets: bool,
    /// Whether the wanted weights were ever listed. There may be none yet.
    pub has_weights: bool,
    /// Rollouts of weights by model.
    pub rollouts: BTreeMap<Name, WeightsRollout>,
    /// Orders to move services to other releases, by service.
    pub service_rollouts: BTreeMap<Name, RolloutOrder>,
    /// Registered entries by name.
    pub entries: BTreeMap<Name, EntryRecord>,
    /// Revision of the store up to which `targets` is complete.
    pub targets_revision: u64,
    /// Targets whose record went missing around an outage of the store, with the
    /// time at which they are removed.
    pub deferred_removals: BTreeMap<Name, u64>,
    /// Targets that another target has replaced at their address, with their start
    /// in Unix milliseconds. Their records stay in the store for seconds after they
    /// have ended.
    pub replaced: BTreeMap<Name, u64>,
    /// Evacuated data centres, `None` until a complete set was received.
    pub evacuations: Option<Evacuations>,
}

impl PlatformState {
    /// Returns whether requests can be routed: there are a configuration and a list
    /// of targets.
    pub const fn can_route(&self) -> bool {
        self.table.is_some() && self.has_targets
    }

    /// Returns whether the configuration, the targets and the wanted weights have been
    /// received, so that only their changes are missing.
    ///
    /// ```
    /// use yuccalatch::direct::platform_state::PlatformState;
    ///
    /// assert!(!PlatformState::default().has_initial_state());
    /// ```
    pub const fn has_initial_state(&self) -> bool {
        self.can_route() && self.has_weights
    }

    /// Returns whether requests can be routed and it is known which data centres are
    /// evacuated. Without that, an entry that has just started would send to them.
    ///
    /// ```
    /// use yuccalatch::direct::platform_state::PlatformState;
    ///
    /// assert!(!PlatformState::default().can_serve());
    /// ```
    pub const fn can_serve(&self) -> bool {
        self.can_route() && self.evacuations.is_some()
    }

    /// Returns the control addresses of the registered entries, in the order of their
    /// names.
    ///
    /// ```
    /// use yuccalatch::direct::platform_state::PlatformState;
    ///
    /// assert_eq!(PlatformState::default().entry_addresses().count(), 0);
    /// ```
    pub fn entry_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.values().map(|entry| entry.control_address)
    }

    /// Returns the time since this process received the latest wanted weights of a
    /// model, [`u64::MAX`] when none were wanted yet.
    ///
    /// ```
    /// use yuccalatch::direct::platform_state::PlatformState;
    ///
    /// assert_eq!(PlatformState::default().weights_age_us("m", 7), u64::MAX);
    /// ```
    pub fn weights_age_us(&self, model: &str, now_us: u64) -> u64 {
        let rollout = self.rollouts.get(model);
        let latest = rollout.and_then(|rollout| rollout.wanted_versions.last());
        latest.map_or(u64::MAX, |(_, at_us)| now_us.saturating_sub(*at_us))
    }

    /// Returns the fencing token of orders to engines: the highest of all wanted weights.
    /// Those of one model alone are in no order with those of another one, and an engine
    /// may have several models.
    ///
    /// ```
    /// use yuccalatch::direct::{platform_state::PlatformState, target::WantedWeights};
    ///
    /// let mut state = PlatformState::default();
    /// for (model, fence) in [("oak", 9), ("elm", 7)] {
    ///     state.adopt_weights(WantedWeights { model: model.into(), version: 1, fence }, 0);
    /// }
    /// assert_eq!(state.order_fence(), 9);
    /// ```
    pub fn order_fence(&self) -> u64 {
        let rollouts = self.rollouts.values();
        let fences = rollouts.map(|rollout| rollout.weights.fence);
        fences.max().unwrap_or(0)
    }

    /// Adopts a configuration unless the same or a later one is in force. Returns
    /// whether it was adopted.
    pub fn adopt_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let current = self.configuration.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= configuration.version) {
            return false;
        }
        self.table = Some(Arc::new(RoutingTable::new(&configuration)));
        self.configuration = Some(configuration);
        true
    }

    /// Adopts the wanted weights of a model unless the same or later ones are known.
    /// Returns whether they were adopted.
    pub fn adopt_weights(&mut self, weights: WantedWeights, now_us: u64) -> bool {
        let current = self.rollouts.get(&weights.model);
        if current.is_some_and(|current| current.weights.version >= weights.version) {
            return false;
        }
        let turns = super::turns::turn_order(&self.targets, &weights.model);
        let mut wanted_versions = current
            .map(|current| current.wanted_versions.clone())
            .unwrap_or_default();
        wanted_versions.push((weights.version, now_us));
        let surplus = wanted_versions.len().saturating_sub(MAX_WANTED_VERSIONS);
        wanted_versions.drain(..surplus);
        let rollout = WeightsRollout {
            weights,
            wanted_versions,
            turns,
        };
        self.rollouts.insert(rollout.weights.model.clone(), rollout);
        true
    }

    /// Adopts an order to move a service unless the same or a later one is known. Returns
    /// whether it was adopted.
    pub fn adopt_rollout(&mut self, order: RolloutOrder) -> bool {
        let known = self.service_rollouts.get(&order.service);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        self.service_rollouts.insert(order.service.clone(), order);
        true
    }

    /// Adopts a complete set of evacuated data centres unless the same or a later one is
    /// known. Returns whether it was adopted.
    ///
    /// ```
    /// use yuccalatch::direct::{constraint::Evacuations, platform_state::PlatformState};
    ///
    /// let mut state = PlatformState::default();
    /// assert!(state.adopt_evacuations(Evacuations::default()));
    /// assert!(!state.adopt_evacuations(Evacuations::default()));
    /// ```
    pub fn adopt_evacuations(&mut self, evacuations: Evacuations) -> bool {
        let known = self.evacuations.as_ref();
        if known.is_some_and(|known| known.revision >= evacuations.revision) {
            return false;
        }
        self.evacuations = Some(evacuations);
        true
    }

    /// Applies changes of the evacuations, unless another entry has reported a later set.
    fn apply_evacuations(&mut self, changes: ObjectChanges, is_listing: bool) {
        let known = self.evacuations.as_ref();
        if known.is_some_and(|known| known.revision > changes.revision) {
            return;
        }
        let mut data_centres = match known {
            Some(known) if !is_listing => known.data_centres.clone(),
            _ => BTreeSet::new(),
        };
        for change in changes.changes {
            match change {
                ObjectChange::Evacuated(name) => {
                    data_centres.insert(name);
                }
                ObjectChange::EvacuationEnded(name) => {
                    data_centres.remove(&name);
                }
                _ => {}
            }
        }
        self.evacuations = Some(Evacuations {
            revision: changes.revision,
            data_centres,
        });
    }

    /// Applies changes of a topic; a listing holds all its objects. `recovered_at_us`
    /// is when the store last answered again after an outage.
    pub fn apply(
        &mut self,
        topic: Topic,
        changes: ObjectChanges,
        is_listing: bool,
        recovered_at_us: Option<u64>,
        now_us: u64,
    ) {
        if topic == Topic::Evacuations {
            self.apply_evacuations(changes, is_listing);
            return;
        }
        if topic == Topic::Weights {
            self.has_weights |= is_listing;
        }
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
                ObjectChange::Target(record) => self.upsert_target(record, is_listing),
                ObjectChange::TargetRemoved(id) | ObjectChange::UnreadableTarget(id, _) => {
                    self.remove_target(&id, recovered_at_us, now_us);
                }
                ObjectChange::Weights(weights) => {
                    self.adopt_weights(weights, now_us);
                }
                ObjectChange::Entry(entry) => {
                    self.entries.insert(entry.name.clone(), entry);
                }
                ObjectChange::EntryRemoved(name) => {
                    self.entries.remove(&name);
                }
                ObjectChange::Rollout(order) => {
                    self.adopt_rollout(order);
                }
                ObjectChange::Evacuated(_)
                | ObjectChange::EvacuationEnded(_)
                | ObjectChange::Unreadable(..) => {}
            }
        }
    }

    /// Inserts or updates a target, and removes an earlier target at its address: a
    /// server that starts there proves that the earlier one has ended.
    fn upsert_target(&mut self, record: TargetRecord, is_listing: bool) {
        if self.replaced.get(&record.id) == Some(&record.started_at_ms) {
            return;
        }
        self.deferred_removals.remove(&record.id);
        let is_known = self.targets.contains_key(&record.id);
        let has_same_address = |other: &&Arc<TargetRecord>| {
            other.address == record.address
                && other.service == record.service
                && other.id != record.id
        };
        let other = self.targets.values().find(has_same_address).map(Arc::clone);
        if let Some(other) = other {
            // Changes arrive in the order of the starts, a listing does not.
            let is_later = if is_listing {
                record.started_at_ms > other.started_at_ms
            } else {
                !is_known
            };
            let is_earlier = is_listing && record.started_at_ms < other.started_at_ms;
            if is_later {
                self.targets.remove(&other.id);
                self.deferred_removals.remove(&other.id);
                self.replaced.insert(other.id.clone(), other.started_at_ms);
            } else if is_earlier {
                self.replaced.insert(record.id, record.started_at_ms);
                return;
            }
        }
        self.targets.insert(record.id.clone(), Arc::new(record));
    }

    /// Removes the targets that are not in a listing.
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
        let listed: BTreeSet<&Name> = changes
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

    /// Removes a target. The removal is deferred if the record may only have expired
    /// during an outage of the store.
    fn remove_target(&mut self, id: &Name, recovered_at_us: Option<u64>, now_us: u64) {
        self.replaced.remove(id);
        match recovered_at_us {
            Some(at_us)
                if now_us < at_us + REMOVAL_DEFERRAL_US && self.targets.contains_key(id) =>
            {
                self.deferred_removals
                    .insert(id.clone(), at_us + REMOVAL_DEFERRAL_US);
            }
            _ => {
                self.targets.remove(id);
            }
        }
    }

    /// Carries out the deferred removals that are due. Returns whether any target
    /// was removed.
    pub fn expire(&mut self, now_us: u64) -> bool {
        let due: Vec<Name> = self
            .deferred_removals
            .iter()
            .filter(|(_, due_at_us)| now_us >= **due_at_us)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.deferred_removals.remove(id);
            self.targets.remove(id);
        }
        !due.is_empty()
    }
}
