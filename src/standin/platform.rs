//! Stand-in for the object API.

mod handlers;
mod store;

pub use handlers::CallCounters;
pub use store::{
    Mismatch,
    Store, //
};

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        mpsc, //
    },
    thread, //
};

use error_stack::ResultExt;
use ntex::{
    SharedCfg,
    rt::{
        DefaultRuntime,
        System, //
    },
    server::Server,
    web::App, //
};

use self::handlers::Shared;
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    process::{
        http_server,
        stop, //
    },
};

/// Starts the server inside the running ntex `System`.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the listener cannot be used.
pub fn serve(listener: TcpListener) -> Result<Server> {
    let shared = Arc::new(Shared::default());
    http_server::start(listener, SharedCfg::default(), 1, async move || {
        let shared = Arc::clone(&shared);
        App::new().configure(move |config| handlers::configure(config, &shared))
    })
}

/// A stand-in that runs on threads of its own until it is dropped.
#[derive(Debug)]
pub struct RunningPlatform {
    address: SocketAddr,
    system: System,
    thread: Option<thread::JoinHandle<()>>,
}

impl RunningPlatform {
    /// Returns the address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningPlatform {
    fn drop(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in on a thread of its own; port 0 takes a free port.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when the address cannot be bound.
///
/// ```
/// use yuccalatch::standin::platform::start;
///
/// let standin = start("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert_ne!(standin.address().port(), 0);
/// ```
pub fn start(address: SocketAddr) -> Result<RunningPlatform> {
    let listener = stop::bind(address)?;
    let address = listener.local_addr().change_context(ErrorKind::Io)?;
    let (started, system) = mpsc::channel();
    let thread = thread::spawn(move || {
        let runner = System::new("standin-platform", DefaultRuntime);
        let result = runner.run(move || {
            let served = serve(listener).map_err(std::io::Error::other);
            let _ = started.send(served.map(|_| System::current()));
            Ok(())
        });
        // The only failure is a stop with a code, which nothing requests.
        drop(result);
    });
    let system = system
        .recv()
        .change_context(ErrorKind::Io)?
        .change_context(ErrorKind::Io)?;
    Ok(RunningPlatform {
        address,
        system,
        thread: Some(thread),
    })
}
