//! Live entries and targets.
//!
//! Reports and digests determine who is live. The platform's list lags, so it
//! only adds candidates to contact, and its removals only serve as proof that
//! an instance is gone. A member is identified by its name (the slot) and its
//! incarnation (the process in the slot).

pub mod digest;
mod listing;
pub mod rendezvous;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use self::{
    digest::LoadUpdate,
    listing::PlatformList, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    names::{
        Incarnation,
        Name, //
    },
};

/// Time between two reports of a member.
pub const REPORT_INTERVAL_US: u64 = US_PER_S;
/// Silence after which a member gets no new work: three missed reports.
pub const SUSPECT_AFTER_US: u64 = 3 * US_PER_S;
/// Time for which a collector vouches for a target after its last report. It
/// spans two reports, so one may be lost. When it has passed, the collector
/// sends a digest at once.
pub const VOUCHED_US: u64 = 2 * US_PER_S;
/// Silence after which a member counts as gone.
pub const GONE_AFTER_US: u64 = 10 * US_PER_S;
/// Time between the removal from the platform's list and the proof that the
/// instance is gone. The list also drops instances that are being replaced and
/// still finish their requests.
pub const REMOVAL_GRACE_US: u64 = 30 * US_PER_S;
/// Former incarnations remembered per slot, to ignore their late reports.
const FORMER_INCARNATIONS: usize = 4;

/// Kind of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Runs requests; reported by its agent.
    Target,
}

/// Report of a member about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Slot, the name of the member.
    pub name: Name,
    /// Whether the member is an entry or a target.
    pub role: Role,
    /// Data centre in which the member runs.
    pub data_centre: Name,
    /// Service of a target; empty for an entry.
    pub service: Name,
    /// Address of its control listener.
    pub control_address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Grows with every report of the incarnation.
    pub sequence: u64,
    /// Whether the member refuses new work because it stops.
    pub is_leaving: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Expected wait in the queue.
    pub queue_us: u64,
    /// Incarnation of the engine's cache; zero for an entry.
    pub engine: Incarnation,
    /// Model versions that are loaded.
    pub versions: Vec<Name>,
}

/// State of a member, from the time since its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Listed by the platform, but no report was ever received.
    Candidate,
    /// Its reports arrive in time.
    Live,
    /// Missed reports, and gets no new work.
    Suspect,
    /// Silent until its deadline, see [`GONE_AFTER_US`]. This does not prove that it
    /// has stopped.
    Gone,
}

/// Change that the caller logs or acts on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member reported for the first time, or again after silence.
    Joined(Name),
    /// A slot runs a new process (incarnation).
    Restarted(Name),
    /// A member refuses new work because it stops.
    Leaving(Name),
    /// A member missed reports.
    Suspected(Name),
    /// A member was silent until its deadline and counts as gone.
    Gone(Name),
}

#[derive(Clone, Debug)]
struct Member {
    report: Report,
    liveness: Liveness,
    suspect_at_us: u64,
    gone_at_us: u64,
    last_report_at_us: u64,
    former: VecDeque<Incarnation>,
}

impl Member {
    fn new(report: Report, now_us: u64) -> Self {
        Self {
            report,
            liveness: Liveness::Live,
            suspect_at_us: now_us + SUSPECT_AFTER_US,
            gone_at_us: now_us + GONE_AFTER_US,
            last_report_at_us: now_us,
            former: VecDeque::new(),
        }
    }

    fn is_outdated(&self, report: &Report) -> bool {
        if report.incarnation == self.report.incarnation {
            return report.sequence <= self.report.sequence;
        }
        self.former.contains(&report.incarnation)
    }

    fn replace(&mut self, mut report: Report, now_us: u64) {
        if report.incarnation == self.report.incarnation {
            // A process that announced its stop never returns from it.
            report.is_leaving |= self.report.is_leaving;
        } else {
            self.former.push_back(self.report.incarnation);
            if self.former.len() > FORMER_INCARNATIONS {
                self.former.pop_front();
            }
        }
        self.report = report;
        self.liveness = Liveness::Live;
        self.suspect_at_us = now_us + SUSPECT_AFTER_US;
        self.gone_at_us = now_us + GONE_AFTER_US;
        self.last_report_at_us = now_us;
    }
}

/// Members known to one process, with their last reports.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<Name, Member>,
    listing: PlatformList,
}

