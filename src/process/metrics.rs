//! Metrics of a process, with histograms for each organisation.

use std::{
    collections::HashSet,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::{
        Registry,
        Unit, //
    },
};

use crate::{
    error::ErrorKind,
    names::Name, //
};

/// Organisations with label values of their own; all others share one value.
/// At 5 histograms of 16 buckets this keeps a scrape below 2 MB.
pub const MAX_ORGANISATION_LABELS: usize = 200;

/// Label value of organisations beyond [`MAX_ORGANISATION_LABELS`].
pub const OTHER_ORGANISATIONS: &str = "other";

/// Upper bounds of the buckets of all latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 15] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Upper bounds of the buckets of forecast errors, in seconds; an answer that came later
/// than expected has a negative error.
const ERROR_BUCKETS_S: [f64; 15] = [
    -2.0, -1.0, -0.5, -0.2, -0.1, -0.05, -0.02, 0.0, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
];

/// Labels of the metrics that are kept for each organisation.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OrganisationLabels {
    /// Organisation, or [`OTHER_ORGANISATIONS`].
    pub organisation: String,
}

/// Labels of the counter of answers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AnswerLabels {
    /// Organisation, or [`OTHER_ORGANISATIONS`].
    pub organisation: String,
    /// Name of the error kind, or `ok`.
    pub kind: String,
}

/// Labels of the counter of refusals by admission.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ReasonLabels {
    /// Why the requests were refused.
    pub reason: &'static str,
}

/// Labels of the counter of requests that waited at the entry.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WaitLabels {
    /// What the wait ended with, `sent` or `refused`.
    pub outcome: &'static str,
}

/// Labels of the counter of urgencies that engines were told.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct UrgencyLabels {
    /// Urgency from 0 (runs first) to 9.
    pub urgency: u32,
}

type HistogramFamily = Family<OrganisationLabels, Histogram, fn() -> Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

fn histogram_family() -> HistogramFamily {
    Family::new_with_constructor(latency_histogram as fn() -> Histogram)
}

/// All metrics of an entry or agent.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Organisations with a label value of their own.
    labelled_organisations: Mutex<HashSet<Name>>,
    answers: Family<AnswerLabels, Counter>,
    first_token: HistogramFamily,
    between_tokens: HistogramFamily,
    queue_wait: HistogramFamily,
    total: HistogramFamily,
    /// Predicted less measured seconds to the first token of an engine or the answer of
    /// another target.
    pub forecast_error: Histogram,
    /// Tokens admitted, by organisation.
    pub admitted_tokens: Family<OrganisationLabels, Counter>,
    /// Prompt blocks found in a cache.
    pub matched_blocks: Counter,
    /// Prompt blocks sent to targets.
    pub prompt_blocks: Counter,
    /// Prompt blocks imported from the KV store.
    pub imported_blocks: Counter,
    /// Imports that failed or did not end in time.
    pub failed_imports: Counter,
    /// Blocks exported to the KV store.
    pub exported_blocks: Counter,
    /// Exports that failed.
    pub failed_exports: Counter,
    /// Attempts beyond the first one of a request.
    pub retries: Counter,
    /// Streams resumed on a new connection.
    pub resumed_streams: Counter,
    /// Placements of organisations far above their rate.
    pub confined_placements: Counter,
    /// Orders to the engine: those that an agent received from the holder of a
    /// move, or on the direct path those that it sent.
    pub orders: Counter,
    /// Configuration revision in use.
    pub revision: Gauge,
    /// Latest configuration revision that this process knows to exist.
    pub latest_revision: Gauge,
    /// Exchanges with other entries that failed.
    pub failed_exchanges: Counter,
    /// Bytes of the messages that other entries have answered with.
    pub exchange_bytes: Counter,
    /// Requests that are running.
    pub running: Gauge,
    /// Parts of prompts that the engine has cached.
    pub cached_parts: Gauge,
    /// Parts of prompts that are quarantined because engines crashed on them.
    pub quarantined_parts: Gauge,
    /// Targets that are cold.
    pub cold_targets: Gauge,
    /// Requests that were refused because only cold targets were left.
    pub cold_refusals: Counter,
    /// Data centres whose targets get no new requests.
    pub evacuated_data_centres: Gauge,
    /// Memory that request bodies and buffered answers are charged.
    pub caller_memory_bytes: Gauge,
    /// Connections of callers closed because too many were open.
    pub closed_connections: Counter,
    /// Connections closed because their callers did not read an answer.
    pub unread_answers: Counter,
    /// Request bodies that were dropped for others because they stopped arriving.
    pub evicted_bodies: Counter,
    /// Times that the engine beside an agent stopped answering.
    pub engine_losses: Counter,
    /// Requests that admission refused, by reason.
    pub admission_refusals: Family<ReasonLabels, Counter>,
    /// Requests that waited at the entry for capacity, by outcome.
    pub admission_waits: Family<WaitLabels, Counter>,
    /// Attempts by the urgency that the engine was told.
    pub urgencies: Family<UrgencyLabels, Counter>,
}

