//! At-most-once execution of attempts at an agent.
//!
//! An agent records the state of every attempt that it receives and starts it at
//! most once. Once the table reports that an attempt did not run, no later copy of
//! it can run.

pub mod idempotency;
pub mod key_verification;

use std::collections::{
    HashMap,
    VecDeque, //
};

use error_stack::Report;

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        AttemptId,
        Incarnation, //
    },
};

/// State of an attempt as recorded by an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// No copy of it has arrived.
    NotReceived,
    /// It waits in the fair queue.
    Queued,
    /// It was sent to the target and has not ended.
    Running,
    /// It has run and ended, with the error if it failed.
    Done(Option<ErrorKind>),
    /// It was refused or cancelled before it started, and will never run.
    Cancelled,
    /// Its record was dropped or never existed. It will not run from now on, but
    /// whether it ran before is not known.
    Unknown,
}

/// Bounds of an [`AttemptTable`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptTableLimits {
    /// Attempts queued or running at once.
    pub max_active: usize,
    /// Records of attempts, about 100 bytes each. Raised above `max_active` if
    /// necessary, so that there is room for ended attempts.
    pub max_records: usize,
    /// Entry incarnations from which attempts are accepted, about 50 bytes each.
    pub max_entry_incarnations: usize,
}

impl Default for AttemptTableLimits {
    /// Allows 65,536 entry incarnations, which last 131 days at 500 restarts of
    /// entries a day.
    fn default() -> Self {
        Self {
            max_active: 4_096,
            max_records: 65_536,
            max_entry_incarnations: 65_536,
        }
    }
}

/// Marks the [`AttemptPermit`] of an attempt that waits in the queue.
#[derive(Debug)]
pub struct Queued(());

/// Marks the [`AttemptPermit`] of an attempt that runs on the target.
#[derive(Debug)]
pub struct Running(());

/// Permission for the next state change of one attempt. It cannot be copied, so
/// no change happens twice.
#[must_use = "an attempt that is neither finished nor cancelled occupies the table forever"]
#[derive(Debug)]
pub struct AttemptPermit<S> {
    id: AttemptId,
    state: S,
}

impl<S> AttemptPermit<S> {
    /// Returns the id of the attempt.
    pub const fn id(&self) -> AttemptId {
        self.id
    }
}

/// States of the attempts that were sent to one agent incarnation.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: AttemptTableLimits,
    records: HashMap<AttemptId, AttemptState>,
    /// Attempts that are done or cancelled, the first to end at the front.
    ended: VecDeque<AttemptId>,
    /// For each entry incarnation, the sequence number below which an attempt
    /// without a record is refused.
    sequence_floors: HashMap<Incarnation, u64>,
    /// Number of queued and running attempts.
    active: usize,
}

impl AttemptTable {
    /// Creates the table of a new agent incarnation.
    ///
    /// ```
    /// use yuccalatch::names::{AttemptId, Incarnation};
    /// use yuccalatch::process::at_most_once::{AttemptState, AttemptTable, AttemptTableLimits};
    ///
    /// let agent = Incarnation(1);
    /// let mut table = AttemptTable::new(agent, AttemptTableLimits::default());
    /// let id = AttemptId { entry: Incarnation(2), sequence: 0 };
    /// let queued = table.admit(agent, id).unwrap();
    /// let running = table.start(queued).unwrap();
    /// let state = table.cancel_unless_started(agent, id).unwrap();
    /// assert_eq!(state, AttemptState::Running);
    /// table.finish(running, None);
    /// assert!(table.admit(agent, id).is_err());
    /// ```
    pub fn new(incarnation: Incarnation, limits: AttemptTableLimits) -> Self {
        Self {
            incarnation,
            limits: AttemptTableLimits {
                max_records: limits.max_records.max(limits.max_active + 1),
                ..limits
            },
            records: HashMap::new(),
            ended: VecDeque::new(),
            sequence_floors: HashMap::new(),
            active: 0,
        }
    }

    /// Accepts an attempt that was addressed to the given agent incarnation.
    ///
    /// # Errors
    ///
    /// Every error means that this copy does not run.
    /// [`ErrorKind::WrongIncarnation`], [`ErrorKind::Barred`] and
    /// [`ErrorKind::Overloaded`] also mean that no other copy runs here. After
    /// [`ErrorKind::DuplicateAttempt`], another copy may have run or still run.
    pub fn admit(
        &mut self,
        incarnation: Incarnation,
        id: AttemptId,
    ) -> Result<AttemptPermit<Queued>> {
        if incarnation != self.incarnation {
            return Err(Report::new(ErrorKind::WrongIncarnation));
        }
        match self.state(id) {
            AttemptState::NotReceived => {}
            AttemptState::Cancelled => return Err(Report::new(ErrorKind::Barred)),
            _ => return Err(Report::new(ErrorKind::DuplicateAttempt)),
        }
        if !self.register_entry(id.entry) {
            return Err(Report::new(ErrorKind::Overloaded));
        }
        if self.active >= self.limits.max_active {
            // Recorded so that a late copy, which may arrive when there is room
            // again, is refused too.
            self.insert(id, AttemptState::Cancelled);
            return Err(Report::new(ErrorKind::Overloaded));
        }
        self.insert(id, AttemptState::Queued);
        Ok(AttemptPermit {
            id,
            state: Queued(()),
        })
    }

