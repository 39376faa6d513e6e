//! Types that a platform adapter reads from requests, answers and engine calls, or
//! writes to them.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Part of a prompt that other requests may share, and that engines cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the content; equal for equal content.
    pub id: u64,
    /// Length of the part.
    pub tokens: u64,
}

/// Prompt of a request for a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Model that the request is for.
    pub model: Name,
    /// Length of the whole prompt.
    pub input_tokens: u64,
    /// Largest length of the output that the caller accepts.
    pub max_output_tokens: u64,
    /// Length of the output that the caller expects. Expectations are right at the
    /// median.
    pub expected_output_tokens: u64,
    /// Shared parts in their order from the start of the prompt.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the tokens that the request is charged for.
    pub const fn cost_tokens(&self) -> u64 {
        self.input_tokens + self.max_output_tokens
    }

    /// Returns the tokens of memory that the request is expected to need.
    pub const fn expected_tokens(&self) -> u64 {
        self.input_tokens
            .saturating_add(self.expected_output_tokens)
    }

    /// Returns the total length of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Values of the platform's header fields of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Id of the request, unique for each attempt of the caller.
    pub id: Option<Name>,
    /// Key of the caller.
    pub key: Option<Name>,
    /// Time for which the caller waits, counted from the arrival of the request.
    pub caller_timeout_ms: Option<u64>,
    /// Prompt; absent when the request is not for a model.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller received in an earlier answer.
    pub last_event_id: Option<u64>,
}

/// Values of the header fields that an entry adds to a request to a target.
#[derive(Clone, Debug)]
pub struct SystemFields<'a> {
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
    /// Target that the request is for.
    pub target: &'a Name,
    /// Organisation of the caller's key.
    pub organisation: Option<&'a Name>,
    /// Namespace of the engine's prefix cache.
    pub cache_namespace: Option<&'a str>,
    /// Engine or KV store that the engine may import cached parts from.
    pub import_from: Option<SocketAddr>,
    /// KV store that the engine exports computed parts to.
    pub export_to: Option<SocketAddr>,
    /// Version of the weights that the request is for; an engine with another version
    /// refuses it.
    pub weights_version: Option<u64>,
    /// Urgency at an engine, from 0 (runs first) to 9.
    pub urgency: Option<u8>,
    /// Number of the last event that the caller has received.
    pub last_event_id: Option<u64>,
}

/// Load of a target, as reported in the header of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time. `None` when the
    /// target does not state it.
    pub pace_percent: Option<u32>,
}

/// Values of the platform's header fields of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that the answer is for, when the target states it.
    pub request_id: Option<Name>,
    /// Whether the answer has a signature of the target. The signature itself is not
    /// verified.
    pub has_signature: bool,
    /// Whether the target states that it did not run the request.
    pub states_not_run: bool,
    /// Whether the body is encoded, which callers do not ask for.
    pub is_encoded: bool,
    /// Id of the target that answered, when it states one.
    pub target: Option<Name>,
    /// Load of the target, when it states it.
    pub load: Option<TargetLoad>,
    /// Version of the weights that made the answer.
    pub weights_version: Option<u64>,
    /// Whether the target states that it is leaving and wants no new requests.
    pub is_leaving: bool,
    /// Time for which a target that refused a request wants none from this entry.
    pub retry_after_ms: Option<u64>,
    /// Remaining cold time of the target, when it states it.
    pub cold_left_ms: Option<u64>,
}

/// Memory of an engine for prompts and output.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineMemory {
    /// Tokens in use that cannot be reclaimed.
    pub used_tokens: u64,
    /// Tokens that the memory holds.
    pub total_tokens: u64,
}

/// State of an engine, as it reports it on request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Version of the loaded weights of each model.
    pub weights: Vec<(Name, u64)>,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Memory, `None` when the engine does not report it.
    pub memory: Option<EngineMemory>,
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvents {
    /// Identifies the start of the engine, whose cache is empty before the first event
    /// of the epoch.
    pub epoch: u64,
    /// Number of the event to ask for next.
    pub next: u64,
    /// Whether events before these were lost.
    pub has_lost_events: bool,
    /// Changes in the order in which they happened.
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
    /// Tokens of the part that are cached after the change; 0 when the part was
    /// removed.
    pub tokens: u64,
}

/// What happens to the running requests of an engine that loads other weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InFlightPolicy {
    /// The engine finishes them before it loads.
    Finish,
    /// The engine continues them with the new weights.
    Continue,
}

/// Order to an engine to load other weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsOrder {
    /// Model whose weights are loaded.
    pub model: Name,
    /// Version of the weights to load.
    pub version: u64,
    /// What happens to the running requests.
    pub in_flight: InFlightPolicy,
    /// Instance that issues the order.
    pub issuer: Name,
    /// Fencing token: grows with every change of the wanted weights.
    pub fence: u64,
    /// Number of orders that the engine must have accepted so far, so that an order
    /// based on an outdated report is refused.
    pub accepted_orders: u64,
    /// Target that the order is for.
    pub target: Name,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine is carrying out the order.
    Accepted,
    /// The weights are loaded already.
    AlreadyLoaded,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// The engine at the address is another one than the order is for.
    Misdirected,
    /// The engine failed or refused the order with this HTTP status.
    Refused(u16),
}
