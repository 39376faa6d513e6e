//! Configuration of routes, services and organisations, and its lookups.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Share of a route's traffic that goes to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrafficShare {
    /// Service that receives the share.
    pub service: Name,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host, in lower case and without a port.
    pub host: Name,
    /// Start of the path; it begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether a broken stream may go on at another target.
    pub can_resume: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time to the answer, or to the first event, that callers aim at.
    pub goal_ms: u64,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Services with their shares.
    pub shares: Vec<TrafficShare>,
    /// Largest number of targets that one request may run on.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns whether a request may run again after its outcome is unknown.
    pub const fn may_repeat(&self) -> bool {
        self.is_idempotent || (self.is_stream && self.can_resume)
    }
}

/// Limits of a model engine service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Memory of an engine for prompts and output, in tokens.
    pub memory_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Limits of its engines; plain services have none.
    pub engine: Option<EngineSpec>,
    /// Address, when the service is a KV cache store.
    pub kv_store_address: Option<SocketAddr>,
}

/// One organisation with its keys and rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Keys that callers present.
    pub keys: Vec<Name>,
    /// Rank that replaces the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept apart from all others.
    pub is_isolated: bool,
    /// Fleet-wide rate; 0 is no limit.
    pub rate_per_s: u64,
    /// Fleet-wide burst.
    pub burst: u64,
    /// Whether rate and burst count tokens; they count requests otherwise.
    pub counts_tokens: bool,
    /// Cost of a request that states no tokens.
    pub default_tokens: u64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Idle time after which a caller expects its connection to be closed.
    pub idle_timeout_ms: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version; later ones are larger.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Lookups over one configuration.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    organisations: Vec<Arc<Organisation>>,
    keys: HashMap<Name, Arc<Organisation>>,
}

impl RoutingTable {
    /// Indexes a configuration.
    ///
    /// ```
    /// use yuccalatch::direct::routing::{CallerLimits, Configuration, RoutingTable};
    ///
    /// let limits = CallerLimits { max_body_bytes: 1, idle_timeout_ms: 1 };
    /// let configuration = Configuration {
    ///     version: 3, routes: vec![], services: vec![], organisations: vec![], limits,
    /// };
    /// let table = RoutingTable::new(&configuration);
    /// assert!(table.route("a.example", "/x/").is_none());
    /// ```
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let organisations: Vec<Arc<Organisation>> = configuration
            .organisations
            .iter()
            .cloned()
            .map(Arc::new)
            .collect();
        let keys = organisations
            .iter()
            .flat_map(|organisation| {
                let keys = organisation.keys.iter();
                keys.map(|key| (key.clone(), Arc::clone(organisation)))
            })
            .collect();
        let services = configuration
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            hosts,
            services,
            organisations,
            keys,
        }
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation that holds a key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns whether callers need a key on routes that are not public.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the address of the KV cache store.
    pub fn kv_store_address(&self) -> Option<SocketAddr> {
        self.services
            .values()
            .find_map(|service| service.kv_store_address)
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }
}
