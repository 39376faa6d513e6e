//! Stand-ins for the users' servers: model servers and plain ones.
//!
//! Each runs as a process of its own and prints one line for each request that it
//! begins (`run ID`), ends or turns away.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Exchange},
    json::Json,
};

/// Options of a server, given as NAME=VALUE.
#[derive(Clone, Default)]
pub struct Options(HashMap<String, String>);

impl Options {
    pub fn parse(words: &[String]) -> Options {
        let pairs = words.iter().filter_map(|word| word.split_once('='));
        Options(pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect())
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        let value = self.0.get(name).and_then(|value| value.parse().ok());
        value.unwrap_or(default)
    }

    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}

/// Weights of a model server and the orders to load others.
#[derive(Default)]
struct Weights {
    versions: Vec<(String, u64)>,
    is_busy: bool,
    sequence: u64,
}

struct Server {
    id: String,
    weights: Mutex<Weights>,
    slots: u32,
    running: AtomicU32,
    answers: AtomicU64,
    is_crashed: AtomicBool,
    options: Options,
}

struct Slot<'a>(&'a Server);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn say(line: String) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

impl Server {
    fn take_slot(&self) -> Option<Slot<'_>> {
        let before = self.running.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(self);
        (before < self.slots).then_some(slot)
    }

    fn fields(&self, id: &str) -> Vec<(&'static str, String)> {
        let running = self.running.load(Ordering::Relaxed);
        vec![
            ("yuccalatch-attempt-id", id.to_owned()),
            ("yuccalatch-instance-id", self.id.clone()),
            ("yuccalatch-server-load", format!("{running},0,{}", self.slots)),
        ]
    }

    fn report(&self) -> String {
        let weights = self.weights.lock().unwrap();
        let models: Vec<String> = weights
            .versions
            .iter()
            .map(|(name, version)| {
                format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
            })
            .collect();
        format!(
            "{{\"phase\":\"hybrid\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":{},\"kv-used\":0,\"kv-total\":115023,\"handles\":0}}",
            models.join(","),
            weights.is_busy,
            weights.sequence,
            self.running.load(Ordering::Relaxed),
        )
    }

    /// Carries out an order to load weights. This server doesn't check fencing tokens.
    fn take_order(self: &Arc<Self>, exchange: &mut Exchange) -> bool {
        let target = exchange.request.header("yuccalatch-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return exchange.answer("421 Misdirected", &[], b"");
        }
        let order = Json::parse(&exchange.request.text()).unwrap_or(Json::Null);
        let number = |name: &str| order.get(name).and_then(Json::number);
        let text = |name: &str| order.get(name).and_then(|value| Some(value.text()?.to_owned()));
        let (Some(model), Some(version), Some(holder), Some(fence)) =
            (text("model"), number("version"), text("holder"), number("fence"))
        else {
            return exchange.answer("400 Bad Request", &[], b"");
        };
        say(format!("order {} {fence} from {holder}: {model} version {version}", self.id));
        let mut weights = self.weights.lock().unwrap();
        if weights.versions.iter().any(|known| *known == (model.clone(), version)) {
            return exchange.answer("200 OK", &[], b"");
        }
        if weights.is_busy || number("expect").is_some_and(|expect| expect != weights.sequence) {
            return exchange.answer("409 Conflict", &[], b"");
        }
        weights.is_busy = true;
        weights.sequence += 1;
        drop(weights);
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(540));
            let mut weights = server.weights.lock().unwrap();
            weights.is_busy = false;
            for known in weights.versions.iter_mut().filter(|known| known.0 == model) {
                known.1 = version;
            }
        });
        exchange.answer("202 Accepted", &[], b"")
    }

    /// Turns a request away, which states that it has not run.
    fn turn_away(&self, exchange: &mut Exchange, status: &str) -> bool {
        let id = exchange.request.header("yuccalatch-attempt-id").unwrap_or("-").to_owned();
        let mut fields = self.fields(&id);
        fields.push(("yuccalatch-not-executed", "1".to_owned()));
        say(format!("turned-away {id} {}", &status[..3]));
        exchange.answer(status, &fields, b"")
    }

    /// Returns whether the request is for this server and its weights.
    fn is_meant(&self, exchange: &Exchange) -> bool {
        let target = exchange.request.header("yuccalatch-target-instance");
        let version = exchange.request.header("yuccalatch-expect-version");
        let model = exchange.request.header("yuccalatch-model");
        let weights = self.weights.lock().unwrap();
        let mut versions = weights.versions.iter();
        let has_version = version.is_none_or(|wanted| {
            versions.any(|(name, version)| Some(name.as_str()) == model && version.to_string() == wanted)
        });
        target.is_none_or(|target| target == self.id) && has_version
    }
}

