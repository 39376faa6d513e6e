//! Finds the targets that may run a request and ranks them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    admission::Offer,
    attempt::IncomingRequest,
    cache::prompt_keys,
    capacity::{
        EngineCosts,
        EngineWork,
        Forecast,
        PlainTimes,
        memory_wait_ms, //
    },
    context::ReportedEngine,
    message::{
        Prompt,
        TargetLoad, //
    },
    placement::{
        self,
        Availability,
        CachedTokens,
        Candidate, //
    },
    platform_state::PlatformState,
    sampling,
    service_rollout::ReleaseChoice,
    steering::{
        self,
        PromptLength,
        ServiceSize,
        prompt_length, //
    },
    target::TargetRecord,
    worker::{
        TargetObservations,
        Worker, //
    },
};
use crate::{
    clock::US_PER_MS,
    names::Name,
    version::evidence::Side, //
};

/// Time in which a busy engine generates one token. An idle engine takes 4.4 ms,
/// and one that prefills prompts takes 20 ms.
const TOKEN_US: u64 = 8 * US_PER_MS;

/// Seed of the hash that draws the release of a request, so that it does not depend on
/// what else is drawn by the request's id.
const RELEASE_SEED: u64 = 1;

/// Age of the load in an engine's report when the report arrives.
const REPORT_DELAY_US: u64 = 200 * US_PER_MS;

/// Tokens to import from which a time to the first token is not learned from, as it is
/// that of the import.
const MIN_IMPORT_TOKENS: u64 = 512;

/// Estimated time to the first token of a request at an engine.
const FIRST_TOKEN_US: u64 = 250 * US_PER_MS;

/// Returns when a request that is sent now is expected to end.
const fn expected_end_us(prompt: &Prompt, now_us: u64) -> u64 {
    now_us + FIRST_TOKEN_US + prompt.expected_output_tokens * TOKEN_US
}

/// A target that may run a request, with the state that decided its rank.
pub(super) struct TargetChoice {
    pub(super) target: Arc<TargetRecord>,
    pub(super) availability: Availability,
    pub(super) load: TargetLoad,
    /// Age of the load report, `None` when there is no recent one.
    pub(super) load_age_us: Option<u64>,
    /// Version of the target's weights, `None` when unknown.
    pub(super) weights: Option<u64>,
    /// Namespace of the request's cached parts at the target.
    pub(super) namespace: Option<String>,
    pub(super) cached: CachedTokens,
    /// Engine with the same weights from which parts of the prompt can be imported.
    pub(super) import_from: Option<SocketAddr>,
    /// Whether the target is one that prompts of the request's length prefer.
    pub(super) suits_length: bool,
    /// Whether the target is cold.
    pub(super) is_cold: bool,
    /// When the target is expected to answer.
    pub(super) forecast: Forecast,
    /// What delays the first token at an engine, as far as its cache is known.
    pub(super) work: Option<EngineWork>,
    /// Time until the engine's memory has room for the request, 0 when it has now or is
    /// not reported.
    pub(super) memory_wait_us: u64,
}

impl TargetChoice {
    /// Returns the number of tokens of the whole prompt that the target has to read, as
    /// far as this entry knows.
    pub(super) fn uncached_input_tokens(&self, prompt: &Prompt) -> u64 {
        let leading = self.cached.leading_tokens.unwrap_or(0);
        let known = leading.max(self.cached.importable_tokens);
        prompt.input_tokens.saturating_sub(known)
    }

