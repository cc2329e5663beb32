//! A member that goes on alone after `store recover`, started as a process again and joined by two empty ones.

use crate::control::Operator;
use crate::stage::{until, Stage};
use std::process::Command;

const ALL: [u8; 3] = [1, 2, 3];
/// Orders between two events.
const SOME: usize = 20;

fn some(operator: &mut Operator) {
    (0..SOME).for_each(|_| operator.order());
}

#[test]
fn a_recovered_member_keeps_all_that_was_acknowledged_and_two_empty_ones_join_it() {
    let mut stage = Stage::new(3, 1);
    let mut operator = stage.operator(&ALL);
    some(&mut operator);
    let primary = stage.settled(&ALL);
    let kept = stage.backups(&ALL, primary)[0];
    some(&mut operator);
    let old_id = stage.status(kept).unwrap()["id"].clone();
    let lost: Vec<u8> = ALL.into_iter().filter(|n| *n != kept).collect();
    lost.iter().for_each(|n| stage.wipe(*n));
    stage.kill(kept);
    let names: Vec<String> = lost.iter().map(|n| format!("core-{n}")).collect();
    let output = Command::new(&stage.fleet.plan().program)
        .args(["store", "recover", "--stopped", "--lost", &names.join(",")])
        .arg(stage.fleet.plan().disk(kept))
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));

    stage.start(kept);
    until("it acts alone", || stage.acting(&[kept]));
    assert_ne!(stage.status(kept).unwrap()["id"], old_id, "a new identity");
    operator = stage.only(operator, &[kept]);
    operator.read_back(stage.control(kept));

    lost.iter().for_each(|n| stage.start(*n));
    stage.settled(&ALL);
    operator = stage.only(operator, &ALL);
    some(&mut operator);
    ALL.iter().for_each(|n| operator.read_back(stage.control(*n)));
    // The one that was recovered is needed no longer.
    stage.settled(&ALL);
    stage.wipe(kept);
    operator = stage.only(operator, &lost);
    lost.iter().for_each(|n| operator.read_back(stage.control(*n)));
    some(&mut operator);
    let newest = operator.newest();
    until("the proxy has it", || (stage.in_force(1).last() == Some(&newest)).then_some(()));
    assert!(stage.in_force(1).is_sorted(), "never back: {:?}", stage.in_force(1));
}
