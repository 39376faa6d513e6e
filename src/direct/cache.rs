//! What is known of the parts that engines have cached.
//!
//! The agent beside an engine follows the engine's cache events and keeps a
//! [`CacheLog`]; it tells each entry the changes since the last ones that the
//! entry confirmed, so that a message holds only what is new. Events are late and
//! some are lost, so an entry uses its [`CachedParts`] to choose, never to decide
//! what a request may rely on.

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

/// Changes that are kept for entries that have missed some. An entry that has
/// missed more is told all parts.
const MAX_CHANGES: usize = 4_096;

/// Parts of one engine that are told at most, about 14 bytes each.
const MAX_PARTS: usize = 4_096;

/// Tokens of a block of an engine's memory. The last block of a part may be
/// shared with what follows, and then is not counted as cached.
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

/// Position in the changes of one agent's log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachePosition {
    /// The log. A restart of the agent or of its engine begins another one.
    pub log: Incarnation,
    /// Number of changes so far.
    pub changes: u64,
}

/// Changes of an engine's cache, from an agent to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheUpdate {
    /// Changes that the entry has to know already; `None` when all parts follow.
    pub after_changes: Option<u64>,
    /// Position after this news.
    pub position: CachePosition,
    /// Keys of parts and the tokens of each that are cached now, 0 when it is gone.
    pub parts: Vec<(u64, u32)>,
}

/// Parts that one engine has cached, as its agent keeps them.
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
    held: HashMap<u64, u32>,
    changes: VecDeque<u64>,
}

impl Default for CacheLog {
    fn default() -> Self {
        Self {
            position: new_log(),
            engine_epoch: None,
            held: HashMap::new(),
            changes: VecDeque::new(),
        }
    }
}

fn new_log() -> CachePosition {
    CachePosition {
        log: Incarnation::random(),
        changes: 0,
    }
}

impl CacheLog {
    /// Takes events of the engine. Lost events leave parts in the log that are
    /// gone, or keep out some that are there.
    pub fn apply(&mut self, events: &CacheEvents) {
        if self.engine_epoch.replace(events.epoch) != Some(events.epoch) {
            self.held.clear();
            self.changes.clear();
            self.position = new_log();
        }
        for event in &events.events {
            let key = part_key(&event.namespace, &event.model, event.part);
            if event.tokens == 0 {
                self.held.remove(&key);
            } else if self.held.len() < MAX_PARTS || self.held.contains_key(&key) {
                let tokens = u32::try_from(event.tokens).unwrap_or(u32::MAX);
                self.held.insert(key, tokens);
            }
            self.position.changes += 1;
            self.changes.push_back(key);
        }
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
    }

    /// Returns the number of cached parts.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the position after all changes.
    pub const fn position(&self) -> CachePosition {
        self.position
    }

    /// Returns what an entry lacks that knows the changes up to a position.
    pub fn update_since(&self, known: Option<CachePosition>) -> CacheUpdate {
        let kept = u64::try_from(self.changes.len()).unwrap_or(u64::MAX);
        let missed = known
            .filter(|known| known.log == self.position.log)
            .map(|known| self.position.changes.saturating_sub(known.changes))
            .filter(|missed| *missed <= kept);
        let Some(missed) = missed else {
            return CacheUpdate {
                after_changes: None,
                position: self.position,
                parts: self.held.iter().map(|(key, held)| (*key, *held)).collect(),
            };
        };
        let newest = usize::try_from(missed).unwrap_or(usize::MAX);
        let mut keys: Vec<u64> = self.changes.iter().rev().take(newest).copied().collect();
        keys.sort_unstable();
        keys.dedup();
        let held = |key: &u64| self.held.get(key).copied().unwrap_or(0);
        CacheUpdate {
            after_changes: Some(self.position.changes - missed),
            position: self.position,
            parts: keys.iter().map(|key| (*key, held(key))).collect(),
        }
    }
}

/// Parts that one engine has cached, as an entry was told.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    position: Option<CachePosition>,
    held: HashMap<u64, u32>,
}

impl CachedParts {
    /// Takes news unless it is older than what is known, or leaves a gap.
    pub fn apply(&mut self, news: &CacheUpdate) {
        let known = self
            .position
            .filter(|position| position.log == news.position.log);
        match (news.after_changes, known) {
            (_, Some(known)) if known.changes >= news.position.changes => return,
            (Some(after), Some(known)) if known.changes >= after => {}
            (Some(_), _) => return,
            (None, _) => self.held.clear(),
        }
        for (key, tokens) in &news.parts {
            if *tokens == 0 {
                self.held.remove(key);
            } else {
                self.held.insert(*key, *tokens);
            }
        }
        self.position = Some(news.position);
    }

    /// Returns the position of the last news, `None` before the first.
    pub const fn position(&self) -> Option<CachePosition> {
        self.position
    }

    /// Returns how many tokens at the start of a prompt are cached, `None` when
    /// nothing was told yet.
    pub fn leading_tokens(&self, keys: &[(u64, u64)]) -> Option<u64> {
        self.position?;
        let mut leading = 0;
        for (key, tokens) in keys {
            let held = self.held.get(key).copied().map_or(0, u64::from);
            leading += held.min(*tokens);
            if held + BLOCK_TOKENS <= *tokens {
                break;
            }
        }
        Some(leading)
    }
}