impl Membership {
    /// Applies a report that was received directly or in a digest.
    ///
    /// A report only counts when its sequence is new, so entries that repeat
    /// each other's digests do not keep a silent member alive.
    ///
    /// ```
    /// use yuccalatch::names::Incarnation;
    /// use yuccalatch::process::membership::{Change, Liveness, Membership, Report, Role};
    ///
    /// let report = Report {
    ///     name: "e1".into(),
    ///     role: Role::Entry,
    ///     data_centre: "a".into(),
    ///     service: "".into(),
    ///     control_address: "127.0.0.1:7100".parse().unwrap(),
    ///     incarnation: Incarnation(1),
    ///     sequence: 1,
    ///     is_leaving: false,
    ///     revision: 0,
    ///     running: 0,
    ///     queued: 0,
    ///     queue_us: 0,
    ///     engine: Incarnation(0),
    ///     versions: Vec::new(),
    /// };
    /// let mut membership = Membership::default();
    /// assert_eq!(membership.apply_report(report, 0), [Change::Joined("e1".into())]);
    /// membership.tick(3_000_000);
    /// assert_eq!(membership.liveness("e1"), Some(Liveness::Suspect));
    /// ```
    pub fn apply_report(&mut self, report: Report, now_us: u64) -> Vec<Change> {
        let name = report.name.clone();
        let Some(member) = self.members.get_mut(&name) else {
            let mut changes = vec![Change::Joined(name.clone())];
            if report.is_leaving {
                changes.push(Change::Leaving(name.clone()));
            }
            self.members.insert(name, Member::new(report, now_us));
            return changes;
        };
        if member.is_outdated(&report) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let is_restart = report.incarnation != member.report.incarnation;
        if is_restart {
            changes.push(Change::Restarted(name.clone()));
        } else if member.liveness != Liveness::Live {
            changes.push(Change::Joined(name.clone()));
        }
        let was_leaving = member.report.is_leaving && !is_restart;
        member.replace(report, now_us);
        if member.report.is_leaving && !was_leaving {
            changes.push(Change::Leaving(name));
        }
        changes
    }

