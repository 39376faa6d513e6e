//! Control messages between processes of the system, over JSON-RPC.

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

/// What an agent has to do for a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Only raise the fencing number.
    Fence,
    /// Load a version beside the others.
    Load {
        /// The version.
        version: Name,
    },
    /// Unload a version.
    Unload {
        /// The version.
        version: Name,
    },
}

/// Order of the holder of a move to an agent. It may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRequest {
    /// Service of the move.
    pub service: Name,
    /// Fencing number of the holder.
    pub fencing: u64,
    /// What to do.
    pub action: OrderAction,
}

/// State of a target after its agent has taken an order. Orders to the target
/// run in the background; the holder repeats the order to learn the outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// Highest fencing number that the agent knows.
    pub fencing: Option<u64>,
    /// Versions that the target serves.
    pub versions: Vec<Name>,
    /// Version that the target loads now.
    pub loading: Option<Name>,
    /// Version whose last load failed.
    pub failed: Option<Name>,
    /// Requests that have not ended, by version.
    pub running: BTreeMap<Name, u64>,
}

/// Report of an entry to the holder of a move.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MoveReport {
    /// Service of the move.
    pub service: Name,
    /// Ticket of the move.
    pub ticket: u64,
    /// Entry that reports.
    pub entry: Incarnation,
    /// Step that it applies.
    pub step: u64,
    /// Requests of the old version that it runs.
    pub running_from: u64,
    /// Requests of the new version that it runs.
    pub running_to: u64,
    /// Latest evidence of each route.
    pub evidence: Vec<BlockCounts>,
    /// Cut that is in force at the entry.
    pub cut: Option<Cut>,
}

/// Answer of the holder of a move.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct MoveAnswer {
    /// Move as it is stored; `None` when the entry knows none of the service.
    pub current: Option<Move>,
    /// Cut that is in force at the holder.
    pub cut: Option<Cut>,
}

/// One part of a configuration update.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigPart {
    /// Revision that the complete update leads to.
    pub revision: u64,
    /// Number of parts.
    pub parts: u32,
    /// Bytes of this part.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// Report of an agent to a collector.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentReport {
    /// State of agent and target.
    pub report: Report,
    /// Whether the receiver is the first of the two collectors.
    pub is_first: bool,
    /// Checksum of the entries that the agent knows.
    pub entries_checksum: u64,
    /// Age of the agent's news from the object API; `None` without any.
    pub api_answer_age_ms: Option<u64>,
    /// Checksum of the moves that the agent holds; `None` before it was told.
    pub moves_checksum: Option<u64>,
}

/// An entry that agents may report to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryContact {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Control listener.
    pub control_address: SocketAddr,
}

/// Answer of a collector to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportAnswer {
    /// Configuration revision of the entry.
    pub revision: u64,
    /// Age of the entry's news from the object API; `None` without any.
    pub api_answer_age_ms: Option<u64>,
    /// Entries of the agent's data centre, when the agent knows others.
    pub entries: Option<Vec<EntryContact>>,
    /// Moves, when the agent holds others.
    pub moves: Option<Vec<KnownMove>>,
}

/// Methods of every process.
#[rpc(server, client, namespace = "peer")]
pub trait PeerApi {
    /// Exchanges digests.
    #[method(name = "exchange")]
    async fn exchange(&self, digest: Packed<Digest>) -> RpcResult<Packed<Digest>>;

    /// Returns a part of the configuration after a revision.
    #[method(name = "config_since")]
    async fn config_since(&self, revision: u64, part: u32) -> RpcResult<ConfigPart>;

    /// Returns the moves that the process knows; `None` when it has not been told.
    #[method(name = "moves")]
    async fn moves(&self) -> RpcResult<Packed<Option<Vec<KnownMove>>>>;
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentApi {
    /// Estimates cache and queue for a prompt.
    #[method(name = "probe")]
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeAnswer>;

    /// Loads or unloads a version, unless the fencing number is old.
    #[method(name = "order")]
    async fn order(&self, request: OrderRequest) -> RpcResult<OrderAnswer>;
}

/// Methods of an entry.
#[rpc(server, client, namespace = "entry")]
pub trait EntryApi {
    /// Takes the report of an agent.
    #[method(name = "report")]
    async fn report(&self, report: Packed<AgentReport>) -> RpcResult<Packed<ReportAnswer>>;

    /// Takes the report of a holder of limit shares.
    #[method(name = "limits")]
    async fn limits(&self, report: Packed<LimitReport>) -> RpcResult<Packed<LimitAnswer>>;

    /// Takes a message of a ledger to a holder.
    #[method(name = "limit_directive")]
    ///
    /// Returns the epoch that the holder follows, so that a ledger whose epoch
    /// is lower ends.
    async fn limit_directive(&self, directive: Packed<Directive>) -> RpcResult<Packed<Epoch>>;

    /// Takes the report of an entry to the holder of a move.
    #[method(name = "move_report")]
    async fn move_report(&self, report: MoveReport) -> RpcResult<MoveAnswer>;

    /// Takes the notice that a peer has cut a version.
    #[method(name = "cut")]
    async fn cut(&self, cut: Cut) -> RpcResult<()>;
}

/// Report of a holder to a ledger or deputy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LimitReport {
    /// The report.
    pub report: limits::message::HolderReport,
    /// Deputy that is asked; the ledger when left out.
    pub delegate: Option<Incarnation>,
}

/// Answer of a ledger or deputy.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LimitAnswer {
    /// What the holder has to apply.
    pub directives: Vec<Directive>,
    /// Highest epoch that the sender has seen.
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

    /// Returns how a request would be treated.
    #[method(name = "explain")]
    async fn explain(&self, request: ExplainRequest) -> RpcResult<Explanation>;
}
