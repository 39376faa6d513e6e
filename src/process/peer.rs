//! Control connections to peers and what is read over them.

pub mod api;

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    rc::Rc, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use jsonrpsee::{
    core::client::Error,
    server::{
        ServerBuilder,
        ServerConfig,
        ServerHandle, //
    },
    ws_client::WsClient, //
};

use super::{
    membership::digest::Digest,
    rpc::{
        self,
        MAX_MESSAGE_BYTES,
        Packed,
        PeerApiClient,
        call_error_report, //
    },
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    version::config::Update, //
};

/// Restarts of a transfer whose revision changes between two parts.
const MAX_TRANSFERS: u32 = 3;

/// Connections to one control listener: the entries of a data centre, one of
/// every other, the agents that report, and operators.
const MAX_CONNECTIONS: u32 = 1_024;

/// Open connections by control address, one for each peer.
#[derive(Debug, Default)]
pub struct PeerConnections {
    clients: RefCell<HashMap<SocketAddr, Rc<WsClient>>>,
    busy: RefCell<HashSet<SocketAddr>>,
    again: RefCell<HashSet<SocketAddr>>,
}

/// Marks a peer as being called until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a> {
    peer_connections: &'a PeerConnections,
    address: SocketAddr,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.peer_connections
            .busy
            .borrow_mut()
            .remove(&self.address);
    }
}

impl PeerConnections {
    /// Takes the turn to call a peer; `None` while another call waits, so that
    /// calls to a paused peer do not pile up.
    ///
    /// ```
    /// use yuccalatch::process::peer::PeerConnections;
    ///
    /// let peer_connections = PeerConnections::default();
    /// let address = "127.0.0.1:7100".parse().unwrap();
    /// let turn = peer_connections.try_begin_call(address);
    /// assert!(turn.is_some());
    /// assert!(peer_connections.try_begin_call(address).is_none());
    /// ```
    pub fn try_begin_call(&self, address: SocketAddr) -> Option<CallGuard<'_>> {
        let is_free = self.busy.borrow_mut().insert(address);
        is_free.then_some(CallGuard {
            peer_connections: self,
            address,
        })
    }

    /// Asks for another call after the one that waits now.
    pub fn request_another_call(&self, address: SocketAddr) {
        self.again.borrow_mut().insert(address);
    }

    /// Returns whether another call was asked for, and forgets it.
    pub fn take_call_request(&self, address: SocketAddr) -> bool {
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
        answer.map_err(call_error_report)
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

/// Sends a digest to a peer and returns the peer's.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer.
pub(super) async fn exchange(
    peer_connections: &PeerConnections,
    address: SocketAddr,
    digest: Digest,
) -> Result<Digest> {
    let call = async |client: &WsClient| client.exchange(Packed(digest)).await;
    let Packed(answer) = peer_connections.call(address, call).await?;
    Ok(answer)
}

/// Fetches what a peer has after a revision.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer and
/// [`ErrorKind::Internal`] when its answer is malformed.
pub async fn fetch_config(
    peer_connections: &PeerConnections,
    address: SocketAddr,
    revision: u64,
) -> Result<Update> {
    for _ in 0..MAX_TRANSFERS {
        if let Some(bytes) = fetch_parts(peer_connections, address, revision).await? {
            return serde_json::from_slice(&bytes)
                .map_err(|error| Report::new(ErrorKind::Internal).attach(error.to_string()));
        }
    }
    Err(Report::new(ErrorKind::PeerUnavailable)
        .attach("the revision changes faster than it can be read"))
}

async fn fetch_parts(
    peer_connections: &PeerConnections,
    address: SocketAddr,
    revision: u64,
) -> Result<Option<Vec<u8>>> {
    let read = async |part: u32| {
        let call = async |client: &WsClient| client.config_since(revision, part).await;
        peer_connections.call(address, call).await
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
