//! HTTP listeners of all programs.

use std::{
    fmt,
    net::TcpListener, //
};

use error_stack::ResultExt;
use ntex::{
    SharedCfg,
    http::{
        HttpServiceConfig,
        Request,
        Response,
        ResponseError,
        body::MessageBody, //
    },
    server::Server,
    service::{
        IntoServiceFactory,
        ServiceFactory, //
    },
    time::Seconds,
    web::HttpServer, //
};

use crate::error::{
    ErrorKind,
    Result, //
};

/// Time without a request after which the server closes a connection.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Longest time that a graceful stop waits for open connections. The drain before
/// it has waited for the requests.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// Configures a server for clients made by [`build`](super::client::build).
///
/// A client drops an idle connection after 15 s. The server waits longer, because
/// a connection that it closes while a request is on its way makes the outcome
/// of that request uncertain.
///
/// ```
/// let config = yuccalatch::process::http_server::config("example");
/// assert_eq!(config.tag(), "example");
/// ```
pub fn config(name: &'static str) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_headers_read_rate(Seconds(0), Seconds(0), 0)
        .set_keepalive(KEEP_ALIVE);
    SharedCfg::new(name).add(http).into()
}

/// Starts a server inside the running ntex `System`, with one application from
/// `factory` for each worker thread. It leaves signals to its caller.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
///
/// ```
/// use ntex::web::App;
/// use yuccalatch::process::{http_server, stop};
///
/// ntex::rt::System::new("example", ntex::rt::DefaultRuntime).block_on(async {
///     let listener = stop::bind(([127, 0, 0, 1], 0).into()).unwrap();
///     let config = http_server::config("example");
///     let server = http_server::start(listener, config, 1, async || App::new()).unwrap();
///     server.stop(true).await;
/// });
/// ```
pub fn start<F, I, S, B>(
    listener: TcpListener,
    config: impl Into<SharedCfg>,
    workers: usize,
    factory: F,
) -> Result<Server>
where
    F: AsyncFn() -> I + Clone + Send + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let server = HttpServer::new(factory)
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .config(config)
        .listen(listener)
        .change_context(ErrorKind::Io)?;
    Ok(server.run())
}
