//! Starts the project's programs as the deploy file says, with its templates of
//! settings, on loopback addresses.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// What happened, for `record.txt`.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl Into<String>) {
        let at_ms = self.now_ms();
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    pub fn write(&self, folder: &Path) {
        let mut file = fs::File::create(folder.join("record.txt")).expect("record.txt");
        for (at_ms, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(file, "{at_ms:>7} ms  {line}");
        }
    }
}

static NEXT_HOST: AtomicU32 = AtomicU32::new(0);

/// Ids of the running child processes.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script because the case cannot run, and all processes that it started.
pub fn give_up(what: &str) -> ! {
    eprintln!("cannot run: {what}");
    for id in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2);
}

/// Returns a loopback IP of its own for a machine; it differs between runs.
pub fn new_ip() -> String {
    let process = std::process::id();
    loop {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{}", 1 + process % 199, 1 + process / 199 % 250, 1 + host % 250);
        let ports = [8605, 8606, 8608, 9464];
        if ports.iter().all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok()) {
            return ip;
        }
    }
}

/// A child process, killed by its id when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    fn new(child: Child) -> Process {
        CHILDREN.lock().unwrap().push(child.id());
        Process { child }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Process,
}

/// Folder for settings and logs; removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        let path = std::env::temp_dir().join(format!("yl-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns the command of a role in the deploy file.
fn role_command(root: &Path, role: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("deploy/system.toml");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("role");
    let line = section.lines().find(|line| line.starts_with("run")).expect("run");
    line.split('"').nth(1).expect("command").to_owned()
}

fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

/// Starts a program with a rendered template of settings.
fn start(root: &Path, scratch: &Scratch, role: &str, name: &str, values: &[(&str, String)]) -> Process {
    let template = fs::read_to_string(root.join(format!("deploy/{role}.json"))).expect("template");
    let settings = scratch.0.join(format!("{name}.json"));
    fs::write(&settings, render(&template, values)).expect("settings");
    let log = fs::File::create(scratch.0.join(format!("{name}.log"))).expect("log");
    // The platform passes these variables on and no others.
    let passed = ["PATH", "HOME", "JAVA_HOME", "LANG"];
    let passed = passed.iter().filter_map(|name| Some((name, std::env::var(name).ok()?)));
    let child = Command::new(root.join(role_command(root, role)))
        .current_dir(root)
        .env_clear()
        .envs(passed)
        .env("YUCCALATCH_BOOT", &settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("log"))
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file is built");
    Process::new(child)
}

/// Starts entries, one machine each, in the zones a, b and c.
pub fn start_entries(root: &Path, scratch: &Scratch, store: SocketAddr, count: usize) -> Vec<Entry> {
    let ips: Vec<String> = (0..count).map(|_| new_ip()).collect();
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:8608\"")).collect();
    let seeds = format!("[{}]", seeds.join(","));
    let entries = ips.iter().enumerate().map(|(at, ip)| {
        let name = format!("front-{}-{at}", ["a", "b", "c"][at % 3]);
        let values = [
            ("node-name", name.clone()),
            ("zone", ["a", "b", "c"][at % 3].to_owned()),
            ("bind.front", format!("{ip}:8606")),
            ("bind.control", format!("{ip}:8608")),
            ("bind.ready", format!("{ip}:8605")),
            ("ip", ip.clone()),
            ("platform.addr", store.to_string()),
            ("seeds|json", seeds.clone()),
            ("bounds.retry-slack", "52".to_owned()),
            ("bounds.retry-window-s", "10".to_owned()),
        ];
        Entry {
            process: start(root, scratch, "entry", &name, &values),
            name,
            front: format!("{ip}:8606").parse().unwrap(),
            ready: format!("{ip}:8605").parse().unwrap(),
        }
    });
    entries.collect()
}

/// Starts the agent beside an engine.
pub fn start_agent(
    root: &Path,
    scratch: &Scratch,
    store: SocketAddr,
    name: &str,
    engine: SocketAddr,
    entries: &[Entry],
) -> Process {
    let seeds: Vec<String> = entries
        .iter()
        .take(3)
        .map(|entry| format!("\"{}:8608\"", entry.front.ip()))
        .collect();
    let values = [
        ("node-name", name.to_owned()),
        ("zone", "a".to_owned()),
        ("app", engine.to_string()),
        ("ip", engine.ip().to_string()),
        ("platform.addr", store.to_string()),
        ("seeds|json", format!("[{}]", seeds.join(","))),
    ];
    start(root, scratch, "agent", name, &values)
}

/// Waits until a condition holds; ends the script with 2 if it doesn't.
pub fn wait_until(what: &str, limit_ms: u64, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > Duration::from_millis(limit_ms) {
            give_up(what);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn wait_ready(entries: &[Entry]) {
    for entry in entries {
        wait_until("an entry is ready", 15_000, || {
            http::get_status(entry.ready, "/ready") == 200
        });
    }
}

/// A server of the system's users as a process of its own, so that it can crash.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub process: Process,
}

/// Starts a server whose program is a subcommand of this one. Its output lines go to
/// `take`.
pub fn start_server(
    kind: &str,
    id: &str,
    address: SocketAddr,
    options: &[String],
    take: impl Fn(String) + Send + 'static,
) -> Server {
    let mut child = Command::new(std::env::current_exe().expect("own program"))
        .arg(kind)
        .arg(id)
        .arg(address.to_string())
        .args(options)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("server starts");
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    thread::spawn(move || lines.map_while(Result::ok).for_each(take));
    Server {
        id: id.to_owned(),
        address,
        process: Process::new(child),
    }
}

/// Returns a free address on a loopback IP of its own.
pub fn free_address() -> SocketAddr {
    let ip = new_ip();
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("free port");
    listener.local_addr().unwrap()
}
