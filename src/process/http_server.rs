//! HTTP listeners of all programs.

use std::{
    fmt,
    net::TcpListener,
    rc::Rc, //
};

use error_stack::ResultExt;
use ntex::{
    SharedCfg,
    http::{
        HttpService,
        HttpServiceConfig,
        Request,
        Response,
        ResponseError,
        body::MessageBody,
        h1::{
            Control,
            ControlAck,
            ProtocolError,
            control::Reason, //
        }, //
    },
    io::{
        Filter,
        Io, //
    },
    server::{
        Server,
        ServerBuilder, //
    },
    service::{
        IntoServiceFactory,
        ServiceFactory,
        chain_factory,
        fn_service, //
    },
    time::Seconds, //
};

use super::connections::Connections;
use crate::error::{
    ErrorKind,
    Result, //
};

/// Time without a request after which the server closes a connection.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Longest time that a graceful stop waits for open connections. It is short
/// because the drain before it has already waited for the requests.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// Returns the configuration of a server for clients made by
/// [`build`](super::client::build).
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

/// Returns the answer to a request that cannot be read; with `None`, ntex sends
/// its own answer, which has no body.
pub type AnswerUnreadable = fn(&ProtocolError) -> Option<Response>;

/// Starts a server inside the running ntex `System`, with one application from
/// `factory` for each worker thread. The server handles no signals.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
pub fn start<F, I, S, B>(
    listener: TcpListener,
    config: impl Into<SharedCfg>,
    workers: usize,
    factory: F,
) -> Result<Server>
where
    F: AsyncFn() -> I + Clone + Send + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg> + 'static,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    start_with_error_answers(listener, config, workers, factory, |_| None)
}

/// Starts a server as [`start`] does, with the caller's answers to requests that
/// cannot be read.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
pub fn start_with_error_answers<F, I, S, B>(
    listener: TcpListener,
    config: impl Into<SharedCfg>,
    workers: usize,
    factory: F,
    answer: AnswerUnreadable,
) -> Result<Server>
where
    F: AsyncFn() -> I + Clone + Send + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg> + 'static,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let config = config.into();
    let server = ServerBuilder::default()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen("http", listener, async move |service| {
            service.config(config.clone());
            let control = fn_service(async move |control| {
                Ok::<_, std::convert::Infallible>(acknowledge(control, answer))
            });
            HttpService::new(factory().await).h1_control(control)
        })
        .change_context(ErrorKind::Io)?;
    Ok(server.run())
}

/// Starts a server with one worker thread, as [`start`] does, on which at most
/// `max_connections` are open; 0 for no limit. `factory` gets the table of its
/// connections, which it has to watch.
pub(crate) fn start_bounded<F, I, S, B>(
    listener: TcpListener,
    config: impl Into<SharedCfg>,
    max_connections: usize,
    factory: F,
) -> Result<Server>
where
    F: AsyncFn(Rc<Connections>) -> I + Clone + Send + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg> + 'static,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let config = config.into();
    let server = ServerBuilder::default()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen("http", listener, async move |service| {
            service.config(config.clone());
            let connections = Connections::new(max_connections);
            let http = HttpService::new(factory(Rc::clone(&connections)).await);
            let accept = fn_service(async move |io: Io| {
                connections.accept(&io.get_ref());
                Ok(io)
            });
            chain_factory(accept).and_then(http)
        })
        .change_context(ErrorKind::Io)?;
    Ok(server.run())
}

/// Answers an unreadable request, and accepts every other event of a connection.
fn acknowledge<F: Filter, E: ResponseError>(
    control: Control<F, E>,
    answer: AnswerUnreadable,
) -> ControlAck<F> {
    let Control::Disconnect(Reason::ProtocolError(error)) = control else {
        return control.ack();
    };
    match answer(error.err()) {
        Some(response) => error.fail_with(response),
        None => error.ack(),
    }
}
