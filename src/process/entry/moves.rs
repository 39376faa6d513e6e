//! Version moves as the traffic threads apply them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use super::context::Context;
use crate::{
    names::Name,
    version::{
        config::{
            Config,
            ServiceKey,
            ServiceKind, //
        },
        evidence::{
            Side,
            counts::Sample, //
        },
        rollout::{
            FULL_PERMILLE,
            cut::LocalMove, //
        },
    },
};

/// Moves by service, published by the control thread.
pub(super) type LiveMoves = HashMap<Name, Arc<LiveMove>>;

/// Move of a service, the last one or the present one.
pub(super) struct LiveMove {
    local: Mutex<LocalMove>,
}

impl LiveMove {
    pub(super) fn new(local: LocalMove) -> Self {
        Self {
            local: Mutex::new(local),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LocalMove> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests that run, by service and version.
#[derive(Default)]
pub(super) struct RunningVersions {
    counts: Mutex<BTreeMap<(Name, Name), u64>>,
}

impl RunningVersions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(Name, Name), u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the requests of a service that run on a version.
    pub(super) fn of(&self, service: &Name, version: &Name) -> u64 {
        let key = (service.clone(), version.clone());
        self.lock().get(&key).copied().unwrap_or(0)
    }

    fn begin(&self, service: &Name, version: &Name) {
        let key = (service.clone(), version.clone());
        *self.lock().entry(key).or_default() += 1;
    }

    fn end(&self, service: &Name, version: &Name) {
        let key = (service.clone(), version.clone());
        let mut running = self.lock();
        if let Some(count) = running.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                running.remove(&key);
            }
        }
    }
}

/// Evidence from one answer.
#[derive(Clone, Debug)]
pub(super) struct MoveSample {
    pub(super) service: Name,
    pub(super) ticket: u64,
    pub(super) route: Name,
    pub(super) side: Side,
    pub(super) sample: Sample,
}

/// Version of a request, counted as running until it is dropped.
pub(super) struct VersionUse {
    context: Arc<Context>,
    service: Name,
    route: Name,
    version: Name,
    /// Ticket of the move and side of the version.
    compared: Option<(u64, Side)>,
}

/// Version of a service without a move object that applies.
pub(super) struct Configured {
    pub(super) version: Name,
    /// Versions that targets of a plain service are configured with; `None` for
    /// engines, which can load any.
    pub(super) served: Option<Vec<Name>>,
}

/// Returns the version of a service as far as the configuration tells: that which
/// a move replaces, or that of the first target.
pub(super) fn configured(config: &Config, service: ServiceKey) -> Option<Configured> {
    let targets = config.targets_of(service).iter();
    let entries: Vec<_> = targets.filter_map(|key| config.target(*key)).collect();
    let first = &entries.first()?.target.version;
    let replaced = config.move_of(service).map(|row| &row.from);
    let kind = config.service(service)?.kind;
    let versions = entries.iter().map(|entry| entry.target.version.clone());
    Some(Configured {
        version: replaced.unwrap_or(first).clone(),
        served: (kind == ServiceKind::Plain).then(|| versions.collect()),
    })
}

/// Returns whether the requests of a service run only on targets that serve their
/// version. Without a move, the targets of a plain service are interchangeable
/// while tickets change their releases one by one.
pub(super) fn binds_targets(config: &Config, service: ServiceKey) -> bool {
    let kind = config.service(service).map(|row| row.kind);
    kind == Some(ServiceKind::Model) || config.move_of(service).is_some()
}

impl VersionUse {
    /// Chooses the version of a request.
    pub(super) fn choose(
        context: &Arc<Context>,
        service: &Name,
        route: &Name,
        configured: Configured,
    ) -> Self {
        let moves = context.moves.load();
        // The request is counted before the lock is released, so that an
        // entry never acknowledges a step while it starts a request by the
        // former one.
        let mut local = moves.get(service).map(|live| live.lock());
        // The release of plain targets may have been changed by tickets alone
        // since the move.
        let is_served = |version: &Name| {
            let served = configured.served.as_ref();
            served.is_none_or(|served| served.contains(version))
        };
        let moved = local.as_mut().filter(|local| {
            let current = local.current();
            is_served(&current.from) || is_served(&current.to)
        });
        let (version, compared) = match moved {
            None => (configured.version, None),
            Some(local) => {
                let side = local.choose(route);
                let current = local.current();
                let version = match side {
                    Side::Old => current.from.clone(),
                    Side::New => current.to.clone(),
                };
                (version, Some((current.ticket, side)))
            }
        };
        context.running_versions.begin(service, &version);
        drop(local);
        Self {
            context: Arc::clone(context),
            service: service.clone(),
            route: route.clone(),
            version,
            compared,
        }
    }

    pub(super) fn version(&self) -> &Name {
        &self.version
    }

    /// Takes the old version instead of the new one, of which no target is known
    /// here yet: reports of a load reach other entries later than the holder.
    /// Returns the old version; `None` when the new one has all traffic.
    pub(super) fn fall_back(&mut self) -> Option<Name> {
        let moves = self.context.moves.load();
        let local = moves.get(&self.service)?.lock();
        let current = local.current();
        let is_new = self.compared == Some((current.ticket, Side::New));
        if !is_new || local.share_permille() >= FULL_PERMILLE {
            return None;
        }
        let running = &self.context.running_versions;
        running.begin(&self.service, &current.from);
        running.end(&self.service, &self.version);
        self.version = current.from.clone();
        self.compared = Some((current.ticket, Side::Old));
        Some(self.version.clone())
    }

    /// Whether a move decided on the version.
    pub(super) fn is_moved(&self) -> bool {
        self.compared.is_some()
    }

    /// Passes evidence to the control thread; it is not counted when that is
    /// too busy.
    pub(super) fn record(&self, sample: Sample) {
        let Some((ticket, side)) = self.compared else {
            return;
        };
        let _ = self.context.samples.try_send(MoveSample {
            service: self.service.clone(),
            ticket,
            route: self.route.clone(),
            side,
            sample,
        });
    }
}

impl Drop for VersionUse {
    fn drop(&mut self) {
        let running = &self.context.running_versions;
        running.end(&self.service, &self.version);
    }
}

/// Times of a stream for the evidence.
#[derive(Default)]
pub(super) struct Measure {
    first: Option<(u64, u32)>,
    last: Option<(u64, u32)>,
}

impl Measure {
    /// Notes that a stream has emitted this many tokens so far.
    pub(super) fn note_part(&mut self, now_us: u64, tokens: u32) {
        self.first.get_or_insert((now_us, tokens));
        self.last = Some((now_us, tokens));
    }

    /// Returns the sample of an answer that has ended, and starts again.
    pub(super) fn take(
        &mut self,
        is_failed: bool,
        started_at_us: Option<u64>,
        now_us: u64,
    ) -> Sample {
        let first = self.first.take();
        let last = self.last.take();
        let first_token_us = first
            .zip(started_at_us)
            .map(|((at_us, _), started_at_us)| at_us.min(now_us).saturating_sub(started_at_us));
        let between_tokens_us = first.zip(last).and_then(|(first, last)| {
            let tokens = u64::from(last.1.saturating_sub(first.1));
            (last.0 - first.0).checked_div(tokens)
        });
        Sample {
            failed: is_failed,
            first_token_us,
            between_tokens_us,
        }
    }
}
