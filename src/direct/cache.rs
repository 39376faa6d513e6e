//! Tracks which prompt parts engines have cached.
//!
//! The agent beside an engine follows the engine's cache events and keeps a
//! [`CacheLog`]. It sends each entry only the changes since the position that the
//! entry last confirmed. Events are late and some are lost, so [`CachedParts`], the
//! entry's copy, may be wrong. An entry ranks targets by it, but a request must not
//! depend on it.

use std::collections::{
    HashMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::{
    CacheEvents,
    Prompt, //
};
use crate::names::Incarnation;

/// Changes that are kept for entries that lag behind. An entry that lags further
/// behind is sent all parts.
const MAX_CHANGES: usize = 4_096;

/// Largest number of parts that are tracked for an engine. Each takes about 14 bytes
/// in an update.
const MAX_PARTS: usize = 4_096;

/// Tokens in a block of an engine's cache. The last block of a part may also hold
/// the start of the next part, and is then not counted as cached.
const BLOCK_TOKENS: u64 = 16;

/// Returns the key of a part under a namespace of an engine's cache.
///
/// ```
/// use yuccalatch::direct::cache::part_key;
///
/// assert_ne!(part_key("1", "m", 7), part_key("2", "m", 7));
/// ```
pub fn part_key(namespace: &str, model: &str, part: u64) -> u64 {
    let seed = xxh3_64_with_seed(model.as_bytes(), part);
    xxh3_64_with_seed(namespace.as_bytes(), seed)
}

/// Returns the keys of a prompt's shared parts with their lengths in tokens.
pub fn prompt_keys(namespace: &str, prompt: &Prompt) -> Vec<(u64, u64)> {
    let parts = prompt.parts.iter();
    let key = |id| part_key(namespace, &prompt.model, id);
    parts.map(|part| (key(part.id), part.tokens)).collect()
}

/// Position in one agent's [`CacheLog`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachePosition {
    /// Id of the log. It changes when the agent or its engine restarts.
    pub log: Incarnation,
    /// Number of changes up to this position.
    pub changes: u64,
}

/// Changes of an engine's cache, from an agent to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// Number of changes that the entry must already have applied; `None` when
    /// `parts` is the complete state.
    pub after_changes: Option<u64>,
    /// Position of the log after this update.
    pub position: CachePosition,
    /// Keys of parts with their cached tokens, 0 for a part that is no longer cached.
    pub parts: Vec<(u64, u32)>,
}

/// Parts that one engine has cached, and the latest changes, as its agent tracks them.
///
/// ```
/// use yuccalatch::direct::{
///     cache::{CacheLog, CachedParts},
///     message::{CacheEvent, CacheEvents},
/// };
///
/// let mut log = CacheLog::default();
/// let event = CacheEvent { namespace: "1".into(), model: "m".into(), part: 7, tokens: 80 };
/// log.apply(&CacheEvents { epoch: 1, next: 2, has_lost_events: false, events: vec![event] });
/// let mut parts = CachedParts::default();
/// parts.apply(&log.update_since(None));
/// assert_eq!(parts.position(), Some(log.position()));
/// assert!(log.update_since(parts.position()).parts.is_empty());
/// ```
#[derive(Debug)]
pub struct CacheLog {
    position: CachePosition,
    engine_epoch: Option<u64>,
    tokens_by_key: HashMap<u64, u32>,
    /// Keys of the parts that changed, the latest last.
    changed_keys: VecDeque<u64>,
}

impl Default for CacheLog {
    fn default() -> Self {
        Self {
            position: start_of_new_log(),
            engine_epoch: None,
            tokens_by_key: HashMap::new(),
            changed_keys: VecDeque::new(),
        }
    }
}

fn start_of_new_log() -> CachePosition {
    CachePosition {
        log: Incarnation::random(),
        changes: 0,
    }
}

