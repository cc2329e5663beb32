//! Incident "locks": applications' calls for locks, numbers, cells and watches were answered 404, code 300 ("no such
//! call"), at every member and on every day. None of them was ever served: all that they could earn was lost, and at the
//! end of a day no lock could be taken any more. No member knew these calls; nothing that had been accepted was lost.
//!
//! Shown by the cases below on members that nothing disturbs: each call got 404 before the calls were built.

#[path = "harness/mod.rs"]
mod harness;

use fennelpin_cli::control_client::{ControlAnswer, ControlCall};
use harness::callers::call_until_conclusive;
use harness::cluster::TestCluster;
use rstest::rstest;
use serde_json::{json, Value};

const MEMBERS: [u8; 3] = [1, 2, 3];

/// An application that calls one member after the other until it gets a clear answer.
struct Application<'c> {
    cluster: &'c TestCluster,
}

impl Application<'_> {
    fn call(&self, name: &str, body: Option<Value>) -> ControlAnswer {
        let mut members: Vec<_> = MEMBERS.iter().map(|n| self.cluster.control(*n)).collect();
        let text = body.map(|body| body.to_string());
        let call = ControlCall {
            name,
            base_version: None,
            body: text.as_deref().map(str::as_bytes),
        };
        call_until_conclusive(&mut members, &call)
    }

    fn post(&self, name: &str, body: Value) -> (u16, Value) {
        read(&self.call(name, Some(body)))
    }

    fn get(&self, name: &str) -> (u16, Value) {
        read(&self.call(name, None))
    }
}

fn read(answer: &ControlAnswer) -> (u16, Value) {
    let body = serde_json::from_slice(&answer.body).unwrap();
    (answer.status, body)
}

fn number(answer: &(u16, Value), field: &str) -> u64 {
    assert_eq!(answer.0, 200, "{answer:?}");
    answer.1[field].as_u64().unwrap()
}

#[test]
fn lock_when_taken_is_held_until_its_holder_gives_it_back() {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    let take = |holder: &str| json!({"holder": holder, "hold_ms": 30_000});
    let fence = number(&application.post("Locks.Begin/l1", take("a")), "fence");
    assert_eq!(application.post("Locks.Begin/l1", take("b")).0, 409);
    let renewal = json!({"holder": "a", "fence": fence, "hold_ms": 30_000});
    assert_eq!(application.post("Locks.Heartbeat/l1", renewal).0, 200);
    let release = json!({"holder": "a", "fence": fence});
    assert_eq!(application.post("Locks.Finish/l1", release.clone()).0, 200);
    assert_eq!(application.post("Locks.Finish/l1", release).0, 200);
    let next = number(&application.post("Locks.Begin/l1", take("b")), "fence");
    assert!(next > fence, "{next} after {fence}");
    let lost = json!({"holder": "a", "fence": fence, "hold_ms": 30_000});
    assert_eq!(application.post("Locks.Heartbeat/l1", lost).0, 409);
}

#[test]
fn numbers_when_asked_for_rise() {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    let mut last = 0;
    for _ in 0..10 {
        let value = number(&application.post("numbers/n1", json!({})), "value");
        assert!(value > last, "{value} after {last}");
        last = value;
    }
}

#[test]
fn cell_when_put_is_read_back_and_conflicts_are_told() {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    assert_eq!(application.get("Cells.Read/g1.a").0, 404);
    let put = |value: &str, revision: u64| json!({"value": value, "enabled": revision});
    let first = number(
        &application.post("Cells.Replace/g1.a", put("x", 0)),
        "revision",
    );
    let again = number(
        &application.post("Cells.Replace/g1.a", put("x", 0)),
        "revision",
    );
    assert_eq!(again, first, "a put that arrives again");
    let conflict = application.post("Cells.Replace/g1.a", put("y", 0));
    assert_eq!((conflict.0, &conflict.1["revision"]), (412, &json!(first)));
    let second = number(
        &application.post("Cells.Replace/g1.a", put("y", first)),
        "revision",
    );
    assert!(second > first);
    let read = application.get("Cells.Read/g1.a");
    assert_eq!(read.0, 200);
    assert_eq!(read.1["value"], "y");
    assert_eq!(read.1["revision"], second);
}

