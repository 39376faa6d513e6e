//! Records of idempotency keys in the object API.
//!
//! A request with a key costs two writes: one creates the record, one removes it
//! after the window. A repetition costs a refused write and a read.

mod sweep;

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::sync::{
    Semaphore,
    mpsc, //
};

use crate::{
    clock::{
        US_PER_MS,
        US_PER_S, //
    },
    connection::attempt::RecordState,
    names::{
        Digest,
        Incarnation,
        Name, //
    },
    process::{
        entry::context::{
            Context,
            RecordRequest, //
        },
        platform::{
            Condition,
            ObjectVersion,
            Platform,
            PlatformError, //
        },
    },
};

/// Start of the names of records in the object API.
const PREFIX: &str = "idempotency/";

/// Bound for one call. A caller waits for it, and the object API answers in
/// milliseconds.
const CALL_WITHIN_US: u64 = US_PER_S;

/// Calls at once.
const MAX_CALLS: usize = 64;

/// Records that wait for their removal, about 150 bytes each. More are left in
/// the object API.
const MAX_EXPIRING: usize = 65_536;

/// Interval between removals of expired records.
const REMOVE_INTERVAL: Duration = Duration::from_secs(1);

struct Expiring {
    path: Name,
    version: ObjectVersion,
    remove_at_us: u64,
}

struct Records {
    context: Arc<Context>,
    platform: Platform,
    expiring: RefCell<VecDeque<Expiring>>,
}

/// Answers requests for records until the traffic threads end.
pub(super) async fn run(context: Arc<Context>, mut requests: mpsc::Receiver<RecordRequest>) {
    let platform = Platform::new(context.settings.platform_address, context.clock).await;
    let Ok(platform) = platform else {
        return;
    };
    let records = Rc::new(Records {
        context,
        platform,
        expiring: RefCell::default(),
    });
    ntex::rt::spawn(Rc::clone(&records).remove_expired());
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    while let Some(request) = requests.recv().await {
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else {
            return;
        };
        let records = Rc::clone(&records);
        ntex::rt::spawn(async move {
            let answer = records.claim(request.key, request.agent).await;
            // A request that was given up needs no answer.
            let _ = request.answer.send(answer);
            drop(permit);
        });
    }
}

impl Records {
    async fn claim(&self, key: Digest, agent: Incarnation) -> RecordState {
        let path = format!("{PREFIX}{key}");
        let value = Bytes::from(agent.to_string());
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        let created = self
            .platform
            .put(&path, value.clone(), Condition::Absent, deadline_us)
            .await;
        let is_own = match created {
            Ok(version) => {
                self.expire_later(&path, version);
                Some(true)
            }
            Err(PlatformError::Conflict { .. }) => self.read(&path, &value).await,
            Err(error) => {
                self.context.note_platform(false);
                match error.is_outcome_unknown() {
                    true => self.read(&path, &value).await,
                    false => None,
                }
            }
        };
        // While the object API was down, another agent may have run the request
        // without a record.
        let is_covered = self.context.has_platform_covered_window();
        match is_own {
            Some(true) if is_covered => RecordState::Confirmed,
            Some(true) => RecordState::Unconfirmed,
            Some(false) => RecordState::Foreign,
            None => RecordState::Silent,
        }
    }

    async fn read(&self, path: &str, value: &Bytes) -> Option<bool> {
        let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
        let stored = self.platform.get(path, deadline_us).await.ok()??;
        Some(stored.value == *value)
    }

    fn expire_later(&self, path: &str, version: ObjectVersion) {
        let mut expiring = self.expiring.borrow_mut();
        if expiring.len() < MAX_EXPIRING {
            let window_us = self.context.settings.idempotency_window_ms * US_PER_MS;
            expiring.push_back(Expiring {
                path: path.into(),
                version,
                remove_at_us: self.context.clock.now_us() + window_us,
            });
        }
    }

    async fn remove_expired(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REMOVE_INTERVAL).await;
            while let Some(expired) = self.take_expired() {
                let deadline_us = self.context.clock.now_us() + CALL_WITHIN_US;
                let path = &expired.path;
                let removed = self.platform.delete(path, expired.version, deadline_us);
                if let Err(PlatformError::Unavailable(_)) = removed.await {
                    self.expiring.borrow_mut().push_front(expired);
                    break;
                }
            }
        }
    }

    fn take_expired(&self) -> Option<Expiring> {
        let now_us = self.context.clock.now_us();
        let mut expiring = self.expiring.borrow_mut();
        let is_due = expiring.front()?.remove_at_us <= now_us;
        is_due.then(|| expiring.pop_front()).flatten()
    }
}
