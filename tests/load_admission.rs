//! Tests of admission at the entry, without a network.

use std::collections::HashMap;

use quickcheck::{
    QuickCheck,
    TestResult, //
};
use yuccalatch::{
    direct::{
        admission::{
            AdmissionControl,
            Decision,
            Demand,
            Offer,
            Refusal,
            RefusalReason,
            Wait,
            id_hash,
            select_offer, //
        },
        capacity::Forecast,
    },
    names::Name,
};

const MS: u64 = 1_000;

/// Route, organisation, rank, goal and deadline of a kind of request.
struct Kind {
    route: Name,
    organisation: Name,
    rank: u8,
    goal_ms: u64,
    deadline_ms: u64,
}

impl Kind {
    fn new(route: &str, organisation: &str, rank: u8, (goal_ms, deadline_ms): (u64, u64)) -> Self {
        Self {
            route: route.into(),
            organisation: organisation.into(),
            rank,
            goal_ms,
            deadline_ms,
        }
    }

    fn short(organisation: &str) -> Self {
        Self::new("short", organisation, 0, (400, 15_000))
    }

    fn long(organisation: &str) -> Self {
        Self::new("long", organisation, 2, (1_200, 5_000))
    }

    fn demand(&self, number: u64, arrived_at_us: u64) -> Demand<'_> {
        Demand {
            route: &self.route,
            organisation: Some(&self.organisation),
            service: SERVICE.get_or_init(|| "engines".into()),
            rank: self.rank,
            arrived_at_us,
            goal_at_us: arrived_at_us + self.goal_ms * MS,
            deadline_at_us: arrived_at_us + self.deadline_ms * MS,
            id_hash: id_hash(&number.to_string(), arrived_at_us),
        }
    }
}

static SERVICE: std::sync::OnceLock<Name> = std::sync::OnceLock::new();

fn full(first_token_ms: f64) -> Offer {
    Offer {
        forecast: Forecast::from_cost_ms(first_token_ms, false),
        load_age_us: Some(200 * MS),
        is_full: true,
    }
}

fn free(first_token_ms: f64) -> Offer {
    Offer {
        forecast: Forecast::from_cost_ms(first_token_ms, true),
        load_age_us: Some(200 * MS),
        is_full: false,
    }
}

/// Counts of sent and refused requests.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    late: u32,
    hopeless: u32,
}

/// One server with a queue: each request occupies it for `work_us`. Admission knows the
/// queue as of the last report, 200 ms ago at most.
struct Overload {
    work_us: u64,
    busy_until_us: u64,
    reported_us: u64,
    control: AdmissionControl,
    waiting: Vec<(usize, u64, u64, Wait)>,
    /// By kind.
    counts: Vec<Count>,
    longest_wait_us: Vec<u64>,
}

const RUN_US: u64 = 20_000 * MS;

impl Overload {
    fn run(kinds: &[(Kind, u64)], work_us: u64) -> Self {
        let mut this = Self {
            work_us,
            busy_until_us: 0,
            reported_us: 0,
            control: AdmissionControl::default(),
            waiting: Vec::new(),
            counts: vec![Count::default(); kinds.len()],
            longest_wait_us: vec![0; kinds.len()],
        };
        for now_us in (0..RUN_US).step_by(MS as usize) {
            if now_us % (200 * MS) == 0 {
                this.reported_us = this.busy_until_us.saturating_sub(now_us);
            }
            let due = |each: &(usize, u64, u64, Wait)| each.3.check_at_us <= now_us;
            for (at, number, arrived_us, wait) in this
                .waiting
                .extract_if(.., |each| due(each))
                .collect::<Vec<_>>()
            {
                this.decide(kinds, (at, number, arrived_us), Some(wait), now_us);
            }
            for (at, (_, every_us)) in kinds.iter().enumerate() {
                if now_us.is_multiple_of(*every_us) {
                    this.decide(kinds, (at, now_us / every_us, now_us), None, now_us);
                }
            }
        }
        this
    }

    fn decide(
        &mut self,
        kinds: &[(Kind, u64)],
        (at, number, arrived_us): (usize, u64, u64),
        wait: Option<Wait>,
        now_us: u64,
    ) {
        let demand = kinds[at].0.demand(number, arrived_us);
        let offer = if self.reported_us == 0 {
            free(0.0)
        } else {
            full(self.reported_us as f64 / MS as f64)
        };
        match self.control.decide(&demand, offer, wait, now_us) {
            Decision::Send => {
                self.counts[at].sent += 1;
                self.busy_until_us = self.busy_until_us.max(now_us) + self.work_us;
            }
            Decision::Wait(wait) => self.waiting.push((at, number, arrived_us, wait)),
            Decision::Refuse(refusal) => match refusal.reason {
                RefusalReason::Late => self.counts[at].late += 1,
                RefusalReason::Hopeless => self.counts[at].hopeless += 1,
            },
        }
        let waited_us = now_us - arrived_us;
        self.longest_wait_us[at] = self.longest_wait_us[at].max(waited_us);
    }
}

