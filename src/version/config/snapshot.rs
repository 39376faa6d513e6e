//! Immutable configuration with lookups.

use std::{
    collections::HashMap,
    hash::Hash,
    sync::Arc, //
};

use slotmap::{
    Key as SlotKey,
    SecondaryMap,
    SlotMap, //
};

use super::{
    object::{
        Kind,
        Move,
        Object,
        ObjectId,
        Organisation,
        Route,
        Service,
        Target,
        Version, //
    },
    routes::{
        RouteMiss,
        RouteTable, //
    },
};
use crate::{
    names::{
        Digest,
        Name, //
    },
    version::keys::KeyTable, //
};

slotmap::new_key_type! {
    /// Identifies an [`Organisation`] for as long as it exists.
    pub struct OrganisationKey;
    /// Identifies a [`Service`] for as long as it exists.
    pub struct ServiceKey;
    /// Identifies a [`Version`] for as long as it exists.
    pub struct VersionKey;
    /// Identifies a [`Target`] for as long as it exists.
    pub struct TargetKey;
    /// Identifies a [`Route`] for as long as it exists.
    pub struct RouteKey;
}

/// A target with its references resolved.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The object.
    pub target: Target,
    /// Service of the target.
    pub service: ServiceKey,
    /// Version that is loaded at first.
    pub version: VersionKey,
}

/// A route with its references resolved.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The object.
    pub route: Route,
    /// Service that receives the requests.
    pub service: ServiceKey,
    /// Organisations that may use the route in ascending order, or all.
    pub organisations: Option<Vec<OrganisationKey>>,
}

impl RouteEntry {
    /// Returns whether an organisation may use the route.
    pub fn admits(&self, organisation: OrganisationKey) -> bool {
        self.organisations
            .as_ref()
            .is_none_or(|list| list.binary_search(&organisation).is_ok())
    }
}

#[derive(Clone, Debug)]
struct Table<K: SlotKey, V> {
    rows: SlotMap<K, V>,
    keys: HashMap<Name, K>,
}

impl<K: SlotKey, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            rows: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }
}

impl<K: SlotKey + Hash, V> Table<K, V> {
    fn key(&self, name: &str) -> K {
        self.keys.get(name).copied().unwrap_or_default()
    }

    fn set(&mut self, name: &Name, value: V) {
        if let Some(row) = self.rows.get_mut(self.key(name)) {
            *row = value;
            return;
        }
        let key = self.rows.insert(value);
        self.keys.insert(name.clone(), key);
    }

    fn remove(&mut self, name: &str) {
        if let Some(key) = self.keys.remove(name) {
            self.rows.remove(key);
        }
    }
}

/// Immutable snapshot of the configuration.
///
/// Tables are shared between snapshots, so that a new one copies only the
/// tables that changed. Keys stay valid across snapshots until their object is
/// removed; a lookup with a key of a removed object returns `None`.
#[derive(Clone, Debug, Default)]
pub struct Config {
    revision: u64,
    organisations: Arc<Table<OrganisationKey, Organisation>>,
    services: Arc<Table<ServiceKey, Service>>,
    versions: Arc<Table<VersionKey, Version>>,
    targets: Arc<Table<TargetKey, TargetEntry>>,
    routes: Arc<Table<RouteKey, RouteEntry>>,
    moves: Arc<SecondaryMap<ServiceKey, Move>>,
    digests: Arc<KeyTable>,
    route_table: Arc<RouteTable>,
    targets_of: Arc<SecondaryMap<ServiceKey, Vec<TargetKey>>>,
}

macro_rules! lookups {
    ($($table:ident, $get:ident, $by_name:ident, $key:ident => $value:ident;)*) => {
        $(
            #[doc = concat!("Returns the [`", stringify!($value), "`] of a key.")]
            pub fn $get(&self, key: $key) -> Option<&$value> {
                self.$table.rows.get(key)
            }

            #[doc = concat!("Returns the [`", stringify!($key), "`] of a name.")]
            pub fn $by_name(&self, name: &str) -> Option<$key> {
                self.$table.keys.get(name).copied()
            }

            #[doc = concat!("Iterates over every [`", stringify!($value), "`].")]
            pub fn $table(&self) -> impl ExactSizeIterator<Item = ($key, &$value)> {
                self.$table.rows.iter()
            }
        )*
    };
}

impl Config {
    lookups! {
        organisations, organisation, organisation_by_name, OrganisationKey => Organisation;
        services, service, service_by_name, ServiceKey => Service;
        versions, version, version_by_name, VersionKey => Version;
        targets, target, target_by_name, TargetKey => TargetEntry;
        routes, route, route_by_name, RouteKey => RouteEntry;
    }

    /// Returns the number of tickets folded in, 0 before the first.
    ///
    /// ```
    /// assert_eq!(yuccalatch::version::config::Config::default().revision(), 0);
    /// ```
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the organisation that owns the key with this digest, compared in
    /// constant time.
    pub fn organisation_of_key(&self, digest: &Digest) -> Option<OrganisationKey> {
        self.digests.organisation(digest)
    }

