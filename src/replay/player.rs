//! Plays a trace against running processes, and makes load.

mod call;
mod load;
mod summary;

use std::{
    cell::RefCell,
    io::{
        IsTerminal,
        Write, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ntex::client::Client;
use tokio::task::JoinSet;

use super::{
    outcome::Outcome,
    trace::{
        Trace,
        require_requests, //
    },
};
use crate::{
    clock::{
        Clock,
        US_PER_MS, //
    },
    error::Result,
    process::client, //
};

pub use load::{
    LoadPlan,
    run_load, //
};
pub use summary::{
    Summary,
    summarise, //
};

/// Bound for one request; only a lost answer reaches it.
const ANSWER_WITHIN: Duration = Duration::from_secs(120);

/// How a trace is played.
#[derive(Clone, Debug)]
pub struct PlayPlan {
    /// Entries; requests go to them in turn.
    pub entries: Vec<SocketAddr>,
    /// Factor on the speed of the trace, in per mille.
    pub speed_permille: u64,
}

/// Plays a trace and returns what was seen. Runs on the thread of the caller.
///
/// # Errors
///
/// Returns [`crate::error::ErrorKind::BadRequest`] for an empty trace.
///
/// ```
/// use yuccalatch::replay::{player::{play, PlayPlan}, trace::Trace};
///
/// let plan = PlayPlan { entries: Vec::new(), speed_permille: 1_000 };
/// assert!(play(&Trace::default(), &plan).is_err());
/// ```
pub fn play(trace: &Trace, plan: &PlayPlan) -> Result<Outcome> {
    require_requests(trace)?;
    let system = ntex::rt::System::new("replay", ntex::rt::DefaultRuntime);
    let (trace, plan) = (Rc::new(trace.clone()), plan.clone());
    system.block_on(async move {
        let client = client::build("replay").await?;
        let mut outcome = play_all(&trace, &plan, &client).await;
        outcome.finish(&trace);
        Ok(outcome)
    })
}

async fn play_all(trace: &Rc<Trace>, plan: &PlayPlan, client: &Client) -> Outcome {
    let clock = Clock::start();
    let outcome = Rc::new(RefCell::new(Outcome::default()));
    let mut running = JoinSet::new();
    for (position, request) in trace.requests.iter().enumerate() {
        let due_us = request.at_ms * US_PER_MS * 1_000 / plan.speed_permille.max(1);
        tokio::time::sleep_until(clock.instant(due_us).into()).await;
        let address = plan.entries[position % plan.entries.len()];
        let (shared, client) = (Rc::clone(trace), client.clone());
        let outcome = Rc::clone(&outcome);
        running.spawn_local(async move {
            let request = &shared.requests[position];
            let observed = call::call(&client, clock, address, request).await;
            outcome.borrow_mut().add(position, request, &observed);
        });
        show_progress(position + 1, trace.requests.len());
    }
    while running.join_next().await.is_some() {}
    Rc::try_unwrap(outcome).map_or_else(|shared| shared.borrow().clone(), RefCell::into_inner)
}

/// Shows the progress on a terminal only, so that logs and pipes stay clean.
fn show_progress(done: usize, all: usize) {
    let mut stderr = std::io::stderr();
    if stderr.is_terminal() {
        let end = if done == all { "\n" } else { "" };
        // Progress is not worth a failure.
        let _ = write!(stderr, "\r{done} of {all} requests sent{end}");
    }
}
