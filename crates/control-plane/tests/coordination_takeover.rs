//! Locks, cells and watches while primaries come and go, on simulated time: who waits, who is told what, and that the
//! fleet isn't told of them.

mod support;

use configuration::ResultCode;
use protocol::{Command, CoordinationRequest, Message};
use rstest::rstest;
use serde_json::Value;
use support::request_cluster::{Cluster, WithheldEvents};

const HOLD_MS: u32 = 3_000;

struct Caller {
    cluster: Cluster,
    tickets: u64,
}

impl Caller {
    fn new(members: usize) -> Self {
        let mut cluster = Cluster::new(members);
        cluster.wait_for_primary();
        cluster.run_ms(2_000);
        Self {
            cluster,
            tickets: 0,
        }
    }

    fn send(&mut self, member: usize, request: CoordinationRequest) -> u64 {
        self.tickets += 1;
        let command = Command::Coordinate { request };
        self.cluster.send_command(member, self.tickets, command);
        self.tickets
    }

    fn call(&mut self, member: usize, request: CoordinationRequest) -> (ResultCode, Value) {
        let ticket = self.send(member, request);
        let code = self.cluster.wait_for_answer(member, ticket);
        (code, self.body(member, ticket))
    }

    fn body(&self, member: usize, ticket: u64) -> Value {
        serde_json::from_str(&self.cluster.answer_text(member, ticket)).unwrap_or_default()
    }

    /// Calls the members in turn until one gives a clear answer. Returns the time of the answer too.
    fn call_any(
        &mut self,
        members: &[usize],
        request: &CoordinationRequest,
    ) -> (ResultCode, Value, u64) {
        for member in members.iter().cycle().take(40) {
            let (code, body) = self.call(*member, request.clone());
            if code.status() < 500 {
                return (code, body, self.cluster.now_ms());
            }
        }
        panic!("no clear answer to {request:?}");
    }
}

fn acquire(holder: &str, attempt: u64) -> CoordinationRequest {
    CoordinationRequest::AcquireLock {
        name: "l".into(),
        holder: holder.into(),
        hold_ms: HOLD_MS,
        attempt,
    }
}

fn put(value: &str, expected: Option<u64>) -> CoordinationRequest {
    CoordinationRequest::PutCell {
        name: "g.a".into(),
        value: value.into(),
        expected_revision: expected,
    }
}

fn read() -> CoordinationRequest {
    CoordinationRequest::ReadCell { name: "g.a".into() }
}

fn others(cluster: &Cluster, without: usize, members: usize) -> Vec<usize> {
    assert!(!cluster.is_frozen(without) || members > 1);
    (0..members).filter(|n| *n != without).collect()
}

#[rstest]
#[case::cut(false)]
#[case::frozen(true)]
fn lock_when_the_primary_is_lost_is_held_for_the_whole_time_of_its_last_renewal(
    #[case] freezes: bool,
) {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    let (code, body) = caller.call(primary, acquire("a", 1));
    assert_eq!(code, ResultCode::Ok);
    caller.cluster.run_ms(2_000);
    // Renewed in the primary's memory alone.
    let renewed_at = caller.cluster.now_ms();
    let renew = CoordinationRequest::RenewLock {
        name: "l".into(),
        holder: "a".into(),
        fence: body["fence"].as_u64().unwrap(),
        hold_ms: HOLD_MS,
    };
    assert_eq!(caller.call(primary, renew).0, ResultCode::Ok);
    if freezes {
        caller.cluster.freeze(primary);
    } else {
        caller.cluster.isolate(primary);
    }
    let left = others(&caller.cluster, primary, 3);
    let mut attempt = 2;
    loop {
        attempt += 1;
        let (code, body, now) = caller.call_any(&left, &acquire("b", attempt));
        if code == ResultCode::Ok {
            assert!(now >= renewed_at + u64::from(HOLD_MS), "two holders");
            assert!(body["fence"].as_u64() > Some(1));
            break;
        }
        assert_eq!(code, ResultCode::LockHeld);
        assert!(
            now < renewed_at + 4 * u64::from(HOLD_MS),
            "never given away"
        );
        caller.cluster.run_ms(20);
    }
}

#[test]
fn primary_when_it_wakes_after_another_took_over_shows_no_old_value() {
    let mut caller = Caller::new(3);
    let old = caller.cluster.wait_for_primary();
    assert_eq!(caller.call(old, put("1", Some(0))).0, ResultCode::Ok);
    caller.cluster.run_ms(500);
    caller.cluster.freeze(old);
    let left = others(&caller.cluster, old, 3);
    let (code, body, _) = caller.call_any(&left, &put("2", Some(1)));
    assert_eq!((code, &body["revision"]), (ResultCode::Ok, &Value::from(2)));
    // The read waits at the sleeper; it was sent after the second put was acknowledged.
    let ticket = caller.send(old, read());
    caller.cluster.thaw(old);
    let code = caller.cluster.wait_for_answer(old, ticket);
    if code == ResultCode::Ok {
        assert_eq!(caller.body(old, ticket)["value"], "2");
    }
}

#[test]
fn put_when_its_answer_is_lost_in_a_takeover_gets_its_first_revision() {
    let mut caller = Caller::new(3);
    let old = caller.cluster.wait_for_primary();
    assert_eq!(caller.call(old, put("1", Some(0))).0, ResultCode::Ok);
    assert_eq!(caller.call(old, put("2", Some(1))).0, ResultCode::Ok);
    caller.cluster.stop(old);
    let left = others(&caller.cluster, old, 3);
    let again = caller.call_any(&left, &put("2", Some(1)));
    assert_eq!(
        (again.0, &again.1["revision"]),
        (ResultCode::Ok, &Value::from(2))
    );
    let conflict = caller.call_any(&left, &put("3", Some(1)));
    assert_eq!(
        (conflict.0, &conflict.1["revision"]),
        (ResultCode::RevisionConflict, &Value::from(2))
    );
}