    /// Returns the name of the key with this digest.
    pub fn key_of_digest(&self, digest: &Digest) -> Option<&Name> {
        self.digests.owner(digest)
    }

    /// Finds the route of a request.
    ///
    /// The longest path prefix decides alone; within it a route for the model
    /// goes before a route for any model. The path has to be normalised.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteMiss`] when no route accepts the request.
    ///
    /// ```
    /// use yuccalatch::version::config::{Config, RouteMiss};
    ///
    /// let config = Config::default();
    /// assert_eq!(config.find_route("GET", "/", None), Err(RouteMiss::NotFound));
    /// ```
    pub fn find_route(
        &self,
        method: &str,
        path: &str,
        model: Option<&str>,
    ) -> Result<RouteKey, RouteMiss> {
        self.route_table
            .find(&self.routes.rows, method, path, model)
    }

    /// Returns the targets of a service in the order of their names.
    pub fn targets_of(&self, service: ServiceKey) -> &[TargetKey] {
        self.targets_of.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the move of a service.
    pub fn move_of(&self, service: ServiceKey) -> Option<&Move> {
        self.moves.get(service)
    }

    pub(super) fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Stores an object whose references exist already.
    pub(super) fn set(&mut self, object: &Object) {
        match object {
            Object::Organisation(row) => {
                Arc::make_mut(&mut self.organisations).set(&row.name, row.clone());
            }
            Object::Key(row) => {
                let organisation = self.organisations.key(&row.organisation);
                Arc::make_mut(&mut self.digests).insert(row.name.clone(), row.digest, organisation);
            }
            Object::Service(row) => {
                Arc::make_mut(&mut self.services).set(&row.name, row.clone());
            }
            Object::Version(row) => {
                Arc::make_mut(&mut self.versions).set(&row.name, row.clone());
            }
            Object::Target(row) => self.set_target(row),
            Object::Route(row) => self.set_route(row),
            Object::Move(row) => {
                let service = self.services.key(&row.service);
                Arc::make_mut(&mut self.moves).insert(service, row.clone());
            }
        }
    }

    /// Removes the previous state of an object.
    ///
    /// Rows of tables stay when `replaced`, so that their keys stay valid.
    pub(super) fn unset(&mut self, object: &Object, replaced: bool) {
        match object {
            Object::Key(row) => {
                Arc::make_mut(&mut self.digests).remove(&row.name, &row.digest);
            }
            Object::Move(row) => {
                let service = self.services.key(&row.service);
                Arc::make_mut(&mut self.moves).remove(service);
            }
            _ if replaced => {}
            _ => self.remove_row(&object.id()),
        }
    }

    /// Rebuilds the indexes that depend on objects of the given kind.
    pub(super) fn reindex(&mut self, kind: Kind) {
        match kind {
            Kind::Route => self.route_table = Arc::new(RouteTable::build(&self.routes.rows)),
            Kind::Target => self.targets_of = Arc::new(self.group_targets()),
            _ => {}
        }
    }

    fn remove_row(&mut self, id: &ObjectId) {
        match id.kind {
            Kind::Organisation => Arc::make_mut(&mut self.organisations).remove(&id.name),
            Kind::Service => Arc::make_mut(&mut self.services).remove(&id.name),
            Kind::Version => Arc::make_mut(&mut self.versions).remove(&id.name),
            Kind::Target => Arc::make_mut(&mut self.targets).remove(&id.name),
            Kind::Route => Arc::make_mut(&mut self.routes).remove(&id.name),
            Kind::Key | Kind::Move => {}
        }
    }

    fn set_target(&mut self, target: &Target) {
        let entry = TargetEntry {
            target: target.clone(),
            service: self.services.key(&target.service),
            version: self.versions.key(&target.version),
        };
        Arc::make_mut(&mut self.targets).set(&target.name, entry);
    }

    fn set_route(&mut self, route: &Route) {
        let organisations = route.organisations.as_ref().map(|names| {
            let mut keys: Vec<_> = names
                .iter()
                .map(|name| self.organisations.key(name))
                .collect();
            keys.sort_unstable();
            keys
        });
        let entry = RouteEntry {
            route: route.clone(),
            service: self.services.key(&route.service),
            organisations,
        };
        Arc::make_mut(&mut self.routes).set(&route.name, entry);
    }

    fn group_targets(&self) -> SecondaryMap<ServiceKey, Vec<TargetKey>> {
        let mut names: Vec<_> = self.targets.keys.iter().collect();
        names.sort_unstable();
        let mut groups: SecondaryMap<ServiceKey, Vec<TargetKey>> = SecondaryMap::new();
        for (_, key) in names {
            let service = self.targets.rows[*key].service;
            if let Some(group) = groups.entry(service) {
                group.or_default().push(*key);
            }
        }
        groups
    }
}
