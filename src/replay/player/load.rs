//! Closed-loop load: a fixed number of streams, each sending one request after
//! the other.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc, //
};

use tokio::task::JoinSet;

use super::call;
use crate::{
    clock::Clock,
    error::Result,
    names::Name,
    process::client,
    replay::{
        outcome::Outcome,
        trace::{
            Expectation,
            PromptPart,
            TraceBody,
            TraceRequest, //
        },
    },
};

/// Shape of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Server that is asked.
    pub address: SocketAddr,
    /// Key that is presented.
    pub key: Option<Name>,
    /// Model that is asked for.
    pub model: Name,
    /// Streams at the same time.
    pub streams: usize,
    /// Requests of each stream.
    pub requests: usize,
    /// Length of the prompt, which is the same in all requests.
    pub prompt_tokens: usize,
    /// Tokens that are generated.
    pub output_tokens: u64,
}

/// Runs a load and returns what was seen and how long it took, in microseconds.
///
/// # Errors
///
/// Returns [`crate::error::ErrorKind::Internal`] when no client can be made.
///
/// ```
/// use yuccalatch::replay::player::{run_load, LoadPlan};
///
/// let plan = LoadPlan {
///     address: ([127, 0, 0, 1], 9).into(),
///     key: None,
///     model: "oak".into(),
///     streams: 1,
///     requests: 0,
///     prompt_tokens: 10,
///     output_tokens: 1,
/// };
/// let (outcome, _) = run_load(&plan).unwrap();
/// assert!(outcome.organisations.is_empty());
/// ```
pub fn run_load(plan: &LoadPlan) -> Result<(Outcome, u64)> {
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    let plan = plan.clone();
    system.block_on(async move {
        let client = client::build("load").await?;
        let clock = Clock::start();
        let outcome = Rc::new(RefCell::new(Outcome::default()));
        let request = Rc::new(request(&plan));
        let mut streams = JoinSet::new();
        for _ in 0..plan.streams {
            let (client, request) = (client.clone(), Rc::clone(&request));
            let outcome = Rc::clone(&outcome);
            let (requests, address) = (plan.requests, plan.address);
            streams.spawn_local(async move {
                for position in 0..requests {
                    let observed = call::call(&client, clock, address, &request).await;
                    outcome.borrow_mut().add(position, &request, &observed);
                }
            });
        }
        while streams.join_next().await.is_some() {}
        let elapsed_us = clock.now_us();
        let outcome = outcome.borrow().clone();
        Ok((outcome, elapsed_us))
    })
}

fn request(plan: &LoadPlan) -> TraceRequest {
    TraceRequest {
        at_ms: 0,
        organisation: "load".into(),
        key: plan.key.clone(),
        method: "POST".into(),
        path: "/v1/completions".into(),
        body: Some(TraceBody::Completion {
            model: plan.model.clone(),
            prompt: vec![PromptPart {
                seed: "load".into(),
                tokens: plan.prompt_tokens,
            }],
            max_tokens: plan.output_tokens,
            stream: true,
        }),
        expect: Expectation {
            status: Some(200),
            complete: Some(true),
            ..Expectation::default()
        },
    }
}
