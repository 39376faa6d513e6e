//! Control thread of an entry.

mod configuration;
mod records;
mod targets;

use std::{
    net::TcpListener,
    rc::Rc,
    sync::Arc, //
};

use error_stack::ResultExt;
use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    server::{
        ServerBuilder,
        ServerConfig, //
    },
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

use self::configuration::Configuration;
use super::context::{
    Context,
    RecordRequest, //
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    process::rpc::{
        EntryApiServer,
        MAX_MESSAGE_BYTES,
        rpc_error, //
    },
    version::config::Update,
};

const COMMAND_CAPACITY: usize = 1_024;

/// Request of an RPC method to the control loop.
pub(super) enum Command {
    ConfigSince(u64, oneshot::Sender<Update>),
}

struct Api {
    commands: mpsc::Sender<Command>,
}

impl Api {
    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> RpcResult<T> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(command(sender)).await;
        sent.map_err(|_| rpc_error(ErrorKind::Stopping))?;
        receiver.await.map_err(|_| rpc_error(ErrorKind::Stopping))
    }
}

#[async_trait]
impl EntryApiServer for Api {
    async fn config_since(&self, revision: u64) -> RpcResult<Update> {
        self.ask(|sender| Command::ConfigSince(revision, sender))
            .await
    }
}

/// Runs the control thread until the process ends.
pub(super) async fn run(
    context: Arc<Context>,
    listener: TcpListener,
    record_requests: mpsc::Receiver<RecordRequest>,
) -> Result<()> {
    let (commands, mut inbox) = mpsc::channel(COMMAND_CAPACITY);
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build_from_tcp(listener)
        .change_context(ErrorKind::Io)?;
    let handle = server.start(Api { commands }.into_rpc());
    let configuration = Rc::new(Configuration::new(Arc::clone(&context)));
    ntex::rt::spawn(Rc::clone(&configuration).run());
    ntex::rt::spawn(records::run(Arc::clone(&context), record_requests));
    ntex::rt::spawn(Rc::new(targets::Targets::new(Arc::clone(&context))).run());
    loop {
        tokio::select! {
            Some(command) = inbox.recv() => match command {
                // A caller that has gone away needs no answer.
                Command::ConfigSince(revision, sender) => {
                    drop(sender.send(configuration.since(revision)));
                }
            },
            () = handle.clone().stopped() => return Ok(()),
        }
    }
}
