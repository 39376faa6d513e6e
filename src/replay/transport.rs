//! Compares HTTP bodies with RPC subscriptions as carriers of streams.
//!
//! A server thread paces chunks, a client thread notes how late they arrive.
//! Both run on the same kind of runtime and use one connection per stream for
//! HTTP and one connection for all streams for the subscriptions, as the
//! processes would.

mod http;
mod rpc;

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        mpsc, //
    },
    thread,
    time::Duration, //
};

use hdrhistogram::Histogram;
use ntex::rt::{
    DefaultRuntime,
    System, //
};
use tokio::sync::Notify;

use crate::{
    clock::{
        Clock,
        US_PER_S, //
    },
    error::{
        ErrorKind,
        Result, //
    },
    process::stop,
    replay::report::Measurement,
};

/// Bytes of a chunk, about one event of a completion.
const CHUNK_BYTES: usize = 150;

/// Bytes at the start of a chunk that carry the time at which it was sent.
const STAMP_BYTES: usize = 8;

/// Time between two chunks of a stream, as at 50 tokens/s.
const CHUNK_EVERY: Duration = Duration::from_millis(20);

/// Numbers of streams that are compared.
const STREAMS: [usize; 3] = [1, 32, 256];

/// Clock ticks of a second in `/proc`, fixed by the kernel's interface.
const TICKS_PER_S: u64 = 100;

/// What is sent.
#[derive(Clone, Copy, Debug)]
struct Plan {
    streams: usize,
    chunks: usize,
    clock: Clock,
}

impl Plan {
    /// Returns a chunk that carries the present time.
    fn chunk(&self) -> Vec<u8> {
        let mut chunk = vec![0; CHUNK_BYTES];
        chunk[..STAMP_BYTES].copy_from_slice(&self.clock.now_us().to_be_bytes());
        chunk
    }

    /// Returns how long a chunk was on its way.
    fn age_us(&self, chunk: &[u8]) -> u64 {
        let stamp = chunk.first_chunk::<STAMP_BYTES>();
        let sent_at_us = stamp.map_or(0, |stamp| u64::from_be_bytes(*stamp));
        self.clock.now_us().saturating_sub(sent_at_us)
    }
}

/// Ages of the chunks of all streams.
type Ages = Histogram<u64>;

fn no_ages() -> Ages {
    // Only a precision above five digits is refused.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}

/// A way to carry streams.
trait Transport {
    const NAME: &'static str;

    /// Serves until the signal.
    fn serve(
        listener: TcpListener,
        plan: Plan,
        stop: Arc<Notify>,
    ) -> impl Future<Output = Result<()>> + 'static;

    /// Reads all streams at the same time.
    fn read(address: SocketAddr, plan: Plan) -> impl Future<Output = Result<Ages>> + 'static;
}

/// Compares both carriers, each with `chunks` chunks a stream.
///
/// Returns the 50th and 99th percentile of the time that a chunk is on its way,
/// in microseconds, and the processor time of both ends for a chunk. The figures
/// depend on the machine; there is no bound.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] when no listener can be opened and
/// [`ErrorKind::PeerUnavailable`] when a stream ends early.
///
/// ```
/// let figures = yuccalatch::replay::transport::compare(1).unwrap();
/// assert!(figures.iter().any(|figure| figure.policy == "http body"));
/// ```
pub fn compare(chunks: usize) -> Result<Vec<Measurement>> {
    let mut figures = Vec::new();
    for streams in STREAMS {
        let plan = Plan {
            streams,
            chunks,
            clock: Clock::start(),
        };
        figures.extend(measure::<http::HttpBodies>(plan)?);
        figures.extend(measure::<rpc::Subscriptions>(plan)?);
    }
    Ok(figures)
}

fn measure<T: Transport + 'static>(plan: Plan) -> Result<Vec<Measurement>> {
    let listener = stop::bind((Ipv4Addr::LOCALHOST, 0).into())?;
    let address = stop::local(&listener)?;
    let stopped = Arc::new(Notify::new());
    let (ended, server_ended) = mpsc::channel();
    let stop_server = Arc::clone(&stopped);
    let server = thread::spawn(move || {
        let system = System::new("server", DefaultRuntime);
        let served = system.block_on(T::serve(listener, plan, stop_server));
        let _ = ended.send(());
        served
    });
    let before_us = processor_us();
    let ages = System::new("client", DefaultRuntime).block_on(T::read(address, plan));
    let used_us = processor_us() - before_us;
    stopped.notify_one();
    let _ = server_ended.recv();
    server
        .join()
        .unwrap_or_else(|_| Err(error_stack::Report::new(ErrorKind::Internal)))?;
    let ages = ages?;
    let chunks = (plan.streams * plan.chunks).max(1) as f64;
    let figure = |measure: &str, value: f64| Measurement {
        scenario: format!("{} streams", plan.streams),
        policy: T::NAME.to_owned(),
        measure: measure.to_owned(),
        value,
        bound: None,
    };
    Ok(vec![
        figure("chunk_p50_us", ages.value_at_quantile(0.5) as f64),
        figure("chunk_p99_us", ages.value_at_quantile(0.99) as f64),
        figure("processor_us_per_chunk", used_us as f64 / chunks),
    ])
}

/// Returns the processor time of this process so far, in steps of 10 ms.
fn processor_us() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // User and system time are the 14th and 15th field; the second one ends with
    // the last parenthesis and may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks * (US_PER_S / TICKS_PER_S)
}
