//! Decides which targets and KV cache stores a request may reach.
//!
//! Load pattern: operators evacuate a data centre while traffic runs, some of them several
//! at once or again after a short time, and requests, retries and resumed streams must not
//! reach it any more. All candidates of a request come from [`Constraint`], so that no path
//! misses a rule. Requests of some routes and organisations may only run in certain
//! regions, also when there is no capacity left.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
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

/// Regions in which one request may run.
#[derive(Clone, Copy, Debug)]
struct AllowedRegions<'a> {
    /// Region of each data centre.
    regions: &'a BTreeMap<Name, Name>,
    /// Those of the route and of the organisation. An empty list allows all.
    allowed: [&'a [Name]; 2],
}

/// Rules for the targets of one request.
#[derive(Clone, Copy, Debug)]
pub struct Constraint<'a> {
    evacuated: Option<&'a BTreeSet<Name>>,
    /// `None` when the request may run in any region.
    regions: Option<AllowedRegions<'a>>,
}

impl<'a> Constraint<'a> {
    /// Builds the rules for a request without allowed regions.
    pub fn new(platform_state: &'a PlatformState) -> Self {
        let evacuations = platform_state.evacuations.as_ref();
        Self {
            evacuated: evacuations.map(|evacuations| &evacuations.data_centres),
            regions: None,
        }
    }

    /// Adds the allowed regions of a request's route and organisation; both apply. `regions`
    /// maps data centres to their regions. A data centre without one is in no allowed region.
    ///
    /// ```
    /// use yuccalatch::direct::{constraint::Constraint, platform_state::PlatformState};
    ///
    /// let (state, regions) = (PlatformState::default(), [("north".into(), "eu".into())].into());
    /// let allowed = ["eu".into()];
    /// let constraint = Constraint::new(&state).within(&regions, [&allowed, &[]]);
    /// assert!(constraint.allows(Some(&"north".into())));
    /// assert!(!constraint.allows(Some(&"south".into())));
    /// assert!(!constraint.allows(None));
    /// ```
    #[must_use]
    pub fn within(mut self, regions: &'a BTreeMap<Name, Name>, allowed: [&'a [Name]; 2]) -> Self {
        let has_rules = allowed.iter().any(|names| !names.is_empty());
        self.regions = has_rules.then_some(AllowedRegions { regions, allowed });
        self
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
        let is_evacuated = data_centre.is_some_and(|data_centre| {
            self.evacuated
                .is_some_and(|evacuated| evacuated.contains(data_centre))
        });
        !is_evacuated && self.is_in_allowed_region(data_centre)
    }

    fn is_in_allowed_region(&self, data_centre: Option<&Name>) -> bool {
        let Some(AllowedRegions { regions, allowed }) = self.regions else {
            return true;
        };
        let region = data_centre.and_then(|data_centre| regions.get(data_centre));
        region.is_some_and(|region| {
            let mut lists = allowed.iter();
            lists.all(|names| names.is_empty() || names.contains(region))
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
