//! State of the traffic thread of an agent.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use ntex::client::Client;
use tokio::sync::{
    Notify,
    oneshot, //
};

use super::{
    context::Context,
    kv_store::KvStore,
    output::Output, //
};
use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    names::{
        AttemptId,
        Name, //
    },
    process::{
        at_most_once::{
            AttemptTable, AttemptTableLimits,
            idempotency::{
                IdempotencyLimits,
                IdempotencyTable, //
            },
        },
        client,
        fair_queue::{
            FairQueue,
            Priority,
            QueuedRequest,
            RejectedRequest, //
        },
    },
};

/// How long a finished stream stays available for a resumption.
const KEEP_FINISHED_US: u64 = 10 * US_PER_S;

/// Interval between checks for streams that nobody has fetched.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Sent to a waiting attempt when it may start or is refused.
pub(super) type Turn = std::result::Result<Priority, ErrorKind>;

struct Finished {
    id: AttemptId,
    remove_at_us: u64,
}

/// State of the traffic thread.
pub(super) struct Traffic {
    pub(super) context: Arc<Context>,
    pub(super) client: Client,
    /// Absent without a KV store in the settings.
    pub(super) kv_store: Option<KvStore>,
    pub(super) attempt_table: RefCell<AttemptTable>,
    pub(super) keys: RefCell<IdempotencyTable>,
    /// Notified when a request with an idempotency key has ended.
    pub(super) keys_changed: Notify,
    outputs: RefCell<HashMap<AttemptId, Rc<Output>>>,
    finished: RefCell<VecDeque<Finished>>,
    queue: RefCell<FairQueue<oneshot::Sender<Turn>>>,
    queue_changed: Notify,
}

impl Traffic {
    pub(super) async fn new(context: Arc<Context>) -> Result<Rc<Self>> {
        let client = client::build("target").await?;
        let attempt_table = AttemptTable::new(context.incarnation, AttemptTableLimits::default());
        let key_limits = IdempotencyLimits {
            window_us: context.settings.idempotency_window_ms * US_PER_MS,
            ..IdempotencyLimits::default()
        };
        let keys = IdempotencyTable::new(key_limits, context.clock.now_us());
        let queue = FairQueue::new(context.queue_settings());
        let kv_store = context.settings.kv_store_address.map(KvStore::new);
        let traffic = Rc::new(Self {
            context,
            client,
            kv_store,
            attempt_table: RefCell::new(attempt_table),
            keys: RefCell::new(keys),
            keys_changed: Notify::new(),
            outputs: RefCell::default(),
            finished: RefCell::default(),
            queue: RefCell::new(queue),
            queue_changed: Notify::new(),
        });
        ntex::rt::spawn(Rc::clone(&traffic).expire_waiting());
        ntex::rt::spawn(Rc::clone(&traffic).expire_finished());
        Ok(traffic)
    }

    /// Registers the stream of a new attempt.
    pub(super) fn open(&self, id: AttemptId) -> Rc<Output> {
        self.remove_old();
        let output = Rc::new(Output::default());
        self.outputs.borrow_mut().insert(id, Rc::clone(&output));
        self.publish_load();
        output
    }

    /// Returns the stream of an attempt that runs or has just finished.
    pub(super) fn output(&self, id: AttemptId) -> Option<Rc<Output>> {
        self.outputs.borrow().get(&id).cloned()
    }

    /// Lets the stream of a finished attempt expire.
    pub(super) fn close(&self, id: AttemptId) {
        let remove_at_us = self.context.clock.now_us() + KEEP_FINISHED_US;
        let mut finished = self.finished.borrow_mut();
        finished.push_back(Finished { id, remove_at_us });
    }

    /// Forgets a stream as soon as the entry has all of it.
    pub(super) fn forget_delivered(&self, id: AttemptId) {
        let mut outputs = self.outputs.borrow_mut();
        if outputs.get(&id).is_some_and(|output| output.is_delivered()) {
            outputs.remove(&id);
        }
        drop(outputs);
        self.publish_load();
    }

    fn remove_old(&self) {
        let now_us = self.context.clock.now_us();
        let mut finished = self.finished.borrow_mut();
        while finished
            .front()
            .is_some_and(|stream| stream.remove_at_us <= now_us)
        {
            if let Some(stream) = finished.pop_front() {
                self.outputs.borrow_mut().remove(&stream.id);
            }
        }
    }

    /// Waits for a place at the target.
    pub(super) async fn wait_turn(
        &self,
        organisation: Name,
        weight: u32,
        cost_tokens: u64,
        expires_at_us: u64,
    ) -> Turn {
        let (payload, turn) = oneshot::channel();
        let item = QueuedRequest {
            organisation,
            weight,
            cost_tokens,
            expires_at_us,
            payload,
        };
        let pushed = self
            .queue
            .borrow_mut()
            .push(item, self.context.clock.now_us());
        match pushed {
            Ok(None) => {}
            Ok(Some(rejected)) => refuse(rejected),
            Err(rejected) => return Err(rejected.kind),
        }
        self.start_waiting();
        self.queue_changed.notify_one();
        turn.await.unwrap_or(Err(ErrorKind::Overloaded))
    }

    /// Notes that the target has begun to answer an attempt, or never will.
    pub(super) fn first_token(&self, priority: Priority) {
        self.queue.borrow_mut().record_first_token(priority);
        self.start_waiting();
    }

    /// Returns the place of an attempt that has ended.
    pub(super) fn leave(&self, organisation: &str) {
        self.queue.borrow_mut().finish(organisation);
        self.start_waiting();
    }

    fn start_waiting(&self) {
        loop {
            let started = self.queue.borrow_mut().pop(self.context.clock.now_us());
            let Some(started) = started else {
                break;
            };
            let organisation = started.request.organisation;
            if started.request.payload.send(Ok(started.priority)).is_err() {
                // The attempt was barred while it waited.
                let mut queue = self.queue.borrow_mut();
                queue.record_first_token(started.priority);
                queue.finish(&organisation);
            }
        }
        self.publish_load();
    }

    fn publish_load(&self) {
        let queue = self.queue.borrow();
        let load = &self.context.load;
        load.queued.store(queue.len(), Ordering::Relaxed);
        load.running.store(queue.running(), Ordering::Relaxed);
        let undelivered = self.outputs.borrow().len();
        load.undelivered.store(undelivered, Ordering::Relaxed);
    }

    async fn expire_finished(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            self.remove_old();
            self.publish_load();
        }
    }

    async fn expire_waiting(self: Rc<Self>) {
        loop {
            let next_us = self.queue.borrow().next_expiry_us();
            let changed = self.queue_changed.notified();
            match next_us {
                None => changed.await,
                Some(deadline_us) => {
                    let deadline = self.context.clock.instant(deadline_us).into();
                    // Either way the queue is looked at again.
                    let _ = tokio::time::timeout_at(deadline, changed).await;
                }
            }
            let expired = self.queue.borrow_mut().expire(self.context.clock.now_us());
            for rejected in expired {
                refuse(rejected);
            }
            self.publish_load();
        }
    }
}

fn refuse(rejected: RejectedRequest<oneshot::Sender<Turn>>) {
    // The receiver is gone when the attempt was barred.
    let _ = rejected.request.payload.send(Err(rejected.kind));
}
