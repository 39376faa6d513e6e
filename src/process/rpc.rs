//! Messages and methods of the JSON-RPC control protocol between processes.

mod transport;

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    base64::Base64,
    serde_as, //
};

use crate::{
    names::{
        Incarnation,
        Name, //
    },
    operator::status::{
        ExplainRequest,
        Explanation,
        FleetStatus, //
    },
    process::{
        limits::{
            self,
            message::{
                Directive,
                Epoch, //
            },
        },
        membership::{
            Report,
            digest::Digest, //
        },
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
    version::{
        evidence::pool::BlockCounts,
        rollout::{
            Move,
            cut::Cut,
            known::KnownMove, //
        },
    },
};

pub use transport::{
    MAX_CONFIG_PART_BYTES,
    MAX_MESSAGE_BYTES,
    Packed,
    call_error_report,
    connect,
    error_kind_of,
    rpc_error, //
};

/// Asks an agent for the cached part of a prompt and the queue of its target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProbeRequest {
    /// Organisation of the request.
    pub organisation: Name,
    /// Weight of the organisation in the fair queue of the target.
    pub weight: u32,
    /// Cache namespace of the organisation and version.
    pub namespace: Namespace,
    /// Hashes of the leading blocks of the prompt.
    pub blocks: Vec<BlockHash>,
}

/// Answer of an agent to a probe.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeAnswer {
    /// Incarnation of the agent.
    pub agent: Incarnation,
    /// Incarnation of the engine's cache.
    pub engine: Incarnation,
    /// Estimated number of leading blocks of the prompt that are cached.
    pub matched_blocks: u32,
    /// Expected waiting time in the queue.
    pub queue_us: u64,
    /// Whether the target accepts no new requests.
    pub leaving: bool,
}

/// Action that an agent is ordered to take for a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Raises the fencing number and does nothing else.
    Fence,
    /// Loads a version beside those already loaded.
    Load {
        /// Version to load.
        version: Name,
    },
    /// Unloads a version.
    Unload {
        /// Version to unload.
        version: Name,
    },
}

/// Order from the holder of a move to an agent. It is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRequest {
    /// Service of the move.
    pub service: Name,
    /// Fencing number of the holder.
    pub fencing: u64,
    /// Action that the agent takes.
    pub action: OrderAction,
}

/// State of a target when its agent answers an order. Loading and unloading run in
/// the background; the holder repeats the order to get the outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// Highest fencing number that the agent has received; `None` without any.
    pub fencing: Option<u64>,
    /// Versions that the target serves.
    pub versions: Vec<Name>,
    /// Version that the target is loading.
    pub loading: Option<Name>,
    /// Version whose last load failed.
    pub failed: Option<Name>,
    /// Number of requests that have not ended, by version.
    pub running: BTreeMap<Name, u64>,
}

/// Report from an entry to the holder of a move.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MoveReport {
    /// Service of the move.
    pub service: Name,
    /// Number of the ticket that started the move.
    pub ticket: u64,
    /// Entry that reports.
    pub entry: Incarnation,
    /// Step of the move that the entry applies.
    pub step: u64,
    /// Running requests of the old version at the entry.
    pub running_from: u64,
    /// Running requests of the new version at the entry.
    pub running_to: u64,
    /// Latest evidence of each route.
    pub evidence: Vec<BlockCounts>,
    /// Cut that is in force at the entry.
    pub cut: Option<Cut>,
}

/// Answer of the holder of a move to a [`MoveReport`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct MoveAnswer {
    /// Stored move of the service; `None` when the answering entry has none.
    pub current: Option<Move>,
    /// Cut that is in force at the holder.
    pub cut: Option<Cut>,
}

