//! The binary's command line: exit codes and errors.

mod harness;

use harness::command::{fennelpin_cli, finish, run};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

const GOOD: &str = r#"{"version":3,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","route_class":"pure","deadline_ms":1000,"service":"s"}],"services":[{"name":"s"}]}"#;

#[rstest]
#[case::help(&["--help"], 0, "control-plane")]
#[case::help_of_a_command(&["config", "--help"], 0, "rollback")]
#[case::exit_codes_in_help(&["--help"], 0, "2 wrong input")]
#[case::version(&["version"], 0, "fennelpin-cli 0.")]
#[case::codes(&["codes"], 0, "120  412")]
#[case::bash(&["completion", "bash"], 0, "complete")]
#[case::zsh(&["completion", "zsh"], 0, "fennelpin-cli")]
#[case::fish(&["completion", "fish"], 0, "fennelpin-cli")]
#[case::elvish(&["completion", "elvish"], 0, "fennelpin-cli")]
fn output_when_asked_for_then_printed(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] text: &str,
) {
    let done = run(args);
    assert_eq!(done.code, code, "{}", done.stderr);
    assert!(done.stdout.contains(text), "{}", done.stdout);
    assert_eq!(done.stderr, "");
}

#[rstest]
#[case::no_command(&[], "COMMAND")]
#[case::unknown_command(&["nope"], "nope")]
#[case::unknown_option(&["version", "--loud"], "--loud")]
#[case::no_settings(&["control-plane"], "--settings")]
#[case::no_members(&["status"], "--control")]
#[case::bad_address(&["status", "--control", "here"], "here")]
#[case::bad_wait(&["status", "--control", "127.0.0.1:1", "--wait", "0"], "between 0.1 and 3600")]
#[case::bad_level(&["--log", "loud", "version"], "loud")]
#[case::bad_format(&["--log-format", "xml", "version"], "xml")]
#[case::bad_shell(&["completion", "tcsh"], "tcsh")]
#[case::missing_settings(&["proxy", "--settings", "/nowhere.json"], "/nowhere.json")]
#[case::missing_file(&["config", "check", "/nowhere.json"], "/nowhere.json")]
#[case::missing_operator_file(&["--operator", "/nowhere.toml", "version"], "/nowhere.toml")]
#[case::rewrite_of_a_running_store(&["store", "rewrite", "/nowhere"], "--stopped")]
fn exit_code_when_input_is_wrong_then_2(#[case] args: &[&str], #[case] text: &str) {
    let done = run(args);
    assert_eq!(done.code, 2, "{}", done.stderr);
    assert!(done.stderr.contains(text), "{}", done.stderr);
    assert_eq!(done.stdout, "");
}

#[rstest]
#[case::unknown_key("lease_ms = 900\nlaese = 1", "\"laese\"")]
#[case::wrong_type("lease_ms = \"long\"", "\"lease_ms\"")]
#[case::out_of_bounds("stall_ms = 1", "\"stall_ms\": 1 is not between")]
#[case::no_toml("lease_ms =", "operator.toml")]
fn operator_file_when_invalid_then_key_and_file_are_named(#[case] text: &str, #[case] key: &str) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("operator.toml");
    std::fs::write(&file, text).unwrap();
    let path = file.to_str().unwrap();
    for args in [
        vec!["--operator", path, "version"],
        vec!["config", "check", "--operator-file", path],
    ] {
        let done = run(&args);
        assert_eq!(done.code, 2);
        assert!(
            done.stderr.contains(key) && done.stderr.contains("operator.toml"),
            "{}",
            done.stderr
        );
    }
}

#[test]
fn environment_when_set_then_goes_over_the_file() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("operator.toml");
    std::fs::write(&file, "lease_ms = 700\ncounters_s = 9\n").unwrap();
    let check = |name: &str, value: &str| {
        let mut command = fennelpin_cli();
        finish(
            command
                .args(["config", "check", "--operator-file"])
                .arg(&file)
                .env(name, value),
        )
    };
    let done = check("FENNELPIN_CLI_LEASE_MS", "800");
    assert!(
        done.stdout.contains("lease_ms: 800") && done.stdout.contains("counters_s: 9"),
        "{}",
        done.stdout
    );
    let done = check("FENNELPIN_CLI_LEASE", "800");
    assert_eq!(done.code, 2);
    assert!(
        done.stderr.contains("FENNELPIN_CLI_") && done.stderr.contains("\"lease\""),
        "{}",
        done.stderr
    );
}

