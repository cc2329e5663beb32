//! The operators' commands against a running system.

mod harness;

use harness::cluster::{reserve_ports, TestCluster, NET};
use harness::command::{run, CommandOutput};
use serde_json::Value;
use std::path::Path;

/// A system of one member, and its operator.
struct Operator {
    cluster: TestCluster,
}

impl Operator {
    fn new() -> Operator {
        Operator {
            cluster: TestCluster::with_default_settings(1, 0),
        }
    }

    /// Writes a file for a command. Returns its path.
    fn file(&self, name: &str, text: &str) -> String {
        let path = self.cluster.processes.plan().dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Runs a command with the member's address.
    fn run(&self, command: &[&str], arguments: &[&str]) -> CommandOutput {
        let control = self.cluster.control(1).to_string();
        run(&[command, &["--control", &control], arguments].concat())
    }

    /// Applies a configuration, which has to be accepted.
    fn apply(&self, file: &str) {
        assert_eq!(self.run(&["config", "apply"], &[file]).code, 0);
    }
}

fn configuration(version: u64, path: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","hostname":"h","path_prefix":"{path}","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

#[test]
fn configuration_when_applied_then_shown_compared_and_rolled_back() {
    let operator = Operator::new();
    let first = operator.file("first.json", &configuration(4, "/a/"));
    let second = operator.file("second.json", &configuration(9, "/b/"));

    assert_applied_and_compared(&operator, &first, &second);
    assert_amended(&operator);
    assert_rolled_back(&operator, &first, &second);
    assert_history(&operator);
}

/// The first configuration and then the second one is applied; in between, both are compared with what is in force.
fn assert_applied_and_compared(operator: &Operator, first: &str, second: &str) {
    let done = operator.run(&["config", "apply"], &[first]);
    assert_eq!(
        (done.code, done.stdout.as_str()),
        (0, "taken: version 4, 1 routes, 1 services (on version 0)\n"),
        "{done:?}"
    );
    let done = operator.run(&["config", "show"], &[]);
    assert_eq!(done.stdout.trim(), configuration(4, "/a/"));

    let done = operator.run(&["config", "diff"], &[first]);
    assert_eq!((done.code, done.stdout.lines().count()), (0, 1), "{done:?}");
    let done = operator.run(&["config", "diff"], &[second]);
    assert_eq!(done.code, 4);
    assert!(
        done.stdout.contains("~ route r: ") && done.stdout.contains("/b/"),
        "{done:?}"
    );

    // Builds on something else than what is in force.
    let done = operator.run(&["config", "apply"], &["--base", "3", second]);
    assert_eq!(done.code, 3);
    assert!(done.stderr.contains("code 120"), "{done:?}");
    operator.apply(second);
    // The same file again is no change: its version is in force already.
    let done = operator.run(&["config", "apply"], &["--base", "4", second]);
    assert_eq!(done.code, 0, "{done:?}");
}

fn assert_amended(operator: &Operator) {
    let amendment = operator.file(
        "amendment.json",
        r#"{"version":12,"upsert":{"services":[{"name":"t"}]}}"#,
    );
    let done = operator.run(&["config", "apply"], &["--amend", &amendment]);
    assert!(
        done.stdout
            .contains("version 12, 1 routes, 2 services (on version 9)"),
        "{done:?}"
    );
}

/// Version 4 is applied again; version 5 is kept nowhere and needs its file.
fn assert_rolled_back(operator: &Operator, first: &str, second: &str) {
    let done = operator.run(&["config", "rollback"], &["4"]);
    assert_eq!(
        done.stdout, "taken: version 13, 1 routes, 1 services (version 4 again, on version 12)\n",
        "{done:?}"
    );
    assert_eq!(
        operator.run(&["config", "show"], &[]).stdout.trim(),
        configuration(13, "/a/")
    );
    assert_eq!(
        operator
            .run(&["config", "show"], &["--version", "9"])
            .stdout
            .trim(),
        configuration(9, "/b/")
    );
    assert_eq!(
        operator
            .run(&["config", "diff"], &["--version", "4", first])
            .code,
        0
    );

    let done = operator.run(&["config", "rollback"], &["5"]);
    assert_eq!(done.code, 1);
    assert!(
        done.stderr.contains("version 5 is kept at no member"),
        "{done:?}"
    );
    let done = operator.run(
        &["config", "rollback"],
        &["5", "--file", second, "--version", "20"],
    );
    assert!(done.stdout.contains("taken: version 20"), "{done:?}");
}

fn assert_history(operator: &Operator) {
    let done = operator.run(&["config", "history"], &[]);
    let versions: Vec<&str> = done
        .stdout
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().next().unwrap())
        .collect();
    assert_eq!(versions, ["4", "9", "12", "13", "20"]);
    assert!(
        done.stdout.lines().skip(1).all(|l| l.ends_with("core-1")),
        "{done:?}"
    );
}

#[test]
fn configuration_when_invalid_then_rejected_without_a_call() {
    let operator = Operator::new();
    let bad = operator.file(
        "bad.json",
        &configuration(4, "/a/").replace("\"name\":\"s\"", "\"name\":\"t\""),
    );
    let done = operator.run(&["config", "apply"], &[&bad]);
    assert_eq!(done.code, 2);
    assert!(done.stderr.contains("(101): r: s"), "{done:?}");
    let amendment = operator.file(
        "amendment.json",
        r#"{"version":1,"upsert":{"routes":[{"name":"q"}]}}"#,
    );
    let done = operator.run(&["config", "apply"], &["--amend", &amendment]);
    assert_eq!(done.code, 2, "{done:?}");
}

#[test]
fn status_when_asked_then_tells_membership_and_members() {
    let operator = Operator::new();
    let first = operator.file("first.json", &configuration(4, "/a/"));
    operator.apply(&first);
    let done = operator.run(&["status"], &["--hosts"]);
    assert_eq!(done.code, 0);
    for line in [
        "primary: core-1",
        "replicas: core-1",
        "voters: core-1",
        "configuration: version 4, 1 routes",
    ] {
        assert!(done.stdout.contains(line), "{}", done.stdout);
    }
    let json: Value = serde_json::from_str(&operator.run(&["status"], &["--json"]).stdout).unwrap();
    assert_eq!(json[0]["member"]["acts"], true);
    assert_eq!(json[0]["ledger"]["version"], 4);
}

#[test]
fn store_when_inspected_verified_and_rewritten_then_member_keeps_its_state() {
    let mut operator = Operator::new();
    let first = operator.file("first.json", &configuration(4, "/a/"));
    operator.apply(&first);
    let dir = operator.cluster.processes.plan().disk(1);
    let store = |verb: &str, more: &[&str], dir: &Path| {
        run(&[&["store", verb], more, &[dir.to_str().unwrap()]].concat())
    };
    let done = store("inspect", &[], &dir);
    assert_eq!(done.code, 0);
    assert!(
        done.stdout.contains("ledger: whole") && done.stdout.contains("identity: whole"),
        "{done:?}"
    );
    operator.cluster.kill(1);
    assert_eq!(store("verify", &[], &dir).code, 0);
    let done = store("rewrite", &["--stopped"], &dir);
    assert_eq!(done.code, 0, "{done:?}");
    // It comes back as itself, with what it had acknowledged.
    operator.cluster.processes.start_all().unwrap();
    assert_eq!(
        operator.run(&["config", "show"], &[]).stdout.trim(),
        configuration(4, "/a/")
    );
    operator.cluster.kill(1);
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
    assert!(done.stderr.contains("'ledger' doesn't open"), "{done:?}");
    assert_eq!(
        store(
            "inspect",
            &[],
            &operator.cluster.processes.plan().dir.join("nowhere")
        )
        .code,
        1
    );
}

#[test]
fn local_when_run_then_all_requests_are_served() {
    let (port, _reservation) = reserve_ports();
    let (net, port) = (NET.to_string(), port.to_string());
    let done = run(&[
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
        done.stdout.contains(" 0 failed") && done.stdout.contains("edge-2"),
        "{}",
        done.stdout
    );
}

#[test]
fn locks_and_cells_when_listed_then_show_holders_and_values() {
    let operator = Operator::new();
    let members = fennelpin_cli::control_client::ControlClient {
        addresses: vec![operator.cluster.control(1)],
        timeout: std::time::Duration::from_secs(10),
    };
    let post = |name: &str, body: &str| {
        let call = fennelpin_cli::control_client::ControlCall {
            name,
            base_version: None,
            body: Some(body.as_bytes()),
        };
        assert_eq!(members.call(&call).unwrap().status, 200, "{name}");
    };
    post(
        "Locks.Begin/night",
        r#"{"holder":"desk-1","hold_ms":60000}"#,
    );
    post("Cells.Replace/plan.a", r#"{"value":"ready","enabled":0}"#);
    let locks = operator.run(&["locks", "list"], &[]);
    assert!(locks.stdout.contains("night"), "{}", locks.stdout);
    assert!(locks.stdout.contains("desk-1"), "{}", locks.stdout);
    let groups = operator.run(&["cells", "list"], &[]);
    assert!(groups.stdout.contains("plan."), "{}", groups.stdout);
    let cells = operator.run(&["cells", "list"], &["plan."]);
    assert!(cells.stdout.contains("ready"), "{}", cells.stdout);
    assert_eq!(operator.run(&["locks", "free"], &["night"]).code, 0);
    let locks = operator.run(&["locks", "list"], &[]);
    assert!(!locks.stdout.contains("night"), "{}", locks.stdout);
    post(
        "Locks.Begin/night",
        r#"{"holder":"desk-2","hold_ms":60000}"#,
    );
}
