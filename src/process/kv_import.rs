//! Policy for transfers of blocks between an engine and the KV cache store.
//!
//! The policy only decides; the agent looks blocks up in the store and has the
//! engine transfer them. Blocks are identified by cache namespace (organisation
//! and version) and chained hash, so a lookup cannot find a block of another
//! organisation or of other weights. A block in the store does not depend on
//! the engine incarnation that exported it: the store returns only whole blocks.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::{
    clock::US_PER_S,
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Parameters of [`KvTransferPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct KvTransferSettings {
    /// Expected time to import one block when nothing else is transferred.
    pub import_block_us: u64,
    /// Expected time to look blocks up and to start a transfer.
    pub setup_us: u64,
    /// Time in which the engine computes one block.
    pub recompute_block_us: u64,
    /// Limit of concurrent imports. Each one ends at its deadline at the latest,
    /// so a store that does not answer delays at most this many prompts at once.
    pub max_imports: usize,
    /// Longest time that a prompt waits for its import.
    pub max_wait_us: u64,
    /// Pause of imports after one failed; doubles with each further failure.
    pub pause_us: u64,
    /// Longest pause of imports.
    pub max_pause_us: u64,
    /// Number of uses at this engine from which on a block is exported.
    pub export_after_uses: u32,
    /// Time after which an exported block may be exported again, because the
    /// store evicts blocks without notice.
    pub export_again_after_us: u64,
    /// Limit of the average export rate.
    pub export_blocks_per_s: u32,
    /// Limit of the blocks exported at once after a time without exports.
    pub export_burst_blocks: u32,
    /// Limit of the blocks whose uses are counted; those that were used least
    /// recently are dropped.
    pub counted_blocks: NonZeroUsize,
}

impl Default for KvTransferSettings {
    /// Returns times for blocks of 1,000 tokens, an engine that computes 33,000
    /// prompt tokens/s, and imports that are ten times faster; all are assumptions.
    fn default() -> Self {
        Self {
            import_block_us: 3_000,
            setup_us: 2_000,
            recompute_block_us: 30_000,
            max_imports: 4,
            max_wait_us: US_PER_S / 2,
            pause_us: US_PER_S,
            max_pause_us: 30 * US_PER_S,
            export_after_uses: 2,
            export_again_after_us: 60 * US_PER_S,
            export_blocks_per_s: 50,
            export_burst_blocks: 100,
            counted_blocks: NonZeroUsize::new(16_384).unwrap_or(NonZeroUsize::MIN),
        }
    }
}

/// Range of a prompt's blocks that is imported. Every import from
/// [`KvTransferPolicy::reserve`] must be ended with
/// [`KvTransferPolicy::end_import`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Import {
    /// Position of the first imported block in the prompt.
    pub first: usize,
    /// Position after the last imported block.
    pub end: usize,
    /// When the prompt stops waiting and is computed without the import.
    pub expires_at_us: u64,
}

impl Import {
    /// Returns the number of blocks.
    ///
    /// ```
    /// use yuccalatch::process::kv_import::Import;
    ///
    /// let import = Import { first: 2, end: 5, expires_at_us: 0 };
    /// assert_eq!(import.blocks(), 3);
    /// ```
    pub const fn blocks(&self) -> usize {
        self.end - self.first
    }
}

/// How an import ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ImportOutcome {
    /// The engine has the blocks.
    Imported,
    /// The store holds nothing that is worth an import.
    NotStored,
    /// Store or engine refused, or did not answer in time.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    uses: u32,
    exported_at_us: Option<u64>,
}

/// Decides for one agent which blocks are imported and exported.
///
/// ```
/// use yuccalatch::process::kv_import::{ImportOutcome, KvTransferPolicy, KvTransferSettings};
/// use yuccalatch::request::prompt::{BlockHash, Namespace};
///
/// let mut policy = KvTransferPolicy::new(KvTransferSettings::default());
/// let namespace = Namespace::derive("mill-a", "draft-7");
/// let blocks = [BlockHash(1), BlockHash(2), BlockHash(3)];
/// assert!(policy.choose_exports(namespace, &blocks, 0).is_empty());
/// assert_eq!(policy.choose_exports(namespace, &blocks[..2], 1), blocks[..2]);
/// // One of three blocks is cached; the store holds one of the others.
/// let reserved = policy.reserve(1, 3, 2).unwrap();
/// let import = policy.narrow(reserved, 1).unwrap();
/// assert_eq!((import.first, import.end), (1, 2));
/// policy.end_import(ImportOutcome::Imported, 3);
/// ```
#[derive(Debug)]
pub struct KvTransferPolicy {
    settings: KvTransferSettings,
    usage: LruCache<(Namespace, BlockHash), Usage>,
    running_imports: usize,
    /// Failed imports since one last ended otherwise.
    failures: u32,
    paused_until_us: u64,
    export_budget_blocks: f64,
    budget_updated_at_us: u64,
}

