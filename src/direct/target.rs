//! Targets and wanted weights, as the platform's object store lists them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// The target takes new work.
    Ready,
    /// The target finishes its running work and then stops.
    Draining,
}

/// One target in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Id of this incarnation of the target.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Release of the target's software.
    pub release: Name,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// When the target started, as Unix time.
    pub started_at_ms: u64,
    /// Version of the loaded weights, by model.
    pub weights: BTreeMap<Name, u64>,
    /// Remaining cold time when the record was written.
    pub cold_left_ms: u64,
    /// Revision of the store at the record's last change.
    pub revision: u64,
}

/// Weights that the operator wants on all engines of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedWeights {
    /// Model that the weights belong to.
    pub model: Name,
    /// Version that is wanted; later ones are larger.
    pub version: u64,
    /// Fencing token of the orders to load these weights: the revision of this object
    /// in the object store, which grows with every change.
    pub fence: u64,
}

/// All known targets by id.
pub type Targets = BTreeMap<Name, Arc<TargetRecord>>;