    /// Returns the number of tokens of shared parts that neither the target has
    /// cached nor another engine can supply, as far as this entry knows.
    pub(super) fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        let leading = self.cached.leading_tokens.unwrap_or(0);
        let known = leading.max(self.cached.importable_tokens);
        prompt.shared_tokens().saturating_sub(known)
    }

    /// Returns what admission has to know of the target.
    pub(super) fn offer(&self) -> Offer {
        Offer {
            forecast: self.forecast,
            load_age_us: self.load_age_us,
            is_full: self.load.waiting > 0 || self.load.running >= self.load.slots,
        }
    }

    /// Adds the requests of this entry that the engine's last report does not contain.
    fn add_unreported(&mut self, observed: &TargetObservations, now_us: u64) {
        let age_us = self.load_age_us.unwrap_or(u64::MAX);
        let reported_at_us = now_us.saturating_sub(age_us.saturating_add(REPORT_DELAY_US));
        let own = observed.own_requests(reported_at_us);
        let running = self.load.running.saturating_add(own.unreported);
        self.load.running = running.max(own.running);
    }

    /// Returns what delays the first token of a prompt at an engine, `None` when its cache
    /// is unknown or parts are imported.
    fn engine_work(&self, prompt: &Prompt, observed: &TargetObservations) -> Option<EngineWork> {
        let leading = self.cached.leading_tokens?;
        if self.cached.importable_tokens >= leading + MIN_IMPORT_TOKENS {
            return None;
        }
        let own_tokens = prompt.input_tokens.saturating_sub(leading);
        Some(EngineWork {
            tokens: own_tokens + observed.own_prefill_tokens,
            running: self.load.running,
            waiting: self.load.waiting,
        })
    }
}

/// Shared parts of a prompt under one namespace, and the engines that have cached
/// most of them.
struct ImportSources {
    namespace: String,
    /// Keys of the shared parts with their lengths in tokens.
    part_keys: Vec<(u64, u64)>,
    /// Cached tokens and addresses of the two engines that have cached most tokens.
    /// The second is the source for the first.
    best: [Option<(u64, SocketAddr)>; 2],
}

impl ImportSources {
    fn add(&mut self, tokens: u64, address: SocketAddr) {
        let source = Some((tokens, address));
        if self.best[0].is_none_or(|(best, _)| tokens > best) {
            self.best = [source, self.best[0]];
        } else if self.best[1].is_none_or(|(best, _)| tokens > best) {
            self.best[1] = source;
        }
    }

    /// Returns the engine with the most cached tokens, leaving out one address.
    fn best_except(&self, address: SocketAddr) -> Option<(u64, SocketAddr)> {
        let mut others = self.best.iter().flatten();
        others.find(|(_, other)| *other != address).copied()
    }
}

