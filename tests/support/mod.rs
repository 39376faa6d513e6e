//! Fixtures shared by the tests of the configuration.
#![allow(dead_code, unused_imports, reason = "every test file uses a part")]

pub(crate) mod callers;
pub(crate) mod failures;
pub(crate) mod fleet;
pub(crate) mod http;
pub(crate) mod moves;
pub(crate) mod process;
pub(crate) mod relay;

use std::{
    future::Future,
    net::SocketAddr, //
};

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use yuccalatch::{
    clock::{
        Clock,
        US_PER_S, //
    },
    names::Name,
    process::platform::Platform,
    standin::{
        fault::PlatformFaults,
        platform::{
            RunningPlatform,
            start, //
        },
    },
    version::{
        config::{
            Kind,
            Object,
            ObjectId,
            Organisation, //
        },
        ticket::Ticket, //
    },
};

/// Long enough that only a hang reaches it.
pub(crate) const PATIENCE_US: u64 = 60 * US_PER_S;

pub(crate) fn organisation(name: &str, rate_tokens_per_s: u64) -> Object {
    Object::Organisation(Organisation {
        name: name.into(),
        rate_tokens_per_s,
        burst_tokens: 1_000,
        weight: 1,
    })
}

pub(crate) fn ticket(number: u64, set: Vec<Object>, remove: Vec<ObjectId>) -> Ticket {
    Ticket {
        ticket: number,
        author: Name::from("ines"),
        comment: "test".to_owned(),
        set,
        remove,
    }
}

pub(crate) fn organisation_id(name: &str) -> ObjectId {
    ObjectId::new(Kind::Organisation, name)
}

/// A complete small configuration.
pub(crate) fn base_text() -> &'static str {
    r#"{
  // Creates one object of every kind but a move.
  "ticket": 1,
  "author": "ines",
  "comment": "first configuration",
  "set": [
    {"organisation": {"name": "acme", "rate_tokens_per_s": 100, "burst_tokens": 1000, "weight": 1}},
    {"organisation": {"name": "brazos", "rate_tokens_per_s": 50, "burst_tokens": 500, "weight": 2}},
    {"key": {"name": "acme-1", "organisation": "acme",
      "digest": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}},
    {"service": {"name": "draft", "kind": "model", "model": "oak", "block_tokens": 1000,
      "parallel_loads": 2, "load_ms": 500}},
    {"service": {"name": "files", "kind": "plain", "model": null, "block_tokens": 0,
      "parallel_loads": 1, "load_ms": 0}},
    {"version": {"name": "oak-1", "service": "draft", "weights": "oak/1"}},
    {"version": {"name": "oak-2", "service": "draft", "weights": "oak/2"}},
    {"version": {"name": "files-1", "service": "files", "weights": "release-1"}},
    {"target": {"name": "t1", "service": "draft", "data_centre": "a",
      "address": "127.0.0.1:7001", "control_address": "127.0.0.1:7002", "version": "oak-1"}},
    {"route": {"name": "chat", "path_prefix": "/v1/chat/completions", "methods": ["POST"],
      "model": "oak", "service": "draft", "access": "keyed", "organisations": ["acme"],
      "idempotent": true, "timeout_ms": 30000}},
    {"route": {"name": "files", "path_prefix": "/files", "methods": ["GET"], "service": "files",
      "access": "public", "idempotent": true, "timeout_ms": 5000}}
  ],
  "remove": []
}"#
}

/// Runs a test against a fresh stand-in.
pub(crate) fn with_platform<F>(test: impl FnOnce(Platform) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let standin: RunningPlatform = start("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = standin.address();
    System::new("test", DefaultRuntime).block_on(async move {
        let platform = Platform::new(address, Clock::start()).await.unwrap();
        test(platform).await;
    });
    drop(standin);
}

pub(crate) fn deadline_us(platform: &Platform) -> u64 {
    platform.clock().now_us() + PATIENCE_US
}

pub(crate) async fn set_faults(address: SocketAddr, faults: &PlatformFaults) {
    let client = ntex::client::Client::new().await;
    let request = client.put(format!("http://{address}/faults"));
    let response = request.send_json(faults).await.unwrap();
    assert!(response.status().is_success());
}

pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let client = ntex::client::Client::new().await;
    let request = client.get(format!("http://{address}{path}"));
    let response = request.send().await.unwrap();
    serde_json::from_slice(&response.body().await.unwrap()).unwrap()
}
