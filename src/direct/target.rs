//! Targets as the platform's list names them.

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
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

/// One target of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Id of this incarnation of the target.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Release of the target's software.
    pub release: Name,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Start of the target, Unix time in milliseconds.
    pub started_at_ms: u64,
    /// Version of the loaded weights of each model.
    pub weights: BTreeMap<Name, u64>,
}

/// Weights that the operator wants on all engines of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedWeights {
    /// Model.
    pub model: Name,
    /// Version of the weights.
    pub version: u64,
    /// Revision of the request in the object store. It grows with every change,
    /// so it serves as the fencing token of the orders.
    pub fence: u64,
}

/// All known targets by id.
pub type Targets = BTreeMap<Name, Arc<TargetRecord>>;
