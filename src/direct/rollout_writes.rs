//! Decides when an entry writes the state of a rollout to the object store.
//!
//! All entries come to the same state at about the same time, and each call to the store
//! is charged. They take turns, so that usually one of them writes.

use super::service_rollout::{
    RolloutOrder,
    RolloutState, //
};
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Pause between the turns of two entries.
const TURN_US: u64 = 300 * US_PER_MS;

/// Pause until an entry writes a state again that is still not stored.
const REWRITE_US: u64 = 500 * US_PER_MS;

/// A state that is not stored yet.
#[derive(Debug)]
struct PlannedWrite {
    service: Name,
    state: RolloutState,
    /// When this entry writes it next.
    at_us: u64,
}

/// States of rollouts that are not stored yet.
///
/// ```
/// use yuccalatch::direct::rollout_writes::{RolloutWrites, write_delay_us};
/// use yuccalatch::direct::service_rollout::{RolloutOrder, RolloutState};
///
/// let order = RolloutOrder {
///     service: "app".into(), release: "v2".into(), duration_ms: 10_000, revision: 1,
///     state: None,
/// };
/// let mut writes = RolloutWrites::default();
/// let second = write_delay_us(1);
/// assert!(!writes.is_turn(&order, RolloutState::Running, second, 0));
/// assert!(writes.is_turn(&order, RolloutState::Running, second, second));
/// assert!(!writes.is_turn(&order, RolloutState::Running, second, second + 1));
/// ```
#[derive(Debug, Default)]
pub struct RolloutWrites(Vec<PlannedWrite>);

/// Returns how long an entry leaves a write to those before it, by its position among
/// the entries that watch the store.
pub fn write_delay_us(position: usize) -> u64 {
    u64::try_from(position)
        .unwrap_or(u64::MAX)
        .saturating_mul(TURN_US)
}

impl RolloutWrites {
    /// Forgets writes that are no longer due.
    pub fn retain_due(&mut self, due: &[(RolloutOrder, RolloutState)]) {
        self.0.retain(|write| {
            let mut due = due.iter();
            due.any(|(order, state)| order.service == write.service && *state == write.state)
        });
    }

    /// Returns whether this entry writes a state now. It leaves the first `delay_us` to
    /// others.
    pub fn is_turn(
        &mut self,
        order: &RolloutOrder,
        state: RolloutState,
        delay_us: u64,
        now_us: u64,
    ) -> bool {
        let mut planned = self.0.iter_mut();
        let known = planned.find(|write| write.service == order.service && write.state == state);
        let Some(write) = known else {
            self.0.push(PlannedWrite {
                service: order.service.clone(),
                state,
                at_us: now_us + delay_us,
            });
            return false;
        };
        if now_us < write.at_us {
            return false;
        }
        write.at_us = now_us + REWRITE_US;
        true
    }
}
