//! Reads request bodies within the memory budget of the entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
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
    time::timeout_at, //
};

use super::{
    attempt::timer_instant,
    context::Context,
    memory_budget::{
        ChargeId,
        Growth,
        Holder, //
    },
    worker::Worker, //
};
use crate::{
    clock::US_PER_MS,
    error::ErrorKind, //
};

/// Size up to which a body of announced length is allocated at once.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Smallest allocation for a body of unknown length.
const MIN_ALLOCATION_BYTES: usize = 4 << 10;

/// Charge of the memory budget that ends when the guard is dropped.
pub(super) struct MemoryGuard {
    context: Arc<Context>,
    id: ChargeId,
}

impl MemoryGuard {
    pub(super) fn new(context: &Arc<Context>, holder: Holder) -> Self {
        Self {
            id: context.memory().begin(holder),
            context: Arc::clone(context),
        }
    }

    fn grow(&self, bytes: usize) -> Growth {
        let now_us = self.context.clock.now_us();
        let mut memory = self.context.memory();
        memory.grow(self.id, bytes as u64, now_us)
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.context.memory().release(self.id);
    }
}

/// A body that waits for more bytes, and that other bodies may take the place of.
#[derive(Default)]
struct WaitingBody {
    data: RefCell<Vec<u8>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// Bodies of a traffic thread that wait for more bytes.
#[derive(Default)]
pub(super) struct WaitingBodies(RefCell<HashMap<ChargeId, Rc<WaitingBody>>>);

impl WaitingBodies {
    /// Frees the memory of bodies that have lost their place.
    fn evict(&self, ids: &[ChargeId]) {
        for id in ids {
            if let Some(body) = self.0.borrow_mut().remove(id) {
                body.data.take();
                body.is_evicted.set(true);
                body.evicted.notify_one();
            }
        }
    }
}

/// Removes a body from those that wait when its request ends, at whatever point.
struct WaitingEntry<'a> {
    bodies: &'a WaitingBodies,
    id: ChargeId,
    body: Rc<WaitingBody>,
}

impl Drop for WaitingEntry<'_> {
    fn drop(&mut self) {
        self.bodies.0.borrow_mut().remove(&self.id);
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

/// Reads a body. The guard holds its memory until the request ends.
pub(super) async fn read<P>(
    worker: &Worker<P>,
    payload: &mut Payload,
    holder: Holder,
    limits: &BodyLimits,
) -> Result<(Bytes, Option<MemoryGuard>), ErrorKind> {
    if matches!(payload, Payload::None) {
        return Ok((Bytes::new(), None));
    }
    let Some(first) = next_part(worker, payload, limits).await? else {
        return Ok((Bytes::new(), None));
    };
    let guard = MemoryGuard::new(&worker.context, holder);
    let mut data = Vec::new();
    store(worker, &guard, &mut data, &first, limits)?;
    drop(first);
    // A small body has usually arrived with its head.
    loop {
        match payload.next().now_or_never() {
            Some(None) => return Ok((Bytes::from(data), Some(guard))),
            Some(Some(part)) => store(worker, &guard, &mut data, &check(part)?, limits)?,
            None => break,
        }
    }
    let body = read_rest(worker, payload, &guard, data, limits).await?;
    Ok((body, Some(guard)))
}

/// Reads the rest of a body, which may be dropped for others while it waits.
async fn read_rest<P>(
    worker: &Worker<P>,
    payload: &mut Payload,
    guard: &MemoryGuard,
    data: Vec<u8>,
    limits: &BodyLimits,
) -> Result<Bytes, ErrorKind> {
    let body = Rc::new(WaitingBody::default());
    body.data.replace(data);
    let entry = WaitingEntry {
        bodies: &worker.waiting_bodies,
        id: guard.id,
        body,
    };
    let waiting = &worker.waiting_bodies.0;
    waiting
        .borrow_mut()
        .insert(guard.id, Rc::clone(&entry.body));
    loop {
        let now_us = worker.now_us();
        worker.context.memory().note_progress(guard.id, now_us);
        let part = tokio::select! {
            biased;
            () = entry.body.evicted.notified() => return Err(ErrorKind::MemoryFull),
            part = next_part(worker, payload, limits) => part?,
        };
        if entry.body.is_evicted.get() {
            return Err(ErrorKind::MemoryFull);
        }
        let Some(part) = part else {
            worker.context.memory().complete(guard.id);
            return Ok(Bytes::from(entry.body.data.take()));
        };
        store(
            worker,
            guard,
            &mut entry.body.data.borrow_mut(),
            &part,
            limits,
        )?;
    }
}

async fn next_part<P>(
    worker: &Worker<P>,
    payload: &mut Payload,
    limits: &BodyLimits,
) -> Result<Option<Part>, ErrorKind> {
    let progress_us = worker.body_progress_ms * US_PER_MS;
    let until_us = (worker.now_us() + progress_us).min(limits.deadline_us);
    let part = timeout_at(timer_instant(worker, until_us), payload.next()).await;
    let part = part.map_err(|_| ErrorKind::BodyTimeout)?;
    part.map(check).transpose()
}

fn check(part: Result<Part, PayloadError>) -> Result<Part, ErrorKind> {
    part.map_err(|_| ErrorKind::BadRequest)
}

/// Appends a part to a body after its memory has been charged.
fn store<P>(
    worker: &Worker<P>,
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
        let growth = guard.grow(capacity);
        worker.waiting_bodies.evict(&growth.evicted);
        worker
            .context
            .metrics
            .evicted_bodies
            .inc_by(growth.evicted.len() as u64);
        if !growth.is_granted {
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