#[test]
fn cell_when_put_without_a_revision_is_put_whatever_it_had() {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    let put = |value: &str| {
        let body = json!({"value": value});
        number(&application.post("Cells.Replace/g1.a", body), "revision")
    };
    let (first, second) = (put("x"), put("y"));
    assert!(second > first);
    assert_eq!(put("x"), first, "a put that arrives again");
    let read = application.get("Cells.Read/g1.a");
    assert_eq!(
        (&read.1["value"], &read.1["revision"]),
        (&json!("y"), &json!(second))
    );
}

#[test]
fn watch_when_resumed_tells_each_put_once_and_in_order() {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    let put = |name: &str, value: &str, revision: u64| {
        let body = json!({"value": value, "enabled": revision});
        number(
            &application.post(&format!("Cells.Replace/{name}"), body),
            "revision",
        )
    };
    let start = put("g2.a", "1", 0);
    let present = application.get("watch/g2.?after=0&wait_ms=1000");
    assert_eq!(number(&present, "revision"), start);
    let second = put("g2.b", "2", 0);
    let third = put("g2.a", "3", start);
    put("g3.a", "4", 0);
    let told = application.get(&format!("watch/g2.?after={start}&wait_ms=1000"));
    assert_eq!(number(&told, "revision"), third);
    let expected = json!([
        {"name": "g2.b", "value": "2", "revision": second},
        {"name": "g2.a", "value": "3", "revision": third},
    ]);
    assert_eq!(told.1["events"], expected);
    let nothing = application.get(&format!("watch/g2.?after={third}&wait_ms=100"));
    assert_eq!(number(&nothing, "revision"), third);
    assert_eq!(nothing.1["events"], json!([]));
}

#[rstest]
#[case::no_holder("Locks.Begin/l1", json!({"hold_ms": 1000}))]
#[case::no_time("Locks.Begin/l1", json!({"holder": "a", "hold_ms": 0}))]
#[case::no_name("Locks.Begin/", json!({"holder": "a", "hold_ms": 1000}))]
#[case::no_value("Cells.Replace/g.a", json!({"enabled": 0}))]
#[case::revision_is_text("Cells.Replace/g.a", json!({"value": "x", "enabled": "0"}))]
fn call_when_malformed_gets_a_clear_error(#[case] name: &str, #[case] body: Value) {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    assert_eq!(application.post(name, body).0, 400);
}

#[rstest]
#[case::take("Locks.Begin/l1", Some(r#"{"holder":"a","hold_ms":3000}"#), &[200])]
#[case::renew("Locks.Heartbeat/l1", Some(r#"{"holder":"a","fence":1,"hold_ms":3000}"#), &[409])]
#[case::give_back("Locks.Finish/l1", Some(r#"{"holder":"a","fence":1}"#), &[200])]
#[case::number("numbers/n1", Some("{}"), &[200])]
#[case::put("Cells.Replace/g1.a", Some(r#"{"value":"x","enabled":0}"#), &[200])]
#[case::read("Cells.Read/g1.b", None, &[404])]
#[case::watch("watch/g1.?after=0&wait_ms=100", None, &[200])]
fn coordination_call_when_made_is_served(
    #[case] name: &str,
    #[case] body: Option<&str>,
    #[case] expected: &[u16],
) {
    let cluster = TestCluster::new(3, 0);
    let application = Application { cluster: &cluster };
    let body = body.map(|text| serde_json::from_str(text).unwrap());
    let answer = application.call(name, body);
    assert!(expected.contains(&answer.status), "{:?}", answer.result());
    assert_ne!(answer.result().0, 300, "no such call");
}
