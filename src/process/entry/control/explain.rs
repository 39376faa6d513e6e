//! How a request would be treated, without running it.

use std::{
    net::SocketAddr,
    num::NonZeroUsize, //
};

use futures_util::future::join_all;
use jsonrpsee::ws_client::WsClient;

use super::Control;
use crate::{
    error::ErrorKind,
    names::Name,
    operator::status::{
        CandidateExplanation,
        ExplainRequest,
        Explanation, //
    },
    process::{
        entry::{
            moves::{
                binds_targets,
                configured, //
            },
            worker::{
                BLOCK_US,
                serves, //
            },
        },
        fair_queue::RateStatus,
        membership::Role,
        rpc::{
            AgentApiClient,
            ProbeRequest, //
        },
    },
    request::{
        headers::is_normalised,
        placement::{
            Decision,
            PlacementChoice,
            PlacementSettings,
            Placer,
            ProbeResult,
            SkipReason,
            Target,
            TargetId,
            rendezvous_seed, //
        },
        prompt::{
            BlockHash,
            BlockSize,
            Namespace,
            hash_prompt, //
        },
    },
    version::config::{
        Access,
        Config,
        Organisation,
        RouteEntry,
        ServiceKey,
        ServiceKind, //
    },
};

/// Leading blocks that a probe asks for.
const MAX_PROBE_BLOCKS: usize = 256;

/// The explanation does not remember shares of prefixes.
const MAX_TRACKED_BLOCKS: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// A candidate with the address to probe.
struct Candidate {
    name: Name,
    address: SocketAddr,
    target: Target,
}

impl Control {
    /// Returns route, candidates and decision of a request.
    ///
    /// The shares of prefixes and the hints belong to the traffic threads. The
    /// explanation probes the agents instead, so that its scores are current,
    /// but a traffic thread may know more targets for a hot prefix.
    pub(super) async fn explain(&self, request: &ExplainRequest) -> Explanation {
        let config = self.context.config.load_full();
        let mut explanation = Explanation {
            entry: self.context.settings.name.clone(),
            revision: config.revision(),
            ..Explanation::default()
        };
        if let Err(refused) = self.explain_into(&config, request, &mut explanation).await {
            explanation.refused = Some(refused);
        }
        explanation
    }

    async fn explain_into(
        &self,
        config: &Config,
        request: &ExplainRequest,
        explanation: &mut Explanation,
    ) -> Result<(), String> {
        if !is_normalised(&request.path) {
            return Err(refusal(ErrorKind::BadRequest));
        }
        let model = request.model.as_deref();
        let route = config
            .find_route(&request.method, &request.path, model)
            .map_err(|miss| miss.to_string())?;
        let entry = config.route(route).ok_or(refusal(ErrorKind::NoTarget))?;
        explanation.route = Some(entry.route.name.clone());
        explanation.service = Some(entry.route.service.clone());
        let organisation = permit(config, entry, request)?;
        // During a move, a part of the requests runs on another version.
        let version = configured(config, entry.service).map(|configured| configured.version);
        explanation.version.clone_from(&version);
        let organisation = organisation.map_or("public", |organisation| &*organisation.name);
        let namespace = Namespace::derive(organisation, version.as_deref().unwrap_or(""));
        let blocks = blocks_of(config, entry.service, namespace, &request.prompt);
        explanation.prompt_blocks = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
        let is_bound = binds_targets(config, entry.service);
        let bound = version.as_deref().filter(|_| is_bound);
        let candidates = self.candidates(config, entry.service, bound, explanation);
        let probe = ProbeRequest {
            organisation: organisation.into(),
            weight: RateStatus::default().weight(1),
            namespace,
            blocks: blocks.clone(),
        };
        let decision = self.decide(&candidates, &blocks, &probe).await;
        let decision = decision.ok_or_else(|| refusal(ErrorKind::NoTarget))?;
        add_choices(explanation, &candidates, &decision);
        Ok(())
    }

    /// Returns the targets that may serve, and explains the others.
    fn candidates(
        &self,
        config: &Config,
        service: ServiceKey,
        version: Option<&str>,
        explanation: &mut Explanation,
    ) -> Vec<Candidate> {
        let fleet = self.fleet.borrow();
        let kind = config
            .service(service)
            .map_or(ServiceKind::Model, |row| row.kind);
        let mut candidates = Vec::new();
        let targets = config.targets_of(service).iter();
        for entry in targets.filter_map(|key| config.target(*key)) {
            let name = &entry.target.name;
            let mut live = fleet.members.live(Role::Target);
            let report = live.find(|report| report.name == *name);
            let reason = match report {
                None => Some("it does not report"),
                Some(report) if report.is_leaving => Some("it is leaving"),
                Some(report) if !serves(kind, &entry.target, &report.versions, version) => {
                    Some("it has another version loaded")
                }
                Some(_) => None,
            };
            if let (Some(report), None) = (report, reason) {
                candidates.push(Candidate {
                    name: name.clone(),
                    address: report.control_address,
                    target: Target {
                        id: TargetId(u32::try_from(candidates.len()).unwrap_or(u32::MAX)),
                        seed: rendezvous_seed(name),
                        engine: report.engine,
                        queue_us: report.queue_us,
                        block_us: BLOCK_US,
                        network_us: 0,
                    },
                });
            }
            if let Some(reason) = reason {
                explanation.candidates.push(passed_over(name, reason));
            }
        }
        candidates
    }

