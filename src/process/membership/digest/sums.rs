//! Sums over the targets of a data centre, for entries of other data centres.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::Digest;
use crate::{
    clock::US_PER_S,
    names::Name,
    process::membership::{
        Membership,
        Role, //
    },
};

/// Age at which the sum of another data centre is no longer used.
pub const SUMS_MAX_AGE_US: u64 = 5 * US_PER_S;

/// State of the targets of one service in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSums {
    /// Number of live targets that take new work.
    pub serving: u32,
    /// Number of live targets that are leaving.
    pub leaving: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
}

impl Membership {
    /// Returns the sums per service over the targets of a data centre.
    ///
    /// ```
    /// use yuccalatch::process::membership::Membership;
    ///
    /// assert!(Membership::default().sums("a").is_empty());
    /// ```
    pub fn sums(&self, data_centre: &str) -> BTreeMap<Name, ServiceSums> {
        let mut sums: BTreeMap<Name, ServiceSums> = BTreeMap::new();
        for report in self.live(Role::Target) {
            if &*report.data_centre != data_centre {
                continue;
            }
            let sum = sums.entry(report.service.clone()).or_default();
            sum.serving += u32::from(!report.is_leaving);
            sum.leaving += u32::from(report.is_leaving);
            sum.running += report.running;
            sum.queued += report.queued;
        }
        sums
    }
}

/// Latest sums of each other data centre, from any of its entries.
#[derive(Clone, Debug, Default)]
pub struct RemoteSums {
    data_centres: BTreeMap<Name, (BTreeMap<Name, ServiceSums>, u64)>,
}

impl RemoteSums {
    /// Replaces the sums of the sender's data centre. Every entry covers all targets
    /// of its data centre, so the sums of two entries must not be added.
    pub fn update(&mut self, digest: &Digest, now_us: u64) {
        if digest.sums.is_empty() {
            return;
        }
        let expires_at_us = now_us + SUMS_MAX_AGE_US;
        self.data_centres.insert(
            digest.sender.data_centre.clone(),
            (digest.sums.clone(), expires_at_us),
        );
    }

    /// Returns the sum of a service in another data centre, unless it is too
    /// old.
    ///
    /// ```
    /// use yuccalatch::process::membership::digest::RemoteSums;
    ///
    /// assert_eq!(RemoteSums::default().get("b", "chat", 0), None);
    /// ```
    pub fn get(&self, data_centre: &str, service: &str, now_us: u64) -> Option<ServiceSums> {
        let (sums, expires_at_us) = self.data_centres.get(data_centre)?;
        if now_us >= *expires_at_us {
            return None;
        }
        sums.get(service).copied()
    }
}
