//! Fair queueing against first come, first served, while one organisation sends
//! ten times its rate.

use crate::{
    clock::US_PER_MS,
    process::fair_queue::QueueSettings,
    replay::{
        evaluate::{
            Size, in_parallel,
            placement::percentile,
            router::Router,
            simulation::{
                self,
                Outcome,
                RunSettings, //
            },
            traffic::{
                self,
                Deployment,
                ENGINE,
                ES_NORTE,
                KV_STORE,
                ORGANISATION_SHARES,
                TX_CENTRAL,
                TraceSettings, //
            },
        },
        model::{
            QueueKind,
            Request, //
        },
        report::{
            Bound,
            Measurement, //
        },
    },
    request::placement::PlacementSettings, //
};

/// Requests of all organisations at their normal rates, in full size.
const FULL_REQUESTS: usize = 50_000;
/// Factor on the rate of the sender.
const FLOOD_FACTOR: f64 = 10.0;
/// The first quarter of a run is warm-up.
const WARM_UP_PART: u64 = 4;
/// Target for the p99 time to first token, against the value of the organisation
/// when alone on the fleet and against the one at normal rates. Sharing the
/// caches with the others costs more than the first allows even without a
/// flood, so the second shows what the flood adds.
const MAX_RATIO: f64 = 1.2;
/// Target for refused requests of the other organisations.
const MAX_REFUSED: f64 = 0.001;
/// Senders: the largest organisation and a small one.
const SENDERS: [usize; 2] = [0, 3];

const ORGANISATIONS: usize = ORGANISATION_SHARES.len();

#[derive(Clone, Copy, Debug)]
struct Figures {
    p99_ms: f64,
    refused_share: f64,
}

/// Figures of every organisation without a flood. Treatments with import are
/// compared with runs that import as well.
#[derive(Debug)]
struct Calm {
    alone: Vec<Figures>,
    normal: Vec<Figures>,
    /// At normal rates with the own treatment, which must do no harm then.
    own: Vec<Figures>,
}

/// Compares the queues on both deployments.
pub fn run(seed: u64, size: Size) -> Vec<Measurement> {
    let mut out = Vec::new();
    for deployment in [ES_NORTE, TX_CENTRAL] {
        let recomputing = calm(&deployment, RECOMPUTING, seed, size);
        let importing = calm(&deployment, IMPORTING, seed, size);
        out.extend(calm_measurements(&deployment, RECOMPUTING, &recomputing));
        out.extend(calm_measurements(&deployment, IMPORTING, &importing));
        let pairs = SENDERS.map(|sender| TREATMENTS.map(|treatment| (sender, treatment)));
        let results = in_parallel(&pairs.concat(), |(sender, treatment)| {
            let mut factors = NORMAL_RATES;
            factors[*sender] = FLOOD_FACTOR;
            let flooded = play(&deployment, factors, *treatment, seed, size);
            let calm = if treatment.is_importing {
                &importing
            } else {
                &recomputing
            };
            flood_measurements(&deployment, calm, *sender, *treatment, &flooded)
        });
        out.extend(results.concat());
    }
    out
}

/// First come, first served and the own treatment, both with or both without
/// import.
type CalmTreatments = [Treatment; 2];

fn calm(deployment: &Deployment, [baseline, own]: CalmTreatments, seed: u64, size: Size) -> Calm {
    let mut runs = vec![(NORMAL_RATES, baseline), (NORMAL_RATES, own)];
    for organisation in 0..ORGANISATIONS {
        let mut factors = [0.0; ORGANISATIONS];
        factors[organisation] = 1.0;
        runs.push((factors, baseline));
    }
    let mut results = in_parallel(&runs, |(factors, treatment)| {
        play(deployment, *factors, *treatment, seed, size)
    });
    let alone = results.split_off(2);
    Calm {
        alone: (0..ORGANISATIONS).map(|i| alone[i][i]).collect(),
        own: results.pop().unwrap_or_default(),
        normal: results.pop().unwrap_or_default(),
    }
}

fn calm_measurements(
    deployment: &Deployment,
    [baseline, own]: CalmTreatments,
    calm: &Calm,
) -> Vec<Measurement> {
    let mut out = Vec::new();
    for (treatment, figures) in [(baseline, &calm.normal), (own, &calm.own)] {
        for (organisation, present) in figures.iter().enumerate() {
            let mut push = |measure: &str, value: f64| {
                out.push(Measurement {
                    scenario: format!("{} normal rates", deployment.name),
                    policy: treatment.name.to_owned(),
                    measure: format!("organisation_{organisation}_{measure}"),
                    value,
                    bound: None,
                });
            };
            let p99_ms = present.p99_ms;
            push("first_token_p99_ms", p99_ms);
            push("alone_p99_ms", calm.alone[organisation].p99_ms);
            let ratio = p99_ms / calm.alone[organisation].p99_ms;
            push("p99_to_alone_ratio", ratio);
            let ratio = p99_ms / calm.normal[organisation].p99_ms;
            push("p99_to_normal_ratio", ratio);
        }
    }
    out
}

const NORMAL_RATES: [f64; ORGANISATIONS] = [1.0; ORGANISATIONS];