    /// Keeps a member live until `until_us` because a peer still receives its
    /// reports, but does not repeat them in its digests.
    ///
    /// ```
    /// use yuccalatch::{names::Incarnation, process::membership::Membership};
    ///
    /// let mut membership = Membership::default();
    /// assert!(membership.vouch("engine-1", Incarnation(1), 0, 3_000_000).is_empty());
    /// ```
    pub fn vouch(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        now_us: u64,
        until_us: u64,
    ) -> Vec<Change> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        if member.report.incarnation != incarnation {
            return Vec::new();
        }
        let was_live = member.liveness == Liveness::Live;
        member.liveness = Liveness::Live;
        member.suspect_at_us = member.suspect_at_us.max(until_us);
        member.gone_at_us = member
            .gone_at_us
            .max(until_us + GONE_AFTER_US - SUSPECT_AFTER_US);
        member.last_report_at_us = now_us;
        if was_live {
            return Vec::new();
        }
        vec![Change::Joined(member.report.name.clone())]
    }

    /// Marks a live member as suspect because no peer vouches for it any more.
    pub fn suspect(&mut self, name: &str) -> Vec<Change> {
        match self.members.get_mut(name) {
            Some(member) if member.liveness == Liveness::Live => {
                member.liveness = Liveness::Suspect;
                vec![Change::Suspected(member.report.name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Updates the load of a member from a peer that receives its reports.
    pub fn set_load(&mut self, name: &str, incarnation: Incarnation, load: &LoadUpdate) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.report.incarnation == incarnation {
            member.report.queue_us = u64::from(load.queue_ms) * US_PER_MS;
            member.report.running = load.running;
            member.report.queued = load.queued;
        }
    }

    /// Raises the configuration revision of a member; a lower one is ignored.
    pub fn raise_revision(&mut self, name: &str, incarnation: Incarnation, revision: u64) {
        if let Some(member) = self.members.get_mut(name)
            && member.report.incarnation == incarnation
        {
            member.report.revision = member.report.revision.max(revision);
        }
    }

    /// Returns the last report of a member.
    pub fn get(&self, name: &str) -> Option<&Report> {
        self.members.get(name).map(|member| &member.report)
    }

    /// Returns when a member last reported here, or a peer last vouched for it.
    pub fn last_report_at_us(&self, name: &str) -> Option<u64> {
        self.members
            .get(name)
            .map(|member| member.last_report_at_us)
    }

    /// Returns the last reports of all members that may still run. Silence alone
    /// does not prove that a member stopped; silence after an announced stop does.
    pub fn possibly_running(&self, role: Role, now_us: u64) -> impl Iterator<Item = &Report> {
        self.members
            .iter()
            .filter(move |(_, member)| member.report.role == role)
            .filter(|(_, member)| member.liveness != Liveness::Gone || !member.report.is_leaving)
            .filter(move |(name, member)| {
                !self.is_proven_gone(name, member.report.incarnation, now_us)
            })
            .map(|(_, member)| &member.report)
    }

    /// Marks a member as leaving, after its notice or a response that says so.
    pub fn mark_leaving(&mut self, name: &Name, incarnation: Incarnation) -> Vec<Change> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        if member.report.incarnation != incarnation || member.report.is_leaving {
            return Vec::new();
        }
        member.report.is_leaving = true;
        vec![Change::Leaving(name.clone())]
    }

    /// Replaces the platform's list. Names on it become candidates; names that
    /// it has dropped are proven gone after [`REMOVAL_GRACE_US`].
    pub fn set_platform_list(&mut self, names: BTreeSet<Name>, now_us: u64) {
        self.listing.replace(names, now_us);
    }

    /// Returns the listed names that never reported, to be contacted.
    ///
    /// ```
    /// use yuccalatch::process::membership::{Liveness, Membership};
    ///
    /// let mut membership = Membership::default();
    /// membership.set_platform_list(["e9".into()].into(), 0);
    /// assert_eq!(membership.liveness("e9"), Some(Liveness::Candidate));
    /// assert_eq!(membership.candidates().count(), 1);
    /// ```
    pub fn candidates(&self) -> impl Iterator<Item = &Name> {
        self.listing
            .names()
            .filter(|name| !self.members.contains_key(*name))
    }

    /// Marks members whose deadlines have passed as suspect or gone.
    pub fn tick(&mut self, now_us: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, member) in &mut self.members {
            if member.liveness == Liveness::Live && now_us >= member.suspect_at_us {
                member.liveness = Liveness::Suspect;
                changes.push(Change::Suspected(name.clone()));
            }
            if member.liveness == Liveness::Suspect && now_us >= member.gone_at_us {
                member.liveness = Liveness::Gone;
                changes.push(Change::Gone(name.clone()));
            }
        }
        changes
    }

    /// Returns the liveness of a member or candidate.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        if let Some(member) = self.members.get(name) {
            return Some(member.liveness);
        }
        self.listing.contains(name).then_some(Liveness::Candidate)
    }

    /// Returns whether an incarnation has certainly stopped: its slot started
    /// another process, or the platform removed the instance and the grace
    /// period passed. Silence alone proves nothing.
    pub fn is_proven_gone(&self, name: &str, incarnation: Incarnation, now_us: u64) -> bool {
        let is_replaced = self.members.get(name).is_some_and(|member| {
            member.report.incarnation != incarnation && member.former.contains(&incarnation)
        });
        is_replaced || self.listing.is_gone(name, now_us)
    }

    /// Returns the time from which an instance that the platform's list has
    /// dropped counts as gone.
    ///
    /// ```
    /// use yuccalatch::process::membership::{Membership, REMOVAL_GRACE_US};
    ///
    /// let mut membership = Membership::default();
    /// membership.set_platform_list(["e9".into()].into(), 0);
    /// membership.set_platform_list([].into(), 5);
    /// assert_eq!(membership.removal_proven_at_us("e9"), Some(5 + REMOVAL_GRACE_US));
    /// ```
    pub fn removal_proven_at_us(&self, name: &str) -> Option<u64> {
        self.listing.gone_at_us(name)
    }

    /// Returns the last reports of all members that are not gone.
    pub fn present(&self, role: Role) -> impl Iterator<Item = (&Report, Liveness)> {
        self.members
            .values()
            .filter(move |member| member.report.role == role)
            .filter(|member| member.liveness != Liveness::Gone)
            .map(|member| (&member.report, member.liveness))
    }

    /// Returns the last reports of all live members.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Report> {
        self.present(role)
            .filter(|(_, liveness)| *liveness == Liveness::Live)
            .map(|(report, _)| report)
    }

    /// Returns the last reports of all members that may get new work.
    pub fn serving(&self, role: Role) -> impl Iterator<Item = &Report> {
        self.present(role)
            .filter(|(report, liveness)| *liveness == Liveness::Live && !report.is_leaving)
            .map(|(report, _)| report)
    }

    /// Removes members that are silent and proven gone by the platform's list.
    pub fn forget(&mut self, now_us: u64) {
        let listing = &self.listing;
        self.members.retain(|name, member| {
            member.liveness != Liveness::Gone || !listing.is_gone(name, now_us)
        });
    }
}
