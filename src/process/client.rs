//! HTTP clients of the traffic threads.

use std::net::SocketAddr;

use error_stack::{
    Report,
    ResultExt, //
};
use ntex::{
    client::{
        Client, Connector,
        error::{
            ClientError,
            ConnectError, //
        },
    },
    io::IoConfig,
    time::{
        Millis,
        Seconds, //
    },
};

use crate::error::{
    ErrorKind,
    Result, //
};

/// Limit of the connections from one traffic thread to one peer.
const MAX_CONNECTIONS: usize = 4_096;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Builds a client without request timeouts, because every call has a deadline.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when the client cannot be built.
///
/// ```
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async {
///     assert!(yuccalatch::process::client::build("example").await.is_ok());
/// });
/// ```
pub async fn build(name: &'static str) -> Result<Client> {
    build_with_connector(name, Connector::default().limit(MAX_CONNECTIONS)).await
}

/// Builds a client that opens a connection for each call, because a pooled one
/// may no longer carry data without having been closed.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when the client cannot be built.
///
/// ```
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async {
///     assert!(yuccalatch::process::client::build_unpooled("example").await.is_ok());
/// });
/// ```
pub async fn build_unpooled(name: &'static str) -> Result<Client> {
    build_with_connector(name, Connector::default().keep_alive(Seconds(0))).await
}

/// Builds a client for targets. It opens a connection for each call, so that a
/// closed, silent or reused connection never makes the outcome of a request
/// uncertain. It gives up after `connect_timeout` on a target that does not
/// accept the connection.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] when the client cannot be built.
pub async fn build_direct(name: &'static str, connect_timeout: Millis) -> Result<Client> {
    let connector = Connector::default()
        .limit(MAX_CONNECTIONS)
        .keep_alive(Seconds(0));
    build_with_connect_timeout(name, connector, connect_timeout).await
}

async fn build_with_connector(name: &'static str, connector: Connector) -> Result<Client> {
    build_with_connect_timeout(name, connector, CONNECT_TIMEOUT).await
}

async fn build_with_connect_timeout(
    name: &'static str,
    connector: Connector,
    connect_timeout: Millis,
) -> Result<Client> {
    let config =
        ntex::SharedCfg::new(name).add(IoConfig::new().set_connect_timeout(connect_timeout));
    Client::builder()
        .connector::<&str>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(config)
        .await
        .map_err(|error| Report::new(ErrorKind::Internal).attach(error.to_string()))
}

/// Returns the URL of a path at an address.
///
/// ```
/// use yuccalatch::process::client::url;
///
/// let address = std::net::SocketAddr::from(([127, 0, 0, 1], 80));
/// assert_eq!(url(address, "/load"), "http://127.0.0.1:80/load");
/// ```
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Reads a whole response as JSON.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the body does not arrive or is
/// not the expected JSON.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    response: &ntex::client::ClientResponse,
) -> Result<T> {
    let body = response
        .body()
        .await
        .map_err(|error| Report::new(ErrorKind::PeerUnavailable).attach(error.to_string()))?;
    serde_json::from_slice(&body).change_context(ErrorKind::PeerUnavailable)
}

/// Returns whether a request certainly did not leave this process.
///
/// `Disconnected` without a reason is also returned for a connection that closes
/// after the request was sent.
///
/// ```
/// use ntex::client::error::{ClientError, ConnectError};
/// use yuccalatch::process::client::is_unsent;
///
/// let error = ClientError::Connect(ConnectError::Disconnected(None));
/// assert!(!is_unsent(&error));
/// ```
pub const fn is_unsent(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(reason)) => reason.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}
