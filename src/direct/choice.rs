//! The targets of one request with everything that is known of them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc, //
};

use super::{
    attempt::IncomingRequest,
    cache::prompt_keys,
    context::ReportedEngine,
    message::{
        Prompt,
        TargetLoad, //
    },
    placement::{
        self,
        Availability,
        Cached,
        Candidate, //
    },
    platform_state::PlatformState,
    target::{
        TargetRecord,
        TargetState, //
    },
    worker::{
        TargetObservations,
        Worker, //
    },
};
use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Time in which an engine makes a token while others run there, between the
/// 4.4 ms of an idle engine and the 20 ms of one that reads prompts.
const TOKEN_US: u64 = 8 * US_PER_MS;

/// Time to the first token of a request at an engine.
const FIRST_TOKEN_US: u64 = 250 * US_PER_MS;

/// Returns when a request that is sent now has probably ended.
const fn expected_end_us(prompt: &Prompt, now_us: u64) -> u64 {
    now_us + FIRST_TOKEN_US + prompt.expected_output_tokens * TOKEN_US
}

/// A target that may run a request, and what speaks for it.
pub(super) struct TargetChoice {
    pub(super) target: Arc<TargetRecord>,
    pub(super) availability: Availability,
    pub(super) load: TargetLoad,
    /// Age of the load, `None` when none was heard.
    pub(super) load_age_us: Option<u64>,
    /// Version of the target's weights, `None` when nothing tells it.
    pub(super) weights: Option<u64>,
    /// Namespace of the request's cached parts there.
    pub(super) namespace: Option<String>,
    pub(super) cached: Cached,
    /// Engine with the same weights that has cached parts of the prompt.
    pub(super) import_from: Option<SocketAddr>,
}

impl TargetChoice {
    /// Returns the tokens of shared parts that no engine is known to have cached.
    pub(super) fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        let leading = self.cached.leading_tokens.unwrap_or(0);
        let known = leading.max(self.cached.importable_tokens);
        prompt.shared_tokens().saturating_sub(known)
    }
}

/// Shared parts of a prompt under one namespace, and the engines that have most
/// of them.
struct Holders {
    namespace: String,
    keys: Vec<(u64, u64)>,
    /// The two engines with most tokens; the second serves the first.
    best: [Option<(u64, SocketAddr)>; 2],
}

impl Holders {
    fn note(&mut self, tokens: u64, address: SocketAddr) {
        let found = Some((tokens, address));
        if self.best[0].is_none_or(|(best, _)| tokens > best) {
            self.best = [found, self.best[0]];
        } else if self.best[1].is_none_or(|(best, _)| tokens > best) {
            self.best[1] = found;
        }
    }

    /// Returns the engine with most tokens besides the one at an address.
    fn other_than(&self, address: SocketAddr) -> Option<(u64, SocketAddr)> {
        let mut others = self.best.iter().flatten();
        others.find(|(_, other)| *other != address).copied()
    }
}

