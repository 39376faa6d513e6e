//! Client of the object API.
//!
//! The client works inside an ntex `System` only: its connector takes the
//! reactor from the running system. On a bare tokio runtime the connector
//! panics in its own task, and every call fails as unavailable. A control
//! thread therefore runs as a system with the tokio runtime.

pub mod configuration;

mod error;
mod wire;

pub use error::PlatformError;
pub use wire::{
    Change,
    Changes,
    InstanceRecord,
    InstanceRole,
    ListedObject,
    Listing,
    ObjectVersion,
    Stored, //
};

use std::{
    future::Future,
    net::SocketAddr, //
};

use bytes::Bytes;
use ntex::{
    client::{
        Client,
        ClientRequest,
        ClientResponse,
        Connector, //
    },
    http::Method,
    io::IoConfig,
    time::Millis, //
};
use serde::de::DeserializeOwned;
use tokio::time::timeout_at;

use crate::{
    clock::Clock,
    names::Name, //
};

/// Largest value that the object API stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Largest answer that is read: a listing holds up to 4 MB of values in base64.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Connections to the object API at once.
const MAX_CONNECTIONS: usize = 8;

/// Result of a call to the object API.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// What has to hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Returns whether a text can be the key of an object.
///
/// ```
/// use yuccalatch::process::platform::is_key;
///
/// assert!(is_key("config/head"));
/// assert!(!is_key("config/../head"));
/// ```
pub fn is_key(text: &str) -> bool {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    text.len() <= MAX_KEY_BYTES
        && text
            .split('/')
            .all(|segment| !matches!(segment, "" | "." | "..") && segment.chars().all(is_valid))
}

/// Client of the object API.
///
/// Every call has a deadline on the clock given at the start. A write whose
/// answer does not arrive fails with [`PlatformError::AnswerLost`]; a write that
/// certainly did not take effect fails with another error.
///
/// ```
/// use yuccalatch::{
///     clock::{Clock, US_PER_S},
///     process::platform::{Condition, Platform},
///     standin::platform::start,
/// };
///
/// let standin = start("127.0.0.1:0".parse().unwrap()).unwrap();
/// let address = standin.address();
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async move {
///     let clock = Clock::start();
///     let platform = Platform::new(address, clock).await.unwrap();
///     let deadline_us = clock.now_us() + 5 * US_PER_S;
///     platform.put("a", "1".into(), Condition::Absent, deadline_us).await.unwrap();
///     let stored = platform.get("a", deadline_us).await.unwrap().unwrap();
///     assert_eq!(stored.value, "1");
/// });
/// ```
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    address: SocketAddr,
    clock: Clock,
}

impl Platform {
    /// Makes a client; connections are opened on demand.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] when the client cannot be built.
    pub async fn new(address: SocketAddr, clock: Clock) -> PlatformResult<Self> {
        let config = ntex::SharedCfg::new("platform")
            .add(IoConfig::new().set_connect_timeout(Millis(2_000)));
        let client = Client::builder()
            .connector::<&str>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(config)
            .await
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        Ok(Self {
            client,
            address,
            clock,
        })
    }

    /// Returns the clock of the deadlines.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`]; `AnswerLost` does not occur.
    pub async fn get(&self, key: &str, deadline_us: u64) -> PlatformResult<Option<Stored>> {
        let request = self.request(Method::GET, &object_path(key)?);
        let call = async {
            let response = send(request, None).await?;
            if response.status().as_u16() == 404 {
                return Ok(None);
            }
            let response = expect_success(response)?;
            let version = version_of(&response)?;
            let value = body_of(&response).await?;
            Ok(Some(Stored { version, value }))
        };
        self.read(call, deadline_us).await
    }

