//! Locks, cells and watches during takeovers, on simulated time: which requests wait, how each is answered, and that
//! changes of locks aren't published to the fleet.

mod support;

use configuration::ResultCode;
use protocol::{Command, CoordinationRequest, Message};
use rstest::rstest;
use serde_json::Value;
use support::request_cluster::{Cluster, WithheldEvents};

const HOLD_MS: u32 = 3_000;

/// A client of a simulated cluster.
struct Client {
    cluster: Cluster,
    tickets_issued: u64,
}

impl Client {
    fn new(members: usize) -> Self {
        let mut cluster = Cluster::new(members);
        cluster.wait_for_primary();
        cluster.run_ms(2_000);
        Self {
            cluster,
            tickets_issued: 0,
        }
    }

    /// Sends a request to a member and returns its ticket.
    fn send(&mut self, member: usize, request: CoordinationRequest) -> u64 {
        self.tickets_issued += 1;
        let command = Command::Coordinate { request };
        self.cluster
            .send_command(member, self.tickets_issued, command);
        self.tickets_issued
    }

    /// Sends a request to a member and runs until it is answered.
    fn request(&mut self, member: usize, request: CoordinationRequest) -> (ResultCode, Value) {
        let ticket = self.send(member, request);
        let code = self.cluster.wait_for_answer(member, ticket);
        (code, self.answer_body(member, ticket))
    }

    fn answer_body(&self, member: usize, ticket: u64) -> Value {
        serde_json::from_str(&self.cluster.answer_text(member, ticket)).unwrap_or_default()
    }

