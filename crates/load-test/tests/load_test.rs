//! `load-test` as a program: whole deployments, faults, and exit codes. The coordinator is the one that the workspace's
//! test run has built.

use load_test::clients::AttemptOutcome;
use load_test::record::ProcessEvent;
use load_test::run::{run, Options, Outcome};
use load_test::scenario::Scenario;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const TRAFFIC: &str = "[[traffic.shape]]\nkind = 'steady'\nrate = 40\n";
/// Small hosts without chance, so that a run says the same each time.
const FLEET: &str = "[fleet]\nhosts = 8\n[fleet.host]\npause_ms = [0, 0]\nerror_rate = 0\ncall_ms = 1\n\
    [[class]]\nname = 'near'\nshare = 1\nparts = [2, 3]\nwork_ms = 5\ngoal_ms = 2500\nlimit_ms = 5000\nrepeat = 'safe'\n";

fn dir(name: &str) -> PathBuf {
    let dir =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = dir(name).join("scenario.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn scenario(name: &str, more: &str) -> String {
    // A busy machine may delay a fake host's thread: the auditor's limits are not what is tested here.
    format!(
        "name = '{name}'\nlength_s = 4\n[audit]\nslack_ms = 500\n{FLEET}[traffic]\n{TRAFFIC}{more}"
    )
}

fn outcome(name: &str, more: &str) -> Outcome {
    let s = Scenario::parse(&scenario(name, more), Path::new(name)).unwrap();
    let o = Options {
        log: "info".into(),
        work: dir(name),
        ..Options::default()
    };
    run(&s, &o).unwrap()
}

fn run_program(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_load-test"))
        .args(args)
        .output()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
    )
}

/// What must hold of any run: all that was planned is accounted for, and no rule is broken.
fn assert_no_rule_broken(o: &Outcome) {
    assert_eq!(
        o.queries.len(),
        o.plan.0.len(),
        "every planned query has its record"
    );
    assert_eq!(
        o.figures.outcomes.values().sum::<u64>(),
        o.plan.0.len() as u64
    );
    assert!(
        o.violations.is_empty(),
        "{}",
        load_test::results::verdict(o)
    );
    assert!(o.crashed.is_empty(), "{:?}", o.crashed);
}

#[test]
fn no_rule_is_broken_when_both_fronts_are_driven() {
    let o = outcome("fronts", "[traffic.arrivals]\nprocess = 'poisson'\n");
    assert_no_rule_broken(&o);
    let text =
        scenario("opensearch", "").replace("[traffic]\n", "[traffic]\nfronts = ['opensearch']\n");
    let hosts = text.replace("hosts = 8\n", "hosts = 8\ndialect = 'opensearch'\n");
    for (name, text) in [("opensearch", text), ("opensearch-hosts", hosts)] {
        let s = Scenario::parse(&text, Path::new(name)).unwrap();
        let o = run(
            &s,
            &Options {
                log: "info".into(),
                work: dir(name),
                ..Options::default()
            },
        )
        .unwrap();
        assert_no_rule_broken(&o);
        assert!(
            o.figures.outcomes["served"] > 100,
            "{:?}",
            o.figures.outcomes
        );
    }
}

#[test]
fn queries_are_late_when_planned_while_a_coordinator_is_stopped() {
    let fault = "[[fault]]\nat_s = 1\nkind = 'coordinator-stall'\nwhich = [0]\nfor_s = 2\n";
    let o = outcome(
        "stall",
        &format!("[clients]\npatience = [1.0, 1.0]\n{fault}"),
    );
    assert_no_rule_broken(&o);
    let at = |life| o.processes.0.iter().find(|e| e.event == life).unwrap().at;
    let (stopped, went_on) = (at(ProcessEvent::Stopped), at(ProcessEvent::Continued));
    assert!(went_on - stopped >= 1_900_000);
    let mut held = 0;
    for q in &o.queries {
        let t = &q.tries[0];
        if t.coordinator == 0 && t.sent > stopped + 50_000 && t.sent < went_on {
            // Nothing was answered before the process went on, and the wait counts from the planned instant.
            assert!(
                t.ended >= went_on,
                "query {} was answered by a stopped process",
                q.query
            );
            assert!(q.ended - q.due >= went_on - q.due);
            held += 1;
        }
    }
    assert!(held > 20, "{held} queries met the stall");
    let late = o
        .queries
        .iter()
        .filter(|q| q.ended - q.due >= 1_000_000)
        .count();
    assert!(late > 10, "{late} were late by a second");
}

