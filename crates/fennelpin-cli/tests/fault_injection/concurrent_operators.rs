//! Two operators send changes with the same version, answers are lost, primaries are killed: one change is confirmed, and
//! what was applied is never rejected.

use crate::harness::callers::{call_and_hang_up, call_until_conclusive, ChangeRequest, READ};
use crate::harness::cluster::TestCluster;
use crate::harness::wait_until;
use crate::harness::CALL_TIMEOUT;
use fennelpin_cli::control_client::{call_member, ControlAnswer};
use std::net::SocketAddr;
use std::sync::mpsc::channel;

const ALL: [u8; 3] = [1, 2, 3];
const ROUNDS: u64 = 30;
/// The primary is killed in one of this many rounds.
const KILL_EVERY: u64 = 5;
/// Both send the same change in one of this many rounds.
const SAME_EVERY: u64 = 3;

/// The members in the order in which an operator calls them.
fn members_from(cluster: &TestCluster, first: u64) -> Vec<SocketAddr> {
    let mut members: Vec<SocketAddr> = ALL.iter().map(|n| cluster.control(*n)).collect();
    members.rotate_left(first as usize % ALL.len());
    members
}

#[test]
fn changes_when_two_have_one_version_then_one_is_confirmed() {
    let mut cluster = TestCluster::new(3, 0);
    let first = ChangeRequest::new(0, 1, "first");
    assert_eq!(
        call_until_conclusive(&mut members_from(&cluster, 0), &first.call()).status,
        200
    );
    let mut acknowledged = vec![first];

    for round in 0..ROUNDS {
        let base = acknowledged.last().unwrap().version;
        let orders = match round % SAME_EVERY {
            0 => [
                ChangeRequest::new(base, base + 1, "both"),
                ChangeRequest::new(base, base + 1, "both"),
            ],
            _ => [
                ChangeRequest::new(base, base + 1, "a"),
                ChangeRequest::new(base, base + 1, "b"),
            ],
        };
        let kills = round % KILL_EVERY == KILL_EVERY - 1;
        let primary = kills.then(|| wait_until("somebody acts", || cluster.primary(&ALL)));
        let (sent, lost) = channel();
        let answers: Vec<ControlAnswer> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..2u64)
                .map(|k| {
                    let (sent, order) = (sent.clone(), &orders[k as usize]);
                    // In rounds in which the primary is killed, it is among those that are called first.
                    let start = primary.map_or(round + k, |p| u64::from(p) - 1 + k);
                    let mut members = members_from(&cluster, start);
                    scope.spawn(move || {
                        // The answer is lost. The same change is sent to another member.
                        call_and_hang_up(members[0], &order.call());
                        sent.send(()).unwrap();
                        members.rotate_left(1);
                        call_until_conclusive(&mut members, &order.call())
                    })
                })
                .collect();
            // Both answers are lost by now.
            (0..2).for_each(|_| lost.recv().unwrap());
            operators.into_iter().map(|o| o.join().unwrap()).collect()
        });
        if let Some(primary) = primary {
            // The primary may lose the later answers too: it is killed, and started again.
            cluster.kill(primary);
            cluster.start(primary);
        }
        check(&cluster, round, &orders, &answers, &mut acknowledged);
    }
    println!("{} orders confirmed in {ROUNDS} rounds", acknowledged.len());
}

#[test]
fn changes_when_primary_is_killed_then_one_is_confirmed() {
    let mut cluster = TestCluster::new(3, 0);
    let first = ChangeRequest::new(0, 1, "first");
    assert_eq!(
        call_until_conclusive(&mut members_from(&cluster, 0), &first.call()).status,
        200
    );
    let mut acknowledged = vec![first];
    for round in 1..=6 {
        let primary = cluster.wait_until_stable(&ALL);
        let base = acknowledged.last().unwrap().version;
        let orders = [
            ChangeRequest::new(base, base + 1, "a"),
            ChangeRequest::new(base, base + 1, "b"),
        ];
        // The primary has both changes when it is killed, and nobody reads its answers.
        orders
            .iter()
            .for_each(|order| call_and_hang_up(cluster.control(primary), &order.call()));
        cluster.kill(primary);
        let answers: Vec<ControlAnswer> = std::thread::scope(|scope| {
            let ask = |k: usize| {
                let (mut members, order) = (
                    members_from(&cluster, u64::from(primary) + k as u64),
                    &orders[k],
                );
                scope.spawn(move || call_until_conclusive(&mut members, &order.call()))
            };
            let asked = [ask(0), ask(1)];
            asked.into_iter().map(|a| a.join().unwrap()).collect()
        });
        cluster.start(primary);
        check(&cluster, round, &orders, &answers, &mut acknowledged);
    }
}

/// One of two different changes is confirmed; both are if they are equal. Every member confirms the winner again and
/// rejects the other one. An older change isn't rejected either.
fn check(
    cluster: &TestCluster,
    round: u64,
    orders: &[ChangeRequest; 2],
    answers: &[ControlAnswer],
    acknowledged: &mut Vec<ChangeRequest>,
) {
    let statuses: Vec<u16> = answers.iter().map(|a| a.status).collect();
    let same = orders[0] == orders[1];
    let expected: &[u16] = if same { &[200, 200] } else { &[200, 412] };
    let mut sorted = statuses.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, expected, "round {round}: {answers:?}");
    let winner = statuses.iter().position(|s| *s == 200).unwrap();
    for n in ALL {
        let again = call_until_conclusive(&mut [cluster.control(n)], &orders[winner].call());
        assert_eq!(
            again.status, 200,
            "round {round}: taken, and refused at core-{n}: {again:?}"
        );
        if !same {
            let other =
                call_until_conclusive(&mut [cluster.control(n)], &orders[1 - winner].call());
            assert_eq!(
                other.status, 412,
                "round {round}: both confirmed at core-{n}: {other:?}"
            );
        }
        let read = call_until_conclusive(&mut [cluster.control(n)], &READ);
        assert_eq!(
            String::from_utf8(read.body).unwrap(),
            orders[winner].body,
            "round {round} at core-{n}"
        );
    }
    acknowledged.push(orders[winner].clone());
    // An older change that is sent again is confirmed, or the answer is inconclusive.
    let older = &acknowledged[acknowledged.len() / 2];
    if let Ok(answer) = call_member(
        cluster.control(1 + (round % 3) as u8),
        &older.call(),
        CALL_TIMEOUT,
    ) {
        assert!(
            answer.status == 200 || answer.status >= 500,
            "round {round}: {older:?} refused: {answer:?}"
        );
    }
}
