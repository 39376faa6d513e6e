//! Which route and organisation a request belongs to by a configuration.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::routing::{
    Organisation,
    Route,
    RoutingTable, //
};
use crate::{
    error::ErrorKind,
    names::Name, //
};

/// Route of a request and the organisation of its key.
#[derive(Clone, Debug)]
pub struct Authorization {
    /// Version of the configuration that says so.
    pub version: u64,
    /// Route with the longest prefix that matches the request.
    pub route: Arc<Route>,
    /// Organisation of the key, `None` for a request that needs none.
    pub organisation: Option<Arc<Organisation>>,
}

/// Returns the route of a request and the organisation of its key.
///
/// # Errors
///
/// Returns [`ErrorKind::RouteNotFound`], or [`ErrorKind::UnknownKey`] for an unknown or
/// missing key, unless the route is public or no organisations are configured.
///
/// ```
/// use yuccalatch::{
///     direct::{
///         authorization::authorize,
///         routing::{CallerLimits, Configuration, RoutingTable},
///     },
///     error::ErrorKind,
/// };
///
/// let limits = CallerLimits { max_body_bytes: 1, idle_timeout_ms: 1 };
/// let table = RoutingTable::new(&Configuration {
///     version: 1, routes: vec![], services: vec![], organisations: vec![], limits,
/// });
/// let refused = authorize(&table, "mill.example", "/order/", None).unwrap_err();
/// assert_eq!(refused, ErrorKind::RouteNotFound);
/// ```
pub fn authorize(
    table: &RoutingTable,
    host: &str,
    path: &str,
    key: Option<&Name>,
) -> Result<Authorization, ErrorKind> {
    let route = table.route(host, path).ok_or(ErrorKind::RouteNotFound)?;
    let organisation = key.and_then(|key| table.organisation_by_key(key));
    if organisation.is_none() && !route.is_public && table.has_organisations() {
        return Err(ErrorKind::UnknownKey);
    }
    Ok(Authorization {
        version: table.version,
        route: Arc::clone(route),
        organisation: organisation.cloned(),
    })
}

/// Chooses the service of a request by the shares of its route. The same id always
/// gets the same service.
pub(super) fn choose_service(route: &Route, id: Option<&str>) -> Name {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut point = xxh3_64(id.unwrap_or_default().as_bytes()) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return share.service.clone();
        }
        point -= weight;
    }
    route
        .shares
        .first()
        .map_or_else(|| Name::from(""), |share| share.service.clone())
}
