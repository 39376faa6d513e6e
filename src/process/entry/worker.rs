//! State of one traffic thread of an entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    num::NonZeroUsize,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use ntex::client::Client;
use tokio::sync::mpsc;

use super::{
    context::{
        Context,
        TargetViews, //
    },
    probe::{
        Asked,
        Prober, //
    },
};
use crate::{
    error::Result,
    names::{
        Digest,
        Incarnation,
        Name, //
    },
    process::{
        client,
        connections::Connections,
        hints::{
            CacheObservation,
            Hints, //
        },
        membership::rendezvous::choose,
        rpc::ProbeRequest, //
    },
    request::{
        placement::{
            Decision,
            PlacementSettings,
            Placer,
            ProbeResult,
            Target,
            TargetId,
            confine,
            rendezvous_seed, //
        },
        prompt::BlockHash,
        retry::{
            RetryBudget,
            RetryRate, //
        },
    },
    version::config::{
        self,
        Config,
        OrganisationKey,
        ServiceKey,
        ServiceKind,
        TargetKey, //
    },
};

/// Blocks whose share of the traffic is remembered, about 100 bytes each.
const MAX_TRACKED_BLOCKS: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// Blocks whose holders are remembered, about 200 bytes each.
const HINT_BLOCKS: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// Assumed time to compute a block; engines do not report theirs.
pub(super) const BLOCK_US: u64 = 50_000;

/// Attempts that wait to be cancelled; more are left to their agents.
const MAX_CANCELLATIONS: usize = 1_024;

/// Agents remembered as stopping. Reports repeat the announcement, so it is safe
/// to forget.
const MAX_STOPPING: usize = 1_024;

/// Bound for one cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State of one traffic thread.
pub(super) struct Worker {
    pub(super) context: Arc<Context>,
    /// Reuses connections.
    pub(super) client: Client,
    /// Opens a connection for each call, because a reused one may have gone
    /// silent.
    pub(super) fresh_client: Client,
    pub(super) budget: RefCell<RetryBudget>,
    placer: RefCell<Placer>,
    hints: RefCell<Hints>,
    ids: RefCell<HashMap<Name, TargetId>>,
    cancellations: mpsc::Sender<String>,
    turn: Cell<usize>,
    prober: Rc<Prober>,
    pub(super) connections: Rc<Connections>,
    /// Agents that have announced their stop since the last report.
    stopping: RefCell<HashSet<Incarnation>>,
    rates: Cell<Rates>,
}

/// Sum of the rates of all organisations at a revision.
#[derive(Clone, Copy, Default)]
struct Rates {
    revision: u64,
    tokens_per_s: u64,
}

/// A target that was chosen, with the alternatives in order.
pub(super) struct Placement {
    pub(super) ordered: Vec<TargetKey>,
}

impl Worker {
    pub(super) async fn new(context: Arc<Context>) -> Result<Rc<Self>> {
        let now_us = context.clock.now_us();
        let client = client::build("agents").await?;
        let connections = Rc::<Connections>::default();
        let leaving = Arc::clone(&context);
        ntex::rt::spawn(Rc::clone(&connections).watch(move || leaving.is_leaving()));
        let (cancellations, urls) = mpsc::channel(MAX_CANCELLATIONS);
        ntex::rt::spawn(send_cancellations(client.clone(), urls));
        Ok(Rc::new(Self {
            cancellations,
            turn: Cell::new(0),
            prober: Rc::default(),
            connections,
            stopping: RefCell::default(),
            rates: Cell::default(),
            client,
            fresh_client: client::build_unpooled("fresh").await?,
            budget: RefCell::new(RetryBudget::new(RetryRate::default(), now_us)),
            placer: RefCell::new(Placer::new(
                PlacementSettings::default(),
                MAX_TRACKED_BLOCKS,
            )),
            hints: RefCell::new(Hints::new(HINT_BLOCKS)),
            ids: RefCell::default(),
            context,
        }))
    }

