//! The coordinator as a process: its command line, its exit codes, its end.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

mod support;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use support::*;

fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fennelpin"));
    for name in [
        "PROXY_NAME",
        "PROXY_LISTEN",
        "PROXY_DISCOVERY",
        "PROXY_CONFIG",
    ] {
        command.env_remove(name);
    }
    command
}

/// A file of this test process, by its name.
fn file(name: &str, text: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Checks a configuration: the exit code and what was said.
fn check(name: &str, config: &str, operator: Option<&str>) -> (Option<i32>, String) {
    let mut command = binary();
    command
        .args(["check-config", "--config"])
        .arg(file(name, config));
    if let Some(text) = operator {
        command
            .arg("--operator")
            .arg(file(&format!("{name}.toml"), text));
    }
    let out = command.output().unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
    )
}

#[test]
fn a_bad_configuration_ends_with_2_and_the_name_of_the_key() {
    let good = || -> Value {
        serde_json::from_str(&config("127.0.0.1:1", &[], &settings(), None)).unwrap()
    };
    assert_eq!(check("good", &good().to_string(), None).0, Some(0));
    // The smallest machine that the platform gives: refusing it was a crash at every start.
    let mut small = good();
    small["limits"] = json!({"sockets": 256, "memory_mb": 32});
    assert_eq!(check("small", &small.to_string(), None).0, Some(0));
    let cases: [(&str, Value); 9] = [
        ("discovery", json!(5)),
        ("limits", json!({"sockets": "many"})),
        ("listen", json!("nowhere")),
        ("discovery", json!("127.0.0.1:port")),
        ("seed", json!("xyz")),
        ("limits", json!({"sockets": 8})),
        ("limits", json!({"memory_mb": 1})),
        ("known", json!({"members": []})),
        ("settings", json!({"step": 5})),
    ];
    for (n, (key, value)) in cases.into_iter().enumerate() {
        let mut bad = good();
        bad[key] = value;
        let (code, said) = check(&format!("bad{n}"), &bad.to_string(), None);
        assert!(
            code == Some(2) && said.contains(key),
            "{key}: {code:?} {said}"
        );
    }
    for number in [json!(0), json!(4_000_000_000u32), json!(-1), json!(null)] {
        let mut bad = good();
        bad["settings"]["balancers"] = number.clone();
        let (code, said) = check("balancers", &bad.to_string(), None);
        assert!(
            code == Some(2) && said.contains("balancers"),
            "{number}: {code:?} {said}"
        );
    }
    // Settings that are zero, huge or negative were taken without a word.
    let (zero, huge, below) = (json!(0), json!(1e300), json!(-1));
    for (parent, key, values) in [
        ("", "step", vec![&zero, &huge, &below]),
        ("/safety", "drain_grace", vec![&huge, &below]),
        ("/caps", "connect_timeout", vec![&zero, &huge, &below]),
        ("/caps", "conn_idle", vec![&zero, &huge]),
        ("/caps", "max_retry_after", vec![&huge, &below]),
        ("/caps", "open_cap", vec![&zero, &huge, &below]),
        ("/caps", "streams_per_conn", vec![&zero, &huge]),
        ("/caps", "max_attempts", vec![&zero, &below]),
        ("/family_info", "sets", vec![&zero, &below]),
        ("/family_info", "bundle_max", vec![&zero]),
        (
            "/family_info",
            "class_floor",
            vec![&json!([2.0]), &json!([-1])],
        ),
        ("/classes/0", "goal_time", vec![&zero, &huge, &below]),
        ("/classes/0", "hard_limit", vec![&zero, &huge, &below]),
        (
            "/classes/0",
            "name",
            vec![&json!("report"), &json!("a/b"), &json!("_x"), &json!("")],
        ),
        ("/classes/2", "window", vec![&huge, &below]),
        ("", "classes", vec![&json!([])]),
    ] {
        for value in values {
            let mut bad = good();
            bad["settings"].pointer_mut(parent).unwrap()[key] = value.clone();
            let (code, said) = check("extreme", &bad.to_string(), None);
            assert!(
                code == Some(2) && said.contains(key),
                "{key}: {value}: {code:?} {said}"
            );
        }
    }
    for limit in ["sockets", "memory_mb"] {
        let mut bad = good();
        bad["limits"] = json!({limit: 1u64 << 60});
        let (code, said) = check("limits", &bad.to_string(), None);
        assert!(
            code == Some(2) && said.contains(limit),
            "{limit}: {code:?} {said}"
        );
    }
    let mut alone = good();
    alone["settings"]["balancers"] = json!(1);
    assert_eq!(check("alone", &alone.to_string(), None).0, Some(0));
    let index = "[opensearch]\n[[opensearch.index]]\nname = 'a'\n";
    let districts = "districts = {x = 0}";
    for (n, (text, key)) in [
        (
            format!("{index}class = 'far'\n{districts}"),
            "opensearch.index.class",
        ),
        (format!("{index}class = 'book'\n{districts}"), "key_header"),
        (
            format!("{index}class = 'near'\ntenant = 'x'\n{districts}"),
            "opensearch.index.tenant",
        ),
        (format!("{index}class = 'near'"), "districts"),
        ("hosts = 'telnet'".to_owned(), "hosts"),
        ("colour = 1".to_owned(), "colour"),
        ("[cores]\ncount = 0".to_owned(), "cores.count"),
        ("[cores]\ncount = 64".to_owned(), "cores.count"),
        ("[cores]\ncount = 'all'".to_owned(), "count"),
        (
            "[dns_sd]\nresponder = '127.0.0.1:53'\nservice = 'x'".to_owned(),
            "dns_sd.service",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        let (code, said) = check(&format!("op{n}"), &good().to_string(), Some(&text));
        assert!(
            code == Some(2) && said.contains(key),
            "{key}: {code:?} {said}"
        );
    }
    assert_eq!(
        binary().arg("serve").output().unwrap().status.code(),
        Some(2),
        "no PROXY_CONFIG"
    );
}

/// The file that operators start from must fit the settings of this deployment's classes.
#[test]
fn the_operators_example_is_sound() {
    let mut ours = settings();
    for (n, name) in ["nearby-search", "fleet-report", "ride-booking"]
        .into_iter()
        .enumerate()
    {
        ours["classes"][n]["name"] = name.into();
    }
    ours["tenants"][0]["name"] = "coop-anfa".into();
    let text = config("127.0.0.1:1", &[], &ours, None);
    for example in [
        include_str!("../../../deploy/opensearch.toml"),
        include_str!("../../../deploy/cores.toml"),
    ] {
        let (code, said) = check("example", &text, Some(example));
        assert_eq!(code, Some(0), "{said}");
    }
}

/// A child that ends with its test, whatever becomes of that: left over, it would hold the runner's output.
struct Guard(Child);

impl std::ops::Deref for Guard {
    type Target = Child;
    fn deref(&self) -> &Child {
        &self.0
    }
}

impl std::ops::DerefMut for Guard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The coordinator as a process, its log, and where it listens.
fn serve(path: &PathBuf) -> (Guard, BufReader<ChildStderr>, String) {
    serve_with(path, None)
}

/// The same with an operator's file.
fn serve_with(
    path: &PathBuf,
    operator: Option<&PathBuf>,
) -> (Guard, BufReader<ChildStderr>, String) {
    let mut command = binary();
    command
        .arg("serve")
        .env("PROXY_CONFIG", path)
        .stderr(Stdio::piped());
    if let Some(operator) = operator {
        command.arg("--operator").arg(operator);
    }
    let mut child = Guard(command.stdout(Stdio::null()).spawn().unwrap());
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let line = line_with(&mut log, "listening on ");
    let addr = line.rsplit(' ').next().unwrap().to_owned();
    (child, log, addr)
}

/// Reads the log up to a line with these words.
fn line_with(log: &mut BufReader<ChildStderr>, words: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "it ended before it said '{words}'"
        );
        if line.contains(words) {
            return line.trim_end().to_owned();
        }
    }
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([name, &child.id().to_string()])
        .status()
        .unwrap()
        .success());
}

