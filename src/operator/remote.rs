//! Calls to the control listener of an entry.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use jsonrpsee::{
    core::client::{
        ClientT,
        Error, //
    },
    rpc_params,
    ws_client::{
        WsClient,
        WsClientBuilder, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::status::{
    ExplainRequest,
    Explanation,
    FleetStatus, //
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// Name of the method that returns a [`FleetStatus`].
pub const STATUS_METHOD: &str = "status";
/// Name of the method that turns an [`ExplainRequest`] into an [`Explanation`].
pub const EXPLAIN_METHOD: &str = "explain";

/// Asks an entry for the status of the fleet.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the entry does not answer within
/// `timeout_ms`, and [`ErrorKind::Internal`] when it refuses the call.
pub async fn status(entry: SocketAddr, timeout_ms: u64) -> Result<FleetStatus> {
    call(entry, STATUS_METHOD, None::<()>, timeout_ms).await
}

/// Asks an entry how it would treat a request.
///
/// # Errors
///
/// Fails as [`status`] does.
pub async fn explain(
    entry: SocketAddr,
    request: &ExplainRequest,
    timeout_ms: u64,
) -> Result<Explanation> {
    call(entry, EXPLAIN_METHOD, Some(request), timeout_ms).await
}

async fn call<T: DeserializeOwned>(
    entry: SocketAddr,
    method: &str,
    argument: Option<impl Serialize>,
    timeout_ms: u64,
) -> Result<T> {
    let client = connect(entry, timeout_ms).await?;
    let params = match argument {
        Some(argument) => rpc_params![argument],
        None => rpc_params![],
    };
    let reply = client.request(method, params).await;
    reply.map_err(|error| {
        let kind = match &error {
            Error::Call(_) | Error::ParseError(_) => ErrorKind::Internal,
            _ => ErrorKind::PeerUnavailable,
        };
        Report::new(error).change_context(kind)
    })
}

async fn connect(entry: SocketAddr, timeout_ms: u64) -> Result<WsClient> {
    let timeout = Duration::from_millis(timeout_ms);
    WsClientBuilder::default()
        .connection_timeout(timeout)
        .request_timeout(timeout)
        .build(format!("ws://{entry}"))
        .await
        .change_context(ErrorKind::PeerUnavailable)
}
