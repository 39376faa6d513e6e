//! Figures of one run.

use hdrhistogram::Histogram;

use super::workload::{
    EXCESSIVE,
    ORGANISATIONS,
    Request,
    Workload, //
};
use crate::{
    clock::US_PER_S,
    process::limits::{
        bucket::TokenBucket,
        message::{
            MICROTOKENS_PER_TOKEN,
            RateAndBurst, //
        },
    },
    replay::report::{
        Bound,
        Measurement, //
    },
};

/// Bucket of the whole organisation that records how far it went below zero.
#[derive(Debug)]
struct Envelope {
    limits: RateAndBurst,
    level_microtokens: i128,
    lowest_microtokens: i128,
    filled_at_us: u64,
}

impl Envelope {
    fn charge(&mut self, tokens: i128, now_us: u64) {
        let elapsed_us = i128::from(now_us - self.filled_at_us);
        self.filled_at_us = now_us;
        let cap = scaled(i128::from(self.limits.burst_tokens));
        let earned = i128::from(self.limits.rate_tokens_per_s) * elapsed_us;
        let filled = (self.level_microtokens + earned).min(cap);
        self.level_microtokens = (filled - scaled(tokens)).min(cap);
        self.lowest_microtokens = self.lowest_microtokens.min(self.level_microtokens);
    }
}

#[derive(Debug, Default)]
struct Count {
    inside: u64,
    refused_inside: u64,
    admitted_tokens: u64,
    allowed_tokens: u64,
}

/// Counts of one run.
#[derive(Debug)]
pub(super) struct Score {
    envelopes: Vec<Envelope>,
    references: Vec<TokenBucket>,
    counts: [Count; ORGANISATIONS],
    is_inside: Vec<bool>,
    waits_us: Histogram<u64>,
    in_force_us: Vec<u64>,
}

impl Score {
    pub(super) fn new(workload: &Workload) -> Self {
        let envelope = |&limits: &RateAndBurst| Envelope {
            limits,
            level_microtokens: scaled(i128::from(limits.burst_tokens)),
            lowest_microtokens: 0,
            filled_at_us: 0,
        };
        let reference = |&limits: &RateAndBurst| {
            let mut bucket = TokenBucket::new(0);
            bucket.resize(limits, 0);
            bucket
        };
        Self {
            envelopes: workload.limits.iter().map(envelope).collect(),
            references: workload.limits.iter().map(reference).collect(),
            counts: Default::default(),
            is_inside: vec![false; workload.requests.len()],
            waits_us: Histogram::new_with_max(US_PER_S * 60, 3).unwrap_or_else(|_| unreachable!()),
            in_force_us: Vec::new(),
        }
    }

    pub(super) fn arrive(&mut self, index: usize, request: &Request, now_us: u64) {
        let cost_tokens = request.cost.total_tokens().get();
        let reference = &mut self.references[request.organisation];
        self.is_inside[index] = reference.try_take(cost_tokens, now_us);
        let count = &mut self.counts[request.organisation];
        count.inside += u64::from(self.is_inside[index]);
    }

    /// Ends a request at the reference bucket, whatever the policy did.
    pub(super) fn reference_end(&mut self, index: usize, request: &Request, now_us: u64) {
        if self.is_inside[index] {
            let unused_tokens = request.cost.total_tokens().get() - request.used_tokens;
            self.references[request.organisation].put_back(unused_tokens, now_us);
        }
    }

    pub(super) fn admit(&mut self, request: &Request, now_us: u64) {
        let cost_tokens = request.cost.total_tokens().get();
        self.envelopes[request.organisation].charge(i128::from(cost_tokens), now_us);
        self.counts[request.organisation].admitted_tokens += request.used_tokens;
        if request.organisation != EXCESSIVE {
            self.waits_us
                .saturating_record(now_us - request.arrives_at_us);
        }
    }

    pub(super) fn refund(&mut self, request: &Request, unused_tokens: u64, now_us: u64) {
        self.envelopes[request.organisation].charge(-i128::from(unused_tokens), now_us);
    }

    pub(super) fn refuse(&mut self, index: usize, request: &Request) {
        let count = &mut self.counts[request.organisation];
        count.refused_inside += u64::from(self.is_inside[index]);
    }

    /// Changes the limits by which refusals are judged; a lowered value does
    /// not yet bind the policy.
    pub(super) fn change(&mut self, organisation: usize, limits: RateAndBurst, now_us: u64) {
        self.references[organisation].resize(limits, now_us);
        let envelope = &mut self.envelopes[organisation];
        envelope.charge(0, now_us);
        let raised = limits.minus(envelope.limits);
        envelope.limits = envelope.limits.plus(raised);
    }

    /// Binds the policy to changed limits.
    pub(super) fn in_force(
        &mut self,
        organisation: usize,
        limits: RateAndBurst,
        changed_at_us: u64,
        now_us: u64,
    ) {
        let envelope = &mut self.envelopes[organisation];
        envelope.charge(0, now_us);
        envelope.limits = limits;
        envelope.charge(0, now_us);
        self.in_force_us.push(now_us - changed_at_us);
    }

    pub(super) fn allow(&mut self, organisation: usize, tokens: u64) {
        self.counts[organisation].allowed_tokens += tokens;
    }

    pub(super) fn measurements(&self, workload: &Workload, policy: &str) -> Vec<Measurement> {
        let has_targets = policy == super::conserved::NAME;
        let bound = |bound: Bound| has_targets.then_some(bound);
        let measurement = |measure: &str, value: f64, bound: Option<Bound>| Measurement {
            scenario: workload.scenario.name().to_owned(),
            policy: policy.to_owned(),
            measure: measure.to_owned(),
            value,
            bound,
        };
        let over = self.envelopes.iter().map(Envelope::over_tokens).sum();
        let target = Bound::AtMost(workload.scenario.refusal_target());
        let excessive = &self.counts[EXCESSIVE];
        let others = &self.counts[EXCESSIVE + 1..];
        let inside: u64 = others.iter().map(|count| count.inside).sum();
        let refused: u64 = others.iter().map(|count| count.refused_inside).sum();
        let worst = others
            .iter()
            .map(|count| ratio(count.refused_inside, count.inside))
            .fold(0.0, f64::max);
        let used = ratio(excessive.admitted_tokens, excessive.allowed_tokens);
        let wait_us = self.waits_us.value_at_quantile(0.99);
        let mut measurements = vec![
            measurement("over_limit_tokens", over, bound(Bound::AtMost(0.0))),
            measurement(
                "refused_inside_ratio",
                ratio(refused, inside),
                bound(target),
            ),
            measurement("worst_organisation_refused_ratio", worst, None),
            measurement("used_by_excessive_ratio", used, None),
            measurement("admission_wait_p99_ms", ratio(wait_us, 1_000), None),
        ];
        for &took_us in &self.in_force_us {
            let took_s = ratio(took_us, US_PER_S);
            measurements.push(measurement(
                "limits_in_force_s",
                took_s,
                bound(Bound::AtMost(5.0)),
            ));
        }
        measurements
    }
}

impl Envelope {
    fn over_tokens(&self) -> f64 {
        -self.lowest_microtokens as f64 / MICROTOKENS_PER_TOKEN as f64
    }
}

const fn scaled(tokens: i128) -> i128 {
    tokens * MICROTOKENS_PER_TOKEN as i128
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