    /// Returns the targets of a service that may run a version, best first.
    ///
    /// A confined organisation gets only its part of them, so that a flood does
    /// not evict the cached blocks of the others everywhere.
    pub(super) async fn place(
        &self,
        config: &Config,
        service: ServiceKey,
        version: Option<&str>,
        prompt: &ProbeRequest,
        confined: Option<OrganisationKey>,
    ) -> Placement {
        let blocks = &prompt.blocks;
        let views = self.context.targets.load();
        let keys = config.targets_of(service).iter().copied();
        let usable: Vec<(TargetKey, Target)> = keys
            .filter_map(|key| Some((key, self.usable(config, &views, key, version)?)))
            .collect();
        if blocks.is_empty() {
            return self.place_evenly(usable);
        }
        let mut targets: Vec<Target> = usable.iter().map(|(_, target)| *target).collect();
        if let Some(organisation) = confined {
            let share = self.share_of_rates(config, organisation);
            targets = confine(&targets, &prompt.organisation, share);
            self.context.metrics.confined_placements.inc();
        }
        let Some(decision) = self.decide(config, &usable, &targets, prompt).await else {
            return Placement {
                ordered: Vec::new(),
            };
        };
        let key_of = |id: TargetId| {
            let found = usable.iter().find(|(_, target)| target.id == id);
            found.map(|(key, _)| *key)
        };
        let chosen = decision.choices.iter().map(|choice| choice.estimate.target);
        let first = std::iter::once(decision.target).chain(chosen);
        let others = targets.iter().map(|target| target.id);
        let mut ordered: Vec<TargetKey> = Vec::new();
        for key in first.chain(others).filter_map(key_of) {
            if !ordered.contains(&key) {
                ordered.push(key);
            }
        }
        Placement { ordered }
    }

    /// Returns the targets of a service in the order in which they are
    /// responsible for an idempotency key.
    pub(super) fn owners(
        &self,
        config: &Config,
        service: ServiceKey,
        key: Digest,
    ) -> Vec<TargetKey> {
        let keys = config.targets_of(service);
        let name_of = |key: &TargetKey| config.target(*key).map(|entry| &entry.target.name);
        let order = choose(
            &key.to_string(),
            keys.iter().filter_map(name_of),
            keys.len(),
        );
        let find = |name: &Name| keys.iter().find(|key| name_of(key) == Some(name)).copied();
        order.iter().filter_map(find).collect()
    }

    /// Returns the rate of an organisation as a part of all rates.
    fn share_of_rates(&self, config: &Config, organisation: OrganisationKey) -> f64 {
        let mut rates = self.rates.get();
        if rates.revision != config.revision() {
            let all = config.organisations();
            rates = Rates {
                revision: config.revision(),
                tokens_per_s: all.map(|(_, each)| each.rate_tokens_per_s).sum(),
            };
            self.rates.set(rates);
        }
        let own = config.organisation(organisation);
        let own_tokens_per_s = own.map_or(0, |own| own.rate_tokens_per_s);
        own_tokens_per_s as f64 / rates.tokens_per_s.max(1) as f64
    }

    /// Without a cached prefix, targets with equal queues take turns.
    fn place_evenly(&self, mut usable: Vec<(TargetKey, Target)>) -> Placement {
        let turn = self.turn.get().wrapping_add(1);
        self.turn.set(turn);
        if !usable.is_empty() {
            let first = turn % usable.len();
            usable.rotate_left(first);
        }
        usable.sort_by_key(|(_, target)| target.queue_us);
        Placement {
            ordered: usable.into_iter().map(|(key, _)| key).collect(),
        }
    }

    /// Cancels an attempt at its agent. One that does not arrive is cancelled by
    /// the agent itself when nobody reads its stream.
    pub(super) fn cancel(&self, url: String) {
        let _ = self.cancellations.try_send(url);
    }

    /// Notes that an agent has announced its stop, earlier than its next report.
    pub(super) fn note_stopping(&self, agent: Incarnation) {
        let mut stopping = self.stopping.borrow_mut();
        if stopping.len() >= MAX_STOPPING {
            stopping.clear();
        }
        stopping.insert(agent);
    }

    /// Records what an answer says about the cache of a target.
    pub(super) fn note_answer(&self, target: &Name, blocks: &[BlockHash], seen: Answered) {
        let now_us = self.context.clock.now_us();
        let observation = CacheObservation {
            target: self.id(target),
            engine: seen.engine,
            matched_blocks: seen.matched_blocks,
            sent_at_us: seen.sent_at_us,
        };
        self.hints
            .borrow_mut()
            .record_answer(blocks, observation, now_us);
    }

