//! Version, target and head of the next attempt.

use std::sync::Arc;

use error_stack::Report;

use super::Call;
use crate::{
    clock::US_PER_MS,
    connection::attempt::{
        AttemptHead,
        MAX_HEAD_BLOCKS, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    names::Name,
    process::{
        entry::{
            moves::{
                VersionUse,
                binds_targets,
                configured, //
            },
            worker::Placement, //
        },
        rpc::ProbeRequest, //
    },
    request::prompt::{
        BlockSize,
        HashedPrompt,
        Namespace,
        hash_prompt, //
    },
    version::config::{
        Config,
        OrganisationKey,
        ServiceKey,
        TargetKey, //
    },
};

impl Call {
    pub(super) async fn next_target(&mut self) -> Result<TargetKey> {
        let is_first = self.version.is_none();
        let version = match &self.version {
            Some(version) => Some(version.clone()),
            None => Some(self.choose_version()?),
        };
        let config = Arc::clone(&self.request.config);
        let route = config.route(self.request.route);
        let service = route.map(|entry| entry.service);
        let service = service.ok_or_else(|| Report::new(ErrorKind::NoTarget))?;
        let mut placement = self.place(&config, service, version).await;
        if is_first && placement.ordered.is_empty() {
            let usage = self.usage.as_mut().filter(|usage| usage.is_moved());
            let old = usage.and_then(VersionUse::fall_back);
            if old.is_some() {
                placement = self.place(&config, service, old).await;
            }
        }
        if let Some(keyed) = self.request.keyed {
            let owners = self.worker.owners(&config, service, keyed.key);
            let mut live = owners
                .into_iter()
                .filter(|key| placement.ordered.contains(key));
            return live.next().ok_or_else(|| Report::new(ErrorKind::NoTarget));
        }
        let is_untried = |target: &&TargetKey| !self.tried.contains(target);
        let untried = placement.ordered.iter().find(is_untried);
        // A target whose link failed may work on a new connection.
        let again = placement.ordered.first().filter(|_| self.may_reuse);
        let target = untried.or(again).copied();
        let target = target.ok_or_else(|| Report::new(ErrorKind::NoTarget))?;
        Ok(target)
    }

    async fn place(
        &mut self,
        config: &Config,
        service: ServiceKey,
        version: Option<Name>,
    ) -> Placement {
        if let Some(version) = &version {
            self.prompt = self.hash_prompt(version);
        }
        // All attempts of a request use one version, so that a stream never
        // mixes the output of two.
        self.version = version;
        let prompt = self.probe_request();
        let version = self.placed_version();
        let confined = self.confined();
        self.worker
            .place(config, service, version, &prompt, confined)
            .await
    }

    /// Returns the version that a target has to serve.
    fn placed_version(&self) -> Option<&str> {
        let config = &self.request.config;
        let service = config.route(self.request.route)?.service;
        let is_moved = self.usage.as_ref().is_some_and(VersionUse::is_moved);
        let is_bound = is_moved || binds_targets(config, service);
        self.version.as_deref().filter(|_| is_bound)
    }

    /// Returns the organisation if its requests use only a part of the targets.
    fn confined(&self) -> Option<OrganisationKey> {
        self.request.organisation.filter(|_| self.is_confined)
    }

    fn weight(&self) -> u32 {
        let organisation = self.request.organisation;
        let organisation = organisation.and_then(|key| self.request.config.organisation(key));
        let ticket_weight = organisation.map_or(1, |organisation| organisation.weight);
        self.rate_status.weight(ticket_weight)
    }

    fn probe_request(&self) -> ProbeRequest {
        ProbeRequest {
            organisation: self.request.organisation_name.clone(),
            weight: self.weight(),
            namespace: self.prompt.namespace,
            blocks: self.prompt.blocks.clone(),
        }
    }

    /// Chooses by the move of the service, or takes the configured version.
    fn choose_version(&mut self) -> Result<Name> {
        let lost = || Report::new(ErrorKind::NoTarget);
        let config = &self.request.config;
        let route = config.route(self.request.route).ok_or_else(lost)?;
        let service = config.service(route.service).ok_or_else(lost)?;
        let usage = VersionUse::choose(
            &self.worker.context,
            &service.name,
            &route.route.name,
            configured(config, route.service).ok_or_else(lost)?,
        );
        let version = usage.version().clone();
        self.usage = Some(usage);
        Ok(version)
    }

    /// Records an answer of the version as evidence.
    pub(super) fn note_answer_of_version(&mut self, is_failed: bool) {
        if self.is_failed {
            return;
        }
        let now_us = self.worker.context.clock.now_us();
        let started_at_us = self.attempt.as_ref().map(|attempt| attempt.sent_at_us);
        let sample = self.measure.take(is_failed, started_at_us, now_us);
        if let Some(usage) = &self.usage {
            usage.record(sample);
        }
    }

    fn hash_prompt(&self, version: &str) -> HashedPrompt {
        let Some(completion) = &self.request.completion else {
            return empty_prompt();
        };
        let config = &self.request.config;
        let route = config.route(self.request.route);
        let service = route.and_then(|entry| config.service(entry.service));
        let size = BlockSize {
            tokens: service.map_or(1_000, |service| service.block_tokens),
            ..BlockSize::default()
        };
        let namespace = Namespace::derive(&self.request.organisation_name, version);
        let mut prompt = hash_prompt(namespace, size, &[&completion.canonical_prompt]);
        prompt.blocks.truncate(MAX_HEAD_BLOCKS);
        prompt
    }

    pub(super) fn attempt_head(
        &self,
        target: TargetKey,
    ) -> Result<(std::net::SocketAddr, AttemptHead)> {
        let lost = || Report::new(ErrorKind::NoTarget);
        let context = &self.worker.context;
        let request = &self.request;
        let entry = request.config.target(target).ok_or_else(lost)?;
        let views = context.targets.load();
        let view = views.get(&entry.target.name).ok_or_else(lost)?;
        let now_us = context.clock.now_us();
        let left_us = request.expires_at_us.saturating_sub(now_us);
        if left_us < US_PER_MS {
            return Err(Report::new(ErrorKind::DeadlineBeforeStart));
        }
        let head = AttemptHead {
            id: context.next_attempt(),
            agent: view.agent,
            request_id: request.id.clone(),
            organisation: request.organisation_name.clone(),
            weight: self.weight(),
            cost_tokens: self.cost_tokens(),
            version: self.version.clone().unwrap_or_else(|| "".into()),
            namespace: self.prompt.namespace,
            blocks: self.prompt.blocks.clone(),
            budget_ms: left_us / US_PER_MS,
            idempotent: self.retryable().idempotent,
            idempotency: None,
            method: request.method.clone(),
            path: request.path.clone(),
        };
        Ok((entry.target.address, head))
    }
}

pub(super) fn empty_prompt() -> HashedPrompt {
    HashedPrompt {
        namespace: Namespace(0),
        blocks: Vec::new(),
        tokens: 0,
    }
}
