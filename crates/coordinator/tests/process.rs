//! The coordinator as a process: its command line, exit codes, signals and shutdown.
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

/// Writes a file with a name that is unique for this test process. Returns its path.
fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs `check-config`. Returns the exit code and the output.
fn check_config(name: &str, config: &str, operator: Option<&str>) -> (Option<i32>, String) {
    let mut command = binary();
    command
        .args(["check-config", "--config"])
        .arg(temporary_file(name, config));
    if let Some(text) = operator {
        command
            .arg("--operator")
            .arg(temporary_file(&format!("{name}.toml"), text));
    }
    let result = command.output().unwrap();
    (
        result.status.code(),
        String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned(),
    )
}

#[test]
fn an_invalid_configuration_exits_with_2_and_names_the_key() {
    let valid_config = || -> Value {
        serde_json::from_str(&config("127.0.0.1:1", &[], &settings(), None)).unwrap()
    };
    assert_eq!(
        check_config("good", &valid_config().to_string(), None).0,
        Some(0)
    );
    // The limits of the platform's smallest machine. Refusing them made the process fail at every start.
    let mut small = valid_config();
    small["limits"] = json!({"sockets": 256, "memory_mb": 32});
    assert_eq!(check_config("small", &small.to_string(), None).0, Some(0));
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
        let mut invalid = valid_config();
        invalid[key] = value;
        let (code, output) = check_config(&format!("invalid{n}"), &invalid.to_string(), None);
        assert!(
            code == Some(2) && output.contains(key),
            "{key}: {code:?} {output}"
        );
    }
    for number in [json!(0), json!(4_000_000_000u32), json!(-1), json!(null)] {
        let mut invalid = valid_config();
        invalid["settings"]["balancers"] = number.clone();
        let (code, output) = check_config("balancers", &invalid.to_string(), None);
        assert!(
            code == Some(2) && output.contains("balancers"),
            "{number}: {code:?} {output}"
        );
    }
    // Settings that are zero, huge or negative were once accepted without an error.
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
            let mut invalid = valid_config();
            invalid["settings"].pointer_mut(parent).unwrap()[key] = value.clone();
            let (code, output) = check_config("extreme", &invalid.to_string(), None);
            assert!(
                code == Some(2) && output.contains(key),
                "{key}: {value}: {code:?} {output}"
            );
        }
    }
    for limit in ["sockets", "memory_mb"] {
        let mut invalid = valid_config();
        invalid["limits"] = json!({limit: 1u64 << 60});
        let (code, output) = check_config("limits", &invalid.to_string(), None);
        assert!(
            code == Some(2) && output.contains(limit),
            "{limit}: {code:?} {output}"
        );
    }
    let mut alone = valid_config();
    alone["settings"]["balancers"] = json!(1);
    assert_eq!(check_config("alone", &alone.to_string(), None).0, Some(0));
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
        let (code, output) =
            check_config(&format!("op{n}"), &valid_config().to_string(), Some(&text));
        assert!(
            code == Some(2) && output.contains(key),
            "{key}: {code:?} {output}"
        );
    }
    assert_eq!(
        binary().arg("serve").output().unwrap().status.code(),
        Some(2),
        "no PROXY_CONFIG"
    );
}

/// The example files for operators must match the settings of this deployment's classes.
#[test]
fn the_operators_examples_are_valid() {
    let mut deployment_settings = settings();
    for (n, name) in ["nearby-search", "fleet-report", "ride-booking"]
        .into_iter()
        .enumerate()
    {
        deployment_settings["classes"][n]["name"] = name.into();
    }
    deployment_settings["tenants"][0]["name"] = "coop-anfa".into();
    let text = config("127.0.0.1:1", &[], &deployment_settings, None);
    for example in [
        include_str!("../../../deploy/opensearch.toml"),
        include_str!("../../../deploy/cores.toml"),
    ] {
        let (code, output) = check_config("example", &text, Some(example));
        assert_eq!(code, Some(0), "{output}");
    }
}

