//! What the direct path reads from requests and answers, and what it adds.

use std::net::SocketAddr;

use crate::names::Name;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: u64,
    /// Length.
    pub tokens: u64,
}

/// Prompt of a request for a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Model.
    pub model: Name,
    /// Length of the whole prompt.
    pub input_tokens: u64,
    /// Largest length of the output.
    pub max_output_tokens: u64,
    /// Length of the output that the caller expects; right at the median.
    pub expected_output_tokens: u64,
    /// Shared parts in order, which begin the prompt.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the tokens that the request is charged with.
    pub const fn cost_tokens(&self) -> u64 {
        self.input_tokens + self.max_output_tokens
    }

    /// Returns the tokens of all shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// What the platform's header fields of a request say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Id of the request, unique for each try of the caller.
    pub id: Option<Name>,
    /// Key of the caller.
    pub key: Option<Name>,
    /// Time for which the caller waits, from the arrival of the request.
    pub caller_timeout_ms: Option<u64>,
    /// Prompt, when the request is for a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has from an earlier answer.
    pub last_event_id: Option<u64>,
}

/// What an entry adds to a request towards a target.
#[derive(Clone, Debug)]
pub struct SystemFields<'a> {
    /// Time that is left until the caller's deadline.
    pub remaining_ms: u64,
    /// Target that the request is for.
    pub target: &'a Name,
    /// Organisation of the caller's key.
    pub organisation: Option<&'a Name>,
    /// Namespace of the engine's prefix cache.
    pub cache_namespace: Option<&'a str>,
    /// Engine or store that the engine may import cached parts from.
    pub import_from: Option<SocketAddr>,
    /// Store that the engine exports computed parts to.
    pub export_to: Option<SocketAddr>,
    /// Weights that the request is for; an engine with others refuses it.
    pub weights_version: Option<u64>,
    /// Urgency at an engine, 0 (first) to 9.
    pub urgency: Option<u8>,
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// Load of a target, as it reports it with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the platform's header fields of an answer say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that is answered.
    pub request_id: Option<Name>,
    /// Whether the answer carries the signature of the target.
    pub has_signature: bool,
    /// Whether the target states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the target refuses the request because it is another one or has
    /// other weights than the request is for.
    pub is_misdirected: bool,
    /// Id of the target, when it states it.
    pub target: Option<Name>,
    /// Load of the target.
    pub load: Option<TargetLoad>,
    /// Version of the weights that the answer is made with.
    pub weights_version: Option<u64>,
}

/// State of an engine, as it reports it when asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Loaded weights by model.
    pub weights: Vec<(Name, u64)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Changes of an engine's cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvents {
    /// Start of the engine; it has nothing cached before its first event.
    pub epoch: u64,
    /// Number to ask for next.
    pub next: u64,
    /// Whether events before these were lost.
    pub has_lost_events: bool,
    /// Changes in order.
    pub events: Vec<CacheEvent>,
}

/// Change of one cached part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Cache namespace of the part.
    pub namespace: Name,
    /// Model whose weights made the part.
    pub model: Name,
    /// Id of the part's content.
    pub part: u64,
    /// Tokens that are cached now, 0 when the part is gone.
    pub tokens: u64,
}

/// What becomes of the runs of an engine that loads other weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InFlightPolicy {
    /// They end before the load.
    Finish,
    /// They go on under the new weights.
    Continue,
}

/// Order to an engine to load other weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsOrder {
    /// Model.
    pub model: Name,
    /// Version to load.
    pub version: u64,
    /// What becomes of the runs.
    pub in_flight: InFlightPolicy,
    /// Instance that gives the order.
    pub issuer: Name,
    /// Fencing token.
    pub fence: u64,
    /// Orders that the engine must have accepted so far.
    pub accepted_orders: u64,
    /// Target that the order is for.
    pub target: Name,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The weights are loaded already.
    AlreadyLoaded,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// The engine refuses the order.
    Refused(u16),
}
