//! Reads request bodies and answers within a memory budget.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use bytes::Bytes;
use futures_util::{
    FutureExt,
    StreamExt, //
};
use ntex::{
    http::{
        HeaderMap,
        Payload,
        error::PayloadError, //
    },
    util::Bytes as Part, //
};
use tokio::{
    sync::Notify,
    time::{
        Instant,
        timeout_at, //
    },
};

use super::{
    context::Context,
    memory_budget::{
        ChargeId,
        Content,
        Holder,
        MemoryBudget, //
    },
};
use crate::{
    clock::US_PER_MS,
    error::ErrorKind, //
};

/// Size up to which a body of announced length is allocated at once.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Interval at which an answer that does not fit the budget tries again.
const GROW_INTERVAL: Duration = Duration::from_millis(10);

/// Smallest allocation for a body of unknown length.
const MIN_ALLOCATION_BYTES: usize = 4 << 10;

/// Charge of the memory budget that ends when the guard is dropped.
pub(super) struct MemoryGuard {
    memory: SharedBudget,
    id: ChargeId,
    /// Bytes that are charged.
    bytes: Cell<usize>,
}

impl MemoryGuard {
    pub(super) const fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        lock(&self.memory).release(self.id);
    }
}

/// Memory budget that threads share.
pub(super) type SharedBudget = Arc<Mutex<MemoryBudget>>;

/// Locks a budget. A poisoned lock is used all the same, because a panic of another
/// thread ends the process.
pub(super) fn lock(memory: &SharedBudget) -> MutexGuard<'_, MemoryBudget> {
    memory.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A body that waits for more bytes, and that other bodies may take the place of.
#[derive(Default)]
struct WaitingBody {
    data: RefCell<Vec<u8>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// Bodies that one thread reads, all of them charged to one budget.
pub(super) struct Bodies {
    context: Arc<Context>,
    memory: SharedBudget,
    /// Bodies that wait for more bytes.
    waiting: RefCell<HashMap<ChargeId, Rc<WaitingBody>>>,
    /// Longest time for which a body may arrive without a further byte.
    progress_us: u64,
}

impl Bodies {
    pub(super) fn new(context: &Arc<Context>, memory: &SharedBudget) -> Self {
        Self {
            context: Arc::clone(context),
            memory: Arc::clone(memory),
            waiting: RefCell::default(),
            progress_us: context.settings.get().body_progress_ms * US_PER_MS,
        }
    }

    /// Begins a charge of no bytes.
    pub(super) fn begin(&self, holder: Holder) -> MemoryGuard {
        MemoryGuard {
            id: lock(&self.memory).begin(holder),
            memory: Arc::clone(&self.memory),
            bytes: Cell::new(0),
        }
    }

    /// Charges up to `bytes` in all and frees the bodies that lose their place for it.
    /// Returns whether the bytes may be stored.
    fn grow(&self, guard: &MemoryGuard, content: Content, bytes: usize) -> bool {
        let now_us = self.context.clock.now_us();
        let growth = lock(&self.memory).grow(guard.id, content, bytes as u64, now_us);
        if growth.is_granted {
            guard.bytes.set(bytes.max(guard.bytes.get()));
        }
        for id in &growth.evicted {
            self.context.metrics.evicted_bodies.inc();
            if let Some(body) = self.waiting.borrow_mut().remove(id) {
                body.data.take();
                body.is_evicted.set(true);
                body.evicted.notify_one();
            }
        }
        growth.is_granted
    }

    /// Waits until `bytes` in all may be stored for an answer.
    async fn wait_to_grow(&self, guard: &MemoryGuard, bytes: usize) {
        while !self.grow(guard, Content::Answer, bytes) {
            tokio::time::sleep(GROW_INTERVAL).await;
        }
    }

    /// Begins the buffer of an answer.
    pub(super) fn begin_answer<'a>(&'a self, guard: &'a MemoryGuard) -> AnswerBuffer<'a> {
        AnswerBuffer {
            held_bytes: guard.bytes(),
            guard,
            entry: self.wait(guard.id, Vec::new()),
        }
    }

    /// Lists a body among those that wait for more bytes.
    fn wait(&self, id: ChargeId, data: Vec<u8>) -> WaitingEntry<'_> {
        let body = Rc::new(WaitingBody::default());
        body.data.replace(data);
        self.waiting.borrow_mut().insert(id, Rc::clone(&body));
        WaitingEntry {
            bodies: self,
            id,
            body,
        }
    }

    fn timer_instant(&self, at_us: u64) -> Instant {
        Instant::from_std(self.context.clock.instant(at_us))
    }
}

/// Removes a body from those that wait when its request ends, at whatever point.
struct WaitingEntry<'a> {
    bodies: &'a Bodies,
    id: ChargeId,
    body: Rc<WaitingBody>,
}

impl Drop for WaitingEntry<'_> {
    fn drop(&mut self) {
        self.bodies.waiting.borrow_mut().remove(&self.id);
    }
}

/// An answer that is collected whole. While its target stalls, others may take its place.
pub(super) struct AnswerBuffer<'a> {
    guard: &'a MemoryGuard,
    /// Bytes that were charged before: the request's body, and an answer of an earlier
    /// attempt that may be passed on.
    held_bytes: usize,
    entry: WaitingEntry<'a>,
}

