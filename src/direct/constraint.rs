//! Decides which targets and KV cache stores a request may reach.
//!
//! Load pattern: operators evacuate a data centre while traffic runs, some of them several
//! at once or again after a short time, and requests, retries and resumed streams must not
//! reach it any more. All candidates of a request come from [`Constraint`], so that no path
//! misses a rule.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    platform_state::PlatformState,
    target::{
        TargetRecord,
        TargetState, //
    },
};
use crate::names::Name;

/// All evacuated data centres at a revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Revision at which the set is complete.
    pub revision: u64,
    /// Data centres whose targets get no new work.
    pub data_centres: BTreeSet<Name>,
}

/// Rules for the targets of one request.
#[derive(Clone, Copy, Debug)]
pub struct Constraint<'a> {
    evacuated: Option<&'a BTreeSet<Name>>,
}

impl<'a> Constraint<'a> {
    /// Builds the rules that are in force.
    pub fn new(platform_state: &'a PlatformState) -> Self {
        let evacuations = platform_state.evacuations.as_ref();
        Self {
            evacuated: evacuations.map(|evacuations| &evacuations.data_centres),
        }
    }

    /// Returns whether requests may reach a data centre. `None` is one that is not stated.
    ///
    /// ```
    /// use yuccalatch::direct::{
    ///     constraint::{Constraint, Evacuations},
    ///     platform_state::PlatformState,
    /// };
    ///
    /// let mut state = PlatformState::default();
    /// let data_centres = ["north".into()].into();
    /// state.adopt_evacuations(Evacuations { revision: 1, data_centres });
    /// let constraint = Constraint::new(&state);
    /// assert!(!constraint.allows(Some(&"north".into())));
    /// assert!(constraint.allows(Some(&"south".into())));
    /// assert!(constraint.allows(None));
    /// ```
    pub fn allows(&self, data_centre: Option<&Name>) -> bool {
        data_centre.is_none_or(|data_centre| {
            self.evacuated
                .is_none_or(|evacuated| !evacuated.contains(data_centre))
        })
    }

    /// Returns those of the KV cache stores that the request may use.
    pub fn kv_stores(
        &self,
        platform_state: &PlatformState,
        stores: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let table = platform_state.table.as_ref();
        let data_centre = |store| table.and_then(|table| table.kv_store_data_centre(store));
        let stores = stores.iter().copied();
        stores
            .filter(|store| self.allows(data_centre(*store)))
            .collect()
    }

    /// Returns the ready targets of a service that the request may reach.
    pub fn targets(
        &self,
        platform_state: &'a PlatformState,
        service: &Name,
    ) -> impl Iterator<Item = &'a Arc<TargetRecord>> {
        platform_state.targets.values().filter(move |record| {
            record.service == *service
                && record.state == TargetState::Ready
                && self.allows(Some(&record.data_centre))
        })
    }
}
