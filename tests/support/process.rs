//! Running programs.

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::Value;

/// Long enough that only a hang reaches it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// A running program; killed by its id when dropped.
pub(crate) struct Process {
    child: Child,
    /// Log lines so far.
    pub(crate) log: Arc<Mutex<Vec<String>>>,
    started: Value,
    settings: PathBuf,
}

impl Process {
    /// Starts a program and waits until it listens.
    pub(crate) fn start(program: &str, settings: &Value) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let file = format!("yuccalatch-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, receiver) = mpsc::channel();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let copy = Arc::clone(&log);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains("YL1001") {
                    let _ = sender.send(line.clone());
                }
                copy.lock().unwrap().push(line);
            }
        });
        let started = receiver.recv_timeout(PATIENCE).unwrap_or_else(|_| {
            panic!("{program} did not start: {:?}", log.lock().unwrap());
        });
        Self {
            child,
            log,
            started: serde_json::from_str(&started).unwrap(),
            settings: path,
        }
    }

    /// Returns the settings that the program was started with.
    pub(crate) fn settings(&self) -> Value {
        let text = fs::read_to_string(&self.settings).unwrap();
        serde_json::from_str(&text).unwrap()
    }

    /// Returns an address from the record of the start.
    pub(crate) fn address(&self, field: &str) -> SocketAddr {
        self.started[field].as_str().unwrap().parse().unwrap()
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `TERM`, `STOP` or `KILL`.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", signal, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits for the end and returns whether the exit code was zero.
    pub(crate) fn wait(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process does not stop");
    }

    pub(crate) fn log_contains(&self, text: &str) -> bool {
        let log = self.log.lock().unwrap();
        log.iter().any(|line| line.contains(text))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Repeats a check until it holds; panics when it never does.
pub(crate) fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if check() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("never: {what}");
}