impl AnswerBuffer<'_> {
    /// Waits for the next part of the answer. Returns `None` when the answer has lost its
    /// place.
    pub(super) async fn receive<T>(&self, next: impl Future<Output = T>) -> Option<T> {
        let bodies = self.entry.bodies;
        let now_us = bodies.context.clock.now_us();
        lock(&bodies.memory).note_progress(self.guard.id, now_us);
        let part = tokio::select! {
            biased;
            () = self.entry.body.evicted.notified() => return None,
            part = next => part,
        };
        lock(&bodies.memory).complete(self.guard.id);
        (!self.entry.body.is_evicted.get()).then_some(part)
    }

    /// Returns the bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        self.entry.body.data.borrow().len()
    }

    /// Returns the bytes for which memory is allocated.
    pub(super) fn capacity(&self) -> usize {
        self.entry.body.data.borrow().capacity()
    }

    /// Allocates memory for `capacity` bytes in all, when the budget has room for them.
    pub(super) async fn reserve(&self, capacity: usize) {
        let charged_bytes = self.held_bytes + capacity;
        let bodies = self.entry.bodies;
        bodies.wait_to_grow(self.guard, charged_bytes).await;
        let mut data = self.entry.body.data.borrow_mut();
        let length = data.len();
        data.reserve_exact(capacity - length);
    }

    /// Appends a part, for which memory was reserved.
    pub(super) fn append(&self, part: &[u8]) {
        self.entry.body.data.borrow_mut().extend_from_slice(part);
    }

    pub(super) fn into_bytes(self) -> Bytes {
        Bytes::from(self.entry.body.data.take())
    }
}

/// Bounds of a body.
pub(super) struct BodyLimits {
    pub(super) max_bytes: usize,
    /// Length that the head announces.
    pub(super) length_bytes: Option<usize>,
    /// When the request is no longer worth serving.
    pub(super) deadline_us: u64,
}

/// Returns the announced length of a body; the HTTP server has refused invalid ones.
pub(super) fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Reads a body, which is charged to `guard`.
pub(super) async fn read(
    bodies: &Bodies,
    payload: &mut Payload,
    guard: &MemoryGuard,
    limits: &BodyLimits,
) -> Result<Bytes, ErrorKind> {
    if matches!(payload, Payload::None) {
        return Ok(Bytes::new());
    }
    let Some(first) = next_part(bodies, payload, limits).await? else {
        return Ok(Bytes::new());
    };
    let mut data = Vec::new();
    store(bodies, guard, &mut data, &first, limits)?;
    drop(first);
    // A small body has usually arrived with its head.
    loop {
        match payload.next().now_or_never() {
            Some(None) => return Ok(Bytes::from(data)),
            Some(Some(part)) => store(bodies, guard, &mut data, &check(part)?, limits)?,
            None => break,
        }
    }
    read_rest(bodies, payload, guard, data, limits).await
}

/// Reads the rest of a body, which may be dropped for others while it waits.
async fn read_rest(
    bodies: &Bodies,
    payload: &mut Payload,
    guard: &MemoryGuard,
    data: Vec<u8>,
    limits: &BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let entry = bodies.wait(guard.id, data);
    loop {
        let now_us = bodies.context.clock.now_us();
        lock(&bodies.memory).note_progress(guard.id, now_us);
        let part = tokio::select! {
            biased;
            () = entry.body.evicted.notified() => return Err(ErrorKind::MemoryFull),
            part = next_part(bodies, payload, limits) => part?,
        };
        if entry.body.is_evicted.get() {
            return Err(ErrorKind::MemoryFull);
        }
        let Some(part) = part else {
            lock(&bodies.memory).complete(guard.id);
            return Ok(Bytes::from(entry.body.data.take()));
        };
        store(
            bodies,
            guard,
            &mut entry.body.data.borrow_mut(),
            &part,
            limits,
        )?;
    }
}

async fn next_part(
    bodies: &Bodies,
    payload: &mut Payload,
    limits: &BodyLimits,
) -> Result<Option<Part>, ErrorKind> {
    let until_us = bodies.context.clock.now_us() + bodies.progress_us;
    let until = bodies.timer_instant(until_us.min(limits.deadline_us));
    let part = timeout_at(until, payload.next()).await;
    let part = part.map_err(|_| ErrorKind::BodyTimeout)?;
    part.map(check).transpose()
}

fn check(part: Result<Part, PayloadError>) -> Result<Part, ErrorKind> {
    part.map_err(|_| ErrorKind::BadRequest)
}

/// Appends a part to a body after its memory has been charged.
fn store(
    bodies: &Bodies,
    guard: &MemoryGuard,
    data: &mut Vec<u8>,
    part: &[u8],
    limits: &BodyLimits,
) -> Result<(), ErrorKind> {
    let needed_bytes = data.len() + part.len();
    if needed_bytes > limits.max_bytes {
        return Err(ErrorKind::BodyTooLarge);
    }
    if needed_bytes > data.capacity() {
        let capacity = next_capacity(data.capacity(), needed_bytes, limits);
        if !bodies.grow(guard, Content::Request, capacity) {
            return Err(ErrorKind::MemoryFull);
        }
        data.reserve_exact(capacity - data.len());
    }
    data.extend_from_slice(part);
    Ok(())
}

/// Returns the capacity for a body that needs more than it has.
fn next_capacity(capacity: usize, needed_bytes: usize, limits: &BodyLimits) -> usize {
    let end_bytes = limits.length_bytes.unwrap_or(limits.max_bytes);
    if limits
        .length_bytes
        .is_some_and(|length_bytes| length_bytes <= SMALL_BODY_BYTES)
    {
        return end_bytes.max(needed_bytes);
    }
    let doubled = (capacity * 2).max(MIN_ALLOCATION_BYTES);
    doubled.min(end_bytes).max(needed_bytes)
}