impl<P> Worker<P> {
    /// Returns the ready targets of a request's service, best first, without
    /// those that were tried.
    pub(super) fn choices(
        &self,
        platform_state: &PlatformState,
        incoming: &IncomingRequest,
        tried: &HashSet<Name>,
    ) -> Vec<TargetChoice> {
        let now_us = self.now_us();
        let prompt = incoming.head.prompt.as_ref();
        let views = self.observations.borrow();
        let engines = self.context.engines();
        let unseen = TargetObservations::default();
        let mut holders: Vec<Holders> = Vec::new();
        let mut views_of = Vec::new();
        let mut choices: Vec<TargetChoice> = Vec::new();
        for record in platform_state.targets.values() {
            if record.service != incoming.service || record.state != TargetState::Ready {
                continue;
            }
            let view = views.get(&record.id).unwrap_or(&unseen);
            let heard = engines
                .get(&record.id)
                .filter(|heard| now_us < heard.valid_until_us);
            let weights = prompt.and_then(|prompt| weights_of(record, view, heard, &prompt.model));
            if prompt.is_some_and(|prompt| self.is_too_old(platform_state, weights, prompt, now_us))
            {
                continue;
            }
            let namespace = prompt.map(|_| incoming.cache_namespace(weights, &record.id));
            let (load, load_age_us) = load_of(record, view, heard, now_us);
            let availability = standing_of(view, heard, prompt, now_us);
            let mut leading_tokens = None;
            if let (Some(prompt), Some(namespace)) = (prompt, &namespace) {
                let found = holders.iter().position(|each| each.namespace == *namespace);
                let at = found.unwrap_or_else(|| {
                    holders.push(Holders {
                        namespace: namespace.clone(),
                        keys: prompt_keys(namespace, prompt),
                        best: [None; 2],
                    });
                    holders.len() - 1
                });
                let holder = &mut holders[at];
                let told = heard.and_then(|heard| heard.cached.leading_tokens(&holder.keys));
                let (computed, sent) = self.sent_prefix_tokens(&record.id, &holder.keys, now_us);
                let present = told.unwrap_or(0).max(computed);
                if present > 0 && availability < Availability::Avoided && weights.is_some() {
                    holder.note(present, record.address);
                }
                leading_tokens = (told.is_some() || sent > 0).then(|| present.max(sent));
            }
            if tried.contains(&record.id) {
                continue;
            }
            views_of.push(view);
            choices.push(TargetChoice {
                target: Arc::clone(record),
                availability,
                load,
                load_age_us,
                weights,
                namespace,
                cached: Cached {
                    leading_tokens,
                    importable_tokens: 0,
                },
                import_from: None,
            });
        }
        for choice in &mut choices {
            let holder = holders
                .iter()
                .find(|each| Some(&each.namespace) == choice.namespace.as_ref());
            if let Some((tokens, address)) =
                holder.and_then(|holder| holder.other_than(choice.target.address))
            {
                choice.cached.importable_tokens = tokens;
                choice.import_from = Some(address);
            }
        }
        let candidates: Vec<Candidate<'_>> = choices
            .iter()
            .zip(views_of)
            .map(|(choice, view)| Candidate {
                id: &choice.target.id,
                load: choice.load,
                own_running: view.own_running,
                own_prefill_tokens: view.own_prefill_tokens,
                failure_share: view.outlier.failure_share(),
                availability: choice.availability,
                is_outdated: prompt.is_some_and(|prompt| {
                    let rollout = platform_state.rollouts.get(&prompt.model);
                    rollout.is_some_and(|rollout| choice.weights < Some(rollout.weights.version))
                }),
                cached: choice.cached,
            })
            .collect();
        let entries = platform_state.entries.len().max(1);
        let order = placement::rank(&candidates, prompt, incoming.salt(), entries);
        let mut choices: Vec<Option<TargetChoice>> = choices.into_iter().map(Some).collect();
        order
            .into_iter()
            .filter_map(|at| choices[at].take())
            .collect()
    }

    /// Returns whether an engine lacks weights for so long that nothing may begin
    /// on its older ones.
    fn is_too_old(
        &self,
        platform_state: &PlatformState,
        weights: Option<u64>,
        prompt: &Prompt,
        now_us: u64,
    ) -> bool {
        let Some(rollout) = platform_state.rollouts.get(&prompt.model) else {
            return false;
        };
        let limit_us = self.context.settings.get().old_weights_ms * US_PER_MS;
        let since_us = weights.and_then(|version| rollout.outdated_since_us(version));
        since_us.is_some_and(|since_us| now_us >= since_us + limit_us)
    }
}

/// Returns the version of a target's weights, `None` when nothing tells it.
fn weights_of(
    record: &TargetRecord,
    view: &TargetObservations,
    heard: Option<&ReportedEngine>,
    model: &Name,
) -> Option<u64> {
    let told = heard.and_then(|heard| {
        let mut weights = heard.state.weights.iter();
        weights.find(|(name, _)| name == model)
    });
    let told = told.map(|(_, version)| *version);
    let listed = record.weights.get(model).copied();
    listed.max(view.weights).max(told)
}

/// Returns the load of a target with its age.
fn load_of(
    record: &TargetRecord,
    view: &TargetObservations,
    heard: Option<&ReportedEngine>,
    now_us: u64,
) -> (TargetLoad, Option<u64>) {
    if let Some(heard) = heard {
        let load = TargetLoad {
            running: heard.state.running,
            waiting: heard.state.waiting,
            slots: record.slots,
        };
        return (load, Some(now_us.saturating_sub(heard.reported_at_us)));
    }
    if let Some(age_us) = view.load_age_us(now_us) {
        return (view.load, Some(age_us));
    }
    let load = TargetLoad {
        slots: record.slots,
        ..TargetLoad::default()
    };
    (load, None)
}

fn standing_of(
    view: &TargetObservations,
    heard: Option<&ReportedEngine>,
    prompt: Option<&Prompt>,
    now_us: u64,
) -> Availability {
    let end_us = prompt.map_or(now_us, |prompt| expected_end_us(prompt, now_us));
    match heard {
        Some(heard) if heard.state.is_paused => Availability::Paused,
        _ if view.outlier.is_avoided(now_us) => Availability::Avoided,
        Some(heard) if heard.is_paused_before(end_us) => Availability::ClosingSoon,
        _ => Availability::Open,
    }
}
