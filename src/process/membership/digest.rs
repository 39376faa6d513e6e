//! Digests that entries exchange.
//!
//! Within a data centre a digest holds every target that the sender collects;
//! between data centres it holds sums per service. Entries are listed in both,
//! because acknowledgements are counted per entry.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Change,
    Liveness,
    Membership,
    Report,
    Role, //
};
use crate::{
    clock::US_PER_S,
    names::Name, //
};

/// Age at which the sum of another data centre is no longer used.
pub const SUM_KEPT_US: u64 = 5 * US_PER_S;

/// State of the targets of one service in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sum {
    /// Live targets that take new work.
    pub serving: u32,
    /// Live targets that are leaving.
    pub leaving: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Message from one entry to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Data centre of the sender.
    pub data_centre: Name,
    /// Grows with every digest of the sender's incarnation.
    pub sequence: u64,
    /// Reports of entries.
    pub entries: Vec<Report>,
    /// Reports of targets; empty between data centres.
    pub targets: Vec<Report>,
    /// Sums per service; empty within a data centre.
    pub sums: BTreeMap<Name, Sum>,
}

impl Membership {
    /// Makes the digest for a peer.
    ///
    /// ```
    /// use yuccalatch::process::membership::Membership;
    ///
    /// let digest = Membership::default().digest("a", "b", 1);
    /// assert!(digest.targets.is_empty() && digest.sums.is_empty());
    /// ```
    pub fn digest(&self, own_data_centre: &str, peer_data_centre: &str, sequence: u64) -> Digest {
        let is_local = own_data_centre == peer_data_centre;
        let entries = self.live(Role::Entry).cloned().collect();
        let targets = || {
            self.live(Role::Target)
                .filter(|report| &*report.data_centre == own_data_centre)
        };
        let mut digest = Digest {
            data_centre: own_data_centre.into(),
            sequence,
            entries,
            targets: Vec::new(),
            sums: BTreeMap::new(),
        };
        if is_local {
            digest.targets = targets().cloned().collect();
            return digest;
        }
        for report in targets() {
            let sum = digest.sums.entry(report.service.clone()).or_default();
            sum.serving += u32::from(!report.is_leaving);
            sum.leaving += u32::from(report.is_leaving);
            sum.running += report.running;
            sum.queued += report.queued;
        }
        digest
    }

    /// Takes the reports of a digest. Sums go to [`Sums::absorb`].
    pub fn absorb(&mut self, digest: &Digest, now_us: u64) -> Vec<Change> {
        digest
            .entries
            .iter()
            .chain(&digest.targets)
            .flat_map(|report| self.report(report.clone(), now_us))
            .collect()
    }

    fn live(&self, role: Role) -> impl Iterator<Item = &Report> {
        self.present(role)
            .filter(|(_, liveness)| *liveness == Liveness::Live)
            .map(|(report, _)| report)
    }
}

/// Sums of other data centres, the latest of any of their entries.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    data_centres: BTreeMap<Name, (BTreeMap<Name, Sum>, u64)>,
}

impl Sums {
    /// Takes the sums of a digest. Every entry of a data centre knows all its
    /// targets, so the sums of two entries are alternatives, not parts.
    pub fn absorb(&mut self, digest: &Digest, now_us: u64) {
        if digest.sums.is_empty() {
            return;
        }
        let expires_at_us = now_us + SUM_KEPT_US;
        self.data_centres.insert(
            digest.data_centre.clone(),
            (digest.sums.clone(), expires_at_us),
        );
    }

    /// Returns the sum of a service in another data centre, unless it is too
    /// old.
    ///
    /// ```
    /// use yuccalatch::process::membership::digest::Sums;
    ///
    /// assert_eq!(Sums::default().get("b", "chat", 0), None);
    /// ```
    pub fn get(&self, data_centre: &str, service: &str, now_us: u64) -> Option<Sum> {
        let (sums, expires_at_us) = self.data_centres.get(data_centre)?;
        if now_us >= *expires_at_us {
            return None;
        }
        sums.get(service).copied()
    }
}
