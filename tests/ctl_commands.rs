//! Commands of `yuccalatchctl`: output and exit codes of the binary.

mod support;

use std::{
    io::Write,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    process::{
        Command,
        Output,
        Stdio, //
    },
    sync::mpsc,
    thread, //
};

use jsonrpsee::{
    RpcModule,
    server::ServerBuilder,
    types::ErrorObjectOwned, //
};
use support::base_text;
use yuccalatch::{
    operator::status::{
        CandidateExplanation,
        ExplainRequest,
        Explanation,
        FleetStatus, //
    },
    standin::platform::start, //
};

fn ctl(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yuccalatchctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program may exit without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[track_caller]
fn expect(args: &[&str], input: &str, code: i32) -> (String, String) {
    let output = ctl(args, input);
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{out}{err}");
    (out.to_owned(), err.to_owned())
}

/// Starts an entry that answers the calls of an operator.
fn start_entry() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let server = ServerBuilder::default().build("127.0.0.1:0").await.unwrap();
            sender.send(server.local_addr().unwrap()).unwrap();
            server.start(entry_methods()).stopped().await;
        });
    });
    receiver.recv().unwrap()
}

fn entry_methods() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    let status = |_: jsonrpsee::types::Params<'_>, (): &(), _: &_| {
        let mut status = FleetStatus::default();
        status.config.revision = 7;
        status.config.waiting_for = vec!["entry-9".into()];
        Ok::<_, ErrorObjectOwned>(status)
    };
    let explain = |params: jsonrpsee::types::Params<'_>, (): &(), _: &_| {
        let request: ExplainRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(Explanation {
            route: Some(request.path.into()),
            candidates: vec![CandidateExplanation {
                target: "t\u{1b}1".into(),
                matched_blocks: 3,
                queue_us: 10,
                compute_us: 20,
                transfer_us: 0,
                is_chosen: true,
                skipped: None,
            }],
            ..Explanation::default()
        })
    };
    module.register_method("status", status).unwrap();
    module.register_method("explain", explain).unwrap();
    module
}

/// Guards against wrong usage that exits like a failure, and against help that
/// needs an address.
#[test]
fn usage() {
    let version = format!("yuccalatchctl {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(expect(&["--version"], "", 0).0, version);
    assert!(expect(&["--help"], "", 0).0.contains("Exit codes:"));
    let wrong: [&[&str]; 9] = [
        &[],
        &["tickets"],
        &["ticket", "check"],
        &["ticket", "list"],
        &["status"],
        &["--unknown"],
        &["ticket", "show", "x", "--platform", "127.0.0.1:1"],
        &["--platform", "nowhere", "ticket", "list"],
        &["--timeout-ms", "0", "key", "digest"],
    ];
    for args in wrong {
        assert!(expect(args, "", 2).1.contains("--help"), "{args:?}");
    }
}

/// Guards against a digest of the line end or an echo of the key.
#[test]
fn key_digest() {
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    assert_eq!(expect(&["key", "digest"], "abc\n", 0).0, digest);
    assert_eq!(expect(&["key", "digest"], "abc", 0).0, digest);
    let (out, err) = expect(&["key", "digest"], "secret key\n", 1);
    assert!(!out.contains("secret") && !err.contains("secret"));
    expect(&["key", "digest"], "", 1);
}

/// Guards against a ticket that cannot go from its file into force.
#[test]
fn ticket_life() {
    let standin = start("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = standin.address().to_string();
    let run = |args: &[&str], input: &str, code| {
        let mut all = vec!["--platform", &address];
        all.extend_from_slice(args);
        expect(&all, input, code)
    };
    let base = base_text();
    let (out, _) = run(&["ticket", "check", "-"], base, 0);
    assert_eq!(out, "the ticket fits revision 0\n");
    let (out, _) = run(&["ticket", "submit", "-"], base, 0);
    assert_eq!(out, "ticket 1 was accepted as revision 1\n");
    let (out, _) = run(&["ticket", "submit", "-", "--json"], base, 0);
    let reply: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (&reply["revision"], &reply["is_repeat"]),
        (&1.into(), &true.into())
    );
    run(&["ticket", "check", "-"], base, 0);

    let other = base.replace("first configuration", "another");
    let (_, err) = run(&["ticket", "submit", "-"], &other, 1);
    assert!(err.contains("other content"), "{err}");
    let dangling = base
        .replace("\"ticket\": 1", "\"ticket\": 2")
        .replace("\"organisation\": \"acme\"", "\"organisation\": \"nobody\"");
    let (_, err) = run(&["ticket", "submit", "-"], &dangling, 1);
    assert!(err.contains("-:9:48: key `acme-1` refers to"), "{err}");
    let (_, err) = run(&["ticket", "check", "-", "--json"], "{", 1);
    let reply: serde_json::Value = serde_json::from_str(&err).unwrap();
    assert_eq!(reply["error"]["kind"], "ticket_invalid");
    let (_, err) = run(&["ticket", "check", "no-such-file.json"], "", 1);
    assert!(err.contains("no-such-file.json"));

    let (out, _) = run(&["ticket", "show", "1"], "", 0);
    let shown: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(shown["ticket"]["author"], "ines");
    run(&["ticket", "show", "5"], "", 1);
    let (out, _) = run(&["ticket", "list"], "", 0);
    let rows: Vec<_> = out.lines().collect();
    assert!(rows[0].starts_with("TICKET  REVISION  AUTHOR"), "{out}");
    assert!(rows[1].starts_with("1       1         ines"), "{out}");
}

/// Guards against an outage that looks like a refusal.
#[test]
fn unreachable() {
    // The port of an outgoing connection is taken, but nothing listens on it.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let address = connection.local_addr().unwrap().to_string();
    let quick = ["--timeout-ms", "500"];
    let ticket = ["--platform", &address, "ticket", "submit", "-"];
    let (_, err) = expect(&[&quick[..], &ticket].concat(), base_text(), 3);
    assert!(err.contains("nothing was changed"), "{err}");
    let status = ["--entry", &address, "status"];
    expect(&[&quick[..], &status].concat(), "", 3);
}

/// Guards against replies of an entry that are not shown or that control the
/// terminal.
#[test]
fn entry_replies() {
    let entry = start_entry().to_string();
    let (out, _) = expect(&["--entry", &entry, "status"], "", 0);
    assert!(out.contains("waiting for: entry-9"), "{out}");
    let (out, _) = expect(&["--entry", &entry, "status", "--json"], "", 0);
    let status: FleetStatus = serde_json::from_str(&out).unwrap();
    assert_eq!(status.config.revision, 7);
    let (out, _) = expect(&["--entry", &entry, "explain", "--path", "/x"], "", 0);
    assert!(out.contains("route /x,"), "{out}");
    assert!(
        out.contains("t?1     3        10        20          0            chosen"),
        "{out}"
    );
}