/// What happens to the requests of the sender.
#[derive(Clone, Copy, Debug)]
struct Treatment {
    name: &'static str,
    queue_kind: QueueKind,
    is_confining: bool,
    is_importing: bool,
}

/// What the programs do with a KV store, which both deployments have. The targets
/// apply to it and to [`OWN_RECOMPUTING`].
const OWN: Treatment = Treatment {
    name: "fair queue, confined, import",
    is_importing: true,
    ..OWN_RECOMPUTING
};

/// The same as [`OWN`] without confinement, to show its part.
const UNCONFINED: Treatment = Treatment {
    name: "fair queue, import",
    is_confining: false,
    ..OWN
};

/// What the programs do without a KV store.
const OWN_RECOMPUTING: Treatment = Treatment {
    name: "fair queue, confined",
    queue_kind: QueueKind::Fair,
    is_confining: true,
    is_importing: false,
};

/// The treatment that knows no organisations.
const BASELINE: Treatment = Treatment {
    name: "first come, first served",
    queue_kind: QueueKind::Arrival,
    is_confining: false,
    is_importing: false,
};

const BASELINE_IMPORTING: Treatment = Treatment {
    name: "first come, first served, import",
    is_importing: true,
    ..BASELINE
};

const RECOMPUTING: CalmTreatments = [BASELINE, OWN_RECOMPUTING];
const IMPORTING: CalmTreatments = [BASELINE_IMPORTING, OWN];

const TREATMENTS: [Treatment; 7] = [
    BASELINE,
    Treatment {
        name: "fair queue",
        queue_kind: QueueKind::Fair,
        ..BASELINE
    },
    Treatment {
        name: "first come, confined",
        is_confining: true,
        ..BASELINE
    },
    OWN_RECOMPUTING,
    BASELINE_IMPORTING,
    UNCONFINED,
    OWN,
];

fn flood_measurements(
    deployment: &Deployment,
    calm: &Calm,
    sender: usize,
    treatment: Treatment,
    flooded: &[Figures],
) -> Vec<Measurement> {
    let is_bounded = [OWN.name, OWN_RECOMPUTING.name].contains(&treatment.name);
    let mut out = Vec::new();
    for (organisation, figures) in flooded.iter().enumerate() {
        if organisation == sender {
            continue;
        }
        let mut push = |measure: &str, value: f64, bound: Option<Bound>| {
            out.push(Measurement {
                scenario: format!("{} organisation {sender} at ten times", deployment.name),
                policy: treatment.name.to_owned(),
                measure: format!("organisation_{organisation}_{measure}"),
                value,
                bound: bound.filter(|_| is_bounded),
            });
        };
        push("first_token_p99_ms", figures.p99_ms, None);
        let ratio = figures.p99_ms / calm.alone[organisation].p99_ms;
        push("p99_to_alone_ratio", ratio, Some(Bound::AtMost(MAX_RATIO)));
        let ratio = figures.p99_ms / calm.normal[organisation].p99_ms;
        push("p99_to_normal_ratio", ratio, Some(Bound::AtMost(MAX_RATIO)));
        push(
            "refused_share",
            figures.refused_share,
            Some(Bound::AtMost(MAX_REFUSED)),
        );
    }
    out
}

fn play(
    deployment: &Deployment,
    rate_factors: [f64; ORGANISATIONS],
    treatment: Treatment,
    seed: u64,
    size: Size,
) -> Vec<Figures> {
    let end_us = deployment.time_for(size.requests(FULL_REQUESTS));
    // The caches are warm when the flood begins; only requests from then on
    // count, in all runs.
    let flood_from_us = end_us / WARM_UP_PART;
    let trace_settings = TraceSettings {
        deployment: *deployment,
        end_us,
        has_shift: false,
        rate_factors,
        flood_from_us,
    };
    let trace = traffic::generate(&trace_settings, seed);
    let settings = RunSettings {
        targets: deployment.targets,
        network_us: deployment.network_us,
        engine: ENGINE,
        queue_kind: treatment.queue_kind,
        queue: QueueSettings::default(),
        kv_store: treatment.is_importing.then_some(KV_STORE),
        crash_at_us: None,
        restart_at_us: None,
        seed,
    };
    let mut router = Router::new(
        PlacementSettings::default(),
        deployment.entries,
        deployment.targets,
        ENGINE.block_us,
        deployment.network_us,
    );
    if !treatment.is_confining {
        router = router.without_confinement();
    }
    let outcomes = simulation::run(&settings, &trace, &mut router);
    (0..ORGANISATIONS)
        .map(|organisation| figures(&trace, &outcomes, organisation, flood_from_us))
        .collect()
}

fn figures(trace: &[Request], outcomes: &[Outcome], organisation: usize, from_us: u64) -> Figures {
    let own: Vec<&Outcome> = trace
        .iter()
        .zip(outcomes)
        .filter(|(request, _)| request.organisation_index == organisation)
        .filter(|(request, _)| request.arrival_us >= from_us)
        .map(|(_, outcome)| outcome)
        .collect();
    let times: Vec<u64> = own.iter().filter_map(|o| o.first_token_us).collect();
    let refused = own.len() - times.len();
    Figures {
        p99_ms: percentile(times, 0.99) as f64 / US_PER_MS as f64,
        refused_share: refused as f64 / own.len().max(1) as f64,
    }
}
