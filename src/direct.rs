//! Direct path: entries send requests to the targets without going through agents.
//!
//! Used on platforms that list their targets in an object store and whose
//! targets understand deadlines, priorities and instance checks. An entry
//! forwards the requests; the agent beside an engine only orders the engine to
//! load weights and reports its state. Decision modules ([`admission`], [`answer`],
//! [`authorization`], [`blame`], [`capacity`], [`constraint`], [`kv_store`], [`loop_lag`], [`memory_budget`], [`outlier`],
//! [`placement`], [`quarantine`], [`quota`], [`routing`], [`sampling`],
//! [`service_rollout`], [`stall`], [`steering`], [`turns`], [`urgency`]) use neither
//! sockets nor clocks. The traits in [`platform`] hide the platform's names and formats.

pub mod admission;
pub mod agent;
pub mod answer;
mod attempt;
pub mod authorization;
pub mod blame;
mod body;
pub mod cache;
pub mod call;
pub mod capacity;
mod choice;
pub mod config_lag;
pub mod constraint;
mod context;
mod control;
pub mod entry;
pub mod events;
mod exchange;
mod follow;
mod gossip;
pub mod kv_store;
pub mod loop_lag;
pub mod memory_budget;
pub mod message;
pub mod order;
pub mod outlier;
mod peers;
pub mod placement;
pub mod platform;
pub mod platform_state;
pub mod quarantine;
pub mod quota;
mod relay;
mod reply;
mod request_attempts;
mod request_log;
pub mod rollout_writes;
pub mod routing;
pub mod sampling;
mod serve;
pub mod service_rollout;
mod snapshot;
pub mod stall;
pub mod steering;
pub mod target;
pub mod transfer;
pub mod turns;
pub mod urgency;
pub mod warmup;
pub mod watchers;
mod worker;
