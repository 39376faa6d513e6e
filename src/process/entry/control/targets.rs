//! Live state of the targets, read from their agents.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jsonrpsee::ws_client::WsClient;

use super::super::context::{
    Context,
    TargetView, //
};
use crate::{
    clock::US_PER_S,
    names::Name,
    process::rpc::{
        self,
        AgentApiClient, //
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A target that has not answered for this long gets no work.
const GONE_AFTER_US: u64 = 2 * US_PER_S;

struct Seen {
    view: TargetView,
    gone_at_us: u64,
}

/// Reads the state of every configured target.
pub(super) struct Targets {
    context: Arc<Context>,
    clients: RefCell<HashMap<Name, Rc<WsClient>>>,
    seen: RefCell<HashMap<Name, Seen>>,
}

impl Targets {
    pub(super) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            clients: RefCell::default(),
            seen: RefCell::default(),
        }
    }

    pub(super) async fn run(self: Rc<Self>) {
        loop {
            let config = self.context.config.load_full();
            let reads = config.targets().map(|(_, entry)| {
                let target = &entry.target;
                self.read(target.name.clone(), target.control_address)
            });
            futures_util::future::join_all(reads).await;
            self.publish();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read(&self, target: Name, address: SocketAddr) {
        let known = self.clients.borrow().get(&target).cloned();
        let client = match known {
            Some(client) if client.is_connected() => client,
            _ => {
                let Ok(client) = rpc::connect(address).await else {
                    return;
                };
                let client = Rc::new(client);
                let mut clients = self.clients.borrow_mut();
                clients.insert(target.clone(), Rc::clone(&client));
                client
            }
        };
        let Ok(status) = client.status().await else {
            self.clients.borrow_mut().remove(&target);
            return;
        };
        let view = TargetView {
            agent: status.agent,
            engine: status.engine,
            versions: status
                .versions
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            queue_us: 0,
            leaving: status.leaving,
        };
        let gone_at_us = self.context.clock.now_us() + GONE_AFTER_US;
        let mut seen = self.seen.borrow_mut();
        seen.insert(target, Seen { view, gone_at_us });
    }

    fn publish(&self) {
        let now_us = self.context.clock.now_us();
        let mut seen = self.seen.borrow_mut();
        seen.retain(|_, seen| seen.gone_at_us > now_us);
        let views = seen
            .iter()
            .map(|(name, seen)| (name.clone(), seen.view.clone()))
            .collect();
        self.context.targets.store(Arc::new(views));
    }
}
