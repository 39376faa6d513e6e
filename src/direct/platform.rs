//! What the direct path needs from a platform.
//!
//! An implementation translates names, formats and calls; it decides nothing.

use std::net::SocketAddr;

use ntex::{
    client::Client,
    http::HeaderMap, //
};

use super::{
    message::{
        AnswerHead,
        CacheEvents,
        EngineReport,
        OrderAnswer,
        RequestHead,
        SystemFields,
        WeightsOrder, //
    },
    routing::Configuration,
    target::{
        TargetRecord,
        WantedWeights, //
    },
};
use crate::{
    error::Result,
    names::Name, //
};

/// A kind of objects that the system follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The targets.
    Targets,
    /// The weights that engines have to load.
    Weights,
    /// The entries of the system.
    Entries,
}

/// An entry that has registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryRecord {
    /// Name of the instance.
    pub name: Name,
    /// Address for other entries.
    pub control_address: SocketAddr,
}

/// One change of the platform's objects.
#[derive(Clone, Debug)]
pub enum ObjectChange {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// A target as it is now.
    Target(TargetRecord),
    /// A target has left the list, or its record cannot be read.
    TargetRemoved(Name),
    /// Weights that are wanted now.
    Weights(WantedWeights),
    /// An entry as it is registered now.
    Entry(EntryRecord),
    /// An entry is no longer registered.
    EntryRemoved(Name),
    /// An object that cannot be read, with the reason.
    Unreadable(Name, String),
}

/// Changes up to a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct ObjectChanges {
    /// Changes in order.
    pub changes: Vec<ObjectChange>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// No answer arrived in time, or the connection broke.
    Silent(String),
    /// The store refused the call with this status.
    Refused(u16),
    /// The history since the asked revision is gone.
    HistoryGone,
    /// The answer cannot be read.
    Unreadable(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::HistoryGone => f.write_str("history is gone"),
            Self::Unreadable(reason) => write!(f, "answer cannot be read: {reason}"),
        }
    }
}

/// The platform's object store. Calls have a time limit; nothing is repeated.
pub trait Store: Clone + 'static {
    /// Lists all objects of a topic.
    fn list(
        &self,
        topic: Topic,
        timeout_ms: u64,
    ) -> impl Future<Output = std::result::Result<ObjectChanges, StoreError>>;

    /// Waits up to `wait_ms` for changes after a revision.
    fn watch(
        &self,
        topic: Topic,
        revision: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = std::result::Result<ObjectChanges, StoreError>>;

    /// Registers an entry.
    fn register(
        &self,
        entry: &EntryRecord,
        timeout_ms: u64,
    ) -> impl Future<Output = std::result::Result<(), StoreError>>;
}

/// A platform.
pub trait Platform: 'static {
    /// Its object store.
    type Store: Store;

    /// Makes a client of the store.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be built.
    fn build_store_client(address: SocketAddr) -> impl Future<Output = Result<Self::Store>>;

    /// Reads the header fields of a request.
    fn read_request(headers: &HeaderMap) -> RequestHead;

    /// Returns whether a caller's header field may reach a target. Fields that
    /// only the system may set do not.
    fn forwards(name: &str) -> bool;

    /// Adds the system's header fields to a request.
    fn set_system_fields(headers: &mut HeaderMap, system_fields: &SystemFields<'_>);

    /// Reads the header fields of an answer.
    fn read_answer(status: u16, headers: &HeaderMap) -> AnswerHead;

    /// Asks an engine for its state.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    fn fetch_report(
        client: &Client,
        engine: SocketAddr,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineReport>>;

    /// Waits up to `wait_ms` for changes of an engine's cache from number `since`
    /// on.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time.
    fn fetch_cache_events(
        client: &Client,
        engine: SocketAddr,
        since: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<CacheEvents>>;

    /// Gives an order to an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer in time; the order may have been
    /// accepted.
    fn send_order(
        client: &Client,
        engine: SocketAddr,
        order: &WeightsOrder,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<OrderAnswer>>;
}
