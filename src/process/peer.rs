//! Control connections to peers, the calls over them and the control listener.

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

/// Attempts to fetch an update. An attempt fails when the revision changes between
/// two parts.
const MAX_FETCH_ATTEMPTS: u32 = 3;

/// Connections to one control listener: the entries of its data centre, one entry of
/// each other data centre, the agents that report to it, and operators.
const MAX_CONNECTIONS: u32 = 1_024;

/// Open control connections, one for each peer by its control address.
#[derive(Debug, Default)]
pub struct PeerConnections {
    clients: RefCell<HashMap<SocketAddr, Rc<WsClient>>>,
    /// Peers with a call in flight.
    in_flight: RefCell<HashSet<SocketAddr>>,
    /// Peers for which another call was requested during the one in flight.
    call_requests: RefCell<HashSet<SocketAddr>>,
}

/// Marks a call to a peer as in flight until the guard is dropped.
#[derive(Debug)]
pub struct CallGuard<'a> {
    peer_connections: &'a PeerConnections,
    address: SocketAddr,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.peer_connections
            .in_flight
            .borrow_mut()
            .remove(&self.address);
    }
}

impl PeerConnections {
    /// Marks a call to a peer as in flight; returns `None` while another call to it is,
    /// so that calls to a paused peer do not pile up.
    ///
    /// ```
    /// use yuccalatch::process::peer::PeerConnections;
    ///
    /// let peer_connections = PeerConnections::default();
    /// let address = "127.0.0.1:7100".parse().unwrap();
    /// let guard = peer_connections.try_begin_call(address);
    /// assert!(guard.is_some());
    /// assert!(peer_connections.try_begin_call(address).is_none());
    /// ```
    pub fn try_begin_call(&self, address: SocketAddr) -> Option<CallGuard<'_>> {
        let is_free = self.in_flight.borrow_mut().insert(address);
        is_free.then_some(CallGuard {
            peer_connections: self,
            address,
        })
    }

    /// Requests another call to a peer after the one in flight.
    pub fn request_another_call(&self, address: SocketAddr) {
        self.call_requests.borrow_mut().insert(address);
    }

    /// Returns whether another call was requested, and clears the request.
    pub fn take_call_request(&self, address: SocketAddr) -> bool {
        self.call_requests.borrow_mut().remove(&address)
    }

    /// Calls a peer over its open connection or a new one. The connection is closed
    /// when the call fails, because the peer may have stopped answering.
    ///
    /// # Errors
    ///
    /// Returns the kind that the peer answered or
    /// [`ErrorKind::PeerUnavailable`].
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        send: impl AsyncFnOnce(&WsClient) -> std::result::Result<T, Error>,
    ) -> Result<T> {
        let client = self.connected_client(address).await?;
        let answer = send(&client).await;
        if answer.is_err() {
            self.close(address, &client);
        }
        answer.map_err(call_error_report)
    }

    /// Closes the connections to peers for which `is_needed` returns false.
    pub fn retain(&self, is_needed: impl Fn(&SocketAddr) -> bool) {
        self.clients
            .borrow_mut()
            .retain(|address, _| is_needed(address));
    }

    async fn connected_client(&self, address: SocketAddr) -> Result<Rc<WsClient>> {
        let existing = self.clients.borrow().get(&address).cloned();
        if let Some(client) = existing.filter(|client| client.is_connected()) {
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
            .is_some_and(|current| Rc::ptr_eq(current, client))
        {
            clients.remove(&address);
        }
    }
}

/// Sends a digest to a peer and returns the digest of the peer.
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

/// Fetches the update from a revision to the current configuration of a peer.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer or its
/// revision changes during every attempt, and [`ErrorKind::Internal`] when its
/// answer is malformed.
pub async fn fetch_config(
    peer_connections: &PeerConnections,
    address: SocketAddr,
    revision: u64,
) -> Result<Update> {
    for _ in 0..MAX_FETCH_ATTEMPTS {
        if let Some(bytes) = fetch_parts(peer_connections, address, revision).await? {
            return serde_json::from_slice(&bytes)
                .map_err(|error| Report::new(ErrorKind::Internal).attach(error.to_string()));
        }
    }
    Err(Report::new(ErrorKind::PeerUnavailable).attach(
        "the peer's configuration revision changed during every attempt to fetch the update",
    ))
}

/// Fetches all parts of an update; `None` when the revision changes between two of
/// them.
async fn fetch_parts(
    peer_connections: &PeerConnections,
    address: SocketAddr,
    revision: u64,
) -> Result<Option<Vec<u8>>> {
    let fetch = async |part: u32| {
        let call = async |client: &WsClient| client.config_since(revision, part).await;
        peer_connections.call(address, call).await
    };
    let first = fetch(0).await?;
    let mut bytes = first.data;
    for number in 1..first.parts {
        let part = fetch(number).await?;
        if (part.revision, part.parts) != (first.revision, first.parts) {
            return Ok(None);
        }
        bytes.extend_from_slice(&part.data);
    }
    Ok(Some(bytes))
}

/// Starts a server of RPC methods on the control listener of a process.
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
