//! Graceful stops: signals and progress; listeners and threads.

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

/// Time for which an agent without work stays after it has announced its stop.
/// Entries that have not heard of it get a refusal instead of a lost connection,
/// which would leave the outcome of a request unknown. An entry waits this long
/// at most until its peers have answered the announcement.
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

/// Connections that may wait to be accepted, as far as the system allows. The
/// standard library's 128 are too few when many streams start at once: the
/// connection requests above them are dropped, and the client repeats them only
/// after a second.
const BACKLOG: i32 = 4_096;

/// Opens a listener that does not block.
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

/// Returns the address that a listener was given.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the address cannot be read.
pub fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().change_context(ErrorKind::Io)
}

/// Runs a future to its end on a thread and runtime of its own.
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
