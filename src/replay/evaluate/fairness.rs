//! Fair queueing against first come, first served, while one organisation sends
//! ten times its rate.

use crate::{
    clock::US_PER_MS,
    process::fair_queue::Settings as QueueSettings,
    replay::{
        evaluate::{
            Size,
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
    request::placement::Settings,
};

/// Requests of all organisations at their normal rates, in full size.
const FULL_REQUESTS: usize = 20_000;
/// Factor on the rate of the sender.
const FLOOD_FACTOR: f64 = 10.0;
/// Target for the p99 time to first token against the value when alone.
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

/// Compares the queues on both deployments.
pub fn run(seed: u64, size: Size) -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for deployment in [ES_NORTE, TX_CENTRAL] {
        for sender in SENDERS {
            measurements.extend(compare(&deployment, sender, seed, size));
        }
    }
    measurements
}

fn compare(deployment: &Deployment, sender: usize, seed: u64, size: Size) -> Vec<Measurement> {
    let scenario = format!("{} organisation {sender} at ten times", deployment.name);
    let others: Vec<usize> = (0..ORGANISATIONS).filter(|&o| o != sender).collect();
    let alone: Vec<Figures> = others
        .iter()
        .map(|&organisation| {
            let mut factors = [0.0; ORGANISATIONS];
            factors[organisation] = 1.0;
            play(deployment, factors, QueueKind::Fair, seed, size)[organisation]
        })
        .collect();
    let normal = play(
        deployment,
        [1.0; ORGANISATIONS],
        QueueKind::Fair,
        seed,
        size,
    );
    let mut factors = [1.0; ORGANISATIONS];
    factors[sender] = FLOOD_FACTOR;
    let mut out = Vec::new();
    for (policy, kind) in [
        ("first come, first served", QueueKind::Arrival),
        ("fair queue", QueueKind::Fair),
    ] {
        let flooded = play(deployment, factors, kind, seed, size);
        for (&organisation, alone) in others.iter().zip(&alone) {
            let figures = flooded[organisation];
            let mut push = |measure: &str, value: f64, bound: Option<Bound>| {
                out.push(Measurement {
                    scenario: scenario.clone(),
                    policy: policy.to_owned(),
                    measure: format!("organisation_{organisation}_{measure}"),
                    value,
                    bound: bound.filter(|_| kind == QueueKind::Fair),
                });
            };
            push("first_token_p99_ms", figures.p99_ms, None);
            let ratio = figures.p99_ms / alone.p99_ms;
            push("p99_to_alone_ratio", ratio, Some(Bound::AtMost(MAX_RATIO)));
            let ratio = figures.p99_ms / normal[organisation].p99_ms;
            push("p99_to_normal_ratio", ratio, None);
            let refused = figures.refused_share;
            push("refused_share", refused, Some(Bound::AtMost(MAX_REFUSED)));
        }
    }
    out
}

fn play(
    deployment: &Deployment,
    rate_factors: [f64; ORGANISATIONS],
    queue_kind: QueueKind,
    seed: u64,
    size: Size,
) -> Vec<Figures> {
    let trace_settings = TraceSettings {
        deployment: *deployment,
        end_us: deployment.time_for(size.requests(FULL_REQUESTS)),
        has_shift: false,
        rate_factors,
    };
    let trace = traffic::generate(&trace_settings, seed);
    let settings = RunSettings {
        targets: deployment.targets,
        network_us: deployment.network_us,
        engine: ENGINE,
        queue_kind,
        queue: QueueSettings::default(),
        crash_at_us: None,
        restart_at_us: None,
        seed,
    };
    let mut router = Router::new(
        Settings::default(),
        deployment.entries,
        deployment.targets,
        ENGINE.block_us,
        deployment.network_us,
    );
    let outcomes = simulation::run(&settings, &trace, &mut router);
    (0..ORGANISATIONS)
        .map(|organisation| figures(&trace, &outcomes, organisation))
        .collect()
}

fn figures(trace: &[Request], outcomes: &[Outcome], organisation: usize) -> Figures {
    let own: Vec<&Outcome> = trace
        .iter()
        .zip(outcomes)
        .filter(|(request, _)| request.organisation_index == organisation)
        .map(|(_, outcome)| outcome)
        .collect();
    let times: Vec<u64> = own.iter().filter_map(|o| o.first_token_us).collect();
    let refused = own.len() - times.len();
    Figures {
        p99_ms: percentile(times, 0.99) as f64 / US_PER_MS as f64,
        refused_share: refused as f64 / own.len().max(1) as f64,
    }
}
