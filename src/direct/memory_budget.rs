//! Memory that request bodies and buffered answers may take in one entry.
//!
//! The load it handles: many callers at once send bodies of legal size and stop short of
//! their end, or do not read their answers. Each body alone is allowed, all of them
//! together exceed the machine's memory. Bytes are charged before they are stored. What
//! does not fit first takes the place of bodies that have stopped arriving.

use std::collections::HashMap;

use crate::{
    clock::US_PER_MS,
    names::Name, //
};

/// Budget of a machine that states no limit.
const DEFAULT_BUDGET_BYTES: u64 = 256 << 20;

/// Divisor from the machine's memory to the budget. The rest holds the program, copies
/// while a body grows or is written, and the buffers of connections.
const MEMORY_PER_BUDGET: u64 = 4;

/// Divisor from the budget for callers to the one for other entries and agents, whose
/// messages are usually a few KiB long.
const BUDGET_PER_CONTROL_BUDGET: u64 = 8;

/// Time without a new byte after which an arriving body may lose its place to others. A
/// caller within the limits sends 4 MiB in less.
const STALLED_US: u64 = 1_000 * US_PER_MS;

/// Size up to which a body or answer may use parts of the budget that large ones leave
/// free. Most are smaller, and pass while large ones wait.
const SMALL_BYTES: u64 = 64 << 10;

/// Whose memory a charge takes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Holder {
    /// Callers without a valid key, on public routes. Their bodies share an eighth of the
    /// budget.
    Keyless,
    /// An organisation, whose bodies get at most three quarters of the budget.
    Organisation(Name),
    /// Other entries and agents, which have a budget of their own.
    Peer,
}

/// Identifies a charge.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChargeId(u64);

/// What a charge grows for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// Body of a request that is not sent yet, and may still be refused.
    Request,
    /// Answer to a request that has run. Its part of the budget is larger, as requests
    /// that wait for their answers would otherwise wait for each other.
    Answer,
}

/// Answer to a charge that wants to grow.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Growth {
    /// Whether the bytes may be stored.
    pub is_granted: bool,
    /// Bodies that have lost their place. They are no longer charged and must be dropped
    /// before anything else is stored.
    pub evicted: Vec<ChargeId>,
}

#[derive(Debug)]
struct Charge {
    holder: Holder,
    bytes: u64,
    /// When an arriving body last grew; `None` for what must not be dropped.
    progressed_at_us: Option<u64>,
}

/// Bytes that are held and may be held.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: u64,
    held_bytes: u64,
    held_by: HashMap<Holder, u64>,
    charges: HashMap<ChargeId, Charge>,
    next_id: u64,
}

/// Returns the budget of a machine with this memory, 0 when it states none.
///
/// ```
/// use yuccalatch::direct::memory_budget::budget_bytes;
///
/// assert_eq!(budget_bytes(88), 22 << 20);
/// assert_eq!(budget_bytes(0), 256 << 20);
/// ```
pub const fn budget_bytes(memory_mb: u64) -> u64 {
    match memory_mb {
        0 => DEFAULT_BUDGET_BYTES,
        _ => memory_mb.saturating_mul(1 << 20) / MEMORY_PER_BUDGET,
    }
}

