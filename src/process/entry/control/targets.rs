//! Views of the targets for the traffic threads.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use slog::warn;

use super::Control;
use crate::{
    event::Event,
    process::{
        entry::context::{
            TargetView,
            TargetViews, //
        },
        membership::Role, //
    },
};

/// Time between checks of deadlines.
const TICK: Duration = Duration::from_millis(100);

impl Control {
    /// Applies deadlines of members and of the keys.
    pub(super) async fn publish_targets(self: Rc<Self>) {
        let mut was_stale = true;
        loop {
            let now_us = self.context.clock.now_us();
            if self.fleet.borrow_mut().drop_silent(now_us) {
                self.context.changed.notify_one();
            }
            let changes = self.fleet.borrow_mut().members.tick(now_us);
            if !changes.is_empty() {
                self.note_changes(&changes);
            }
            let is_stale = self.context.are_keys_stale();
            if is_stale && !was_stale {
                warn!(self.context.log, "keys cannot be verified"; "event" => Event::KeysStale);
            }
            was_stale = is_stale;
            tokio::time::sleep(TICK).await;
        }
    }

    /// Publishes the live targets if they have changed.
    pub(super) fn publish_views(&self) {
        let fleet = self.fleet.borrow();
        let views: TargetViews = fleet
            .members
            .live(Role::Target)
            .map(|report| {
                let view = TargetView {
                    agent: report.incarnation,
                    engine: report.engine,
                    versions: report.versions.clone(),
                    queue_us: report.queue_us,
                    leaving: report.is_leaving,
                };
                (report.name.clone(), view)
            })
            .collect();
        if views != **self.context.targets.load() {
            self.context.targets.store(Arc::new(views));
        }
    }
}
