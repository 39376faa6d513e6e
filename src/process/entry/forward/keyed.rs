//! Claims of idempotency keys at the object API.

use error_stack::Report;
use tokio::sync::oneshot;

use super::Call;
use crate::{
    connection::attempt::{
        IdempotencyClaim,
        RecordState, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    names::Incarnation,
    process::{
        at_most_once::key_verification::members_digest,
        entry::{
            context::RecordRequest,
            request::Keyed, //
        }, //
    },
    version::config::TargetKey, //
};

impl Call {
    /// Lets the object API vouch for the key of the request.
    pub(super) async fn claim_key(
        &self,
        target: TargetKey,
        agent: Incarnation,
    ) -> Result<Option<IdempotencyClaim>> {
        let Some(Keyed { key, request }) = self.request.keyed else {
            return Ok(None);
        };
        let (answer, recorded) = oneshot::channel();
        let record = RecordRequest { key, agent, answer };
        let sent = self.worker.context.records.try_send(record);
        let record = match sent {
            Ok(()) => recorded.await.unwrap_or(RecordState::Silent),
            // An overloaded control thread counts as a silent object API.
            Err(_) => RecordState::Silent,
        };
        let config = &self.request.config;
        let service = config.route(self.request.route).map(|entry| entry.service);
        let owners = service.map(|service| self.worker.owners(config, service, key));
        let is_owner = owners.is_some_and(|owners| owners.first() == Some(&target));
        let is_sure = matches!(record, RecordState::Confirmed | RecordState::Foreign);
        if !is_sure && !is_owner {
            // The owner may have run the request before it went away.
            return Err(Report::new(ErrorKind::IdempotencyUnverified));
        }
        Ok(Some(IdempotencyClaim {
            key,
            request,
            record,
            members_digest: service.map_or(0, |service| members_digest(config, service)),
            api_silent_ms: self.worker.context.api_silent_ms(),
        }))
    }
}