impl<P> Worker<P> {
    /// Returns the ready targets of a request's service, best first, without those
    /// that were already tried. Targets that were tried can still be sources of
    /// cached parts.
    pub(super) fn rank_targets(
        &self,
        platform_state: &PlatformState,
        incoming: &IncomingRequest,
        tried: &HashSet<Name>,
    ) -> Vec<TargetChoice> {
        let now_us = self.now_us();
        let prompt = incoming.head.prompt.as_ref();
        let observations = self.observations.borrow();
        let engines = self.context.engines();
        let no_observations = TargetObservations::default();
        let settings = self.context.settings.get();
        let constraint = incoming.constraint(platform_state, &settings.regions);
        let cold = self.context.cold_targets(platform_state, &incoming.service);
        let is_used_up = |id: &Name| cold.get(id) == Some(&false);
        let releases = self.choose_release(
            platform_state,
            incoming,
            |id| !tried.contains(id) && !is_used_up(id),
            !tried.is_empty(),
        );
        let mut all_sources: Vec<ImportSources> = Vec::new();
        let mut choice_observations = Vec::new();
        let mut choices: Vec<TargetChoice> = Vec::new();
        for record in constraint.targets(platform_state, &incoming.service) {
            let observed = observations.get(&record.id).unwrap_or(&no_observations);
            if observed.is_closed(record, now_us) {
                continue;
            }
            let reported_engine = engines
                .get(&record.id)
                .filter(|engine| now_us < engine.valid_until_us);
            let weights = prompt.and_then(|prompt| {
                latest_weights(record, observed, reported_engine, &prompt.model)
            });
            if prompt.is_some_and(|prompt| {
                self.has_expired_weights(platform_state, weights, prompt, now_us)
            }) {
                continue;
            }
            let namespace = prompt.map(|_| incoming.cache_namespace(weights, &record.id));
            let (load, load_age_us) = latest_load(record, observed, reported_engine, now_us);
            let availability = current_availability(observed, reported_engine, prompt, now_us);
            let mut leading_tokens = None;
            if let (Some(prompt), Some(namespace)) = (prompt, &namespace) {
                let existing = all_sources
                    .iter()
                    .position(|each| each.namespace == *namespace);
                let at = existing.unwrap_or_else(|| {
                    all_sources.push(ImportSources {
                        namespace: namespace.clone(),
                        part_keys: prompt_keys(namespace, prompt),
                        best: [None; 2],
                    });
                    all_sources.len() - 1
                });
                let sources = &mut all_sources[at];
                let reported_tokens = reported_engine
                    .and_then(|engine| engine.cached.leading_tokens(&sources.part_keys));
                let (computed, sent) =
                    self.sent_prefix_tokens(&record.id, &sources.part_keys, now_us);
                let present = reported_tokens.unwrap_or(0).max(computed);
                if present > 0 && availability < Availability::Avoided && weights.is_some() {
                    sources.add(present, record.address);
                }
                leading_tokens = (reported_tokens.is_some() || sent > 0).then(|| present.max(sent));
            }
            let is_other_release = releases
                .as_ref()
                .is_some_and(|choice| choice.side_of(&record.release) != choice.side);
            if is_other_release || tried.contains(&record.id) || is_used_up(&record.id) {
                continue;
            }
            choice_observations.push(observed);
            choices.push(TargetChoice {
                target: Arc::clone(record),
                availability,
                load,
                load_age_us,
                weights,
                namespace,
                cached: CachedTokens {
                    leading_tokens,
                    importable_tokens: 0,
                },
                import_from: None,
                suits_length: true,
                is_cold: cold.contains_key(&record.id),
                forecast: Forecast::default(),
                work: None,
                memory_wait_us: prompt.map_or(0, |prompt| {
                    memory_wait_us(prompt, observed, reported_engine, now_us)
                }),
            });
        }
        for choice in &mut choices {
            let sources = all_sources
                .iter()
                .find(|each| Some(&each.namespace) == choice.namespace.as_ref());
            if let Some((tokens, address)) =
                sources.and_then(|sources| sources.best_except(choice.target.address))
            {
                choice.cached.importable_tokens = tokens;
                choice.import_from = Some(address);
            }
        }
        let entries = platform_state.entries.len().max(1);
        let steering_costs_ms = self.steering_costs_ms(platform_state, &choices, incoming);
        let capacity = self.context.capacity();
        let is_paced = capacity.states_pace(&incoming.service, now_us);
        let is_sampled =
            draw_open_sample(&choices, &steering_costs_ms, incoming, entries, is_paced);
        let plain_times: Vec<Option<PlainTimes>> = choices
            .iter()
            .zip(&choice_observations)
            .map(|(choice, observed)| {
                if prompt.is_some() {
                    return None;
                }
                let id = &choice.target.id;
                let stated_at_us = capacity.stated_at_us(&incoming.service, id);
                let own = observed.own_requests(stated_at_us);
                capacity.plain_times(&incoming.service, id, own, now_us)
            })
            .collect();
        let engine_costs: Vec<Option<EngineCosts>> = choices
            .iter()
            .map(|choice| {
                prompt.and_then(|_| {
                    let costs =
                        capacity.engine_costs(&incoming.service, &choice.target.id, now_us)?;
                    let memory_wait_ms = choice.memory_wait_us as f64 / US_PER_MS as f64;
                    Some(EngineCosts {
                        memory_wait_ms,
                        ..costs
                    })
                })
            })
            .collect();
        let spread = capacity.spread(&incoming.service, now_us);
        drop(capacity);
        if let Some(prompt) = prompt.filter(|_| is_paced) {
            for (choice, observed) in choices.iter_mut().zip(&choice_observations) {
                choice.add_unreported(observed, now_us);
                choice.work = choice.engine_work(prompt, observed);
            }
        }
        for (choice, cost_ms) in choices.iter_mut().zip(&steering_costs_ms) {
            choice.suits_length = *cost_ms == 0.0;
        }
        let candidates: Vec<Candidate<'_>> = choices
            .iter()
            .zip(choice_observations)
            .zip(is_sampled.into_iter().zip(steering_costs_ms))
            .zip(plain_times.iter().zip(&engine_costs))
            .map(
                |(((choice, observed), (is_sampled, steering_cost_ms)), (times, costs))| {
                    Candidate {
                        is_sampled,
                        expected_ms: times.map(|times| times.rank_ms),
                        engine_costs: *costs,
                        steering_cost_ms,
                        id: &choice.target.id,
                        load: choice.load,
                        own_running: observed.own_running,
                        own_prefill_tokens: observed.own_prefill_tokens,
                        failure_share: observed.outlier.failure_share(),
                        availability: choice.availability,
                        is_cold: choice.is_cold,
                        is_outdated: prompt.is_some_and(|prompt| {
                            let rollout = platform_state.rollouts.get(&prompt.model);
                            rollout.is_some_and(|rollout| {
                                choice.weights < Some(rollout.weights.version)
                            })
                        }),
                        cached: choice.cached,
                    }
                },
            )
            .collect();
        let order = placement::rank_with_costs(&candidates, prompt, incoming.salt(), entries);
        let mut choices: Vec<Option<TargetChoice>> = choices.into_iter().map(Some).collect();
        order
            .into_iter()
            .filter_map(|(at, cost_ms)| {
                let mut choice = choices[at].take()?;
                choice.forecast = Forecast::from_cost_ms(cost_ms, has_free_place(&choice));
                if let Some(times) = plain_times[at] {
                    choice.forecast.first_token_us = times.answer_us;
                    choice.forecast.spread_us = times.spread_us;
                }
                if engine_costs[at].is_none() {
                    choice.forecast.first_token_us += choice.memory_wait_us;
                }
                if let Some(costs) = &engine_costs[at] {
                    // The cost has penalties that are no time.
                    if let Some(work) = &choice.work {
                        let first_ms = costs.first_token_ms(work);
                        choice.forecast = Forecast::from_cost_ms(first_ms, has_free_place(&choice));
                    }
                    choice.forecast.spread_us =
                        (choice.forecast.first_token_us as f64 * spread) as u64;
                }
                Some(choice)
            })
            .collect()
    }

