//! Generated traces in the shape of the two deployments.

use std::{
    num::NonZeroUsize,
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::US_PER_S,
    names::Name,
    replay::model::{
        BLOCK_TOKENS,
        EngineSettings,
        KvStoreSettings,
        Request, //
    },
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// One of the two deployments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the tables.
    pub name: &'static str,
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub targets: usize,
    /// Round trip between entry and target.
    pub network_us: u64,
    /// Mean rate of requests over all organisations.
    pub requests_per_s: f64,
    /// Templates of an organisation, the second level of the prefixes.
    pub templates: usize,
    /// Documents of a template, the third level.
    pub documents: usize,
}

impl Deployment {
    /// Returns the time in which the number of requests arrives on average.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::traffic::ES_NORTE;
    ///
    /// assert!(ES_NORTE.time_for(2) > ES_NORTE.time_for(1));
    /// ```
    pub fn time_for(&self, requests: usize) -> u64 {
        (requests as f64 / self.requests_per_s * US_PER_S as f64) as u64
    }
}

/// Three data centres about 1 ms apart, 12 engines.
pub const ES_NORTE: Deployment = Deployment {
    name: "es-norte",
    entries: 3,
    targets: 12,
    network_us: 1_000,
    requests_per_s: 24.0,
    templates: 20,
    documents: 24,
};

/// Four data centres about 1.5 ms apart, 18 engines.
pub const TX_CENTRAL: Deployment = Deployment {
    name: "tx-central",
    entries: 4,
    targets: 18,
    network_us: 1_500,
    requests_per_s: 36.0,
    templates: 30,
    documents: 20,
};

/// Shares of the organisations: a few large ones.
pub const ORGANISATION_SHARES: [f64; 5] = [0.38, 0.27, 0.18, 0.11, 0.06];

/// Engine of both deployments: about 33,000 prompt tokens/s, and a cache that
/// turns over within some ten seconds.
pub const ENGINE: EngineSettings = EngineSettings {
    cache_blocks: NonZeroUsize::new(400).unwrap(),
    slots: 32,
    block_us: 30_000,
    token_us: 15_000,
    batch_slowdown: 0.5,
    event_lag_us: 200_000,
    event_loss: 0.01,
};

/// KV cache store of both deployments. Assumptions: a block of 1,000 tokens takes
/// a tenth of the time to compute it on the link of an engine, the store serves
/// four engines at full rate at a time, and holds 20 times the cache of an
/// engine.
pub const KV_STORE: KvStoreSettings = KvStoreSettings {
    capacity_blocks: NonZeroUsize::new(20 * 400).unwrap(),
    link_block_us: 3_000,
    store_block_us: 750,
    setup_us: 2_000,
};

/// Skew of templates and documents; the most popular ones are very hot.
const ZIPF_EXPONENT: f64 = 1.1;

/// Mean length of a generated prompt.
const MEAN_PROMPT_TOKENS: f64 = 18_000.0;

/// What to generate.
#[derive(Clone, Copy, Debug)]
pub struct TraceSettings {
    /// Shape of the fleet and its traffic.
    pub deployment: Deployment,
    /// When the last request arrives.
    pub end_us: u64,
    /// Whether the popularity of all prefixes changes halfway.
    pub has_shift: bool,
    /// Factor on the rate of each organisation.
    pub rate_factors: [f64; 5],
    /// When the factors above one begin to apply.
    pub flood_from_us: u64,
}

/// Generates a trace, in order of arrival.
///
/// ```
/// use yuccalatch::replay::evaluate::traffic::{generate, ES_NORTE, TraceSettings};
///
/// let settings = TraceSettings {
///     deployment: ES_NORTE,
///     end_us: ES_NORTE.time_for(50),
///     has_shift: false,
///     rate_factors: [1.0; 5],
///     flood_from_us: 0,
/// };
/// let trace = generate(&settings, 1);
/// assert!((30..70).contains(&trace.len()));
/// assert_eq!(trace[7].blocks, generate(&settings, 1)[7].blocks);
/// ```
pub fn generate(settings: &TraceSettings, seed: u64) -> Vec<Request> {
    let per_organisation = (0..ORGANISATION_SHARES.len())
        .flat_map(|organisation| Source::new(settings, organisation, seed).requests());
    let mut trace: Vec<Request> = per_organisation.collect();
    trace.sort_by_key(|request| (request.arrival_us, request.organisation_index));
    trace
}

/// Requests of one organisation. Every organisation draws from its own random
/// numbers, so its requests stay the same when the others change their rate.
struct Source<'a> {
    settings: &'a TraceSettings,
    organisation: usize,
    name: Name,
    namespace: Namespace,
    rng: ChaCha8Rng,
    template_ranks: Zipf,
    document_ranks: Zipf,
}

