//! Configuration of the control thread, shared with peers.

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

/// Pause after a peer did not deliver what it announced.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

struct Encoded {
    since: u64,
    revision: u64,
    bytes: Vec<u8>,
}

struct Offer {
    revision: u64,
    address: SocketAddr,
}

/// Folded configuration, what peers announced and what they are sent.
pub struct ConfigStore {
    log: Logger,
    fold: RefCell<Fold>,
    encoded: RefCell<Option<Encoded>>,
    offer: RefCell<Option<Offer>>,
    offered: Notify,
    publish: Box<dyn Fn(Arc<Config>)>,
    highest_offered: Cell<u64>,
}

impl ConfigStore {
    /// Makes an empty store that passes every new state to `publish`.
    pub fn new(log: Logger, publish: impl Fn(Arc<Config>) + 'static) -> Self {
        Self {
            log,
            fold: RefCell::default(),
            encoded: RefCell::default(),
            offer: RefCell::default(),
            offered: Notify::new(),
            publish: Box::new(publish),
            highest_offered: Cell::new(0),
        }
    }

    /// Returns the revision that is applied.
    pub fn revision(&self) -> u64 {
        self.fold.borrow().revision()
    }

    /// Returns a copy of the state, to be advanced and given to
    /// [`Self::replace`].
    pub fn fold(&self) -> Fold {
        self.fold.borrow().clone()
    }

    /// Replaces the state unless the new one is not newer, so that the revision
    /// never goes back.
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

    /// Returns one part of what a peer at an older revision is missing.
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
        let is_known = encoded
            .as_ref()
            .is_some_and(|known| (known.since, known.revision) == (since, revision));
        if !is_known {
            // An update has no types that fail to serialise.
            let bytes = serde_json::to_vec(&fold.since(since)).unwrap_or_default();
            *encoded = Some(Encoded {
                since,
                revision,
                bytes,
            });
        }
        let bytes = encoded.as_ref().map_or(&[][..], |known| &known.bytes);
        let start = usize::try_from(part).unwrap_or(usize::MAX);
        let data = bytes
            .chunks(MAX_CONFIG_PART_BYTES)
            .nth(start)
            .unwrap_or_default();
        let parts = bytes.len().div_ceil(MAX_CONFIG_PART_BYTES).max(1);
        ConfigPart {
            revision,
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            data: data.to_vec(),
        }
    }

    /// Notes the revision that a peer has.
    pub fn note_peer_revision(&self, revision: u64, address: SocketAddr) {
        if revision <= self.revision() {
            return;
        }
        let highest = self.highest_offered.get().max(revision);
        self.highest_offered.set(highest);
        *self.offer.borrow_mut() = Some(Offer { revision, address });
        self.offered.notify_one();
    }

    /// Returns whether any peer ever had a newer revision than the one applied.
    pub fn is_behind(&self) -> bool {
        self.highest_offered.get() > self.revision()
    }

    /// Fetches what peers offer, without end.
    pub async fn fetch_updates(&self, peer_connections: &PeerConnections, on_change: impl Fn()) {
        loop {
            self.offered.notified().await;
            let Some(offer) = self.offer.borrow_mut().take() else {
                continue;
            };
            if offer.revision <= self.revision() {
                continue;
            }
            if self.fetch(peer_connections, offer.address).await {
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
        self.receive(update, address)
    }

    fn receive(&self, update: Update, address: SocketAddr) -> bool {
        // The state may have been advanced while the update was on its way.
        let mut fold = self.fold();
        let applied = fold.receive(update);
        if applied == Applied::Gap {
            warn!(self.log, "configuration update has a gap";
                "event" => Event::RevisionRejected, "peer" => %address);
            return false;
        }
        self.replace_if_newer(fold);
        true
    }
}
