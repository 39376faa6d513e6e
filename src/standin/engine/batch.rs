//! Admission to the running batch, by priority and then by arrival.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc, //
};

use tokio::sync::oneshot;

/// Lower values run first, as in common engines.
pub(super) type Priority = i32;

#[derive(Debug, Default)]
struct State {
    running: usize,
    next_arrival: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
}

/// Bounded set of running requests.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    size: usize,
    state: Rc<RefCell<State>>,
}

/// Place in the batch, given back on drop.
#[derive(Debug)]
pub(super) struct Slot {
    batch: Batch,
}

impl Batch {
    pub(super) fn new(size: usize) -> Self {
        Self {
            size,
            state: Rc::default(),
        }
    }

    /// Waits for a place in the batch.
    pub(super) async fn enter(&self, priority: Priority) -> Slot {
        let granted = {
            let mut state = self.state.borrow_mut();
            if state.running < self.size {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                let arrival = state.next_arrival;
                state.next_arrival += 1;
                state.waiting.insert((priority, arrival), sender);
                Some(receiver)
            }
        };
        if let Some(granted) = granted {
            // The sender only disappears with the whole engine.
            let _ = granted.await;
        }
        Slot {
            batch: self.clone(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.state.borrow().running
    }

    pub(super) fn waiting(&self) -> usize {
        self.state.borrow().waiting.len()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.batch.state.borrow_mut();
        while let Some((_, sender)) = state.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}
