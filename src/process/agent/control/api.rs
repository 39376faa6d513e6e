//! RPC methods of an agent, passed to the control loop.

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
    process::{
        membership::digest::Digest,
        peer,
        rpc::{
            AgentApiServer,
            ConfigPart,
            OrderAnswer,
            OrderRequest,
            Packed,
            PeerApiServer,
            ProbeAnswer,
            ProbeRequest,
            rpc_error, //
        },
    },
    version::rollout::known::KnownMove, //
};

/// Request of an RPC method to the control loop.
pub(super) enum Command {
    Exchange(Box<Digest>, oneshot::Sender<Digest>),
    ConfigSince(u64, u32, oneshot::Sender<ConfigPart>),
    Moves(oneshot::Sender<Option<Vec<KnownMove>>>),
    Probe(ProbeRequest, oneshot::Sender<ProbeAnswer>),
    Order(
        OrderRequest,
        oneshot::Sender<std::result::Result<OrderAnswer, ErrorKind>>,
    ),
}

/// Server side of the RPC methods.
#[derive(Clone)]
pub(super) struct Api {
    commands: mpsc::Sender<Command>,
}

impl Api {
    /// Returns all methods of an agent.
    pub(super) fn methods(commands: mpsc::Sender<Command>) -> Result<RpcModule<()>> {
        let api = Self { commands };
        let mut methods = RpcModule::new(());
        let merged = methods
            .merge(PeerApiServer::into_rpc(api.clone()))
            .and_then(|()| methods.merge(AgentApiServer::into_rpc(api)));
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

    async fn moves(&self) -> RpcResult<Packed<Option<Vec<KnownMove>>>> {
        Ok(Packed(self.ask(Command::Moves).await?))
    }
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