/// Kills a child process when its test ends, also by a panic: left running, it would keep the runner's output open.
struct ChildGuard(Child);

impl std::ops::Deref for ChildGuard {
    type Target = Child;
    fn deref(&self) -> &Child {
        &self.0
    }
}

impl std::ops::DerefMut for ChildGuard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the coordinator process. Returns it with its log and its address for clients.
fn serve(path: &PathBuf) -> (ChildGuard, BufReader<ChildStderr>, String) {
    serve_with(path, None)
}

/// Starts the coordinator process, with an operator's file if given. Returns as [`serve`].
fn serve_with(
    path: &PathBuf,
    operator: Option<&PathBuf>,
) -> (ChildGuard, BufReader<ChildStderr>, String) {
    let mut command = binary();
    command
        .arg("serve")
        .env("PROXY_CONFIG", path)
        .stderr(Stdio::piped());
    if let Some(operator) = operator {
        command.arg("--operator").arg(operator);
    }
    let mut child = ChildGuard(command.stdout(Stdio::null()).spawn().unwrap());
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let line = line_with(&mut log, "listening on ");
    let addr = line.rsplit(' ').next().unwrap().to_owned();
    (child, log, addr)
}

/// Reads the log up to a line that contains `words`. Returns that line.
fn line_with(log: &mut BufReader<ChildStderr>, words: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the log ended without '{words}'"
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

/// SIGHUP must not end the process. An invalid file is ignored, the discovery address of a valid one is used.
#[test]
fn sighup_reloads_the_configuration() {
    let (old, _old_lines) = discovery();
    let (new, _new_lines) = discovery();
    let text = |discovery: &str| config("127.0.0.1:0", &[], &settings(), Some(discovery));
    let path = temporary_file("reload", &text(&old));
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
fn after_sigterm_the_process_exits_with_0_once_all_requests_are_answered() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(300));
        Act::Serve(format!("v{}", s.shard))
    });
    let members = [member(0, &h.addr, 0, "Ready")];
    let path = temporary_file("serve", &config("127.0.0.1:0", &members, &settings(), None));
    let (mut child, mut log, addr) = serve(&path);
    let mut client = Client::new(&addr);
    client.query("near", "q1", 3000, &[0]);
    until("the part is out", || ledger.all().len() == 1);
    signal(&child, "-TERM");
    assert_eq!(client.read().0, 200);
    // New connections are still accepted for a short time.
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

/// A second SIGTERM and a SIGHUP while a request is in flight must not interrupt accepted requests.
#[test]
fn signals_after_sigterm_lose_no_answer() {
    let ledger = Ledger::default();
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let h = host(0, false, &ledger, move |s| {
        let _ = wait.lock().unwrap().recv_timeout(PATIENCE);
        Act::Serve(format!("v{}", s.shard))
    });
    let members = [member(0, &h.addr, 0, "Ready")];
    let path = temporary_file("twice", &config("127.0.0.1:0", &members, &settings(), None));
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

/// With four cores a signal reaches all of them, and none ends before it has answered its requests.
#[test]
fn four_cores_apply_sighup_and_all_stop_on_sigterm() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(300));
        Act::Serve(format!("v{}", s.shard))
    });
    let (old, _old_lines) = discovery();
    let (new, new_lines) = discovery();
    let members = [member(0, &h.addr, 0, "Ready")];
    let text = |discovery: &str| config("127.0.0.1:0", &members, &settings(), Some(discovery));
    let path = temporary_file("four", &text(&old));
    let operator = temporary_file("four.toml", "[cores]\ncount = 4\npin = true\n");
    let (mut child, mut log, addr) = serve_with(&path, Some(&operator));
    std::fs::write(&path, text(&new)).unwrap();
    signal(&child, "-HUP");
    line_with(&mut log, "list: from");
    // The new discovery's updates reach all cores; a host that they don't name is gone on each.
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
        "no log line of some core's clients: {rest}"
    );
    assert!(!rest.contains("a core has ended"), "{rest}");
}
