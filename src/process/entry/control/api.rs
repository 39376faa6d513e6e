//! RPC methods of an entry, passed to the control loop.

use error_stack::ResultExt;
use jsonrpsee::{
    RpcModule,
    core::{
        RpcResult,
        async_trait, //
    },
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    operator::status::{
        ExplainRequest,
        Explanation,
        FleetStatus, //
    },
    process::{
        limits::message::{
            Directive,
            Epoch, //
        },
        membership::digest::Digest,
        peer,
        rpc::{
            AgentReport,
            ConfigPart,
            EntryApiServer,
            LimitAnswer,
            LimitReport,
            MoveAnswer,
            MoveReport,
            OperatorApiServer,
            Packed,
            PeerApiServer,
            ReportAnswer, //
        },
    },
    version::rollout::cut::Cut, //
};

/// Request of an RPC method to the control loop.
pub(super) enum Command {
    Exchange(Box<Digest>, oneshot::Sender<Digest>),
    ConfigSince(u64, u32, oneshot::Sender<ConfigPart>),
    Report(AgentReport, oneshot::Sender<ReportAnswer>),
    Status(oneshot::Sender<FleetStatus>),
    Explain(ExplainRequest, oneshot::Sender<Explanation>),
    Limits(Box<LimitReport>, oneshot::Sender<LimitAnswer>),
    LimitDirective(Box<Directive>, oneshot::Sender<Epoch>),
    MoveReport(Box<MoveReport>, oneshot::Sender<MoveAnswer>),
    Cut(Box<Cut>, oneshot::Sender<()>),
}

/// Server side of the RPC methods.
#[derive(Clone)]
pub(super) struct Api {
    commands: mpsc::Sender<Command>,
}

impl Api {
    /// Returns all methods of an entry.
    pub(super) fn methods(commands: mpsc::Sender<Command>) -> Result<RpcModule<()>> {
        let api = Self { commands };
        let mut methods = RpcModule::new(());
        let merged = methods
            .merge(PeerApiServer::into_rpc(api.clone()))
            .and_then(|()| methods.merge(EntryApiServer::into_rpc(api.clone())))
            .and_then(|()| methods.merge(OperatorApiServer::into_rpc(api)));
        merged.change_context(ErrorKind::Internal)?;
        Ok(methods)
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> RpcResult<T> {
        peer::ask(&self.commands, command).await
    }
}

#[async_trait]
impl PeerApiServer for Api {
    async fn exchange(&self, digest: Packed<Digest>) -> RpcResult<Packed<Digest>> {
        let answer = self.ask(|sender| Command::Exchange(Box::new(digest.0), sender));
        Ok(Packed(answer.await?))
    }

    async fn config_since(&self, revision: u64, part: u32) -> RpcResult<ConfigPart> {
        self.ask(|sender| Command::ConfigSince(revision, part, sender))
            .await
    }
}

#[async_trait]
impl EntryApiServer for Api {
    async fn report(&self, report: Packed<AgentReport>) -> RpcResult<Packed<ReportAnswer>> {
        let answer = self.ask(|sender| Command::Report(report.0, sender));
        Ok(Packed(answer.await?))
    }

    async fn limits(&self, report: Packed<LimitReport>) -> RpcResult<Packed<LimitAnswer>> {
        let answer = self.ask(|sender| Command::Limits(Box::new(report.0), sender));
        Ok(Packed(answer.await?))
    }

    async fn limit_directive(&self, directive: Packed<Directive>) -> RpcResult<Packed<Epoch>> {
        let epoch = self.ask(|sender| Command::LimitDirective(Box::new(directive.0), sender));
        Ok(Packed(epoch.await?))
    }

    async fn move_report(&self, report: MoveReport) -> RpcResult<MoveAnswer> {
        self.ask(|sender| Command::MoveReport(Box::new(report), sender))
            .await
    }

    async fn cut(&self, cut: Cut) -> RpcResult<()> {
        self.ask(|sender| Command::Cut(Box::new(cut), sender)).await
    }
}

#[async_trait]
impl OperatorApiServer for Api {
    async fn status(&self) -> RpcResult<FleetStatus> {
        self.ask(Command::Status).await
    }

    async fn explain(&self, request: ExplainRequest) -> RpcResult<Explanation> {
        self.ask(|sender| Command::Explain(request, sender)).await
    }
}
