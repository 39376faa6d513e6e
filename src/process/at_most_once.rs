//! Outcome of attempts at an agent: unseen, queued, running, done, barred.
//!
//! An attempt starts at most once. Once the table says that an attempt did not
//! run, no later copy of it can run.

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

/// What an agent knows about an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// No copy has arrived.
    NotReceived,
    /// It waits in the fair queue.
    Queued,
    /// It was sent to the target.
    Running,
    /// It has ended, with an error where one is given.
    Done(Option<ErrorKind>),
    /// It did not run and never will.
    Cancelled,
    /// Its record was dropped or never existed. It will not run any more, and
    /// nobody can tell whether it ran.
    Unknown,
}

/// Bounds of a [`AttemptTable`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptTableLimits {
    /// Attempts queued or running at once.
    pub max_live: usize,
    /// Attempts on record, more than `max_live`; the rest holds ended ones. A
    /// record occupies about 100 bytes.
    pub max_records: usize,
    /// Entry incarnations known at once, about 50 bytes each.
    pub max_entries: usize,
}

impl Default for AttemptTableLimits {
    /// At 500 restarts of entries a day, 65,536 incarnations last 131 days.
    fn default() -> Self {
        Self {
            max_live: 4_096,
            max_records: 65_536,
            max_entries: 65_536,
        }
    }
}

/// State of an [`AttemptPermit`] that waits in the queue.
#[derive(Debug)]
pub struct Queued(());

/// State of an [`AttemptPermit`] that was sent to the target.
#[derive(Debug)]
pub struct Running(());

/// Permission for the next step of one attempt. It cannot be copied, so no step
/// happens twice.
#[must_use = "an attempt that is not finished occupies the table forever"]
#[derive(Debug)]
pub struct AttemptPermit<S> {
    id: AttemptId,
    state: S,
}

impl<S> AttemptPermit<S> {
    /// Returns the id.
    pub const fn id(&self) -> AttemptId {
        self.id
    }
}

/// Fates of the attempts that were sent to one agent incarnation.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: Incarnation,
    limits: AttemptTableLimits,
    records: HashMap<AttemptId, AttemptState>,
    /// Ended attempts, the oldest first.
    ended: VecDeque<AttemptId>,
    /// For each entry, the sequence number below which an attempt without a
    /// record is refused.
    floors: HashMap<Incarnation, u64>,
    live: usize,
}

impl AttemptTable {
    /// Makes the table of a new agent incarnation.
    ///
    /// ```
    /// use yuccalatch::names::{AttemptId, Incarnation};
    /// use yuccalatch::process::at_most_once::{AttemptState, AttemptTableLimits, AttemptTable};
    ///
    /// let agent = Incarnation(1);
    /// let mut table = AttemptTable::new(agent, AttemptTableLimits::default());
    /// let id = AttemptId { entry: Incarnation(2), sequence: 0 };
    /// let queued = table.admit(agent, id).unwrap();
    /// let running = table.start(queued).unwrap();
    /// assert_eq!(table.cancel_unless_started(agent, id).unwrap(), AttemptState::Running);
    /// table.finish(running, None);
    /// assert!(table.admit(agent, id).is_err());
    /// ```
    pub fn new(incarnation: Incarnation, limits: AttemptTableLimits) -> Self {
        Self {
            incarnation,
            limits: AttemptTableLimits {
                max_records: limits.max_records.max(limits.max_live + 1),
                ..limits
            },
            records: HashMap::new(),
            ended: VecDeque::new(),
            floors: HashMap::new(),
            live: 0,
        }
    }