    /// Returns whether a request could run at a cold target that takes no request of this
    /// entry now, but will.
    pub(super) fn has_used_up_target(
        &self,
        platform_state: &PlatformState,
        incoming: &IncomingRequest,
    ) -> bool {
        let cold = self.context.cold_targets(platform_state, &incoming.service);
        let settings = self.context.settings.get();
        let constraint = incoming.constraint(platform_state, &settings.regions);
        let mut targets = constraint.targets(platform_state, &incoming.service);
        targets.any(|record| cold.contains_key(&record.id))
    }

    /// Returns for each choice the cost of the prompt's length there, 0 where engines are
    /// not divided between short and long prompts.
    fn steering_costs_ms(
        &self,
        platform_state: &PlatformState,
        choices: &[TargetChoice],
        incoming: &IncomingRequest,
    ) -> Vec<f64> {
        let length = self.prompt_length(platform_state, incoming);
        let (Some(length), Some(first)) = (length, choices.first()) else {
            return vec![0.0; choices.len()];
        };
        let ids = choices.iter().map(|choice| &choice.target.id);
        let reported = choices.iter().filter(|choice| choice.load_age_us.is_some());
        let running: u32 = reported.clone().map(|choice| choice.load.running).sum();
        let size = ServiceSize {
            slots: first.target.slots,
            entries: platform_state.entries.len(),
            // Missing reports of a few engines hardly change the division.
            running: (reported.count() * 2 > choices.len()).then_some(running),
        };
        let mut steering = self.context.steering();
        let is_short = steering.divide(&incoming.service, ids, size, self.now_us());
        steering::costs_ms(length, &is_short)
    }

