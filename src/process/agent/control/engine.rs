//! Cache events and load, as the engine publishes them.

use std::{
    rc::Rc,
    time::Duration, //
};

use error_stack::Report;
use ntex::client::Client;
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};

use super::Control;
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::Incarnation,
    process::{
        cache_index::{
            CacheChange,
            CacheEvent, //
        },
        client, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Interval between reads of cache events and load.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Bound for one call to the target.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Page of cache events as the engine publishes it.
#[derive(Deserialize)]
struct EventPage {
    incarnation: Incarnation,
    events: Vec<EngineEvent>,
}

#[derive(Deserialize)]
struct EngineEvent {
    sequence: u64,
    kind: EngineEventKind,
    block: BlockHash,
    namespace: Namespace,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EngineEventKind {
    Stored,
    Evicted,
}

#[derive(Deserialize)]
struct EngineLoad {
    incarnation: Incarnation,
    versions: Vec<String>,
}

impl Control {
    /// Follows the engine without end.
    pub(super) async fn poll_engine(self: Rc<Self>) {
        let Ok(client) = client::build("control").await else {
            return;
        };
        let mut next_sequence = 0;
        loop {
            let poll = async {
                self.read_load(&client).await?;
                self.read_events(&client, next_sequence).await
            };
            if let Ok(Ok(next)) = tokio::time::timeout(POLL_TIMEOUT, poll).await {
                next_sequence = next;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_load(&self, client: &Client) -> Result<()> {
        let load: EngineLoad = self.get(client, "/load").await?;
        self.see_engine(load.incarnation);
        // Entries send requests of a version to targets that report it.
        if load.versions != self.context.versions() {
            self.context.set_versions(load.versions);
            self.context.changed.notify_one();
        }
        Ok(())
    }

    async fn read_events(&self, client: &Client, since: u64) -> Result<u64> {
        let path = format!("/events?since={since}");
        let page: EventPage = self.get(client, &path).await?;
        if page.incarnation != self.index.borrow().engine() {
            self.see_engine(page.incarnation);
            return Ok(0);
        }
        let now_us = self.context.clock.now_us();
        let mut next = since;
        for event in page.events {
            next = event.sequence + 1;
            let event = CacheEvent {
                engine: page.incarnation,
                sequence: event.sequence,
                namespace: event.namespace,
                change: match event.kind {
                    EngineEventKind::Stored => CacheChange::Stored(vec![event.block]),
                    EngineEventKind::Evicted => CacheChange::Evicted(vec![event.block]),
                },
            };
            self.index.borrow_mut().apply(&event, now_us);
        }
        Ok(next)
    }

    async fn get<T: DeserializeOwned>(&self, client: &Client, path: &str) -> Result<T> {
        let url = client::url(self.context.settings.target_address, path);
        let response = client.get(url).send().await;
        let response = response
            .map_err(|error| Report::new(ErrorKind::PeerUnavailable).attach(error.to_string()))?;
        client::read_json(&response).await
    }
}