pub fn run(kind: &str, id: &str, address: SocketAddr, words: &[String]) -> ! {
    let options = Options::parse(words);
    let models = options.0.get("models").cloned().unwrap_or_else(|| "oak".to_owned());
    let server = Arc::new(Server {
        id: id.to_owned(),
        weights: Mutex::new(Weights {
            versions: models.split(',').map(|model| (model.to_owned(), 1)).collect(),
            ..Weights::default()
        }),
        slots: options.number("slots", 96) as u32,
        running: AtomicU32::new(0),
        answers: AtomicU64::new(0),
        is_crashed: AtomicBool::new(false),
        options,
    });
    let started = Instant::now();
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) if started.elapsed() < Duration::from_secs(5) => {
                thread::sleep(Duration::from_millis(20));
            }
            Err(error) => panic!("{address}: {error}"),
        }
    };
    let is_engine = kind == "engine";
    http::serve(listener, move |mut exchange| {
        let server = Arc::clone(&server);
        let path = exchange.request.target().split('?').next().unwrap_or_default().to_owned();
        match (exchange.request.method(), path.as_str()) {
            ("GET", "/health") => {
                let fields = [("yuccalatch-instance-id", server.id.clone())];
                exchange.answer("200 OK", &fields, b"")
            }
            ("GET", "/report") => {
                let body = server.report();
                let fields = [("content-type", "application/json".to_owned())];
                exchange.answer("200 OK", &fields, body.as_bytes())
            }
            ("GET", "/kv-events") => {
                let wait_ms = exchange.request.header("wait-ms").and_then(|ms| ms.parse().ok());
                thread::sleep(Duration::from_millis(wait_ms.unwrap_or(0)));
                let body = format!(
                    "{{\"epoch\":{},\"next\":0,\"lost\":false,\"events\":[]}}",
                    std::process::id()
                );
                let fields = [("content-type", "application/json".to_owned())];
                exchange.answer("200 OK", &fields, body.as_bytes())
            }
            ("POST", "/order") => server.take_order(&mut exchange),
            _ if !server.is_meant(&exchange) => server.turn_away(&mut exchange, "421 Misdirected"),
            _ if is_engine => generate(&server, exchange),
            _ => run_plain(&server, exchange),
        }
    });
    // Ends with the script that started it.
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        thread::sleep(Duration::from_millis(200));
    }
    std::process::exit(0)
}

/// The bytes of one event of a generation.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} token {number}\n\n")
}