/// Unhandled, SIGHUP ends the process. A bad file must cost nothing, a good one is followed.
#[test]
fn sighup_reads_the_configuration_again() {
    let (old, _old_lines) = discovery();
    let (new, _new_lines) = discovery();
    let text = |discovery: &str| config("127.0.0.1:0", &[], &settings(), Some(discovery));
    let path = file("reload", &text(&old));
    let (mut child, mut log, addr) = serve(&path);
    std::fs::write(&path, text("nowhere")).unwrap();
    signal(&child, "-HUP");
    assert!(line_with(&mut log, "the one before stays").contains("'discovery'"));
    assert_eq!(Client::new(&addr).ask("GET", "/_health", "", "").0, 200);
    std::fs::write(&path, text(&new)).unwrap();
    signal(&child, "-HUP");
    assert!(line_with(&mut log, "list: from").ends_with(&format!("from {old} to {new}")));
    signal(&child, "-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn sigterm_ends_it_with_0_after_all_answers() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(300));
        Act::Serve(format!("v{}", s.shard))
    });
    let members = [member(0, &h.addr, 0, "Ready")];
    let path = file("serve", &config("127.0.0.1:0", &members, &settings(), None));
    let (mut child, mut log, addr) = serve(&path);
    let mut client = Client::new(&addr);
    client.query("near", "q1", 3000, &[0]);
    until("the part is out", || ledger.all().len() == 1);
    signal(&child, "-TERM");
    assert_eq!(client.read().0, 200);
    // New connections are still taken for a moment.
    let mut late = Client::new(&addr);
    late.query("near", "q2", 3000, &[0]);
    assert_eq!(late.read().0, 200);
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let mut rest = String::new();
    log.read_to_string(&mut rest).unwrap();
    assert!(
        rest.contains("answered.served.full=2") && rest.contains("end=stopping"),
        "{rest}"
    );
}