#[test]
fn open_requests_are_recorded_and_excused_when_a_coordinator_is_killed() {
    let faults = "[clients]\nnotice_s = [0.5, 0.5]\n\
        [[fault]]\nat_s = 0.4\nkind = 'host-slow'\nwhich = [0, 1, 2, 3, 4, 5, 6, 7]\nfor_s = 2\ntimes = 30\n\
        [[fault]]\nat_s = 1.2\nkind = 'coordinator-kill'\nwhich = [0]\nfor_s = 1\n";
    let o = outcome("kill", faults);
    assert_no_rule_broken(&o);
    let killed = o
        .processes
        .0
        .iter()
        .find(|e| e.event == ProcessEvent::Killed)
        .unwrap()
        .at;
    let held = o
        .queries
        .iter()
        .flat_map(|q| &q.tries)
        .filter(|t| t.coordinator == 0 && t.sent > 0);
    let open: Vec<_> = held
        .filter(|t| t.sent < killed && t.ended >= killed)
        .collect();
    assert!(!open.is_empty(), "requests were open when it was killed");
    for t in &open {
        let how = t.end;
        assert!(
            matches!(
                how,
                AttemptOutcome::Closed | AttemptOutcome::Cut | AttemptOutcome::NoConnection
            ),
            "{how:?}"
        );
    }
    let ready = o
        .processes
        .0
        .iter()
        .filter(|e| e.coordinator == 0 && e.event == ProcessEvent::Ready)
        .map(|e| e.at)
        .max();
    let back = o
        .queries
        .iter()
        .flat_map(|q| &q.tries)
        .filter(|t| t.coordinator == 0 && Some(t.sent) > ready);
    assert!(
        back.filter(|t| t.end.served()).count() > 0,
        "it serves again"
    );
}

/// Hosts that die, drain and come back cold while four cores of two coordinators want them.
#[test]
fn no_rule_is_broken_when_hosts_drain_and_restart_cold_under_four_cores() {
    let faults = "[[fault]]\nat_s = 0.3\nkind = 'host-crash'\nwhich = [0, 5]\nfor_s = 1\n\
        [[fault]]\nat_s = 0.5\nkind = 'host-release'\nwhich = [2]\nfor_s = 1.5\n\
        [[fault]]\nat_s = 1\nkind = 'host-silent'\nwhich = [7]\nfor_s = 2\n";
    let text = scenario("cores", faults).replace("hosts = 8\n", "hosts = 8\ncores = 4\n");
    let quick = "[fleet.list]\nadd_ms = [50, 200]\nnotice_ms = [50, 200]\nsilent_ms = [200, 400]\n[[class]]";
    let text = text.replacen("[[class]]", quick, 1);
    let s = Scenario::parse(&text, Path::new("cores")).unwrap();
    let o = run(
        &s,
        &Options {
            log: "info".into(),
            work: dir("cores"),
            ..Options::default()
        },
    )
    .unwrap();
    assert_no_rule_broken(&o);
    let told = |what: &fake_hosts::event_log::EventKind| {
        matches!(what, fake_hosts::event_log::EventKind::ListUpdateSent(_))
    };
    assert!(
        o.events.iter().filter(|e| told(&e.kind)).count() > 8,
        "drains and returns were told"
    );
    assert!(
        o.figures.outcomes["served"] > 80,
        "{:?}",
        o.figures.outcomes
    );
}

#[test]
fn results_and_plan_are_kept_when_a_run_ends() {
    let path = file(
        "results",
        &scenario(
            "results",
            "[[fault]]\nat_s = 1\nkind = 'host-drain'\nwhich = [1]\n",
        ),
    );
    let out = dir("results").join("out");
    let trace = dir("results").join("plan.jsonl");
    let (path, out, trace) = (
        path.to_str().unwrap(),
        out.to_str().unwrap(),
        trace.to_str().unwrap(),
    );
    let (code, said) = run_program(&["run", path, "--out", out, "--record", trace]);
    assert!(code == Some(0) || code == Some(4), "{said}");
    for name in [
        "summary.json",
        "windows.csv",
        "latency.hlog",
        "report.md",
        "rates.svg",
        "hosts.svg",
        "index.html",
    ] {
        assert!(
            Path::new(out).join(name).metadata().unwrap().len() > 100,
            "{name}"
        );
    }
    assert!(said.contains("rules: all kept"), "{said}");
    let digest = |said: &str| {
        said.split_once("plan ")
            .unwrap()
            .1
            .split([' ', ':'])
            .next()
            .unwrap()
            .to_owned()
    };
    let (_, shown) = run_program(&["trace", "show", path]);
    let (_, traced) = run_program(&["trace", "show", path, "--trace", trace]);
    assert_eq!(digest(&said), digest(&shown));
    assert_eq!(
        digest(&said),
        digest(&traced),
        "a recorded run is the plan again"
    );
    let (code, said) = run_program(&["compare", out, out]);
    assert!(
        code == Some(0) && said.contains("| latency p50 ms |"),
        "{said}"
    );
}

