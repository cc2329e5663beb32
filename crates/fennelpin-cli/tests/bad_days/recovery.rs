//! A member that goes on alone after `store recover`, started as a process again and joined by two empty ones.

use crate::callers::Operator;
use crate::stage::{until, Stage};
use std::process::Command;

const ALL: [u8; 3] = [1, 2, 3];
/// Orders between two events.
const SOME: usize = 20;

fn some(operator: &mut Operator) {
    (0..SOME).for_each(|_| operator.order());
}

/// Gives up all members but this one, if its disk is as new as the others'.
fn recover(stage: &Stage, kept: u8, ids: &[String]) -> Result<(), String> {
    let plan = stage.fleet.plan();
    let lost: Vec<u8> = ALL.into_iter().filter(|n| *n != kept).collect();
    // A view that was made before a member had told its name knows it by its identity.
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
fn a_recovered_member_keeps_all_that_was_acknowledged_and_two_empty_ones_join_it() {
    let mut stage = Stage::new(3, 1);
    let mut operator = stage.operator(&ALL);
    some(&mut operator);
    stage.settled(&ALL);
    some(&mut operator);
    let ids = ALL.map(|n| stage.status(n).unwrap()["id"].as_str().unwrap().to_owned());
    ALL.iter().for_each(|n| stage.kill(*n));
    // Who is a replica of the latest view is told by the disks: the recovery refuses all others.
    let recovered: Vec<Result<(), String>> =
        ALL.iter().map(|n| recover(&stage, *n, &ids)).collect();
    let kept = recovered
        .iter()
        .position(Result::is_ok)
        .unwrap_or_else(|| panic!("{recovered:?}"));
    let (kept, old_id) = (ALL[kept], &ids[kept]);
    let lost: Vec<u8> = ALL.into_iter().filter(|n| *n != kept).collect();
    lost.iter().for_each(|n| stage.wipe(*n));

    stage.start(kept);
    until("it acts alone", || stage.acting(&[kept]));
    assert_ne!(
        stage.status(kept).unwrap()["id"],
        **old_id,
        "a new identity"
    );
    operator = stage.only(operator, &[kept]);
    operator.read_back(stage.control(kept));

    lost.iter().for_each(|n| stage.start(*n));
    stage.settled(&ALL);
    operator = stage.only(operator, &ALL);
    some(&mut operator);
    ALL.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
    // The one that was recovered is needed no longer.
    stage.settled(&ALL);
    stage.wipe(kept);
    operator = stage.only(operator, &lost);
    lost.iter()
        .for_each(|n| operator.read_back(stage.control(*n)));
    some(&mut operator);
    let newest = operator.newest();
    until("the proxy has it", || {
        (stage.in_force(1).last() == Some(&newest)).then_some(())
    });
    assert!(
        stage.in_force(1).is_sorted(),
        "never back: {:?}",
        stage.in_force(1)
    );
}
