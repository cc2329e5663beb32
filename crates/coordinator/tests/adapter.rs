//! Tests of the adapter process on small batches written by hand.

use std::io::Write;
use std::process::{Command, Stdio};

const OPTIONS: &str = r#"{"az":"a","azs":["a"],"balancers":1,"step":5.0,"new_key":[1],
"caps":{"max_attempts":3,"second_copies":true,"may_cancel":true,"retry_after":true,"max_retry_after":500.0},
"classes":[{"name":"get","goal_time":1000.0,"hard_limit":3000.0,"idempotency":"retryable"}],
"family_info":{"sets":1,"width":1},"stats":{"how":"piggyback","names":["busy_reqs"]},"service_type":"fanout"}"#;

/// Runs the adapter on an input. Returns its standard output, its standard error, and whether it exited successfully.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fennelpin-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (text(out.stdout), text(out.stderr), out.status.success())
}

fn start(who: u32) -> String {
    let options = OPTIONS.replace('\n', "");
    format!("start {who} 42 {options}\nsnapshot_rows 0 1\nm 10.0.0.1:80 a std 0 1 1 -\nroster_change {who} 2 0 1\n")
}

fn query(who: u32, id: &str, part: &str) -> String {
    format!("job_in {who} {id} get - - 4000.0 - 7 -1 1 0\njob_in {who} {part} get - - 4000.0 - 7 0 1 0\n")
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(run("frame 1.5\nover_to_you\n").0, "ack\n");
}

#[test]
fn a_query_is_sent_and_answered() {
    let first = format!(
        "frame 1000.0\n{}{}over_to_you\n",
        start(3),
        query(3, "q-1", "p-1")
    );
    let second = "frame 1020.5\nattempt_end 3 p-1 0 10.0.0.1:80 200 20.5 1 0\nover_to_you\n";
    let (out, err, ok) = run(&format!("{first}{second}"));
    assert!(ok && err.is_empty(), "{err}");
    let lines: Vec<&str> = out.lines().collect();
    let send = lines
        .iter()
        .find(|l| l.starts_with("submit_to"))
        .expect("a send");
    let fields: Vec<&str> = send.split(' ').collect();
    assert_eq!(
        (fields[1], fields[2], fields[4]),
        ("3", "p-1", "10.0.0.1:80")
    );
    assert!(fields[3].parse::<f64>().unwrap() > 0.0);
    assert!(lines.contains(&"wrap_up 3 q-1 1"));
    assert_eq!(lines.iter().filter(|l| **l == "ack").count(), 2);
}

#[test]
fn only_instances_with_an_event_act_and_an_exited_one_does_not() {
    let both = format!("frame 1.0\n{}{}over_to_you\n", start(1), start(2));
    let (out, _, _) = run(&format!(
        "{both}frame 2.0\nexit 1\n{}over_to_you\n",
        query(2, "q", "p")
    ));
    let second = out.split("ack\n").nth(1).unwrap();
    assert!(second.contains("submit_to 2 p"));
    assert!(
        second.lines().all(|l| l.split(' ').nth(1) == Some("2")),
        "{second}"
    );
}

#[test]
fn instances_with_the_same_events_return_the_same_actions() {
    let batch = format!("frame 1.0\n{}{}over_to_you\n", start(1), query(1, "q", "p"));
    let two = format!(
        "frame 1.0\n{}{}{}{}over_to_you\n",
        start(1),
        start(2),
        query(2, "q2", "p2"),
        query(1, "q", "p")
    );
    let actions_of_instance_1 = |out: String| {
        out.lines()
            .filter(|l| l.contains(" 1 "))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        actions_of_instance_1(run(&batch).0),
        actions_of_instance_1(run(&two).0)
    );
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    let cases = [
        ("frame x\n", "line 1: frame: 'clock'"),
        (
            "frame 1.0\nstart 1 5 {\"step\":5}\n",
            "line 2: start: 'options': missing field `balancers`",
        ),
        (
            "frame 1.0\nsnapshot_rows 0 1\nover_to_you\n",
            "expected an 'm' line, found 'over_to_you'",
        ),
        ("submit_to 1\n", "line 1: 'submit_to' is outside a batch"),
    ];
    for (input, message) in cases {
        let (out, err, ok) = run(input);
        assert!(!ok && out.is_empty(), "{out}");
        assert!(err.contains(message) && err.lines().count() == 1, "{err}");
    }
    let event = format!("frame 1.0\n{}attempt_end 1 p 0 n 999 1 1 -\n", start(1));
    assert!(
        run(&event)
            .1
            .contains("line 6: attempt_end: 'how' has the unknown value '999'"),
        "{}",
        run(&event).1
    );
}

/// Bit 2 in the flags of a query marks a client's retry, if clients mark retries at all.
#[test]
fn a_clients_retry_mark_reaches_the_router() {
    for (marks, flags, action) in [
        (true, 3, "push_back"),
        (true, 1, "submit_to"),
        (false, 3, "push_back"),
    ] {
        let clients = format!("\"clients\":{{\"marks_retry\":{marks}}},\"step\"");
        let settings = start(1).replace("\"step\"", &clients);
        // 1.5 s of 3 s are left: a retry has missed its latency target, and an unmarked attempt is a first one. If
        // clients don't mark retries the typical timeout decides, here that of the query before.
        let (earlier_query, short_query) = (query(1, "q0", "p0"), query(1, "q", "p"));
        let short_query = short_query
            .replace("4000.0", "2500.0")
            .replace("-1 1 0", &format!("-1 1 {flags}"));
        let (out, err, _) = run(&format!(
            "frame 1000.0\n{settings}{earlier_query}{short_query}over_to_you\n"
        ));
        let id = if action == "submit_to" { "p " } else { "q " };
        assert!(
            out.contains(&format!("{action} 1 {id}")),
            "{marks} {flags}: {out}{err}"
        );
    }
}