/// A program that answers everything with a whole answer of no parts in place of a coordinator.
#[test]
fn exit_code_and_timeline_are_given_when_a_rule_is_broken() {
    let liar = dir("liar").join("liar.sh");
    let listen = "sed -n 's/.*\"listen\": \"\\([^\"]*\\)\".*/\\1/p' \"$5\"";
    let text = format!(
        "#!/bin/sh\nexec {} target --listen \"$({listen})\"\n",
        env!("CARGO_BIN_EXE_load-test")
    );
    std::fs::write(&liar, text).unwrap();
    std::fs::set_permissions(&liar, std::fs::Permissions::from_mode(0o755)).unwrap();
    let path = file(
        "liar",
        &scenario("liar", "").replace("length_s = 4", "length_s = 1"),
    );
    let out = dir("liar").join("out");
    let (path, out) = (path.to_str().unwrap(), out.to_str().unwrap());
    let (code, said) = run_program(&["run", path, "--bin", liar.to_str().unwrap(), "--out", out]);
    assert_eq!(code, Some(3), "{said}");
    assert!(
        said.contains("BROKEN honest") && said.contains("marked whole with 0 of"),
        "{said}"
    );
    assert!(
        said.contains("try 0 sent to coordinator") && said.contains("due: near"),
        "{said}"
    );
}

#[test]
fn exit_code_is_2_when_a_file_is_bad() {
    let bad = file(
        "bad",
        &scenario("bad", "").replace("hosts = 8", "hosts = 0"),
    );
    let (code, said) = run_program(&["run", bad.to_str().unwrap()]);
    assert!(
        code == Some(2) && said.contains("fleet.hosts") && said.contains("scenario.toml"),
        "{said}"
    );
    let text = "name = 'x'\nlength_s = 4\n[traffic]\n[traffic.trace]\nfile = 'day.csv'\n";
    let path = file("trace", text);
    let day = path.with_file_name("day.csv");
    std::fs::write(&day, "at_us,class\n5,nearby-search\n4,nearby-search\n").unwrap();
    let (code, said) = run_program(&["run", path.to_str().unwrap()]);
    assert!(
        code == Some(2) && said.contains("day.csv: line 3: time goes back"),
        "{said}"
    );
    let (code, said) = run_program(&["run", path.to_str().unwrap(), "--bin", "/nowhere/fennelpin"]);
    assert!(code == Some(2), "{said}");
}

#[test]
fn run_is_void_and_no_query_dropped_when_descriptors_run_out() {
    let mut target = Command::new(env!("CARGO_BIN_EXE_load-test"))
        .args(["target", "--fixed-ms", "400"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(target.stdout.as_mut().unwrap())
        .read_line(&mut line)
        .unwrap();
    let addr = line.trim().rsplit(' ').next().unwrap();
    let path = file("descriptors", &scenario("descriptors", ""));
    // 40 queries a second for 0.4 s each want 16 connections beside what the runtime itself needs.
    let command = format!(
        "ulimit -n 30; exec {} load {} --target {addr} --threads 1 --rate 150 --length 2",
        env!("CARGO_BIN_EXE_load-test"),
        path.display()
    );
    let out = Command::new("sh").args(["-c", &command]).output().unwrap();
    let said = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
    target.kill().unwrap();
    target.wait().unwrap();
    assert_eq!(out.status.code(), Some(4), "{said}");
    assert!(
        said.contains("VOID: ") && said.contains("descriptor"),
        "{said}"
    );
    let planned: u64 = said
        .split_once(" of ")
        .unwrap()
        .1
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let ends = said
        .lines()
        .find_map(|l| l.strip_prefix("- queries by how they ended: "))
        .unwrap();
    let ended: u64 = ends
        .split(", ")
        .map(|e| e.rsplit(' ').next().unwrap().parse::<u64>().unwrap())
        .sum();
    assert_eq!(ended, planned, "{said}");
}

#[test]
fn printed_addresses_answer_when_a_deployment_is_up() {
    let path = file("up", &scenario("up", ""));
    let mut child = Command::new(env!("CARGO_BIN_EXE_load-test"))
        .args(["up", path.to_str().unwrap()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let curl = lines.find(|l| l.contains("curl ")).expect("a curl line");
    let url = curl
        .split("http://")
        .nth(1)
        .unwrap()
        .split(' ')
        .next()
        .unwrap();
    let (addr, target) = url.split_once('/').unwrap();
    let headers: String = curl
        .split("-H '")
        .skip(1)
        .map(|h| format!("{}\r\n", h.split('\'').next().unwrap()))
        .collect();
    let body = curl
        .split("-d '")
        .nth(1)
        .unwrap()
        .split('\'')
        .next()
        .unwrap();
    let mut stream = TcpStream::connect(addr).unwrap();
    let request = format!(
        "POST /{target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("\"full\":true"),
        "{answer}"
    );
    assert!(lines.any(|l| l.contains("Ctrl-C")));
    assert!(Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(
        TcpStream::connect(addr).is_err(),
        "no coordinator outlives the lab"
    );
}
