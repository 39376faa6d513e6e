//! The KV cache store that all engines of a deployment share.
//!
//! Its figures are assumptions, not measurements.

use std::{
    collections::BTreeMap,
    num::NonZeroUsize, //
};

use lru::LruCache;

use crate::request::prompt::{
    BlockHash,
    Namespace, //
};

/// Sizes and rates of a store and of the links to it.
#[derive(Clone, Copy, Debug)]
pub struct KvStoreSettings {
    /// Blocks that the store holds.
    pub capacity_blocks: NonZeroUsize,
    /// Time of one block on the link of an engine, in either direction.
    pub link_block_us: u64,
    /// Time of one block on the link of the store, which all transfers share.
    pub store_block_us: u64,
    /// Time of a lookup and of the start of a transfer.
    pub setup_us: u64,
}

#[derive(Debug)]
struct Export {
    target: usize,
    namespace: Namespace,
    block: BlockHash,
}

/// The store with the links of its engines.
#[derive(Debug)]
pub struct KvStore {
    settings: KvStoreSettings,
    blocks: LruCache<(Namespace, BlockHash), ()>,
    /// Exports on their way, by the time at which they are whole.
    arriving: BTreeMap<(u64, u64), Export>,
    next_export: u64,
    store_free_at_us: u64,
    link_free_at_us: Vec<u64>,
}

impl KvStore {
    /// Creates an empty store with a link to each engine.
    pub fn new(settings: KvStoreSettings, targets: usize) -> Self {
        Self {
            blocks: LruCache::new(settings.capacity_blocks),
            arriving: BTreeMap::new(),
            next_export: 0,
            store_free_at_us: 0,
            link_free_at_us: vec![0; targets],
            settings,
        }
    }

    /// Returns how many leading blocks the store holds whole, and marks them as
    /// used.
    pub fn leading(&mut self, namespace: Namespace, blocks: &[BlockHash], now_us: u64) -> usize {
        self.receive(now_us);
        let is_held = |block: &&BlockHash| self.blocks.get(&(namespace, **block)).is_some();
        blocks.iter().take_while(is_held).count()
    }

    /// Transfers blocks to an engine and returns when it has them.
    pub fn import(&mut self, target: usize, blocks: usize, now_us: u64) -> u64 {
        self.transfer(target, blocks, now_us)
    }

    /// Transfers the blocks that the store does not hold from an engine.
    pub fn export(
        &mut self,
        target: usize,
        namespace: Namespace,
        blocks: &[BlockHash],
        now_us: u64,
    ) {
        self.receive(now_us);
        for &block in blocks {
            if self.blocks.get(&(namespace, block)).is_some() {
                continue;
            }
            let whole_at_us = self.transfer(target, 1, now_us);
            let export = Export {
                target,
                namespace,
                block,
            };
            self.arriving
                .insert((whole_at_us, self.next_export), export);
            self.next_export += 1;
        }
    }

    /// Drops the exports that an engine had not completed when it died.
    pub fn crash(&mut self, target: usize, now_us: u64) {
        self.receive(now_us);
        self.arriving.retain(|_, export| export.target != target);
        self.link_free_at_us[target] = now_us;
    }

    fn receive(&mut self, now_us: u64) {
        let later = self.arriving.split_off(&(now_us + 1, 0));
        let arrived = std::mem::replace(&mut self.arriving, later);
        for export in arrived.into_values() {
            self.blocks.put((export.namespace, export.block), ());
        }
    }

    fn transfer(&mut self, target: usize, blocks: usize, now_us: u64) -> u64 {
        let blocks = u64::try_from(blocks).unwrap_or(u64::MAX);
        let ready_at_us = now_us + self.settings.setup_us;
        let start_us = ready_at_us
            .max(self.store_free_at_us)
            .max(self.link_free_at_us[target]);
        self.store_free_at_us = start_us + blocks * self.settings.store_block_us;
        let end_us = start_us + blocks * self.settings.link_block_us;
        self.link_free_at_us[target] = end_us;
        end_us
    }
}