    async fn decide(
        &self,
        config: &Config,
        usable: &[(TargetKey, Target)],
        targets: &[Target],
        prompt: &ProbeRequest,
    ) -> Option<Decision> {
        let blocks = &prompt.blocks;
        let now_us = self.context.clock.now_us();
        let engine_of = |id| {
            let target = targets.iter().find(|target| target.id == id);
            target.map(|target| target.engine)
        };
        let hints = self.hints.borrow().lookup(blocks, engine_of);
        let plan = self
            .placer
            .borrow_mut()
            .plan(blocks, targets, &hints, now_us);
        let mut probes = self.probe(config, usable, &plan.probes, prompt).await;
        let more = self
            .placer
            .borrow()
            .choose_more_probes(&plan, blocks, targets, &probes);
        if !probes.is_empty() && !more.is_empty() {
            probes.extend(self.probe(config, usable, &more, prompt).await);
        }
        let placer = self.placer.borrow();
        placer.decide(&plan, blocks, targets, &probes)
    }

    async fn probe(
        &self,
        config: &Config,
        usable: &[(TargetKey, Target)],
        ids: &[TargetId],
        prompt: &ProbeRequest,
    ) -> Vec<ProbeResult> {
        if ids.is_empty() {
            return Vec::new();
        }
        let asked = usable.iter().filter(|(_, target)| ids.contains(&target.id));
        let asked: Vec<Asked> = asked
            .filter_map(|(key, _)| config.target(*key))
            .map(|entry| Asked {
                target: entry.target.name.clone(),
                control_address: entry.target.control_address,
            })
            .collect();
        let answers = self.prober.ask(&asked, prompt).await;
        let probes = answers.into_iter().map(|(target, answer)| {
            if answer.leaving {
                self.note_stopping(answer.agent);
            }
            ProbeResult {
                target: self.id(&target),
                engine: answer.engine,
                matched_blocks: answer.matched_blocks,
                queue_us: answer.queue_us,
            }
        });
        probes.collect()
    }

    fn usable(
        &self,
        config: &Config,
        views: &TargetViews,
        key: TargetKey,
        version: Option<&str>,
    ) -> Option<Target> {
        let entry = config.target(key)?;
        let view = views.get(&entry.target.name)?;
        let service = config.service(entry.service)?;
        if view.leaving
            || !serves(service.kind, &entry.target, &view.versions, version)
            || self.stopping.borrow().contains(&view.agent)
        {
            return None;
        }
        Some(Target {
            id: self.id(&entry.target.name),
            seed: rendezvous_seed(&entry.target.name),
            engine: view.engine,
            queue_us: view.queue_us,
            block_us: BLOCK_US,
            network_us: 0,
        })
    }

    fn id(&self, target: &Name) -> TargetId {
        let mut ids = self.ids.borrow_mut();
        if let Some(id) = ids.get(target) {
            return *id;
        }
        let id = TargetId(u32::try_from(ids.len()).unwrap_or(u32::MAX));
        ids.insert(target.clone(), id);
        id
    }
}

/// Returns whether a target may run a version. A plain target runs the release
/// that it is configured with, and an engine what it has loaded; one that states
/// nothing runs any.
pub(super) fn serves(
    kind: ServiceKind,
    target: &config::Target,
    loaded: &[Name],
    version: Option<&str>,
) -> bool {
    version.is_none_or(|version| match kind {
        ServiceKind::Plain => *target.version == *version,
        ServiceKind::Model => loaded.is_empty() || loaded.iter().any(|own| **own == *version),
    })
}

/// What the head of an answer says about the cache of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answered {
    pub(super) engine: Incarnation,
    pub(super) matched_blocks: u32,
    pub(super) sent_at_us: u64,
}

async fn send_cancellations(client: Client, mut urls: mpsc::Receiver<String>) {
    while let Some(url) = urls.recv().await {
        let request = client.post(url);
        ntex::rt::spawn(async move {
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, request.send()).await;
        });
    }
}
