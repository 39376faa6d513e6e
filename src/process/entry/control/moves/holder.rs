//! The holder of a move: lease, plan and steps, by conditional updates.

use std::rc::Rc;

use slog::{
    info,
    warn, //
};

use super::{
    Control,
    WantedMoves, //
};
use crate::{
    clock::US_PER_S,
    event::Event,
    names::Name,
    process::{
        membership::{
            Liveness,
            Role, //
        },
        platform::{
            Condition,
            ObjectVersion,
            Platform,
            PlatformResult, //
        },
    },
    version::{
        config::{
            self,
            Kind,
            Object,
            ObjectId, //
        },
        lease::{
            Claimed,
            Held,
            Lease,
            Resolved,
            Watch,
            Watched, //
        },
        rollout::{
            Move, Reason, object_key,
            order::TargetView,
            plan,
            step::{
                EntryView,
                Observation,
                RouteView, //
            },
        },
        ticket::plan_request, //
    },
};

const PREFIX: &str = "moves/";

/// Bound for one call.
const CALL_WITHIN_US: u64 = US_PER_S;

/// Time between reads by entries without the duty.
const READ_SELDOM_US: u64 = 5 * US_PER_S;

/// Entries of a data centre that watch the leases of moves.
const WATCHERS: usize = 2;

/// What this entry knows of the lease of a move.
#[derive(Clone, Copy, Default)]
pub(super) enum Tenure {
    #[default]
    Unknown,
    Watched(Lease<Watched>),
    Claimed(Lease<Claimed>),
    Held(Lease<Held>),
}

/// A move object as it was read or written.
struct Stored {
    value: Move,
    version: ObjectVersion,
}

impl Control {
    /// Reads the move objects, and runs those whose lease is held here.
    pub(super) async fn hold_moves(self: &Rc<Self>, platform: &Platform) {
        if !self.reads_moves() {
            return;
        }
        let Ok(stored) = self.read_moves(platform).await else {
            return;
        };
        self.note_moves_known();
        for (ticket, row) in self.wanted_moves().iter() {
            let ticket = *ticket;
            let present = stored
                .iter()
                .find(|known| known.value.service == row.service);
            let is_free = present
                .is_none_or(|known| known.value.phase.is_final() && known.value.ticket < ticket);
            if is_free {
                // A conflict means that another entry was faster.
                let _ = self.create_move(platform, ticket, row, present).await;
            }
        }
        for known in stored {
            let _ = self.hold_move(platform, known).await;
        }
    }

    fn reads_moves(&self) -> bool {
        let now_us = self.context.clock.now_us();
        let states = self.moves.states.borrow();
        let is_holder = states
            .values()
            .any(|state| matches!(state.tenure, Tenure::Held(_)));
        let read_at_us = self.moves.read_at_us.get();
        let is_due = read_at_us == 0 || now_us >= read_at_us + READ_SELDOM_US;
        is_holder || is_due || self.fleet.borrow().has_duty(WATCHERS)
    }

    async fn read_moves(&self, platform: &Platform) -> PlatformResult<Vec<Stored>> {
        let now_us = self.context.clock.now_us();
        self.moves.read_at_us.set(now_us.max(1));
        let mut stored = Vec::new();
        let mut after = Name::from("");
        loop {
            let listing = platform
                .list(PREFIX, &after, now_us + CALL_WITHIN_US)
                .await?;
            for object in listing.objects {
                after = object.key;
                // An object of a later release is left to entries that know it.
                let Ok(value) = serde_json::from_slice::<Move>(&object.value) else {
                    continue;
                };
                self.apply_move(value.clone());
                stored.push(Stored {
                    value,
                    version: object.version,
                });
            }
            if !listing.more {
                return Ok(stored);
            }
        }
    }