/// Histograms of one organisation, looked up once for each request.
#[derive(Clone, Debug)]
pub struct OrganisationMetrics {
    /// Seconds from the request to the first token.
    pub first_token: Histogram,
    /// Seconds between tokens.
    pub between_tokens: Histogram,
    /// Seconds in the queue of the target.
    pub queue_wait: Histogram,
    /// Seconds from the request to the end of the answer.
    pub total: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// ```
    /// let metrics = yuccalatch::process::metrics::Metrics::new();
    /// metrics.count_answer("acme", None);
    /// assert!(metrics.render().contains("yuccalatch_answers_total"));
    /// ```
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("yuccalatch");
        let metrics = Self {
            labelled_organisations: Mutex::default(),
            answers: Family::default(),
            first_token: histogram_family(),
            between_tokens: histogram_family(),
            queue_wait: histogram_family(),
            total: histogram_family(),
            forecast_error: Histogram::new(ERROR_BUCKETS_S),
            admitted_tokens: Family::default(),
            matched_blocks: Counter::default(),
            prompt_blocks: Counter::default(),
            imported_blocks: Counter::default(),
            failed_imports: Counter::default(),
            exported_blocks: Counter::default(),
            failed_exports: Counter::default(),
            retries: Counter::default(),
            resumed_streams: Counter::default(),
            confined_placements: Counter::default(),
            orders: Counter::default(),
            revision: Gauge::default(),
            latest_revision: Gauge::default(),
            failed_exchanges: Counter::default(),
            exchange_bytes: Counter::default(),
            running: Gauge::default(),
            cached_parts: Gauge::default(),
            quarantined_parts: Gauge::default(),
            cold_targets: Gauge::default(),
            cold_refusals: Counter::default(),
            evacuated_data_centres: Gauge::default(),
            caller_memory_bytes: Gauge::default(),
            closed_connections: Counter::default(),
            unread_answers: Counter::default(),
            evicted_bodies: Counter::default(),
            engine_losses: Counter::default(),
            admission_refusals: Family::default(),
            admission_waits: Family::default(),
            urgencies: Family::default(),
            registry: Registry::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers by kind", self.answers.clone());
        let latencies = [
            ("first_token", "Time to the first token", &self.first_token),
            (
                "between_tokens",
                "Time between tokens",
                &self.between_tokens,
            ),
            (
                "queue_wait",
                "Time in the queue of the target",
                &self.queue_wait,
            ),
            ("total", "Time to the end of the answer", &self.total),
        ];
        for (name, help, family) in latencies {
            registry.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
        registry.register_with_unit(
            "forecast_error",
            "Predicted less measured time to the first token or plain answer",
            Unit::Seconds,
            self.forecast_error.clone(),
        );
        let admitted = self.admitted_tokens.clone();
        registry.register("admitted_tokens", "Tokens admitted", admitted);
        let counters = [
            (
                "matched_blocks",
                "Prompt blocks found in a cache",
                &self.matched_blocks,
            ),
            (
                "prompt_blocks",
                "Prompt blocks sent to targets",
                &self.prompt_blocks,
            ),
            (
                "imported_blocks",
                "Prompt blocks imported from the KV store",
                &self.imported_blocks,
            ),
            (
                "failed_imports",
                "Imports that failed or did not end in time",
                &self.failed_imports,
            ),
            (
                "exported_blocks",
                "Blocks exported to the KV store",
                &self.exported_blocks,
            ),
            (
                "failed_exports",
                "Exports that failed",
                &self.failed_exports,
            ),
            ("retries", "Attempts beyond the first one", &self.retries),
            (
                "resumed_streams",
                "Streams resumed on a new connection",
                &self.resumed_streams,
            ),
            (
                "confined",
                "Placements of organisations far above their rate",
                &self.confined_placements,
            ),
            (
                "cold_refusals",
                "Requests refused because only cold targets were left",
                &self.cold_refusals,
            ),
            ("orders", "Orders to the engine", &self.orders),
            (
                "closed_connections",
                "Connections closed because too many were open",
                &self.closed_connections,
            ),
            (
                "unread_answers",
                "Connections closed because an answer was not read",
                &self.unread_answers,
            ),
            (
                "evicted_bodies",
                "Stalled request bodies dropped for others",
                &self.evicted_bodies,
            ),
            (
                "engine_losses",
                "Times that the engine stopped answering",
                &self.engine_losses,
            ),
            (
                "failed_exchanges",
                "Exchanges with other entries that failed",
                &self.failed_exchanges,
            ),
            (
                "exchange_bytes",
                "Bytes of the answers of other entries",
                &self.exchange_bytes,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "admission_refusals",
            "Requests that admission refused",
            self.admission_refusals.clone(),
        );
        registry.register(
            "admission_waits",
            "Requests that waited at the entry for capacity",
            self.admission_waits.clone(),
        );
        registry.register(
            "urgency_sent",
            "Attempts by the urgency that the engine was told",
            self.urgencies.clone(),
        );
        registry.register(
            "revision",
            "Configuration revision in use",
            self.revision.clone(),
        );
        registry.register(
            "latest_revision",
            "Latest configuration revision that is known to exist",
            self.latest_revision.clone(),
        );
        registry.register("running", "Requests that are running", self.running.clone());
        let caller_memory = self.caller_memory_bytes.clone();
        registry.register_with_unit(
            "caller_memory",
            "Memory of request bodies and buffered answers",
            Unit::Bytes,
            caller_memory,
        );
        let quarantined_parts = self.quarantined_parts.clone();
        registry.register(
            "quarantined_parts",
            "Prompt parts that are quarantined because engines crashed on them",
            quarantined_parts,
        );
        registry.register(
            "evacuated_data_centres",
            "Data centres whose targets get no new requests",
            self.evacuated_data_centres.clone(),
        );
        registry.register(
            "cold_targets",
            "Targets that are cold",
            self.cold_targets.clone(),
        );
        let cached_parts = self.cached_parts.clone();
        registry.register(
            "cached_parts",
            "Parts that the engine has cached",
            cached_parts,
        );
    }

    /// Returns the label value of an organisation, which is [`OTHER_ORGANISATIONS`]
    /// once [`MAX_ORGANISATION_LABELS`] others have one.
    ///
    /// ```
    /// let metrics = yuccalatch::process::metrics::Metrics::new();
    /// assert_eq!(metrics.organisation_label("acme"), "acme");
    /// ```
    pub fn organisation_label(&self, organisation: &str) -> String {
        let mut labelled = self
            .labelled_organisations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if labelled.contains(organisation) {
            return organisation.to_owned();
        }
        if labelled.len() >= MAX_ORGANISATION_LABELS {
            return OTHER_ORGANISATIONS.to_owned();
        }
        labelled.insert(organisation.into());
        organisation.to_owned()
    }

    /// Counts an answer; `None` stands for success.
    ///
    /// ```
    /// use yuccalatch::{error::ErrorKind, process::metrics::Metrics};
    ///
    /// let metrics = Metrics::new();
    /// metrics.count_answer("acme", Some(ErrorKind::RateLimited));
    /// assert!(metrics.render().contains("rate_limited"));
    /// ```
    pub fn count_answer(&self, organisation: &str, kind: Option<ErrorKind>) {
        let labels = AnswerLabels {
            organisation: self.organisation_label(organisation),
            kind: kind.map_or("ok", ErrorKind::name).to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Returns the histograms of an organisation.
    ///
    /// ```
    /// let metrics = yuccalatch::process::metrics::Metrics::new();
    /// metrics.organisation("acme").first_token.observe(0.25);
    /// assert!(metrics.render().contains("first_token_seconds_count{organisation=\"acme\"} 1"));
    /// ```
    pub fn organisation(&self, organisation: &str) -> OrganisationMetrics {
        let labels = OrganisationLabels {
            organisation: self.organisation_label(organisation),
        };
        OrganisationMetrics {
            first_token: self.first_token.get_or_create(&labels).clone(),
            between_tokens: self.between_tokens.get_or_create(&labels).clone(),
            queue_wait: self.queue_wait.get_or_create(&labels).clone(),
            total: self.total.get_or_create(&labels).clone(),
        }
    }

    /// Formats all metrics as OpenMetrics text.
    ///
    /// ```
    /// let metrics = yuccalatch::process::metrics::Metrics::new();
    /// assert!(metrics.render().ends_with("# EOF\n"));
    /// ```
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