impl<'a> Source<'a> {
    fn new(settings: &'a TraceSettings, organisation: usize, seed: u64) -> Self {
        let name: Name = format!("organisation-{organisation}").into();
        let stream = u64::try_from(organisation).unwrap_or(0);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self {
            settings,
            organisation,
            namespace: Namespace::derive(&name, "draft-7"),
            name,
            rng,
            template_ranks: Zipf::new(settings.deployment.templates),
            document_ranks: Zipf::new(settings.deployment.documents),
        }
    }

    fn requests(mut self) -> Vec<Request> {
        let end_us = self.settings.end_us;
        let factor = self.settings.rate_factors[self.organisation];
        let rate = self.settings.deployment.requests_per_s * ORGANISATION_SHARES[self.organisation];
        let shift_at_us = if self.settings.has_shift {
            end_us / 2
        } else {
            u64::MAX
        };
        let mut requests = Vec::new();
        if factor <= 0.0 {
            return requests;
        }
        let mut at_us = 0;
        loop {
            let is_flood = at_us >= self.settings.flood_from_us;
            let present = if is_flood { factor } else { factor.min(1.0) };
            let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / (rate * present);
            at_us += (gap_s * US_PER_S as f64) as u64;
            if at_us >= end_us {
                break;
            }
            requests.push(self.request(at_us, at_us >= shift_at_us));
        }
        requests
    }

    /// The contracted rate: what the organisation sends on average, without its
    /// factor.
    fn rate_tokens_per_s(&self) -> u64 {
        let requests_per_s =
            self.settings.deployment.requests_per_s * ORGANISATION_SHARES[self.organisation];
        (requests_per_s * MEAN_PROMPT_TOKENS) as u64
    }

    fn request(&mut self, arrival_us: u64, is_shifted: bool) -> Request {
        let templates = self.settings.deployment.templates;
        let documents = self.settings.deployment.documents;
        let mut template = self.template_ranks.draw(&mut self.rng);
        let mut document = self.document_ranks.draw(&mut self.rng);
        if is_shifted {
            // The least popular prefixes become the hottest.
            template = templates - 1 - template;
            document = documents - 1 - document;
        }
        let mut chain = Chain::new(self.namespace);
        chain.extend(0, length(0, 2, 3));
        let template_key = 1 + template as u64;
        chain.extend(template_key, length(template_key, 3, 8));
        let document_key = template_key << 32 | document as u64;
        chain.extend(document_key, length(document_key, 4, 14));
        let unique_tokens = self.rng.random_range(100..1_800);
        chain.extend(self.rng.random(), unique_tokens / BLOCK_TOKENS);
        Request {
            arrival_us,
            entry: self.rng.random_range(0..self.settings.deployment.entries),
            organisation: self.name.clone(),
            organisation_index: self.organisation,
            namespace: self.namespace,
            blocks: chain.blocks.into(),
            tail_tokens: unique_tokens % BLOCK_TOKENS,
            output_tokens: self.rng.random_range(40..200),
            rate_tokens_per_s: self.rate_tokens_per_s(),
        }
    }
}

/// Blocks of one level, fixed for each key.
fn length(key: u64, low: u32, high: u32) -> u32 {
    let mixed = xxhash_rust::xxh3::xxh3_64(&key.to_be_bytes());
    low + (mixed % u64::from(high - low + 1)) as u32
}

struct Chain {
    state: u64,
    blocks: Vec<BlockHash>,
}

impl Chain {
    fn new(namespace: Namespace) -> Self {
        Self {
            state: namespace.0 as u64,
            blocks: Vec::new(),
        }
    }

    fn extend(&mut self, key: u64, blocks: u32) {
        for position in 0..u64::from(blocks) {
            let content = (key ^ position << 56).to_be_bytes();
            self.state = xxhash_rust::xxh3::xxh3_64_with_seed(&content, self.state);
            self.blocks.push(BlockHash(self.state));
        }
    }
}

struct Zipf {
    cumulated: Arc<[f64]>,
}

impl Zipf {
    fn new(items: usize) -> Self {
        let mut sum = 0.0;
        let cumulated = (1..=items).map(|rank| {
            sum += (rank as f64).powf(-ZIPF_EXPONENT);
            sum
        });
        Self {
            cumulated: cumulated.collect(),
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulated.last().copied().unwrap_or(0.0);
        let point = rng.random::<f64>() * total;
        self.cumulated.partition_point(|&sum| sum <= point)
    }
}