fn write_chunk(stream: &mut TcpStream, data: &str) -> bool {
    let text = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// Generates a stream of events after the prompt has been read.
fn generate(server: &Arc<Server>, mut exchange: Exchange) -> bool {
    let request = exchange.request.clone();
    let id = request.header("yuccalatch-attempt-id").unwrap_or("-").to_owned();
    let Some(_slot) = server.take_slot() else {
        return server.turn_away(&mut exchange, "503 Full");
    };
    let options = &server.options;
    // Reading the prompt; a caller that leaves meanwhile is noticed.
    let until = Instant::now() + Duration::from_millis(options.number("first-ms", 250));
    let _ = exchange.stream.set_nonblocking(true);
    while Instant::now() < until {
        let mut byte = [0; 1];
        if matches!(exchange.stream.read(&mut byte), Ok(0)) {
            say(format!("left {id}"));
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let _ = exchange.stream.set_nonblocking(false);
    let parts = request.header("yuccalatch-prefix-hash").unwrap_or_default();
    say(format!("run {id} at {}", server.id));
    if parts.split(',').any(|part| part.starts_with("dead:")) {
        // Several such requests may have been read at the same moment.
        if !server.is_crashed.swap(true, Ordering::Relaxed) {
            say(format!("crash {id} at {}", server.id));
            std::process::exit(134);
        }
        thread::sleep(Duration::from_secs(60));
    }
    let after = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let last = options.number("events", 10);
    let nth = server.answers.fetch_add(1, Ordering::Relaxed);
    let spoil_every = options.number("spoil-every", 0);
    let is_spoiled = after.is_none() && spoil_every > 0 && nth % spoil_every == spoil_every - 1;
    let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
    for (name, value) in server.fields(&id) {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "yuccalatch-response-seal: seal-{id}\r\nyuccalatch-weight-versions: 1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if exchange.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let stride = options.number("stride", 1);
    let gap = Duration::from_millis(options.number("gap-ms", 20));
    let mut next = after.map_or(1, |after| after + 1);
    while next <= last {
        // A write carries as many events as have become ready.
        let end = (next + stride - 1).min(last);
        let mut data: String = (next..=end).map(|number| event(&id, number)).collect();
        if is_spoiled && next == 1 && options.has("spoil-first") {
            // One wrong byte: the digit of the first event's id.
            let data = event(&id, 1).replace("id: 1\n", "id: 9\n") + &data[event(&id, 1).len()..];
            say(format!("spoiled {id} at {}: event 1", server.id));
            write_chunk(&mut exchange.stream, &data);
            next = end + 1;
            thread::sleep(gap);
            continue;
        }
        if is_spoiled && end > last / 2 && options.has("spoil-id") {
            // One wrong byte: a digit of the id of the last event of this write.
            let wrong = event(&id, end).replace(&format!("id: {end}\n"), &format!("id: {}\n", end ^ 8));
            data = (next..end).map(|number| event(&id, number)).collect::<String>() + &wrong;
            say(format!("spoiled {id} at {}: event {end} of {next} to {end}", server.id));
            write_chunk(&mut exchange.stream, &data);
            thread::sleep(gap);
            return false;
        }
        if !write_chunk(&mut exchange.stream, &data) {
            say(format!("left {id}"));
            return false;
        }
        next = end + 1;
        thread::sleep(gap);
    }
    let _ = exchange.stream.write_all(b"0\r\n\r\n");
    say(format!("done {id} at {}", server.id));
    true
}

/// Runs a plain request.
fn run_plain(server: &Arc<Server>, mut exchange: Exchange) -> bool {
    let id = exchange.request.header("yuccalatch-attempt-id").unwrap_or("-").to_owned();
    let Some(_slot) = server.take_slot() else {
        return server.turn_away(&mut exchange, "503 Full");
    };
    let body = exchange.request.text();
    let nth = server.answers.fetch_add(1, Ordering::Relaxed);
    say(format!("run {id} at {} body {body}", server.id));
    thread::sleep(Duration::from_millis(server.options.number("work-ms", 15)));
    let mut fields = server.fields(&id);
    fields.push(("yuccalatch-response-seal", format!("seal-{id}")));
    // Part of the requests fail after they have run, while the health check is good.
    let fail_permille = server.options.number("fail-permille", 0);
    if (nth * 7919) % 1_000 < fail_permille {
        let status = server.options.number("fail-status", 500);
        say(format!("failed {id} at {} with {status}", server.id));
        return exchange.answer(&format!("{status} Failed"), &fields, b"failed");
    }
    let size = server.options.number("bytes", 800) as usize;
    let mut body = format!("answer to {id} ");
    while body.len() < size {
        body.push('x');
    }
    exchange.answer("200 OK", &fields, body.as_bytes())
}
