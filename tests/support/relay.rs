//! TCP relay between two processes that can freeze, thaw or cut.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Shared {
    /// Connections with a lower number deliver nothing.
    frozen_below: AtomicUsize,
    is_closed: AtomicBool,
    /// Bytes that were read and could not be delivered at once.
    held_bytes: AtomicUsize,
    open: Mutex<Vec<TcpStream>>,
}

/// A running relay.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for (number, caller) in listener.incoming().enumerate() {
                if accepting.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                if let (Ok(caller), Ok(callee)) = (caller, TcpStream::connect(target)) {
                    accepting.connect(number, &caller, &callee);
                }
            }
        });
        Self { address, shared }
    }

    /// Stops delivery on all open connections; new ones work.
    pub(crate) fn freeze_open(&self) {
        let open = self.shared.open.lock().unwrap();
        let count = open.len() / 2;
        self.shared.frozen_below.store(count, Ordering::SeqCst);
    }

    /// Stops delivery on all connections, also new ones.
    pub(crate) fn freeze(&self) {
        self.shared.frozen_below.store(usize::MAX, Ordering::SeqCst);
    }

    /// Delivers what was held back.
    pub(crate) fn thaw(&self) {
        self.shared.frozen_below.store(0, Ordering::SeqCst);
    }

    /// Returns the bytes that frozen connections have read and hold back.
    pub(crate) fn held_bytes(&self) -> usize {
        self.shared.held_bytes.load(Ordering::SeqCst)
    }

    /// Breaks all open connections; new ones work.
    pub(crate) fn cut(&self) {
        for stream in &*self.shared.open.lock().unwrap() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::SeqCst);
        self.cut();
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn connect(self: &Arc<Self>, number: usize, caller: &TcpStream, callee: &TcpStream) {
        let mut open = self.open.lock().unwrap();
        for (from, to) in [(caller, callee), (callee, caller)] {
            open.push(from.try_clone().unwrap());
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let shared = Arc::clone(self);
            thread::spawn(move || shared.copy(number, from, to));
        }
    }

    fn copy(&self, number: usize, mut from: TcpStream, mut to: TcpStream) {
        from.set_read_timeout(Some(POLL)).unwrap();
        let mut buffer = vec![0; 64 << 10];
        loop {
            let (length, mut is_over) = self.fill(number, &mut from, &mut buffer);
            if self.is_closed.load(Ordering::SeqCst) {
                return;
            }
            is_over |= to.write_all(&buffer[..length]).is_err();
            if is_over {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Reads once, and on while the connection is frozen and the buffer has room.
    /// Returns the bytes read and whether the connection has ended.
    fn fill(&self, number: usize, from: &mut TcpStream, buffer: &mut [u8]) -> (usize, bool) {
        let mut length = 0;
        let mut is_over = false;
        loop {
            let is_full = length == buffer.len();
            if is_over || is_full {
                thread::sleep(POLL);
            } else {
                match from.read(&mut buffer[length..]) {
                    Ok(0) => is_over = true,
                    Ok(read) => {
                        length += read;
                        if self.is_frozen(number) {
                            self.held_bytes.fetch_add(read, Ordering::SeqCst);
                        }
                    }
                    Err(error) => is_over = !is_transient(error.kind()),
                }
            }
            if !self.is_frozen(number) || self.is_closed.load(Ordering::SeqCst) {
                return (length, is_over);
            }
        }
    }

    fn is_frozen(&self, number: usize) -> bool {
        number < self.frozen_below.load(Ordering::SeqCst)
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