    async fn decide(
        &self,
        candidates: &[Candidate],
        blocks: &[BlockHash],
        request: &ProbeRequest,
    ) -> Option<Decision> {
        let now_us = self.context.clock.now_us();
        let targets: Vec<Target> = candidates
            .iter()
            .map(|candidate| candidate.target)
            .collect();
        let mut placer = Placer::new(PlacementSettings::default(), MAX_TRACKED_BLOCKS);
        let plan = placer.plan(blocks, &targets, &[], now_us);
        let asked = candidates
            .iter()
            .filter(|candidate| plan.probes.contains(&candidate.target.id));
        let answers = join_all(asked.map(|candidate| self.probe(candidate, request))).await;
        let probes: Vec<ProbeResult> = answers.into_iter().flatten().collect();
        placer.decide(&plan, blocks, &targets, &probes)
    }

    async fn probe(&self, candidate: &Candidate, request: &ProbeRequest) -> Option<ProbeResult> {
        let request = request.clone();
        let call = async |client: &WsClient| client.probe(request).await;
        let answer = self
            .peer_connections
            .call(candidate.address, call)
            .await
            .ok()?;
        Some(ProbeResult {
            target: candidate.target.id,
            engine: answer.engine,
            matched_blocks: answer.matched_blocks,
            queue_us: answer.queue_us,
        })
    }
}

fn refusal(kind: ErrorKind) -> String {
    kind.name().to_owned()
}

fn permit<'a>(
    config: &'a Config,
    entry: &RouteEntry,
    request: &ExplainRequest,
) -> Result<Option<&'a Organisation>, String> {
    let key = match &request.organisation {
        Some(name) => Some(
            config
                .organisation_by_name(name)
                .ok_or_else(|| refusal(ErrorKind::UnknownKey))?,
        ),
        None => None,
    };
    if entry.route.access == Access::Keyed {
        let key = key.ok_or_else(|| refusal(ErrorKind::UnknownKey))?;
        if !entry.admits(key) {
            return Err(refusal(ErrorKind::Forbidden));
        }
    }
    Ok(key.and_then(|key| config.organisation(key)))
}

fn blocks_of(
    config: &Config,
    service: ServiceKey,
    namespace: Namespace,
    prompt: &str,
) -> Vec<BlockHash> {
    let tokens = config
        .service(service)
        .map_or(0, |service| service.block_tokens);
    if tokens == 0 {
        return Vec::new();
    }
    let size = BlockSize {
        tokens,
        ..BlockSize::default()
    };
    let mut prompt = hash_prompt(namespace, size, &[prompt.as_bytes()]);
    prompt.blocks.truncate(MAX_PROBE_BLOCKS);
    prompt.blocks
}

fn passed_over(name: &Name, reason: &str) -> CandidateExplanation {
    CandidateExplanation {
        target: name.clone(),
        matched_blocks: 0,
        queue_us: 0,
        compute_us: 0,
        transfer_us: 0,
        is_chosen: false,
        skipped: Some(reason.to_owned()),
    }
}

fn add_choices(explanation: &mut Explanation, candidates: &[Candidate], decision: &Decision) {
    let name_of = |id: TargetId| {
        let found = candidates
            .iter()
            .find(|candidate| candidate.target.id == id);
        found.map(|candidate| candidate.name.clone())
    };
    let describe = |choice: &PlacementChoice| {
        let reason = match choice.skip? {
            SkipReason::Overloaded => "its queue is too long",
            SkipReason::NotAsked => "others gave a good answer before",
        };
        Some(reason.to_owned())
    };
    let choices = decision.choices.iter().filter_map(|choice| {
        Some(CandidateExplanation {
            target: name_of(choice.estimate.target)?,
            matched_blocks: choice.estimate.matched_blocks,
            queue_us: choice.score.queue_us,
            compute_us: choice.score.recompute_us,
            transfer_us: choice.score.transfer_us,
            is_chosen: choice.estimate.target == decision.target,
            skipped: describe(choice),
        })
    });
    let mut all: Vec<CandidateExplanation> = choices.collect();
    all.append(&mut explanation.candidates);
    explanation.candidates = all;
}
