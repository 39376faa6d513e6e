//! Requests and replies of `status` and `explain`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::{
    Incarnation,
    Name, //
};

/// How far a configuration revision has spread.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigStatus {
    /// Highest revision known to the entry.
    pub revision: u64,
    /// Highest revision that is in force.
    pub in_force_revision: u64,
    /// Live entries that have not acknowledged the highest revision.
    pub waiting_for: Vec<Name>,
    /// Whether the entry hears the object API.
    pub is_platform_reachable: bool,
}

/// A live entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// Name of the instance.
    pub name: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Revision that it has applied.
    pub revision: u64,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// A target with its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Versions that are loaded.
    pub versions: Vec<Name>,
    /// Requests that run.
    pub running_requests: u32,
    /// Requests that wait in the agent's queue.
    pub queued_requests: u32,
    /// Expected wait in the queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// Age of the last report, in milliseconds.
    pub report_age_ms: u64,
    /// Whether it takes no further work.
    pub leaving: bool,
}

/// A move of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveStatus {
    /// Name of the move.
    pub name: Name,
    /// Service whose traffic moves.
    pub service: Name,
    /// Version in use before.
    pub from: Name,
    /// Version to use.
    pub to: Name,
    /// State, such as `moving`, `done` or `taken back`.
    pub state: String,
    /// Traffic of the new version, in thousandths.
    pub share_permille: u32,
    /// Requested time of completion, in Unix milliseconds.
    pub finish_by_unix_ms: u64,
    /// Reason of the last change of state.
    pub reason: String,
}

/// Reply to `status`.
///
/// ```
/// use yuccalatch::operator::status::FleetStatus;
///
/// let status = FleetStatus::default();
/// assert!(status.config.waiting_for.is_empty());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Entry that replies.
    pub entry: Name,
    /// Configuration.
    pub config: ConfigStatus,
    /// Live entries.
    pub entries: Vec<EntryStatus>,
    /// Live targets.
    pub targets: Vec<TargetStatus>,
    /// Moves that are not forgotten yet.
    pub moves: Vec<MoveStatus>,
}

/// Request of `explain`: how a request would be treated now.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainRequest {
    /// Method in upper case.
    pub method: String,
    /// Path.
    pub path: String,
    /// Model that the request names.
    pub model: Option<Name>,
    /// Organisation that sends it; none for a request without a key.
    pub organisation: Option<Name>,
    /// Prompt text; may be empty.
    pub prompt: String,
}

/// What an entry considers about one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// Name of the target.
    pub target: Name,
    /// Blocks of the prompt that its cache holds.
    pub matched_blocks: u32,
    /// Expected time in its queue, in microseconds.
    pub queue_us: u64,
    /// Expected time to compute the other blocks, in microseconds.
    pub compute_us: u64,
    /// Expected time to transfer cached blocks, in microseconds.
    pub transfer_us: u64,
    /// Whether the request would go there.
    pub is_chosen: bool,
    /// Why the target is passed over, if it is.
    pub skipped: Option<String>,
}

/// Reply to `explain`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Entry that replies.
    pub entry: Name,
    /// Revision of the configuration used.
    pub revision: u64,
    /// Route that matches.
    pub route: Option<Name>,
    /// Service of the route.
    pub service: Option<Name>,
    /// Version that the request would run on.
    pub version: Option<Name>,
    /// Blocks of the prompt.
    pub prompt_blocks: u32,
    /// Why the request would be refused, if it would.
    pub refused: Option<String>,
    /// Targets considered, the chosen one first.
    pub candidates: Vec<CandidateExplanation>,
}
