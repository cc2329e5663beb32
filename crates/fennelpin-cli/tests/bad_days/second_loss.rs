//! A second loss right after a repair, a replacement or a departure: nothing acknowledged is lost, and orders are
//! taken wherever a majority lives.

use crate::callers::Operator;
use crate::stage::Stage;

/// Orders between two events.
const SOME: usize = 20;

fn some(operator: &mut Operator) {
    (0..SOME).for_each(|_| operator.order());
}

#[test]
fn a_loss_right_after_a_replacement_at_another_address_loses_nothing() {
    let mut stage = Stage::new(3, 0);
    let mut operator = stage.operator(&[1, 2, 3]);
    some(&mut operator);
    let primary = stage.settled(&[1, 2, 3]);
    let lost = stage.backups(&[1, 2, 3], primary)[0];
    let witness = 6 - primary - lost;
    some(&mut operator);
    // A replica is gone for good; an empty machine at another address comes for it.
    stage.wipe(lost);
    stage.start(4);
    let members = [primary, witness, 4];
    let primary = stage.settled(&members);
    operator = stage.only(operator, &members);
    some(&mut operator);

    // Right after it is settled, the primary is gone with its disk.
    stage.wipe(primary);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != primary).collect();
    left.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
    some(&mut operator);
    left.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));

    // And a third time, once an empty machine has come for that one too.
    stage.start(5);
    let members = [left[0], left[1], 5];
    let primary = stage.settled(&members);
    let backup = stage.backups(&members, primary)[0];
    operator = stage.only(operator, &members);
    some(&mut operator);
    stage.wipe(backup);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != backup).collect();
    some(&mut operator);
    left.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
}

#[test]
fn a_replica_that_leaves_for_good_hands_over_before_it_has_ended() {
    let all = [1, 2, 3, 4, 5];
    let mut stage = Stage::new(5, 0);
    let mut operator = stage.operator(&all);
    some(&mut operator);
    let primary = stage.settled(&all);
    let leaving = stage.backups(&all, primary)[0];
    some(&mut operator);
    // Once it has ended, no other machine is lost: one more may go, the only other one with the ledger.
    stage.leave(leaving);
    stage.wipe(leaving);
    stage.wipe(primary);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![leaving, primary].contains(n))
        .collect();
    operator.read_back(stage.control(left[0]));
    some(&mut operator);
    left.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
    // Two empty machines in their places.
    stage.start(leaving);
    stage.start(primary);
    stage.settled(&all);
    some(&mut operator);
    all.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
}

#[test]
fn a_primary_that_leaves_for_good_hands_over_before_it_has_ended() {
    let all = [1, 2, 3, 4, 5];
    let mut stage = Stage::new(5, 0);
    let mut operator = stage.operator(&all);
    some(&mut operator);
    let primary = stage.settled(&all);
    let backup = stage.backups(&all, primary)[0];
    some(&mut operator);
    stage.leave(primary);
    stage.wipe(primary);
    stage.wipe(backup);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![backup, primary].contains(n))
        .collect();
    operator.read_back(stage.control(left[0]));
    some(&mut operator);
    left.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
}
