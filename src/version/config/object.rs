//! Objects that tickets create, replace and remove.

use std::{
    fmt,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::{
        Digest,
        Name, //
    },
    version::rollout::plan::Pace, //
};

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Organisation`].
    Organisation,
    /// [`Service`].
    Service,
    /// [`Version`].
    Version,
    /// [`Target`].
    Target,
    /// [`Key`].
    Key,
    /// [`Route`].
    Route,
    /// [`Move`].
    Move,
}

impl Kind {
    /// All kinds. An object refers only to objects of earlier kinds.
    pub const ALL: &'static [Self] = &[
        Self::Organisation,
        Self::Service,
        Self::Version,
        Self::Target,
        Self::Key,
        Self::Route,
        Self::Move,
    ];

    /// Returns the name used in tickets.
    ///
    /// ```
    /// use yuccalatch::version::config::Kind;
    ///
    /// assert_eq!(Kind::Organisation.name(), "organisation");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Service => "service",
            Self::Version => "version",
            Self::Target => "target",
            Self::Key => "key",
            Self::Route => "route",
            Self::Move => "move",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Identifies an object.
///
/// ```
/// use yuccalatch::version::config::{Kind, ObjectId};
///
/// let id = ObjectId::new(Kind::Key, "acme-1");
/// assert_eq!(id.to_string(), "key `acme-1`");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: Name,
}

impl ObjectId {
    /// Makes an id from its parts.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

/// A customer that owns keys and a token rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name.
    pub name: Name,
    /// Tokens per second over the whole fleet.
    pub rate_tokens_per_s: u64,
    /// Tokens that may be used at once after a pause.
    pub burst_tokens: u64,
    /// Share in the fair queue relative to other organisations.
    pub weight: u32,
}

/// A caller's key, known by its digest only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name.
    pub name: Name,
    /// Organisation that the key belongs to.
    pub organisation: Name,
    /// SHA-256 of the key text.
    pub digest: Digest,
}

/// What the targets of a service are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain servers.
    Plain,
}

/// A set of interchangeable targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// What the targets are.
    pub kind: ServiceKind,
    /// Model that callers name; present on model services only.
    pub model: Option<Name>,
    /// Tokens in one cache block of the engines; 0 on plain services.
    pub block_tokens: u32,
    /// Targets of one data centre that may load weights at the same time.
    pub parallel_loads: u32,
    /// Time to load new weights on one target, in milliseconds.
    pub load_ms: u64,
}

/// One set of model weights, or one release of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name.
    pub name: Name,
    /// Service that the version belongs to.
    pub service: Name,
    /// Name in the weight store.
    pub weights: Name,
}

/// Something that requests are sent to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name.
    pub name: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Data centre that the target stands in.
    pub data_centre: Name,
    /// Data listener of the agent.
    pub address: SocketAddr,
    /// Control listener of the agent.
    pub control_address: SocketAddr,
    /// Version that is loaded at first.
    pub version: Name,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers with a key.
    Keyed,
    /// Everybody.
    Public,
}

/// Matches requests and names their service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Path that matches together with all paths below it.
    pub path_prefix: String,
    /// Methods in upper case.
    pub methods: Vec<String>,
    /// Model that the request has to name, or any.
    pub model: Option<Name>,
    /// Service that receives the requests.
    pub service: Name,
    /// Who may use the route.
    pub access: Access,
    /// Organisations that may use a keyed route, or all.
    pub organisations: Option<Vec<Name>>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time allowed for a request, in milliseconds.
    pub timeout_ms: u64,
}

/// Shifts the traffic of a service from one version to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Name.
    pub name: Name,
    /// Service whose traffic moves.
    pub service: Name,
    /// Version in use now.
    pub from: Name,
    /// Version to use.
    pub to: Name,
    /// Requested time of completion, in Unix milliseconds.
    pub finish_by_unix_ms: u64,
    /// Requests per minute of the route with the least traffic that the
    /// evidence has to cover.
    #[serde(default = "default_quietest_requests_per_min")]
    pub quietest_requests_per_min: u64,
    /// Shortest times of the steps.
    #[serde(default)]
    pub pace: Pace,
}

/// With one request per minute every step is planned at its longest time. A move
/// with more traffic makes its steps earlier, so that the default costs time in
/// the plan but no evidence.
const fn default_quietest_requests_per_min() -> u64 {
    1
}

/// Complete state of one object.
///
/// ```
/// use yuccalatch::version::config::Object;
///
/// let text = r#"{"version": {"name": "v1", "service": "draft", "weights": "w1"}}"#;
/// let object: Object = serde_json::from_str(text).unwrap();
/// assert_eq!(object.id().to_string(), "version `v1`");
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A customer.
    Organisation(Organisation),
    /// A caller's key.
    Key(Key),
    /// A set of interchangeable targets.
    Service(Service),
    /// A set of weights.
    Version(Version),
    /// An engine or plain server.
    Target(Target),
    /// A rule from request to service.
    Route(Route),
    /// A rollout.
    Move(Move),
}

impl Object {
    /// Returns the kind of the object.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Organisation(_) => Kind::Organisation,
            Self::Key(_) => Kind::Key,
            Self::Service(_) => Kind::Service,
            Self::Version(_) => Kind::Version,
            Self::Target(_) => Kind::Target,
            Self::Route(_) => Kind::Route,
            Self::Move(_) => Kind::Move,
        }
    }

    /// Returns the name of the object.
    pub const fn name(&self) -> &Name {
        match self {
            Self::Organisation(object) => &object.name,
            Self::Key(object) => &object.name,
            Self::Service(object) => &object.name,
            Self::Version(object) => &object.name,
            Self::Target(object) => &object.name,
            Self::Route(object) => &object.name,
            Self::Move(object) => &object.name,
        }
    }

    /// Returns the id of the object.
    pub fn id(&self) -> ObjectId {
        ObjectId::new(self.kind(), self.name().clone())
    }

    /// Returns the objects that this one refers to, with the field that does.
    ///
    /// ```
    /// use yuccalatch::version::config::{Object, Version};
    ///
    /// let version = Object::Version(Version {
    ///     name: "v1".into(),
    ///     service: "draft".into(),
    ///     weights: "w1".into(),
    /// });
    /// let (field, id) = &version.references()[0];
    /// assert_eq!((*field, id.to_string().as_str()), ("service", "service `draft`"));
    /// ```
    pub fn references(&self) -> Vec<(&'static str, ObjectId)> {
        let id = |kind, name: &Name| ObjectId::new(kind, name.clone());
        match self {
            Self::Organisation(_) | Self::Service(_) => Vec::new(),
            Self::Key(key) => vec![("organisation", id(Kind::Organisation, &key.organisation))],
            Self::Version(version) => vec![("service", id(Kind::Service, &version.service))],
            Self::Target(target) => vec![
                ("service", id(Kind::Service, &target.service)),
                ("version", id(Kind::Version, &target.version)),
            ],
            Self::Route(route) => {
                let service = ("service", id(Kind::Service, &route.service));
                let organisations = route.organisations.iter().flatten();
                std::iter::once(service)
                    .chain(
                        organisations.map(|name| ("organisations", id(Kind::Organisation, name))),
                    )
                    .collect()
            }
            Self::Move(rollout) => vec![
                ("service", id(Kind::Service, &rollout.service)),
                ("from", id(Kind::Version, &rollout.from)),
                ("to", id(Kind::Version, &rollout.to)),
            ],
        }
    }
}