    /// Writes an object if a condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`].
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
        deadline_us: u64,
    ) -> PlatformResult<ObjectVersion> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let request = self.request(Method::PUT, &object_path(key)?);
        let request = conditional(request, condition);
        let call = async {
            let response = expect_success(send(request, Some(value)).await?)?;
            version_of(&response)
        };
        self.write(call, deadline_us).await
    }

    /// Removes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`].
    pub async fn delete(
        &self,
        key: &str,
        version: ObjectVersion,
        deadline_us: u64,
    ) -> PlatformResult<()> {
        let request = self.request(Method::DELETE, &object_path(key)?);
        let request = conditional(request, Condition::Version(version));
        let call = async {
            expect_success(send(request, None).await?)?;
            Ok(())
        };
        self.write(call, deadline_us).await
    }

    /// Lists objects by prefix in the order of their keys, after a given key.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`]; `AnswerLost` does not occur.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        deadline_us: u64,
    ) -> PlatformResult<Listing> {
        let path = format!("/objects?prefix={}&after={}", query(prefix)?, query(after)?);
        self.read(self.fetch(&path), deadline_us).await
    }

    /// Lists all objects by prefix after a given key, over as many calls as it
    /// takes. `deadline_us` returns the deadline of the next call.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`]; `AnswerLost` does not occur.
    pub async fn list_all(
        &self,
        prefix: &str,
        after: &str,
        deadline_us: impl Fn() -> u64,
    ) -> PlatformResult<Vec<ListedObject>> {
        let mut objects: Vec<ListedObject> = Vec::new();
        loop {
            let last = objects.last().map_or(after, |last| &*last.key);
            let listing = self.list(prefix, last, deadline_us()).await?;
            let is_over = !listing.more || listing.objects.is_empty();
            objects.extend(listing.objects);
            if is_over {
                return Ok(objects);
            }
        }
    }

    /// Waits until an object with a prefix changes after a revision.
    ///
    /// The answer is empty when nothing changes within `wait_ms`. A pending
    /// watch counts as one call.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`]; `AnswerLost` does not occur.
    pub async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait_ms: u64,
        deadline_us: u64,
    ) -> PlatformResult<Changes> {
        let prefix = query(prefix)?;
        let path = format!("/watch?prefix={prefix}&after={after_revision}&wait_ms={wait_ms}");
        self.read(self.fetch(&path), deadline_us).await
    }

    /// Returns the platform's list of instances, which lags.
    ///
    /// # Errors
    ///
    /// Fails as described at [`PlatformError`]; `AnswerLost` does not occur.
    pub async fn instances(&self, deadline_us: u64) -> PlatformResult<Vec<InstanceRecord>> {
        self.read(self.fetch("/instances"), deadline_us).await
    }

    /// Returns the address of the object API.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> PlatformResult<T> {
        let response = send(self.request(Method::GET, path), None).await?;
        let body = body_of(&expect_success(response)?).await?;
        serde_json::from_slice(&body).map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.client.request(method, url)
    }

    async fn read<T>(
        &self,
        call: impl Future<Output = PlatformResult<T>>,
        deadline_us: u64,
    ) -> PlatformResult<T> {
        // A read has no effect, so that a lost answer is a plain failure.
        self.write(call, deadline_us)
            .await
            .map_err(|error| match error {
                PlatformError::AnswerLost(reason) => PlatformError::Unavailable(reason),
                other => other,
            })
    }

    async fn write<T>(
        &self,
        call: impl Future<Output = PlatformResult<T>>,
        deadline_us: u64,
    ) -> PlatformResult<T> {
        if deadline_us <= self.clock.now_us() {
            return Err(PlatformError::Unavailable("the deadline has passed".into()));
        }
        let deadline = self.clock.instant(deadline_us).into();
        timeout_at(deadline, call)
            .await
            .unwrap_or_else(|_| Err(PlatformError::AnswerLost("no answer in time".into())))
    }
}

fn object_path(key: &str) -> PlatformResult<String> {
    if !is_key(key) {
        return Err(PlatformError::InvalidKey(Name::from(key)));
    }
    Ok(format!("/objects/{key}"))
}

fn query(text: &str) -> PlatformResult<&str> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    if text.len() > MAX_KEY_BYTES || !text.chars().all(is_valid) {
        return Err(PlatformError::InvalidKey(Name::from(text)));
    }
    Ok(text)
}

fn conditional(request: ClientRequest, condition: Condition) -> ClientRequest {
    match condition {
        Condition::Absent => request.header("if-none-match", "*"),
        Condition::Version(version) => request.header("if-match", version.to_etag()),
    }
}

async fn send(request: ClientRequest, body: Option<Bytes>) -> PlatformResult<ClientResponse> {
    let result = match body {
        Some(body) => request.send_body(body.to_vec()).await,
        None => request.send().await,
    };
    result.map_err(PlatformError::from_client)
}

fn expect_success(response: ClientResponse) -> PlatformResult<ClientResponse> {
    let status = response.status().as_u16();
    match status {
        200..=299 => Ok(response),
        412 => Err(PlatformError::Conflict {
            current: version_of(&response).ok(),
        }),
        413 => Err(PlatformError::TooLarge),
        429 => Err(PlatformError::Unavailable("too many calls".into())),
        400..=499 => Err(PlatformError::Malformed(format!("status {status}"))),
        // Something between client and store may have produced this answer
        // after the write took effect.
        _ => Err(PlatformError::AnswerLost(format!("status {status}"))),
    }
}

fn version_of(response: &ClientResponse) -> PlatformResult<ObjectVersion> {
    response
        .header("etag")
        .and_then(|value| value.to_str().ok())
        .and_then(ObjectVersion::from_etag)
        .ok_or_else(|| PlatformError::AnswerLost("the answer has no valid version".into()))
}

async fn body_of(response: &ClientResponse) -> PlatformResult<Bytes> {
    let body = response.body().timeout(Millis::ZERO).await;
    body.map(|body| Bytes::copy_from_slice(&body))
        .map_err(|error| PlatformError::Unavailable(error.to_string()))
}