impl CacheLog {
    /// Applies events of the engine. After lost events, the log may hold parts that
    /// are no longer cached, or lack some that are.
    pub fn apply(&mut self, events: &CacheEvents) {
        if self.engine_epoch.replace(events.epoch) != Some(events.epoch) {
            self.tokens_by_key.clear();
            self.changed_keys.clear();
            self.position = start_of_new_log();
        }
        for event in &events.events {
            let key = part_key(&event.namespace, &event.model, event.part);
            if event.tokens == 0 {
                self.tokens_by_key.remove(&key);
            } else if self.tokens_by_key.len() < MAX_PARTS || self.tokens_by_key.contains_key(&key)
            {
                let tokens = u32::try_from(event.tokens).unwrap_or(u32::MAX);
                self.tokens_by_key.insert(key, tokens);
            }
            self.position.changes += 1;
            self.changed_keys.push_back(key);
        }
        let surplus = self.changed_keys.len().saturating_sub(MAX_CHANGES);
        self.changed_keys.drain(..surplus);
    }

    /// Returns the number of cached parts.
    pub fn len(&self) -> usize {
        self.tokens_by_key.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.tokens_by_key.is_empty()
    }

    /// Returns the position after the latest change.
    pub const fn position(&self) -> CachePosition {
        self.position
    }

    /// Returns the update for an entry that has confirmed a position, or has confirmed
    /// none. The update holds all parts when the position is of another log or is too
    /// far back.
    pub fn update_since(&self, confirmed: Option<CachePosition>) -> CacheUpdate {
        let kept = u64::try_from(self.changed_keys.len()).unwrap_or(u64::MAX);
        let missed = confirmed
            .filter(|confirmed| confirmed.log == self.position.log)
            .map(|confirmed| self.position.changes.saturating_sub(confirmed.changes))
            .filter(|missed| *missed <= kept);
        let Some(missed) = missed else {
            return CacheUpdate {
                after_changes: None,
                position: self.position,
                parts: self
                    .tokens_by_key
                    .iter()
                    .map(|(key, cached)| (*key, *cached))
                    .collect(),
            };
        };
        let missed_count = usize::try_from(missed).unwrap_or(usize::MAX);
        let mut keys: Vec<u64> = self
            .changed_keys
            .iter()
            .rev()
            .take(missed_count)
            .copied()
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let cached_tokens = |key: &u64| self.tokens_by_key.get(key).copied().unwrap_or(0);
        CacheUpdate {
            after_changes: Some(self.position.changes - missed),
            position: self.position,
            parts: keys.iter().map(|key| (*key, cached_tokens(key))).collect(),
        }
    }
}

/// An entry's copy of the parts that one engine has cached.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    position: Option<CachePosition>,
    tokens_by_key: HashMap<u64, u32>,
}

impl CachedParts {
    /// Applies an update, unless it is not newer than the last one or does not follow
    /// on from it.
    pub fn apply(&mut self, update: &CacheUpdate) {
        let current = self
            .position
            .filter(|position| position.log == update.position.log);
        match (update.after_changes, current) {
            (_, Some(current)) if current.changes >= update.position.changes => return,
            (Some(after), Some(current)) if current.changes >= after => {}
            (Some(_), _) => return,
            (None, _) => self.tokens_by_key.clear(),
        }
        for (key, tokens) in &update.parts {
            if *tokens == 0 {
                self.tokens_by_key.remove(key);
            } else {
                self.tokens_by_key.insert(*key, *tokens);
            }
        }
        self.position = Some(update.position);
    }

    /// Returns the position of the last applied update, `None` before the first.
    pub const fn position(&self) -> Option<CachePosition> {
        self.position
    }

    /// Returns the number of cached tokens at the start of a prompt, `None` before the
    /// first update. `part_keys` are the keys of the prompt's parts with their lengths
    /// in tokens.
    pub fn leading_tokens(&self, part_keys: &[(u64, u64)]) -> Option<u64> {
        self.position?;
        let mut leading = 0;
        for (key, tokens) in part_keys {
            let cached = self.tokens_by_key.get(key).copied().map_or(0, u64::from);
            leading += cached.min(*tokens);
            if cached + BLOCK_TOKENS <= *tokens {
                break;
            }
        }
        Some(leading)
    }
}
