//! Folded configuration: objects, lookups and the state built from tickets.

mod fold;
mod object;
mod routes;
mod snapshot;

pub use fold::{
    Applied,
    Entry,
    Fold,
    Image,
    Removal,
    Update, //
};
pub use object::{
    Access,
    Key,
    Kind,
    Move,
    Object,
    ObjectId,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    Version, //
};
pub use routes::RouteMiss;
pub use snapshot::{
    Config,
    OrganisationKey,
    RouteEntry,
    RouteKey,
    ServiceKey,
    TargetEntry,
    TargetKey,
    VersionKey, //
};
