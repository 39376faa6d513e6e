//! RPC methods of an entry, passed to the control loop.

use jsonrpsee::{
    Methods,
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
    error::Result,
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
        peer::{
            self,
            api::PeerCommand, //
        },
        rpc::{
            AgentReport,
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
    Peer(PeerCommand),
    Report(AgentReport, oneshot::Sender<ReportAnswer>),
    Status(oneshot::Sender<FleetStatus>),
    Explain(ExplainRequest, oneshot::Sender<Explanation>),
    Limits(Box<LimitReport>, oneshot::Sender<LimitAnswer>),
    LimitDirective(Box<Directive>, oneshot::Sender<Epoch>),
    MoveReport(Box<MoveReport>, oneshot::Sender<MoveAnswer>),
    Cut(Box<Cut>, oneshot::Sender<()>),
}

impl From<PeerCommand> for Command {
    fn from(command: PeerCommand) -> Self {
        Self::Peer(command)
    }
}

/// Server side of the RPC methods.
type Api = peer::api::CommandApi<Command>;

/// Returns all methods of an entry.
pub(super) fn methods(commands: mpsc::Sender<Command>) -> Result<Methods> {
    let api = Api::new(commands);
    peer::api::merge_methods([
        PeerApiServer::into_rpc(api.clone()).into(),
        EntryApiServer::into_rpc(api.clone()).into(),
        OperatorApiServer::into_rpc(api).into(),
    ])
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