#[test]
fn put_when_not_yet_on_all_disks_is_shown_to_nobody() {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    assert_eq!(caller.call(primary, put("1", Some(0))).0, ResultCode::Ok);
    let watch = CoordinationRequest::Watch {
        group: "g.".into(),
        after: 1,
        wait_ms: 5_000,
    };
    let watching = caller.send(primary, watch);
    caller.cluster.withhold(WithheldEvents::WriteCompletions);
    let putting = caller.send(primary, put("2", Some(1)));
    let conflicting = caller.send(primary, put("3", Some(1)));
    caller.cluster.run_ms(200);
    let (code, body) = caller.call(primary, read());
    assert_eq!((code, &body["value"]), (ResultCode::Ok, &Value::from("1")));
    for ticket in [watching, putting, conflicting] {
        assert_eq!(caller.cluster.answer(primary, ticket), None);
    }
    caller.cluster.release();
    assert_eq!(
        caller.cluster.wait_for_answer(primary, putting),
        ResultCode::Ok
    );
    assert_eq!(
        caller.cluster.wait_for_answer(primary, conflicting),
        ResultCode::RevisionConflict
    );
    assert_eq!(
        caller.cluster.wait_for_answer(primary, watching),
        ResultCode::Ok
    );
    assert_eq!(caller.body(primary, watching)["events"][0]["value"], "2");
}

#[test]
fn call_when_it_was_sent_to_a_primary_gets_no_promise_that_it_never_takes_effect() {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    caller.cluster.withhold(WithheldEvents::WriteCompletions);
    let put_at_primary = caller.send(primary, put("1", Some(0)));
    let other = (primary + 1) % 3;
    let put_elsewhere = caller.send(other, put("2", None));
    caller.cluster.run_ms(1_500);
    for (member, ticket) in [(primary, put_at_primary), (other, put_elsewhere)] {
        let code = caller.cluster.answer(member, ticket);
        assert_eq!(code, Some(ResultCode::OutcomeUnknown));
        assert_eq!(code.map(ResultCode::status), Some(504));
    }
}

#[test]
fn call_when_no_primary_is_known_gets_the_promise_and_is_kept_from_taking_effect() {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    let other = (primary + 1) % 3;
    (0..3)
        .filter(|n| *n != other)
        .for_each(|n| caller.cluster.isolate(n));
    caller.cluster.run_ms(5_000);
    let (code, _) = caller.call(other, put("1", Some(0)));
    assert_eq!((code, code.status()), (ResultCode::NoPrimary, 503));
    caller.cluster.heal();
    caller.cluster.run_ms(5_000);
    assert_eq!(caller.call_any(&[other], &read()).0, ResultCode::NoCell);
}

#[test]
fn watch_when_the_primary_is_lost_goes_on_without_a_gap() {
    let mut caller = Caller::new(3);
    let old = caller.cluster.wait_for_primary();
    caller.call(old, put("1", Some(0)));
    caller.call(old, put("2", Some(1)));
    caller.cluster.stop(old);
    let left = others(&caller.cluster, old, 3);
    assert_eq!(caller.call_any(&left, &put("3", Some(2))).0, ResultCode::Ok);
    let watch = CoordinationRequest::Watch {
        group: "g.".into(),
        after: 1,
        wait_ms: 0,
    };
    let (code, body, _) = caller.call_any(&left, &watch);
    assert_eq!(code, ResultCode::Ok);
    let values: Vec<&Value> = body["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| &e["value"])
        .collect();
    assert_eq!(values, ["2", "3"]);
}

#[test]
fn state_when_all_lose_power_and_one_its_disk_is_there() {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    caller.call(primary, put("1", Some(0)));
    caller.call(primary, acquire("a", 1));
    let number = CoordinationRequest::NextNumber { name: "n".into() };
    let (_, first) = caller.call(primary, number.clone());
    caller.cluster.run_ms(1_000);
    caller.cluster.wipe(primary);
    (0..3)
        .filter(|n| *n != primary)
        .for_each(|n| caller.cluster.restart(n));
    let members = [0, 1, 2];
    assert_eq!(caller.call_any(&members, &read()).1["value"], "1");
    assert_eq!(
        caller.call_any(&members, &acquire("b", 2)).0,
        ResultCode::LockHeld
    );
    let next = caller.call_any(&members, &number).1["value"].as_u64();
    assert!(next > first["value"].as_u64());
}

#[test]
fn fleet_when_locks_change_is_told_nothing_and_stays_in_contact() {
    let mut caller = Caller::new(3);
    let primary = caller.cluster.wait_for_primary();
    let before = caller.cluster.published_index(primary);
    for attempt in 0..20 {
        caller.call(primary, acquire("a", attempt));
        caller.cluster.run_ms(100);
    }
    assert_eq!(caller.cluster.published_index(primary), before);
    let renewals = caller
        .cluster
        .sent_messages(|m| matches!(m, Message::RenewLeaseWithFleetIndex { .. }));
    assert!(!renewals.is_empty());
    let now = std::time::Duration::from_millis(caller.cluster.now_ms());
    for n in 0..3 {
        let contact = caller
            .cluster
            .member(n)
            .unwrap()
            .primary_contact(now)
            .unwrap();
        assert_eq!(contact.fleet_index, before.unwrap_or(0), "member {n}");
        assert!(now - contact.at < support::LEASE, "member {n}");
    }
}