/// SIGTERM again, and SIGHUP after it, while a request is out: neither cuts what was taken.
#[test]
fn signals_after_sigterm_cost_no_answer() {
    let ledger = Ledger::default();
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let h = host(0, false, &ledger, move |s| {
        let _ = wait.lock().unwrap().recv_timeout(PATIENCE);
        Act::Serve(format!("v{}", s.shard))
    });
    let members = [member(0, &h.addr, 0, "Ready")];
    let path = file("twice", &config("127.0.0.1:0", &members, &settings(), None));
    let (mut child, mut log, addr) = serve(&path);
    let mut client = Client::new(&addr);
    client.query("near", "q1", 3000, &[0]);
    until("the part is out", || ledger.all().len() == 1);
    signal(&child, "-TERM");
    line_with(&mut log, "stopping: ");
    signal(&child, "-TERM");
    signal(&child, "-HUP");
    line_with(&mut log, "configuration: ");
    go.send(()).unwrap();
    assert_eq!(client.read().0, 200);
    drop(client);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// The same with four cores: a signal reaches all of them, and none ends before it has answered.
#[test]
fn four_cores_follow_sighup_and_end_together_on_sigterm() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(300));
        Act::Serve(format!("v{}", s.shard))
    });
    let (old, _old_lines) = discovery();
    let (new, new_lines) = discovery();
    let members = [member(0, &h.addr, 0, "Ready")];
    let text = |discovery: &str| config("127.0.0.1:0", &members, &settings(), Some(discovery));
    let path = file("four", &text(&old));
    let operator = file("four.toml", "[cores]\ncount = 4\npin = true\n");
    let (mut child, mut log, addr) = serve_with(&path, Some(&operator));
    std::fs::write(&path, text(&new)).unwrap();
    signal(&child, "-HUP");
    line_with(&mut log, "list: from");
    // What the new discovery says reaches all cores: a host that it does not name is gone for each.
    let full = json!({"revision": 9, "complete": true, "members": members}).to_string();
    new_lines.send(full).unwrap();
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&addr)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.query("near", &format!("q{n}"), 3000, &[0]);
    }
    until("the parts are out", || ledger.all().len() >= 4);
    signal(&child, "-TERM");
    for client in &mut clients {
        assert!([200, 429].contains(&client.read().0));
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let mut rest = String::new();
    log.read_to_string(&mut rest).unwrap();
    assert!(
        rest.contains("stopped: ") && rest.contains("taken.queries=8"),
        "{rest}"
    );
    assert!(
        (0..4).all(|n| rest.contains(&format!("core={n}"))),
        "each core's clients ended there: {rest}"
    );
    assert!(!rest.contains("a core has ended"), "{rest}");
}
