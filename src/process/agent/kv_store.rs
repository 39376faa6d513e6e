//! Moves blocks between the engine and the KV store, as `process/kv_import`
//! decides.
//!
//! The agent looks blocks up and has the engine transfer them; the data does not
//! pass through the agent. Every wait is bounded, and a failure only means that
//! the engine computes the blocks.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use error_stack::Report;
use ntex::client::Client;
use serde::{
    Deserialize,
    Serialize, //
};
use slog::warn;
use tokio::sync::oneshot;

use super::{
    context::{
        Answered,
        CacheQuestion, //
    },
    runner::Runner,
    traffic::Traffic, //
};
use crate::{
    clock::US_PER_MS,
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    names::Incarnation,
    process::{
        cache_index::CacheReport,
        client,
        kv_import::{
            Import,
            ImportOutcome,
            KvTransferPolicy,
            KvTransferSettings, //
        },
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Bound for an export. Nobody waits for it, but only one runs at a time.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bound for the answer of the control thread, which reads the cache index.
const QUESTION_TIMEOUT: Duration = Duration::from_micros(20 * US_PER_MS);

/// Imports and exports of one target.
pub(super) struct KvStore {
    address: SocketAddr,
    policy: RefCell<KvTransferPolicy>,
    is_exporting: Cell<bool>,
}

#[derive(Serialize)]
struct Lookup<'a> {
    namespace: Namespace,
    blocks: &'a [BlockHash],
}

#[derive(Deserialize)]
struct Found {
    leading: usize,
}

#[derive(Serialize)]
struct TransferOrder<'a> {
    store: SocketAddr,
    namespace: Namespace,
    blocks: &'a [BlockHash],
}

#[derive(Deserialize)]
struct Transferred {
    blocks: u64,
    incarnation: Incarnation,
}

impl KvStore {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            policy: RefCell::new(KvTransferPolicy::new(KvTransferSettings::default())),
            is_exporting: Cell::new(false),
        }
    }

    /// Returns how many of the blocks, from the first one on, the store holds.
    async fn lookup(
        &self,
        client: &Client,
        namespace: Namespace,
        blocks: &[BlockHash],
    ) -> Result<usize> {
        let url = client::url(self.address, "/lookup");
        let found: Found = call(client, &url, &Lookup { namespace, blocks }).await?;
        Ok(found.leading)
    }
}

/// Posts a question and reads the answer; any other status than success is a
/// failure.
async fn call<T: serde::de::DeserializeOwned>(
    client: &Client,
    url: &str,
    question: &impl Serialize,
) -> Result<T> {
    let response = client.post(url).send_json(question).await;
    let response = response
        .map_err(|error| Report::new(ErrorKind::PeerUnavailable).attach(error.to_string()))?;
    if !response.status().is_success() {
        let status = response.status().to_string();
        return Err(Report::new(ErrorKind::PeerUnavailable).attach(status));
    }
    client::read_json(&response).await
}

