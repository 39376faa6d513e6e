//! Reserves the tokens of a request before it is placed.

use std::{
    sync::Arc,
    time::Duration, //
};

use error_stack::Report;

use super::{
    context::Context,
    request::Request, //
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
    names::Name,
    process::{
        fair_queue::RateStatus,
        limits::{
            message::RateAndBurst,
            rate_limiter::RateLimiter, //
        },
    },
    request::admission::{
        Admission,
        Cost,
        Reservation,
        WaitingRequest,
        reserve, //
    },
};

/// A waiting request looks again after this time even when no share arrives,
/// because a share may arrive between the check and the wait.
const RECHECK_US: u64 = 50 * US_PER_MS;

/// Bound for the first meter of a new organisation.
const METER_WITHIN_US: u64 = US_PER_S;

/// Interval between checks for the first meter of a new organisation.
const METER_RECHECK_US: u64 = 10 * US_PER_MS;

/// A request that may run.
#[derive(Debug, Default)]
pub(super) struct Admitted {
    /// Missing for requests without an organisation.
    pub(super) reservation: Option<Reservation>,
    pub(super) rate_status: RateStatus,
}

/// Waits until the organisation's share covers a request.
///
/// Requests without an organisation are not limited here.
///
/// # Errors
///
/// Returns [`ErrorKind::RateLimited`] or [`ErrorKind::CostAboveBurst`].
pub(super) async fn admit(context: &Context, request: &Request, cost: Cost) -> Result<Admitted> {
    let organisation = request
        .organisation
        .and_then(|key| request.config.organisation(key));
    let Some(organisation) = organisation else {
        return Ok(Admitted::default());
    };
    let rate_limiter = rate_limiter(context, &organisation.name).await?;
    let limits = RateAndBurst {
        rate_tokens_per_s: organisation.rate_tokens_per_s,
        burst_tokens: organisation.burst_tokens,
    };
    let now_us = context.clock.now_us();
    let rate_status = rate_limiter.count_request(cost.total_tokens().get(), now_us);
    let reservation = match reserve(&rate_limiter, cost, limits, request.expires_at_us, now_us)? {
        Admission::Admitted(reservation) => reservation,
        Admission::Waiting(waiting) => wait(context, waiting).await?,
    };
    Ok(Admitted {
        reservation: Some(reservation),
        rate_status,
    })
}

/// Returns the meter of an organisation. The meters follow the configuration
/// within one round of the control thread.
async fn rate_limiter(context: &Context, organisation: &Name) -> Result<Arc<RateLimiter>> {
    let expires_at_us = context.clock.now_us() + METER_WITHIN_US;
    loop {
        if let Some(rate_limiter) = context.rate_limiters.load().get(organisation) {
            return Ok(Arc::clone(rate_limiter));
        }
        if context.clock.now_us() >= expires_at_us {
            return Err(Report::new(ErrorKind::NotReady));
        }
        tokio::time::sleep(Duration::from_micros(METER_RECHECK_US)).await;
    }
}

async fn wait(context: &Context, mut waiting: WaitingRequest) -> Result<Reservation> {
    loop {
        let changed = context.shares_changed.notified();
        let now_us = context.clock.now_us();
        let wait_us = waiting.retry_at_us().saturating_sub(now_us);
        let pause = Duration::from_micros(wait_us.clamp(US_PER_MS, RECHECK_US));
        // Either way the bucket is looked at again.
        let _ = tokio::time::timeout(pause, changed).await;
        if let Some(reservation) = waiting.retry(context.clock.now_us())? {
            return Ok(reservation);
        }
    }
}
