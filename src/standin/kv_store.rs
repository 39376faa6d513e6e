//! Stand-in of a KV cache store.
//!
//! Blocks are named by cache namespace and chained hash. A block becomes visible
//! when all of its data has arrived and matches the digest sent with it, so an
//! engine that dies during an export leaves nothing behind.

use std::{
    cell::RefCell,
    net::TcpListener,
    num::NonZeroUsize,
    rc::Rc,
    time::Duration, //
};

use lru::LruCache;
use ntex::{
    http::StatusCode,
    server::Server,
    util::Bytes,
    web::{
        self,
        App,
        HttpRequest,
        HttpResponse, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use crate::{
    error::Result,
    process::http_server,
    request::prompt::{
        BlockHash,
        Namespace, //
    },
};

/// Header with the BLAKE3 digest of a block's data, in hexadecimal.
pub const DIGEST_HEADER: &str = "x-block-digest";

/// Largest block data; stand-in blocks are far smaller than real ones.
const MAX_BLOCK_BYTES: usize = 1 << 20;

/// Faults that a stand-in store injects, set with `PUT /faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct KvStoreFaults {
    /// Do not answer at all.
    pub hang: bool,
    /// Answer everything with status 500.
    pub fail: bool,
    /// Adds to the time of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Send the data of each block without its last byte.
    pub cut_data: bool,
}

/// Question which leading blocks of a list the store holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    /// Cache namespace of the blocks.
    pub namespace: Namespace,
    /// Blocks in the order of the prompt.
    pub blocks: Vec<BlockHash>,
}

struct Store {
    blocks: RefCell<LruCache<(Namespace, BlockHash), Bytes>>,
    faults: RefCell<KvStoreFaults>,
}

type State = web::types::State<Rc<Store>>;

/// Starts the server inside the running ntex `System`.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the listener cannot be used.
pub fn serve(capacity_blocks: u32, listener: TcpListener) -> Result<Server> {
    let capacity = usize::try_from(capacity_blocks).unwrap_or(usize::MAX);
    let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
    let config = http_server::config("kv-store");
    http_server::start(listener, config, 1, async move || {
        let store = Rc::new(Store {
            blocks: RefCell::new(LruCache::new(capacity)),
            faults: RefCell::default(),
        });
        App::new()
            .state(store)
            .state(web::types::PayloadConfig::new(MAX_BLOCK_BYTES))
            .route("/lookup", web::post().to(lookup))
            .route("/blocks", web::get().to(names))
            .route("/blocks/{namespace}/{block}", web::put().to(put))
            .route("/blocks/{namespace}/{block}", web::get().to(get))
            .route("/faults", web::put().to(faults))
    })
}

impl Store {
    /// Waits as the faults demand, and returns the answer of a failing store.
    async fn inject(&self) -> Option<HttpResponse> {
        let faults = self.faults.borrow().clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        faults
            .fail
            .then(|| HttpResponse::InternalServerError().finish())
    }
}

async fn lookup(store: State, lookup: web::types::Json<Lookup>) -> HttpResponse {
    if let Some(failure) = store.inject().await {
        return failure;
    }
    let mut blocks = store.blocks.borrow_mut();
    let namespace = lookup.namespace;
    let is_held = |block: &&BlockHash| blocks.get(&(namespace, **block)).is_some();
    let leading = lookup.blocks.iter().take_while(is_held).count();
    HttpResponse::Ok().json(&json!({"leading": leading}))
}

/// Names of all blocks, for tests.
async fn names(store: State) -> HttpResponse {
    let blocks = store.blocks.borrow();
    let names = blocks.iter().map(|((namespace, block), _)| {
        json!({
            "namespace": namespace,
            "block": block,
        })
    });
    HttpResponse::Ok().json(&names.collect::<Vec<_>>())
}

async fn put(
    store: State,
    name: web::types::Path<(Namespace, BlockHash)>,
    request: HttpRequest,
    data: Bytes,
) -> HttpResponse {
    if let Some(failure) = store.inject().await {
        return failure;
    }
    let digest = request.headers().get(DIGEST_HEADER);
    let digest = digest.and_then(|value| value.to_str().ok());
    if digest != Some(digest_of(&data).as_str()) {
        return HttpResponse::BadRequest().json(&json!({"error": "digest does not match"}));
    }
    store.blocks.borrow_mut().put(*name, data);
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

async fn get(store: State, name: web::types::Path<(Namespace, BlockHash)>) -> HttpResponse {
    if let Some(failure) = store.inject().await {
        return failure;
    }
    let data = store.blocks.borrow_mut().get(&*name).cloned();
    let Some(mut data) = data else {
        return HttpResponse::NotFound().finish();
    };
    let digest = digest_of(&data);
    if store.faults.borrow().cut_data {
        data = data.slice(..data.len().saturating_sub(1));
    }
    HttpResponse::Ok()
        .set_header(DIGEST_HEADER, digest)
        .body(data)
}

async fn faults(store: State, faults: web::types::Json<KvStoreFaults>) -> HttpResponse {
    *store.faults.borrow_mut() = faults.into_inner();
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

/// Returns the digest of a block's data as it stands in [`DIGEST_HEADER`].
///
/// ```
/// use yuccalatch::standin::kv_store::digest_of;
///
/// assert_ne!(digest_of(b"a"), digest_of(b"b"));
/// ```
pub fn digest_of(data: &[u8]) -> String {
    blake3::hash(data).to_hex().to_string()
}
