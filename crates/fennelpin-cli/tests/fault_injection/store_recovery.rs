//! A member that goes on alone after `store recover`, is started again, and is joined by two empty ones.

use crate::harness::cluster::TestCluster;
use crate::harness::wait_until;
use std::process::Command;

const ALL: [u8; 3] = [1, 2, 3];
/// Changes between two events.
const CHANGES: usize = 20;

/// Gives up all members but this one, if no other disk is newer.
fn recover(cluster: &TestCluster, kept: u8, ids: &[String]) -> Result<(), String> {
    let plan = cluster.processes.plan();
    let lost: Vec<u8> = ALL.into_iter().filter(|n| *n != kept).collect();
    // A membership configuration may not have a member's name yet, but has its id.
    let lost_ids: Vec<&str> = lost
        .iter()
        .map(|n| ids[usize::from(*n) - 1].as_str())
        .collect();
    let mut command = Command::new(&plan.program);
    command.args([
        "store",
        "recover",
        "--stopped",
        "--lost",
        &lost_ids.join(","),
    ]);
    for n in &lost {
        command.arg("--other").arg(plan.disk(*n));
    }
    let output = command.arg(plan.disk(kept)).output().unwrap();
    if output.status.success() {
        Ok(())
    } else {
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

#[test]
fn member_when_recovered_alone_then_keeps_all_and_others_join() {
    let mut cluster = TestCluster::new(3, 1);
    let mut operator = cluster.operator(&ALL);
    operator.apply_changes(CHANGES);
    cluster.wait_until_stable(&ALL);
    operator.apply_changes(CHANGES);
    let ids = ALL.map(|n| {
        cluster.status(n).unwrap()["id"]
            .as_str()
            .unwrap()
            .to_owned()
    });
    ALL.iter().for_each(|n| cluster.kill(*n));
    // The recovery refuses members that aren't replicas of the newest membership configuration.
    let recovered: Vec<Result<(), String>> =
        ALL.iter().map(|n| recover(&cluster, *n, &ids)).collect();
    let kept = recovered
        .iter()
        .position(Result::is_ok)
        .unwrap_or_else(|| panic!("{recovered:?}"));
    let (kept, old_id) = (ALL[kept], &ids[kept]);
    let lost: Vec<u8> = ALL.into_iter().filter(|n| *n != kept).collect();
    lost.iter().for_each(|n| cluster.wipe(*n));

    cluster.start(kept);
    wait_until("it acts alone", || cluster.primary(&[kept]));
    assert_ne!(
        cluster.status(kept).unwrap()["id"],
        **old_id,
        "a new identity"
    );
    operator = cluster.with_members(operator, &[kept]);
    operator.assert_reads_back(cluster.control(kept));

    lost.iter().for_each(|n| cluster.start(*n));
    cluster.wait_until_stable(&ALL);
    operator = cluster.with_members(operator, &ALL);
    operator.apply_changes(CHANGES);
    ALL.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    // The recovered member isn't needed any more.
    cluster.wait_until_stable(&ALL);
    cluster.wipe(kept);
    operator = cluster.with_members(operator, &lost);
    lost.iter()
        .for_each(|n| operator.assert_reads_back(cluster.control(*n)));
    operator.apply_changes(CHANGES);
    let newest = operator.newest();
    wait_until("the proxy has it", || {
        (cluster.versions_in_force(1).last() == Some(&newest)).then_some(())
    });
    assert!(
        cluster.versions_in_force(1).is_sorted(),
        "never back: {:?}",
        cluster.versions_in_force(1)
    );
}