    /// Returns whether a prompt is long for the streams of its service, `None` when the
    /// service's engines are not divided by that.
    ///
    /// They are divided with overload control, and where they state their pace: a slow
    /// engine reads a long prompt so slowly that its streams stall.
    fn prompt_length(
        &self,
        platform_state: &PlatformState,
        incoming: &IncomingRequest,
    ) -> Option<PromptLength> {
        let (is_paced, tokens_per_ms) = {
            let capacity = self.context.capacity();
            let now_us = self.now_us();
            let service = &incoming.service;
            (
                capacity.states_pace(service, now_us),
                capacity.tokens_per_ms(service, now_us),
            )
        };
        if !self.context.has_overload_control && !is_paced {
            return None;
        }
        let prompt = incoming.head.prompt.as_ref()?;
        let table = platform_state.table.as_ref()?;
        let gap_ms = table.gap_goal_ms(&incoming.service)?;
        let gap_tokens = gap_ms as f64 * tokens_per_ms;
        Some(prompt_length(prompt, gap_tokens as u64))
    }

    /// Counts a request in the traffic that divides the engines of its service.
    pub(super) fn record_length(&self, incoming: &IncomingRequest) {
        let platform_state = self.context.platform_state.load();
        let length = self.prompt_length(&platform_state, incoming);
        if let (Some(length), Some(prompt)) = (length, &incoming.head.prompt) {
            let now_us = self.now_us();
            let run_us = expected_end_us(prompt, now_us) - now_us;
            let mut steering = self.context.steering();
            steering.record(&incoming.service, length, run_us, now_us);
        }
    }

    /// Returns the side that a request of a service with a rollout is sent to, `None` when
    /// any target will do.
    fn choose_release(
        &self,
        platform_state: &PlatformState,
        incoming: &IncomingRequest,
        is_usable: impl Fn(&Name) -> bool,
        has_tried: bool,
    ) -> Option<ReleaseChoice> {
        let point = xxh3_64_with_seed(incoming.id().as_bytes(), RELEASE_SEED);
        let mut choice = self
            .context
            .service_rollouts()
            .choose(&incoming.service, point)?;
        let settings = self.context.settings.get();
        let constraint = incoming.constraint(platform_state, &settings.regions);
        let has_targets = |side: Side| {
            let mut targets = constraint.targets(platform_state, &incoming.service);
            targets.any(|record| choice.side_of(&record.release) == side && is_usable(&record.id))
        };
        let is_retry = has_tried && has_targets(choice.retry_side);
        let side = if is_retry {
            choice.retry_side
        } else {
            choice.side
        };
        let is_kept = has_targets(side) || !choice.has_fallback;
        choice.side = side;
        is_kept.then_some(choice)
    }

