//! How far the configuration in use is behind the latest one that exists.

use std::collections::BTreeMap;

/// Versions that are remembered. A process that is further behind than that gets the
/// latest one next.
const MAX_VERSIONS: usize = 64;

/// Versions of the configuration that exist and are not in use here.
///
/// ```
/// use yuccalatch::direct::config_lag::ConfigLag;
///
/// let mut lag = ConfigLag::default();
/// lag.apply(8, 0);
/// assert!(lag.announce(11, 5_000));
/// assert!(lag.announce(14, 6_000));
/// assert_eq!(lag.outdated_since_us(), Some(5_000));
/// assert_eq!(lag.apply(14, 9_000), Some(4_000));
/// assert_eq!(lag.outdated_since_us(), None);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigLag {
    /// Version in use, 0 for none.
    version: u64,
    /// Earliest known time at which the version in use existed.
    since_us: u64,
    /// Later versions, with the earliest known time at which they existed.
    later: BTreeMap<u64, u64>,
}

impl ConfigLag {
    /// Records that a version has existed since `since_us`. Returns whether it is later
    /// than all that were known.
    pub fn announce(&mut self, version: u64, since_us: u64) -> bool {
        if version <= self.version {
            return false;
        }
        let is_latest = version > self.latest_version();
        if let Some(known_us) = self.later.get_mut(&version) {
            *known_us = since_us.min(*known_us);
        } else if self.later.len() < MAX_VERSIONS {
            self.later.insert(version, since_us);
        }
        is_latest
    }

    /// Records that a version is in use. Returns for how long the version before was
    /// outdated, `None` when it was not known to be.
    pub fn apply(&mut self, version: u64, now_us: u64) -> Option<u64> {
        let outdated_us = self
            .outdated_since_us()
            .map(|at_us| now_us.saturating_sub(at_us));
        self.since_us = self.later.get(&version).map_or(now_us, |at_us| *at_us);
        self.version = version;
        self.later.retain(|later, _| *later > version);
        outdated_us
    }

    /// Forgets the versions after `version`: a process that announced one does not have it.
    ///
    /// ```
    /// use yuccalatch::direct::config_lag::ConfigLag;
    ///
    /// let mut lag = ConfigLag::default();
    /// lag.announce(7, 0);
    /// lag.retract_after(6);
    /// assert_eq!(lag.outdated_since_us(), None);
    /// ```
    pub fn retract_after(&mut self, version: u64) {
        self.later.retain(|later, _| *later <= version);
    }

    /// Returns the version in use and since when it has existed, `None` without one.
    ///
    /// ```
    /// use yuccalatch::direct::config_lag::ConfigLag;
    ///
    /// let mut lag = ConfigLag::default();
    /// lag.announce(7, 100);
    /// lag.apply(7, 900);
    /// assert_eq!(lag.version_in_use(), Some((7, 100)));
    /// ```
    pub fn version_in_use(&self) -> Option<(u64, u64)> {
        (self.version > 0).then_some((self.version, self.since_us))
    }

    /// Returns since when the version in use has been outdated, `None` when no later one
    /// is known.
    pub fn outdated_since_us(&self) -> Option<u64> {
        self.later.values().min().copied()
    }

    /// Returns the latest version that is known.
    ///
    /// ```
    /// use yuccalatch::direct::config_lag::ConfigLag;
    ///
    /// let mut lag = ConfigLag::default();
    /// lag.announce(7, 0);
    /// assert_eq!(lag.latest_version(), 7);
    /// ```
    pub fn latest_version(&self) -> u64 {
        let latest = self.later.last_key_value();
        latest.map_or(self.version, |(version, _)| *version)
    }
}