    /// Sends a request to the members in turn until one gives a definite answer. Returns the time of the answer, in ms,
    /// too.
    fn request_until_definite(
        &mut self,
        members: &[usize],
        request: &CoordinationRequest,
    ) -> (ResultCode, Value, u64) {
        for member in members.iter().cycle().take(40) {
            let (code, body) = self.request(*member, request.clone());
            if code.status() < 500 {
                return (code, body, self.cluster.now_ms());
            }
        }
        panic!("no definite answer to {request:?}");
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

fn put(value: &str, expected_revision: Option<u64>) -> CoordinationRequest {
    CoordinationRequest::PutCell {
        name: "g.a".into(),
        value: value.into(),
        expected_revision,
    }
}

fn read() -> CoordinationRequest {
    CoordinationRequest::ReadCell { name: "g.a".into() }
}

fn members_except(cluster: &Cluster, excluded: usize, members: usize) -> Vec<usize> {
    assert!(!cluster.is_frozen(excluded) || members > 1);
    (0..members).filter(|n| *n != excluded).collect()
}

#[rstest]
#[case::isolated(false)]
#[case::frozen(true)]
fn lock_when_the_primary_is_lost_is_held_until_its_last_renewal_expires(#[case] is_frozen: bool) {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    let (code, body) = client.request(primary, acquire("a", 1));
    assert_eq!(code, ResultCode::Ok);
    client.cluster.run_ms(2_000);
    // The renewal is only in the primary's memory.
    let renewed_at = client.cluster.now_ms();
    let renew = CoordinationRequest::RenewLock {
        name: "l".into(),
        holder: "a".into(),
        fence: body["fence"].as_u64().unwrap(),
        hold_ms: HOLD_MS,
    };
    assert_eq!(client.request(primary, renew).0, ResultCode::Ok);
    if is_frozen {
        client.cluster.freeze(primary);
    } else {
        client.cluster.isolate(primary);
    }
    let remaining = members_except(&client.cluster, primary, 3);
    let mut attempt = 2;
    loop {
        attempt += 1;
        let (code, body, now) = client.request_until_definite(&remaining, &acquire("b", attempt));
        if code == ResultCode::Ok {
            assert!(now >= renewed_at + u64::from(HOLD_MS), "two holders");
            assert!(body["fence"].as_u64() > Some(1));
            break;
        }
        assert_eq!(code, ResultCode::LockHeld);
        assert!(
            now < renewed_at + 4 * u64::from(HOLD_MS),
            "the lock was never released"
        );
        client.cluster.run_ms(20);
    }
}

#[test]
fn primary_when_resumed_after_a_takeover_returns_no_old_value() {
    let mut client = Client::new(3);
    let old_primary = client.cluster.wait_for_primary();
    assert_eq!(
        client.request(old_primary, put("1", Some(0))).0,
        ResultCode::Ok
    );
    client.cluster.run_ms(500);
    client.cluster.freeze(old_primary);
    let remaining = members_except(&client.cluster, old_primary, 3);
    let (code, body, _) = client.request_until_definite(&remaining, &put("2", Some(1)));
    assert_eq!((code, &body["revision"]), (ResultCode::Ok, &Value::from(2)));
    // The read is queued at the frozen member; it was sent after the second put was acknowledged.
    let ticket = client.send(old_primary, read());
    client.cluster.thaw(old_primary);
    let code = client.cluster.wait_for_answer(old_primary, ticket);
    if code == ResultCode::Ok {
        assert_eq!(client.answer_body(old_primary, ticket)["value"], "2");
    }
}

#[test]
fn put_when_its_answer_is_lost_in_a_takeover_gets_its_first_revision() {
    let mut client = Client::new(3);
    let old_primary = client.cluster.wait_for_primary();
    assert_eq!(
        client.request(old_primary, put("1", Some(0))).0,
        ResultCode::Ok
    );
    assert_eq!(
        client.request(old_primary, put("2", Some(1))).0,
        ResultCode::Ok
    );
    client.cluster.stop(old_primary);
    let remaining = members_except(&client.cluster, old_primary, 3);
    let repeated = client.request_until_definite(&remaining, &put("2", Some(1)));
    assert_eq!(
        (repeated.0, &repeated.1["revision"]),
        (ResultCode::Ok, &Value::from(2))
    );
    let conflict = client.request_until_definite(&remaining, &put("3", Some(1)));
    assert_eq!(
        (conflict.0, &conflict.1["revision"]),
        (ResultCode::RevisionConflict, &Value::from(2))
    );
}

#[test]
fn put_when_not_yet_on_all_disks_is_invisible() {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    assert_eq!(client.request(primary, put("1", Some(0))).0, ResultCode::Ok);
    let watch = CoordinationRequest::Watch {
        group: "g.".into(),
        after: 1,
        wait_ms: 5_000,
    };
    let watch_ticket = client.send(primary, watch);
    client.cluster.withhold(WithheldEvents::WriteCompletions);
    let put_ticket = client.send(primary, put("2", Some(1)));
    let conflict_ticket = client.send(primary, put("3", Some(1)));
    client.cluster.run_ms(200);
    let (code, body) = client.request(primary, read());
    assert_eq!((code, &body["value"]), (ResultCode::Ok, &Value::from("1")));
    for ticket in [watch_ticket, put_ticket, conflict_ticket] {
        assert_eq!(client.cluster.answer(primary, ticket), None);
    }
    client.cluster.release();
    assert_eq!(
        client.cluster.wait_for_answer(primary, put_ticket),
        ResultCode::Ok
    );
    assert_eq!(
        client.cluster.wait_for_answer(primary, conflict_ticket),
        ResultCode::RevisionConflict
    );
    assert_eq!(
        client.cluster.wait_for_answer(primary, watch_ticket),
        ResultCode::Ok
    );
    assert_eq!(
        client.answer_body(primary, watch_ticket)["events"][0]["value"],
        "2"
    );
}

#[test]
fn request_when_sent_to_a_primary_is_answered_with_an_unknown_outcome() {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    client.cluster.withhold(WithheldEvents::WriteCompletions);
    let put_at_primary = client.send(primary, put("1", Some(0)));
    let other = (primary + 1) % 3;
    let put_elsewhere = client.send(other, put("2", None));
    client.cluster.run_ms(1_500);
    for (member, ticket) in [(primary, put_at_primary), (other, put_elsewhere)] {
        let code = client.cluster.answer(member, ticket);
        assert_eq!(code, Some(ResultCode::OutcomeUnknown));
        assert_eq!(code.map(ResultCode::status), Some(504));
    }
}

#[test]
fn request_when_no_primary_is_known_is_rejected_and_never_takes_effect() {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    let other = (primary + 1) % 3;
    (0..3)
        .filter(|n| *n != other)
        .for_each(|n| client.cluster.isolate(n));
    client.cluster.run_ms(5_000);
    let (code, _) = client.request(other, put("1", Some(0)));
    assert_eq!((code, code.status()), (ResultCode::NoPrimary, 503));
    client.cluster.heal();
    client.cluster.run_ms(5_000);
    assert_eq!(
        client.request_until_definite(&[other], &read()).0,
        ResultCode::NoCell
    );
}

#[test]
fn watch_when_the_primary_is_lost_continues_without_a_gap() {
    let mut client = Client::new(3);
    let old_primary = client.cluster.wait_for_primary();
    client.request(old_primary, put("1", Some(0)));
    client.request(old_primary, put("2", Some(1)));
    client.cluster.stop(old_primary);
    let remaining = members_except(&client.cluster, old_primary, 3);
    assert_eq!(
        client
            .request_until_definite(&remaining, &put("3", Some(2)))
            .0,
        ResultCode::Ok
    );
    let watch = CoordinationRequest::Watch {
        group: "g.".into(),
        after: 1,
        wait_ms: 0,
    };
    let (code, body, _) = client.request_until_definite(&remaining, &watch);
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
fn state_when_all_members_restart_and_one_loses_its_disk_is_kept() {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    client.request(primary, put("1", Some(0)));
    client.request(primary, acquire("a", 1));
    let number = CoordinationRequest::NextNumber { name: "n".into() };
    let (_, first) = client.request(primary, number.clone());
    client.cluster.run_ms(1_000);
    client.cluster.wipe(primary);
    (0..3)
        .filter(|n| *n != primary)
        .for_each(|n| client.cluster.restart(n));
    let members = [0, 1, 2];
    assert_eq!(
        client.request_until_definite(&members, &read()).1["value"],
        "1"
    );
    assert_eq!(
        client.request_until_definite(&members, &acquire("b", 2)).0,
        ResultCode::LockHeld
    );
    let next = client.request_until_definite(&members, &number).1["value"].as_u64();
    assert!(next > first["value"].as_u64());
}

#[test]
fn fleet_when_locks_change_gets_no_update_and_stays_in_contact() {
    let mut client = Client::new(3);
    let primary = client.cluster.wait_for_primary();
    let index_before = client.cluster.published_index(primary);
    for attempt in 0..20 {
        client.request(primary, acquire("a", attempt));
        client.cluster.run_ms(100);
    }
    assert_eq!(client.cluster.published_index(primary), index_before);
    let renewals = client
        .cluster
        .sent_messages(|m| matches!(m, Message::RenewLeaseWithFleetIndex { .. }));
    assert!(!renewals.is_empty());
    let now = std::time::Duration::from_millis(client.cluster.now_ms());
    for n in 0..3 {
        let contact = client
            .cluster
            .member(n)
            .unwrap()
            .primary_contact(now)
            .unwrap();
        assert_eq!(contact.fleet_index, index_before.unwrap_or(0), "member {n}");
        assert!(now - contact.at < support::LEASE, "member {n}");
    }
}