    /// Returns whether an engine's weights have been outdated for so long that no
    /// request may start on them.
    fn has_expired_weights(
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

/// Returns for each choice whether it is one of the open targets that a request
/// compares. Targets that are no engines report their load with each answer, and are
/// all compared, except where they state their pace: many entries would choose the
/// fastest one until they hear that it is busy.
///
/// Where the engines are divided by the length of prompts, the sample is drawn from those
/// that suit the request, with one of the others in case all of them are too busy.
fn draw_open_sample(
    choices: &[TargetChoice],
    steering_costs_ms: &[f64],
    incoming: &IncomingRequest,
    entries: usize,
    is_paced: bool,
) -> Vec<bool> {
    let is_drawn = incoming.head.prompt.is_some() || is_paced && incoming.head.id.is_some();
    if !is_drawn {
        return vec![true; choices.len()];
    }
    let is_open = |choice: &TargetChoice| choice.availability < Availability::Avoided;
    let seed = xxh3_64(incoming.id().as_bytes());
    let draw = |suits: bool, size: Option<usize>| {
        let positions: Vec<usize> = (0..choices.len())
            .filter(|at| !choices[*at].is_cold)
            .filter(|at| is_open(&choices[*at]) && (steering_costs_ms[*at] == 0.0) == suits)
            .collect();
        let size = size.unwrap_or_else(|| sampling::sample_size(positions.len(), entries));
        let ids = positions.iter().map(|at| &choices[*at].target.id);
        let drawn = sampling::draw_sample(ids, seed, size);
        let chosen = positions.into_iter().zip(drawn);
        chosen.filter_map(|(at, is_drawn)| is_drawn.then_some(at))
    };
    // Few cold targets take requests at a time. All of these are compared, as a sample of
    // cold ones alone would come before warm ones.
    let mut is_sampled: Vec<bool> = choices.iter().map(|choice| choice.is_cold).collect();
    for at in draw(true, None).chain(draw(false, Some(1))) {
        is_sampled[at] = true;
    }
    is_sampled
}

/// Returns whether a recent report of a target's load shows a free place.
fn has_free_place(choice: &TargetChoice) -> bool {
    let load = choice.load;
    choice.load_age_us.is_some()
        && choice.availability == Availability::Open
        && load.waiting == 0
        && load.running < load.slots
        && choice.memory_wait_us == 0
}

/// Returns the time until the memory of an engine has room for a request.
fn memory_wait_us(
    prompt: &Prompt,
    observed: &TargetObservations,
    reported_engine: Option<&ReportedEngine>,
    now_us: u64,
) -> u64 {
    let reported = reported_engine.and_then(|engine| Some((engine, engine.state.memory?)));
    let Some((engine, memory)) = reported else {
        return 0;
    };
    let reported_at_us = engine.reported_at_us.saturating_sub(REPORT_DELAY_US);
    let sent_tokens = observed.own_requests(reported_at_us).unreported_tokens;
    let run_ms = (expected_end_us(prompt, now_us) - now_us) as f64 / US_PER_MS as f64;
    let wait_ms = memory_wait_ms(&memory, sent_tokens, prompt.expected_tokens(), run_ms);
    (wait_ms * US_PER_MS as f64) as u64
}

/// Returns the latest reported version of a target's weights, `None` when unknown.
fn latest_weights(
    record: &TargetRecord,
    observed: &TargetObservations,
    reported_engine: Option<&ReportedEngine>,
    model: &Name,
) -> Option<u64> {
    let reported_weights = reported_engine.and_then(|engine| {
        let mut weights = engine.state.weights.iter();
        weights.find(|(name, _)| name == model)
    });
    let reported_weights = reported_weights.map(|(_, version)| *version);
    let listed = record.weights.get(model).copied();
    listed.max(observed.weights).max(reported_weights)
}

/// Returns the last load that the agent or the target itself reported, with its age.
fn latest_load(
    record: &TargetRecord,
    observed: &TargetObservations,
    reported_engine: Option<&ReportedEngine>,
    now_us: u64,
) -> (TargetLoad, Option<u64>) {
    if let Some(engine) = reported_engine {
        let load = TargetLoad {
            running: engine.state.running,
            waiting: engine.state.waiting,
            slots: record.slots,
            pace_percent: None,
        };
        return (load, Some(now_us.saturating_sub(engine.reported_at_us)));
    }
    if let Some(age_us) = observed.load_age_us(now_us) {
        return (observed.load, Some(age_us));
    }
    let load = TargetLoad {
        slots: record.slots,
        ..TargetLoad::default()
    };
    (load, None)
}

/// Returns whether a target can take a request that is sent now.
fn current_availability(
    observed: &TargetObservations,
    reported_engine: Option<&ReportedEngine>,
    prompt: Option<&Prompt>,
    now_us: u64,
) -> Availability {
    let end_us = prompt.map_or(now_us, |prompt| expected_end_us(prompt, now_us));
    match reported_engine {
        Some(engine) if engine.state.is_paused => Availability::Paused,
        _ if observed.outlier.is_avoided(now_us) => Availability::Avoided,
        Some(engine) if engine.is_paused_before(end_us) => Availability::ClosingSoon,
        _ => Availability::Open,
    }
}
