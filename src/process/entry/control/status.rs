//! Status of the fleet for operators.

use super::Control;
use crate::{
    clock::US_PER_MS,
    names::Name,
    operator::status::{
        ConfigStatus,
        EntryStatus,
        FleetStatus,
        TargetStatus, //
    },
    process::membership::{
        Report,
        Role, //
    },
    version::freshness::KEYS_STALE_AFTER_US, //
};

impl Control {
    /// Returns the status of the fleet as this entry knows it.
    pub(super) fn status(&self) -> FleetStatus {
        self.note_self();
        let now_us = self.context.clock.now_us();
        let fleet = self.fleet.borrow();
        // An entry that is only silent may still serve with old state.
        let entries: Vec<&Report> = fleet
            .members
            .possibly_running(Role::Entry, now_us)
            .collect();
        let targets = fleet.members.present(Role::Target);
        FleetStatus {
            entry: self.context.settings.name.clone(),
            config: self.config_status(&entries, now_us),
            entries: entries.into_iter().map(entry_status).collect(),
            targets: targets
                .map(|(report, _)| {
                    let heard_at_us = fleet.members.last_report_at_us(&report.name);
                    target_status(report, now_us.saturating_sub(heard_at_us.unwrap_or(0)))
                })
                .collect(),
            moves: self.move_statuses(),
        }
    }

    fn config_status(&self, entries: &[&Report], now_us: u64) -> ConfigStatus {
        let known = entries.iter().map(|report| report.revision);
        let revision = known.clone().max().unwrap_or(0);
        let behind = entries.iter().filter(|report| report.revision < revision);
        let mut waiting_for: Vec<Name> = behind.map(|report| report.name.clone()).collect();
        waiting_for.sort();
        let api_answer_age_ms = self.freshness.borrow().api_answer_age_ms(now_us);
        ConfigStatus {
            revision,
            in_force_revision: known.min().unwrap_or(0),
            waiting_for,
            is_platform_reachable: api_answer_age_ms
                .is_some_and(|age_ms| age_ms * US_PER_MS < KEYS_STALE_AFTER_US),
        }
    }
}

fn entry_status(report: &Report) -> EntryStatus {
    EntryStatus {
        name: report.name.clone(),
        data_centre: report.data_centre.clone(),
        incarnation: report.incarnation,
        revision: report.revision,
        leaving: report.is_leaving,
    }
}

fn target_status(report: &Report, age_us: u64) -> TargetStatus {
    TargetStatus {
        name: report.name.clone(),
        service: report.service.clone(),
        data_centre: report.data_centre.clone(),
        versions: report.versions.clone(),
        running_requests: report.running,
        queued_requests: report.queued,
        queue_wait_ms: report.queue_us / US_PER_MS,
        report_age_ms: age_us / US_PER_MS,
        leaving: report.is_leaving,
    }
}