    /// Accepts an attempt that was sent to an agent incarnation.
    ///
    /// # Errors
    ///
    /// Every error means that this copy does not run.
    /// [`ErrorKind::WrongIncarnation`], [`ErrorKind::Barred`] and
    /// [`ErrorKind::Overloaded`] also mean that no other copy runs here;
    /// [`ErrorKind::DuplicateAttempt`] leaves that open.
    pub fn admit(
        &mut self,
        incarnation: Incarnation,
        id: AttemptId,
    ) -> Result<AttemptPermit<Queued>> {
        if incarnation != self.incarnation {
            return Err(Report::new(ErrorKind::WrongIncarnation));
        }
        match self.fate(id) {
            AttemptState::NotReceived => {}
            AttemptState::Cancelled => return Err(Report::new(ErrorKind::Barred)),
            _ => return Err(Report::new(ErrorKind::DuplicateAttempt)),
        }
        if !self.know_entry(id.entry) {
            return Err(Report::new(ErrorKind::Overloaded));
        }
        if self.live >= self.limits.max_live {
            // The refusal is put on record, because a late copy might arrive
            // when there is room again.
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
    /// Returns [`ErrorKind::Barred`] when it was barred while it was queued.
    pub fn start(&mut self, attempt: AttemptPermit<Queued>) -> Result<AttemptPermit<Running>> {
        let AttemptPermit { id, state } = attempt;
        let Queued(()) = state;
        match self.records.get_mut(&id) {
            Some(fate @ AttemptState::Queued) => *fate = AttemptState::Running,
            Some(AttemptState::Cancelled) | None => return Err(Report::new(ErrorKind::Barred)),
            Some(_) => return Err(Report::new(ErrorKind::Internal)),
        }
        Ok(AttemptPermit {
            id,
            state: Running(()),
        })
    }

    /// Removes an attempt from the queue for good, for example after its
    /// deadline. Answers that it did not run are true from here on.
    pub fn cancel_queued(&mut self, attempt: AttemptPermit<Queued>) {
        if self.records.get(&attempt.id) == Some(&AttemptState::Queued) {
            self.end(attempt.id, AttemptState::Cancelled);
        }
    }

    /// Marks an attempt as ended.
    pub fn finish(&mut self, attempt: AttemptPermit<Running>, failure: Option<ErrorKind>) {
        let AttemptPermit { id, state } = attempt;
        let Running(()) = state;
        if self.records.get(&id) == Some(&AttemptState::Running) {
            self.end(id, AttemptState::Done(failure));
        }
    }

    /// Bars an attempt unless it has started, and returns its fate.
    ///
    /// [`AttemptState::Cancelled`] proves that it did not run; [`AttemptState::Unknown`] proves
    /// nothing about the past.
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
        match self.fate(id) {
            // An entry that does not fit into the table is refused forever, so
            // its attempts need no record.
            AttemptState::NotReceived if !self.know_entry(id.entry) => Ok(AttemptState::Cancelled),
            AttemptState::NotReceived => {
                self.insert(id, AttemptState::Cancelled);
                Ok(AttemptState::Cancelled)
            }
            AttemptState::Queued => {
                self.end(id, AttemptState::Cancelled);
                Ok(AttemptState::Cancelled)
            }
            fate => Ok(fate),
        }
    }

    /// Returns the fate of an attempt without changing it. The agent drops the
    /// retained stream of an attempt that is [`AttemptState::Unknown`].
    pub fn fate(&self, id: AttemptId) -> AttemptState {
        if let Some(fate) = self.records.get(&id) {
            return *fate;
        }
        match self.floors.get(&id.entry) {
            Some(floor) if id.sequence < *floor => AttemptState::Unknown,
            _ => AttemptState::NotReceived,
        }
    }

    /// Returns the number of queued and running attempts.
    pub const fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of attempts on record.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Returns whether new entry incarnations are refused. Floors are never
    /// dropped, so only a restart of the agent helps.
    pub fn is_exhausted(&self) -> bool {
        self.floors.len() >= self.limits.max_entries
    }

    fn know_entry(&mut self, entry: Incarnation) -> bool {
        if self.floors.contains_key(&entry) {
            return true;
        }
        if self.is_exhausted() {
            return false;
        }
        self.floors.insert(entry, 0);
        true
    }

    fn insert(&mut self, id: AttemptId, fate: AttemptState) {
        self.make_room();
        self.records.insert(id, fate);
        if fate == AttemptState::Queued {
            self.live += 1;
        } else {
            self.ended.push_back(id);
        }
    }

    fn end(&mut self, id: AttemptId, fate: AttemptState) {
        self.records.insert(id, fate);
        self.live -= 1;
        self.ended.push_back(id);
    }

    /// Drops the oldest ended record of a full table. There is one, because
    /// fewer records are live than fit.
    fn make_room(&mut self) {
        while self.records.len() >= self.limits.max_records
            && let Some(id) = self.ended.pop_front()
        {
            self.records.remove(&id);
            let floor = self.floors.entry(id.entry).or_default();
            *floor = (*floor).max(id.sequence.saturating_add(1));
        }
    }
}
