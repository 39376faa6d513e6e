//! Configuration of a control thread, which it exchanges with peers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use slog::{
    Logger,
    info,
    warn, //
};
use tokio::sync::Notify;

use super::{
    peer::{
        PeerConnections,
        fetch_config, //
    },
    rpc::{
        ConfigPart,
        MAX_CONFIG_PART_BYTES, //
    },
};
use crate::{
    event::Event,
    version::config::{
        Applied,
        Config,
        Fold,
        Update, //
    },
};

/// Pause after a peer did not deliver a revision that it announced.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Serialised update, which a peer fetches in parts.
struct EncodedUpdate {
    since: u64,
    revision: u64,
    bytes: Vec<u8>,
}

/// Revision that a peer has announced.
struct Announcement {
    revision: u64,
    address: SocketAddr,
}

/// Folded configuration, the latest announcement of a peer, and the update that
/// peers fetch.
pub struct ConfigStore {
    log: Logger,
    fold: RefCell<Fold>,
    encoded: RefCell<Option<EncodedUpdate>>,
    announcement: RefCell<Option<Announcement>>,
    announced: Notify,
    publish: Box<dyn Fn(Arc<Config>)>,
    /// Highest revision that a peer has announced.
    highest_announced: Cell<u64>,
}

impl ConfigStore {
    /// Creates an empty store that passes every new state to `publish`.
    pub fn new(log: Logger, publish: impl Fn(Arc<Config>) + 'static) -> Self {
        Self {
            log,
            fold: RefCell::default(),
            encoded: RefCell::default(),
            announcement: RefCell::default(),
            announced: Notify::new(),
            publish: Box::new(publish),
            highest_announced: Cell::new(0),
        }
    }

    /// Returns the applied revision.
    pub fn revision(&self) -> u64 {
        self.fold.borrow().revision()
    }

    /// Returns a copy of the state, which the caller may advance and pass to
    /// [`Self::replace_if_newer`].
    pub fn fold(&self) -> Fold {
        self.fold.borrow().clone()
    }

    /// Replaces the state if the new one has a higher revision, and returns
    /// whether it did. The revision never goes back.
    pub fn replace_if_newer(&self, fold: Fold) -> bool {
        if fold.revision() <= self.revision() {
            return false;
        }
        info!(self.log, "configuration was applied";
            "event" => Event::RevisionApplied, "revision" => fold.revision());
        (self.publish)(fold.publish());
        *self.fold.borrow_mut() = fold;
        true
    }

    /// Returns one part of the serialised update from the revision `since` to the
    /// applied one.
    ///
    /// ```
    /// use yuccalatch::process::config_store::ConfigStore;
    ///
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let store = ConfigStore::new(log, |_| {});
    /// let part = store.update_part(0, 0);
    /// assert_eq!((part.revision, part.parts), (0, 1));
    /// ```
    pub fn update_part(&self, since: u64, part: u32) -> ConfigPart {
        let fold = self.fold.borrow();
        let revision = fold.revision();
        let mut encoded = self.encoded.borrow_mut();
        let is_encoded = encoded
            .as_ref()
            .is_some_and(|update| (update.since, update.revision) == (since, revision));
        if !is_encoded {
            // Serialising an update never fails: all its types can be serialised.
            let bytes = serde_json::to_vec(&fold.since(since)).unwrap_or_default();
            *encoded = Some(EncodedUpdate {
                since,
                revision,
                bytes,
            });
        }
        let bytes = encoded.as_ref().map_or(&[][..], |update| &update.bytes);
        let index = usize::try_from(part).unwrap_or(usize::MAX);
        let data = bytes
            .chunks(MAX_CONFIG_PART_BYTES)
            .nth(index)
            .unwrap_or_default();
        let parts = bytes.len().div_ceil(MAX_CONFIG_PART_BYTES).max(1);
        ConfigPart {
            revision,
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            data: data.to_vec(),
        }
    }

    /// Notes the revision of a peer, to be fetched if it is newer than the applied
    /// one.
    pub fn note_peer_revision(&self, revision: u64, address: SocketAddr) {
        if revision <= self.revision() {
            return;
        }
        let highest = self.highest_announced.get().max(revision);
        self.highest_announced.set(highest);
        *self.announcement.borrow_mut() = Some(Announcement { revision, address });
        self.announced.notify_one();
    }

    /// Returns whether a peer has ever announced a newer revision than the applied
    /// one.
    pub fn is_behind(&self) -> bool {
        self.highest_announced.get() > self.revision()
    }

    /// Fetches newer revisions from peers in an endless loop, and calls `on_change`
    /// after each update that was received without a gap.
    pub async fn fetch_updates(&self, peer_connections: &PeerConnections, on_change: impl Fn()) {
        loop {
            self.announced.notified().await;
            let Some(announcement) = self.announcement.borrow_mut().take() else {
                continue;
            };
            if announcement.revision <= self.revision() {
                continue;
            }
            if self.fetch(peer_connections, announcement.address).await {
                on_change();
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn fetch(&self, peer_connections: &PeerConnections, address: SocketAddr) -> bool {
        let Ok(update) = fetch_config(peer_connections, address, self.revision()).await else {
            return false;
        };
        self.apply(update, address)
    }

    fn apply(&self, update: Update, address: SocketAddr) -> bool {
        // The state may have been advanced while the update was being fetched.
        let mut fold = self.fold();
        let applied = fold.receive(update);
        if applied == Applied::Gap {
            warn!(self.log, "rejected configuration update: earlier tickets are missing";
                "event" => Event::RevisionRejected, "peer" => %address);
            return false;
        }
        self.replace_if_newer(fold);
        true
    }
}