    /// Marks an attempt as running, immediately before it is sent to the target.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Barred`] when it was cancelled while it was queued.
    pub fn start(&mut self, attempt: AttemptPermit<Queued>) -> Result<AttemptPermit<Running>> {
        let AttemptPermit { id, state } = attempt;
        let Queued(()) = state;
        match self.records.get_mut(&id) {
            Some(recorded @ AttemptState::Queued) => *recorded = AttemptState::Running,
            Some(AttemptState::Cancelled) | None => return Err(Report::new(ErrorKind::Barred)),
            Some(_) => return Err(Report::new(ErrorKind::Internal)),
        }
        Ok(AttemptPermit {
            id,
            state: Running(()),
        })
    }

    /// Cancels a queued attempt, for example after its deadline. From then on it
    /// is safe to answer that the attempt did not run.
    pub fn cancel_queued(&mut self, attempt: AttemptPermit<Queued>) {
        if self.records.get(&attempt.id) == Some(&AttemptState::Queued) {
            self.end(attempt.id, AttemptState::Cancelled);
        }
    }

    /// Marks a running attempt as done, with the error if it failed.
    pub fn finish(&mut self, attempt: AttemptPermit<Running>, failure: Option<ErrorKind>) {
        let AttemptPermit { id, state } = attempt;
        let Running(()) = state;
        if self.records.get(&id) == Some(&AttemptState::Running) {
            self.end(id, AttemptState::Done(failure));
        }
    }

    /// Cancels an attempt unless it has started, and returns its state.
    ///
    /// [`AttemptState::Cancelled`] proves that it did not run.
    /// [`AttemptState::Unknown`] leaves open whether it ran.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::OutcomeUnknown`] when the attempt was sent to another
    /// incarnation of the agent.
    pub fn cancel_unless_started(
        &mut self,
        incarnation: Incarnation,
        id: AttemptId,
    ) -> Result<AttemptState> {
        if incarnation != self.incarnation {
            return Err(Report::new(ErrorKind::OutcomeUnknown));
        }
        match self.state(id) {
            // An entry incarnation that does not fit into the table is refused
            // until the agent restarts, so its attempts need no record.
            AttemptState::NotReceived if !self.register_entry(id.entry) => {
                Ok(AttemptState::Cancelled)
            }
            AttemptState::NotReceived => {
                self.insert(id, AttemptState::Cancelled);
                Ok(AttemptState::Cancelled)
            }
            AttemptState::Queued => {
                self.end(id, AttemptState::Cancelled);
                Ok(AttemptState::Cancelled)
            }
            state => Ok(state),
        }
    }

    /// Returns the state of an attempt without changing it.
    pub fn state(&self, id: AttemptId) -> AttemptState {
        if let Some(state) = self.records.get(&id) {
            return *state;
        }
        match self.sequence_floors.get(&id.entry) {
            Some(floor) if id.sequence < *floor => AttemptState::Unknown,
            _ => AttemptState::NotReceived,
        }
    }

    /// Returns the number of queued and running attempts.
    pub const fn active_count(&self) -> usize {
        self.active
    }

    /// Returns the number of recorded attempts, ended ones included.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns whether attempts of new entry incarnations are refused. Sequence
    /// floors are never dropped, so this lasts until the agent restarts.
    pub fn is_entry_limit_reached(&self) -> bool {
        self.sequence_floors.len() >= self.limits.max_entry_incarnations
    }

    /// Adds an entry incarnation unless the table is full, and returns whether it
    /// is in the table.
    fn register_entry(&mut self, entry: Incarnation) -> bool {
        if self.sequence_floors.contains_key(&entry) {
            return true;
        }
        if self.is_entry_limit_reached() {
            return false;
        }
        self.sequence_floors.insert(entry, 0);
        true
    }

    /// Adds the record of a new attempt, which is queued or already cancelled.
    fn insert(&mut self, id: AttemptId, state: AttemptState) {
        self.evict_oldest_ended();
        self.records.insert(id, state);
        if state == AttemptState::Queued {
            self.active += 1;
        } else {
            self.ended.push_back(id);
        }
    }

    /// Ends a queued or running attempt.
    fn end(&mut self, id: AttemptId, state: AttemptState) {
        self.records.insert(id, state);
        self.active -= 1;
        self.ended.push_back(id);
    }

    /// Drops the record that ended first if the table is full. There is an ended
    /// record, because `max_records` exceeds `max_active`.
    fn evict_oldest_ended(&mut self) {
        while self.records.len() >= self.limits.max_records
            && let Some(id) = self.ended.pop_front()
        {
            self.records.remove(&id);
            let floor = self.sequence_floors.entry(id.entry).or_default();
            *floor = (*floor).max(id.sequence.saturating_add(1));
        }
    }
}
