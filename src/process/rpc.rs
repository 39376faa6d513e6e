//! Control messages between processes of the system, over JSON-RPC.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc,
    types::ErrorObjectOwned,
    ws_client::{
        PingConfig,
        WsClient,
        WsClientBuilder, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        Incarnation,
        Name, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
    version::config::Update,
};

/// Largest control message: a configuration snapshot part below 1 MB, with room
/// for JSON escapes.
pub const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Bound for one control call. Two missed calls are noticed within the three
/// heartbeats that data connections allow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

const PING_INTERVAL: Duration = Duration::from_millis(500);

const MISSED_PINGS: usize = 3;

/// Question of an entry about the cache of a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeRequest {
    /// Organisation that asks.
    pub organisation: Name,
    /// Weight of the organisation.
    pub weight: u32,
    /// Cache namespace of organisation and version.
    pub namespace: Namespace,
    /// Leading blocks of the prompt.
    pub blocks: Vec<BlockHash>,
}

/// Answer of an agent to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeAnswer {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// Incarnation of the engine's cache.
    pub engine: Incarnation,
    /// Blocks of the prompt that are probably cached.
    pub matched_blocks: u32,
    /// Expected wait in the queue.
    pub queue_us: u64,
    /// Whether the target takes no further work.
    pub leaving: bool,
}

/// What an agent says about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgentStatus {
    /// Name of the target.
    pub target: Name,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// Incarnation of the engine's cache.
    pub engine: Incarnation,
    /// Versions that the target serves.
    pub versions: Vec<String>,
    /// Attempts that wait.
    pub queued: usize,
    /// Attempts that run.
    pub running: usize,
    /// Whether the target takes no further work.
    pub leaving: bool,
    /// Configuration revision that the agent holds.
    pub revision: u64,
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentApi {
    /// Estimates cache and queue for a prompt.
    #[method(name = "probe")]
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeAnswer>;

    /// Returns the state of the agent and its target.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<AgentStatus>;

    /// Returns the configuration after a revision.
    #[method(name = "config_since")]
    async fn config_since(&self, revision: u64) -> RpcResult<Update>;
}

/// Methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait EntryApi {
    /// Returns the configuration after a revision.
    #[method(name = "config_since")]
    async fn config_since(&self, revision: u64) -> RpcResult<Update>;
}

/// Opens a control connection that closes itself when the peer goes silent.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer.
pub async fn connect(address: SocketAddr) -> Result<WsClient> {
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_INTERVAL)
        .max_failures(MISSED_PINGS);
    WsClientBuilder::new()
        .request_timeout(CALL_TIMEOUT)
        .connection_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_request_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
        .change_context(ErrorKind::PeerUnavailable)
}

/// Converts an error kind to a JSON-RPC error.
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::process::rpc::{kind_of, rpc_error};
///
/// let error = rpc_error(ErrorKind::Stopping);
/// assert_eq!(kind_of(&error), Some(ErrorKind::Stopping));
/// ```
pub fn rpc_error(kind: ErrorKind) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, kind.name(), Some(kind))
}

/// Returns the error kind that a JSON-RPC error carries.
pub fn kind_of(error: &ErrorObjectOwned) -> Option<ErrorKind> {
    serde_json::from_str(error.data()?.get()).ok()
}

/// Converts the failure of a call to a report.
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::process::rpc::call_failed;
///
/// let report = call_failed(jsonrpsee::core::client::Error::RequestTimeout);
/// assert_eq!(*report.current_context(), ErrorKind::PeerUnavailable);
/// ```
pub fn call_failed(error: jsonrpsee::core::client::Error) -> Report<ErrorKind> {
    let kind = match &error {
        jsonrpsee::core::client::Error::Call(object) => kind_of(object),
        _ => None,
    };
    Report::new(kind.unwrap_or(ErrorKind::PeerUnavailable)).attach(error.to_string())
}