/// Returns the budget for messages of other entries and agents.
///
/// ```
/// use yuccalatch::direct::memory_budget::control_budget_bytes;
///
/// assert_eq!(control_budget_bytes(0), 32 << 20);
/// ```
pub const fn control_budget_bytes(memory_mb: u64) -> u64 {
    budget_bytes(memory_mb) / BUDGET_PER_CONTROL_BUDGET
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    ///
    /// ```
    /// use yuccalatch::direct::memory_budget::{Content, Holder, MemoryBudget};
    ///
    /// let mut budget = MemoryBudget::new(1 << 20);
    /// let body = budget.begin(Holder::Organisation("mill".into()));
    /// assert!(budget.grow(body, Content::Request, 4_096, 0).is_granted);
    /// assert_eq!(budget.held_bytes(), 4_096);
    /// budget.release(body);
    /// assert_eq!(budget.held_bytes(), 0);
    /// ```
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            held_by: HashMap::new(),
            charges: HashMap::new(),
            next_id: 0,
        }
    }

    /// Returns the bytes that are held.
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Begins a charge of no bytes, which is not dropped for others.
    pub fn begin(&mut self, holder: Holder) -> ChargeId {
        let id = ChargeId(self.next_id);
        self.next_id += 1;
        let charge = Charge {
            holder,
            bytes: 0,
            progressed_at_us: None,
        };
        self.charges.insert(id, charge);
        id
    }

    /// Sets when an arriving body last grew. It may be dropped for others from a second
    /// later.
    pub fn note_progress(&mut self, id: ChargeId, now_us: u64) {
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.progressed_at_us = Some(now_us);
        }
    }

    /// Marks a body as complete, so that it is not dropped for others.
    pub fn complete(&mut self, id: ChargeId) {
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.progressed_at_us = None;
        }
    }

    /// Charges up to `bytes` in all, if they fit without or instead of stalled bodies. A
    /// charge fits whatever its size when nothing else is held.
    pub fn grow(&mut self, id: ChargeId, content: Content, bytes: u64, now_us: u64) -> Growth {
        let mut growth = Growth::default();
        let Some(charge) = self.charges.get(&id) else {
            return growth;
        };
        let holder = charge.holder.clone();
        let own_bytes = charge.bytes;
        let more_bytes = bytes.saturating_sub(own_bytes);
        let is_small = match content {
            Content::Request => bytes <= SMALL_BYTES,
            Content::Answer => more_bytes <= SMALL_BYTES,
        };
        let (total_bytes, share_bytes) = self.parts(&holder, content, is_small);
        loop {
            let others_bytes = self.held_bytes - own_bytes;
            let holder_bytes = self.held_by.get(&holder).copied().unwrap_or(0) - own_bytes;
            let is_share_full = holder_bytes > 0 && holder_bytes + bytes > share_bytes;
            let is_full = others_bytes + bytes > total_bytes || is_share_full;
            if others_bytes == 0 || !is_full {
                break;
            }
            let only = is_share_full.then_some(&holder);
            let Some(stalled) = self.longest_stalled(id, only, now_us) else {
                return growth;
            };
            self.release(stalled);
            growth.evicted.push(stalled);
        }
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.bytes += more_bytes;
        }
        self.held_bytes += more_bytes;
        *self.held_by.entry(holder).or_insert(0) += more_bytes;
        growth.is_granted = true;
        growth
    }

    /// Ends a charge.
    pub fn release(&mut self, id: ChargeId) {
        let Some(charge) = self.charges.remove(&id) else {
            return;
        };
        self.held_bytes -= charge.bytes;
        if let Some(held_bytes) = self.held_by.get_mut(&charge.holder) {
            *held_bytes -= charge.bytes;
            if *held_bytes == 0 {
                self.held_by.remove(&charge.holder);
            }
        }
    }

    /// Returns the parts of the budget that all charges, and those of the holder, may take
    /// after this one has grown.
    const fn parts(&self, holder: &Holder, content: Content, is_small: bool) -> (u64, u64) {
        let total = match (content, is_small) {
            (Content::Request, false) => 14,
            (Content::Request, true) | (Content::Answer, false) => 15,
            (Content::Answer, true) => 16,
        };
        let share = match (holder, content, is_small) {
            (Holder::Peer, ..) | (_, Content::Answer, true) => 16,
            (Holder::Keyless, Content::Request, _) => 2,
            (Holder::Keyless, Content::Answer, false) => 4,
            (Holder::Organisation(_), Content::Request, _) => 12,
            (Holder::Organisation(_), Content::Answer, false) => 14,
        };
        let sixteenth_bytes = self.limit_bytes / 16;
        (total * sixteenth_bytes, share * sixteenth_bytes)
    }

    fn longest_stalled(
        &self,
        except: ChargeId,
        holder: Option<&Holder>,
        now_us: u64,
    ) -> Option<ChargeId> {
        let stalled = self.charges.iter().filter_map(|(id, charge)| {
            let progressed_at_us = charge.progressed_at_us?;
            let is_candidate = *id != except
                && charge.bytes > 0
                && holder.is_none_or(|holder| *holder == charge.holder)
                && now_us >= progressed_at_us.saturating_add(STALLED_US);
            is_candidate.then_some((progressed_at_us, *id))
        });
        stalled.min().map(|(_, id)| id)
    }
}
