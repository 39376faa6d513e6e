//! Questions to agents about the cache of their targets, before a placement.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use futures_util::future::join_all;
use jsonrpsee::ws_client::WsClient;

use crate::{
    names::Name,
    process::rpc::{
        self,
        AgentApiClient,
        ProbeAnswer,
        ProbeRequest, //
    },
};

/// Bound for the answers to a probe. A later answer costs more time than a better
/// placement saves.
const PROBE_WITHIN: Duration = Duration::from_millis(5);

/// Pause after an agent could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

enum Connection {
    Opening,
    Open(Rc<WsClient>),
}

/// An agent to ask.
pub(super) struct Asked {
    pub(super) target: Name,
    pub(super) control_address: SocketAddr,
}

/// Connections of one traffic thread to agents, one for each.
#[derive(Default)]
pub(super) struct Prober {
    connections: RefCell<HashMap<Name, Connection>>,
}

impl Prober {
    /// Asks agents and returns the answers that arrive in time.
    pub(super) async fn ask(
        self: &Rc<Self>,
        agents: &[Asked],
        request: &ProbeRequest,
    ) -> Vec<(Name, ProbeAnswer)> {
        let calls = agents.iter().map(|agent| async {
            let client = self.client(agent)?;
            let call = tokio::time::timeout(PROBE_WITHIN, client.probe(request.clone()));
            let answer = call.await.ok()?.ok()?;
            Some((agent.target.clone(), answer))
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    /// Returns an open connection, or opens one for later probes.
    fn client(self: &Rc<Self>, agent: &Asked) -> Option<Rc<WsClient>> {
        let mut connections = self.connections.borrow_mut();
        match connections.get(&agent.target) {
            Some(Connection::Open(client)) if client.is_connected() => {
                return Some(Rc::clone(client));
            }
            Some(Connection::Opening) => return None,
            _ => {}
        }
        connections.insert(agent.target.clone(), Connection::Opening);
        let opening = Rc::clone(self).open(agent.target.clone(), agent.control_address);
        ntex::rt::spawn(opening);
        None
    }

    async fn open(self: Rc<Self>, target: Name, address: SocketAddr) {
        match rpc::connect(address).await {
            Ok(client) => {
                let open = Connection::Open(Rc::new(client));
                self.connections.borrow_mut().insert(target, open);
            }
            Err(_) => {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                self.connections.borrow_mut().remove(&target);
            }
        }
    }
}