/// One part of a configuration update.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigPart {
    /// Configuration revision after the complete update.
    pub revision: u64,
    /// Number of parts of the update.
    pub parts: u32,
    /// Bytes of this part of the update, which is JSON as a whole.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// Report from an agent to a collector, an entry that passes it on to its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentReport {
    /// State of the agent and its target.
    pub report: Report,
    /// Whether the receiver is the first of the two collectors.
    pub is_first: bool,
    /// Checksum of the entries in the agent's list.
    pub entries_checksum: u64,
    /// Age of the object API's latest answer that the agent's state reflects;
    /// `None` without any.
    pub api_answer_age_ms: Option<u64>,
    /// Checksum of the agent's list of moves; `None` before it has received one.
    pub moves_checksum: Option<u64>,
}

/// Name and address of an entry that agents may report to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryContact {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address of its control listener.
    pub control_address: SocketAddr,
}

/// Answer of a collector to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportAnswer {
    /// Configuration revision of the entry.
    pub revision: u64,
    /// Age of the object API's latest answer that the entry's state reflects;
    /// `None` without any.
    pub api_answer_age_ms: Option<u64>,
    /// Entries of the agent's data centre, when the agent's checksum differs.
    pub entries: Option<Vec<EntryContact>>,
    /// Moves of all services, when the agent's checksum differs.
    pub moves: Option<Vec<KnownMove>>,
}

/// Methods of every process.
#[rpc(server, client, namespace = "peer")]
pub trait PeerApi {
    /// Accepts the caller's digest and returns the digest of this process.
    #[method(name = "exchange")]
    async fn exchange(&self, digest: Packed<Digest>) -> RpcResult<Packed<Digest>>;

    /// Returns a part of the update from a revision to the current configuration.
    #[method(name = "config_since")]
    async fn config_since(&self, revision: u64, part: u32) -> RpcResult<ConfigPart>;

    /// Returns the process's list of moves; `None` before it has received one.
    #[method(name = "moves")]
    async fn moves(&self) -> RpcResult<Packed<Option<Vec<KnownMove>>>>;
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentApi {
    /// Estimates the cached blocks of a prompt and the waiting time in the queue.
    #[method(name = "probe")]
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeAnswer>;

    /// Loads or unloads a version, unless the order's fencing number is outdated.
    #[method(name = "order")]
    async fn order(&self, request: OrderRequest) -> RpcResult<OrderAnswer>;
}

/// Methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait EntryApi {
    /// Accepts the report of an agent.
    #[method(name = "report")]
    async fn report(&self, report: Packed<AgentReport>) -> RpcResult<Packed<ReportAnswer>>;

    /// Accepts the report of a holder of limit shares.
    #[method(name = "limits")]
    async fn limits(&self, report: Packed<LimitReport>) -> RpcResult<Packed<LimitAnswer>>;

    /// Applies a directive of a ledger to a holder.
    ///
    /// Returns the epoch that the holder follows, so that a ledger whose epoch
    /// is lower ends.
    #[method(name = "limit_directive")]
    async fn limit_directive(&self, directive: Packed<Directive>) -> RpcResult<Packed<Epoch>>;

    /// Accepts the report of an entry to the holder of a move.
    #[method(name = "move_report")]
    async fn move_report(&self, report: MoveReport) -> RpcResult<MoveAnswer>;

    /// Applies a cut of a version that a peer has made.
    #[method(name = "cut")]
    async fn cut(&self, cut: Cut) -> RpcResult<()>;
}

/// Report from a holder of limit shares to the ledger or a delegate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LimitReport {
    /// Demand and state of the holder's shares.
    pub report: limits::message::HolderReport,
    /// Delegate that the report goes to; `None` for the ledger.
    pub delegate: Option<Incarnation>,
}

/// Answer of the ledger or a delegate to a [`LimitReport`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LimitAnswer {
    /// Directives that the holder has to apply.
    pub directives: Vec<Directive>,
    /// Highest epoch that the sender has received.
    pub epoch: Epoch,
    /// Whether the sender is the ledger of that epoch.
    pub is_ledger: bool,
}

/// Methods of an entry for operators.
#[rpc(server)]
pub trait OperatorApi {
    /// Returns the status of the fleet.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<FleetStatus>;

    /// Explains how a request would be routed.
    #[method(name = "explain")]
    async fn explain(&self, request: ExplainRequest) -> RpcResult<Explanation>;
}
