//! Two operators under one number, whose answers get lost, across kills of the primary: one is confirmed, and what
//! was taken is never refused.

use crate::callers::{hang_up, until_clear, Order, READ, SECOND};
use crate::stage::{until, Stage};
use fennelpin_cli::control_client::{call_member, ControlAnswer};
use std::net::SocketAddr;
use std::sync::mpsc::channel;

const ALL: [u8; 3] = [1, 2, 3];
const ROUNDS: u64 = 30;
/// In each of so many rounds the primary is killed.
const KILL_EVERY: u64 = 5;
/// In each of so many rounds both send the very same order.
const SAME_EVERY: u64 = 3;

/// The members in the order in which an operator asks them.
fn from(stage: &Stage, first: u64) -> Vec<SocketAddr> {
    let mut members: Vec<SocketAddr> = ALL.iter().map(|n| stage.control(*n)).collect();
    members.rotate_left(first as usize % ALL.len());
    members
}

#[test]
fn of_two_orders_under_one_number_one_is_confirmed_and_what_is_taken_is_never_refused() {
    let mut stage = Stage::new(3, 0);
    let first = Order::new(0, 1, "first");
    assert_eq!(until_clear(&mut from(&stage, 0), &first.call()).status, 200);
    let mut taken = vec![first];

    for round in 0..ROUNDS {
        let base = taken.last().unwrap().version;
        let orders = match round % SAME_EVERY {
            0 => [
                Order::new(base, base + 1, "both"),
                Order::new(base, base + 1, "both"),
            ],
            _ => [
                Order::new(base, base + 1, "a"),
                Order::new(base, base + 1, "b"),
            ],
        };
        let kills = round % KILL_EVERY == KILL_EVERY - 1;
        let primary = kills.then(|| until("somebody acts", || stage.acting(&ALL)));
        let (sent, lost) = channel();
        let answers: Vec<ControlAnswer> = std::thread::scope(|scope| {
            let operators: Vec<_> = (0..2u64)
                .map(|k| {
                    let (sent, order) = (sent.clone(), &orders[k as usize]);
                    // The primary among those that are asked first, in the rounds in which it is killed.
                    let start = primary.map_or(round + k, |p| u64::from(p) - 1 + k);
                    let mut members = from(&stage, start);
                    scope.spawn(move || {
                        // The answer is lost; sent again, unchanged, elsewhere.
                        hang_up(members[0], &order.call());
                        sent.send(()).unwrap();
                        members.rotate_left(1);
                        until_clear(&mut members, &order.call())
                    })
                })
                .collect();
            // Both answers are lost by now.
            (0..2).for_each(|_| lost.recv().unwrap());
            operators.into_iter().map(|o| o.join().unwrap()).collect()
        });
        if let Some(primary) = primary {
            // And those of the round itself: killed, and started again.
            stage.kill(primary);
            stage.start(primary);
        }
        judge(&stage, round, &orders, &answers, &mut taken);
    }
    println!("{} orders confirmed in {ROUNDS} rounds", taken.len());
}

#[test]
fn a_primary_killed_while_two_operators_wait_confirms_one_and_refuses_nothing_taken() {
    let mut stage = Stage::new(3, 0);
    let first = Order::new(0, 1, "first");
    assert_eq!(until_clear(&mut from(&stage, 0), &first.call()).status, 200);
    let mut taken = vec![first];
    for round in 1..=6 {
        let primary = stage.settled(&ALL);
        let base = taken.last().unwrap().version;
        let orders = [
            Order::new(base, base + 1, "a"),
            Order::new(base, base + 1, "b"),
        ];
        // Each is at the primary, and under way, when it dies: nobody reads what it says.
        orders
            .iter()
            .for_each(|order| hang_up(stage.control(primary), &order.call()));
        stage.kill(primary);
        let answers: Vec<ControlAnswer> = std::thread::scope(|scope| {
            let ask = |k: usize| {
                let (mut members, order) =
                    (from(&stage, u64::from(primary) + k as u64), &orders[k]);
                scope.spawn(move || until_clear(&mut members, &order.call()))
            };
            let asked = [ask(0), ask(1)];
            asked.into_iter().map(|a| a.join().unwrap()).collect()
        });
        stage.start(primary);
        judge(&stage, round, &orders, &answers, &mut taken);
    }
}

/// One of two different orders is confirmed, both where they are the same; the winner is confirmed by every member
/// again, the other refused; an older one isn't refused either.
fn judge(
    stage: &Stage,
    round: u64,
    orders: &[Order; 2],
    answers: &[ControlAnswer],
    taken: &mut Vec<Order>,
) {
    let statuses: Vec<u16> = answers.iter().map(|a| a.status).collect();
    let same = orders[0] == orders[1];
    let expected: &[u16] = if same { &[200, 200] } else { &[200, 412] };
    let mut sorted = statuses.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, expected, "round {round}: {answers:?}");
    let winner = statuses.iter().position(|s| *s == 200).unwrap();
    for n in ALL {
        let again = until_clear(&mut [stage.control(n)], &orders[winner].call());
        assert_eq!(
            again.status, 200,
            "round {round}: taken, and refused at core-{n}: {again:?}"
        );
        if !same {
            let other = until_clear(&mut [stage.control(n)], &orders[1 - winner].call());
            assert_eq!(
                other.status, 412,
                "round {round}: both confirmed at core-{n}: {other:?}"
            );
        }
        let read = until_clear(&mut [stage.control(n)], &READ);
        assert_eq!(
            String::from_utf8(read.body).unwrap(),
            orders[winner].body,
            "round {round} at core-{n}"
        );
    }
    taken.push(orders[winner].clone());
    // Sent again after others were taken: confirmed, or left unclear.
    let older = &taken[taken.len() / 2];
    if let Ok(answer) = call_member(stage.control(1 + (round % 3) as u8), &older.call(), SECOND) {
        assert!(
            answer.status == 200 || answer.status >= 500,
            "round {round}: {older:?} refused: {answer:?}"
        );
    }
}
