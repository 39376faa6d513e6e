//! RPC methods of an agent, passed to the control loop.

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
    error::{
        ErrorKind,
        Result, //
    },
    process::{
        peer::{
            self,
            api::PeerCommand, //
        },
        rpc::{
            AgentApiServer,
            OrderAnswer,
            OrderRequest,
            PeerApiServer,
            ProbeAnswer,
            ProbeRequest,
            rpc_error, //
        },
    },
};

/// Request of an RPC method to the control loop.
pub(super) enum Command {
    Peer(PeerCommand),
    Probe(ProbeRequest, oneshot::Sender<ProbeAnswer>),
    Order(
        OrderRequest,
        oneshot::Sender<std::result::Result<OrderAnswer, ErrorKind>>,
    ),
}

impl From<PeerCommand> for Command {
    fn from(command: PeerCommand) -> Self {
        Self::Peer(command)
    }
}

/// Server side of the RPC methods.
type Api = peer::api::CommandApi<Command>;

/// Returns all methods of an agent.
pub(super) fn methods(commands: mpsc::Sender<Command>) -> Result<Methods> {
    let api = Api::new(commands);
    peer::api::merge_methods([
        PeerApiServer::into_rpc(api.clone()).into(),
        AgentApiServer::into_rpc(api).into(),
    ])
}

#[async_trait]
impl AgentApiServer for Api {
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeAnswer> {
        self.ask(|sender| Command::Probe(request, sender)).await
    }

    async fn order(&self, request: OrderRequest) -> RpcResult<OrderAnswer> {
        let answer = self.ask(|sender| Command::Order(request, sender)).await?;
        answer.map_err(rpc_error)
    }
}