impl KvTransferPolicy {
    /// Creates the policy of an agent that has just started.
    pub fn new(settings: KvTransferSettings) -> Self {
        Self {
            usage: LruCache::new(settings.counted_blocks),
            running_imports: 0,
            failures: 0,
            paused_until_us: 0,
            export_budget_blocks: f64::from(settings.export_burst_blocks),
            budget_updated_at_us: 0,
            settings,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &KvTransferSettings {
        &self.settings
    }

    /// Reserves an import of the blocks after the cached ones, before they are
    /// looked up in the store. Returns `None` when computing them is faster, too
    /// many imports run, or one has failed recently. After a failure only one
    /// import runs at a time until one ends without a failure.
    pub fn reserve(&mut self, cached: usize, blocks: usize, now_us: u64) -> Option<Import> {
        let missing = blocks.saturating_sub(cached);
        let max_imports = match self.failures {
            0 => self.settings.max_imports,
            _ => 1,
        };
        let is_paused = now_us < self.paused_until_us;
        let concurrent_imports = self.running_imports + 1;
        if concurrent_imports > max_imports
            || is_paused
            || !self.is_import_faster(missing, concurrent_imports)
        {
            return None;
        }
        self.running_imports = concurrent_imports;
        Some(Import {
            first: cached,
            end: blocks,
            expires_at_us: now_us + self.wait_limit_us(missing),
        })
    }

    /// Narrows an import to the leading blocks that the store holds without a
    /// gap. Returns `None` when computing these is faster.
    pub fn narrow(&self, import: Import, stored: usize) -> Option<Import> {
        let stored = stored.min(import.blocks());
        if !self.is_import_faster(stored, self.running_imports) {
            return None;
        }
        Some(Import {
            end: import.first + stored,
            ..import
        })
    }

    /// Ends an import. A failed one pauses further imports.
    pub fn end_import(&mut self, outcome: ImportOutcome, now_us: u64) {
        self.running_imports = self.running_imports.saturating_sub(1);
        if outcome != ImportOutcome::Failed {
            self.failures = 0;
            return;
        }
        let settings = &self.settings;
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let pause_us = settings.pause_us.saturating_mul(factor);
        self.failures = self.failures.saturating_add(1);
        self.paused_until_us = now_us + pause_us.min(settings.max_pause_us);
    }

    /// Returns the longest time that a prompt waits for a number of blocks, which
    /// is never longer than computing them takes.
    fn wait_limit_us(&self, blocks: usize) -> u64 {
        let recompute_us = to_u64(blocks).saturating_mul(self.settings.recompute_block_us);
        recompute_us.min(self.settings.max_wait_us)
    }

    /// Counts one use of the blocks of a prompt that the engine now holds and
    /// returns the blocks to export, from the start of the prompt.
    ///
    /// A block is of no use in the store without those before it, so the first
    /// one that must not be exported yet ends the list.
    pub fn choose_exports(
        &mut self,
        namespace: Namespace,
        blocks: &[BlockHash],
        now_us: u64,
    ) -> Vec<BlockHash> {
        self.refill_export_budget(now_us);
        let mut exports = Vec::new();
        let mut may_export = true;
        for &block in blocks {
            let again_after_us = self.settings.export_again_after_us;
            let key = (namespace, block);
            let usage = self.usage.get_or_insert_mut(key, Usage::default);
            usage.uses = usage.uses.saturating_add(1);
            let is_exported = usage
                .exported_at_us
                .is_some_and(|at_us| now_us < at_us.saturating_add(again_after_us));
            may_export &= usage.uses >= self.settings.export_after_uses;
            if !may_export || is_exported {
                continue;
            }
            if self.export_budget_blocks < 1.0 {
                may_export = false;
                continue;
            }
            self.export_budget_blocks -= 1.0;
            usage.exported_at_us = Some(now_us);
            exports.push(block);
        }
        exports
    }

    /// Notes that blocks did not reach the store, so that the next use exports
    /// them.
    pub fn note_export_failure(&mut self, namespace: Namespace, blocks: &[BlockHash]) {
        for &block in blocks {
            if let Some(usage) = self.usage.peek_mut(&(namespace, block)) {
                usage.exported_at_us = None;
            }
        }
    }

    /// Notes that the store holds blocks, so that they are not exported again.
    pub fn note_stored(&mut self, namespace: Namespace, blocks: &[BlockHash], now_us: u64) {
        for &block in blocks {
            let key = (namespace, block);
            let usage = self.usage.get_or_insert_mut(key, Usage::default);
            usage.exported_at_us = Some(now_us);
        }
    }

    /// Returns whether importing blocks is faster than computing them. Concurrent
    /// imports share the link of the target.
    fn is_import_faster(&self, blocks: usize, concurrent_imports: usize) -> bool {
        let settings = &self.settings;
        let blocks = to_u64(blocks);
        let transfer_us =
            settings.setup_us + blocks * settings.import_block_us * to_u64(concurrent_imports);
        transfer_us < blocks * settings.recompute_block_us
    }

    fn refill_export_budget(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.budget_updated_at_us);
        let rate = f64::from(self.settings.export_blocks_per_s);
        let refill_blocks = elapsed_us as f64 / US_PER_S as f64 * rate;
        let burst_blocks = f64::from(self.settings.export_burst_blocks);
        self.export_budget_blocks = (self.export_budget_blocks + refill_blocks).min(burst_blocks);
        self.budget_updated_at_us = self.budget_updated_at_us.max(now_us);
    }
}

fn to_u64(blocks: usize) -> u64 {
    u64::try_from(blocks).unwrap_or(u64::MAX)
}
