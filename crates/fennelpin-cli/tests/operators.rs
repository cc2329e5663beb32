//! The operators' commands against a running system of one member.

use fennelpin_cli::local::cluster::{ClusterPlan, LocalCluster};
use serde_json::Value;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::Command;

struct Desk {
    fleet: LocalCluster,
    dir: tempfile::TempDir,
}

/// What a command printed, and its exit code.
#[derive(Debug)]
struct Done {
    code: i32,
    out: String,
    err: String,
}

fn fennelpin_cli(args: &[&str]) -> Done {
    let done = Command::new(env!("CARGO_BIN_EXE_fennelpin-cli"))
        .env_clear()
        .args(args)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Done {
        code: done.status.code().unwrap(),
        out: text(done.stdout),
        err: text(done.stderr),
    }
}

/// Addresses that other tests don't use at the same time.
fn place(net: u8) -> (u8, u16) {
    let free = TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), 0)).unwrap();
    (net, free.local_addr().unwrap().port().min(65_000))
}

impl Desk {
    fn new(net: u8) -> Desk {
        let dir = tempfile::tempdir().unwrap();
        let (net, port) = place(net);
        let program = env!("CARGO_BIN_EXE_fennelpin-cli").into();
        let plan = ClusterPlan {
            program,
            dir: dir.path().join("fleet"),
            net,
            port,
            members: 1,
            proxies: 0,
        };
        let mut fleet = LocalCluster::new(plan).unwrap();
        fleet.start_all().unwrap();
        Desk { fleet, dir }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// A command with the member's address.
    fn ask(&self, words: &[&str], rest: &[&str]) -> Done {
        let control = self.fleet.plan().control(1).to_string();
        fennelpin_cli(&[words, &["--control", &control], rest].concat())
    }
}

fn configuration(version: u64, path: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"{path}","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

#[test]
fn a_configuration_is_applied_compared_and_rolled_back() {
    let desk = Desk::new(41);
    let first = desk.file("first.json", &configuration(4, "/a/"));
    let second = desk.file("second.json", &configuration(9, "/b/"));

    let done = desk.ask(&["config", "apply"], &[&first]);
    assert_eq!(
        (done.code, done.out.as_str()),
        (0, "taken: version 4, 1 routes, 1 services (on version 0)\n"),
        "{done:?}"
    );
    let done = desk.ask(&["config", "show"], &[]);
    assert_eq!(done.out.trim(), configuration(4, "/a/"));

    let done = desk.ask(&["config", "diff"], &[&first]);
    assert_eq!((done.code, done.out.lines().count()), (0, 1), "{done:?}");
    let done = desk.ask(&["config", "diff"], &[&second]);
    assert_eq!(done.code, 4);
    assert!(
        done.out.contains("~ route r: ") && done.out.contains("/b/"),
        "{done:?}"
    );

    // Builds on something else than what is in force.
    let done = desk.ask(&["config", "apply"], &["--base", "3", &second]);
    assert_eq!(done.code, 3);
    assert!(done.err.contains("code 120"), "{done:?}");
    assert_eq!(desk.ask(&["config", "apply"], &[&second]).code, 0);
    // The same file again is no change: its version is in force already.
    let done = desk.ask(&["config", "apply"], &["--base", "4", &second]);
    assert_eq!(done.code, 0, "{done:?}");

    let amendment = desk.file(
        "amendment.json",
        r#"{"version":12,"upsert":{"services":[{"name":"t"}]}}"#,
    );
    let done = desk.ask(&["config", "apply"], &["--amend", &amendment]);
    assert!(
        done.out
            .contains("version 12, 1 routes, 2 services (on version 9)"),
        "{done:?}"
    );

    let done = desk.ask(&["config", "rollback"], &["4"]);
    assert_eq!(
        done.out, "taken: version 13, 1 routes, 1 services (version 4 again, on version 12)\n",
        "{done:?}"
    );
    assert_eq!(
        desk.ask(&["config", "show"], &[]).out.trim(),
        configuration(13, "/a/")
    );
    assert_eq!(
        desk.ask(&["config", "show"], &["--version", "9"])
            .out
            .trim(),
        configuration(9, "/b/")
    );
    assert_eq!(
        desk.ask(&["config", "diff"], &["--version", "4", &first])
            .code,
        0
    );

    let done = desk.ask(&["config", "rollback"], &["5"]);
    assert_eq!(done.code, 1);
    assert!(
        done.err.contains("version 5 is kept at no member"),
        "{done:?}"
    );
    let done = desk.ask(
        &["config", "rollback"],
        &["5", "--file", &second, "--version", "20"],
    );
    assert!(done.out.contains("taken: version 20"), "{done:?}");

    let done = desk.ask(&["config", "history"], &[]);
    let versions: Vec<&str> = done
        .out
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().next().unwrap())
        .collect();
    assert_eq!(versions, ["4", "9", "12", "13", "20"]);
    assert!(
        done.out.lines().skip(1).all(|l| l.ends_with("core-1")),
        "{done:?}"
    );
}

#[test]
fn an_invalid_configuration_is_refused_here_before_any_member_is_asked() {
    let desk = Desk::new(42);
    let bad = desk.file(
        "bad.json",
        &configuration(4, "/a/").replace("\"name\":\"s\"", "\"name\":\"t\""),
    );
    let done = desk.ask(&["config", "apply"], &[&bad]);
    assert_eq!(done.code, 2);
    assert!(done.err.contains("(101): r: s"), "{done:?}");
    let amendment = desk.file(
        "amendment.json",
        r#"{"version":1,"upsert":{"routes":[{"name":"q"}]}}"#,
    );
    let done = desk.ask(&["config", "apply"], &["--amend", &amendment]);
    assert_eq!(done.code, 2, "{done:?}");
}

#[test]
fn status_tells_view_and_members() {
    let desk = Desk::new(43);
    let first = desk.file("first.json", &configuration(4, "/a/"));
    assert_eq!(desk.ask(&["config", "apply"], &[&first]).code, 0);
    let done = desk.ask(&["status"], &["--hosts"]);
    assert_eq!(done.code, 0);
    for line in [
        "primary: core-1",
        "replicas: core-1",
        "voters: core-1",
        "configuration: version 4, 1 routes",
    ] {
        assert!(done.out.contains(line), "{}", done.out);
    }
    let json: Value = serde_json::from_str(&desk.ask(&["status"], &["--json"]).out).unwrap();
    assert_eq!(json[0]["member"]["acts"], true);
    assert_eq!(json[0]["ledger"]["version"], 4);
}

#[test]
fn a_members_files_are_inspected_verified_and_rewritten() {
    let mut desk = Desk::new(44);
    let first = desk.file("first.json", &configuration(4, "/a/"));
    assert_eq!(desk.ask(&["config", "apply"], &[&first]).code, 0);
    let dir = desk.fleet.plan().disk(1);
    let store = |verb: &str, more: &[&str], dir: &Path| {
        fennelpin_cli(&[&["store", verb], more, &[dir.to_str().unwrap()]].concat())
    };
    let done = store("inspect", &[], &dir);
    assert_eq!(done.code, 0);
    assert!(
        done.out.contains("ledger: whole") && done.out.contains("identity: whole"),
        "{done:?}"
    );
    desk.fleet.kill("core-1/control-plane");
    assert_eq!(store("verify", &[], &dir).code, 0);
    let done = store("rewrite", &["--stopped"], &dir);
    assert_eq!(done.code, 0, "{done:?}");
    // It comes back as itself, with what it had acknowledged.
    desk.fleet.start_all().unwrap();
    assert_eq!(
        desk.ask(&["config", "show"], &[]).out.trim(),
        configuration(4, "/a/")
    );
    desk.fleet.kill("core-1/control-plane");
    // A bit in the middle of what was synced.
    let file = std::fs::read_dir(&dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .find(|p| p.to_str().unwrap().contains("ledger"));
    let file = file.unwrap();
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[40] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let done = store("verify", &[], &dir);
    assert_eq!(done.code, 1, "{done:?}");
    assert!(done.err.contains("'ledger' doesn't open"), "{done:?}");
    assert_eq!(
        store("inspect", &[], &desk.dir.path().join("nowhere")).code,
        1
    );
}

#[test]
fn the_whole_system_runs_on_this_machine() {
    let (net, port) = place(45);
    let (net, port) = (net.to_string(), port.to_string());
    let done = fennelpin_cli(&[
        "local",
        "--members",
        "3",
        "--proxies",
        "2",
        "--hosts",
        "4",
        "--seconds",
        "1",
        "--rate",
        "20",
        "--net",
        &net,
        "--port",
        &port,
    ]);
    assert_eq!(done.code, 0, "{done:?}");
    assert!(
        done.out.contains(" 0 failed") && done.out.contains("edge-2"),
        "{}",
        done.out
    );
}
