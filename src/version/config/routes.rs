//! Route lookup by path prefix, model and method.

use std::{
    collections::HashMap,
    fmt, //
};

use slotmap::SlotMap;

use super::snapshot::{
    RouteEntry,
    RouteKey, //
};

/// Why no route serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMiss {
    /// No route matches the path and model.
    NotFound,
    /// The route does not accept the method.
    MethodNotAllowed,
}

impl fmt::Display for RouteMiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotFound => "no route matches the path and model",
            Self::MethodNotAllowed => "the route does not accept the method",
        })
    }
}

impl std::error::Error for RouteMiss {}

/// Routes by path prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteTable {
    by_prefix: HashMap<String, Vec<RouteKey>>,
    // Longer parts of a path are not searched, which bounds the work that a
    // long path causes.
    longest_prefix_bytes: usize,
}

impl RouteTable {
    /// Builds the table from all routes.
    pub(super) fn build(routes: &SlotMap<RouteKey, RouteEntry>) -> Self {
        let mut table = Self::default();
        for (key, entry) in routes {
            let prefix = stem(&entry.route.path_prefix);
            table.longest_prefix_bytes = table.longest_prefix_bytes.max(prefix.len());
            table
                .by_prefix
                .entry(prefix.to_owned())
                .or_default()
                .push(key);
        }
        table
    }

    /// Finds the route of a request.
    ///
    /// The longest prefix decides alone: a request that it does not accept
    /// never falls through to a shorter prefix, which might be public.
    pub(super) fn find(
        &self,
        routes: &SlotMap<RouteKey, RouteEntry>,
        method: &str,
        path: &str,
        model: Option<&str>,
    ) -> Result<RouteKey, RouteMiss> {
        let keys = self.longest_match(path).ok_or(RouteMiss::NotFound)?;
        let named = candidates(routes, keys, |route_model| {
            route_model.is_some() && route_model == model
        });
        let candidates = if named.is_empty() {
            candidates(routes, keys, |route_model| route_model.is_none())
        } else {
            named
        };
        if candidates.is_empty() {
            return Err(RouteMiss::NotFound);
        }
        candidates
            .into_iter()
            .find(|key| routes[*key].route.methods.iter().any(|m| m == method))
            .ok_or(RouteMiss::MethodNotAllowed)
    }

    fn longest_match(&self, path: &str) -> Option<&[RouteKey]> {
        let path = path.trim_end_matches('/');
        let mut end = path.len();
        loop {
            if end <= self.longest_prefix_bytes
                && let Some(keys) = self.by_prefix.get(&path[..end])
            {
                return Some(keys);
            }
            end = path[..end].rfind('/')?;
        }
    }
}

fn stem(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn candidates(
    routes: &SlotMap<RouteKey, RouteEntry>,
    keys: &[RouteKey],
    accepts: impl Fn(Option<&str>) -> bool,
) -> Vec<RouteKey> {
    keys.iter()
        .copied()
        .filter(|key| accepts(routes[*key].route.model.as_deref()))
        .collect()
}
