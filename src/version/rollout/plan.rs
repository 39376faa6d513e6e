//! Plan of a move, computed backwards from the requested time.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    names::Name, //
};

/// Shares of the steps. The first two are small enough that a version which is
/// bad from the start stays below 2% of the traffic.
const SHARES_PERMILLE: [u16; 5] = [10, 20, 60, 200, 500];
/// Share in the settling period. The rest stays on the old version: without
/// present answers of the old version an outage of both looks like a fault of
/// the new one.
pub const LAST_STEP_PERMILLE: u16 = 900;
/// Answers of the new version that a route needs in each step. A version that
/// fails three answers in ten is recognised within about this many.
pub const STEP_ANSWERS: u64 = 20;
/// Shortest time at one share. Five such steps take 100 s, so the 2 s until a
/// fault in the settling period is cut stay below 2% of the requests.
const SHORTEST_STEP_MS: u64 = 20_000;
/// Longest planned time at one share. A route too quiet to give enough answers
/// within it does not hold up the move any longer.
pub const LONGEST_STEP_MS: u64 = 600_000;
/// Time from a step to its acknowledgement by every entry, and the write.
const STEP_OVERHEAD_MS: u64 = 3_000;
/// Length of the settling period: the period in which late faults were taken
/// back in the evaluation of moves.
const SETTLE_MS: u64 = 60_000;
/// Traffic may be this much below the stated rate: three quarters.
const RATE_MARGIN: f64 = 0.75;

/// Longest time from the acceptance of a ticket until the holder of the move has
/// planned it: 5 s until the configuration is in force, and the rounds in which
/// the holder reads the move objects and stores the new one.
pub const PICKUP_MS: u64 = 8_000;

/// Shortest times of a move. The defaults carry the guarantees of the steps;
/// shorter ones are for tests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pace {
    /// Shortest time at one share, in milliseconds.
    pub shortest_step_ms: u64,
    /// Time from a step to its acknowledgement by every entry, in milliseconds.
    pub step_overhead_ms: u64,
    /// Length of the settling period, in milliseconds.
    pub settle_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            shortest_step_ms: SHORTEST_STEP_MS,
            step_overhead_ms: STEP_OVERHEAD_MS,
            settle_ms: SETTLE_MS,
        }
    }
}

/// Weight loads in one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadEstimate {
    /// Data centre.
    pub data_centre: Name,
    /// Targets of the service there.
    pub targets: u32,
    /// Loads that may run at once.
    pub parallel_loads: u32,
    /// Upper bound for one load while no more than that run, in milliseconds.
    pub load_ms: u64,
}

/// Expected traffic of one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteRate {
    /// Route.
    pub route: Name,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// What an operator asks for, with what is known of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanRequest {
    /// Present time.
    pub now_unix_ms: u64,
    /// Time by which the move has to be done.
    pub finish_at_unix_ms: u64,
    /// Loads per data centre.
    pub loads: Vec<LoadEstimate>,
    /// Routes of the service.
    pub routes: Vec<RouteRate>,
    /// Shortest times.
    pub pace: Pace,
    /// Longest request, in milliseconds; the old version's requests need it to
    /// finish.
    pub longest_request_ms: u64,
}

impl PlanRequest {
    /// Returns a small request for examples.
    ///
    /// ```
    /// use yuccalatch::version::rollout::plan::{accept, PlanRequest};
    ///
    /// assert!(accept(&PlanRequest::example()).is_ok());
    /// ```
    pub fn example() -> Self {
        Self {
            now_unix_ms: 0,
            finish_at_unix_ms: 600_000,
            loads: vec![LoadEstimate {
                data_centre: "a".into(),
                targets: 4,
                parallel_loads: 2,
                load_ms: 500,
            }],
            routes: vec![RouteRate {
                route: "chat".into(),
                requests_per_s: 100.0,
            }],
            pace: Pace::default(),
            longest_request_ms: 30_000,
        }
    }
}

/// One share of the new version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedStep {
    /// Share of the new version.
    pub share_permille: u16,
    /// Latest time to make the step.
    pub start_by_unix_ms: u64,
}

/// Latest times of all steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// When loading begins.
    pub load_at_unix_ms: u64,
    /// Limits of concurrent loads.
    pub loads: Vec<LoadEstimate>,
    /// Shares in order.
    pub steps: Vec<PlannedStep>,
    /// Latest time to begin the settling period.
    pub settle_by_unix_ms: u64,
    /// Shortest times.
    pub pace: Pace,
    /// Latest time to move all traffic.
    pub full_by_unix_ms: u64,
    /// Time by which the move has to be done.
    pub finish_at_unix_ms: u64,
}

impl Plan {
    /// Returns the latest time to leave a step.
    ///
    /// ```
    /// use yuccalatch::version::rollout::plan::{accept, PlanRequest};
    ///
    /// let plan = accept(&PlanRequest::example()).unwrap();
    /// assert_eq!(plan.leave_by_unix_ms(0), plan.steps[1].start_by_unix_ms);
    /// ```
    pub fn leave_by_unix_ms(&self, step: usize) -> u64 {
        self.steps
            .get(step + 1)
            .map_or(self.settle_by_unix_ms, |next| next.start_by_unix_ms)
    }
}

