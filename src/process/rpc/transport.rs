//! Connections, errors and the binary encoding of control messages.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD_NO_PAD, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use jsonrpsee::{
    core::client::Error,
    types::ErrorObjectOwned,
    ws_client::{
        PingConfig,
        WsClient,
        WsClientBuilder, //
    },
};
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::DeserializeOwned, //
};

use crate::error::{
    ErrorKind,
    Result, //
};

/// Largest control message, enough for a configuration part of
/// [`MAX_CONFIG_PART_BYTES`] in base64 and for a complete digest.
pub const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Largest part of a configuration update before the base64 encoding.
pub const MAX_CONFIG_PART_BYTES: usize = 1 << 20;

/// Timeout of one control call, shorter than the three heartbeats after which a data
/// connection counts as silent.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of the pings on a connection. Calls have a timeout of their own, so that
/// pings only have to detect dead connections that are idle.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Unanswered pings after which a connection is closed.
const MAX_MISSED_PINGS: usize = 3;

/// Message encoded as base64 of postcard, about a third of the size of the same
/// message in JSON.
///
/// ```
/// use yuccalatch::process::rpc::Packed;
///
/// let text = serde_json::to_string(&Packed((7_u32, true))).unwrap();
/// let packed: Packed<(u32, bool)> = serde_json::from_str(&text).unwrap();
/// assert_eq!(packed.0, (7, true));
/// ```
#[derive(Clone, Debug)]
pub struct Packed<T>(pub T);

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(&self.0).map_err(serde::ser::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD
            .decode(text)
            .map_err(serde::de::Error::custom)?;
        let value = postcard::from_bytes(&bytes).map_err(serde::de::Error::custom)?;
        Ok(Self(value))
    }
}

/// Opens a control connection that is closed when the peer stops answering pings.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the peer does not answer.
pub async fn connect(address: SocketAddr) -> Result<WsClient> {
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_INTERVAL)
        .max_failures(MAX_MISSED_PINGS);
    WsClientBuilder::new()
        .request_timeout(CALL_TIMEOUT)
        .connection_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_request_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
        .change_context(ErrorKind::PeerUnavailable)
}

/// Converts an error kind to a JSON-RPC error.
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::process::rpc::{error_kind_of, rpc_error};
///
/// let error = rpc_error(ErrorKind::Stopping);
/// assert_eq!(error_kind_of(&error), Some(ErrorKind::Stopping));
/// ```
pub fn rpc_error(kind: ErrorKind) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, kind.name(), Some(kind))
}

/// Returns the error kind in a JSON-RPC error; `None` if it has none.
pub fn error_kind_of(error: &ErrorObjectOwned) -> Option<ErrorKind> {
    serde_json::from_str(error.data()?.get()).ok()
}

/// Converts the error of a failed call to a report. Its kind is the one that the peer
/// answered, or else [`ErrorKind::PeerUnavailable`].
///
/// ```
/// use yuccalatch::error::ErrorKind;
/// use yuccalatch::process::rpc::call_error_report;
///
/// let report = call_error_report(jsonrpsee::core::client::Error::RequestTimeout);
/// assert_eq!(*report.current_context(), ErrorKind::PeerUnavailable);
/// ```
pub fn call_error_report(error: Error) -> Report<ErrorKind> {
    let kind = match &error {
        Error::Call(object) => error_kind_of(object),
        _ => None,
    };
    Report::new(kind.unwrap_or(ErrorKind::PeerUnavailable)).attach(error.to_string())
}
