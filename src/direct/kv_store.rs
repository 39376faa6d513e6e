//! Selects the KV cache store that keeps the parts of a prompt.
//!
//! Designed for several stores and many entries that exchange no messages about
//! them: all entries name the same store for a subject, so that parts which one entry
//! exports are found by the others, and every store keeps other subjects.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::Prompt;
use crate::clock::US_PER_S;

/// Age of weights at which the store has most subjects that were computed under them.
const STORE_FILL_US: u64 = 8 * US_PER_S;

/// Returns where a target imports parts of a prompt from: an engine that has all its
/// shared parts, else the store if it is complete, else the engine that has most of
/// them. A store is complete when the weights are so old (`weights_age_us`) that most
/// subjects were computed under them and exported.
///
/// ```
/// use yuccalatch::direct::{
///     kv_store::select_source,
///     message::{Prompt, PromptPart},
/// };
///
/// let prompt = Prompt {
///     model: "m".into(), input_tokens: 90, max_output_tokens: 1, expected_output_tokens: 1,
///     parts: vec![PromptPart { id: 1, tokens: 30 }, PromptPart { id: 7, tokens: 50 }],
/// };
/// let engine = "10.0.0.1:80".parse().ok();
/// let store = "10.0.0.2:80".parse().ok();
/// let old_us = 60_000_000;
/// assert_eq!(select_source((engine, 80), store, &prompt, old_us), engine);
/// assert_eq!(select_source((engine, 30), store, &prompt, old_us), store);
/// assert_eq!(select_source((engine, 30), store, &prompt, 0), engine);
/// assert_eq!(select_source((engine, 30), None, &prompt, old_us), engine);
/// ```
pub fn select_source(
    (engine, engine_tokens): (Option<SocketAddr>, u64),
    store: Option<SocketAddr>,
    prompt: &Prompt,
    weights_age_us: u64,
) -> Option<SocketAddr> {
    let is_whole = engine_tokens >= prompt.shared_tokens();
    if is_whole || weights_age_us < STORE_FILL_US {
        engine.or(store)
    } else {
        store.or(engine)
    }
}

/// Returns the store of a prompt's subject among those that are up, by rendezvous
/// hashing; `None` when there is no store, or the prompt has no shared parts.
///
/// ```
/// use yuccalatch::direct::{
///     kv_store::select_store,
///     message::{Prompt, PromptPart},
/// };
///
/// let prompt = Prompt {
///     model: "m".into(), input_tokens: 9, max_output_tokens: 1, expected_output_tokens: 1,
///     parts: vec![PromptPart { id: 7, tokens: 8 }],
/// };
/// let stores = ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
/// let first = select_store(&stores, &[], &prompt).unwrap();
/// assert_ne!(select_store(&stores, &[first], &prompt), Some(first));
/// assert_eq!(select_store(&stores, &stores, &prompt), None);
/// ```
pub fn select_store(
    stores: &[SocketAddr],
    down: &[SocketAddr],
    prompt: &Prompt,
) -> Option<SocketAddr> {
    let subject = prompt.parts.last()?;
    let weight = |store: &SocketAddr| xxh3_64_with_seed(store.to_string().as_bytes(), subject.id);
    let up = stores.iter().filter(|store| !down.contains(store));
    up.max_by_key(|store| weight(store)).copied()
}
