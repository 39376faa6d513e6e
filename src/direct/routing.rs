//! Configuration of routes, services and organisations, and lookups in it.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
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
    /// Weight of the share, relative to the route's other shares.
    pub weight: u32,
}

/// A host and path prefix, with the rules for the requests that match them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: Name,
    /// Host that requests name, in lower case and without a port.
    pub host: Name,
    /// Start of the paths that match. It begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether the answer is a stream of server-sent events.
    pub is_stream: bool,
    /// Whether another target may resume a broken stream.
    pub can_resume: bool,
    /// Longest time that a caller is kept waiting for an answer.
    pub timeout_ms: u64,
    /// Desired time to the answer, or to the first event of a stream.
    pub goal_ms: u64,
    /// Desired longest gap between the events of a stream, 0 when none is stated.
    pub gap_goal_ms: u64,
    /// Priority of requests; 0 is served first.
    pub priority: u8,
    /// Services that get the route's requests, and in which proportion.
    pub shares: Vec<TrafficShare>,
    /// Largest number of targets on which one request may run.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions whose targets requests may reach; all when the list is empty.
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Returns whether a request may be sent again when the outcome of the first
    /// attempt is unknown.
    pub const fn may_repeat(&self) -> bool {
        self.is_idempotent || (self.is_stream && self.can_resume)
    }
}

/// Limits of each engine of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of prompts and output that an engine's memory holds.
    pub memory_tokens: u64,
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name by which routes and targets refer to the service.
    pub name: Name,
    /// Limits of its engines; `None` for a service without engines.
    pub engine: Option<EngineSpec>,
    /// Address of the KV cache store, when the service is one.
    pub kv_store_address: Option<SocketAddr>,
    /// Data centre of the KV cache store, `None` when it is not stated.
    pub kv_store_data_centre: Option<Name>,
    /// Time for which its targets are cold after their start.
    pub cold_start_ms: u64,
    /// Requests that a cold target tolerates in a thousand seconds, over all entries; 0
    /// when its targets are never cold.
    pub cold_milli_per_s: u64,
}

/// An organisation whose callers send requests, with its API keys and rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Organisation {
    /// Name that labels its metrics.
    pub name: Name,
    /// API keys that callers of the organisation present.
    pub keys: Vec<Name>,
    /// Priority that replaces the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are kept apart from those of other organisations.
    pub is_isolated: bool,
    /// Rate over all entries, in tokens or requests; 0 is no limit.
    pub rate_per_s: u64,
    /// Burst over all entries, in tokens or requests.
    pub burst: u64,
    /// Whether rate and burst count tokens, not requests.
    pub counts_tokens: bool,
    /// Cost of a request that states no token counts, where tokens are counted.
    pub default_tokens: u64,
    /// Regions whose targets its requests may reach; all when the list is empty.
    pub allowed_regions: Vec<Name>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest accepted request body.
    pub max_body_bytes: usize,
    /// Time after which callers expect an idle connection to be closed.
    pub idle_timeout_ms: u64,
}

/// The operator's configuration of the direct path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version; later ones are larger.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services to which routes refer, and the KV cache store.
    pub services: Vec<Service>,
    /// Organisations; when there are none, callers need no key.
    pub organisations: Vec<Organisation>,
    /// Limits for all callers.
    pub limits: CallerLimits,
}

/// One configuration, indexed for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits for all callers.
    pub limits: CallerLimits,
    /// Routes by host, those with the longest prefix first.
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    /// Shortest desired gap between events of the streams of each service.
    gap_goals_ms: HashMap<Name, u64>,
    kv_stores: Arc<[SocketAddr]>,
    /// Data centres of the KV cache stores that state one.
    kv_store_data_centres: HashMap<SocketAddr, Name>,
    organisations: Vec<Arc<Organisation>>,
    organisations_by_key: HashMap<Name, Arc<Organisation>>,
}

/// Returns a host without its port. The colons of an IPv6 address in brackets do not
/// start a port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => name,
        _ => host,
    }
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
        let mut routes_by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let organisations: Vec<Arc<Organisation>> = configuration
            .organisations
            .iter()
            .cloned()
            .map(Arc::new)
            .collect();
        let organisations_by_key = organisations
            .iter()
            .flat_map(|organisation| {
                let keys = organisation.keys.iter();
                keys.map(|key| (key.clone(), Arc::clone(organisation)))
            })
            .collect();
        let kv_stores: BTreeSet<SocketAddr> = configuration
            .services
            .iter()
            .filter_map(|service| service.kv_store_address)
            .collect();
        let kv_store_data_centres = configuration
            .services
            .iter()
            .filter_map(|service| {
                let data_centre = service.kv_store_data_centre.clone();
                service.kv_store_address.zip(data_centre)
            })
            .collect();
        let services = configuration
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        let mut gap_goals_ms: HashMap<Name, u64> = HashMap::new();
        for route in &configuration.routes {
            if route.gap_goal_ms == 0 {
                continue;
            }
            for share in &route.shares {
                let goal_ms = gap_goals_ms
                    .entry(share.service.clone())
                    .or_insert(u64::MAX);
                *goal_ms = route.gap_goal_ms.min(*goal_ms);
            }
        }
        Self {
            gap_goals_ms,
            version: configuration.version,
            limits: configuration.limits,
            routes_by_host,
            services,
            kv_stores: kv_stores.into_iter().collect(),
            kv_store_data_centres,
            organisations,
            organisations_by_key,
        }
    }

    /// Returns the route of a host with the longest prefix that matches the path. The
    /// host may have a port and capital letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self
                .routes_by_host
                .get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the organisation to which an API key belongs.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations_by_key.get(key)
    }

    /// Returns whether any organisation is configured. If so, callers need a key on
    /// routes that are not public.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the shortest desired gap between events of a service's streams, `None` when
    /// no route states one.
    pub fn gap_goal_ms(&self, service: &str) -> Option<u64> {
        self.gap_goals_ms.get(service).copied()
    }

    /// Returns the addresses of the KV cache stores, in ascending order.
    pub const fn kv_stores(&self) -> &Arc<[SocketAddr]> {
        &self.kv_stores
    }

    /// Returns the data centre of a KV cache store, `None` when it is not stated.
    pub fn kv_store_data_centre(&self, address: SocketAddr) -> Option<&Name> {
        self.kv_store_data_centres.get(&address)
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }
}
