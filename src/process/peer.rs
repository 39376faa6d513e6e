//! Control connections to peers and what is read over them.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    rc::Rc, //
};

use jsonrpsee::{
    core::{
        RpcResult,
        client::Error, //
    },
    server::{
        ServerBuilder,
        ServerConfig,
        ServerHandle, //
    },
    ws_client::WsClient, //
};

use tokio::sync::{
    mpsc,
    oneshot, //
};

use super::rpc::{
    self,
    MAX_MESSAGE_BYTES,
    PeerApiClient,
    call_failed,
    rpc_error, //
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    version::config::Update, //
};

/// Passes the request of an RPC method to a control loop and waits for its
/// answer.
///
/// # Errors
///
/// Returns [`ErrorKind::Stopping`] when the control loop has ended.
///
/// ```
/// use tokio::sync::{mpsc, oneshot};
/// use yuccalatch::process::peer::ask;
///
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async {
///     let (commands, mut inbox) = mpsc::channel::<oneshot::Sender<u32>>(1);
///     ntex::rt::spawn(async move {
///         if let Some(answer) = inbox.recv().await {
///             let _ = answer.send(7);
///         }
///     });
///     assert_eq!(ask(&commands, |answer| answer).await.unwrap(), 7);
/// });
/// ```
pub async fn ask<C, T>(
    commands: &mpsc::Sender<C>,
    command: impl FnOnce(oneshot::Sender<T>) -> C,
) -> RpcResult<T> {
    let (sender, receiver) = oneshot::channel();
    let sent = commands.send(command(sender)).await;
    sent.map_err(|_| rpc_error(ErrorKind::Stopping))?;
    receiver.await.map_err(|_| rpc_error(ErrorKind::Stopping))
}

/// Restarts of a transfer whose revision changes between two parts.
const MAX_TRANSFERS: u32 = 3;

/// Open connections by control address, one for each peer.
#[derive(Debug, Default)]
pub struct Links {
    clients: RefCell<HashMap<SocketAddr, Rc<WsClient>>>,
    busy: RefCell<HashSet<SocketAddr>>,
    again: RefCell<HashSet<SocketAddr>>,
}

/// Marks a peer as being called until it is dropped.
#[derive(Debug)]
pub struct Turn<'a> {
    links: &'a Links,
    address: SocketAddr,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.links.busy.borrow_mut().remove(&self.address);
    }
}

impl Links {
    /// Takes the turn to call a peer; `None` while another call waits, so that
    /// calls to a paused peer do not pile up.
    ///
    /// ```
    /// use yuccalatch::process::peer::Links;
    ///
    /// let links = Links::default();
    /// let address = "127.0.0.1:7100".parse().unwrap();
    /// let turn = links.turn(address);
    /// assert!(turn.is_some());
    /// assert!(links.turn(address).is_none());
    /// ```
    pub fn turn(&self, address: SocketAddr) -> Option<Turn<'_>> {
        let is_free = self.busy.borrow_mut().insert(address);
        is_free.then_some(Turn {
            links: self,
            address,
        })
    }

    /// Asks for another call after the one that waits now.
    pub fn call_again(&self, address: SocketAddr) {
        self.again.borrow_mut().insert(address);
    }

    /// Returns whether another call was asked for, and forgets it.
    pub fn take_again(&self, address: SocketAddr) -> bool {
        self.again.borrow_mut().remove(&address)
    }

    /// Calls a peer; its connection is closed when the call fails, because it
    /// may have gone silent.
    ///
    /// # Errors
    ///
    /// Returns the kind that the peer answered or
    /// [`ErrorKind::PeerUnavailable`].
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        act: impl AsyncFnOnce(&WsClient) -> std::result::Result<T, Error>,
    ) -> Result<T> {
        let client = self.client(address).await?;
        let answer = act(&client).await;
        if answer.is_err() {
            self.close(address, &client);
        }
        answer.map_err(call_failed)
    }

    /// Closes the connections to peers that are not needed any more.
    pub fn retain(&self, is_needed: impl Fn(&SocketAddr) -> bool) {
        self.clients
            .borrow_mut()
            .retain(|address, _| is_needed(address));
    }

    async fn client(&self, address: SocketAddr) -> Result<Rc<WsClient>> {
        let known = self.clients.borrow().get(&address).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let client = Rc::new(rpc::connect(address).await?);
        let mut clients = self.clients.borrow_mut();
        clients.insert(address, Rc::clone(&client));
        Ok(client)
    }

    fn close(&self, address: SocketAddr, client: &Rc<WsClient>) {
        let mut clients = self.clients.borrow_mut();
        if clients
            .get(&address)
            .is_some_and(|own| Rc::ptr_eq(own, client))
        {
            clients.remove(&address);
        }
    }
}

/// Fetches what a peer has after a revision.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer and
/// [`ErrorKind::Internal`] when its answer is malformed.
pub async fn fetch_config(links: &Links, address: SocketAddr, revision: u64) -> Result<Update> {
    for _ in 0..MAX_TRANSFERS {
        if let Some(bytes) = fetch_parts(links, address, revision).await? {
            return serde_json::from_slice(&bytes).map_err(|error| {
                error_stack::Report::new(ErrorKind::Internal).attach(error.to_string())
            });
        }
    }
    Err(error_stack::Report::new(ErrorKind::PeerUnavailable)
        .attach("the revision changes faster than it can be read"))
}

async fn fetch_parts(links: &Links, address: SocketAddr, revision: u64) -> Result<Option<Vec<u8>>> {
    let read = async |part: u32| {
        let call = async |client: &WsClient| client.config_since(revision, part).await;
        links.call(address, call).await
    };
    let first = read(0).await?;
    let mut bytes = first.data;
    for number in 1..first.parts {
        let part = read(number).await?;
        if (part.revision, part.parts) != (first.revision, first.parts) {
            return Ok(None);
        }
        bytes.extend_from_slice(&part.data);
    }
    Ok(Some(bytes))
}

/// Starts the control listener of a process.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
pub fn serve(
    listener: std::net::TcpListener,
    methods: impl Into<jsonrpsee::Methods>,
) -> Result<ServerHandle> {
    use error_stack::ResultExt;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = ServerBuilder::with_config(config)
        .build_from_tcp(listener)
        .change_context(ErrorKind::Io)?;
    Ok(server.start(methods))
}

/// Connections to one control listener: the entries of a data centre, one of
/// every other, the agents that report, and operators.
const MAX_CONNECTIONS: u32 = 1_024;