    /// Returns the moves of the configuration with their tickets.
    pub(super) fn wanted_moves(&self) -> WantedMoves {
        let revision = self.store.revision();
        let mut wanted = self.moves.wanted.borrow_mut();
        if wanted.0 != revision {
            let fold = self.store.fold();
            let entries = fold.of_kind(Kind::Move);
            let rows = entries.filter_map(|entry| match &entry.object {
                Object::Move(row) => Some((entry.ticket, row.clone())),
                _ => None,
            });
            *wanted = (revision, Rc::new(rows.collect()));
        }
        Rc::clone(&wanted.1)
    }

    async fn create_move(
        &self,
        platform: &Platform,
        ticket: u64,
        row: &config::Move,
        former: Option<&Stored>,
    ) -> PlatformResult<()> {
        let now_unix_ms = self.context.clock.unix_ms();
        let Some(request) = plan_request(&self.store.fold(), row, now_unix_ms) else {
            return Ok(());
        };
        if plan::accept(&request).is_err() {
            warn!(self.context.log, "move cannot finish in time any more";
                "event" => Event::MoveChanged, "move" => %row.name,
                "earliest_unix_ms" => plan::earliest_unix_ms(&request));
        }
        let plan = plan::schedule(&request);
        let fencing = former.map_or(0, |former| former.value.lease.fencing);
        let versions = (&*row.from, &*row.to);
        let planned = Move::planned((ticket, &row.name), &row.service, versions, plan, fencing);
        let condition = former.map_or(Condition::Absent, |former| {
            Condition::Version(former.version)
        });
        self.put_move(platform, &planned, condition).await?;
        self.apply_move(planned);
        Ok(())
    }

    async fn put_move(
        &self,
        platform: &Platform,
        value: &Move,
        condition: Condition,
    ) -> PlatformResult<ObjectVersion> {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        let key = object_key(&value.service);
        platform
            .put(&key, bytes.into(), condition, deadline_us)
            .await
    }

    /// Renews or claims the lease and makes the next step.
    async fn hold_move(
        self: &Rc<Self>,
        platform: &Platform,
        mut stored: Stored,
    ) -> PlatformResult<()> {
        let service = stored.value.service.clone();
        let Some(held) = self.keep_lease(platform, &mut stored).await? else {
            return Ok(());
        };
        if !held.may_act(self.context.clock.now_us()) {
            return Ok(());
        }
        let (targets, is_settled) = self.order_targets(&stored.value).await;
        if stored.value.phase.is_final() {
            if is_settled || self.context.is_leaving() {
                self.hand_back(platform, &stored, held).await?;
            }
            return Ok(());
        }
        if self.context.is_leaving() {
            return self.hand_back(platform, &stored, held).await;
        }
        let seen = self.observe(&stored.value, targets);
        let Some(next) = stored.value.advance(&held, &seen) else {
            return Ok(());
        };
        if !held.may_act(self.context.clock.now_us()) {
            return Ok(());
        }
        let condition = Condition::Version(stored.version);
        self.put_move(platform, &next, condition).await?;
        info!(self.context.log, "move changed"; "event" => Event::MoveChanged,
            "service" => %service, "ticket" => next.ticket, "step" => next.step,
            "share_permille" => next.share_permille(), "phase" => ?next.phase);
        self.apply_move(next);
        Ok(())
    }

    async fn keep_lease(
        &self,
        platform: &Platform,
        stored: &mut Stored,
    ) -> PlatformResult<Option<Lease<Held>>> {
        let now_us = self.context.clock.now_us();
        let record = stored.value.lease;
        let watch = match self.tenure(&stored.value.service) {
            Tenure::Unknown => Lease::watch(record, now_us),
            Tenure::Watched(lease) => lease.read(record, now_us),
            Tenure::Held(lease) if lease.record() == record => {
                if !lease.is_renewal_due(now_us) {
                    return Ok(Some(lease));
                }
                return self.claim(platform, stored, lease.renew(now_us)).await;
            }
            Tenure::Held(_) => Lease::watch(record, now_us),
            Tenure::Claimed(lease) => match lease.resolve(record, now_us) {
                Resolved::Held(lease) => {
                    self.set_tenure(&stored.value.service, Tenure::Held(lease));
                    return Ok(Some(lease));
                }
                Resolved::Lost(watch) => watch,
                Resolved::Pending(lease) => return self.claim(platform, stored, lease).await,
            },
        };
        match watch {
            Watch::Live(lease) => {
                self.set_tenure(&stored.value.service, Tenure::Watched(lease));
                Ok(None)
            }
            Watch::Lapsed(lease) => {
                // A finished move that was handed back needs no holder.
                let is_over = stored.value.phase.is_final() && record.holder.is_none();
                if is_over || self.context.is_leaving() {
                    return Ok(None);
                }
                let claimed = lease.claim(self.context.incarnation, now_us);
                self.claim(platform, stored, claimed).await
            }
        }
    }

