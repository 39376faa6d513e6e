//! Live entries and targets.
//!
//! Reports and digests determine who is live. The platform's list lags, so it
//! only adds candidates to contact, and its removals only serve as proof that
//! an instance is gone. Members are known by name (the slot) and incarnation
//! (the process in it).

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
    digest::Load,
    listing::Listing, //
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

/// Time between reports.
pub const REPORT_INTERVAL_US: u64 = US_PER_S;
/// Silence after which a member gets no new work: three missed reports.
pub const SUSPECT_AFTER_US: u64 = 3 * US_PER_S;
/// Time for which a collector vouches for a target after its last report: one
/// report may be lost. The collector sends a digest at once when the time has
/// passed.
pub const VOUCHED_US: u64 = 2 * US_PER_S;
/// Silence after which a member is no longer listed.
pub const GONE_AFTER_US: u64 = 10 * US_PER_S;
/// Time between the removal from the platform's list and the proof that the
/// instance is gone. The list also drops instances that are being replaced and
/// still finish their requests.
pub const REMOVAL_GRACE_US: u64 = 30 * US_PER_S;
/// Former incarnations remembered per slot, to ignore their late reports.
const FORMER_INCARNATIONS: usize = 4;

/// What a member is.
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
    /// Slot.
    pub name: Name,
    /// Role.
    pub role: Role,
    /// Data centre.
    pub data_centre: Name,
    /// Service of a target; empty for an entry.
    pub service: Name,
    /// Control listener.
    pub control_address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Grows with every report of the incarnation.
    pub sequence: u64,
    /// Whether it refuses new work.
    pub is_leaving: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Expected wait in the queue.
    pub queue_us: u64,
    /// Incarnation of the engine's cache; zero for an entry.
    pub engine: Incarnation,
    /// Versions that are loaded.
    pub versions: Vec<Name>,
}

/// How much can be expected of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Listed by the platform, never heard of.
    Candidate,
    /// Reports.
    Live,
    /// Missed reports; gets no new work.
    Suspect,
    /// Silent for long. This is no proof that it has stopped.
    Gone,
}

/// Change that the caller logs or acts on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member was heard of for the first time, or again after silence.
    Joined(Name),
    /// A slot runs a new process.
    Restarted(Name),
    /// A member takes no new work.
    Leaving(Name),
    /// A member missed reports.
    Suspected(Name),
    /// A member is no longer listed.
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

    fn is_older(&self, report: &Report) -> bool {
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

/// Members as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    members: BTreeMap<Name, Member>,
    listing: Listing,
}

impl Membership {
    /// Takes a report, received directly or in a digest.
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
        if member.is_older(&report) {
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

    /// Keeps a member alive of which a peer has reports that it does not repeat.
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

    /// Suspects a member that no peer vouches for any more.
    pub fn suspect(&mut self, name: &str) -> Vec<Change> {
        match self.members.get_mut(name) {
            Some(member) if member.liveness == Liveness::Live => {
                member.liveness = Liveness::Suspect;
                vec![Change::Suspected(member.report.name.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Updates the load of a member of which a peer has reports.
    pub fn set_load(&mut self, name: &str, incarnation: Incarnation, load: &Load) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.report.incarnation == incarnation {
            member.report.queue_us = u64::from(load.queue_ms) * US_PER_MS;
            member.report.running = load.running;
            member.report.queued = load.queued;
        }
    }

    /// Notes the revision that a member has applied; it never goes back.
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

    /// Returns when a member was last heard of, directly or through a peer.
    pub fn last_report_at_us(&self, name: &str) -> Option<u64> {
        self.members
            .get(name)
            .map(|member| member.last_report_at_us)
    }

    /// Returns the last reports of all members that may still run: silence does
    /// not prove otherwise, an announced stop followed by silence does.
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

    /// Marks a member as leaving, as announced or seen on a response.
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

    /// Takes the platform's list. Names on it become candidates; names that
    /// were on it before and are missing are proven gone after [`REMOVAL_GRACE_US`].
    pub fn set_platform_list(&mut self, names: BTreeSet<Name>, now_us: u64) {
        self.listing.replace(names, now_us);
    }

    /// Returns listed names that were never heard of, to be contacted.
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

    /// Applies deadlines that have passed.
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

    /// Returns whether an incarnation certainly runs no more: its slot started
    /// another process, or the platform removed the instance and the grace
    /// period passed. Silence alone proves nothing.
    pub fn is_proven_gone(&self, name: &str, incarnation: Incarnation, now_us: u64) -> bool {
        let is_replaced = self.members.get(name).is_some_and(|member| {
            member.report.incarnation != incarnation && member.former.contains(&incarnation)
        });
        is_replaced || self.listing.is_gone(name, now_us)
    }

    /// Returns from when on an instance that the platform's list has dropped
    /// counts as gone.
    ///
    /// ```
    /// use yuccalatch::process::membership::{REMOVAL_GRACE_US, Membership};
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

    /// Returns members that report.
    pub fn live(&self, role: Role) -> impl Iterator<Item = &Report> {
        self.present(role)
            .filter(|(_, liveness)| *liveness == Liveness::Live)
            .map(|(report, _)| report)
    }

    /// Returns members that may get new work.
    pub fn serving(&self, role: Role) -> impl Iterator<Item = &Report> {
        self.present(role)
            .filter(|(report, liveness)| *liveness == Liveness::Live && !report.is_leaving)
            .map(|(report, _)| report)
    }

    /// Forgets gone members that are proven gone and not listed any more.
    pub fn forget(&mut self, now_us: u64) {
        let listing = &self.listing;
        self.members.retain(|name, member| {
            member.liveness != Liveness::Gone || !listing.is_gone(name, now_us)
        });
    }
}
