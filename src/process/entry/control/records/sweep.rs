//! Removes records that the entry which created them can no longer remove.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use super::{
    super::Control,
    CALL_WITHIN_US,
    PREFIX, //
};
use crate::{
    names::Name,
    process::platform::{
        ObjectVersion,
        Platform,
        PlatformResult, //
    },
};

/// Entries of a data centre that sweep.
const SWEEPERS: usize = 1;

/// First digits of the keys, swept one after the other. At 150 requests/s with a
/// key and a window of 10 minutes, one of them has about 5,600 records.
const PARTITIONS: &[u8; 16] = b"0123456789abcdef";

impl Control {
    /// Removes records that have stayed unchanged for a whole window since they
    /// were first seen, one partition a window.
    pub(in super::super) async fn sweep_records(self: Rc<Self>) {
        let Some(platform) = self.platform().await else {
            return;
        };
        let window = Duration::from_millis(self.context.settings.idempotency_window_ms);
        for digit in PARTITIONS.iter().cycle() {
            let prefix = format!("{PREFIX}{}", char::from(*digit));
            let is_sweeper = self.fleet.borrow().has_duty(SWEEPERS);
            let seen = match is_sweeper {
                true => self.records(&platform, &prefix).await.unwrap_or_default(),
                false => Vec::new(),
            };
            tokio::time::sleep(window).await;
            if seen.is_empty() || self.context.is_leaving() {
                continue;
            }
            // Most records are removed by their entries, so that a second listing
            // is cheaper than a removal of each one seen.
            let present = self.records(&platform, &prefix).await.unwrap_or_default();
            let seen: HashSet<_> = seen.into_iter().collect();
            for (key, version) in present.iter().filter(|record| seen.contains(*record)) {
                let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
                // A record that stays is found again in the next round.
                let _ = platform.delete(key, *version, deadline_us).await;
            }
        }
    }

    /// Lists the records of a partition in the order of their keys.
    async fn records(
        &self,
        platform: &Platform,
        prefix: &str,
    ) -> PlatformResult<Vec<(Name, ObjectVersion)>> {
        let deadline_us = || self.context.clock.now_us() + CALL_WITHIN_US;
        let objects = platform.list_all(prefix, "", deadline_us).await?;
        let records = objects
            .into_iter()
            .map(|object| (object.key, object.version));
        Ok(records.collect())
    }
}