/// Computes the plan, or refuses a time that cannot be met.
///
/// # Errors
///
/// [`ErrorKind::MoveInfeasible`] with the earliest feasible time attached;
/// [`ErrorKind::TicketInvalid`] when a data centre allows no loads.
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::version::rollout::plan::{accept, PlanRequest};
///
/// let mut request = PlanRequest::example();
/// request.finish_at_unix_ms = 50_000;
/// let refused = accept(&request).unwrap_err();
/// assert_eq!(*refused.current_context(), ErrorKind::MoveInfeasible);
/// ```
pub fn accept(request: &PlanRequest) -> Result<Plan> {
    if request.loads.iter().any(|load| load.parallel_loads == 0) {
        let report = error_stack::Report::new(ErrorKind::TicketInvalid);
        return Err(report.attach("parallel_loads is zero"));
    }
    let earliest = earliest_unix_ms(request);
    if request.finish_at_unix_ms < earliest {
        let report = error_stack::Report::new(ErrorKind::MoveInfeasible);
        return Err(report.attach(format!("earliest finish is {earliest} (Unix ms)")));
    }
    Ok(schedule(request))
}

/// Computes the plan of a move that was accepted before.
///
/// When too much time has passed since, for example in an outage of the object
/// API, the steps are planned for the earliest feasible time. They keep their
/// lengths, because a share that grows without evidence does more harm than a
/// late move.
///
/// ```
/// use yuccalatch::version::rollout::plan::{earliest_unix_ms, schedule, PlanRequest};
///
/// let mut request = PlanRequest::example();
/// request.finish_at_unix_ms = 1;
/// let plan = schedule(&request);
/// assert!(plan.full_by_unix_ms < earliest_unix_ms(&request));
/// assert_eq!(plan.finish_at_unix_ms, 1);
/// ```
pub fn schedule(request: &PlanRequest) -> Plan {
    let end_unix_ms = request.finish_at_unix_ms.max(earliest_unix_ms(request));
    backwards(request, end_unix_ms)
}

/// Returns the earliest time by which a move can be done, in Unix milliseconds.
///
/// ```
/// use yuccalatch::version::rollout::plan::{earliest_unix_ms, needed_ms, PlanRequest};
///
/// let request = PlanRequest::example();
/// assert_eq!(earliest_unix_ms(&request), request.now_unix_ms + needed_ms(&request));
/// ```
pub fn earliest_unix_ms(request: &PlanRequest) -> u64 {
    request.now_unix_ms.saturating_add(needed_ms(request))
}

/// Returns the shortest time from acceptance to the end of a move, in
/// milliseconds.
///
/// ```
/// use yuccalatch::version::rollout::plan::{needed_ms, PlanRequest};
///
/// assert!(needed_ms(&PlanRequest::example()) > 60_000);
/// ```
pub fn needed_ms(request: &PlanRequest) -> u64 {
    let shifting_ms: u64 = SHARES_PERMILLE
        .iter()
        .map(|share| hold_ms(*share, request))
        .sum();
    loading_ms(request)
        .saturating_add(shifting_ms)
        .saturating_add(request.pace.settle_ms)
        .saturating_add(request.pace.step_overhead_ms)
        .saturating_add(finishing_ms(request))
}

fn backwards(request: &PlanRequest, end_unix_ms: u64) -> Plan {
    let full_by_unix_ms = end_unix_ms - finishing_ms(request);
    let settle_by_unix_ms =
        full_by_unix_ms - request.pace.settle_ms - request.pace.step_overhead_ms;
    let mut start_by_unix_ms = settle_by_unix_ms;
    let mut steps = Vec::new();
    for share_permille in SHARES_PERMILLE.into_iter().rev() {
        start_by_unix_ms -= hold_ms(share_permille, request);
        steps.push(PlannedStep {
            share_permille,
            start_by_unix_ms,
        });
    }
    steps.reverse();
    // Half of the needed time again is spent on waiting for evidence when the
    // requested time allows it.
    let latest = start_by_unix_ms - loading_ms(request);
    let load_at_unix_ms = latest
        .saturating_sub(needed_ms(request) / 2)
        .max(request.now_unix_ms);
    Plan {
        load_at_unix_ms,
        loads: request.loads.clone(),
        steps,
        settle_by_unix_ms,
        pace: request.pace,
        full_by_unix_ms,
        finish_at_unix_ms: request.finish_at_unix_ms,
    }
}

fn loading_ms(request: &PlanRequest) -> u64 {
    let slowest = request
        .loads
        .iter()
        .map(|load| u64::from(load.targets.div_ceil(load.parallel_loads.max(1))) * load.load_ms)
        .max()
        .unwrap_or(0);
    // A slot stays empty between the end of a load and its report.
    slowest
        .saturating_mul(2)
        .saturating_add(request.pace.step_overhead_ms)
}

fn hold_ms(share_permille: u16, request: &PlanRequest) -> u64 {
    let part = f64::from(share_permille) / 1_000.0;
    let slowest_ms = request
        .routes
        .iter()
        .filter(|route| route.requests_per_s > 0.0)
        .map(|route| STEP_ANSWERS as f64 * 1_000.0 / (route.requests_per_s * RATE_MARGIN * part))
        .fold(0.0, f64::max);
    let evidence_ms = slowest_ms.min(LONGEST_STEP_MS as f64) as u64;
    evidence_ms.max(request.pace.shortest_step_ms) + request.pace.step_overhead_ms
}

fn finishing_ms(request: &PlanRequest) -> u64 {
    request
        .longest_request_ms
        .saturating_add(request.pace.step_overhead_ms)
}
