//! Stop signals and the progress of a graceful stop, and functions that open
//! listeners and start threads.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread, //
};

use error_stack::ResultExt;
use socket2::{
    Domain,
    Socket,
    Type, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::{
    clock::US_PER_S,
    error::{
        ErrorKind,
        Result, //
    }, //
};

/// Time for which a stopping agent stays reachable without work. Entries that have
/// not received its announcement yet get a refusal instead of a lost connection,
/// which would leave the outcome of a request unknown. A stopping entry waits at
/// most this long until its peers have answered the announcement and its shares
/// of the limits are released.
pub const LINGER_US: u64 = US_PER_S;

/// Progress of a graceful stop, shared by the threads of a process.
///
/// ```
/// use yuccalatch::process::stop::StopProgress;
///
/// let progress = StopProgress::default();
/// progress.leave();
/// assert!(progress.is_leaving());
/// assert!(!progress.is_announced());
/// ```
#[derive(Debug, Default)]
pub struct StopProgress {
    is_leaving: AtomicBool,
    is_announced: AtomicBool,
}

impl StopProgress {
    /// Begins the stop: the process takes no further work.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Notes that the other processes have been notified of the stop.
    pub fn set_announced(&self) {
        self.is_announced.store(true, Ordering::Relaxed);
    }

    /// Returns whether the other processes have been notified of the stop.
    pub fn is_announced(&self) -> bool {
        self.is_announced.load(Ordering::Relaxed)
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the signal handlers cannot be installed.
pub async fn requested() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Connections that may wait to be accepted; the system may set a lower limit.
/// The standard library's 128 are too few when many streams start at once: further
/// connection requests are dropped, and the client repeats them only after a second.
const BACKLOG: i32 = 4_096;

/// Opens a non-blocking listener.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] with the address when it cannot be bound.
///
/// ```
/// let listener = yuccalatch::process::stop::bind(([127, 0, 0, 1], 0).into());
/// assert!(listener.is_ok());
/// ```
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listen = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    listen()
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Returns the address that a listener is bound to, with the port that the system
/// chose if it was bound to port 0.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the address cannot be read.
pub fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().change_context(ErrorKind::Io)
}

/// Runs a future to completion on a thread and ntex runtime of its own.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the thread cannot be started.
///
/// ```
/// let thread = yuccalatch::process::stop::spawn_system("example", || async {}).unwrap();
/// thread.join().unwrap();
/// ```
pub fn spawn_system<F>(
    name: &str,
    start: impl FnOnce() -> F + Send + 'static,
) -> Result<thread::JoinHandle<()>>
where
    F: Future<Output = ()> + 'static,
{
    let system_name = name.to_owned();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new(&system_name, ntex::rt::DefaultRuntime);
            system.block_on(start());
        })
        .change_context(ErrorKind::Io)
}
