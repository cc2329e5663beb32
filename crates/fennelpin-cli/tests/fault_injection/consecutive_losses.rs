//! A second loss right after a replacement or a departure: nothing acknowledged is lost, and changes are applied while a
//! majority lives.

use crate::harness::cluster::TestCluster;

/// Changes between two faults.
const CHANGES: usize = 20;

#[test]
fn changes_when_primary_is_lost_after_a_replacement_then_kept() {
    let mut cluster = TestCluster::new(3, 0);
    let mut operator = cluster.operator(&[1, 2, 3]);
    operator.apply_changes(CHANGES);
    let primary = cluster.wait_until_stable(&[1, 2, 3]);
    let lost = cluster.backups(&[1, 2, 3], primary)[0];
    let witness = 6 - primary - lost;
    operator.apply_changes(CHANGES);
    // A replica is lost for good. An empty machine at another address replaces it.
    cluster.wipe(lost);
    cluster.start(4);
    let members = [primary, witness, 4];
    let primary = cluster.wait_until_stable(&members);
    operator = cluster.with_members(operator, &members);
    operator.apply_changes(CHANGES);

    // As soon as the membership is stable, the primary is lost with its disk.
    cluster.wipe(primary);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != primary).collect();
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    operator.apply_changes(CHANGES);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));

    // A third loss, once an empty machine has replaced that one too.
    cluster.start(5);
    let members = [left[0], left[1], 5];
    let primary = cluster.wait_until_stable(&members);
    let backup = cluster.backups(&members, primary)[0];
    operator = cluster.with_members(operator, &members);
    operator.apply_changes(CHANGES);
    cluster.wipe(backup);
    let left: Vec<u8> = members.into_iter().filter(|n| *n != backup).collect();
    operator.apply_changes(CHANGES);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}

#[test]
fn replica_when_it_shuts_down_then_hands_over_first() {
    let all = [1, 2, 3, 4, 5];
    let mut cluster = TestCluster::new(5, 0);
    let mut operator = cluster.operator(&all);
    operator.apply_changes(CHANGES);
    let primary = cluster.wait_until_stable(&all);
    let leaving = cluster.backups(&all, primary)[0];
    operator.apply_changes(CHANGES);
    // The departed replica has handed over before its end. So the only other one with the state may be lost too.
    cluster.shut_down(leaving);
    cluster.wipe(leaving);
    cluster.wipe(primary);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![leaving, primary].contains(n))
        .collect();
    operator.assert_reads_back(cluster.control(left[0]));
    operator.apply_changes(CHANGES);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    // Two empty machines replace them.
    cluster.start(leaving);
    cluster.start(primary);
    cluster.wait_until_stable(&all);
    operator.apply_changes(CHANGES);
    all.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}

#[test]
fn primary_when_it_shuts_down_then_hands_over_first() {
    let all = [1, 2, 3, 4, 5];
    let mut cluster = TestCluster::new(5, 0);
    let mut operator = cluster.operator(&all);
    operator.apply_changes(CHANGES);
    let primary = cluster.wait_until_stable(&all);
    let backup = cluster.backups(&all, primary)[0];
    operator.apply_changes(CHANGES);
    cluster.shut_down(primary);
    cluster.wipe(primary);
    cluster.wipe(backup);
    let left: Vec<u8> = all
        .into_iter()
        .filter(|n| ![backup, primary].contains(n))
        .collect();
    operator.assert_reads_back(cluster.control(left[0]));
    operator.apply_changes(CHANGES);
    left.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
}
