//! Server side of the RPC methods, which the control loop of a process answers.

use error_stack::ResultExt;
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
        config_store::ConfigStore,
        membership::digest::Digest,
        rpc::{
            ConfigPart,
            Packed,
            PeerApiServer,
            rpc_error, //
        },
    },
    version::rollout::known::KnownMove, //
};

/// Call of a method that every process serves, with the sender of its answer.
#[derive(Debug)]
pub enum PeerCommand {
    /// Accepts the caller's digest and returns the digest of this process.
    Exchange(Box<Digest>, oneshot::Sender<Digest>),
    /// Returns a part of the update from a revision to the current configuration. The
    /// fields are that revision and the number of the part, from 0.
    ConfigSince(u64, u32, oneshot::Sender<ConfigPart>),
    /// Returns the process's list of moves; `None` before it has received one.
    Moves(oneshot::Sender<Option<Vec<KnownMove>>>),
}

impl PeerCommand {
    /// Answers the call. `exchange` accepts the caller's digest and returns the digest
    /// of this process, `moves` returns its list of moves.
    pub fn execute(
        self,
        store: &ConfigStore,
        exchange: impl FnOnce(&Digest) -> Digest,
        moves: impl FnOnce() -> Option<Vec<KnownMove>>,
    ) {
        // Sending fails only when the caller has disconnected and needs no answer.
        match self {
            Self::Exchange(digest, sender) => drop(sender.send(exchange(&digest))),
            Self::ConfigSince(revision, part, sender) => {
                drop(sender.send(store.update_part(revision, part)));
            }
            Self::Moves(sender) => drop(sender.send(moves())),
        }
    }
}

/// Implements RPC methods by sending a command `C` to a control loop for each call.
#[derive(Debug)]
pub struct CommandApi<C> {
    commands: mpsc::Sender<C>,
}

impl<C> Clone for CommandApi<C> {
    fn clone(&self) -> Self {
        Self::new(self.commands.clone())
    }
}

impl<C> CommandApi<C> {
    /// Creates the methods; the control loop receives what is sent to `commands`.
    pub const fn new(commands: mpsc::Sender<C>) -> Self {
        Self { commands }
    }

    /// Sends a command to the control loop and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Stopping`] when the control loop has ended.
    ///
    /// ```
    /// use tokio::sync::{mpsc, oneshot};
    /// use yuccalatch::process::peer::api::CommandApi;
    ///
    /// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async {
    ///     let (commands, mut inbox) = mpsc::channel::<oneshot::Sender<u32>>(1);
    ///     ntex::rt::spawn(async move {
    ///         if let Some(answer) = inbox.recv().await {
    ///             let _ = answer.send(7);
    ///         }
    ///     });
    ///     assert_eq!(CommandApi::new(commands).ask(|answer| answer).await.unwrap(), 7);
    /// });
    /// ```
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> C) -> RpcResult<T> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(command(sender)).await;
        sent.map_err(|_| rpc_error(ErrorKind::Stopping))?;
        receiver.await.map_err(|_| rpc_error(ErrorKind::Stopping))
    }
}

/// Merges the methods of several API traits.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when two methods have the same name.
///
/// ```
/// use jsonrpsee::Methods;
/// use yuccalatch::process::peer::api::merge_methods;
///
/// let methods = merge_methods([Methods::new(), Methods::new()]).unwrap();
/// assert_eq!(methods.method_names().count(), 0);
/// ```
pub fn merge_methods(method_sets: impl IntoIterator<Item = Methods>) -> Result<Methods> {
    let mut merged = Methods::new();
    for methods in method_sets {
        merged.merge(methods).change_context(ErrorKind::Internal)?;
    }
    Ok(merged)
}

#[async_trait]
impl<C: From<PeerCommand> + Send + 'static> PeerApiServer for CommandApi<C> {
    async fn exchange(&self, digest: Packed<Digest>) -> RpcResult<Packed<Digest>> {
        let answer = self.ask(|sender| PeerCommand::Exchange(Box::new(digest.0), sender).into());
        Ok(Packed(answer.await?))
    }

    async fn config_since(&self, revision: u64, part: u32) -> RpcResult<ConfigPart> {
        self.ask(|sender| PeerCommand::ConfigSince(revision, part, sender).into())
            .await
    }

    async fn moves(&self) -> RpcResult<Packed<Option<Vec<KnownMove>>>> {
        let answer = self.ask(|sender| PeerCommand::Moves(sender).into());
        Ok(Packed(answer.await?))
    }
}
