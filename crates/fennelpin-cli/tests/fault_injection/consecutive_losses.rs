//! A second loss right after a repair, a replacement or a departure: nothing acknowledged is lost, and orders are
//! taken wherever a majority lives.

use crate::harness::callers::TestOperator;
use crate::harness::cluster::TestCluster;

/// Orders between two events.
const CHANGES: usize = 20;

fn apply_changes(operator: &mut TestOperator) {
    (0..CHANGES).for_each(|_| operator.order());
}

#[test]
fn changes_when_primary_is_lost_after_a_replacement_then_kept() {
    let mut cluster = TestCluster::new(3, 0);
    let mut operator = cluster.operator(&[1, 2, 3]);
    apply_changes(&mut operator);
    let primary = cluster.wait_until_stable(&[1, 2, 3]);
    let lost = cluster.backups(&[1, 2, 3], primary)[0];
    let witness = 6 - primary - lost;
    apply_changes(&mut operator);
    // A replica is gone for good; an empty machine at another address comes for it.
    cluster.wipe(lost);
    cluster.start(4);
    let members = [primary, witness, 4];
    let primary = cluster.wait_until_stable(&members);
    operator = cluster.with_members(operator, &members);
    apply_changes(&mut operator);

    // Right after it is settled, the primary is gone with its disk.
    cluster.wipe(primary);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != primary).collect();
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    apply_changes(&mut operator);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));

    // And a third time, once an empty machine has come for that one too.
    cluster.start(5);
    let members = [left[0], left[1], 5];
    let primary = cluster.wait_until_stable(&members);
    let backup = cluster.backups(&members, primary)[0];
    operator = cluster.with_members(operator, &members);
    apply_changes(&mut operator);
    cluster.wipe(backup);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != backup).collect();
    apply_changes(&mut operator);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}

#[test]
fn replica_when_it_shuts_down_then_hands_over_first() {
    let all = [1, 2, 3, 4, 5];
    let mut cluster = TestCluster::new(5, 0);
    let mut operator = cluster.operator(&all);
    apply_changes(&mut operator);
    let primary = cluster.wait_until_stable(&all);
    let leaving = cluster.backups(&all, primary)[0];
    apply_changes(&mut operator);
    // Once it has ended, no other machine is lost: one more may go, the only other one with the ledger.
    cluster.shut_down(leaving);
    cluster.wipe(leaving);
    cluster.wipe(primary);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![leaving, primary].contains(n))
        .collect();
    operator.assert_reads_back(cluster.control(left[0]));
    apply_changes(&mut operator);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    // Two empty machines in their places.
    cluster.start(leaving);
    cluster.start(primary);
    cluster.wait_until_stable(&all);
    apply_changes(&mut operator);
    all.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}

#[test]
fn primary_when_it_shuts_down_then_hands_over_first() {
    let all = [1, 2, 3, 4, 5];
    let mut cluster = TestCluster::new(5, 0);
    let mut operator = cluster.operator(&all);
    apply_changes(&mut operator);
    let primary = cluster.wait_until_stable(&all);
    let backup = cluster.backups(&all, primary)[0];
    apply_changes(&mut operator);
    cluster.shut_down(primary);
    cluster.wipe(primary);
    cluster.wipe(backup);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![backup, primary].contains(n))
        .collect();
    operator.assert_reads_back(cluster.control(left[0]));
    apply_changes(&mut operator);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}