/// Guards against refusals of the higher rank, against a lower rank that gets nothing
/// and against idle engines, while twice as much arrives as they can run. Where half of
/// the lower rank is still too much, the queue grows up to the deadline, and what cannot
/// start before it is refused as well.
#[test]
fn overload_of_two_kinds_spares_the_higher_rank() {
    // 100 short and 100 long requests a second, of which 100 can run.
    let kinds = [(Kind::short("a"), 10 * MS), (Kind::long("b"), 10 * MS)];
    let overload = Overload::run(&kinds, 10 * MS);
    let [short, long] = overload.counts[..] else {
        unreachable!()
    };
    assert_eq!((short.late, short.hopeless), (0, 0));
    assert!(long.late > 200 && long.sent >= long.late, "{long:?}");
    assert!(overload.busy_until_us >= RUN_US);
    assert!(overload.longest_wait_us[1] <= 1_200 / 8 * MS);
}

/// Guards against an organisation that sends seven times as much as another one and so
/// has the other one refused.
#[test]
fn an_organisation_with_seven_times_the_rate_does_not_starve_another() {
    let kinds = [
        (Kind::short("a"), 20 * MS),
        (Kind::long("b"), 70 * MS),
        (Kind::long("c"), 10 * MS),
    ];
    let overload = Overload::run(&kinds, 9 * MS);
    let [short, other, heavy] = overload.counts[..] else {
        unreachable!()
    };
    assert_eq!((short.late, short.hopeless), (0, 0));
    assert!(heavy.late > 0 && heavy.sent >= heavy.late, "{heavy:?}");
    assert!(other.late <= other.sent && other.hopeless == 0, "{other:?}");
}

/// Guards against refusals of late requests that nobody of a higher rank gains from.
#[test]
fn late_traffic_of_one_rank_is_sent() {
    let overload = Overload::run(&[(Kind::long("a"), 10 * MS)], 11 * MS);
    let long = overload.counts[0];
    assert_eq!((long.late, long.hopeless), (0, 0));
}

/// Guards against callers that are refused together and return together, and against
/// retry times that callers do not wait for.
#[test]
fn retry_times_differ_and_fit_the_time_left() {
    let mut control = AdmissionControl::default();
    let kind = Kind::long("a");
    let mut times: Vec<u64> = (0..200)
        .map(|number| {
            let demand = kind.demand(number, 0);
            match control.decide(&demand, full(6_000.0), None, 0) {
                Decision::Refuse(Refusal {
                    reason: RefusalReason::Hopeless,
                    retry_after_ms,
                }) => retry_after_ms,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 100, "{times:?}");
    assert!(times.iter().all(|time| (1_000..=5_000 / 3).contains(time)));
}

/// Guards against a refusal while a report shows a free place at another target, and
/// against all entries taking the same one.
#[test]
fn late_requests_spread_over_the_free_places() {
    let offers = [full(2_000.0), free(50.0), full(3_000.0), free(80.0)];
    let kind = Kind::long("a");
    let mut chosen = HashMap::<usize, u32>::new();
    for number in 0..1_000 {
        let demand = kind.demand(number, 0);
        *chosen.entry(select_offer(&offers, &demand, 0)).or_default() += 1;
    }
    assert_eq!(chosen.len(), 2, "{chosen:?}");
    assert!(chosen[&1] > 400 && chosen[&3] > 400, "{chosen:?}");
}

/// A step of a random sequence: kind, forecast in units of 40 ms, what the report says.
type Step = (u8, u8, u8);

/// Guards the promises for any sequence of requests and forecasts: no refusal while a
/// place is known free, nothing sent that is expected to start after its deadline, none
/// called late without a report, no two refusals in a row of a route or organisation for
/// lateness, and no wait above an eighth of the goal.
#[test]
fn promises_hold_for_any_sequence() {
    fn holds(steps: Vec<Step>) -> TestResult {
        let mut control = AdmissionControl::default();
        let mut was_held: HashMap<Name, bool> = HashMap::new();
        for (number, (kind, forecast, report)) in (0_u64..).zip(steps) {
            let organisation = ["x", "y", "z"][usize::from(kind / 3 % 3)];
            let rank = kind % 3;
            let goal_ms = 300 + 500 * u64::from(rank);
            let kind = Kind::new(&format!("r{rank}"), organisation, rank, (goal_ms, 5_000));
            let now_us = number * 7 * MS;
            let demand = kind.demand(number, now_us);
            let forecast_ms = f64::from(forecast) * 40.0;
            let offer = match report % 4 {
                0 => free(forecast_ms),
                1 => Offer {
                    load_age_us: None,
                    ..full(forecast_ms)
                },
                _ => full(forecast_ms),
            };
            let has_free_place = offer.forecast.has_free_place;
            let is_hopeless = forecast_ms > 5_000.0;
            let mut decision = control.decide(&demand, offer, None, now_us);
            let is_held = decision != Decision::Send;
            let mut checks = 0;
            let mut at_us = now_us;
            while let Decision::Wait(wait) = decision {
                checks += 1;
                at_us = wait.check_at_us;
                decision = control.decide(&demand, offer, Some(wait), at_us);
            }
            let is_refused = decision != Decision::Send;
            let names = [&kind.route, &kind.organisation];
            let is_second = names.iter().any(|name| was_held.get(*name) == Some(&true));
            if has_free_place && is_refused
                || is_hopeless && !has_free_place && !is_refused
                || is_refused && !is_hopeless && (is_second || offer.load_age_us.is_none())
                || at_us - now_us > goal_ms * MS / 8
                || checks > 5
            {
                return TestResult::error(format!("{number}: {offer:?} {decision:?} {is_second}"));
            }
            // A request that is sent although it is neither late nor held leaves the
            // turn of its route as it was, which is stricter than this model.
            was_held.extend(names.map(|name| (name.clone(), is_held)));
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<Step>) -> TestResult);
}