#[rstest]
#[case::good(GOOD, 0, "version 3, 1 routes, 1 services")]
#[case::no_json("{", 2, "(100)")]
#[case::unknown_service(&GOOD.replace("\"service\":\"s\"", "\"service\":\"t\""), 2, "(101): r: t")]
#[case::no_deadline(&GOOD.replace("1000", "0"), 2, "(104): r")]
#[case::bad_field(&GOOD.replace("pure", "poor"), 2, "(107)")]
fn configuration_when_checked_then_errors_are_named(
    #[case] text: &str,
    #[case] code: i32,
    #[case] says: &str,
) {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("c.json");
    std::fs::write(&file, text).unwrap();
    let done = run(&["config", "check", file.to_str().unwrap()]);
    assert_eq!(done.code, code);
    assert!(
        (done.stdout.clone() + &done.stderr).contains(says),
        "{}{}",
        done.stdout,
        done.stderr
    );
}

#[test]
fn exit_code_when_nobody_listens_then_1() {
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let done = run(&["status", "--control", &free]);
    assert_eq!(done.code, 1);
    assert!(done.stderr.contains(&free), "{}", done.stderr);
}

/// A member that answers one call after the other with these texts.
fn scripted(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
                head.push(byte[0]);
            }
            let text = String::from_utf8(head).unwrap().to_ascii_lowercase();
            let length = text
                .split("content-length: ")
                .nth(1)
                .unwrap()
                .split('\r')
                .next()
                .unwrap();
            let mut body = vec![0; length.parse().unwrap()];
            stream.read_exact(&mut body).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    addr
}

fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn exit_code_when_rejected_then_3() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("c.json");
    std::fs::write(&file, GOOD).unwrap();
    let old = GOOD.replace(":3,", ":2,");
    let no = r#"{"code":120,"reason":"another version is in force","detail":"version 9"}"#;
    let member = scripted(vec![
        answer("200 OK", &old),
        answer("412 Precondition Failed", no),
    ]);
    let done = run(&[
        "config",
        "apply",
        "--control",
        &member.to_string(),
        file.to_str().unwrap(),
    ]);
    assert_eq!(done.code, 3);
    let text = &done.stderr;
    assert!(
        text.contains("code 120") && text.contains("another version is in force (version 9)"),
        "{text}"
    );
}

#[test]
fn call_when_answered_503_then_repeated_until_the_time_out() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("c.json");
    std::fs::write(&file, GOOD).unwrap();
    let busy = answer(
        "503 Service Unavailable",
        r#"{"code":200,"reason":"no primary is known here"}"#,
    );
    let old = answer("200 OK", &GOOD.replace(":3,", ":2,"));
    let path = file.to_str().unwrap();
    let member = scripted(vec![
        busy.clone(),
        old.clone(),
        busy.clone(),
        answer("200 OK", "{}"),
    ]);
    let done = run(&["config", "apply", "--control", &member.to_string(), path]);
    assert_eq!((done.code, done.stderr.as_str()), (0, ""));
    assert!(done.stdout.contains("on version 2"), "{}", done.stdout);

    let member = scripted(vec![old, busy]);
    let done = run(&[
        "config",
        "apply",
        "--wait",
        "0.3",
        "--control",
        &member.to_string(),
        path,
    ]);
    assert_eq!(done.code, 1);
    assert!(
        done.stderr.contains("no clear answer (code 200"),
        "{}",
        done.stderr
    );
}

#[test]
fn log_format_when_json_then_each_line_is_an_object() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("boot.json");
    // An address of this test's own, where nobody else takes the ports in between.
    let two = [(); 2].map(|()| TcpListener::bind("127.46.0.1:0").unwrap());
    let [free, inner] = two.map(|l| l.local_addr().unwrap());
    let disk = dir.path().join("disk");
    std::fs::create_dir(&disk).unwrap();
    let settings = serde_json::json!({"node_name": "m", "role": "r", "ip_addr": "127.46.0.1", "zone": "z",
        "port_range": [inner.port(), inner.port()], "bind": {"control": free}, "state_dir": disk,
        "bootstrap": true, "seed_nodes": [free]});
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut child = fennelpin_cli()
        .args([
            "--log-format",
            "json",
            "control-plane",
            "--until-input-ends",
            "--settings",
        ])
        .arg(&file)
        .stdin(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().unwrap()));
    let first: serde_json::Value = serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap();
    assert_eq!(
        (&first["level"], &first["message"]),
        (&"INFO".into(), &"member starting".into())
    );
    assert!(
        first["id"].is_number() && first["initial_voter"] == true,
        "{first}"
    );
    // The end of its input ends it in order.
    drop(child.stdin.take());
    for line in lines {
        let line = line.unwrap();
        assert!(
            serde_json::from_str::<serde_json::Value>(&line).is_ok(),
            "{line}"
        );
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn error_when_a_program_fails_then_logged() {
    let done = run(&[
        "--log-format",
        "json",
        "proxy",
        "--settings",
        "/nowhere.json",
    ]);
    assert_eq!(done.code, 2);
    let line: serde_json::Value = serde_json::from_str(done.stderr.trim()).unwrap();
    assert_eq!(line["level"], "ERROR");
    assert!(
        line["message"].as_str().unwrap().contains("/nowhere.json"),
        "{line}"
    );
}