impl Runner {
    /// Imports missing blocks of the prompt where that is faster than computing
    /// them. Returns after a bounded time in any case.
    pub(super) async fn import(&self) {
        let Some(store) = &self.traffic.kv_store else {
            return;
        };
        if self.head.blocks.is_empty() {
            return;
        }
        let Some(cached) = self.cached_blocks().await else {
            return;
        };
        let clock = &self.traffic.context.clock;
        let blocks = self.head.blocks.len();
        let reserved = {
            let mut policy = store.policy.borrow_mut();
            policy.reserve(cached, blocks, clock.now_us())
        };
        let Some(reserved) = reserved else {
            return;
        };
        let expires_at_us = reserved.expires_at_us.min(self.expires_at_us);
        let deadline = clock.instant(expires_at_us).into();
        let transfer = self.transfer(store, reserved);
        let ended = match tokio::time::timeout_at(deadline, transfer).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(report)) => self.import_failed(store, &format!("{report:?}")),
            Err(_) => self.import_failed(store, "not in time"),
        };
        store.policy.borrow_mut().end_import(ended, clock.now_us());
    }

    async fn transfer(&self, store: &KvStore, reserved: Import) -> Result<ImportOutcome> {
        let context = &self.traffic.context;
        let client = &self.traffic.client;
        let namespace = self.head.namespace;
        let missing = &self.head.blocks[reserved.first..reserved.end];
        let stored = store.lookup(client, namespace, missing).await?;
        let Some(import) = store.policy.borrow().narrow(reserved, stored) else {
            return Ok(ImportOutcome::NotStored);
        };
        let order = TransferOrder {
            store: store.address,
            namespace,
            blocks: &self.head.blocks[import.first..import.end],
        };
        let url = client::url(context.settings.target_address, "/kv/import");
        let sent_at_us = context.clock.now_us();
        let transferred: Transferred = call(client, &url, &order).await?;
        context.metrics.imported_blocks.inc_by(transferred.blocks);
        let answer = CacheReport {
            engine: transferred.incarnation,
            namespace,
            matched_blocks: u32::try_from(import.end).unwrap_or(u32::MAX),
            sent_at_us,
        };
        let blocks = self.head.blocks[..import.end].to_vec();
        // A full channel loses only a refinement of the cache index.
        let _ = context.answered.try_send(Answered { answer, blocks });
        let now_us = context.clock.now_us();
        let mut policy = store.policy.borrow_mut();
        policy.note_stored(namespace, order.blocks, now_us);
        Ok(ImportOutcome::Imported)
    }

    fn import_failed(&self, store: &KvStore, reason: &str) -> ImportOutcome {
        let context = &self.traffic.context;
        context.metrics.failed_imports.inc();
        warn!(context.log, "import from the KV store failed";
            "event" => Event::KvStoreFailed,
            "request_id" => %self.head.request_id,
            "store" => %store.address,
            "reason" => reason);
        ImportOutcome::Failed
    }

    /// Asks the control thread how many leading blocks the engine holds; `None`
    /// when it does not answer soon.
    async fn cached_blocks(&self) -> Option<usize> {
        let (reply, answer) = oneshot::channel();
        let question = CacheQuestion {
            namespace: self.head.namespace,
            blocks: self.head.blocks.clone(),
            reply,
        };
        let context = &self.traffic.context;
        context.questions.try_send(question).ok()?;
        let answer = tokio::time::timeout(QUESTION_TIMEOUT, answer).await;
        answer.ok()?.ok()
    }

    /// Counts the use of the blocks of an answered prompt and exports those that
    /// are used again, without waiting for it.
    pub(super) fn export(&self) {
        let Some(store) = &self.traffic.kv_store else {
            return;
        };
        let now_us = self.traffic.context.clock.now_us();
        let namespace = self.head.namespace;
        let mut policy = store.policy.borrow_mut();
        let exports = policy.choose_exports(namespace, &self.head.blocks, now_us);
        if exports.is_empty() {
            return;
        }
        if store.is_exporting.replace(true) {
            policy.note_export_failure(namespace, &exports);
            return;
        }
        let last = exports.last().copied();
        let end = self
            .head
            .blocks
            .iter()
            .position(|block| Some(*block) == last);
        let export = Export {
            traffic: Rc::clone(&self.traffic),
            namespace,
            prefix: self.head.blocks[..=end.unwrap_or(0)].to_vec(),
            exports,
        };
        ntex::rt::spawn(export.run());
    }
}

/// An export that runs beside the requests.
struct Export {
    traffic: Rc<Traffic>,
    namespace: Namespace,
    /// Blocks of the prompt up to the last one to export. The engine sends those
    /// that the store lacks.
    prefix: Vec<BlockHash>,
    exports: Vec<BlockHash>,
}

impl Export {
    async fn run(self) {
        let Some(store) = &self.traffic.kv_store else {
            return;
        };
        let context = &self.traffic.context;
        let order = TransferOrder {
            store: store.address,
            namespace: self.namespace,
            blocks: &self.prefix,
        };
        let url = client::url(context.settings.target_address, "/kv/export");
        let call = call::<Transferred>(&self.traffic.client, &url, &order);
        let result = tokio::time::timeout(EXPORT_TIMEOUT, call).await;
        let reason = match result {
            Ok(Ok(transferred)) => {
                context.metrics.exported_blocks.inc_by(transferred.blocks);
                None
            }
            Ok(Err(report)) => Some(format!("{report:?}")),
            Err(_) => Some("not in time".to_owned()),
        };
        if let Some(reason) = reason {
            context.metrics.failed_exports.inc();
            warn!(context.log, "export to the KV store failed";
                "event" => Event::KvStoreFailed,
                "store" => %store.address,
                "reason" => reason);
            let mut policy = store.policy.borrow_mut();
            policy.note_export_failure(self.namespace, &self.exports);
        }
        store.is_exporting.set(false);
    }
}
