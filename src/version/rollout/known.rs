//! Moves as peers pass them on, without the object API.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Move,
    cut::Cut, //
};
use crate::names::Name;

/// Move of a service as a process knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownMove {
    /// Latest value of the stored object.
    pub current: Move,
    /// Cut in force, which may not be recorded in the object yet.
    pub cut: Option<Cut>,
}

/// Returns a checksum of what decides about shares. Renewals of leases do not
/// change it.
///
/// ```
/// use yuccalatch::version::rollout::known::checksum;
///
/// assert_eq!(checksum(&[]), 0);
/// ```
pub fn checksum(moves: &[KnownMove]) -> u64 {
    let each = moves.iter().map(|known| {
        let current = &known.current;
        let state = (
            &current.service,
            current.ticket,
            current.step,
            current.lease.fencing,
            known.cut.is_some(),
        );
        xxh3_64(&postcard::to_stdvec(&state).unwrap_or_default())
    });
    each.fold(0, |sum, own| sum ^ own)
}

/// Moves of all services that a process holds for its peers.
#[derive(Clone, Debug, Default)]
pub struct KnownMoves {
    moves: BTreeMap<Name, KnownMove>,
    is_told: bool,
}

impl KnownMoves {
    /// Takes the moves of a peer; an older value of a move is ignored. Returns
    /// those that are new here.
    ///
    /// ```
    /// use yuccalatch::version::rollout::{known::{KnownMove, KnownMoves}, plan, Move};
    ///
    /// let plan = plan::accept(&plan::PlanRequest::example()).unwrap();
    /// let older = Move::planned((1, "m"), "chat", ("v1", "v2"), plan, 0);
    /// let newer = Move { step: 1, ..older.clone() };
    /// let mut known = KnownMoves::default();
    /// assert_eq!(known.moves(), None);
    /// known.absorb(vec![KnownMove { current: newer.clone(), cut: None }]);
    /// known.absorb(vec![KnownMove { current: older, cut: None }]);
    /// assert_eq!(known.moves().unwrap()[0].current, newer);
    /// ```
    pub fn absorb(&mut self, moves: Vec<KnownMove>) -> Vec<KnownMove> {
        self.is_told = true;
        let changed = moves.into_iter().filter_map(|told| self.absorb_one(told));
        changed.collect()
    }

    fn absorb_one(&mut self, mut told: KnownMove) -> Option<KnownMove> {
        let service = told.current.service.clone();
        if let Some(known) = self.moves.get(&service) {
            // A cut lasts until the next ticket.
            if known.current.ticket == told.current.ticket {
                told.cut = told.cut.or_else(|| known.cut.clone());
            }
            let is_older = known.current.is_newer_than(&told.current);
            if is_older && told.current.ticket != known.current.ticket {
                return None;
            }
            if is_older {
                told.current = known.current.clone();
            }
            if told == *known {
                return None;
            }
        }
        self.moves.insert(service, told.clone());
        Some(told)
    }

    /// Returns all moves; `None` before a peer has told any, because "no move"
    /// is news as well.
    pub fn moves(&self) -> Option<Vec<KnownMove>> {
        self.is_told.then(|| self.moves.values().cloned().collect())
    }

    /// Returns the checksum of the moves; `None` before a peer has told any.
    ///
    /// ```
    /// use yuccalatch::version::rollout::known::KnownMoves;
    ///
    /// assert_eq!(KnownMoves::default().checksum(), None);
    /// ```
    pub fn checksum(&self) -> Option<u64> {
        self.moves().map(|moves| checksum(&moves))
    }
}
