//! Faults that a stand-in injects on request.

use serde::{
    Deserialize,
    Serialize, //
};

/// Faults of the object API, set with `PUT /faults`. Fields that are left out
/// switch their fault off.
///
/// ```
/// use yuccalatch::standin::fault::PlatformFaults;
///
/// let faults: PlatformFaults = serde_json::from_str(r#"{"down": true}"#).unwrap();
/// assert!(faults.down);
/// assert!(!faults.garbage);
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes the connection before a call takes effect.
    pub down: bool,
    /// Waits before every call, in milliseconds.
    pub slow_ms: u64,
    /// Closes the connection after the next write took effect, then clears
    /// itself.
    pub lose_answer_once: bool,
    /// Closes the connection after every nth write took effect; 0 for never.
    pub lose_answer_every: u64,
    /// Closes the connection after this many writes took effect and goes down;
    /// 0 for never.
    pub down_after_writes: u64,
    /// Answers every call with bytes that are not valid; writes take effect.
    pub garbage: bool,
    /// Never answers a watch; other calls work.
    pub silent_watch: bool,
    /// Age of the list of instances, in milliseconds.
    pub instances_lag_ms: u64,
}

/// How a call is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answering {
    /// As it should be.
    Normal,
    /// The connection is closed instead.
    Lost,
    /// The answer is not valid.
    Garbage,
}

/// Decides the fate of answers.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: PlatformFaults,
    writes: u64,
}

impl FaultInjector {
    /// Replaces the faults and restarts the count of writes.
    pub fn set(&mut self, faults: PlatformFaults) {
        self.faults = faults;
        self.writes = 0;
    }

    /// Returns the faults in force.
    pub const fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Decides how a call is answered that has just taken effect.
    ///
    /// ```
    /// use yuccalatch::standin::fault::{Answering, FaultInjector, PlatformFaults};
    ///
    /// let mut injector = FaultInjector::default();
    /// injector.set(PlatformFaults { lose_answer_every: 2, ..Default::default() });
    /// assert_eq!(injector.answering(true), Answering::Normal);
    /// assert_eq!(injector.answering(true), Answering::Lost);
    /// ```
    pub fn answering(&mut self, is_write: bool) -> Answering {
        if is_write {
            self.writes += 1;
            if self.writes == self.faults.down_after_writes {
                self.faults.down = true;
                return Answering::Lost;
            }
            let every = self.faults.lose_answer_every;
            let is_nth = every > 0 && self.writes.is_multiple_of(every);
            if is_nth || std::mem::take(&mut self.faults.lose_answer_once) {
                return Answering::Lost;
            }
        }
        if self.faults.garbage {
            return Answering::Garbage;
        }
        Answering::Normal
    }
}
