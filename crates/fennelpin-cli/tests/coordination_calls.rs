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

const MEMBERS: [u8; 3] = [1, 2, 3];

fn call(cluster: &TestCluster, name: &str, body: Option<&str>) -> ControlAnswer {
    let mut members: Vec<_> = MEMBERS.iter().map(|n| cluster.control(*n)).collect();
    let call = ControlCall {
        name,
        base_version: None,
        body: body.map(str::as_bytes),
    };
    call_until_conclusive(&mut members, &call)
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
    let answer = call(&cluster, name, body);
    assert!(expected.contains(&answer.status), "{:?}", answer.result());
    assert_ne!(answer.result().0, 300, "no such call");
}