    async fn claim(
        &self,
        platform: &Platform,
        stored: &mut Stored,
        claimed: Lease<Claimed>,
    ) -> PlatformResult<Option<Lease<Held>>> {
        let service = stored.value.service.clone();
        self.set_tenure(&service, Tenure::Claimed(claimed));
        let value = stored.value.with_lease(claimed.record());
        let condition = Condition::Version(stored.version);
        // After a lost answer or a conflict the next read resolves the claim.
        stored.version = self.put_move(platform, &value, condition).await?;
        stored.value = value;
        let held = claimed.stored();
        self.set_tenure(&service, Tenure::Held(held));
        self.apply_move(stored.value.clone());
        Ok(Some(held))
    }

    async fn hand_back(
        &self,
        platform: &Platform,
        stored: &Stored,
        held: Lease<Held>,
    ) -> PlatformResult<()> {
        let value = stored.value.with_lease(held.record().handed_back());
        let condition = Condition::Version(stored.version);
        self.put_move(platform, &value, condition).await?;
        self.set_tenure(&value.service, Tenure::Unknown);
        self.apply_move(value);
        Ok(())
    }

    fn tenure(&self, service: &Name) -> Tenure {
        let states = self.moves.states.borrow();
        states
            .get(service)
            .map_or(Tenure::Unknown, |state| state.tenure)
    }

    fn set_tenure(&self, service: &Name, tenure: Tenure) {
        if let Some(state) = self.moves.states.borrow_mut().get_mut(service) {
            state.tenure = tenure;
        }
    }

    fn observe(&self, current: &Move, targets: Vec<TargetView>) -> Observation {
        let evidence_now_us = self.evidence_now_us();
        let now_us = self.context.clock.now_us();
        let mut states = self.moves.states.borrow_mut();
        let Some(state) = states.get_mut(&current.service) else {
            return Observation::default();
        };
        let evidence = state.pool.evidence();
        let routes = evidence.routes();
        let routes = routes
            .map(|(_, route)| RouteView::of(route, evidence_now_us))
            .collect();
        let fleet = self.fleet.borrow();
        let members = fleet.members.possibly_running(Role::Entry, now_us);
        let entries = members
            .map(|member| {
                let report = state.reports.get(&member.incarnation);
                EntryView {
                    name: member.name.clone(),
                    incarnation: member.incarnation,
                    is_live: fleet.members.liveness(&member.name) == Some(Liveness::Live),
                    step: report.map(|report| report.step),
                    running_from: report.map_or(0, |report| report.running_from),
                    running_to: report.map_or(0, |report| report.running_to),
                }
            })
            .collect();
        let cut = state.live.lock().cut().map(|cut| cut.reason.clone());
        Observation {
            now_unix_ms: self.context.clock.unix_ms(),
            entries,
            targets,
            routes,
            take_back: cut.or_else(|| self.is_withdrawn(current).then_some(Reason::Withdrawn)),
        }
    }

    /// A move is withdrawn when a later ticket has removed or replaced it. A
    /// configuration that does not contain its ticket yet says nothing about it.
    fn is_withdrawn(&self, current: &Move) -> bool {
        let id = ObjectId::new(Kind::Move, current.name.clone());
        self.store.fold().last_ticket(&id) > current.ticket
    }
}
